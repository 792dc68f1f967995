//! The fronts beside the platform's, as a file under `deploy/` sets them; without one all are off.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::edge::cluster::Table;
use crate::edge::settings::config::Limits;
use crate::edge::settings::error::{ConfigError, FieldError, Problem};
use crate::edge::settings::ranges::in_range;
use crate::edge::settings::repeats::RepeatSettings;
use crate::edge::settings::resume::ResumeSettings;

/// The fronts beside the platform's, as a file under `deploy/` sets them; without one all are off.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Fronts {
    /// The chat API.
    pub chat: Option<ChatSettings>,
    /// HAProxy's agent check.
    pub agent_check: Option<AgentSettings>,
    /// Talk among instances.
    pub cluster: Option<Table>,
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
            let message = error.message().replace('\n', ", ");
            ConfigError::Malformed { path: path.to_owned(), problem: Problem::Toml { line, message } }
        })
    }
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

impl ChatSettings {
    /// Memory for responses, of all tenants and of one (bytes), where the program may hold so much.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn bounds(&self, limits: &Limits) -> Result<(usize, usize), FieldError> {
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

/// The agent check's settings.
#[derive(Clone, Debug, Deserialize)]
pub struct AgentSettings {
    /// Whether it listens.
    #[serde(default)]
    pub enabled: bool,
    /// Where.
    pub listen: SocketAddr,
}

/// Defaults of `[chat]`.
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
