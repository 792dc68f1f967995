//! Parsing of request bodies: UTF-8 and JSON, with a bound on the nesting depth.

use serde_json::Value;

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
