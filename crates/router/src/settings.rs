//! Settings as `path=value` pairs: the one form in which the simulator and the configuration file meet.
//!
//! An empty value and `-` stand for an absent one. Paths that are not known are skipped.

use std::collections::HashMap;
use std::str::FromStr;

use thiserror::Error;

use crate::interface::{Class, DedupGroup, Effect, Kind, Micros, Role, Settings, ZoneId, REPORT_FIELDS};

/// A value that can't be read.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("settings {path}: {problem}")]
pub struct SettingsError {
    /// Which value.
    pub path: String,
    /// What is wrong with it.
    pub problem: SettingsProblem,
}

/// What is wrong with a value. Operators and the simulator see these texts.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsProblem {
    /// No whole number, or no number at all, as the path wants it.
    #[error("can't read '{0}'")]
    Unreadable(String),
    /// No number of a list.
    #[error("'{0}' is no number")]
    NotANumber(String),
    /// No time in seconds.
    #[error("'{0}' is no time")]
    NotATime(String),
    /// A time of a list that is negative.
    #[error("{0} is no time")]
    NegativeTime(f64),
    /// A price that is negative or not finite.
    #[error("{0} is no price")]
    NotAPrice(f64),
    /// Neither `true` nor `false`, nor 1 nor 0.
    #[error("'{0}' is neither true nor false")]
    NotAFlag(String),
    /// Outside of what it may be.
    #[error("{value} is not {min} to {max}")]
    OutOfRange {
        /// What was told.
        value: f64,
        /// The least that it may be.
        min: f64,
        /// The most.
        max: f64,
    },
    /// A word that the path does not have.
    #[error("unknown {what} '{word}'")]
    UnknownWord {
        /// What the words of the path stand for.
        what: &'static str,
        /// The word.
        word: String,
    },
    /// The name of two kinds of servers.
    #[error("'{0}' is there twice")]
    DuplicateKind(String),
    /// A memory that is not a positive number.
    #[error("{value} of kind {kind} is not a positive number")]
    InvalidMemory {
        /// What was told.
        value: f64,
        /// The kind's number.
        kind: usize,
    },
}

/// More dispatchers than this are a mistake in the settings.
const MAX_DISPATCHERS: u32 = 100_000;
/// Tokens, times in seconds and multiples above this are mistakes in the settings.
const MAX_NUMBER: f64 = 1e12;
/// Where a class's time-out is not told (us).
const DEFAULT_TIMEOUT_US: Micros = 10_000_000;
/// What `domain.report_xN` says of a field that holds the share of memory held; the configuration has blanks
/// there, the simulator, whose values have none, these.
const MEMORY_HELD: &str = "share_of_memory_that_is_held";
/// Times of classes lie below this path.
const CLASSES: &str = "lanes.";

/// The pairs, looked up by path.
struct KeyValues<'a> {
    values: HashMap<&'a str, &'a str>,
}

impl<'a> KeyValues<'a> {
    /// The value at a path, unless it is absent.
    fn told(&self, path: &str) -> Option<&'a str> {
        self.values.get(path).copied().filter(|text| !matches!(*text, "" | "-"))
    }

    /// The value at a path as it stands; empty where there is none.
    fn text(&self, path: &str) -> &'a str {
        self.values.get(path).copied().unwrap_or("")
    }

    fn number<T: FromStr>(&self, path: &str, absent: T) -> Result<T, SettingsError> {
        let Some(text) = self.told(path) else { return Ok(absent) };
        text.parse().map_err(|_| error(path, SettingsProblem::Unreadable(text.to_owned())))
    }

    /// A time in seconds.
    fn time_us(&self, path: &str, absent: Micros) -> Result<Micros, SettingsError> {
        let Some(text) = self.told(path) else { return Ok(absent) };
        // Negative times of classes count as 0 here; they are refused with more to say where a file is read.
        let may_be_negative = path.starts_with(CLASSES);
        let time_us = parse_micros(text).filter(|_| may_be_negative || !text.starts_with('-'));
        time_us.ok_or_else(|| error(path, SettingsProblem::NotATime(text.to_owned())))
    }

    fn price(&self, path: &str) -> Result<f64, SettingsError> {
        let price: f64 = self.number(path, 0.0)?;
        if !price.is_finite() || price < 0.0 {
            return Err(error(path, SettingsProblem::NotAPrice(price)));
        }
        Ok(price)
    }

    fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path) {
            "true" | "1" => Ok(true),
            "false" | "0" | "" | "-" => Ok(false),
            other => Err(error(path, SettingsProblem::NotAFlag(other.to_owned()))),
        }
    }

    /// A number from 0 to `max`.
    fn number_up_to(&self, path: &str, absent: f64, max: f64) -> Result<f64, SettingsError> {
        let value = self.number(path, absent)?;
        if !(0.0..=max).contains(&value) {
            return Err(error(path, SettingsProblem::OutOfRange { value, min: 0.0, max }));
        }
        Ok(value)
    }

    fn list(&self, path: &str) -> Vec<&'a str> {
        self.text(path).split(',').filter(|part| !part.is_empty()).collect()
    }

    /// A number of the list at a path; 0 where it is not told.
    fn number_in_list(&self, path: &str, position: usize) -> Result<f64, SettingsError> {
        let Some(&text) = self.list(path).get(position) else { return Ok(0.0) };
        let number = text.parse().ok().filter(|number: &f64| number.abs() < MAX_NUMBER);
        number.ok_or_else(|| error(path, SettingsProblem::NotANumber(text.to_owned())))
    }

    /// A time of the list at a path, in the path's own unit; 0 where it is not told.
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

