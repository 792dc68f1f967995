//! One choice of an answer, across all servers that wrote a part of it.

use crate::types::{AnswerEvent, BreakDecision, ChoiceTraits, CutReason, Forward, Mode, Policy};
use crate::Micros;

/// The most characters that a token is taken to have. With it the tokens of a text are counted, at the least: what is
/// left of a bound on tokens must not be underrated by much, or the rest is cut short. Servers count better; they are
/// not asked.
const MAX_CHARS_PER_TOKEN: u64 = 6;

/// One choice of an answer.
#[derive(Clone, Debug)]
pub struct ResumableStream {
    policy: Policy,
    traits: ChoiceTraits,
    /// What the client has had; empty once it is longer than the policy allows.
    text: String,
    /// The text grew too long, and was dropped.
    is_too_long: bool,
    /// Events with text that the client has had: each holds a token at the least.
    text_events: u64,
    /// The client has had more than text.
    had_more_than_text: bool,
    is_finished: bool,
    /// How much of the text the part that comes now has repeated (bytes); `None` once it is beyond.
    repeated_bytes: Option<usize>,
    resumptions: u32,
    first_break_us: Option<Micros>,
}

impl ResumableStream {
    /// A choice of which nothing has come.
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

    /// How often it was resumed.
    #[must_use]
    pub fn resumptions(&self) -> u32 {
        self.resumptions
    }

    /// An event has come; returns what of it is forwarded to the client.
    pub fn on_event(&mut self, event: AnswerEvent<'_>) -> Forward {
        if self.is_finished {
            // Guards against a server that goes on after its end: the client has had it.
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

    /// An event of a part that still repeats what the client has had.
    fn on_repeating_event(&mut self, event: AnswerEvent<'_>, repeated: usize) -> Forward {
        // The client has had only text, or the answer would not have been resumed: more than text is new.
        let rest = &self.text[repeated..];
        if let Some(new) = event.text.strip_prefix(rest) {
            let new = new.to_owned();
            self.repeated_bytes = None;
            self.had_more_than_text |= event.has_more_than_text;
            self.record_text(&new);
            if new.is_empty() && !event.has_more_than_text && !event.is_last {
                return Forward::Nothing;
            }
            return Forward::WithText(new);
        }
        if event.has_more_than_text || event.is_last || !rest.starts_with(event.text) {
            return Forward::Cut(CutReason::Diverged);
        }
        self.repeated_bytes = Some(repeated + event.text.len());
        Forward::Nothing
    }

    fn record_text(&mut self, text: &str) {
        self.text_events += u64::from(!text.is_empty());
        if self.text.len() + text.len() > self.policy.max_text_bytes {
            // It is never given to a server again: it is not kept either.
            self.is_too_long = true;
        }
        if self.is_too_long {
            self.text = String::new();
        } else {
            self.text.push_str(text);
        }
    }

    /// The part that came has broken off; returns what is to be done.
    pub fn on_break(&mut self, now: Micros) -> BreakDecision {
        if self.is_finished {
            return BreakDecision::Finished;
        }
        if let Some(reason) = self.never_resumable() {
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

    /// Why this answer can't be resumed however often and whenever it breaks, if so.
    fn never_resumable(&self) -> Option<CutReason> {
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

    /// Tokens that the client has had, at the least.
    fn min_tokens(&self) -> u64 {
        let characters = self.text.chars().count() as u64;
        characters.div_ceil(MAX_CHARS_PER_TOKEN).max(self.text_events)
    }

    /// The rest that was requested did not begin: it was refused, with a time to come back, or failed. Returns what is
    /// to be done.
    pub fn on_resume_failed(&mut self, now: Micros, retry_after_us: Option<Micros>) -> BreakDecision {
        if let Some(retry_after_us) = retry_after_us {
            // Who is told to come back does not come earlier; the client has no other use for the time.
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

    /// The part has ended in good order; returns whether the answer has: a part that stops while it still repeats has
    /// lost what the client had.
    #[must_use]
    pub fn ended_whole(&self) -> bool {
        self.repeated_bytes.is_none()
    }
}
