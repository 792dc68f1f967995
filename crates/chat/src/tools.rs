//! Validation of the tools that a model may call, of the choice among them, and of `response_format`.

use serde_json::Value;

use crate::fields::{field, Field, NestedObject, Object};
use crate::RequestError;

const MAX_TOOLS: usize = 128;
/// The allowed types of `response_format`, and of `text.format` in a request for a response.
pub(crate) const FORMAT_TYPES: [&str; 3] = ["text", "json_object", "json_schema"];

/// Where a `tool_choice` object holds the name of the function.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ToolChoiceForm {
    /// In `function.name`: chat requests.
    Chat,
    /// In `name`: requests for responses.
    Response,
}

/// Checks a chat request's `response_format`.
pub(crate) fn check_response_format(body: &Object) -> Result<(), RequestError> {
    let Some(format) = field(body, "response_format") else { return Ok(()) };
    let format = format.nested()?;
    if format.required_one_of("type", &FORMAT_TYPES)? != "json_schema" {
        return Ok(());
    }
    format.required("json_schema", |schema| {
        let schema = schema.nested()?;
        schema.reject_unknown(&["name", "schema", "strict", "description"])?;
        schema.required_identifier("name")?;
        schema.optional("schema", |schema| schema.as_object().map(drop))?;
        schema.optional_bool("strict").map(drop)
    })
}

/// Checks the tool fields of a chat request: `tools`, `tool_choice`, `parallel_tool_calls` and the deprecated
/// `functions` and `function_call`.
pub(crate) fn check_tools(body: &Object) -> Result<(), RequestError> {
    let tool_names = read_tool_names(body)?;
    let parallel = field(body, "parallel_tool_calls").map(Field::as_bool).transpose()?;
    if parallel.is_some() && tool_names.is_empty() {
        return Err(RequestError::invalid_value("parallel_tool_calls", "absent without tools"));
    }
    if let Some(choice) = field(body, "tool_choice") {
        check_tool_choice(choice, &tool_names, ToolChoiceForm::Chat)?;
    }
    check_function_call(body, &tool_names)
}

/// Checks `tools` and its deprecated form `functions`. Returns the names of all functions in them.
fn read_tool_names(body: &Object) -> Result<Vec<String>, RequestError> {
    let mut tool_names = Vec::new();
    if let Some(tools) = field(body, "tools") {
        let tools = tools.as_array()?;
        if tools.is_empty() || tools.len() > MAX_TOOLS {
            return Err(RequestError::invalid_value("tools", "1 to 128 tools"));
        }
        for (index, tool) in tools.iter().enumerate() {
            let tool = NestedObject::new(tool, format!("tools[{index}]"))?;
            if tool.required_one_of("type", &["function", "custom"])? == "custom" {
                return Err(RequestError::unsupported(&tool.path_of("type"), "tools are functions"));
            }
            tool_names.push(tool.required("function", read_function)?);
        }
    }
    if let Some(functions) = field(body, "functions") {
        for (index, value) in functions.as_array()?.iter().enumerate() {
            tool_names.push(read_function(Field { value, path: &format!("functions[{index}]") })?);
        }
    }
    Ok(tool_names)
}

/// Checks the definition of a function. Returns its name.
fn read_function(function: Field<'_>) -> Result<String, RequestError> {
    let function = function.nested()?;
    function.reject_unknown(&["name", "description", "parameters", "strict"])?;
    function.optional_text("description")?;
    function.optional("parameters", |parameters| parameters.as_object().map(drop))?;
    function.optional_bool("strict")?;
    function.required_identifier("name")
}

/// Checks `tool_choice`, which may only name one of the tools in the request.
pub(crate) fn check_tool_choice(
    choice: Field<'_>,
    tool_names: &[String],
    form: ToolChoiceForm,
) -> Result<(), RequestError> {
    if let Value::String(text) = choice.value {
        choice.one_of(&["none", "auto", "required"])?;
        if tool_names.is_empty() && text == "required" {
            return Err(RequestError::invalid_value("tool_choice", "absent without tools"));
        }
        return Ok(());
    }
    let choice = choice.nested()?;
    choice.required_one_of("type", &["function"])?;
    let (name, path) = match form {
        ToolChoiceForm::Chat => {
            let name =
                choice.required("function", |function| function.nested()?.required_identifier("name"))?;
            (name, "tool_choice.function.name")
        }
        ToolChoiceForm::Response => (choice.required_identifier("name")?, "tool_choice.name"),
    };
    if tool_names.contains(&name) {
        Ok(())
    } else {
        Err(RequestError::invalid_value(path, "that of a tool"))
    }
}

/// Checks `function_call`, the deprecated form of `tool_choice`.
fn check_function_call(body: &Object, tool_names: &[String]) -> Result<(), RequestError> {
    let Some(choice) = field(body, "function_call") else { return Ok(()) };
    if choice.value.is_string() {
        return choice.one_of(&["none", "auto"]).map(drop);
    }
    let name = choice.nested()?.required_identifier("name")?;
    if tool_names.contains(&name) {
        Ok(())
    } else {
        Err(RequestError::invalid_value("function_call.name", "that of a function"))
    }
}
