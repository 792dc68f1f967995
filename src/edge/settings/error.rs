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
    #[error(
        "a required address is missing: set it in the configuration file or in the environment variable {0}"
    )]
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
    #[error("environment variable {variable}: '{text}' is not a valid socket address (expected IP:port)")]
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
    #[error("settings: at least one class (lanes) and one kind of server (kinds or domain.role_by_kind) are required")]
    NoClassesOrKinds,
    /// The limit with this path is 0.
    #[error("{0}: must be at least 1, got 0")]
    ZeroLimit(&'static str),
    /// The value of a setting is not a number of seconds above 0 and below the maximum of durations.
    #[error("settings {path}: must be a number of seconds above 0 and below 1000000, got '{text}'")]
    InvalidDuration {
        /// The path of the setting.
        path: String,
        /// The value found.
        text: String,
    },
    /// The value of a setting is not a boolean.
    #[error("settings {path}: must be true or false, got '{text}'")]
    InvalidFlag {
        /// The path of the setting.
        path: &'static str,
        /// The value found.
        text: String,
    },
    /// A setting that the rules for requests (attempts, deadlines, classes) depend on is invalid.
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
    #[error("{0} is missing, but the running configuration has it")]
    MissingKey(String),
}

/// What is wrong with a setting that the request rules depend on.
#[derive(Debug, Error)]
pub enum RuleError {
    /// The value is not a number above 0, or exceeds the maximum.
    #[error("must be a positive number up to {max}, got {value}")]
    NotPositive {
        /// The value found.
        value: Value,
        /// The maximum, inclusive.
        max: f64,
    },
    /// The value is not a number, is below 0 or exceeds the maximum.
    #[error("must be a number from 0 to {max}, got {value}")]
    OutOfBounds {
        /// The value found.
        value: Value,
        /// The maximum, inclusive.
        max: f64,
    },
    /// The number has a fractional part, but the setting requires a whole number.
    #[error("must be a whole number, got {0}")]
    NotWhole(f64),
    /// The value is a list or an object where a single value is expected.
    #[error("must be a single value, got {0}")]
    NotScalar(Value),
    /// The value is not a list of non-empty strings without commas.
    #[error("must be a list of non-empty strings without commas, got {0}")]
    NotStringList(Value),
    /// The value is not a string, or is empty although the setting requires a non-empty one.
    #[error("must be a non-empty string, got {0}")]
    NotString(Value),
    /// Two classes have this name.
    #[error("another class is already named {0}")]
    Duplicate(Value),
    /// The index is not that of a configured failure domain.
    #[error("must be below {count}, the number of failure domains, got {zone}")]
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
    #[error("{field}: must be between {min} and {max}, got {value}")]
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
    #[error("{field}: must be at least 1, got 0")]
    Zero {
        /// The path of the setting.
        field: String,
    },
    /// The value exceeds its maximum.
    #[error("{field}: must be at most {max}, got {value}")]
    TooHigh {
        /// The path of the setting.
        field: String,
        /// The value found.
        value: usize,
        /// The maximum, inclusive.
        max: usize,
    },
    /// An entry of `retry_headers` is not a valid HTTP header name.
    #[error("chat.repeats.retry_headers: '{0}' is not a valid HTTP header name")]
    InvalidHeaderName(String),
    /// The value of `mode` is unknown.
    #[error("chat.resume.mode: must be 'continue' or 'restart', got '{0}'")]
    UnknownMode(String),
    /// A model is mapped to a class that the platform's configuration does not have.
    #[error("chat.models.{model}: the platform's configuration has no class named '{class}'")]
    UnknownClass {
        /// The model's name, the key in `chat.models`.
        model: String,
        /// The name of the class that does not exist.
        class: String,
    },
    /// `most` or `most_text_kib` exceeds its maximum.
    #[error("chat.resume: most must be at most 100, and most_text_kib at most 1024")]
    ResumptionTooHigh,
}
