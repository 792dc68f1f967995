//! Parses [`Settings`] from `path=value` pairs, the form that both the simulator and the configuration file
//! are converted to.
//!
//! For most paths an empty value or `-` means that the value is absent. Unknown paths are ignored.

use std::collections::HashMap;
use std::str::FromStr;

use thiserror::Error;

use crate::interface::{Class, DedupGroup, Effect, Kind, Micros, Role, Settings, ZoneId, REPORT_FIELDS};

/// A settings value that cannot be parsed or is not valid.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("settings {path}: {problem}")]
pub struct SettingsError {
    /// The path of the value, such as `limits.max_attempts`.
    pub path: String,
    /// Why the value is rejected.
    pub problem: SettingsProblem,
}

/// Why a settings value is rejected. The messages are shown to operators and returned to the simulator.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsProblem {
    /// Not a number of the type that the path requires: for most paths a whole number, not negative. Contains
    /// the text.
    #[error("'{0}' is not a valid number for this setting")]
    Unreadable(String),
    /// An element of a list that is not a number, or too large. Contains the text.
    #[error("'{0}' is not a number below 1e12")]
    NotANumber(String),
    /// Not a time in seconds, too large, or negative. Contains the text.
    #[error("'{0}' is not a valid duration (seconds, from 0 to below 1e12)")]
    NotATime(String),
    /// A negative time in a list. Contains the value.
    #[error("must be a duration of at least 0, got {0}")]
    NegativeTime(f64),
    /// A price that is negative or not finite. Contains the value.
    #[error("must be a finite number of at least 0, got {0}")]
    NotAPrice(f64),
    /// A boolean that is none of `true`, `false`, `1` and `0`. Contains the text.
    #[error("must be true or false, got '{0}'")]
    NotAFlag(String),
    /// A number outside of its valid range.
    #[error("must be between {min} and {max}, got {value}")]
    OutOfRange {
        /// The rejected value.
        value: f64,
        /// Minimum valid value.
        min: f64,
        /// Maximum valid value.
        max: f64,
    },
    /// A word that is not one of the valid ones for its path.
    #[error("'{word}' is not a valid {what}")]
    UnknownWord {
        /// What the words at this path name, followed by the valid words in parentheses.
        what: &'static str,
        /// The rejected word.
        word: String,
    },
    /// A name that two kinds of servers share. Contains the name.
    #[error("the name '{0}' is used more than once")]
    DuplicateKind(String),
    /// A memory size of a kind of servers that is not a positive number.
    #[error("must be a positive number, got {value} for kind {kind}")]
    InvalidMemory {
        /// The rejected value, in tokens.
        value: f64,
        /// The number of the kind, i.e. its position in the list.
        kind: usize,
    },
}

/// Maximum number of dispatchers; a larger number is taken for a configuration mistake.
const MAX_DISPATCHERS: u32 = 100_000;
/// Limit for numbers of tokens, times in seconds and multiples; larger ones are taken for configuration
/// mistakes.
const MAX_NUMBER: f64 = 1e12;
/// Default timeout of a class that does not set one (us).
const DEFAULT_TIMEOUT_US: Micros = 10_000_000;
/// The value of `domain.report_xN` for the load report field that contains the share of held memory. The
/// configuration file writes it with spaces, which are replaced before the comparison; the simulator, whose
/// values cannot contain spaces, writes underscores.
const MEMORY_HELD: &str = "share_of_memory_that_is_held";
/// Path prefix of the settings of classes.
const CLASSES: &str = "lanes.";

/// The pairs, with lookups that parse the value at a path.
struct KeyValues<'a> {
    values: HashMap<&'a str, &'a str>,
}

