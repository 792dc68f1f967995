//! The platform's configuration file, and the limits on requests and connections that are derived from it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;

use crate::edge::admin::DESCRIPTORS;
use crate::edge::discovery::listing::{Listing, Names};
use crate::edge::settings::error::{ConfigError, Problem};
use crate::edge::settings::key_values::flatten;
use crate::edge::settings::rules::{self, MAX_VALUE};
use crate::interface::{Key, Settings};
use dewladder_router::settings::from_key_values;

const NAME_VARIABLE: &str = "ROUTER_NAME";
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";
const ADMIN_VARIABLE: &str = "ROUTER_ADMIN_ADDR";

/// Time without an event after which a stream is cut, if streams may be resumed. A client may be left without an event
/// for at most 5 s, and the rest of the stream still has to be requested within that time.
const STALL_TIMEOUT_WITH_RESUME: Duration = Duration::from_millis(4_500);
/// Like [`STALL_TIMEOUT_WITH_RESUME`], if streams can't be resumed: cutting the stream fails the request, so the stream
/// is given almost all of the 5 s.
const STALL_TIMEOUT_WITHOUT_RESUME: Duration = Duration::from_millis(4_950);

/// The memory of the program without connections and requests, with what the router has learned (bytes).
const OWN_MEMORY: usize = 16 << 20;
/// The memory of one client connection without its request (bytes): its task, and hyper's buffers.
const CONNECTION_MEMORY: usize = 16 << 10;
/// The memory of one open request without its body (bytes): its records, its tasks, and its connection to a server.
const OPEN_REQUEST_MEMORY: usize = 16 << 10;
/// The inverse of the share, of the memory that is left for it, which clients may make the process hold. The rest is for
/// lists of servers, the stores of the chat front, and memory that the allocator keeps.
const CLIENT_MEMORY_DIVISOR: usize = 2;
/// The least that clients may make the process hold, however low the limit is (bytes).
const MIN_CLIENT_MEMORY: usize = 1 << 20;

/// Default of `limits.keepalive_s` (seconds).
const DEFAULT_KEEPALIVE_S: f64 = 30.0;
/// Default of `limits.connect_timeout_s` (seconds).
const DEFAULT_CONNECT_TIMEOUT_S: f64 = 0.25;

/// Fields of the file that are read only at startup. A reloaded file may lack them, and the list in `known` is long:
/// they are left out of [`Config::file`].
const START_ONLY_FIELDS: [&str; 2] = ["known", "seed"];

/// The top-level fields of the configuration file.
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

/// The resources that the program may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// The maximum number of open file descriptors.
    pub sockets: usize,
}

impl Limits {
    /// Checks that no limit is 0.
    fn check(self) -> Result<(), Problem> {
        match self {
            Self { memory_mb: 0, .. } => Err(Problem::ZeroLimit("limits.memory_mb")),
            Self { sockets: 0, .. } => Err(Problem::ZeroLimit("limits.sockets")),
            _ => Ok(()),
        }
    }

    /// `memory_mb` in bytes.
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

/// The checked content of the configuration file, completed from environment variables.
#[derive(Clone, Debug)]
pub struct Config {
    /// The dispatcher's name; empty if it is set neither in the file nor in `ROUTER_NAME`.
    pub name: String,
    /// The address that the platform's front listens on.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// For load gossip: the address that receives datagrams of other dispatchers, and the address that reaches all of
    /// them. `None` if the settings forbid such messages, or if one of the two is not configured.
    pub peers: Option<(SocketAddr, SocketAddr)>,
    /// The admin address, for operators and the platform; log lines call it the second address. `None` if it is not
    /// configured.
    pub admin: Option<SocketAddr>,
    /// The seed of the random number generators: the value of a hexadecimal `seed`, a hash of any other text.
    pub seed: u64,
    /// The resources that the program may use.
    pub limits: Limits,
    /// The server list that the file carries, as last known before the start; empty if the file has none.
    pub known: Listing,
    /// The settings of the router.
    pub settings: Settings,
    /// The names of zones and of kinds of servers; their indices are the numbers that the router uses.
    pub names: Names,
    /// Time after which servers close an idle connection.
    pub keepalive: Duration,
    /// Time limit for establishing a connection to a server.
    pub connect_timeout: Duration,
    /// Time without an event after which a stream counts as stalled and is cut.
    pub stall: Duration,
    /// `domain.resume`: whether a stream that broke off may be resumed at another server.
    pub resume: bool,
    /// The content of the file without [`START_ONLY_FIELDS`]: a reloaded file is compared with it.
    pub(super) file: Value,
}

impl Config {
    /// Reads the file at `path`. The name and addresses that it lacks are looked up by `environment`, which returns
    /// the value of an environment variable.
    ///
    /// # Errors
    /// The file can't be read or is malformed, a setting is invalid, or a required address is missing in both the
    /// file and the environment.
    pub fn read(path: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ConfigError::File { path: path.to_owned(), error })?;
        Self::parse(path, &text, environment)
    }

