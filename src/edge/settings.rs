//! What the program is told at its start, by the platform's configuration file.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use log::{info, warn};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;
use tokio::sync::watch;

use crate::edge::listing::{Listing, Names};
use crate::interface::{Key, Settings};
use dewladder_router::pairs::from_pairs;

/// A client may be left without an event for 5 s. Where it can ask for the rest, a stream is cut in good time
/// before that; where it can't, cutting loses the request, so that the last moment is waited for.
const STALL_RESUMED: Duration = Duration::from_millis(4_500);
const STALL_LOST: Duration = Duration::from_millis(4_950);

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
    /// A stream without an event for so long has stalled and is cut.
    pub stall: Duration,
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

    /// Reads the file at `path` again while the program runs, and passes on where discovery is now. All else
    /// in it is what the program was started with. One that can't be used changes nothing.
    pub fn read_again(
        path: &str,
        environment: impl Fn(&str) -> Option<String>,
        discovery: &watch::Sender<SocketAddr>,
    ) {
        match Self::read(path, environment) {
            Ok(config) => {
                info!("configuration read again: discovery is at {}", config.discovery);
                discovery.send_replace(config.discovery);
            }
            Err(error) => warn!("configuration not taken over, the old one stands: {error}"),
        }
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
        let settings = from_pairs(values).map_err(|error| bad(error.to_string()))?;
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
        let resume = pairs.get("domain.resume").is_some_and(|text| text == "true");
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
            stall: if resume { STALL_RESUMED } else { STALL_LOST },
            settings,
        })
    }

    /// Requests that are open at once: each may need a socket on either side.
    #[must_use]
    pub fn most_open(&self) -> usize {
        (self.limits.sockets / 3).max(4)
    }

    /// Client connections at once, with those that stand idle: together with a server's socket for each open
    /// request, a sixth for idle connections to servers, and some for releases, the list and clients that are
    /// told that there is no room, these are all descriptors.
    #[must_use]
    pub fn most_connections(&self) -> usize {
        (self.limits.sockets / 2).saturating_sub(16).max(4)
    }

    /// Idle connections that are kept to each server.
    #[must_use]
    pub fn most_idle(&self) -> usize {
        let servers = self.known.members.len().max(10);
        ((self.limits.sockets / 6).saturating_sub(16) / servers).max(1)
    }
}

/// The fronts beside the platform's, as a file under `deploy/` sets them; without one all are off.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fronts {
    /// The chat API.
    pub chat: Option<ChatSettings>,
    /// HAProxy's agent check.
    pub agent_check: Option<AgentSettings>,
}

/// The chat front's settings.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatSettings {
    /// Whether it listens.
    #[serde(default)]
    pub enabled: bool,
    /// Where.
    pub listen: SocketAddr,
    /// The class of each model's requests, by names.
    #[serde(default)]
    pub models: BTreeMap<String, String>,
    /// Tenants by API key; without any, no key is asked for.
    #[serde(default)]
    pub tenants: BTreeMap<String, String>,
    /// The most tokens of an answer, also where a client names no limit.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Requests that a tenant may have open at once.
    #[serde(default = "default_most_open")]
    pub most_open: usize,
}

/// The agent check's settings.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentSettings {
    /// Whether it listens.
    #[serde(default)]
    pub enabled: bool,
    /// Where.
    pub listen: SocketAddr,
}

fn default_max_tokens() -> u64 {
    800
}

fn default_most_open() -> usize {
    64
}

impl Fronts {
    /// Reads the file at `path`; where it need not be there, an absent one turns everything off.
    ///
    /// # Errors
    /// A file that can't be read or is malformed.
    pub fn read(path: &str, must_exist: bool) -> Result<Self, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(path, &text),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && !must_exist => Ok(Self::default()),
            Err(error) => Err(ConfigError::File { path: path.to_owned(), error }),
        }
    }

    /// Reads the file's text; `path` is named in errors.
    ///
    /// # Errors
    /// Text that is malformed.
    pub fn parse(path: &str, text: &str) -> Result<Self, ConfigError> {
        toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            let what = format!("line {line}: {}", error.message().replace('\n', ", "));
            ConfigError::Malformed { path: path.to_owned(), what }
        })
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
