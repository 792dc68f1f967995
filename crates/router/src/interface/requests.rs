//! Requests, and the outcomes of their attempts.

use super::{Key, Micros, Report, RequestId, ServerId};

/// A client's request, as far as routing needs to know it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestInfo {
    /// Unique among all requests of this process.
    pub id: RequestId,
    /// The number of the request's class, a key of [`Settings::classes`](super::Settings::classes).
    pub class: u32,
    /// The session it belongs to; `None` for a request without one.
    pub session: Option<Key>,
    /// The prefix that its prompt shares with other sessions; `None` if it shares none.
    pub shared: Option<Key>,
    /// Length of the shared prefix in tokens.
    pub shared_tokens: u64,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub max_tokens: u64,
    /// Estimated length of the answer, expressed as its streaming time at the class's token interval
    /// objective (us). `None` without an estimate.
    pub hint: Option<Micros>,
    /// The request's deadline, on the dispatcher's clock (us): the client stops waiting then.
    pub not_after: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer was streamed to its end.
    Served,
    /// The prompt was read, and the reader holds the state for a writer.
    Read,
    /// The server answered with an error; the attempt may have run.
    Error,
    /// The server rejected the attempt because it was at capacity; it never ran.
    Full,
    /// The writer found no state to fetch; the attempt never ran.
    NoState,
    /// No answer within the attempt timeout; the attempt may have run.
    Timeout,
    /// No connection to the server could be made; the attempt never ran.
    ConnectFailed,
    /// The connection broke after the attempt was sent; it may have run.
    Reset,
    /// The server's machine did not acknowledge all of the sent bytes in time. The attempt may have run, as
    /// acknowledgements can be lost too.
    Unacknowledged,
    /// Cancelled by the dispatcher; the attempt may have run.
    Cancelled,
    /// The attempt was never sent, so it never ran.
    NotSent,
    /// An outcome that this version does not know; the attempt may have run.
    Unknown,
}

impl Outcome {
    /// Whether the attempt may have run, in the sense of the class's effect. A finished read (`Read`) does
    /// not count: the request's effect only comes with its answer.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Read | Self::Full | Self::NoState | Self::ConnectFailed | Self::NotSent)
    }
}

/// What the end of an attempt means for the state that servers hold for its request. The hold time is
/// limited by [`Settings::max_hold_time`](super::Settings::max_hold_time).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldStateAfter {
    /// The hold time continues to run: nothing shows that a server received the attempt.
    HoldTimeContinues,
    /// The hold time starts again from zero, because a server answered.
    HoldTimeRestarts,
    /// The state is being released.
    Released,
}

impl HeldStateAfter {
    /// What an outcome means if every message sent reaches its server, except where the outcome itself says
    /// that it did not.
    #[must_use]
    pub fn of_arrived(outcome: Outcome) -> Self {
        match outcome {
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unacknowledged => Self::HoldTimeContinues,
            _ => Self::HoldTimeRestarts,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptFinished {
    /// The request that the attempt belonged to.
    pub id: RequestId,
    /// The attempt's number, counted from 0 for each request.
    pub attempt: u32,
    /// The server that the attempt was assigned to.
    pub server: ServerId,
    /// Time from sending the attempt to its end (us).
    pub elapsed: Micros,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What happens to the state that servers hold for the request.
    pub held_state: HeldStateAfter,
    /// Prompt tokens that the server found in its cache; meaningful with `Read` and `Served`.
    pub cached_tokens: u64,
    /// The request is completed, so no further attempt may follow.
    pub completes_request: bool,
    /// The load report that the server sent with its answer, if any.
    pub report: Option<Report>,
}
