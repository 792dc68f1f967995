//! Nested settings as the `path=value` pairs that the simulator's wire has for them, which the router reads.

use std::collections::HashMap;

use serde_json::Value;

/// The settings as texts, by paths with dots. A list of objects has its items' paths by number, and `count`.
pub(super) fn flatten(settings: &Value) -> HashMap<String, String> {
    let mut pairs = HashMap::new();
    add(String::new(), settings, &mut pairs);
    pairs
}

fn add(path: String, value: &Value, pairs: &mut HashMap<String, String>) {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                add(join(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(join("count"), items.len().to_string());
            for (number, item) in items.iter().enumerate() {
                add(join(&number.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            pairs.insert(path, items.join(","));
        }
        single => {
            pairs.insert(path, plain_text(single));
        }
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
