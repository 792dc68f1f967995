//! The history of an open request: what became of it, step by step, in bounded memory. A request that needs explaining
//! has it written to the log (`history_reports.rs`), and the second address shows those of all open requests.

use std::collections::VecDeque;
use std::fmt;

use crate::edge::core::messages::ConnectionKind;
use crate::edge::guard::Rule;
use crate::interface::{Micros, Outcome, ServerId};

/// Transitions that are kept of a request: of a longer history the oldest are dropped, but for its arrival.
const MAX_TRANSITIONS: usize = 40;

/// Something that became of a request. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// It arrived; its client waits for so long.
    Arrived {
        /// Until its client gives up.
        time_left: Micros,
    },
    /// An attempt was sent.
    Sent {
        /// Which attempt.
        attempt: u32,
        /// Where.
        server: ServerId,
        /// Whether it only reads.
        reads: bool,
        /// How long it may take.
        timeout: Micros,
    },
    /// The last byte of an attempt was handed to the system. It says nothing of the server.
    Written {
        /// Which attempt.
        attempt: u32,
        /// Over which connection.
        connection: ConnectionKind,
    },
    /// The guard refused a send.
    SendRefused {
        /// Where it was to go.
        server: ServerId,
        /// The rule that it would have broken.
        rule: Rule,
    },
    /// The stream of an attempt began.
    StreamStarted {
        /// Which attempt.
        attempt: u32,
    },
    /// An attempt is being cancelled.
    CancelRequested {
        /// Which attempt.
        attempt: u32,
        /// Why.
        reason: Outcome,
    },
    /// An attempt ended.
    Finished {
        /// Which attempt.
        attempt: u32,
        /// How.
        outcome: Outcome,
    },
    /// Servers were asked to release what they hold.
    ReleaseRequested {
        /// How many of them may hold something.
        holders: usize,
        /// Whether an attempt was in flight.
        in_flight: bool,
    },
    /// That request to release came to its end.
    ReleaseFinished {
        /// Whether a server answered it.
        answered: bool,
    },
    /// It was rejected.
    Rejected,
    /// It was failed.
    Failed,
    /// Its client disconnected.
    ClientDisconnected,
}

impl fmt::Display for Transition {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Arrived { time_left } => write!(to, "arrived time_left_us={time_left}"),
            Self::Sent { attempt, server, reads, timeout } => {
                let stage = if reads { "read" } else { "write" };
                write!(to, "sent attempt={attempt} server={server} stage={stage} timeout_us={timeout}")
            }
            Self::Written { attempt, connection } => {
                write!(to, "written attempt={attempt} connection={}", connection.name())
            }
            Self::SendRefused { server, rule } => {
                write!(to, "send_refused server={server} rule={}", rule.name())
            }
            Self::StreamStarted { attempt } => write!(to, "stream_started attempt={attempt}"),
            Self::CancelRequested { attempt, reason } => {
                write!(to, "cancel_requested attempt={attempt} reason={reason:?}")
            }
            Self::Finished { attempt, outcome } => {
                write!(to, "finished attempt={attempt} outcome={outcome:?}")
            }
            Self::ReleaseRequested { holders, in_flight } => {
                write!(to, "release_requested holders={holders} in_flight={in_flight}")
            }
            Self::ReleaseFinished { answered } => write!(to, "release_finished answered={answered}"),
            Self::Rejected => to.write_str("rejected"),
            Self::Failed => to.write_str("failed"),
            Self::ClientDisconnected => to.write_str("client_disconnected"),
        }
    }
}

/// What became of a request, in order. Displayed with the time of each transition since the first (us).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHistory {
    arrived_at: Micros,
    time_left: Micros,
    later: VecDeque<(Micros, Transition)>,
    dropped: usize,
}

impl RequestHistory {
    /// The history of a request that arrives now.
    #[must_use]
    pub fn new(now: Micros, time_left: Micros) -> Self {
        Self { arrived_at: now, time_left, later: VecDeque::new(), dropped: 0 }
    }

    /// Adds what has just become of it.
    pub fn add(&mut self, now: Micros, transition: Transition) {
        if self.later.len() + 1 >= MAX_TRANSITIONS {
            self.later.pop_front();
            self.dropped += 1;
        }
        self.later.push_back((now, transition));
    }

    /// When the request arrived (us).
    #[must_use]
    pub fn arrived_at(&self) -> Micros {
        self.arrived_at
    }
}

impl fmt::Display for RequestHistory {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "+0 {}", Transition::Arrived { time_left: self.time_left })?;
        if self.dropped > 0 {
            write!(to, "; {} dropped", self.dropped)?;
        }
        for (at, transition) in &self.later {
            write!(to, "; +{} {transition}", at.saturating_sub(self.arrived_at))?;
        }
        Ok(())
    }
}
