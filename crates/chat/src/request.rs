//! What a client asks for, whichever of the three requests it sent.

use serde_json::Value;

/// What an installation allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most choices of one request.
    pub max_choices: u64,
    /// The most messages, or items of the input, of one request.
    pub max_messages: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_choices: 8, max_messages: 2_048 }
    }
}

/// Which of the API's requests it is, and so the form of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completion,
    /// `/v1/responses`.
    Response,
}

/// A message of a prompt: all its text, whatever its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// `system`, `developer`, `user`, `assistant`, `tool` or `function`.
    pub role: String,
    /// Its text, with refusals and arguments of tool calls.
    pub text: String,
}

/// A request that was accepted.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its kind.
    pub kind: RequestKind,
    /// The model that it names.
    pub model: String,
    /// Whether the answer is to be a stream.
    pub stream: bool,
    /// Whether the stream is to report the usage in its last chunk.
    pub include_usage: bool,
    /// The most tokens of each choice, if the client set it.
    pub max_tokens: Option<u64>,
    /// The prompts: one, or several in a completion request.
    pub prompts: Vec<Vec<Message>>,
    /// Choices for each prompt.
    pub choices_per_prompt: u64,
    /// Whether each choice begins with its prompt (completions).
    pub echo: bool,
    /// The id of the response that it goes on from (responses).
    pub previous_response_id: Option<String>,
    /// Whether the response is to be kept (responses).
    pub store: bool,
    /// The whole body as it came.
    pub body: Value,
    /// Items of the input, as a response keeps them (responses).
    pub input_items: Vec<Value>,
}

impl Request {
    /// All choices of all prompts; each is sent to servers as a request of its own.
    #[must_use]
    pub fn choice_count(&self) -> usize {
        self.prompts.len() * self.choices_per_prompt as usize
    }

    /// The prompt of one choice.
    ///
    /// # Panics
    /// If there is no such choice.
    #[must_use]
    pub fn prompt_of(&self, choice: usize) -> &[Message] {
        &self.prompts[choice / self.choices_per_prompt as usize]
    }
}
