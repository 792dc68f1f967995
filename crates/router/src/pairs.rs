//! Settings as `path=value` pairs: the one form in which the simulator's wire and the configuration file meet.

use std::collections::HashMap;
use std::str::FromStr;

use thiserror::Error;

use crate::interface::{Class, DedupGroup, Effect, Kind, Micros, Role, Settings, ZoneId, REPORT_FIELDS};

/// A value that can't be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("settings {path}: {what}")]
pub struct SettingsError {
    /// Which value.
    pub path: String,
    /// What is wrong with it.
    pub what: String,
}

/// More dispatchers than this are a mistake in the settings.
const MOST_BALANCERS: u32 = 100_000;

/// Tokens, times and multiples above this are mistakes in the settings.
const MOST: f64 = 1e12;

/// Where a class's deadline is not told (us).
const GIVE_UP: Micros = 10_000_000;

/// The pairs, looked up by path.
struct Pairs<'a> {
    values: HashMap<&'a str, &'a str>,
}

impl<'a> Pairs<'a> {
    fn bad(&self, path: &str, what: &str) -> SettingsError {
        SettingsError { path: path.to_owned(), what: what.to_owned() }
    }

    fn get<T: FromStr>(&self, path: &str, absent: T) -> Result<T, SettingsError> {
        match self.values.get(path) {
            None | Some(&("" | "-")) => Ok(absent),
            Some(text) => text.parse().map_err(|_| self.bad(path, &format!("can't read '{text}'"))),
        }
    }

    fn time(&self, path: &str, absent: Micros) -> Result<Micros, SettingsError> {
        match self.values.get(path) {
            None | Some(&("" | "-")) => Ok(absent),
            Some(text) => micros(text)
                // Those of classes are held against more than this where a file is read.
                .filter(|_| !text.starts_with('-') || path.starts_with("lanes."))
                .ok_or_else(|| self.bad(path, &format!("'{text}' is no time"))),
        }
    }

    fn price(&self, path: &str) -> Result<f64, SettingsError> {
        let price: f64 = self.get(path, 0.0)?;
        let fine = price.is_finite() && price >= 0.0;
        fine.then_some(price).ok_or_else(|| self.bad(path, &format!("{price} is no price")))
    }

    fn flag(&self, path: &str) -> Result<bool, SettingsError> {
        match self.text(path) {
            "true" | "1" => Ok(true),
            "false" | "0" | "" | "-" => Ok(false),
            other => Err(self.bad(path, &format!("'{other}' is neither true nor false"))),
        }
    }

    /// A number within what it may be.
    fn within(&self, path: &str, absent: f64, most: f64) -> Result<f64, SettingsError> {
        let number = self.get(path, absent)?;
        let fine = (0.0..=most).contains(&number);
        fine.then_some(number).ok_or_else(|| self.bad(path, &format!("{number} is not 0 to {most}")))
    }

    fn text(&self, path: &str) -> &'a str {
        self.values.get(path).copied().unwrap_or("")
    }

    fn list(&self, path: &str) -> Vec<&'a str> {
        self.text(path).split(',').filter(|part| !part.is_empty()).collect()
    }

    fn number_at(&self, path: &str, at: usize) -> Result<f64, SettingsError> {
        match self.list(path).get(at) {
            None => Ok(0.0),
            Some(text) => {
                let number = text.parse().ok().filter(|number: &f64| number.abs() < MOST);
                number.ok_or_else(|| self.bad(path, &format!("'{text}' is no number")))
            }
        }
    }

    /// A time of the list at a path, in the path's own unit; 0 where it is not told.
    fn time_at(&self, path: &str, at: usize) -> Result<f64, SettingsError> {
        let number = self.number_at(path, at)?;
        let fine = number >= 0.0;
        fine.then_some(number).ok_or_else(|| self.bad(path, &format!("{number} is no time")))
    }
}

