//! The settings of the program: the platform's configuration file ([`Config`]), which is reloaded at SIGHUP
//! ([`ReloadedConfig`]), and the settings file of the optional fronts ([`Fronts`]), which is read only at startup.

mod config;
mod error;
mod fronts;
mod key_values;
mod ranges;
mod reload;
mod repeats;
mod resume;
mod rules;

pub use config::{Config, Limits};
pub use error::{ConfigError, FieldError, Problem, RuleError};
pub use fronts::{AgentSettings, ChatSettings, Fronts};
pub use reload::ReloadedConfig;
pub use repeats::RepeatSettings;
pub use resume::ResumeSettings;