/// Reads settings from their `path=value` pairs. Unknown paths are skipped.
///
/// # Errors
/// The first value that can't be read.
pub fn from_key_values(values: HashMap<&str, &str>) -> Result<Settings, SettingsError> {
    let values = KeyValues { values };
    let class_count = values.number("lanes.count", 0)?;
    Ok(Settings {
        dispatcher_count: dispatcher_count(&values)?,
        zone: ZoneId(values.number("locality", 0)?),
        classes: (0..class_count).map(|at| Ok((at, class(&values, at)?))).collect::<Result<_, _>>()?,
        kinds: kinds(&values)?,
        must_subscribe: must_subscribe(&values)?,
        max_list_age: values.time_us("rules.must_ask_in_s", 0)?,
        may_cancel: values.flag("limits.cancel")?,
        peers: values.flag("limits.peers")?,
        gossip_price: values.price("prices.peer")?,
        writers_can_read: values.flag("domain.local_read")?,
        max_retry_after: values.time_us("limits.max_retry_after_s", 0)?,
        max_hold_time: values.time_us("domain.release_within_s", 0)?,
        resolution: values.time_us("resolution_s", 0)?,
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
        other => Err(unknown_word("discovery", "way", other)),
    }
}

/// The report field that holds the share of memory held, where one is told to.
fn memory_field(values: &KeyValues) -> Option<usize> {
    let meaning = |field: &usize| values.text(&format!("domain.report_x{field}")).replace(' ', "_");
    (0..REPORT_FIELDS).find(|field| meaning(field) == MEMORY_HELD)
}

fn class(values: &KeyValues, number: u32) -> Result<Class, SettingsError> {
    let path = |name: &str| format!("{CLASSES}{number}.{name}");
    let position = number as usize;
    let effect = effect(values, &path("effect"))?;
    let dedup_group = dedup_group(values, &path("group"))?;
    let name = values.text(&path("name"));
    let objective_per_1000_us = "domain.aim_us_per_1000_prompt_tokens";
    Ok(Class {
        name: if name.is_empty() { number.to_string() } else { name.to_owned() },
        default_timeout: values.time_us(&path("give_up_s"), DEFAULT_TIMEOUT_US)?,
        max_attempts: values.number("limits.max_attempts", u32::MAX)?,
        retired: false,
        latency_objective: values.time_us(&path("aim_s"), 0)?,
        latency_objective_per_1000_tokens: round(values.time_in_list(objective_per_1000_us, position)?),
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
        other => Err(unknown_word(path, "effect", other)),
    }
}

fn dedup_group(values: &KeyValues, path: &str) -> Result<DedupGroup, SettingsError> {
    match values.text(path) {
        "zone" => Ok(DedupGroup::Zone),
        "cell" => Ok(DedupGroup::Cell),
        "all" | "" | "-" => Ok(DedupGroup::All),
        // A guess could send what may have run to a server that does not know of it.
        other => Err(unknown_word(path, "group", other)),
    }
}

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

fn role(word: Option<&str>) -> Result<Role, SettingsError> {
    match word {
        Some("read") => Ok(Role::Reader),
        Some("write") => Ok(Role::Writer),
        Some("both") | None => Ok(Role::Mixed),
        Some(other) => Err(unknown_word("domain.role_by_kind", "role", other)),
    }
}

/// The memory of a kind of servers in tokens; 0 where it is not told.
fn memory_tokens(values: &KeyValues, kind: usize) -> Result<u64, SettingsError> {
    let path = "domain.kind_memory_tokens";
    let value = values.number_in_list(path, kind)?;
    let is_told = values.list(path).get(kind).is_some();
    if is_told && !(value.is_finite() && value > 0.0) {
        return Err(error(path, SettingsProblem::InvalidMemory { value, kind }));
    }
    Ok(round(value))
}

/// Seconds with decimals, in whole microseconds; `None` where the text is no time.
#[must_use]
pub fn parse_micros(text: &str) -> Option<Micros> {
    let seconds: f64 = text.parse().ok()?;
    (seconds.is_finite() && seconds.abs() < MAX_NUMBER).then(|| round(seconds * 1e6))
}

/// The nearest whole number; 0 for a negative one.
fn round(value: f64) -> u64 {
    value.round().max(0.0) as u64
}
