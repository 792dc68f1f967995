//! Parsing of the tab-separated fields of a line.

use std::str::FromStr;

use dewladder_router::interface::{Micros, RequestId};
use dewladder_router::settings::parse_micros;

use crate::simulator_adapter::WireError;

/// The fields of one line, parsed from left to right. Errors name the line and the field.
pub(super) struct Fields<'a> {
    rest: std::str::Split<'a, char>,
    pub(super) line: u64,
}

impl<'a> Fields<'a> {
    pub(super) fn new(text: &'a str, line: u64) -> Self {
        Self { rest: text.split('\t'), line }
    }

    /// The error for an invalid field of this line.
    pub(super) fn malformed(&self, field: &str, reason: &str) -> WireError {
        WireError::Malformed { line: self.line, field: field.to_owned(), reason: reason.to_owned() }
    }

    /// The next field as text; `None` at the end of the line.
    pub(super) fn next(&mut self) -> Option<&'a str> {
        self.rest.next()
    }

    /// A required text, which must not be empty.
    pub(super) fn word(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.next().filter(|text| !text.is_empty()).ok_or_else(|| self.malformed(field, "missing"))
    }

    /// An optional value, absent if the field is `-` or the line has ended.
    pub(super) fn optional<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, WireError> {
        match self.next() {
            None | Some("-") => Ok(None),
            Some(text) => text
                .parse()
                .map(Some)
                .map_err(|_| self.malformed(field, &format!("'{text}' is not a valid value"))),
        }
    }

    /// A required value.
    pub(super) fn number<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        self.optional(field)?.ok_or_else(|| self.malformed(field, "missing"))
    }

    /// An optional time: seconds with decimals on the wire, returned in microseconds.
    pub(super) fn optional_time(&mut self, field: &str) -> Result<Option<Micros>, WireError> {
        match self.next() {
            None | Some("-") => Ok(None),
            Some(text) => parse_micros(text)
                .map(Some)
                .ok_or_else(|| self.malformed(field, &format!("'{text}' is not a valid time in seconds"))),
        }
    }

    /// A required time: seconds with decimals on the wire, returned in microseconds.
    pub(super) fn time(&mut self, field: &str) -> Result<Micros, WireError> {
        self.optional_time(field)?.ok_or_else(|| self.malformed(field, "missing"))
    }

    /// A request id: sixteen hexadecimal digits.
    pub(super) fn request_id(&mut self, field: &str) -> Result<RequestId, WireError> {
        let text = self.word(field)?;
        let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
        id.map(RequestId).ok_or_else(|| {
            self.malformed(field, &format!("'{text}' is not a request id (16 hexadecimal digits)"))
        })
    }
}
