//! History of an open request, transition by transition, in bounded memory. `history_reports.rs` logs the
//! histories of requests that met a fault (see `ReportReason`); the admin address shows those of all open requests.

use std::collections::VecDeque;
use std::fmt;

use crate::edge::core::messages::ConnectionKind;
use crate::edge::guard::Rule;
use crate::interface::{Micros, Outcome, ServerId};

/// Maximum number of transitions kept per request. The arrival is always kept; beyond that the oldest are dropped.
const MAX_TRANSITIONS: usize = 40;

/// A transition in the life of a request. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The request arrived.
    Arrived {
        /// Time until its client gives up.
        time_left: Micros,
    },
    /// An attempt was sent.
    Sent {
        /// The attempt, by number.
        attempt: u32,
        /// The server it was sent to.
        server: ServerId,
        /// Whether the attempt only reads the prompt.
        reads: bool,
        /// Time after which the attempt times out.
        timeout: Micros,
    },
    /// The last byte of an attempt was handed to the operating system, which does not show that the server received it.
    Written {
        /// The attempt, by number.
        attempt: u32,
        /// Whether the attempt uses a new connection or one that was already open.
        connection: ConnectionKind,
    },
    /// The guard refused to send an attempt.
    SendRefused {
        /// The server it would have gone to.
        server: ServerId,
        /// The rule that it would have broken.
        rule: Rule,
    },
    /// The stream of an attempt started.
    StreamStarted {
        /// The attempt, by number.
        attempt: u32,
    },
    /// The cancellation of an attempt was requested.
    CancelRequested {
        /// The attempt, by number.
        attempt: u32,
        /// Outcome that the attempt gets once it has been cancelled.
        reason: Outcome,
    },
    /// An attempt ended.
    Finished {
        /// The attempt, by number.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// The release of held state was requested.
    ReleaseRequested {
        /// Number of servers that hold state or may hold it.
        holders: usize,
        /// Whether an attempt was in flight.
        in_flight: bool,
    },
    /// A requested release ended.
    ReleaseFinished {
        /// Whether a server answered it.
        answered: bool,
    },
    /// The client got the final answer that the request is rejected.
    Rejected,
    /// The client got the final answer that the request failed.
    Failed,
    /// The client disconnected.
    ClientDisconnected,
}

impl fmt::Display for Transition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Arrived { time_left } => write!(formatter, "arrived time_left_us={time_left}"),
            Self::Sent { attempt, server, reads, timeout } => {
                let stage = if reads { "read" } else { "write" };
                write!(formatter, "sent attempt={attempt} server={server} stage={stage} timeout_us={timeout}")
            }
            Self::Written { attempt, connection } => {
                write!(formatter, "written attempt={attempt} connection={}", connection.name())
            }
            Self::SendRefused { server, rule } => {
                write!(formatter, "send_refused server={server} rule={}", rule.name())
            }
            Self::StreamStarted { attempt } => write!(formatter, "stream_started attempt={attempt}"),
            Self::CancelRequested { attempt, reason } => {
                write!(formatter, "cancel_requested attempt={attempt} reason={reason:?}")
            }
            Self::Finished { attempt, outcome } => {
                write!(formatter, "finished attempt={attempt} outcome={outcome:?}")
            }
            Self::ReleaseRequested { holders, in_flight } => {
                write!(formatter, "release_requested holders={holders} in_flight={in_flight}")
            }
            Self::ReleaseFinished { answered } => write!(formatter, "release_finished answered={answered}"),
            Self::Rejected => formatter.write_str("rejected"),
            Self::Failed => formatter.write_str("failed"),
            Self::ClientDisconnected => formatter.write_str("client_disconnected"),
        }
    }
}

/// Transitions of a request, in order. `Display` writes each with its time since the arrival (us).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHistory {
    arrived_at: Micros,
    time_left: Micros,
    transitions: VecDeque<(Micros, Transition)>,
    dropped: usize,
}

impl RequestHistory {
    /// The history of a request that arrives at `now` and whose client gives up after `time_left` (us).
    #[must_use]
    pub fn new(now: Micros, time_left: Micros) -> Self {
        Self { arrived_at: now, time_left, transitions: VecDeque::new(), dropped: 0 }
    }

    /// Adds a transition at time `now` (us), dropping the oldest one at the limit.
    pub fn add(&mut self, now: Micros, transition: Transition) {
        if self.transitions.len() + 1 >= MAX_TRANSITIONS {
            self.transitions.pop_front();
            self.dropped += 1;
        }
        self.transitions.push_back((now, transition));
    }

    /// Time at which the request arrived (us).
    #[must_use]
    pub fn arrived_at(&self) -> Micros {
        self.arrived_at
    }
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "+0 {}", Transition::Arrived { time_left: self.time_left })?;
        if self.dropped > 0 {
            write!(formatter, "; {} dropped", self.dropped)?;
        }
        for (at, transition) in &self.transitions {
            write!(formatter, "; +{} {transition}", at.saturating_sub(self.arrived_at))?;
        }
        Ok(())
    }
}
