//! Parses command line options and checks them before anything starts; each error names the option.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use pico_args::Arguments;
use thiserror::Error;

/// Why the options can't be used, as one line for the user.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OptionsError {
    /// A value can't be parsed or is not one of the choices.
    #[error("{option}: '{value}' is not a {expected}")]
    InvalidValue {
        /// The option, with its dashes.
        option: &'static str,
        /// The value as given.
        value: String,
        /// The kind of value that the option takes.
        expected: &'static str,
    },
    /// A number is out of range.
    #[error("{option}: {value} is not in the range {min} to {max}")]
    OutOfRange {
        /// The option, with its dashes.
        option: &'static str,
        /// The value as given.
        value: String,
        /// Smallest allowed number.
        min: String,
        /// Largest allowed number.
        max: String,
    },
    /// The option is the last argument and has no value.
    #[error("{option}: a value is missing")]
    MissingValue {
        /// The option, with its dashes.
        option: &'static str,
    },
    /// An argument is not known.
    #[error("{argument}: unknown argument")]
    Unknown {
        /// The argument.
        argument: String,
    },
    /// A value that contradicts that of another option.
    #[error("{option}: {reason}")]
    Conflict {
        /// The option, with its dashes.
        option: &'static str,
        /// What is contradictory.
        reason: String,
    },
}

/// Takes the value of an option, or `default` if it is not given.
///
/// # Errors
/// The option has no value, or one that is not UTF-8.
pub fn text(arguments: &mut Arguments, option: &'static str, default: &str) -> Result<String, OptionsError> {
    let given = arguments.opt_value_from_str::<_, String>(option);
    given
        .map(|value| value.unwrap_or_else(|| default.to_owned()))
        .map_err(|_| OptionsError::MissingValue { option })
}

/// Takes the number given for an option, or `default`.
///
/// # Errors
/// The value is not a number or is out of range.
pub fn number<T: FromStr + Display + PartialOrd + Copy>(
    arguments: &mut Arguments,
    option: &'static str,
    default: T,
    range: RangeInclusive<T>,
) -> Result<T, OptionsError> {
    let value = text(arguments, option, &default.to_string())?;
    in_range(option, &value, &range)
}

/// Takes the comma-separated numbers given for an option, or those of `default`.
///
/// # Errors
/// One of the values is not a number or is out of range, or the list is empty.
pub fn numbers<T: FromStr + Display + PartialOrd + Copy>(
    arguments: &mut Arguments,
    option: &'static str,
    default: &str,
    range: RangeInclusive<T>,
) -> Result<Vec<T>, OptionsError> {
    let value = text(arguments, option, default)?;
    value.split(',').map(|one| in_range(option, one, &range)).collect()
}

fn in_range<T: FromStr + Display + PartialOrd + Copy>(
    option: &'static str,
    value: &str,
    range: &RangeInclusive<T>,
) -> Result<T, OptionsError> {
    let invalid = || OptionsError::InvalidValue { option, value: value.to_owned(), expected: "number" };
    let number = value.trim().parse().map_err(|_| invalid())?;
    if range.contains(&number) {
        return Ok(number);
    }
    let (min, max) = (range.start().to_string(), range.end().to_string());
    Err(OptionsError::OutOfRange { option, value: value.to_owned(), min, max })
}

/// Takes the meaning of the choice given for an option, or that of the first of `choices`.
///
/// # Errors
/// The value is none of the choices.
pub fn one_of<T: Copy>(
    arguments: &mut Arguments,
    option: &'static str,
    choices: &[(&'static str, T)],
) -> Result<T, OptionsError> {
    let value = text(arguments, option, choices[0].0)?;
    let found = choices.iter().find(|(name, _)| *name == value);
    found.map(|(_, meaning)| *meaning).ok_or(OptionsError::InvalidValue {
        option,
        value,
        expected: "known value",
    })
}

/// Checks that all arguments have been used.
///
/// # Errors
/// Names the first unused argument.
pub fn end(arguments: Arguments) -> Result<(), OptionsError> {
    let remaining: Vec<String> =
        arguments.finish().iter().map(|name| name.to_string_lossy().into()).collect();
    // Cargo passes `--bench` to every benchmark.
    match remaining.into_iter().find(|name| name != "--bench") {
        Some(argument) => Err(OptionsError::Unknown { argument }),
        None => Ok(()),
    }
}
