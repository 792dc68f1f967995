//! What clients, servers and agents saw, on one monotonic clock.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Microseconds since the play began.
pub type Micros = u64;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// When it was seen.
    pub at: Micros,
    /// The request that it is about; 0 for none.
    pub id: u64,
    /// What was seen.
    pub observation: Observation,
}

/// How a client's exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A 200, and its stream came to its last chunk.
    Served,
    /// A 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// A 200 whose stream was cut.
    Cut,
    /// The connection ended without an answer.
    Closed,
}

/// What a peer saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A client has written the last byte of a request.
    Asked {
        /// The dispatcher that it asked.
        dispatcher: usize,
        /// What may happen to it.
        class: Class,
        /// How long the client waits for the first token.
        timeout: Micros,
        /// Whether it is the first request on its connection.
        on_new_connection: bool,
    },
    /// The client has its final answer.
    Ended(ClientOutcome),
    /// The client closed its connection before that.
    Left,
    /// An event reached the client.
    EventCame(usize),
    /// The first byte of an attempt reached a server.
    AttemptBegan {
        /// The server.
        server: usize,
    },
    /// The last byte of an attempt reached a server that runs.
    AttemptArrived {
        /// The server.
        server: usize,
        /// Whether the server reads prompts only.
        is_reader: bool,
        /// The time left by `X-Remaining`, if that was there.
        remaining: Option<Micros>,
    },
    /// A server turned an attempt away: it never ran.
    TurnedAway {
        /// The server.
        server: usize,
    },
    /// A read ended well: its state is held from now on.
    ReadEnded {
        /// The server.
        server: usize,
    },
    /// A writer took the state and began to answer.
    WriteBegan {
        /// The server.
        server: usize,
    },
    /// A writer wrote an event.
    EventWritten(usize),
    /// A writer wrote its last chunk.
    StreamEnded {
        /// The server.
        server: usize,
    },
    /// The attempt is not out any more: it was answered whole, or its connection has ended.
    AttemptOver {
        /// The server.
        server: usize,
    },
    /// A server was asked to release everything that it holds.
    Released,
    /// A process was started.
    Started {
        /// The dispatcher that it belongs to.
        dispatcher: usize,
    },
    /// A process was ready.
    Ready {
        /// The dispatcher that it belongs to.
        dispatcher: usize,
    },
    /// The processes of a dispatcher that run were told to end.
    EndRequested {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A process that was told to end was killed at the earliest time.
    KilledAtEnd {
        /// The dispatcher.
        dispatcher: usize,
        /// When it had been told.
        signaled_at: Micros,
    },
    /// A process was killed or stopped as the plan says: time rules do not bind it until `until`.
    Excused {
        /// The dispatcher.
        dispatcher: usize,
        /// Until when.
        until: Micros,
        /// Whether what it had taken is excused too.
        killed: bool,
    },
    /// A client that stopped in the middle of a request, and stayed, has got neither an error nor an end of its connection.
    HalfRequestIgnored {
        /// The dispatcher.
        dispatcher: usize,
        /// When the client began.
        began: Micros,
    },
    /// A process ended although nobody had told it to, or did not end when told.
    BadExit {
        /// The dispatcher.
        dispatcher: usize,
        /// What was seen.
        what: String,
    },
    /// A process held more of something after the play than it should.
    Leak {
        /// The dispatcher.
        dispatcher: usize,
        /// What was seen.
        what: String,
    },
}

/// What may happen to a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// They may run any number of times.
    Ask,
    /// They may run once.
    Book,
    /// Servers know a repeat for a while.
    Note,
}

impl Class {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Ask, Self::Book, Self::Note];

    /// The name that the settings have for it.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ask => "ask",
            Self::Book => "book",
            Self::Note => "note",
        }
    }
}

/// The event log of a play, shared by all peers.
#[derive(Clone, Debug)]
pub struct EventLog {
    start: Instant,
    entries: Arc<Mutex<Vec<LogEntry>>>,
}

impl Default for EventLog {
    fn default() -> Self {
        Self { start: Instant::now(), entries: Arc::default() }
    }
}

impl EventLog {
    /// Microseconds since the play began.
    #[must_use]
    pub fn now(&self) -> Micros {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant that is so many milliseconds after the play began.
    #[must_use]
    pub fn instant(&self, milliseconds: u64) -> tokio::time::Instant {
        (self.start + Duration::from_millis(milliseconds)).into()
    }

    /// Writes an entry, now.
    pub fn write(&self, id: u64, observation: Observation) {
        self.write_at(self.now(), id, observation);
    }

    /// Writes an entry that was seen at another time.
    pub fn write_at(&self, at: Micros, id: u64, observation: Observation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(LogEntry { at, id, observation });
    }

    /// All entries, by time.
    #[must_use]
    pub fn entries(&self) -> Vec<LogEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
