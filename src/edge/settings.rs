//! What the program is told at its start, by the platform's configuration file.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use axum::http::HeaderName;
use dewladder_idempotency::{Policy, RetryBudgetPolicy};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::edge::admin::DESCRIPTORS;
use crate::edge::listing::{Listing, Names};
use crate::edge::transient::is_transient;
use crate::interface::{Key, Micros, Settings};
use dewladder_router::pairs::from_pairs;

/// A client may be left without an event for 5 s. Where it can ask for the rest, a stream is cut in good time
/// before that; where it can't, cutting loses the request, so that the last moment is waited for.
const ADMIN: &str = "ROUTER_ADMIN_ADDR";
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

impl ConfigError {
    /// Whether the file may be readable a moment later.
    #[must_use]
    pub fn is_transient(&self) -> bool {
        matches!(self, Self::File { error, .. } if is_transient(error))
    }
}

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
    fn check(self) -> Result<(), String> {
        match self {
            Self { memory_mb: 0, .. } => Err("limits.memory_mb: 0 is not a positive number".to_owned()),
            Self { sockets: 0, .. } => Err("limits.sockets: 0 is not a positive number".to_owned()),
            _ => Ok(()),
        }
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
    file: Value,
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
        let bad = |what| ConfigError::Malformed { path: path.to_owned(), what };
        if let Some(key) = missing(&self.file, &new.file, "") {
            return Err(bad(format!("{key} is missing")));
        }
        let mut needs_restart = Vec::new();
        let mut fixed = |differs: bool, name| needs_restart.extend(differs.then_some(name));
        fixed(new.name != self.name, "name");
        fixed(new.listen != self.listen, "listen");
        fixed(new.admin != self.admin, "admin_addr");
        fixed(new.peers != self.peers, "peer_listen, peers_all or limits.peers");
        fixed(new.limits != self.limits, "limits.memory_mb or limits.sockets");
        fixed(new.names != self.names, "failure_domains or kinds");
        fixed(new.settings.kinds != self.settings.kinds, "domain.role_by_kind or kind_memory_tokens");
        fixed(new.settings.zone != self.settings.zone, "locality");
        fixed(new.settings.must_subscribe != self.settings.must_subscribe, "discovery, the way of");
        fixed(new.settings.max_list_age != self.settings.max_list_age, "rules.must_ask_in_s");
        fixed(new.keepalive != self.keepalive, "limits.keepalive_s");
        fixed(new.connect_timeout != self.connect_timeout, "limits.connect_timeout_s");
        fixed(new.resume != self.resume, "domain.resume");
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
        let mut raw: Value = serde_json::from_str(text).map_err(|error| bad(error.to_string()))?;
        let file = &mut serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(file).map_err(|error| bad(error.to_string()))?;
        if let Some(fields) = raw.as_object_mut() {
            // Of a start only: a later file may do without, and the list is long.
            fields.retain(|name, _| !matches!(name.as_str(), "known" | "seed"));
        }
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
        check_rules(&file.settings).map_err(bad)?;
        file.limits.check().map_err(bad)?;
        let seconds = |path: &str, absent: f64| match pairs.get(path).map(String::as_str) {
            None | Some("" | "-") => Ok(Duration::from_secs_f64(absent)),
            Some(text) => {
                let told = text.parse().ok().filter(|told| (f64::MIN_POSITIVE..MOST_TIME).contains(told));
                let told = told.map(Duration::from_secs_f64);
                told.ok_or_else(|| bad(format!("settings {path}: '{text}' is no time above 0")))
            }
        };
        let names = |path: &str| {
            let text = pairs.get(path).map_or("", String::as_str);
            text.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect()
        };
        let resume = match pairs.get("domain.resume").map_or("", String::as_str) {
            "true" | "1" => true,
            "false" | "0" | "" | "-" => false,
            other => return Err(bad(format!("settings domain.resume: '{other}' is neither true nor false"))),
        };
        Ok(Self {
            name: file.name.or_else(|| environment("ROUTER_NAME")).unwrap_or_default(),
            listen: address(file.listen, "ROUTER_LISTEN")?,
            discovery: address(file.discovery, "ROUTER_DISCOVERY")?,
            peers: file.peer_listen.zip(file.peers_all).filter(|_| settings.peers),
            admin: match file.admin_addr {
                None if environment(ADMIN).is_some() => Some(address(None, ADMIN)?),
                told => told,
            },
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| Key::from_text(&file.seed).0),
            limits: file.limits,
            known: file.known.unwrap_or_default(),
            names: Names { zones: names("failure_domains"), kinds: names("kinds") },
            keepalive: seconds("limits.keepalive_s", 30.0)?,
            connect_timeout: seconds("limits.connect_timeout_s", 0.25)?,
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

/// What SIGHUP brings.
#[derive(Clone, Debug)]
pub struct ReloadedConfig {
    /// Where discovery is from now on.
    pub discovery: SocketAddr,
    /// What the decisions go by from now on.
    pub settings: Settings,
    /// What differs too, but is taken over at a restart only.
    pub needs_restart: Vec<&'static str>,
    file: Value,
}

/// The longest deadline or aim (seconds).
const MOST_TIME: f64 = 1e6;
/// Keys that the platform may leave out where it had them.
const MAY_GO: [&str; 2] = ["aim_stretch", "fleet"];
/// Settings that are one value, and those that are lists of words: read as pairs, a list of one looks like its item.
const SINGLE: [&str; 15] = [
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
const TEXTS: [&str; 3] = ["kinds", "failure_domains", "domain.role_by_kind"];

/// What requests are held to: each of these must be there and make sense, as a guess could break a rule.
fn check_rules(settings: &Value) -> Result<(), String> {
    let positive = |value: &Value, key: &str| match value.get(key) {
        None => Err(format!("{key} is missing")),
        Some(told) => match told.as_f64().filter(|number| *number > 0.0 && *number <= MOST_TIME) {
            Some(number) => Ok(number),
            None => Err(format!("{key}: {told} is not a positive number up to {MOST_TIME}")),
        },
    };
    let attempts =
        positive(&settings["limits"], "max_attempts").map_err(|what| format!("settings limits.{what}"))?;
    if attempts.fract() != 0.0 {
        return Err(format!("settings limits.max_attempts: {attempts} is not a whole number"));
    }
    for path in SINGLE {
        let told = settings.pointer(&format!("/{}", path.replace('.', "/")));
        if let Some(told) = told.filter(|told| told.is_array() || told.is_object()) {
            return Err(format!("settings {path}: {told} is no single value"));
        }
    }
    for path in TEXTS {
        let Some(told) = settings.pointer(&format!("/{}", path.replace('.', "/"))) else { continue };
        let text = |item: &Value| item.as_str().is_some_and(|text| !text.is_empty() && !text.contains(','));
        if told.as_array().is_none_or(|items| !items.iter().all(text)) {
            return Err(format!("settings {path}: {told} is no list of words"));
        }
    }
    let zones = settings["failure_domains"].as_array().map_or(0, Vec::len);
    if let Some(zone) = settings["locality"].as_u64().filter(|&zone| zones > 0 && zone >= zones as u64) {
        return Err(format!("settings locality: {zone} is none of the {zones} failure domains"));
    }
    let mut names = Vec::new();
    for (at, lane) in settings["lanes"].as_array().into_iter().flatten().enumerate() {
        let within = |what: String| format!("settings lanes.{at}.{what}");
        for key in ["name", "effect"] {
            match lane.get(key) {
                None => return Err(within(format!("{key} is missing"))),
                Some(told) if told.as_str().is_none_or(str::is_empty) => {
                    return Err(within(format!("{key}: {told} is no text")));
                }
                Some(_) => {}
            }
        }
        for key in ["aim_s", "give_up_s"] {
            positive(lane, key).map_err(within)?;
        }
        if let Some(told) = lane.get("group").filter(|told| !told.is_string()) {
            return Err(within(format!("group: {told} is no text")));
        }
        for key in ["worth", "late_worth", "dedup_window_s"] {
            let Some(told) = lane.get(key) else { continue };
            if told.as_f64().is_none_or(|number| !(0.0..=MOST_TIME).contains(&number)) {
                return Err(within(format!("{key}: {told} is not a number from 0 to {MOST_TIME}")));
            }
        }
        let name = &lane["name"];
        if names.contains(&name) {
            return Err(within(format!("name: {name} is there twice")));
        }
        names.push(name);
    }
    Ok(())
}

/// The first key of `old` that `new` lacks. Of a list of objects, what all old ones have is asked of each new one.
fn missing(old: &Value, new: &Value, path: &str) -> Option<String> {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let mut keys = old.iter().filter(|(key, _)| !MAY_GO.contains(&key.as_str()));
            keys.find_map(|(key, old)| match new.get(key) {
                None => Some(join(key)),
                Some(new) => missing(old, new, &join(key)),
            })
        }
        (Value::Object(_), _) => Some(path.to_owned()),
        (Value::Array(old), Value::Array(new)) => {
            let common = common(old)?;
            let mut items = new.iter().enumerate();
            items.find_map(|(at, new)| missing(&common, new, &join(&at.to_string())))
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// An object with the keys that all objects of a list have; `None` where it holds others, or none.
fn common(list: &[Value]) -> Option<Value> {
    let mut objects = list.iter().map(Value::as_object);
    let mut common = objects.next()??.clone();
    for object in objects {
        let object = object?;
        common.retain(|key, _| object.contains_key(key));
    }
    Some(Value::Object(common))
}

/// The fronts beside the platform's, as a file under `deploy/` sets them; without one all are off.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fronts {
    /// The chat API.
    pub chat: Option<ChatSettings>,
    /// HAProxy's agent check.
    pub agent_check: Option<AgentSettings>,
    /// Talk among instances.
    pub cluster: Option<crate::edge::cluster::Table>,
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
    /// The most choices of one request of a class that may repeat.
    #[serde(default = "default_most_choices")]
    pub most_choices: u64,
    /// Origins whose browser apps are let in; `*` for all. Without any, preflights are not answered.
    #[serde(default)]
    pub origins: Vec<String>,
    /// A comment line keeps a stream alive where nothing has come for so long (seconds); 0 sends none.
    #[serde(default)]
    pub keepalive_s: f64,
    /// The share of the configured memory for responses that others go on from (percent).
    #[serde(default = "default_responses_percent")]
    pub responses_percent: f64,
    /// The share of that which one tenant may have (percent).
    #[serde(default = "default_tenant_percent")]
    pub responses_tenant_percent: f64,
    /// What is known of requests that clients repeat.
    #[serde(default)]
    pub repeats: RepeatSettings,
    /// How answers go on elsewhere whose server broke off.
    #[serde(default)]
    pub resume: ResumeSettings,
}

/// How answers go on elsewhere. Off, a break ends the answer with an error.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ResumeSettings {
    /// Whether they do, where the platform's settings allow it too.
    pub enabled: bool,
    /// What servers do with an answer's beginning: `continue` or `restart`.
    pub mode: String,
    /// How often one answer goes on.
    pub most: u32,
    /// For how long after its first break (seconds).
    pub within_s: f64,
    /// Longer answers do not go on (KiB).
    pub most_text_kib: usize,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self { enabled: false, mode: "continue".to_owned(), most: 2, within_s: 10.0, most_text_kib: 64 }
    }
}

impl ResumeSettings {
    /// The policy; `None` where it is off.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn policy(&self) -> Result<Option<dewladder_resume::Policy>, String> {
        let mode = match self.mode.as_str() {
            "continue" => dewladder_resume::Mode::Continue,
            "restart" => dewladder_resume::Mode::Restart,
            other => return Err(format!("chat.resume.mode: '{other}' is neither continue nor restart")),
        };
        if !(0.1..=600.0).contains(&self.within_s) {
            return Err(format!("chat.resume.within_s: {} is not 0.1 to 600", self.within_s));
        }
        if self.most > 100 || self.most_text_kib > 1_024 {
            return Err("chat.resume: most is at most 100, most_text_kib at most 1024".to_owned());
        }
        let policy = dewladder_resume::Policy {
            mode,
            max_resumptions: self.most,
            max_duration_us: (self.within_s * 1e6) as Micros,
            max_text_bytes: self.most_text_kib << 10,
        };
        Ok(Some(policy).filter(|_| self.enabled))
    }
}

