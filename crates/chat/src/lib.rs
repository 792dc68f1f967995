//! An OpenAI-compatible API without I/O: validation of request bodies, the request that is sent to a server for each
//! choice, and translation of the servers' events into the client's stream or whole answer.
//!
//! - [`parse_body`] parses a body; [`Request::chat`], [`Request::completion`] and [`Request::response`] validate it. An
//!   invalid request is rejected with a [`RequestError`] that names the path of the field at fault. Each choice is sent
//!   to a server as a chat request of its own: [`Request::server_body`].
//! - [`EventParser`] splits a server's stream into events. [`StreamWriter`] turns them into the client's stream, or
//!   into a whole response ([`StreamWriter::response`]); [`CollectedAnswer`] builds whole chat and completion answers.
//! - [`ResponseStore`] keeps the responses that later requests continue through `previous_response_id`.
//!
//! Modules by dependency, lowest first: `request_error` and `value_size`; `body`, `event_parser` and `fields`; `request`, `sampling` and
//! `tools`; `messages`; the requests of each kind (`chat_request`, `completion_request`, `response_request`) and
//! `server_body`. Answers: `answer_metadata`, `collected_answer`, `response_stream`, `stream_writer`. `response_store`
//! depends on none of them.

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
mod value_size;

pub use answer_metadata::AnswerMetadata;
pub use body::{parse_body, parsed_bytes};
pub use collected_answer::CollectedAnswer;
pub use event_parser::{EventParser, ServerEvent};
pub use request::{Limits, Message, Request, RequestKind};
pub use request_error::RequestError;
pub use response_store::{ResponseStore, ResponseStoreStats, StoredResponse};
pub use stream_writer::StreamWriter;
