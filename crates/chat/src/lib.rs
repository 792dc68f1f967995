//! An OpenAI-style API without I/O: which requests are accepted and which are refused, by the name of the field
//! at fault; how the events of servers become those of clients; and how an answer is put together from them.
//!
//! [`Request::chat`], [`Request::completion`] and [`Request::response`] read the three kinds of requests; what
//! goes on to servers is a chat request each time. [`Writer`] makes a client's stream, [`Collected`] its whole
//! answer. [`Store`] keeps the responses that others go on from.

mod answer;
mod bad;
mod check;
mod events;
mod request;
mod responses;
mod store;
mod writer;

pub use answer::Collected;
pub use bad::Bad;
pub use events::{Events, Incoming};
pub use request::{Limits, Request, Shape};
pub use store::{Kept, Store, StoreFigures};
pub use writer::{Names, Writer};

/// Reads a body: valid UTF-8, JSON, an object, and no deeper than `most_deep`.
///
/// # Errors
/// What is wrong, with the place where the parser says it.
pub fn parse(body: &[u8], most_deep: usize) -> Result<serde_json::Value, Bad> {
    let text = std::str::from_utf8(body).map_err(|error| {
        Bad::json(format!("the body is not valid UTF-8 from byte {} on", error.valid_up_to()))
    })?;
    // Before anything is built of it: depth costs stack and memory.
    let (mut deep, mut within, mut escaped) = (0usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if within => escaped = true,
            b'"' => within = !within,
            b'{' | b'[' if !within => {
                deep += 1;
                if deep > most_deep {
                    return Err(Bad::json(format!("the body is nested deeper than {most_deep}")));
                }
            }
            b'}' | b']' if !within => deep = deep.saturating_sub(1),
            _ => {}
        }
    }
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|error| Bad::json(format!("the body is no JSON: {error}")))?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(Bad::json("the body must be an object"))
    }
}