    /// Parses the text of a configuration file; `path` is used in error messages only.
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
            fields.retain(|name, _| !START_ONLY_FIELDS.contains(&name.as_str()));
        }
        let parsed = ParsedSettings::read(&file.settings).map_err(malformed)?;
        rules::check(&file.settings).map_err(malformed)?;
        file.limits.check().map_err(malformed)?;
        let resume = read_flag(&parsed.values, "domain.resume").map_err(malformed)?;
        let addresses = Addresses::read(path, &file, &environment)?;
        let timeouts = Timeouts::read(&parsed.values).map_err(malformed)?;
        let settings = parsed.settings;
        Ok(Self {
            name: file.name.or_else(|| environment(NAME_VARIABLE)).unwrap_or_default(),
            listen: addresses.listen,
            discovery: addresses.discovery,
            peers: file.peer_listen.zip(file.peers_all).filter(|_| settings.gossip_allowed),
            admin: addresses.admin,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| Key::from_text(&file.seed).0),
            limits: file.limits,
            known: file.known.unwrap_or_default(),
            names: Names {
                zones: read_list(&parsed.values, "failure_domains"),
                kinds: read_list(&parsed.values, "kinds"),
            },
            keepalive: timeouts.keepalive,
            connect_timeout: timeouts.connect_timeout,
            stall: if resume { STALL_TIMEOUT_WITH_RESUME } else { STALL_TIMEOUT_WITHOUT_RESUME },
            resume,
            settings,
            file: raw,
        })
    }

    /// The maximum number of open requests. Each may need a socket to its client and one to a server.
    #[must_use]
    pub fn max_open_requests(&self) -> usize {
        (self.limits.sockets / 3).max(4)
    }

    /// The maximum number of client connections, idle ones included. They take half of the descriptors. The other
    /// half is for a server connection per open request (a third of all), idle connections to servers (a sixth), and
    /// a few for releases, the server list, clients rejected because no connection slot is free, and the admin
    /// address.
    #[must_use]
    pub fn max_client_connections(&self) -> usize {
        let admin_descriptors = self.admin.map_or(0, |_| DESCRIPTORS);
        (self.limits.sockets / 2).saturating_sub(16 + admin_descriptors).max(4)
    }

    /// The memory that clients may make the process hold (bytes): long heads, bodies, what they are parsed to, and bytes
    /// that come ahead of their turn.
    #[must_use]
    pub fn client_memory(&self) -> usize {
        let connections = self.max_client_connections() * CONNECTION_MEMORY;
        let open_requests = self.max_open_requests() * OPEN_REQUEST_MEMORY;
        let own = OWN_MEMORY + connections + open_requests;
        let rest = (self.limits.memory_bytes() as usize).saturating_sub(own);
        (rest / CLIENT_MEMORY_DIVISOR).max(MIN_CLIENT_MEMORY)
    }

    /// The maximum number of idle connections kept to each server. The known servers, at least 10, share the budget.
    #[must_use]
    pub fn max_idle_per_server(&self) -> usize {
        let servers = self.known.members.len().max(10);
        ((self.limits.sockets / 6).saturating_sub(16) / servers).max(1)
    }
}

/// The router's settings, and the `path=value` pairs that they were parsed from.
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

/// Timeouts of connections to servers.
struct Timeouts {
    keepalive: Duration,
    connect_timeout: Duration,
}

impl Timeouts {
    fn read(values: &HashMap<String, String>) -> Result<Self, Problem> {
        Ok(Self {
            keepalive: read_duration(values, "limits.keepalive_s", DEFAULT_KEEPALIVE_S)?,
            connect_timeout: read_duration(values, "limits.connect_timeout_s", DEFAULT_CONNECT_TIMEOUT_S)?,
        })
    }
}

/// The addresses from the file, or from environment variables if the file lacks them.
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
                let problem = Problem::InvalidAddress { variable, text };
                ConfigError::Malformed { path: path.to_owned(), problem }
            })
        };
        let address = |configured: Option<SocketAddr>, variable| match configured {
            Some(address) => Ok(address),
            None => from_environment(variable),
        };
        Ok(Self {
            listen: address(file.listen, LISTEN_VARIABLE)?,
            discovery: address(file.discovery, DISCOVERY_VARIABLE)?,
            admin: match file.admin_addr {
                None if environment(ADMIN_VARIABLE).is_some() => Some(from_environment(ADMIN_VARIABLE)?),
                configured => configured,
            },
        })
    }
}

/// The duration at `path`, a number of seconds above 0 and below [`MAX_VALUE`]; `default_s` if it is absent, empty or
/// `-`.
fn read_duration(values: &HashMap<String, String>, path: &str, default_s: f64) -> Result<Duration, Problem> {
    let text = values.get(path).map_or("", String::as_str);
    if matches!(text, "" | "-") {
        return Ok(Duration::from_secs_f64(default_s));
    }
    match text.parse::<f64>() {
        Ok(seconds) if (f64::MIN_POSITIVE..MAX_VALUE).contains(&seconds) => {
            Ok(Duration::from_secs_f64(seconds))
        }
        _ => Err(Problem::InvalidDuration { path: path.to_owned(), text: text.to_owned() }),
    }
}

/// The boolean at `path`; false if it is absent, empty or `-`.
fn read_flag(values: &HashMap<String, String>, path: &'static str) -> Result<bool, Problem> {
    match values.get(path).map_or("", String::as_str) {
        "true" | "1" => Ok(true),
        "false" | "0" | "" | "-" => Ok(false),
        other => Err(Problem::InvalidFlag { path, text: other.to_owned() }),
    }
}

/// The comma-separated items at `path`, without empty ones.
fn read_list(values: &HashMap<String, String>, path: &str) -> Vec<String> {
    let text = values.get(path).map_or("", String::as_str);
    text.split(',').filter(|item| !item.is_empty()).map(str::to_owned).collect()
}
