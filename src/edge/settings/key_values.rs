//! Converts nested settings to `path=value` pairs. The simulator sends settings in this form, and the router parses
//! it.

use std::collections::HashMap;

use serde_json::Value;

/// Flattens the settings to a map from dotted paths to strings. The items of a list are joined by commas. In a list
/// of objects, each item's path contains its index, and the path of the list with `.count` holds the number of items.
pub(super) fn flatten(settings: &Value) -> HashMap<String, String> {
    let mut pairs = HashMap::new();
    flatten_into(String::new(), settings, &mut pairs);
    pairs
}

fn flatten_into(path: String, value: &Value, pairs: &mut HashMap<String, String>) {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten_into(join(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(join("count"), items.len().to_string());
            for (number, item) in items.iter().enumerate() {
                flatten_into(join(&number.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(scalar_text).collect();
            pairs.insert(path, items.join(","));
        }
        scalar => {
            pairs.insert(path, scalar_text(scalar));
        }
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
