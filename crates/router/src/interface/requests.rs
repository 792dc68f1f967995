//! Requests and the ends of their attempts.

use super::{Key, Micros, Report, RequestId, ServerId};

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Its id.
    pub id: RequestId,
    /// Its class, by number.
    pub class: u32,
    /// Its session.
    pub session: Option<Key>,
    /// The prefix that its prompt shares with other sessions.
    pub shared: Option<Key>,
    /// The length of that prefix in tokens.
    pub shared_tokens: u64,
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// The most tokens that the answer can have.
    pub max_tokens: u64,
    /// Rough length of the answer, as the time that it streams at the class's token interval objective (us).
    pub hint: Option<Micros>,
    /// When the client gives this try up, on the dispatcher's clock (us).
    pub not_after: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The prompt has been read; its state waits at the reader.
    Read,
    /// The server answered with an error; it might have run.
    Error,
    /// The server turned it away; never ran.
    Full,
    /// There was no state to fetch; never ran.
    NoState,
    /// No answer in time; it might have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it might have run.
    Reset,
    /// The server's machine acknowledged not all of it in time; it might have run, as acknowledgements get
    /// lost too.
    Unacknowledged,
    /// Cancelled by the dispatcher; it might have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Not known to this version; it might have run.
    Unknown,
}

impl Outcome {
    /// Whether the attempt may have taken effect.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Read | Self::Full | Self::NoState | Self::ConnectFailed | Self::NotSent)
    }
}

/// What the end of an attempt means for the state that servers hold for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldStateAfter {
    /// The time for which it may be held goes on running: nothing shows that a server had the attempt.
    TimeGoesOn,
    /// It may be held for its whole time once more: a server has answered.
    TimeBeginsAnew,
    /// It is being released.
    Released,
}

impl HeldStateAfter {
    /// What an outcome means where all that is sent arrives, unless the outcome itself says that it did not.
    #[must_use]
    pub fn of_arrived(outcome: Outcome) -> Self {
        match outcome {
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unacknowledged => Self::TimeGoesOn,
            _ => Self::TimeBeginsAnew,
        }
    }
}

/// How an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptFinished {
    /// The request.
    pub id: RequestId,
    /// Which attempt.
    pub attempt: u32,
    /// The server that it went to.
    pub server: ServerId,
    /// Time since it was sent (us).
    pub taken: Micros,
    /// How it ended.
    pub outcome: Outcome,
    /// What that means for the state that is held.
    pub held_state: HeldStateAfter,
    /// Prompt tokens that the server found in its cache (with `Read` and `Served`).
    pub cached_tokens: u64,
    /// The request is completed: no further attempt may follow.
    pub last: bool,
    /// The server's load report, if one came along.
    pub report: Option<Report>,
}