/// Reads settings from their `path=value` pairs. Unknown paths are skipped.
///
/// # Errors
/// A value that can't be read.
pub fn from_pairs(values: HashMap<&str, &str>) -> Result<Settings, SettingsError> {
    let pairs = Pairs { values };
    let lanes = pairs.get("lanes.count", 0)?;
    let dispatcher_count: u32 = pairs.get("balancers", 1)?;
    if !(1..=MOST_BALANCERS).contains(&dispatcher_count) {
        return Err(pairs.bad("balancers", &format!("{dispatcher_count} is not 1 to {MOST_BALANCERS}")));
    }
    Ok(Settings {
        dispatcher_count,
        zone: ZoneId(pairs.get("locality", 0)?),
        classes: (0..lanes).map(|at| Ok((at, class(&pairs, at)?))).collect::<Result<_, _>>()?,
        kinds: kinds(&pairs)?,
        must_subscribe: match pairs.text("discovery") {
            "subscribe" => true,
            "automatic" | "" | "-" => false,
            other => return Err(pairs.bad("discovery", &format!("unknown way '{other}'"))),
        },
        max_list_age: pairs.time("rules.must_ask_in_s", 0)?,
        may_cancel: pairs.flag("limits.cancel")?,
        peers: pairs.flag("limits.peers")?,
        gossip_price: pairs.price("prices.peer")?,
        writers_can_read: pairs.flag("domain.local_read")?,
        max_retry_after: pairs.time("limits.max_retry_after_s", 0)?,
        max_hold_time: pairs.time("domain.release_within_s", 0)?,
        resolution: pairs.time("resolution_s", 0)?,
        slow_start_min_share: pairs.within("rules.cold_from", 0.0, 1.0)?,
        slow_start_window: pairs.time("rules.cold_s", 0)?,
        overload_multiple: pairs.within("rules.fall_multiple", 1.0, MOST)?,
        overload_window: pairs.time("rules.fall_s", 0)?,
        memory_field: (0..REPORT_FIELDS)
            .find(|at| pairs.text(&format!("domain.report_x{at}")).replace(' ', "_") == MEMORY_HELD),
    })
}

/// What `domain.report_xN` says of a field that holds the share of memory held; the configuration has blanks there,
/// the simulator's wire, whose values have none, these.
const MEMORY_HELD: &str = "share_of_memory_that_is_held";

fn class(pairs: &Pairs, at: u32) -> Result<Class, SettingsError> {
    let path = |name: &str| format!("lanes.{at}.{name}");
    let effect = match pairs.text(&path("effect")) {
        "deduplicated" => Effect::Deduplicated,
        "at_most_once" => Effect::AtMostOnce,
        "idempotent" | "" => Effect::Idempotent,
        other => return Err(pairs.bad(&path("effect"), &format!("unknown effect '{other}'"))),
    };
    let group = match pairs.text(&path("group")) {
        "zone" => DedupGroup::Zone,
        "cell" => DedupGroup::Cell,
        "all" | "" | "-" => DedupGroup::All,
        // A guess could send what may have run to a server that does not know of it.
        other => return Err(pairs.bad(&path("group"), &format!("unknown group '{other}'"))),
    };
    let name = pairs.text(&path("name"));
    Ok(Class {
        name: if name.is_empty() { at.to_string() } else { name.to_owned() },
        default_timeout: pairs.time(&path("give_up_s"), GIVE_UP)?,
        max_attempts: pairs.get("limits.max_attempts", u32::MAX)?,
        retired: false,
        latency_objective: pairs.time(&path("aim_s"), 0)?,
        latency_objective_per_1000_tokens: whole(
            pairs.time_at("domain.aim_us_per_1000_prompt_tokens", at as usize)?,
        ),
        token_interval_objective: whole(pairs.time_at("domain.token_aim_s", at as usize)? * 1e6),
        effect,
        dedup_group: group,
        dedup_window: pairs.time(&path("dedup_window_s"), 0)?,
        priority_weight: pairs.get(&path("worth"), 1.0)?,
    })
}

fn kinds(pairs: &Pairs) -> Result<Vec<Kind>, SettingsError> {
    let (roles, names) = (pairs.list("domain.role_by_kind"), pairs.list("kinds"));
    if let Some(twice) = names.iter().enumerate().find(|(at, name)| names[..*at].contains(name)) {
        return Err(pairs.bad("kinds", &format!("'{}' is there twice", twice.1)));
    }
    let count = roles.len().max(names.len());
    (0..count)
        .map(|at| {
            let role = match roles.get(at) {
                Some(&"read") => Role::Reader,
                Some(&"write") => Role::Writer,
                Some(&"both") | None => Role::Mixed,
                Some(other) => {
                    return Err(pairs.bad("domain.role_by_kind", &format!("unknown role '{other}'")));
                }
            };
            let memory = pairs.number_at("domain.kind_memory_tokens", at)?;
            let told = pairs.list("domain.kind_memory_tokens").get(at).is_some();
            if told && !(memory.is_finite() && memory > 0.0) {
                let what = format!("{memory} of kind {at} is not a positive number");
                return Err(pairs.bad("domain.kind_memory_tokens", &what));
            }
            Ok(Kind { role, memory_tokens: whole(memory) })
        })
        .collect()
}

/// Seconds with decimals, in whole microseconds; `None` where the text is no time.
#[must_use]
pub fn micros(text: &str) -> Option<Micros> {
    let seconds: f64 = text.parse().ok()?;
    (seconds.is_finite() && seconds.abs() < 1e12).then(|| whole(seconds * 1e6))
}

fn whole(value: f64) -> u64 {
    value.round().max(0.0) as u64
}