impl ChatSettings {
    /// Memory for responses, of all tenants and of one, where the program may hold so much.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn bounds(&self, limits: &Limits) -> Result<(usize, usize), String> {
        for (name, value, least, most) in [
            ("keepalive_s", self.keepalive_s, 0.0, 3_600.0),
            ("responses_percent", self.responses_percent, 0.0, 50.0),
            ("responses_tenant_percent", self.responses_tenant_percent, 0.0, 100.0),
            ("most_choices", self.most_choices as f64, 1.0, 128.0),
        ] {
            if !(least..=most).contains(&value) {
                return Err(format!("chat.{name}: {value} is not {least} to {most}"));
            }
        }
        let all = (limits.memory_mb << 20) as f64 * self.responses_percent / 100.0;
        Ok((all as usize, (all * self.responses_tenant_percent / 100.0) as usize))
    }
}

/// How repeats are known, and within which bounds. Off, a repeat is a request like any other.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatSettings {
    /// Whether repeats are known at all.
    pub enabled: bool,
    /// What has ended is remembered for so long (seconds).
    pub window_s: f64,
    /// For so long after the start, a repeat that must not run twice, and whose first is not known, is refused (seconds).
    pub after_start_s: f64,
    /// A request that must not run twice goes on for so long after its last client has left (seconds).
    pub linger_s: f64,
    /// Requests that are remembered.
    pub most_entries: usize,
    /// The share of the configured memory that they may take (percent).
    pub memory_percent: f64,
    /// An answer is kept up to this length (KiB).
    pub most_answer_kib: usize,
    /// Clients that one request may have at once.
    pub most_readers: u32,
    /// The share of all remembered requests that one tenant may have (percent).
    pub tenant_percent: f64,
    /// Repeats that are let through for each hundred fresh requests of a tenant.
    pub budget_percent: f64,
    /// Repeats a second that are let through whatever was fresh.
    pub budget_per_s: f64,
    /// Repeats that a tenant can save up.
    pub budget_most_saved: u32,
    /// Repeats over the budget are asked back after this (seconds).
    pub retry_in_s: f64,
    /// And after this at the latest (seconds).
    pub most_retry_in_s: f64,
    /// Headers in which libraries count their retries.
    pub retry_headers: Vec<String>,
}

