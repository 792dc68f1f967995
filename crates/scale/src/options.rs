//! Options of the command line, checked before anything starts: an error names its option.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use pico_args::Arguments;
use thiserror::Error;

/// Why options can't be used; one plain line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum OptionsError {
    /// A value that can't be read.
    #[error("{option}: '{value}' is no {wanted}")]
    Unreadable {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// What is wanted.
        wanted: &'static str,
    },
    /// A number out of its range.
    #[error("{option}: {value} is not {least} to {most}")]
    OutOfRange {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// The least.
        least: String,
        /// The most.
        most: String,
    },
    /// An option without its value.
    #[error("{option}: a value is missing")]
    NoValue {
        /// The option.
        option: &'static str,
    },
    /// Something that is no option.
    #[error("{what}: not known here")]
    Unknown {
        /// What was given.
        what: String,
    },
    /// Two values that don't go together.
    #[error("{option}: {why}")]
    Conflict {
        /// The option.
        option: &'static str,
        /// Why.
        why: String,
    },
}

/// A value by its option, or `absent`.
///
/// # Errors
/// An option without a value, or with one that can't be read.
pub fn text(arguments: &mut Arguments, option: &'static str, absent: &str) -> Result<String, OptionsError> {
    let given = arguments.opt_value_from_str::<_, String>(option);
    given
        .map(|value| value.unwrap_or_else(|| absent.to_owned()))
        .map_err(|_| OptionsError::NoValue { option })
}

/// A number by its option, or `absent`.
///
/// # Errors
/// One that can't be read or is out of its range.
pub fn number<T: FromStr + Display + PartialOrd + Copy>(
    arguments: &mut Arguments,
    option: &'static str,
    absent: T,
    range: RangeInclusive<T>,
) -> Result<T, OptionsError> {
    let value = text(arguments, option, &absent.to_string())?;
    in_range(option, &value, &range)
}

/// Numbers with commas between them, by their option, or `absent`.
///
/// # Errors
/// One that can't be read or is out of its range, or none at all.
pub fn numbers<T: FromStr + Display + PartialOrd + Copy>(
    arguments: &mut Arguments,
    option: &'static str,
    absent: &str,
    range: RangeInclusive<T>,
) -> Result<Vec<T>, OptionsError> {
    let value = text(arguments, option, absent)?;
    value.split(',').map(|one| in_range(option, one, &range)).collect()
}

fn in_range<T: FromStr + Display + PartialOrd + Copy>(
    option: &'static str,
    value: &str,
    range: &RangeInclusive<T>,
) -> Result<T, OptionsError> {
    let unreadable = || OptionsError::Unreadable { option, value: value.to_owned(), wanted: "number" };
    let number = value.trim().parse().map_err(|_| unreadable())?;
    if range.contains(&number) {
        return Ok(number);
    }
    let (least, most) = (range.start().to_string(), range.end().to_string());
    Err(OptionsError::OutOfRange { option, value: value.to_owned(), least, most })
}

/// One of some words by its option, or the first of them.
///
/// # Errors
/// Another word.
pub fn one_of<T: Copy>(
    arguments: &mut Arguments,
    option: &'static str,
    words: &[(&'static str, T)],
) -> Result<T, OptionsError> {
    let value = text(arguments, option, words[0].0)?;
    let found = words.iter().find(|(word, _)| *word == value);
    found.map(|(_, meaning)| *meaning).ok_or(OptionsError::Unreadable { option, value, wanted: "known word" })
}

/// Nothing may be left.
///
/// # Errors
/// What is left.
pub fn end(arguments: Arguments) -> Result<(), OptionsError> {
    let left: Vec<String> = arguments.finish().iter().map(|word| word.to_string_lossy().into()).collect();
    // Cargo passes this on to every bench.
    match left.into_iter().find(|word| word != "--bench") {
        Some(what) => Err(OptionsError::Unknown { what }),
        None => Ok(()),
    }
}
