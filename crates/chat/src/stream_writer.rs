//! A client's stream, written from the events of servers.

use serde_json::{json, Value};

use crate::answer_metadata::AnswerMetadata;
use crate::collected_answer::Usage;
use crate::request::{Request, RequestKind};
use crate::response_stream::ResponseStream;

/// What ends a whole stream of chunks.
const DONE: &str = "data: [DONE]\n\n";

/// Writes the stream of one request, whatever its kind.
#[derive(Debug)]
pub struct StreamWriter {
    format: StreamFormat,
}

#[derive(Debug)]
enum StreamFormat {
    Chunks(ChunkStream),
    Response(Box<ResponseStream>),
}

/// A stream of chunks, as chat and completion requests are answered.
#[derive(Debug)]
struct ChunkStream {
    metadata: AnswerMetadata,
    kind: RequestKind,
    include_usage: bool,
    /// The prompt of each choice, where choices begin with it.
    echo: Vec<String>,
    /// Choices of which something has been written.
    begun: Vec<bool>,
    usage: Usage,
}

impl StreamWriter {
    /// Writes the answer to this request. Holds nothing of its prompt but what is echoed.
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

    /// What the stream begins with, before a server has sent anything.
    #[must_use]
    pub fn open(&mut self) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.open(),
            StreamFormat::Chunks(_) => String::new(),
        }
    }

    /// A server's event of a choice, as the client gets it; empty where it gets none.
    #[must_use]
    pub fn event(&mut self, choice: usize, event: &Value) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.event(event),
            StreamFormat::Chunks(stream) => stream.event(choice, event),
        }
    }

    /// What a whole stream ends with.
    #[must_use]
    pub fn close(&mut self) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.close(),
            StreamFormat::Chunks(stream) => stream.close(),
        }
    }

    /// What a stream ends with whose servers broke off: one error, and nothing that looks like an end.
    #[must_use]
    pub fn cut(&mut self, code: &str, message: &str) -> String {
        match &mut self.format {
            StreamFormat::Response(stream) => stream.fail(message),
            StreamFormat::Chunks(_) => {
                let error = json!({"message": message, "type": "server_error", "param": null, "code": code});
                data_event(&json!({"error": error}))
            }
        }
    }

    /// The whole response of what has come: to be kept, or sent where no stream is wanted. `None` for other kinds.
    #[must_use]
    pub fn response(&self) -> Option<Value> {
        match &self.format {
            StreamFormat::Response(stream) => Some(stream.finished_response()),
            StreamFormat::Chunks(_) => None,
        }
    }

    /// Items of a response's output, as a response that goes on from this one is given them.
    #[must_use]
    pub fn output_items(&self) -> Vec<Value> {
        match &self.format {
            StreamFormat::Response(stream) => stream.output(),
            StreamFormat::Chunks(_) => Vec::new(),
        }
    }

    /// Bytes that the writer holds of the request.
    #[must_use]
    pub fn request_bytes(&self) -> usize {
        match &self.format {
            StreamFormat::Response(stream) => stream.request_bytes(),
            StreamFormat::Chunks(stream) => stream.echo.iter().map(String::len).sum(),
        }
    }

    /// Bytes of the answer's text that the writer holds.
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
            begun: vec![false; choices],
            usage: Usage::default(),
        }
    }

    fn event(&mut self, choice: usize, event: &Value) -> String {
        self.usage.add(&event["usage"]);
        let piece = &event["choices"][0];
        if piece.is_null() {
            return String::new(); // usage is written once, at the end, where it is asked for
        }
        let is_first = !std::mem::replace(&mut self.begun[choice], true);
        data_event(&self.chunk(self.choice_json(choice, piece, is_first)))
    }

    fn close(&self) -> String {
        if !self.include_usage {
            return DONE.to_owned();
        }
        let mut chunk = self.chunk(json!([]));
        chunk["usage"] = self.usage.to_json();
        data_event(&chunk) + DONE
    }

    /// The `choices` of a chunk for a piece of one choice.
    fn choice_json(&self, choice: usize, piece: &Value, is_first: bool) -> Value {
        let finish_reason = &piece["finish_reason"];
        if self.kind == RequestKind::Chat {
            let mut delta = piece["delta"].as_object().cloned().unwrap_or_default();
            if is_first {
                delta.insert("role".to_owned(), json!("assistant"));
            }
            let logprobs = &piece["logprobs"];
            return json!([{"index": choice, "delta": delta, "logprobs": logprobs,
                "finish_reason": finish_reason}]);
        }
        let echo = self.echo.get(choice).filter(|_| is_first).map_or("", String::as_str);
        let text = echo.to_owned() + piece["delta"]["content"].as_str().unwrap_or("");
        json!([{"index": choice, "text": text, "logprobs": null, "finish_reason": finish_reason}])
    }

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

fn data_event(data: &Value) -> String {
    format!("data: {data}\n\n")
}
