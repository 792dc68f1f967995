//! Parsing of request bodies: UTF-8 and JSON, with a bound on the nesting depth.

use serde_json::Value;

use crate::value_size::{ARRAY_BYTES, MIN_MEMBERS_OF_NODE, NODE_BYTES, STRING_BYTES};
use crate::RequestError;

/// Parses a request body, which must be a JSON object in valid UTF-8. At most `max_depth` objects and arrays may be
/// nested, the body itself included.
///
/// # Errors
/// `invalid_json`. For invalid UTF-8 and JSON syntax, the message gives the position of the fault.
pub fn parse_body(body: &[u8], max_depth: usize) -> Result<Value, RequestError> {
    let text = std::str::from_utf8(body).map_err(|error| {
        let valid_up_to = error.valid_up_to();
        RequestError::invalid_json(format!("the body is not valid UTF-8 from byte {valid_up_to} on"))
    })?;
    // Checked before the JSON parser runs, because each level of nesting costs stack and memory.
    check_depth(text, max_depth)?;
    let value: Value = serde_json::from_str(text)
        .map_err(|error| RequestError::invalid_json(format!("the body is no JSON: {error}")))?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(RequestError::invalid_json("the body must be an object"))
    }
}

/// An upper estimate of the memory (bytes) that [`parse_body`] allocates for a body. It is counted before the body is
/// parsed: values of a few bytes of text each take some hundred bytes.
#[must_use]
pub fn parsed_bytes(body: &[u8]) -> usize {
    let (mut members, mut objects, mut arrays, mut strings, mut text_bytes) = (1, 0, 0, 0, 0);
    let (mut in_string, mut escaped) = (false, false);
    for &byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => {
                in_string = !in_string;
                strings += usize::from(in_string);
            }
            _ if in_string => text_bytes += 1,
            b'{' => objects += 1,
            b'[' => arrays += 1,
            b',' => members += 1,
            _ => {}
        }
    }
    // Each further member may belong to an object, whose nodes are half full at least.
    let member_bytes = NODE_BYTES / MIN_MEMBERS_OF_NODE;
    text_bytes + strings * STRING_BYTES + objects * NODE_BYTES + arrays * ARRAY_BYTES + members * member_bytes
}

/// Checks the nesting depth by counting brackets outside strings, without building a value.
fn check_depth(text: &str, max_depth: usize) -> Result<(), RequestError> {
    let mut depth = 0usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'{' | b'[' if !in_string => {
                depth += 1;
                if depth > max_depth {
                    return Err(RequestError::invalid_json(format!(
                        "the body is nested deeper than {max_depth}"
                    )));
                }
            }
            b'}' | b']' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    Ok(())
}
