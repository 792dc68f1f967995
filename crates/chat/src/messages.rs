//! Validation of the messages of chat requests. Each is reduced to its role and text.

use serde_json::Value;

use crate::fields::{field, Field, NestedObject, Object};
use crate::request::Message;
use crate::RequestError;

const ROLES: [&str; 6] = ["system", "developer", "user", "assistant", "tool", "function"];
const ASSISTANT_FIELDS: [&str; 9] = [
    "role",
    "content",
    "name",
    "refusal",
    "tool_calls",
    "function_call",
    "audio",
    "annotations",
    "reasoning_content",
];
const TOOL_FIELDS: [&str; 4] = ["role", "content", "tool_call_id", "name"];
const OTHER_FIELDS: [&str; 3] = ["role", "content", "name"];
const PART_TYPES: [&str; 5] = ["text", "refusal", "image_url", "input_audio", "file"];

/// Reads the required field `messages`.
pub(crate) fn read_messages(body: &Object, max_messages: usize) -> Result<Vec<Message>, RequestError> {
    let messages = field(body, "messages").ok_or_else(|| RequestError::missing("messages"))?.as_array()?;
    if messages.is_empty() || messages.len() > max_messages {
        return Err(RequestError::invalid_value("messages", format!("1 to {max_messages} messages")));
    }
    let mut prompt = Vec::with_capacity(messages.len());
    // The ids of the latest assistant message's tool calls that have no tool message yet.
    let mut unanswered_calls: Vec<String> = Vec::new();
    for (index, value) in messages.iter().enumerate() {
        let message = NestedObject::new(value, format!("messages[{index}]"))?;
        prompt.push(read_message(&message, &mut unanswered_calls)?);
    }
    Ok(prompt)
}

fn read_message(
    message: &NestedObject<'_>,
    unanswered_calls: &mut Vec<String>,
) -> Result<Message, RequestError> {
    let role = message.required_one_of("role", &ROLES)?;
    message.optional_text("name")?;
    let mut text = String::new();
    let content = message.optional("content", |content| append_content(content, &role, &mut text))?;
    match role.as_str() {
        "assistant" => {
            *unanswered_calls = read_assistant(message, content.is_some(), &mut text)?;
            return Ok(Message { role, text });
        }
        "tool" => check_tool_message(message, unanswered_calls)?,
        _ => message.reject_unknown(&OTHER_FIELDS)?,
    }
    if content.is_none() {
        return Err(RequestError::missing(&message.path_of("content")));
    }
    Ok(Message { role, text })
}

/// Checks an assistant message and appends its refusal and call arguments to `text`. Returns the ids of its tool calls.
fn read_assistant(
    message: &NestedObject<'_>,
    has_content: bool,
    text: &mut String,
) -> Result<Vec<String>, RequestError> {
    message.reject_unknown(&ASSISTANT_FIELDS)?;
    let refusal = message.optional_text("refusal")?;
    text.push_str(refusal.as_deref().unwrap_or(""));
    let call_ids = message.optional("tool_calls", |calls| read_tool_calls(calls, text))?.unwrap_or_default();
    let function_call = message.optional("function_call", |call| {
        let call = call.nested()?;
        text.push_str(&call.required_text("arguments")?);
        call.required_identifier("name")
    })?;
    if !has_content && refusal.is_none() && call_ids.is_empty() && function_call.is_none() {
        return Err(RequestError::missing(&message.path_of("content")));
    }
    Ok(call_ids)
}

/// Checks a tool message: it must answer one of the unanswered calls, which it removes from the list.
fn check_tool_message(
    message: &NestedObject<'_>,
    unanswered_calls: &mut Vec<String>,
) -> Result<(), RequestError> {
    message.reject_unknown(&TOOL_FIELDS)?;
    let id = message.required_text("tool_call_id")?;
    let Some(index) = unanswered_calls.iter().position(|call| *call == id) else {
        let path = message.path_of("tool_call_id");
        return Err(RequestError::invalid_value(&path, "that of a call in the assistant's message before"));
    };
    unanswered_calls.remove(index);
    Ok(())
}

/// Appends the text of a message's `content`, which is a string or an array of parts.
fn append_content(content: Field<'_>, role: &str, text: &mut String) -> Result<(), RequestError> {
    let parts = match content.value {
        Value::String(plain) => {
            text.push_str(plain);
            return Ok(());
        }
        Value::Array(parts) => parts,
        _ => return Err(RequestError::invalid_type(content.path, "a string or an array of parts")),
    };
    if parts.is_empty() {
        return Err(RequestError::invalid_value(content.path, "a string or parts, one at least"));
    }
    for (index, part) in parts.iter().enumerate() {
        let part = NestedObject::new(part, format!("{}[{index}]", content.path))?;
        match part.required_one_of("type", &PART_TYPES)?.as_str() {
            "text" => text.push_str(&part.required_text("text")?),
            "refusal" if role == "assistant" => text.push_str(&part.required_text("refusal")?),
            "refusal" => {
                let path = part.path_of("type");
                return Err(RequestError::invalid_value(&path, "text: refusals are the assistant's"));
            }
            _ => return Err(RequestError::unsupported(&part.path_of("type"), "prompts are text")),
        }
    }
    Ok(())
}

/// Checks the tool calls of an assistant message and appends their arguments to `text`. Returns their ids.
fn read_tool_calls(calls: Field<'_>, text: &mut String) -> Result<Vec<String>, RequestError> {
    let mut ids = Vec::new();
    for (index, call) in calls.as_array()?.iter().enumerate() {
        let call = NestedObject::new(call, format!("{}[{index}]", calls.path))?;
        call.required_one_of("type", &["function"])?;
        let id = call.required_text("id")?;
        if ids.contains(&id) {
            return Err(RequestError::invalid_value(&call.path_of("id"), "another than those before"));
        }
        ids.push(id);
        let arguments = call.required("function", |function| {
            let function = function.nested()?;
            function.required_identifier("name")?;
            function.required_text("arguments")
        })?;
        text.push_str(&arguments);
    }
    if ids.is_empty() {
        return Err(RequestError::invalid_value(calls.path, "one call at least"));
    }
    Ok(ids)
}
