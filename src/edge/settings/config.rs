//! The platform's configuration file, and the limits that follow from it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::edge::admin::DESCRIPTORS;
use crate::edge::listing::{Listing, Names};
use crate::edge::settings::error::{ConfigError, Problem};
use crate::edge::settings::key_values::flatten;
use crate::edge::settings::rules::{self, MAX_VALUE};
use crate::interface::{Key, Settings};
use dewladder_router::settings::from_key_values;

const NAME_VARIABLE: &str = "ROUTER_NAME";
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
const ADMIN_VARIABLE: &str = "ROUTER_ADMIN_ADDR";

/// A client may be left without an event for 5 s. Where it can ask for the rest, a stream is cut in good time before that.
const STALL_RESUMED: Duration = Duration::from_millis(4_500);
/// Where it can't, cutting loses the request, so that the last moment is waited for.
const STALL_LOST: Duration = Duration::from_millis(4_950);

/// Where the settings do not tell (seconds).
const DEFAULT_KEEPALIVE_S: f64 = 30.0;
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;

/// Fields of the file that only a start reads: a later file may do without, and the list is long.
const START_FIELDS: [&str; 2] = ["known", "seed"];

/// The file as it is written.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    peers_all: Option<SocketAddr>,
    admin_addr: Option<SocketAddr>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Listing>,
    #[serde(default)]
    settings: Value,
}

/// What the machine gives the program.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Limits {
    /// Whether a program can run within them.
    fn check(self) -> Result<(), Problem> {
        match self {
            Self { memory_mb: 0, .. } => Err(Problem::ZeroLimit("limits.memory_mb")),
            Self { sockets: 0, .. } => Err(Problem::ZeroLimit("limits.sockets")),
            _ => Ok(()),
        }
    }

    /// The memory in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> f64 {
        (self.memory_mb << 20) as f64
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self { memory_mb: 192, sockets: 1_024 }
    }
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
    /// Where messages of other dispatchers arrive, and the address that reaches them all; `None` where the
    /// settings bar such messages or an address is not told.
    pub peers: Option<(SocketAddr, SocketAddr)>,
    /// The second address, for staff and platform; without it nothing listens there.
    pub admin: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What the machine gives.
    pub limits: Limits,
    /// The list as it was last held.
    pub known: Listing,
    /// What the decisions are told.
    pub settings: Settings,
    /// Names of zones and of kinds of servers, by number.
    pub names: Names,
    /// Idle connections are closed by servers after this.
    pub keepalive: Duration,
    /// Connections not established by then have failed.
    pub connect_timeout: Duration,
    /// A stream without an event for so long has stalled and is cut.
    pub stall: Duration,
    /// A stream that broke may go on elsewhere.
    pub resume: bool,
    /// The file as it was read, without the list: what a later one is held against.
    pub(super) file: Value,
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
        let malformed = |problem| ConfigError::Malformed { path: path.to_owned(), problem };
        let mut raw: Value = serde_json::from_str(text).map_err(|error| malformed(error.into()))?;
        let input = &mut serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(input).map_err(|error| malformed(error.into()))?;
        if let Some(fields) = raw.as_object_mut() {
            fields.retain(|name, _| !START_FIELDS.contains(&name.as_str()));
        }
        let parsed = ParsedSettings::read(&file.settings).map_err(malformed)?;
        rules::check(&file.settings).map_err(malformed)?;
        file.limits.check().map_err(malformed)?;
        let resume = read_flag(&parsed.values, "domain.resume").map_err(malformed)?;
        let addresses = Addresses::read(path, &file, &environment)?;
        let times = Times::read(&parsed.values).map_err(malformed)?;
        let settings = parsed.settings;
        Ok(Self {
            name: file.name.or_else(|| environment(NAME_VARIABLE)).unwrap_or_default(),
            listen: addresses.listen,
            discovery: addresses.discovery,
            peers: file.peer_listen.zip(file.peers_all).filter(|_| settings.peers),
            admin: addresses.admin,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| Key::from_text(&file.seed).0),
            limits: file.limits,
            known: file.known.unwrap_or_default(),
            names: Names {
                zones: read_words(&parsed.values, "failure_domains"),
                kinds: read_words(&parsed.values, "kinds"),
            },
            keepalive: times.keepalive,
            connect_timeout: times.connect_timeout,
            stall: if resume { STALL_RESUMED } else { STALL_LOST },
            resume,
            settings,
            file: raw,
        })
    }

    /// Requests that are open at once: each may need a socket on either side.
    #[must_use]
    pub fn max_open_requests(&self) -> usize {
        (self.limits.sockets / 3).max(4)
    }

    /// Client connections at once, with those that stand idle: together with a server's socket for each open
    /// request, a sixth for idle connections to servers, and some for releases, the list and clients that are
    /// told that there is no room, these are all descriptors.
    #[must_use]
    pub fn max_client_connections(&self) -> usize {
        let second = self.admin.map_or(0, |_| DESCRIPTORS);
        (self.limits.sockets / 2).saturating_sub(16 + second).max(4)
    }

    /// Idle connections that are kept to each server.
    #[must_use]
    pub fn max_idle_per_server(&self) -> usize {
        let servers = self.known.members.len().max(10);
        ((self.limits.sockets / 6).saturating_sub(16) / servers).max(1)
    }
}

