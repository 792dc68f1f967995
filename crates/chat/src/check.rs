//! Checks of single fields. Absent and `null` are the same throughout, as clients send either.

use serde_json::{Map, Value};

use crate::Bad;

pub(crate) type Object = Map<String, Value>;

/// A field with its path, for errors.
#[derive(Clone, Copy)]
pub(crate) struct Field<'a> {
    pub(crate) value: &'a Value,
    pub(crate) path: &'a str,
}

pub(crate) fn field<'a>(object: &'a Object, name: &'a str) -> Option<Field<'a>> {
    object.get(name).filter(|value| !value.is_null()).map(|value| Field { value, path: name })
}

impl<'a> Field<'a> {
    pub(crate) fn text(self) -> Result<&'a str, Bad> {
        self.value.as_str().ok_or_else(|| Bad::kind(self.path, "a string"))
    }

    pub(crate) fn flag(self) -> Result<bool, Bad> {
        self.value.as_bool().ok_or_else(|| Bad::kind(self.path, "a boolean"))
    }

    pub(crate) fn whole(self, least: u64, most: u64) -> Result<u64, Bad> {
        let number = self.value.as_u64().ok_or_else(|| match self.value {
            Value::Number(_) => Bad::value(self.path, format!("a whole number from {least} to {most}")),
            _ => Bad::kind(self.path, "a whole number"),
        })?;
        Some(number)
            .filter(|number| (least..=most).contains(number))
            .ok_or_else(|| Bad::value(self.path, format!("from {least} to {most}")))
    }

    pub(crate) fn number(self, least: f64, most: f64) -> Result<f64, Bad> {
        let number = self.value.as_f64().ok_or_else(|| Bad::kind(self.path, "a number"))?;
        Some(number)
            .filter(|number| (least..=most).contains(number))
            .ok_or_else(|| Bad::value(self.path, format!("from {least} to {most}")))
    }

    pub(crate) fn list(self) -> Result<&'a Vec<Value>, Bad> {
        self.value.as_array().ok_or_else(|| Bad::kind(self.path, "an array"))
    }

    pub(crate) fn object(self) -> Result<&'a Object, Bad> {
        self.value.as_object().ok_or_else(|| Bad::kind(self.path, "an object"))
    }

    pub(crate) fn one_of(self, known: &[&str]) -> Result<&'a str, Bad> {
        let text = self.text()?;
        if known.contains(&text) {
            Ok(text)
        } else {
            Err(Bad::value(self.path, format!("one of {}", known.join(", "))))
        }
    }
}

/// A field of an object that lies at `path`; errors name the whole path.
pub(crate) struct At<'a> {
    pub(crate) object: &'a Object,
    pub(crate) path: String,
}

impl<'a> At<'a> {
    pub(crate) fn new(value: &'a Value, path: String) -> Result<Self, Bad> {
        let object = value.as_object().ok_or_else(|| Bad::kind(&path, "an object"))?;
        Ok(Self { object, path })
    }

    pub(crate) fn name(&self, name: &str) -> String {
        format!("{}.{name}", self.path)
    }

    pub(crate) fn maybe<T>(
        &self,
        name: &str,
        read: impl FnOnce(Field<'_>) -> Result<T, Bad>,
    ) -> Result<Option<T>, Bad> {
        let path = self.name(name);
        self.object
            .get(name)
            .filter(|value| !value.is_null())
            .map(|value| read(Field { value, path: &path }))
            .transpose()
    }

    pub(crate) fn must<T>(
        &self,
        name: &str,
        read: impl FnOnce(Field<'_>) -> Result<T, Bad>,
    ) -> Result<T, Bad> {
        self.maybe(name, read)?.ok_or_else(|| Bad::missing(&self.name(name)))
    }

    pub(crate) fn text(&self, name: &str) -> Result<String, Bad> {
        self.must(name, |field| field.text().map(str::to_owned))
    }

    /// Refuses names that are not among these.
    pub(crate) fn only(&self, known: &[&str]) -> Result<(), Bad> {
        match self.object.keys().find(|name| !known.contains(&name.as_str())) {
            Some(name) => Err(Bad::unknown(&self.name(name))),
            None => Ok(()),
        }
    }
}

/// Names of functions and schemas.
pub(crate) fn name(field: Field<'_>) -> Result<String, Bad> {
    let text = field.text()?;
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-');
    if !text.is_empty() && text.len() <= 64 && text.bytes().all(plain) {
        Ok(text.to_owned())
    } else {
        Err(Bad::value(field.path, "1 to 64 letters, digits, _ or -"))
    }
}

/// Up to 16 pairs of texts.
pub(crate) fn metadata(field: Field<'_>) -> Result<(), Bad> {
    let pairs = field.object()?;
    if pairs.len() > 16 {
        return Err(Bad::value(field.path, "of 16 pairs at most"));
    }
    for (name, value) in pairs {
        let path = format!("{}.{name}", field.path);
        if name.chars().count() > 64 {
            return Err(Bad::value(field.path, "of names of 64 characters at most"));
        }
        if (Field { value, path: &path }).text()?.chars().count() > 512 {
            return Err(Bad::value(&path, "512 characters long at most"));
        }
    }
    Ok(())
}
