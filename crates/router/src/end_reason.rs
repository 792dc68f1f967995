//! Why a request is answered without a stream: told beside the action, for logs and metrics. Nothing is
//! decided by it.

use crate::interface::RequestId;

/// Why a request is rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its time is over.
    Deadline,
    /// It has had all the attempts that its class allows.
    AttemptsSpent,
    /// The list has no servers.
    NoServers,
    /// It may have run, and may not run again.
    MayNotRepeat,
    /// No writer takes what was read in the time in which it may be held.
    NoWriter,
    /// More would queue than can be served in time.
    Overloaded,
    /// No server can take it now.
    NoServerReady,
    /// The server that was chosen may not be sent to after all.
    NotAllowed,
    /// This process holds as many requests as it may.
    TooManyOpen,
    /// Its class is not there any more.
    ClassGone,
    /// This process was told to end, and the request came too late to be served to its end.
    Leaving,
}

impl EndReason {
    /// All of them, in the order of counts.
    pub const ALL: [Self; 11] = [
        Self::Deadline,
        Self::AttemptsSpent,
        Self::NoServers,
        Self::MayNotRepeat,
        Self::NoWriter,
        Self::Overloaded,
        Self::NoServerReady,
        Self::NotAllowed,
        Self::TooManyOpen,
        Self::ClassGone,
        Self::Leaving,
    ];

    /// Its name in the metrics (`STATS`).
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Deadline => "deadline",
            Self::AttemptsSpent => "attempts_spent",
            Self::NoServers => "no_servers",
            Self::MayNotRepeat => "may_not_repeat",
            Self::NoWriter => "no_writer",
            Self::Overloaded => "overloaded",
            Self::NoServerReady => "no_server_ready",
            Self::NotAllowed => "not_allowed",
            Self::TooManyOpen => "too_many_open",
            Self::ClassGone => "class_gone",
            Self::Leaving => "leaving",
        }
    }
}

/// The requests that one event has had answered, with the reason of each.
pub type EndReasons = Vec<(RequestId, EndReason)>;
