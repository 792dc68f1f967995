//! Access to single fields of a request body, with type and range checks. A field that is `null` counts as absent,
//! because clients send either for a field that they don't set. Each error names the path of the field at fault.

use serde_json::{Map, Value};

use crate::RequestError;

/// A JSON object: the body of a request, or an object within it.
pub(crate) type Object = Map<String, Value>;

/// Maximum length of the name of a function or schema (bytes).
const MAX_IDENTIFIER_BYTES: usize = 64;
/// Limits on `metadata`: the number of pairs, and the characters of a key and of a value.
const MAX_METADATA_PAIRS: usize = 16;
const MAX_METADATA_KEY_CHARS: usize = 64;
const MAX_METADATA_VALUE_CHARS: usize = 512;

/// A value in a body, with the path that errors report for it, such as `messages[2].role`.
#[derive(Clone, Copy)]
pub(crate) struct Field<'a> {
    pub(crate) value: &'a Value,
    pub(crate) path: &'a str,
}

/// A top-level field of the body; `None` if it is absent or `null`.
pub(crate) fn field<'a>(body: &'a Object, name: &'a str) -> Option<Field<'a>> {
    body.get(name).filter(|value| !value.is_null()).map(|value| Field { value, path: name })
}

/// A top-level boolean; `false` if it is absent.
pub(crate) fn flag(body: &Object, name: &str) -> Result<bool, RequestError> {
    field(body, name).map_or(Ok(false), Field::as_bool)
}

/// The body as an object, or the error of a body of another type.
pub(crate) fn object(body: &Value) -> Result<&Object, RequestError> {
    body.as_object().ok_or_else(|| RequestError::invalid_json("the body must be an object"))
}

/// Rejects a top-level field that is not listed in `known`, even if its value is `null`.
pub(crate) fn reject_unknown(body: &Object, known: &[&str]) -> Result<(), RequestError> {
    match body.keys().find(|name| !known.contains(&name.as_str())) {
        Some(name) => Err(RequestError::unknown(name)),
        None => Ok(()),
    }
}

/// Rejects the body if it has one of these top-level fields, each given as `(name, reason)`.
pub(crate) fn reject_unsupported(body: &Object, unsupported: &[(&str, &str)]) -> Result<(), RequestError> {
    match unsupported.iter().find(|(name, _)| field(body, name).is_some()) {
        Some((name, reason)) => Err(RequestError::unsupported(name, reason)),
        None => Ok(()),
    }
}

/// Checks that these top-level fields are strings where they are present.
pub(crate) fn check_strings(body: &Object, names: &[&str]) -> Result<(), RequestError> {
    for name in names {
        if let Some(field) = field(body, name) {
            field.as_str()?;
        }
    }
    Ok(())
}

impl<'a> Field<'a> {
    pub(crate) fn as_str(self) -> Result<&'a str, RequestError> {
        self.value.as_str().ok_or_else(|| RequestError::invalid_type(self.path, "a string"))
    }

    pub(crate) fn to_text(self) -> Result<String, RequestError> {
        self.as_str().map(str::to_owned)
    }

    pub(crate) fn as_bool(self) -> Result<bool, RequestError> {
        self.value.as_bool().ok_or_else(|| RequestError::invalid_type(self.path, "a boolean"))
    }

    /// An integer from `min` to `max`, both included.
    pub(crate) fn integer_within(self, min: u64, max: u64) -> Result<u64, RequestError> {
        let number = self.value.as_u64().ok_or_else(|| match self.value {
            Value::Number(_) => {
                RequestError::invalid_value(self.path, format!("a whole number from {min} to {max}"))
            }
            _ => RequestError::invalid_type(self.path, "a whole number"),
        })?;
        if (min..=max).contains(&number) {
            Ok(number)
        } else {
            Err(RequestError::invalid_value(self.path, format!("from {min} to {max}")))
        }
    }

    /// A number from `min` to `max`, both included.
    pub(crate) fn number_within(self, min: f64, max: f64) -> Result<f64, RequestError> {
        let number = self.value.as_f64().ok_or_else(|| RequestError::invalid_type(self.path, "a number"))?;
        if (min..=max).contains(&number) {
            Ok(number)
        } else {
            Err(RequestError::invalid_value(self.path, format!("from {min} to {max}")))
        }
    }

    pub(crate) fn as_array(self) -> Result<&'a Vec<Value>, RequestError> {
        self.value.as_array().ok_or_else(|| RequestError::invalid_type(self.path, "an array"))
    }

    pub(crate) fn as_object(self) -> Result<&'a Object, RequestError> {
        self.value.as_object().ok_or_else(|| RequestError::invalid_type(self.path, "an object"))
    }

    /// The value as an object whose own fields are checked in turn.
    pub(crate) fn nested(self) -> Result<NestedObject<'a>, RequestError> {
        NestedObject::new(self.value, self.path.to_owned())
    }

    /// A string that is one of `known`.
    pub(crate) fn one_of(self, known: &[&str]) -> Result<&'a str, RequestError> {
        let text = self.as_str()?;
        if known.contains(&text) {
            Ok(text)
        } else {
            Err(RequestError::invalid_value(self.path, format!("one of {}", known.join(", "))))
        }
    }

    /// The name of a function or schema: 1 to 64 letters, digits, `_` or `-`.
    pub(crate) fn identifier(self) -> Result<String, RequestError> {
        let text = self.as_str()?;
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-');
        if !text.is_empty() && text.len() <= MAX_IDENTIFIER_BYTES && text.bytes().all(allowed) {
            Ok(text.to_owned())
        } else {
            Err(RequestError::invalid_value(self.path, "1 to 64 letters, digits, _ or -"))
        }
    }
}