impl<'a> KeyValues<'a> {
    /// The value at a path; `None` if the path is missing or its value is empty or `-`.
    fn non_empty(&self, path: &str) -> Option<&'a str> {
        self.values.get(path).copied().filter(|text| !matches!(*text, "" | "-"))
    }

    /// The raw value at a path; empty if the path is missing.
    fn text(&self, path: &str) -> &'a str {
        self.values.get(path).copied().unwrap_or("")
    }

    /// The number at a path, or `default` if absent.
    fn number<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingsError> {
        let Some(text) = self.non_empty(path) else { return Ok(default) };
        text.parse().map_err(|_| error(path, SettingsProblem::Unreadable(text.to_owned())))
    }

    /// The time at a path, converted from seconds to microseconds, or `default` if absent.
    fn time_us(&self, path: &str, default: Micros) -> Result<Micros, SettingsError> {
        let Some(text) = self.non_empty(path) else { return Ok(default) };
        // Negative times of classes become 0 here. Reading a configuration file rejects them, with a more
        // specific message.
        let may_be_negative = path.starts_with(CLASSES);
        let time_us = parse_micros(text).filter(|_| may_be_negative || !text.starts_with('-'));
        time_us.ok_or_else(|| error(path, SettingsProblem::NotATime(text.to_owned())))
    }

    /// The price at a path, 0 if absent.
    fn price(&self, path: &str) -> Result<f64, SettingsError> {
        let price: f64 = self.number(path, 0.0)?;
        if !price.is_finite() || price < 0.0 {
            return Err(error(path, SettingsProblem::NotAPrice(price)));
        }
        Ok(price)
    }

    /// The boolean at a path, `false` if absent.
    fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path) {
            "true" | "1" => Ok(true),
            "false" | "0" | "" | "-" => Ok(false),
            other => Err(error(path, SettingsProblem::NotAFlag(other.to_owned()))),
        }
    }

    /// The number at a path, which must be from 0 to `max`, or `default` if absent.
    fn number_up_to(&self, path: &str, default: f64, max: f64) -> Result<f64, SettingsError> {
        let value = self.number(path, default)?;
        if !(0.0..=max).contains(&value) {
            return Err(error(path, SettingsProblem::OutOfRange { value, min: 0.0, max }));
        }
        Ok(value)
    }

    /// The elements of the comma-separated list at a path. Empty elements are skipped.
    fn list(&self, path: &str) -> Vec<&'a str> {
        self.text(path).split(',').filter(|part| !part.is_empty()).collect()
    }

    /// The number at a position of the list at a path; 0 if the list is shorter.
    fn number_in_list(&self, path: &str, position: usize) -> Result<f64, SettingsError> {
        let Some(&text) = self.list(path).get(position) else { return Ok(0.0) };
        let number = text.parse().ok().filter(|number: &f64| number.abs() < MAX_NUMBER);
        number.ok_or_else(|| error(path, SettingsProblem::NotANumber(text.to_owned())))
    }

    /// The time at a position of the list at a path, in the unit of that path; 0 if the list is shorter.
    fn time_in_list(&self, path: &str, position: usize) -> Result<f64, SettingsError> {
        let time = self.number_in_list(path, position)?;
        if time < 0.0 || time.is_nan() {
            return Err(error(path, SettingsProblem::NegativeTime(time)));
        }
        Ok(time)
    }
}

fn error(path: &str, problem: SettingsProblem) -> SettingsError {
    SettingsError { path: path.to_owned(), problem }
}

fn unknown_word(path: &str, what: &'static str, word: &str) -> SettingsError {
    error(path, SettingsProblem::UnknownWord { what, word: word.to_owned() })
}

/// Parses settings from `path=value` pairs. Absent values get defaults, and unknown paths are ignored.
///
/// # Errors
/// Returns the error of the first value that cannot be parsed or is not valid.
pub fn from_key_values(values: HashMap<&str, &str>) -> Result<Settings, SettingsError> {
    let values = KeyValues { values };
    let class_count = values.number("lanes.count", 0)?;
    Ok(Settings {
        dispatcher_count: dispatcher_count(&values)?,
        zone: ZoneId(values.number("locality", 0)?),
        classes: (0..class_count)
            .map(|class_number| Ok((class_number, class(&values, class_number)?)))
            .collect::<Result<_, _>>()?,
        kinds: kinds(&values)?,
        must_subscribe: must_subscribe(&values)?,
        max_list_age: values.time_us("rules.must_ask_in_s", 0)?,
        may_cancel: values.flag("limits.cancel")?,
        gossip_allowed: values.flag("limits.peers")?,
        gossip_price: values.price("prices.peer")?,
        writers_can_read: values.flag("domain.local_read")?,
        max_retry_after: values.time_us("limits.max_retry_after_s", 0)?,
        max_hold_time: values.time_us("domain.release_within_s", 0)?,
        min_batch_interval: values.time_us("resolution_s", 0)?,
        weight_is_size: matches!(values.text("weights"), "nominal" | "rough"),
        slow_start_min_share: values.number_up_to("rules.cold_from", 0.0, 1.0)?,
        slow_start_window: values.time_us("rules.cold_s", 0)?,
        overload_multiple: values.number_up_to("rules.fall_multiple", 1.0, MAX_NUMBER)?,
        overload_window: values.time_us("rules.fall_s", 0)?,
        memory_field: memory_field(&values),
    })
}

fn dispatcher_count(values: &KeyValues) -> Result<u32, SettingsError> {
    let count: u32 = values.number("balancers", 1)?;
    if !(1..=MAX_DISPATCHERS).contains(&count) {
        let (value, max) = (f64::from(count), f64::from(MAX_DISPATCHERS));
        return Err(error("balancers", SettingsProblem::OutOfRange { value, min: 1.0, max }));
    }
    Ok(count)
}

fn must_subscribe(values: &KeyValues) -> Result<bool, SettingsError> {
    match values.text("discovery") {
        "subscribe" => Ok(true),
        "automatic" | "" | "-" => Ok(false),
        other => Err(unknown_word("discovery", "way (expected subscribe or automatic)", other)),
    }
}

