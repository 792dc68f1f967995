//! The settings of the fronts that exist in addition to the platform's front: the chat API, HAProxy's agent check and
//! the cluster of instances. They are kept in a separate TOML file (see `deploy/fronts.toml`).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::edge::cluster::Table;
use crate::edge::settings::config::Limits;
use crate::edge::settings::error::{ConfigError, FieldError, Problem};
use crate::edge::settings::ranges::in_range;
use crate::edge::settings::repeats::RepeatSettings;
use crate::edge::settings::resume::ResumeSettings;

/// The settings of the optional fronts. A front without a section is off; without a file, all of them are.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fronts {
    /// `[chat]`: the chat API.
    pub chat: Option<ChatSettings>,
    /// `[agent_check]`: the listener for HAProxy's agent check.
    pub agent_check: Option<AgentSettings>,
    /// `[cluster]`: the messages between the instances of a cluster.
    pub cluster: Option<Table>,
}

impl Fronts {
    /// Reads the file at `path`. If the file does not exist and `must_exist` is false, all fronts are off.
    ///
    /// # Errors
    /// The file can't be read, or is malformed.
    pub fn read(path: &str, must_exist: bool) -> Result<Self, ConfigError> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(path, &text),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && !must_exist => Ok(Self::default()),
            Err(error) => Err(ConfigError::File { path: path.to_owned(), error }),
        }
    }

    /// Parses the text of the file; `path` is used in error messages only.
    ///
    /// # Errors
    /// The text is not TOML, or a field has the wrong type or is missing.
    pub fn parse(path: &str, text: &str) -> Result<Self, ConfigError> {
        toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            let message = error.message().replace('\n', ", ");
            ConfigError::Malformed { path: path.to_owned(), problem: Problem::Toml { line, message } }
        })
    }
}

/// The settings of the chat front.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatSettings {
    /// Whether the chat front is on.
    #[serde(default)]
    pub enabled: bool,
    /// The address that the chat front listens on.
    pub listen: SocketAddr,
    /// The class of the requests for each model: model name to class name.
    #[serde(default)]
    pub models: BTreeMap<String, String>,
    /// API key to tenant name. If empty, clients need no key.
    #[serde(default)]
    pub tenants: BTreeMap<String, String>,
    /// The maximum number of tokens in an answer, and the limit for requests that set none.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// The maximum number of open requests per tenant.
    #[serde(default = "default_most_open")]
    pub most_open: usize,
    /// The maximum number of choices (`n`) of one request, for classes whose requests may be repeated.
    #[serde(default = "default_most_choices")]
    pub most_choices: u64,
    /// The origins that are allowed by CORS; `*` allows all. If empty, CORS preflight requests are not answered.
    #[serde(default)]
    pub origins: Vec<String>,
    /// Time without an event after which a comment line is sent on a stream, to keep the connection alive (seconds);
    /// 0 sends none.
    #[serde(default)]
    pub keepalive_s: f64,
    /// The share of `limits.memory_mb` for stored responses, to which later requests can refer (percent).
    #[serde(default = "default_responses_percent")]
    pub responses_percent: f64,
    /// The share of the memory for stored responses that one tenant may use (percent).
    #[serde(default = "default_tenant_percent")]
    pub responses_tenant_percent: f64,
    /// `[chat.repeats]`: how requests that clients repeat are recognized.
    #[serde(default)]
    pub repeats: RepeatSettings,
    /// `[chat.resume]`: how an answer is resumed at another server after its stream has broken off.
    #[serde(default)]
    pub resume: ResumeSettings,
}

impl ChatSettings {
    /// Checks the ranges of the fields, and returns the memory for stored responses (bytes): of all tenants, and of
    /// one tenant. Both are shares of the memory in `limits`.
    ///
    /// # Errors
    /// The first field that is out of its range.
    pub fn check_and_response_memory(&self, limits: &Limits) -> Result<(usize, usize), FieldError> {
        for (name, value, min, max) in [
            ("keepalive_s", self.keepalive_s, 0.0, 3_600.0),
            ("responses_percent", self.responses_percent, 0.0, 50.0),
            ("responses_tenant_percent", self.responses_tenant_percent, 0.0, 100.0),
            ("most_choices", self.most_choices as f64, 1.0, 128.0),
        ] {
            in_range(format!("chat.{name}"), value, min, max)?;
        }
        let all = limits.memory_bytes() * self.responses_percent / 100.0;
        Ok((all as usize, (all * self.responses_tenant_percent / 100.0) as usize))
    }
}

/// The settings of the agent check.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentSettings {
    /// Whether the agent check is on.
    #[serde(default)]
    pub enabled: bool,
    /// The address that the agent check listens on.
    pub listen: SocketAddr,
}

/// Default values of the fields of `[chat]`.
const DEFAULT_MAX_TOKENS: u64 = 800;
const DEFAULT_MOST_OPEN: usize = 64;
const DEFAULT_MOST_CHOICES: u64 = 4;
const DEFAULT_RESPONSES_PERCENT: f64 = 4.0;
const DEFAULT_TENANT_PERCENT: f64 = 25.0;

fn default_max_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

fn default_most_open() -> usize {
    DEFAULT_MOST_OPEN
}

fn default_most_choices() -> u64 {
    DEFAULT_MOST_CHOICES
}

fn default_responses_percent() -> f64 {
    DEFAULT_RESPONSES_PERCENT
}

fn default_tenant_percent() -> f64 {
    DEFAULT_TENANT_PERCENT
}
