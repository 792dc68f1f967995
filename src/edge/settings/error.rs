//! Why a configuration can't be used.

use std::io;

use serde_json::Value;
use thiserror::Error;

use crate::edge::transient::is_transient;
use dewladder_router::settings::SettingsError;

/// Why a configuration can't be used; one plain line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file that can't be read.
    #[error("can't read {path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        error: io::Error,
    },
    /// A file that is not in its format, or holds what can't be used.
    #[error("{path}: {problem}")]
    Malformed {
        /// The file.
        path: String,
        /// What is wrong.
        #[source]
        problem: Problem,
    },
    /// Something that has to be told is not.
    #[error("{0} is told neither by the configuration file nor by the environment")]
    Missing(&'static str),
}

impl ConfigError {
    /// Whether the file may be readable a moment later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::File { error, .. } if is_transient(error))
    }
}

/// What is wrong with the content of a file.
#[derive(Debug, Error)]
pub enum Problem {
    /// It is no JSON.
    #[error("{0}")]
    NotJson(#[from] serde_json::Error),
    /// A field is not of its type.
    #[error("{0}")]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// It is no TOML, or a field is not of its type.
    #[error("line {line}: {message}")]
    Toml {
        /// The line, from 1; 0 where it is not known.
        line: usize,
        /// What the parser says.
        message: String,
    },
    /// A variable of the environment that is no address.
    #[error("{variable} '{text}' is no address")]
    NoAddress {
        /// The variable.
        variable: &'static str,
        /// What it holds.
        text: String,
    },
    /// The router can't use a setting.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// Settings without classes or kinds.
    #[error("settings name no lanes or no kinds of servers")]
    NoClassesOrKinds,
    /// A limit of nothing.
    #[error("{0}: 0 is not a positive number")]
    ZeroLimit(&'static str),
    /// A setting that is no time.
    #[error("settings {path}: '{text}' is no time above 0")]
    NoTime {
        /// Its path.
        path: String,
        /// What it holds.
        text: String,
    },
    /// A setting that is no flag.
    #[error("settings {path}: '{text}' is neither true nor false")]
    NoFlag {
        /// Its path.
        path: &'static str,
        /// What it holds.
        text: String,
    },
    /// A setting by which requests are held to rules.
    #[error("settings {path}: {error}")]
    Rule {
        /// Its path.
        path: String,
        /// What is wrong with it.
        #[source]
        error: RuleError,
    },
    /// A setting that is not there, by its path.
    #[error("settings {0} is missing")]
    MissingSetting(String),
    /// A key that the running configuration has and a new one lacks.
    #[error("{0} is missing")]
    MissingKey(String),
}

/// What is wrong with a setting by which requests are held to rules.
#[derive(Debug, Error)]
pub enum RuleError {
    /// It is no positive number, or too high.
    #[error("{value} is not a positive number up to {max}")]
    NotPositive {
        /// What it holds.
        value: Value,
        /// The most that it may be.
        max: f64,
    },
    /// It is no number from 0, or too high.
    #[error("{value} is not a number from 0 to {max}")]
    NotANumber {
        /// What it holds.
        value: Value,
        /// The most that it may be.
        max: f64,
    },
    /// It has decimals.
    #[error("{0} is not a whole number")]
    NotWhole(f64),
    /// It is a list or an object.
    #[error("{0} is no single value")]
    NotSingle(Value),
    /// It is no list of words.
    #[error("{0} is no list of words")]
    NoWords(Value),
    /// It is no text, or an empty one.
    #[error("{0} is no text")]
    NoText(Value),
    /// It stands twice.
    #[error("{0} is there twice")]
    Duplicate(Value),
    /// It is the number of no failure domain.
    #[error("{zone} is none of the {count} failure domains")]
    UnknownZone {
        /// What it holds.
        zone: u64,
        /// How many failure domains there are.
        count: usize,
    },
}

/// A field of the fronts' file that can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum FieldError {
    /// It is out of its range.
    #[error("{field}: {value} is not {min} to {max}")]
    OutOfRange {
        /// Its path.
        field: String,
        /// What it holds.
        value: f64,
        /// The least that it may be.
        min: f64,
        /// The most that it may be.
        max: f64,
    },
    /// It is 0 where at least 1 is needed.
    #[error("{field}: at least 1 is needed")]
    Zero {
        /// Its path.
        field: String,
    },
    /// It is too high.
    #[error("{field}: {value} is more than {max}")]
    TooHigh {
        /// Its path.
        field: String,
        /// What it holds.
        value: usize,
        /// The most that it may be.
        max: usize,
    },
    /// The name of no header.
    #[error("chat.repeats.retry_headers: '{0}' is no header's name")]
    NoHeaderName(String),
    /// No mode of resumption.
    #[error("chat.resume.mode: '{0}' is neither continue nor restart")]
    UnknownMode(String),
    /// A model whose class the configuration does not have.
    #[error("chat.models.{model}: no class is named {class}")]
    UnknownClass {
        /// The model.
        model: String,
        /// Its class.
        class: String,
    },
    /// Limits of resumption that are too high.
    #[error("chat.resume: most is at most 100, most_text_kib at most 1024")]
    ResumptionTooHigh,
}
