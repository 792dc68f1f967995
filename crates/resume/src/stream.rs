//! One choice of an answer, across all servers that generate parts of it.

use crate::types::{AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Mode, Policy};
use crate::Micros;

/// The assumed maximum number of characters per token, from which the minimum number of tokens of a text is
/// estimated. The estimate must not be much too high: the rest may have only the tokens that remain, and would be
/// cut short. Servers know the exact count, but are not asked.
const MAX_CHARS_PER_TOKEN: u64 = 6;

/// Tracks one choice of an answer: the text that the client has received, and how often the choice was resumed.
#[derive(Clone, Debug)]
pub struct ResumableStream {
    policy: Policy,
    traits: ChoiceTraits,
    /// The text that the client has received; empty once it exceeds the length that the policy allows.
    text: String,
    /// The text exceeded the allowed length and was dropped.
    is_too_long: bool,
    /// Number of events with text that the client has received; each contains at least one token.
    text_events: u64,
    /// The client has received something other than text.
    had_more_than_text: bool,
    is_finished: bool,
    /// How much of `text` the current part has repeated (bytes); `None` if the part is past it, or does not repeat
    /// it.
    repeated_bytes: Option<usize>,
    resumptions: u32,
    first_break_us: Option<Micros>,
}

impl ResumableStream {
    /// Creates the state of a choice that has not begun.
    #[must_use]
    pub fn new(policy: Policy, traits: ChoiceTraits) -> Self {
        Self {
            policy,
            traits,
            text: String::new(),
            is_too_long: policy.max_text_bytes == 0,
            text_events: 0,
            had_more_than_text: false,
            is_finished: false,
            repeated_bytes: None,
            resumptions: 0,
            first_break_us: None,
        }
    }

    /// How many times the choice was resumed.
    #[must_use]
    pub fn resumptions(&self) -> u32 {
        self.resumptions
    }

    /// Reports an event of a server; returns which part of it the caller forwards to the client.
    pub fn on_event(&mut self, event: AnswerEvent<'_>) -> Forward {
        if self.is_finished {
            // A server may send events after the end of the answer, which the client already has.
            return Forward::Nothing;
        }
        self.is_finished = event.is_last;
        match self.repeated_bytes {
            Some(repeated) => self.on_repeating_event(event, repeated),
            None => {
                self.had_more_than_text |= event.has_more_than_text;
                self.record_text(event.text);
                Forward::Unchanged
            }
        }
    }

    /// Handles an event of a part that still repeats text that the client has received.
    fn on_repeating_event(&mut self, event: AnswerEvent<'_>, repeated: usize) -> Forward {
        // The client has received only text, or the answer would not have been resumed: anything else in the event is
        // new.
        let unrepeated = &self.text[repeated..];
        if let Some(new) = event.text.strip_prefix(unrepeated) {
            let new = new.to_owned();
            self.repeated_bytes = None;
            self.had_more_than_text |= event.has_more_than_text;
            self.record_text(&new);
            if new.is_empty() && !event.has_more_than_text && !event.is_last {
                return Forward::Nothing;
            }
            return Forward::WithText(new);
        }
        if event.has_more_than_text || event.is_last || !unrepeated.starts_with(event.text) {
            return Forward::Cut(CutReason::Diverged);
        }
        self.repeated_bytes = Some(repeated + event.text.len());
        Forward::Nothing
    }

    /// Adds text that is forwarded to the client, and drops the text once it is too long to be resumed.
    fn record_text(&mut self, text: &str) {
        self.text_events += u64::from(!text.is_empty());
        if self.text.len() + text.len() > self.policy.max_text_bytes {
            // A text of this length is never sent to another server, so it is not kept.
            self.is_too_long = true;
        }
        if self.is_too_long {
            self.text = String::new();
        } else {
            self.text.push_str(text);
        }
    }

    /// Reports that the current part has broken off; returns what the caller must do.
    pub fn on_break(&mut self, now: Micros) -> BreakDecision {
        if self.is_finished {
            return BreakDecision::Finished;
        }
        if let Some(reason) = self.permanent_cut_reason() {
            return BreakDecision::Cut(reason);
        }
        let first_break = *self.first_break_us.get_or_insert(now);
        let deadline_us = first_break.saturating_add(self.policy.max_duration_us);
        if self.resumptions >= self.policy.max_resumptions || now >= deadline_us {
            return BreakDecision::Cut(CutReason::LimitReached);
        }
        let tokens_left = self.traits.max_tokens.saturating_sub(self.min_tokens());
        if tokens_left == 0 {
            self.is_finished = true;
            return BreakDecision::TokenLimitReached;
        }
        self.resumptions += 1;
        let max_tokens = match self.policy.mode {
            Mode::Continue => {
                self.repeated_bytes = None;
                tokens_left
            }
            Mode::Restart => {
                self.repeated_bytes = (!self.text.is_empty()).then_some(0);
                self.traits.max_tokens
            }
        };
        BreakDecision::Resume { text: self.text.clone(), max_tokens, deadline_us }
    }

    /// Why this answer can never be resumed, independently of time and of earlier resumptions; `None` if it can be.
    fn permanent_cut_reason(&self) -> Option<CutReason> {
        if !self.traits.may_rerun {
            Some(CutReason::AtMostOnce)
        } else if self.is_too_long {
            Some(CutReason::TooLong)
        } else if self.had_more_than_text || self.traits.wants_more_than_text {
            Some(CutReason::MoreThanText)
        } else {
            None
        }
    }

    /// The minimum number of tokens that the client has received.
    fn min_tokens(&self) -> u64 {
        let characters = self.text.chars().count() as u64;
        characters.div_ceil(MAX_CHARS_PER_TOKEN).max(self.text_events)
    }

    /// Reports that the requested rest did not begin, because the request was refused with a retry delay, or failed
    /// (`None`). Returns what the caller must do.
    pub fn on_resume_failed(&mut self, now: Micros, retry_after_us: Option<Micros>) -> BreakDecision {
        if let Some(retry_after_us) = retry_after_us {
            // The request must not be retried before the delay is over, and the client has nothing else to wait for:
            // end the answer now if the delay exceeds the deadline.
            let deadline_us = self.first_break_us.map(|at| at.saturating_add(self.policy.max_duration_us));
            if deadline_us.is_none_or(|deadline_us| now + retry_after_us >= deadline_us) {
                return BreakDecision::Cut(CutReason::NoServer);
            }
        }
        match self.on_break(now) {
            BreakDecision::Cut(CutReason::LimitReached) => BreakDecision::Cut(CutReason::NoServer),
            decision => decision,
        }
    }

    /// Whether the answer is complete when the current part ends without an error. It is not if the part ends while
    /// it still repeats text: then the part is shorter than what the client has received.
    #[must_use]
    pub fn is_complete_at_end(&self) -> bool {
        self.repeated_bytes.is_none()
    }
}
