//! An answer whose server broke off goes on elsewhere, where that does no harm: whether it may, what is asked for
//! then, and how its parts become one text without a gap and with nothing twice.
//!
//! Pure: time comes as whole microseconds on the caller's clock, and what is to be done is returned. One
//! [`Stream`] follows one choice of one answer from its first event to its end.

/// A point on the caller's clock, or a length of time, in microseconds.
pub type Micros = u64;

/// What servers do when they are given an answer's beginning.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// They go on from its end.
    Continue,
    /// They begin anew and come to the same words again, as those that draw nothing by lot do.
    Restart,
}

/// Within which bounds answers go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// What servers do.
    pub mode: Mode,
    /// How often one answer goes on, at most.
    pub most: u32,
    /// And for how long after its first break (us).
    pub within: Micros,
    /// An answer longer than this is not begun anew, nor given to a server as a beginning (bytes).
    pub most_text: usize,
}

/// What one choice of an answer is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Its request may run again.
    pub may_repeat: bool,
    /// More than its text is wanted (log probabilities, say), which can't be put together from parts.
    pub more_than_text: bool,
    /// The most tokens that it may have.
    pub max_tokens: u64,
}

/// Why an answer does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its request must not run again.
    Once,
    /// It holds calls of tools, refusals or more that can't be put together from parts.
    NotText,
    /// It went on as often, or for as long, as it may.
    Spent,
    /// It is too long.
    TooLong,
    /// What came in the second part is not what had come before.
    Diverged,
    /// The other servers had no room, or failed.
    NoServer,
}

/// What is to be done when a part has ended badly.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Then {
    /// Ask for the rest.
    Ask {
        /// What the client has had of the answer.
        text: String,
        /// The most tokens of the rest, or of the whole where servers begin anew.
        max_tokens: u64,
        /// By when its first event must have come (us).
        until: Micros,
    },
    /// The answer has all that it may have, and ends in good order.
    Full {
        /// Its end is still to be told: it has as many tokens as it may, and no server has said so.
        tell: bool,
    },
    /// The answer ends here, with an error.
    Cut(Why),
}

/// What an event of a server holds, as far as it matters here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its text.
    pub text: &'a str,
    /// It holds something besides.
    pub more: bool,
    /// It ends the answer.
    pub finishes: bool,
}

/// What of an event the client gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Passed {
    /// All of it.
    Whole,
    /// It with this text in place of its own.
    Text(String),
    /// Nothing: the client has had all that it holds.
    Nothing,
    /// The answer can't be put together: it is cut.
    Cut(Why),
}

/// Tokens that a text has at the least: what is left of a bound on tokens must not be underrated by much, or the
/// rest is cut short. Servers count better; they are not asked.
const MOST_CHARACTERS_A_TOKEN: u64 = 6;

/// One choice of an answer.
#[derive(Clone, Debug)]
pub struct Stream {
    policy: Policy,
    shape: Shape,
    /// What the client has had.
    text: String,
    /// Events that the client has had: each holds a token at the least.
    events: u64,
    /// It has had more than text.
    more: bool,
    finished: bool,
    /// How far the part that comes now has repeated what the client has had (bytes); `None` once it is beyond.
    repeated: Option<usize>,
    tried: u32,
    /// When it first broke.
    broke: Option<Micros>,
}

impl Stream {
    /// One of which nothing has come.
    #[must_use]
    pub fn new(policy: Policy, shape: Shape) -> Self {
        Self {
            policy,
            shape,
            text: String::new(),
            events: 0,
            more: false,
            finished: false,
            repeated: None,
            tried: 0,
            broke: None,
        }
    }

    /// How often it has gone on.
    #[must_use]
    pub fn tried(&self) -> u32 {
        self.tried
    }

    /// An event has come: what of it the client gets.
    pub fn event(&mut self, event: Event<'_>) -> Passed {
        if self.finished {
            // Guards against a server that goes on after its end: the client has had it.
            return Passed::Nothing;
        }
        self.finished = event.finishes;
        let Some(repeated) = self.repeated else {
            self.more |= event.more;
            self.had(event.text);
            return Passed::Whole;
        };
        // The client has had only text, or this would not have gone on; so more than text is new.
        let rest = &self.text[repeated..];
        if let Some(new) = event.text.strip_prefix(rest) {
            let new = new.to_owned();
            self.repeated = None;
            self.more |= event.more;
            self.had(&new);
            return if new.is_empty() && !event.more && !event.finishes {
                Passed::Nothing
            } else {
                Passed::Text(new)
            };
        }
        if event.more || event.finishes || !rest.starts_with(event.text) {
            return Passed::Cut(Why::Diverged);
        }
        self.repeated = Some(repeated + event.text.len());
        Passed::Nothing
    }

    fn had(&mut self, text: &str) {
        // A text that is too long is never given to a server again: it is not kept either.
        if self.text.len() + text.len() <= self.policy.most_text {
            self.text.push_str(text);
        } else {
            self.text = String::new();
            self.more = true;
            self.policy.most_text = 0;
        }
        self.events += u64::from(!text.is_empty());
    }

    /// The part that came has broken off: what is to be done.
    pub fn broke(&mut self, now: Micros) -> Then {
        if self.finished {
            return Then::Full { tell: false };
        }
        if !self.shape.may_repeat {
            return Then::Cut(Why::Once);
        }
        if self.policy.most_text == 0 {
            return Then::Cut(Why::TooLong);
        }
        if self.more || self.shape.more_than_text {
            return Then::Cut(Why::NotText);
        }
        let until = self.broke.get_or_insert(now).saturating_add(self.policy.within);
        if self.tried >= self.policy.most || now >= until {
            return Then::Cut(Why::Spent);
        }
        let least = (self.text.chars().count() as u64).div_ceil(MOST_CHARACTERS_A_TOKEN).max(self.events);
        let left = self.shape.max_tokens.saturating_sub(least);
        if left == 0 {
            self.finished = true;
            return Then::Full { tell: true };
        }
        self.tried += 1;
        let max_tokens = match self.policy.mode {
            Mode::Continue => {
                self.repeated = None;
                left
            }
            Mode::Restart => {
                self.repeated = Some(0).filter(|_| !self.text.is_empty());
                self.shape.max_tokens
            }
        };
        Then::Ask { text: self.text.clone(), max_tokens, until }
    }

    /// The rest that was asked for did not begin: it was refused, or failed. What is to be done.
    pub fn not_begun(&mut self, now: Micros, retry_in: Option<Micros>) -> Then {
        // Who is told to come back does not hammer; the client has no other use for the time.
        let Some(retry_in) = retry_in else { return self.broke_again(now) };
        match self.broke {
            Some(broke) if now + retry_in < broke.saturating_add(self.policy.within) => self.broke_again(now),
            _ => Then::Cut(Why::NoServer),
        }
    }

    fn broke_again(&mut self, now: Micros) -> Then {
        match self.broke(now) {
            Then::Cut(Why::Spent) => Then::Cut(Why::NoServer),
            other => other,
        }
    }

    /// The part has ended in good order: whether the answer has.
    #[must_use]
    pub fn ended(&self) -> bool {
        // A part that stops while it still repeats has lost what the client had.
        self.repeated.is_none()
    }
}
