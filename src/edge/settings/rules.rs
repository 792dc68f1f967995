//! What requests are held to: each of these settings must be there and make sense, as a guess could break a rule.

use serde_json::Value;

use crate::edge::settings::error::{Problem, RuleError};

/// The longest deadline or latency objective (seconds), and the highest weight.
pub(super) const MAX_VALUE: f64 = 1e6;

/// Settings that are one value. Read as pairs, a list of one would look like its item.
const SINGLE_VALUES: [&str; 15] = [
    "balancers",
    "locality",
    "discovery",
    "resolution_s",
    "limits.cancel",
    "limits.peers",
    "limits.keepalive_s",
    "limits.connect_timeout_s",
    "limits.max_retry_after_s",
    "domain.resume",
    "domain.local_read",
    "domain.release_within_s",
    "rules.must_ask_in_s",
    "rules.cold_s",
    "rules.fall_s",
];
/// Settings that are lists of words.
const WORD_LISTS: [&str; 3] = ["kinds", "failure_domains", "domain.role_by_kind"];

/// Checks the settings.
///
/// # Errors
/// The first one that can't be used, by its path.
pub(super) fn check(settings: &Value) -> Result<(), Problem> {
    check_attempts(settings)?;
    check_forms(settings)?;
    check_zone(settings)?;
    check_classes(settings)
}

fn invalid(path: impl Into<String>, error: RuleError) -> Problem {
    Problem::Rule { path: path.into(), error }
}

/// The setting at a path with dots.
fn at_path<'a>(settings: &'a Value, path: &str) -> Option<&'a Value> {
    settings.pointer(&format!("/{}", path.replace('.', "/")))
}

/// A key's number, which must be positive; `parent` is the path of `object`.
fn positive(object: &Value, parent: &str, key: &str) -> Result<f64, Problem> {
    let path = format!("{parent}.{key}");
    let Some(value) = object.get(key) else { return Err(Problem::MissingSetting(path)) };
    match value.as_f64() {
        Some(number) if number > 0.0 && number <= MAX_VALUE => Ok(number),
        _ => Err(invalid(path, RuleError::NotPositive { value: value.clone(), max: MAX_VALUE })),
    }
}

fn check_attempts(settings: &Value) -> Result<(), Problem> {
    let attempts = positive(&settings["limits"], "limits", "max_attempts")?;
    if attempts.fract() != 0.0 {
        return Err(invalid("limits.max_attempts", RuleError::NotWhole(attempts)));
    }
    Ok(())
}

fn check_forms(settings: &Value) -> Result<(), Problem> {
    for path in SINGLE_VALUES {
        let Some(value) = at_path(settings, path) else { continue };
        if value.is_array() || value.is_object() {
            return Err(invalid(path, RuleError::NotSingle(value.clone())));
        }
    }
    for path in WORD_LISTS {
        let Some(value) = at_path(settings, path) else { continue };
        if value.as_array().is_none_or(|items| !items.iter().all(is_word)) {
            return Err(invalid(path, RuleError::NoWords(value.clone())));
        }
    }
    Ok(())
}

/// Whether an item of a list is a word: read as pairs, the items of a list are told apart by commas.
fn is_word(item: &Value) -> bool {
    item.as_str().is_some_and(|text| !text.is_empty() && !text.contains(','))
}

fn check_zone(settings: &Value) -> Result<(), Problem> {
    let count = settings["failure_domains"].as_array().map_or(0, Vec::len);
    match settings["locality"].as_u64() {
        Some(zone) if count > 0 && zone >= count as u64 => {
            Err(invalid("locality", RuleError::UnknownZone { zone, count }))
        }
        _ => Ok(()),
    }
}

fn check_classes(settings: &Value) -> Result<(), Problem> {
    let mut names = Vec::new();
    for (number, class) in settings["lanes"].as_array().into_iter().flatten().enumerate() {
        let parent = format!("lanes.{number}");
        check_class(class, &parent)?;
        let name = &class["name"];
        if names.contains(&name) {
            return Err(invalid(format!("{parent}.name"), RuleError::Duplicate(name.clone())));
        }
        names.push(name);
    }
    Ok(())
}

fn check_class(class: &Value, parent: &str) -> Result<(), Problem> {
    let path = |key: &str| format!("{parent}.{key}");
    for key in ["name", "effect"] {
        let Some(value) = class.get(key) else { return Err(Problem::MissingSetting(path(key))) };
        if value.as_str().is_none_or(str::is_empty) {
            return Err(invalid(path(key), RuleError::NoText(value.clone())));
        }
    }
    for key in ["aim_s", "give_up_s"] {
        positive(class, parent, key)?;
    }
    if let Some(value) = class.get("group").filter(|value| !value.is_string()) {
        return Err(invalid(path("group"), RuleError::NoText(value.clone())));
    }
    for key in ["worth", "late_worth", "dedup_window_s"] {
        let Some(value) = class.get(key) else { continue };
        if value.as_f64().is_none_or(|number| !(0.0..=MAX_VALUE).contains(&number)) {
            let error = RuleError::NotANumber { value: value.clone(), max: MAX_VALUE };
            return Err(invalid(path(key), error));
        }
    }
    Ok(())
}
