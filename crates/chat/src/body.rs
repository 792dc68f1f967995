//! Request bodies: UTF-8 and JSON, with a bound on their depth.

use serde_json::Value;

use crate::RequestError;

/// Parses a request body: valid UTF-8, JSON, an object, and nested no deeper than `max_depth`.
///
/// # Errors
/// What is wrong, with the place where the parser found it.
pub fn parse_body(body: &[u8], max_depth: usize) -> Result<Value, RequestError> {
    let text = std::str::from_utf8(body).map_err(|error| {
        let valid_up_to = error.valid_up_to();
        RequestError::invalid_json(format!("the body is not valid UTF-8 from byte {valid_up_to} on"))
    })?;
    // Before anything is built of it: depth costs stack and memory.
    check_depth(text, max_depth)?;
    let value: Value = serde_json::from_str(text)
        .map_err(|error| RequestError::invalid_json(format!("the body is no JSON: {error}")))?;
    if value.is_object() {
        Ok(value)
    } else {
        Err(RequestError::invalid_json("the body must be an object"))
    }
}

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
