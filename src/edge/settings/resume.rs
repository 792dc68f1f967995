//! `[chat.resume]`: how answers go on elsewhere whose server broke off.

use dewladder_resume::{Mode, Policy};
use serde::Deserialize;

use crate::edge::settings::error::FieldError;
use crate::edge::settings::ranges::in_range;
use crate::interface::Micros;

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

/// Bounds of the settings.
const MIN_DURATION_S: f64 = 0.1;
const MAX_DURATION_S: f64 = 600.0;
const MAX_RESUMPTIONS: u32 = 100;
const MAX_TEXT_KIB: usize = 1_024;

impl ResumeSettings {
    /// The policy; `None` where it is off.
    ///
    /// # Errors
    /// The field that can't be used, and why.
    pub fn policy(&self) -> Result<Option<Policy>, FieldError> {
        let mode = match self.mode.as_str() {
            "continue" => Mode::Continue,
            "restart" => Mode::Restart,
            other => return Err(FieldError::UnknownMode(other.to_owned())),
        };
        in_range("chat.resume.within_s".to_owned(), self.within_s, MIN_DURATION_S, MAX_DURATION_S)?;
        if self.most > MAX_RESUMPTIONS || self.most_text_kib > MAX_TEXT_KIB {
            return Err(FieldError::ResumptionTooHigh);
        }
        if !self.enabled {
            return Ok(None);
        }
        Ok(Some(Policy {
            mode,
            max_resumptions: self.most,
            max_duration_us: (self.within_s * 1e6) as Micros,
            max_text_bytes: self.most_text_kib << 10,
        }))
    }
}
