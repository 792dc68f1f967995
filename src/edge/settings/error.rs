//! Errors of the settings files. Each message is one line for the person who runs the program.

use std::io;

use serde_json::Value;
use thiserror::Error;

use crate::edge::transient::is_transient;
use dewladder_router::settings::SettingsError;

/// Why a settings file can't be used. The message is a single line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("can't read {path}: {error}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The content of the file is not in its format, or a value in it can't be used.
    #[error("{path}: {problem}")]
    Malformed {
        /// The path of the file.
        path: String,
        /// What is wrong with the content.
        #[source]
        problem: Problem,
    },
    /// A required address is neither in the configuration file nor in this environment variable.
    #[error("{0} is told neither by the configuration file nor by the environment")]
    Missing(&'static str),
}

impl ConfigError {
    /// Whether reading the file failed with an error that may pass within moments, so that a retry makes sense.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::File { error, .. } if is_transient(error))
    }
}

/// What is wrong with the content of a settings file.
#[derive(Debug, Error)]
pub enum Problem {
    /// The file is not JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// A field of the configuration file is missing or has the wrong type.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The file is not TOML, or a field in it is missing or has the wrong type.
    #[error("line {line}: {message}")]
    Toml {
        /// The line number, counted from 1; 0 if unknown.
        line: usize,
        /// The parser's message.
        message: String,
    },
    /// The value of an environment variable is not a socket address.
    #[error("{variable} '{text}' is no address")]
    InvalidAddress {
        /// The name of the variable.
        variable: &'static str,
        /// The value found.
        text: String,
    },
    /// The router rejects a value under `settings`.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// `settings` has no request classes (`lanes`) or no kinds of servers.
    #[error("settings name no lanes or no kinds of servers")]
    NoClassesOrKinds,
    /// The limit with this path is 0.
    #[error("{0}: 0 is not a positive number")]
    ZeroLimit(&'static str),
    /// The value of a setting is not a positive duration in seconds.
    #[error("settings {path}: '{text}' is no time above 0")]
    InvalidDuration {
        /// The path of the setting.
        path: String,
        /// The value found.
        text: String,
    },
    /// The value of a setting is not a boolean.
    #[error("settings {path}: '{text}' is neither true nor false")]
    InvalidFlag {
        /// The path of the setting.
        path: &'static str,
        /// The value found.
        text: String,
    },
    /// A setting that the request rules depend on is invalid.
    #[error("settings {path}: {error}")]
    Rule {
        /// The path of the setting.
        path: String,
        /// What is wrong with the value.
        #[source]
        error: RuleError,
    },
    /// The required setting with this path is missing.
    #[error("settings {0} is missing")]
    MissingSetting(String),
    /// A reloaded file lacks the key with this path, which the running configuration has.
    #[error("{0} is missing")]
    MissingKey(String),
}

/// What is wrong with a setting that the request rules depend on.
#[derive(Debug, Error)]
pub enum RuleError {
    /// The value is not a number above 0, or exceeds the maximum.
    #[error("{value} is not a positive number up to {max}")]
    NotPositive {
        /// The value found.
        value: Value,
        /// The maximum, inclusive.
        max: f64,
    },
    /// The value is not a number, is below 0 or exceeds the maximum.
    #[error("{value} is not a number from 0 to {max}")]
    OutOfBounds {
        /// The value found.
        value: Value,
        /// The maximum, inclusive.
        max: f64,
    },
    /// The number has a fractional part.
    #[error("{0} is not a whole number")]
    NotWhole(f64),
    /// The value is a list or an object where a single value is expected.
    #[error("{0} is no single value")]
    NotScalar(Value),
    /// The value is not a list of non-empty strings without commas.
    #[error("{0} is no list of words")]
    NotStringList(Value),
    /// The value is not a string, or is empty where that is not allowed.
    #[error("{0} is no text")]
    NotString(Value),
    /// Two classes have this name.
    #[error("{0} is there twice")]
    Duplicate(Value),
    /// The index is not that of a configured failure domain.
    #[error("{zone} is none of the {count} failure domains")]
    UnknownZone {
        /// The value found.
        zone: u64,
        /// The number of configured failure domains.
        count: usize,
    },
}

/// Why a field of the fronts' settings file can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FieldError {
    /// The value is out of its range.
    #[error("{field}: {value} is not {min} to {max}")]
    OutOfRange {
        /// The path of the setting.
        field: String,
        /// The value found.
        value: f64,
        /// The minimum, inclusive.
        min: f64,
        /// The maximum, inclusive.
        max: f64,
    },
    /// The value is 0 where at least 1 is needed.
    #[error("{field}: at least 1 is needed")]
    Zero {
        /// The path of the setting.
        field: String,
    },
    /// The value exceeds its maximum.
    #[error("{field}: {value} is more than {max}")]
    TooHigh {
        /// The path of the setting.
        field: String,
        /// The value found.
        value: usize,
        /// The maximum, inclusive.
        max: usize,
    },
    /// An entry of `retry_headers` is not a valid HTTP header name.
    #[error("chat.repeats.retry_headers: '{0}' is no header's name")]
    InvalidHeaderName(String),
    /// The value of `mode` is unknown.
    #[error("chat.resume.mode: '{0}' is neither continue nor restart")]
    UnknownMode(String),
    /// A model is mapped to a class that the platform's configuration does not have.
    #[error("chat.models.{model}: no class is named {class}")]
    UnknownClass {
        /// The model's name, the key in `chat.models`.
        model: String,
        /// The name of the class that does not exist.
        class: String,
    },
    /// `most` or `most_text_kib` exceeds its maximum.
    #[error("chat.resume: most is at most 100, most_text_kib at most 1024")]
    ResumptionTooHigh,
}
