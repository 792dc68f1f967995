//! Reloading the configuration file while the program runs: which settings may change, and which need a restart.

use std::net::SocketAddr;

use serde_json::Value;

use crate::edge::settings::config::Config;
use crate::edge::settings::error::{ConfigError, Problem};
use crate::interface::Settings;

/// Keys that a reloaded file may lack even if the running configuration has them.
const OPTIONAL_KEYS: [&str; 2] = ["aim_stretch", "fleet"];

/// A configuration file that was reloaded and checked, but is not applied yet.
#[derive(Clone, Debug)]
pub struct ReloadedConfig {
    /// The new address of the discovery agent.
    pub discovery: SocketAddr,
    /// The new settings of the router, with the running values of those that can't change before a restart.
    pub settings: Settings,
    /// Names of changed settings that take effect only at a restart.
    pub needs_restart: Vec<&'static str>,
    /// The content of the file, see `Config::file`.
    pub(super) file: Value,
}

impl Config {
    /// Reads the file at `path` while the program runs with this configuration, and checks all of it. The running
    /// configuration is not changed; see [`Config::apply`].
    ///
    /// # Errors
    /// See [`Config::read`]; also, a key that the running configuration has is missing in the file.
    pub fn read_again(
        &self,
        path: &str,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<ReloadedConfig, ConfigError> {
        let new = Self::read(path, environment)?;
        if let Some(key) = missing_key(&self.file, &new.file, "") {
            return Err(ConfigError::Malformed { path: path.to_owned(), problem: Problem::MissingKey(key) });
        }
        let needs_restart = self.changes_needing_restart(&new);
        // The known servers were parsed, and the open sockets bound, with these settings, so they can't change
        // before a restart.
        let settings = Settings {
            zone: self.settings.zone,
            kinds: self.settings.kinds.clone(),
            must_subscribe: self.settings.must_subscribe,
            max_list_age: self.settings.max_list_age,
            gossip_allowed: self.settings.gossip_allowed,
            ..new.settings
        };
        Ok(ReloadedConfig { discovery: new.discovery, settings, needs_restart, file: new.file })
    }

    /// Makes a reloaded configuration the running one.
    pub fn apply(&mut self, reloaded: &ReloadedConfig) {
        self.discovery = reloaded.discovery;
        self.settings = reloaded.settings.clone();
        self.file = reloaded.file.clone();
    }

    fn changes_needing_restart(&self, new: &Self) -> Vec<&'static str> {
        let (old_settings, new_settings) = (&self.settings, &new.settings);
        let checks = [
            (new.name != self.name, "name"),
            (new.listen != self.listen, "listen"),
            (new.admin != self.admin, "admin_addr"),
            (new.peers != self.peers, "peer_listen, peers_all or limits.peers"),
            (new.limits != self.limits, "limits.memory_mb or limits.sockets"),
            (new.names != self.names, "failure_domains or kinds"),
            (new_settings.kinds != old_settings.kinds, "domain.role_by_kind or kind_memory_tokens"),
            (new_settings.zone != old_settings.zone, "locality"),
            (new_settings.must_subscribe != old_settings.must_subscribe, "settings.discovery"),
            (new_settings.max_list_age != old_settings.max_list_age, "rules.must_ask_in_s"),
            (new.keepalive != self.keepalive, "limits.keepalive_s"),
            (new.connect_timeout != self.connect_timeout, "limits.connect_timeout_s"),
            (new.resume != self.resume, "domain.resume"),
        ];
        let mut changed = Vec::new();
        for (differs, name) in checks {
            if differs {
                changed.push(name);
            }
        }
        changed
    }
}

/// The path of the first key of `old` that `new` lacks. In a list of objects, each new object must have the keys that
/// are common to all old objects.
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

/// An object with the keys that all objects of the list have; `None` if the list is empty or has other items.
fn common_keys(list: &[Value]) -> Option<Value> {
    let mut objects = list.iter().map(Value::as_object);
    let mut common = objects.next()??.clone();
    for object in objects {
        let object = object?;
        common.retain(|key, _| object.contains_key(key));
    }
    Some(Value::Object(common))
}
