//! A validated request, in one form for all three endpoints.

use serde_json::Value;

/// Limits that the settings of an installation put on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most choices of one request, counted over all its prompts.
    pub max_choices: u64,
    /// The most messages of a chat request, or input items of a request for a response.
    pub max_messages: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_choices: 8, max_messages: 2_048 }
    }
}

/// The endpoint that a request was sent to, which also sets the format of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
    /// `/v1/responses`.
    Response,
}

/// A message of a prompt, reduced to its role and text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// `system`, `developer`, `user`, `assistant`, `tool` or `function`.
    pub role: String,
    /// Its content, refusal and the arguments of its tool calls, concatenated without separators.
    pub text: String,
}

/// A request that passed validation.
#[derive(Clone, Debug)]
pub struct Request {
    /// The endpoint that it was sent to.
    pub kind: RequestKind,
    /// The `model` field.
    pub model: String,
    /// Whether the client wants the answer as a stream of server-sent events.
    pub stream: bool,
    /// Whether the stream reports the token usage in its last chunk (`stream_options.include_usage`). Always `false`
    /// for responses, whose last event reports it in any case.
    pub include_usage: bool,
    /// Limit on the output tokens of each choice; `None` if the client set none.
    pub max_tokens: Option<u64>,
    /// The prompts: exactly one, except in a completion request, which may have several.
    pub prompts: Vec<Vec<Message>>,
    /// The number of choices for each prompt (`n`); 1 for responses.
    pub choices_per_prompt: u64,
    /// Whether the text of each choice starts with its prompt (completions only).
    pub echo: bool,
    /// The id of the stored response that this request continues (responses only); `None` if it continues none.
    pub previous_response_id: Option<String>,
    /// Whether the response is stored for later requests to continue (responses only).
    pub store: bool,
    /// The whole parsed body, as received.
    pub body: Value,
    /// The input items (responses only), preceded by those of earlier responses after [`Request::prepend_items`]. They
    /// are stored with the response.
    pub input_items: Vec<Value>,
}

impl Request {
    /// The number of choices over all prompts. Each choice is sent to a server as a request of its own.
    #[must_use]
    pub fn choice_count(&self) -> usize {
        self.prompts.len() * self.choices_per_prompt as usize
    }

    /// The prompt of the choice with this index. The choices of one prompt have consecutive indexes.
    ///
    /// # Panics
    /// If `choice` is not less than [`Request::choice_count`].
    #[must_use]
    pub fn prompt_of(&self, choice: usize) -> &[Message] {
        &self.prompts[choice / self.choices_per_prompt as usize]
    }
}
