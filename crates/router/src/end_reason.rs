//! Why a request is answered without a stream. The reason accompanies the action for logs and metrics; no
//! decision depends on it.

use crate::interface::RequestId;

/// Why a request is rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Its deadline has passed.
    Deadline,
    /// It has used all the attempts that its class allows.
    AttemptsSpent,
    /// The list of servers is empty.
    NoServers,
    /// It may have run, and a retry at any server could take effect a second time.
    MayNotRepeat,
    /// No writer can take its held state within the hold time.
    NoWriter,
    /// The stages that it needs are overloaded.
    Overloaded,
    /// No server can take it now.
    NoServerReady,
    /// The selected server failed the final check before the send.
    NotAllowed,
    /// The process has reached its limit of open requests.
    TooManyOpen,
    /// Its class has been removed.
    ClassGone,
    /// The process is shutting down, and the request arrived too late to be served before the end.
    Leaving,
    /// Its id may be open in another process of this dispatcher, and it must not run twice.
    IdNotExclusive,
    /// It must not run twice, and there is no room to remember its id.
    NoRoomForId,
}

impl EndReason {
    /// All reasons, in the order in which counts are reported.
    pub const ALL: [Self; 13] = [
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
        Self::IdNotExclusive,
        Self::NoRoomForId,
    ];

    /// The reason's name in the metrics (`STATS`).
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
            Self::IdNotExclusive => "id_not_exclusive",
            Self::NoRoomForId => "no_room_for_id",
        }
    }
}

/// The requests that one event caused to be answered, with the reason for each.
pub type EndReasons = Vec<(RequestId, EndReason)>;
