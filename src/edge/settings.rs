//! What the program is told at its start, by the platform's configuration file.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::edge::list::Listing;
use crate::interface::{Key, Settings};
use crate::wire::settings_from_pairs;

/// Why a configuration can't be used; one plain line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file that can't be read.
    #[error("can't read {path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What the system says.
        error: std::io::Error,
    },
    /// A file that is not in its format.
    #[error("{path}: {what}")]
    Malformed {
        /// The file.
        path: String,
        /// What is wrong.
        what: String,
    },
    /// Something that has to be told is not.
    #[error("{0} is told neither by the configuration file nor by the environment")]
    Missing(&'static str),
}

#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Listing>,
    #[serde(default)]
    settings: Value,
}

/// What the machine gives the program.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1_024 }
    }
}

/// A class of requests, as far as fronts need to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct Lane {
    /// Its name.
    pub name: String,
    /// How long a client of it waits for the first token where it does not say so.
    pub give_up: Duration,
}

/// The whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The dispatcher's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What the machine gives.
    pub limits: Limits,
    /// The list as it was last held.
    pub known: Listing,
    /// What the decisions are told.
    pub settings: Settings,
    /// The classes by number.
    pub lanes: Vec<Lane>,
    /// Names of zones and of kinds of servers, by number.
    pub names: Names,
    /// Idle connections are closed by servers after this.
    pub keepalive: Duration,
    /// Connections not established by then have failed.
    pub connect_timeout: Duration,
    /// A broken stream can be resumed by its client.
    pub resume: bool,
}

/// What the list's words stand for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zones by number.
    pub zones: Vec<String>,
    /// Kinds of servers by number.
    pub kinds: Vec<String>,
}

impl Config {
    /// Reads the file at `path`; what it leaves out is taken from `environment`.
    ///
    /// # Errors
    /// A file that is absent, malformed or leaves out what nothing else tells.
    pub fn read(path: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::File { path: path.to_owned(), error })?;
        Self::parse(path, &text, environment)
    }

    /// Reads a configuration's text; `path` is named in errors.
    ///
    /// # Errors
    /// See [`Config::read`].
    pub fn parse(
        path: &str,
        text: &str,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let bad = |what: String| ConfigError::Malformed { path: path.to_owned(), what };
        let file: File = serde_json::from_str(text).map_err(|error| bad(error.to_string()))?;
        let address = |told: Option<SocketAddr>, variable: &'static str| match told {
            Some(address) => Ok(address),
            None => {
                let text = environment(variable).ok_or(ConfigError::Missing(variable))?;
                text.parse().map_err(|_| bad(format!("{variable} '{text}' is no address")))
            }
        };
        let mut pairs = HashMap::new();
        flatten("", &file.settings, &mut pairs);
        let values = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
        let settings = settings_from_pairs(values, 1).map_err(|error| bad(error.to_string()))?;
        if settings.classes.is_empty() || settings.kinds.is_empty() {
            return Err(bad("settings name no lanes or no kinds of servers".to_owned()));
        }
        let seconds = |path: &str, absent: f64| {
            let told = pairs.get(path).and_then(|text| text.parse::<f64>().ok());
            Duration::try_from_secs_f64(told.unwrap_or(absent)).unwrap_or_default()
        };
        let names = |path: &str| {
            let text = pairs.get(path).map_or("", String::as_str);
            text.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect()
        };
        let lane = |at: usize| Lane {
            name: pairs.get(&format!("lanes.{at}.name")).cloned().unwrap_or_else(|| at.to_string()),
            give_up: seconds(&format!("lanes.{at}.give_up_s"), 10.0),
        };
        Ok(Self {
            name: file.name.or_else(|| environment("ROUTER_NAME")).unwrap_or_default(),
            listen: address(file.listen, "ROUTER_LISTEN")?,
            discovery: address(file.discovery, "ROUTER_DISCOVERY")?,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| Key::from_text(&file.seed).0),
            limits: file.limits,
            known: file.known.unwrap_or_default(),
            lanes: (0..settings.classes.len()).map(lane).collect(),
            names: Names { zones: names("failure_domains"), kinds: names("kinds") },
            keepalive: seconds("limits.keepalive_s", 30.0),
            connect_timeout: seconds("limits.connect_timeout_s", 0.25),
            resume: pairs.get("domain.resume").is_some_and(|text| text == "true"),
            settings,
        })
    }

    /// Client connections that are served at once: each may need a socket on the other side, and idle
    /// connections to servers, the list and the log need theirs.
    #[must_use]
    pub fn most_clients(&self) -> usize {
        (self.limits.sockets.saturating_sub(64) * 2 / 5).max(4)
    }

    /// Idle connections that are kept to each server.
    #[must_use]
    pub fn most_idle(&self) -> usize {
        let servers = self.known.members.len().max(16);
        (self.limits.sockets / 6 / servers).max(2)
    }
}

/// Nested settings as the `path=value` pairs that the simulator's wire has for them.
fn flatten(path: &str, value: &Value, pairs: &mut HashMap<String, String>) {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(&join(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(join("count"), items.len().to_string());
            for (at, item) in items.iter().enumerate() {
                flatten(&join(&at.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.insert(path.to_owned(), items.join(","));
        }
        plain_value => {
            pairs.insert(path.to_owned(), plain(plain_value));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
