//! `[chat.resume]`: how an answer is resumed at another server after its stream has broken off.

use dewladder_resume::{Mode, Policy};
use serde::Deserialize;

use crate::edge::settings::error::FieldError;
use crate::edge::settings::ranges::in_range;
use crate::interface::Micros;

/// The settings of `[chat.resume]`. While `enabled` is false, an answer whose stream breaks off ends with an error.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ResumeSettings {
    /// Whether answers are resumed. The platform's `domain.resume` must allow it as well.
    pub enabled: bool,
    /// `continue`: the next server is given the beginning of the answer and generates the rest. `restart`: it
    /// generates the same answer again from the start.
    pub mode: String,
    /// The maximum number of resumptions of one answer.
    pub most: u32,
    /// How long after its first break an answer may be resumed (seconds).
    pub within_s: f64,
    /// The maximum length of an answer that is resumed (KiB).
    pub most_text_kib: usize,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self { enabled: false, mode: "continue".to_owned(), most: 2, within_s: 10.0, most_text_kib: 64 }
    }
}

/// Bounds of `within_s`, `most` and `most_text_kib`.
const MIN_DURATION_S: f64 = 0.1;
const MAX_DURATION_S: f64 = 600.0;
const MAX_RESUMPTIONS: u32 = 100;
const MAX_TEXT_KIB: usize = 1_024;

impl ResumeSettings {
    /// The policy for resuming answers; `None` if `enabled` is false. The fields are checked in both cases.
    ///
    /// # Errors
    /// The first field that is out of its range, or an unknown `mode`.
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
