//! The configuration file read again while the program runs: what of it may change, and what takes a restart.

use std::net::SocketAddr;

use serde_json::Value;

use crate::edge::settings::config::Config;
use crate::edge::settings::error::{ConfigError, Problem};
use crate::interface::Settings;

/// Keys that the platform may leave out where it had them.
const OPTIONAL_KEYS: [&str; 2] = ["aim_stretch", "fleet"];

/// What SIGHUP brings.
#[derive(Clone, Debug)]
pub struct ReloadedConfig {
    /// Where discovery is from now on.
    pub discovery: SocketAddr,
    /// What the decisions go by from now on.
    pub settings: Settings,
    /// What differs too, but is taken over at a restart only.
    pub needs_restart: Vec<&'static str>,
    pub(super) file: Value,
}

impl Config {
    /// Reads the file at `path` again while the program runs on this configuration, and checks it whole.
    ///
    /// # Errors
    /// See [`Config::read`]; besides, a file that leaves out a key which the running one has.
    pub fn read_again(
        &self,
        path: &str,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadedConfig, ConfigError> {
        let new = Self::read(path, environment)?;
        if let Some(key) = missing_key(&self.file, &new.file, "") {
            return Err(ConfigError::Malformed { path: path.to_owned(), problem: Problem::MissingKey(key) });
        }
        let needs_restart = self.differences_that_need_a_restart(&new);
        // What the list's entries and the open sockets were read by stays as it is.
        let settings = Settings {
            zone: self.settings.zone,
            kinds: self.settings.kinds.clone(),
            must_subscribe: self.settings.must_subscribe,
            max_list_age: self.settings.max_list_age,
            peers: self.settings.peers,
            ..new.settings
        };
        Ok(ReloadedConfig { discovery: new.discovery, settings, needs_restart, file: new.file })
    }

    /// Goes by what was read again from now on.
    pub fn apply(&mut self, reloaded: &ReloadedConfig) {
        self.discovery = reloaded.discovery;
        self.settings = reloaded.settings.clone();
        self.file = reloaded.file.clone();
    }

    fn differences_that_need_a_restart(&self, new: &Self) -> Vec<&'static str> {
        let (ours, theirs) = (&self.settings, &new.settings);
        let checks = [
            (new.name != self.name, "name"),
            (new.listen != self.listen, "listen"),
            (new.admin != self.admin, "admin_addr"),
            (new.peers != self.peers, "peer_listen, peers_all or limits.peers"),
            (new.limits != self.limits, "limits.memory_mb or limits.sockets"),
            (new.names != self.names, "failure_domains or kinds"),
            (theirs.kinds != ours.kinds, "domain.role_by_kind or kind_memory_tokens"),
            (theirs.zone != ours.zone, "locality"),
            (theirs.must_subscribe != ours.must_subscribe, "discovery, the way of"),
            (theirs.max_list_age != ours.max_list_age, "rules.must_ask_in_s"),
            (new.keepalive != self.keepalive, "limits.keepalive_s"),
            (new.connect_timeout != self.connect_timeout, "limits.connect_timeout_s"),
            (new.resume != self.resume, "domain.resume"),
        ];
        let mut differences = Vec::new();
        for (differs, name) in checks {
            if differs {
                differences.push(name);
            }
        }
        differences
    }
}

/// The first key of `old` that `new` lacks. Of a list of objects, what all old ones have is asked of each new one.
fn missing_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let mut keys = old.iter().filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str()));
            keys.find_map(|(key, old)| match new.get(key) {
                None => Some(join(key)),
                Some(new) => missing_key(old, new, &join(key)),
            })
        }
        (Value::Object(_), _) => Some(path.to_owned()),
        (Value::Array(old), Value::Array(new)) => {
            let common = common_keys(old)?;
            let mut items = new.iter().enumerate();
            items.find_map(|(number, new)| missing_key(&common, new, &join(&number.to_string())))
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// An object with the keys that all objects of a list have; `None` where it holds others, or none.
fn common_keys(list: &[Value]) -> Option<Value> {
    let mut objects = list.iter().map(Value::as_object);
    let mut common = objects.next()??.clone();
    for object in objects {
        let object = object?;
        common.retain(|key, _| object.contains_key(key));
    }
    Some(Value::Object(common))
}