/// Index of the load report field that contains the share of held memory; `None` if no field is set to that.
fn memory_field(values: &KeyValues) -> Option<usize> {
    let meaning = |field: &usize| values.text(&format!("domain.report_x{field}")).replace(' ', "_");
    (0..REPORT_FIELDS).find(|field| meaning(field) == MEMORY_HELD)
}

/// Parses the class with a number. Some of its settings are elements of lists over all classes.
fn class(values: &KeyValues, number: u32) -> Result<Class, SettingsError> {
    let path = |name: &str| format!("{CLASSES}{number}.{name}");
    let position = number as usize;
    let effect = effect(values, &path("effect"))?;
    let dedup_group = dedup_group(values, &path("group"))?;
    let name = values.text(&path("name"));
    let objective_per_1000_path = "domain.aim_us_per_1000_prompt_tokens";
    Ok(Class {
        name: if name.is_empty() { number.to_string() } else { name.to_owned() },
        default_timeout: values.time_us(&path("give_up_s"), DEFAULT_TIMEOUT_US)?,
        max_attempts: values.number("limits.max_attempts", u32::MAX)?,
        retired: false,
        latency_objective: values.time_us(&path("aim_s"), 0)?,
        latency_objective_per_1000_tokens: round(values.time_in_list(objective_per_1000_path, position)?),
        token_interval_objective: round(values.time_in_list("domain.token_aim_s", position)? * 1e6),
        effect,
        dedup_group,
        dedup_window: values.time_us(&path("dedup_window_s"), 0)?,
        priority_weight: values.number(&path("worth"), 1.0)?,
    })
}

fn effect(values: &KeyValues, path: &str) -> Result<Effect, SettingsError> {
    match values.text(path) {
        "deduplicated" => Ok(Effect::Deduplicated),
        "at_most_once" => Ok(Effect::AtMostOnce),
        "idempotent" | "" => Ok(Effect::Idempotent),
        other => Err(unknown_word(path, "effect (expected idempotent, at_most_once or deduplicated)", other)),
    }
}

fn dedup_group(values: &KeyValues, path: &str) -> Result<DedupGroup, SettingsError> {
    match values.text(path) {
        "zone" => Ok(DedupGroup::Zone),
        "cell" => Ok(DedupGroup::Cell),
        "all" | "" | "-" => Ok(DedupGroup::All),
        // There is no default for unknown words: a wrong group could send a request that may have run to a
        // server that does not deduplicate it.
        other => Err(unknown_word(path, "group (expected zone, cell or all)", other)),
    }
}

/// Parses the kinds of servers. There are as many as the longer of the lists of roles and names has elements.
fn kinds(values: &KeyValues) -> Result<Vec<Kind>, SettingsError> {
    let (roles, names) = (values.list("domain.role_by_kind"), values.list("kinds"));
    for (position, name) in names.iter().enumerate() {
        if names[..position].contains(name) {
            return Err(error("kinds", SettingsProblem::DuplicateKind((*name).to_owned())));
        }
    }
    let mut kinds = Vec::new();
    for position in 0..roles.len().max(names.len()) {
        let role = role(roles.get(position).copied())?;
        kinds.push(Kind { role, memory_tokens: memory_tokens(values, position)? });
    }
    Ok(kinds)
}

/// Parses a role; a kind without one is mixed.
fn role(word: Option<&str>) -> Result<Role, SettingsError> {
    match word {
        Some("read") => Ok(Role::Reader),
        Some("write") => Ok(Role::Writer),
        Some("both") | None => Ok(Role::Mixed),
        Some(other) => Err(unknown_word("domain.role_by_kind", "role (expected read, write or both)", other)),
    }
}

/// Memory of a kind of servers in tokens; 0 if not set.
fn memory_tokens(values: &KeyValues, kind: usize) -> Result<u64, SettingsError> {
    let path = "domain.kind_memory_tokens";
    let value = values.number_in_list(path, kind)?;
    let is_set = values.list(path).get(kind).is_some();
    if is_set && !(value.is_finite() && value > 0.0) {
        return Err(error(path, SettingsProblem::InvalidMemory { value, kind }));
    }
    Ok(round(value))
}

/// Parses a time in decimal seconds into whole microseconds; `None` if the text is not a number or too large.
/// Negative times become 0.
#[must_use]
pub fn parse_micros(text: &str) -> Option<Micros> {
    let seconds: f64 = text.parse().ok()?;
    (seconds.is_finite() && seconds.abs() < MAX_NUMBER).then(|| round(seconds * 1e6))
}

/// Rounds to the nearest whole number; negative values become 0.
fn round(value: f64) -> u64 {
    value.round().max(0.0) as u64
}