/// The settings as the router reads them, and the pairs that they were read from.
struct ParsedSettings {
    settings: Settings,
    values: HashMap<String, String>,
}

impl ParsedSettings {
    fn read(settings: &Value) -> Result<Self, Problem> {
        let values = flatten(settings);
        let pairs = values.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
        let settings = from_key_values(pairs)?;
        if settings.classes.is_empty() || settings.kinds.is_empty() {
            return Err(Problem::NoClassesOrKinds);
        }
        Ok(Self { settings, values })
    }
}

/// Times of connections to servers.
struct Times {
    keepalive: Duration,
    connect_timeout: Duration,
}

impl Times {
    fn read(values: &HashMap<String, String>) -> Result<Self, Problem> {
        Ok(Self {
            keepalive: read_time(values, "limits.keepalive_s", DEFAULT_KEEPALIVE_S)?,
            connect_timeout: read_time(values, "limits.connect_timeout_s", DEFAULT_CONNECT_TIMEOUT_S)?,
        })
    }
}

/// Addresses that the file tells, or the environment in its place.
struct Addresses {
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
}

impl Addresses {
    fn read(
        path: &str,
        file: &File,
        environment: &impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let from_environment = |variable| {
            let text = environment(variable).ok_or(ConfigError::Missing(variable))?;
            text.parse().map_err(|_| {
                let problem = Problem::NoAddress { variable, text };
                ConfigError::Malformed { path: path.to_owned(), problem }
            })
        };
        let address = |told: Option<SocketAddr>, variable| match told {
            Some(address) => Ok(address),
            None => from_environment(variable),
        };
        Ok(Self {
            listen: address(file.listen, LISTEN_VARIABLE)?,
            discovery: address(file.discovery, DISCOVERY_VARIABLE)?,
            admin: match file.admin_addr {
                None if environment(ADMIN_VARIABLE).is_some() => Some(from_environment(ADMIN_VARIABLE)?),
                told => told,
            },
        })
    }
}

/// A time in seconds above 0; an absent one is `absent_s`.
fn read_time(values: &HashMap<String, String>, path: &str, absent_s: f64) -> Result<Duration, Problem> {
    let text = values.get(path).map_or("", String::as_str);
    if matches!(text, "" | "-") {
        return Ok(Duration::from_secs_f64(absent_s));
    }
    match text.parse::<f64>() {
        Ok(seconds) if (f64::MIN_POSITIVE..MAX_VALUE).contains(&seconds) => {
            Ok(Duration::from_secs_f64(seconds))
        }
        _ => Err(Problem::NoTime { path: path.to_owned(), text: text.to_owned() }),
    }
}

fn read_flag(values: &HashMap<String, String>, path: &'static str) -> Result<bool, Problem> {
    match values.get(path).map_or("", String::as_str) {
        "true" | "1" => Ok(true),
        "false" | "0" | "" | "-" => Ok(false),
        other => Err(Problem::NoFlag { path, text: other.to_owned() }),
    }
}

fn read_words(values: &HashMap<String, String>, path: &str) -> Vec<String> {
    let text = values.get(path).map_or("", String::as_str);
    text.split(',').filter(|word| !word.is_empty()).map(str::to_owned).collect()
}
