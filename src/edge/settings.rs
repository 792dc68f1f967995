//! What the program is told: the platform's configuration file ([`Config`]), which SIGHUP has read again
//! ([`ReloadedConfig`]), and the fronts beside the platform's ([`Fronts`]), which only a start reads.

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
