//! An OpenAI-style API without I/O: which requests are accepted and which are refused, by the path of the field at
//! fault; how the events of servers become those of clients; and how a whole answer is put together from them.
//!
//! - [`parse_body`], then [`Request::chat`], [`Request::completion`] or [`Request::response`], read a request. Each is
//!   sent to servers as one chat request for each of its choices: [`Request::server_body`].
//! - [`EventParser`] reads a server's stream. [`StreamWriter`] writes a client's stream from its events,
//!   [`CollectedAnswer`] an answer without a stream.
//! - [`ResponseStore`] keeps the responses that later requests go on from.
//!
//! Order of the modules, lower ones first: `request_error`, `fields`, `request`; then the readers of each kind
//! (`chat_request`, `completion_request`, `response_request`) and `server_body`; `answer_metadata`, then
//! `collected_answer`, then `response_stream` and `stream_writer`.

mod answer_metadata;
mod body;
mod chat_request;
mod collected_answer;
mod completion_request;
mod event_parser;
mod fields;
mod messages;
mod request;
mod request_error;
mod response_request;
mod response_store;
mod response_stream;
mod sampling;
mod server_body;
mod stream_writer;
mod tools;

pub use answer_metadata::AnswerMetadata;
pub use body::parse_body;
pub use collected_answer::CollectedAnswer;
pub use event_parser::{EventParser, ServerEvent};
pub use request::{Limits, Message, Request, RequestKind};
pub use request_error::RequestError;
pub use response_store::{ResponseStore, ResponseStoreStats, StoredResponse};
pub use stream_writer::StreamWriter;
