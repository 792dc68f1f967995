//! Writes a client's stream from the events of the servers.

use serde_json::{json, Value};

use crate::answer_metadata::AnswerMetadata;
use crate::collected_answer::Usage;
use crate::request::{Request, RequestKind};
use crate::response_stream::ResponseStream;

/// The last event of a complete stream of chunks.
const DONE: &str = "data: [DONE]\n\n";

/// Writes the stream that answers one request, in the format of the request's endpoint.
#[derive(Debug)]
pub struct StreamWriter {
    format: StreamFormat,
}

#[derive(Debug)]
enum StreamFormat {
    Chunks(ChunkStream),
    Response(Box<ResponseStream>),
}

/// The stream of chunks that answers a chat or completion request.
#[derive(Debug)]
struct ChunkStream {
    metadata: AnswerMetadata,
    kind: RequestKind,
    include_usage: bool,
    /// The prompt of each choice, by index, if choices start with their prompt; empty otherwise.
    echo: Vec<String>,
    /// For each choice, whether a chunk of it has been written.
    started: Vec<bool>,
    usage: Usage,
}

impl StreamWriter {
    /// Creates the writer of the answer to this request. It copies no part of a prompt that is not echoed, so that
    /// prompts don't take memory for as long as their streams last.
    #[must_use]
    pub fn new(request: &Request, metadata: AnswerMetadata) -> Self {
        let format = match request.kind {
            RequestKind::Response => StreamFormat::Response(Box::new(ResponseStream::new(request, metadata))),
            RequestKind::Chat | RequestKind::Completion => {
                StreamFormat::Chunks(ChunkStream::new(request, metadata))
            }
        };
        Self { format }
    }

    /// The events that start the stream, before any event of a server; empty for chat and completion requests.
    #[must_use]
    pub fn open(&mut self) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.open(),
            StreamFormat::Chunks(_) => String::new(),
        }
    }

    /// Translates a server's event for one choice into the client's events; empty if it causes none.
    #[must_use]
    pub fn event(&mut self, choice: usize, event: &Value) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.event(event),
            StreamFormat::Chunks(stream) => stream.event(choice, event),
        }
    }

    /// The events that end a complete stream.
    #[must_use]
    pub fn close(&mut self) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.close(),
            StreamFormat::Chunks(stream) => stream.close(),
        }
    }

    /// The event that ends a stream whose servers failed: a single error, without `[DONE]` or any other sign of a
    /// complete answer. Only chunk streams report `code`; a response always reports `server_error`.
    #[must_use]
    pub fn fail(&mut self, code: &str, message: &str) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.fail(message),
            StreamFormat::Chunks(_) => {
                let error = json!({"message": message, "type": "server_error", "param": null, "code": code});
                data_event(&json!({"error": error}))
            }
        }
    }

    /// The finished response, built from all events so far, to be stored or sent to a client that wants no stream.
    /// `None` for chat and completion requests.
    #[must_use]
    pub fn response(&self) -> Option<Value> {
        match &self.format {
            StreamFormat::Response(stream) => Some(stream.finished_response()),
            StreamFormat::Chunks(_) => None,
        }
    }

    /// The output items of the response, to be stored for requests that continue it; empty for chat and completion
    /// requests.
    #[must_use]
    pub fn output_items(&self) -> Vec<Value> {
        match &self.format {
            StreamFormat::Response(stream) => stream.output(),
            StreamFormat::Chunks(_) => Vec::new(),
        }
    }

    /// The bytes of the request that the writer holds.
    #[must_use]
    pub fn request_bytes(&self) -> usize {
        match &self.format {
            StreamFormat::Response(stream) => stream.request_bytes(),
            StreamFormat::Chunks(stream) => stream.echo.iter().map(String::len).sum(),
        }
    }

    /// The bytes of the answer that the writer holds; 0 for chunk streams, which hold none.
    #[must_use]
    pub fn text_bytes(&self) -> usize {
        match &self.format {
            StreamFormat::Response(stream) => stream.text_bytes(),
            StreamFormat::Chunks(_) => 0,
        }
    }
}

impl ChunkStream {
    fn new(request: &Request, metadata: AnswerMetadata) -> Self {
        let choices = request.choice_count();
        let echo = match request.echo {
            true => (0..choices).map(|choice| request.prompt_of(choice)[0].text.clone()).collect(),
            false => Vec::new(),
        };
        Self {
            metadata,
            kind: request.kind,
            include_usage: request.include_usage,
            echo,
            started: vec![false; choices],
            usage: Usage::default(),
        }
    }

    fn event(&mut self, choice: usize, event: &Value) -> String {
        self.usage.add(&event["usage"]);
        let server_choice = &event["choices"][0];
        if server_choice.is_null() {
            return String::new(); // `close` writes the usage, if the client asked for it
        }
        let is_first = !std::mem::replace(&mut self.started[choice], true);
        data_event(&self.chunk(self.choice_json(choice, server_choice, is_first)))
    }

    fn close(&self) -> String {
        if !self.include_usage {
            return DONE.to_owned();
        }
        let mut chunk = self.chunk(json!([]));
        chunk["usage"] = self.usage.to_json();
        data_event(&chunk) + DONE
    }

    /// The `choices` array of a chunk, from the choice in a server's event.
    fn choice_json(&self, choice: usize, server_choice: &Value, is_first: bool) -> Value {
        let finish_reason = &server_choice["finish_reason"];
        if self.kind == RequestKind::Chat {
            let mut delta = server_choice["delta"].as_object().cloned().unwrap_or_default();
            if is_first {
                delta.insert("role".to_owned(), json!("assistant"));
            }
            let logprobs = &server_choice["logprobs"];
            return json!([{"index": choice, "delta": delta, "logprobs": logprobs,
                "finish_reason": finish_reason}]);
        }
        let echo = self.echo.get(choice).filter(|_| is_first).map_or("", String::as_str);
        let text = echo.to_owned() + server_choice["delta"]["content"].as_str().unwrap_or("");
        json!([{"index": choice, "text": text, "logprobs": null, "finish_reason": finish_reason}])
    }

    /// A chunk with this `choices` array.
    fn chunk(&self, choices: Value) -> Value {
        let (prefix, object) = match self.kind {
            RequestKind::Chat => ("chatcmpl", "chat.completion.chunk"),
            RequestKind::Completion | RequestKind::Response => ("cmpl", "text_completion"),
        };
        let mut chunk = json!({"id": format!("{prefix}-{}", self.metadata.id), "object": object,
            "created": self.metadata.created_unix_s, "model": self.metadata.model, "choices": choices});
        if self.include_usage {
            chunk["usage"] = Value::Null;
        }
        chunk
    }
}

/// A server-sent event with this data.
fn data_event(data: &Value) -> String {
    format!("data: {data}\n\n")
}
