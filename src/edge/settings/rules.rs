//! Checks of the settings that the request rules depend on (attempts, deadlines, classes and the like). Each of them
//! must be present and valid: replacing an absent or invalid value by a default could break a rule.

use serde_json::Value;

use crate::edge::settings::error::{Problem, RuleError};

/// The maximum of deadlines and latency objectives (seconds) and of priority weights.
pub(super) const MAX_VALUE: f64 = 1e6;

/// Paths of the settings that must be scalars. Flattened to `path=value` pairs, a list of one item could not be told
/// apart from the item.
const SCALARS: [&str; 15] = [
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
/// Paths of the settings that must be lists of strings.
const STRING_LISTS: [&str; 3] = ["kinds", "failure_domains", "domain.role_by_kind"];

/// Checks the `settings` object of the configuration file.
///
/// # Errors
/// The path of the first setting that is missing or invalid, and what is wrong with it.
pub(super) fn check(settings: &Value) -> Result<(), Problem> {
    check_attempts(settings)?;
    check_types(settings)?;
    check_zone(settings)?;
    check_classes(settings)
}

fn invalid(path: impl Into<String>, error: RuleError) -> Problem {
    Problem::Rule { path: path.into(), error }
}

/// The setting at a dotted path, such as `limits.cancel`.
fn at_path<'a>(settings: &'a Value, path: &str) -> Option<&'a Value> {
    settings.pointer(&format!("/{}", path.replace('.', "/")))
}

/// The positive number at `key` of `object`; `parent` is the path of `object`, for error messages.
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

fn check_types(settings: &Value) -> Result<(), Problem> {
    for path in SCALARS {
        let Some(value) = at_path(settings, path) else { continue };
        if value.is_array() || value.is_object() {
            return Err(invalid(path, RuleError::NotScalar(value.clone())));
        }
    }
    for path in STRING_LISTS {
        let Some(value) = at_path(settings, path) else { continue };
        if value.as_array().is_none_or(|items| !items.iter().all(is_list_item)) {
            return Err(invalid(path, RuleError::NotStringList(value.clone())));
        }
    }
    Ok(())
}

/// Whether a list item is a non-empty string without commas: in `path=value` pairs, commas separate the items.
fn is_list_item(item: &Value) -> bool {
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
            return Err(invalid(path(key), RuleError::NotString(value.clone())));
        }
    }
    for key in ["aim_s", "give_up_s"] {
        positive(class, parent, key)?;
    }
    if let Some(value) = class.get("group").filter(|value| !value.is_string()) {
        return Err(invalid(path("group"), RuleError::NotString(value.clone())));
    }
    for key in ["worth", "late_worth", "dedup_window_s"] {
        let Some(value) = class.get(key) else { continue };
        if value.as_f64().is_none_or(|number| !(0.0..=MAX_VALUE).contains(&number)) {
            let error = RuleError::OutOfBounds { value: value.clone(), max: MAX_VALUE };
            return Err(invalid(path(key), error));
        }
    }
    Ok(())
}