/// An object nested in a body, whose fields are reported in errors by their full path.
pub(crate) struct NestedObject<'a> {
    pub(crate) object: &'a Object,
    pub(crate) path: String,
}

impl<'a> NestedObject<'a> {
    pub(crate) fn new(value: &'a Value, path: String) -> Result<Self, RequestError> {
        let object = value.as_object().ok_or_else(|| RequestError::invalid_type(&path, "an object"))?;
        Ok(Self { object, path })
    }

    /// The full path of one of the fields.
    pub(crate) fn path_of(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    /// Reads an optional field; `None` if it is absent or `null`.
    pub(crate) fn optional<T>(
        &self,
        name: &str,
        read: impl FnOnce(Field<'_>) -> Result<T, RequestError>,
    ) -> Result<Option<T>, RequestError> {
        let path = self.path_of(name);
        let Some(value) = self.object.get(name).filter(|value| !value.is_null()) else { return Ok(None) };
        read(Field { value, path: &path }).map(Some)
    }

    /// Reads a required field.
    pub(crate) fn required<T>(
        &self,
        name: &str,
        read: impl FnOnce(Field<'_>) -> Result<T, RequestError>,
    ) -> Result<T, RequestError> {
        self.optional(name, read)?.ok_or_else(|| RequestError::missing(&self.path_of(name)))
    }

    /// A required string.
    pub(crate) fn required_text(&self, name: &str) -> Result<String, RequestError> {
        self.required(name, |field| field.to_text())
    }

    /// A required name of a function or schema.
    pub(crate) fn required_identifier(&self, name: &str) -> Result<String, RequestError> {
        self.required(name, |field| field.identifier())
    }

    /// An optional string.
    pub(crate) fn optional_text(&self, name: &str) -> Result<Option<String>, RequestError> {
        self.optional(name, |field| field.to_text())
    }

    /// An optional boolean.
    pub(crate) fn optional_bool(&self, name: &str) -> Result<Option<bool>, RequestError> {
        self.optional(name, |field| field.as_bool())
    }

    /// A required string that is one of `known`.
    pub(crate) fn required_one_of(&self, name: &str, known: &[&str]) -> Result<String, RequestError> {
        self.required(name, |field| field.one_of(known).map(str::to_owned))
    }

    /// Rejects a field that is not listed in `known`, even if its value is `null`.
    pub(crate) fn reject_unknown(&self, known: &[&str]) -> Result<(), RequestError> {
        match self.object.keys().find(|name| !known.contains(&name.as_str())) {
            Some(name) => Err(RequestError::unknown(&self.path_of(name))),
            None => Ok(()),
        }
    }
}

/// Checks `metadata`: at most 16 pairs of strings, of limited length.
pub(crate) fn check_metadata(body: &Object) -> Result<(), RequestError> {
    let Some(metadata) = field(body, "metadata") else { return Ok(()) };
    let pairs = metadata.as_object()?;
    if pairs.len() > MAX_METADATA_PAIRS {
        return Err(RequestError::invalid_value(metadata.path, "of 16 pairs at most"));
    }
    for (name, value) in pairs {
        if name.chars().count() > MAX_METADATA_KEY_CHARS {
            return Err(RequestError::invalid_value(metadata.path, "of names of 64 characters at most"));
        }
        let path = format!("{}.{name}", metadata.path);
        if (Field { value, path: &path }).as_str()?.chars().count() > MAX_METADATA_VALUE_CHARS {
            return Err(RequestError::invalid_value(&path, "512 characters long at most"));
        }
    }
    Ok(())
}