impl Default for RepeatSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            window_s: 600.0,
            after_start_s: 30.0,
            linger_s: 0.0,
            most_entries: 10_000,
            memory_percent: 10.0,
            most_answer_kib: 256,
            most_readers: 8,
            tenant_percent: 50.0,
            budget_percent: 20.0,
            budget_per_s: 0.5,
            budget_most_saved: 20,
            retry_in_s: 1.0,
            most_retry_in_s: 30.0,
            retry_headers: vec!["x-stainless-retry-count".to_owned()],
        }
    }
}

impl RepeatSettings {
    /// The ledger's policy for a program that may hold so much memory.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn policy(&self, limits: &Limits) -> Result<Policy, String> {
        const DAY: f64 = 86_400.0;
        let within = |name: &str, value: f64, least: f64, most: f64| {
            let fine = (least..=most).contains(&value);
            fine.then_some(value)
                .ok_or_else(|| format!("chat.repeats.{name}: {value} is not {least} to {most}"))
        };
        let time = |name: &str, value: f64, least: f64| {
            within(name, value, least, DAY).map(|seconds| (seconds * 1e6) as Micros)
        };
        let permille =
            |name: &str, value: f64| within(name, value, 0.0, 100.0).map(|percent| (percent * 10.0) as u32);
        let whole = |name: &str, value: usize, most: usize| match value {
            0 => Err(format!("chat.repeats.{name}: at least 1 is needed")),
            value if value > most => Err(format!("chat.repeats.{name}: {value} is more than {most}")),
            value => Ok(value),
        };
        let header = |name: &String| HeaderName::from_bytes(name.as_bytes()).is_err();
        if let Some(bad) = self.retry_headers.iter().find(|name| header(name)) {
            return Err(format!("chat.repeats.retry_headers: '{bad}' is no header's name"));
        }
        let share = within("memory_percent", self.memory_percent, 0.1, 50.0)?;
        let policy = Policy {
            max_entries: whole("most_entries", self.most_entries, 10_000_000)?,
            max_bytes: ((limits.memory_mb << 20) as f64 * share / 100.0) as usize,
            max_answer_bytes: whole("most_answer_kib", self.most_answer_kib, 1 << 20)? << 10,
            max_readers: whole("most_readers", self.most_readers as usize, 1_000)? as u32,
            tenant_permille: permille("tenant_percent", self.tenant_percent)?,
            retention_us: time("window_s", self.window_s, 1.0)?,
            startup_guard_us: time("after_start_s", self.after_start_s, 0.0)?,
            linger_us: time("linger_s", self.linger_s, 0.0)?,
            retry_budget: RetryBudgetPolicy {
                permille: permille("budget_percent", self.budget_percent)?,
                permille_per_second: (within("budget_per_s", self.budget_per_s, 0.0, 1e5)? * 1e3) as u32,
                max_saved: self.budget_most_saved,
                min_retry_after_us: time("retry_in_s", self.retry_in_s, 0.05)?,
                max_retry_after_us: time("most_retry_in_s", self.most_retry_in_s, self.retry_in_s)?,
            },
        };
        Ok(policy)
    }
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

fn default_most_choices() -> u64 {
    4
}

fn default_responses_percent() -> f64 {
    4.0
}

fn default_tenant_percent() -> f64 {
    25.0
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
