//! Log of what clients, servers and the harness observed in a run, on one monotonic clock. The oracle checks the rules
//! against this log.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Microseconds: a duration, or a time since the start of the run.
pub type Micros = u64;

/// One observation with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Time of the observation, since the start of the run.
    pub at: Micros,
    /// Id of the request that the observation is about; 0 if it is about none.
    pub id: u64,
    /// What was observed.
    pub observation: Observation,
}

/// How an exchange ended for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// Status 200, and the stream was received up to its last chunk.
    Served,
    /// Status 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// Status 200, but the connection ended before the last chunk of the stream.
    Cut,
    /// The connection was closed before the head of a response was received.
    Closed,
    /// The connection was reset before the head of a response was received.
    Reset,
}

impl ClientOutcome {
    /// How the connection ended, if it ended without the head of a response.
    #[must_use]
    pub fn unanswered(self) -> Option<&'static str> {
        match self {
            Self::Closed => Some("closed"),
            Self::Reset => Some("reset"),
            Self::Served | Self::Refused | Self::Failed | Self::Cut => None,
        }
    }
}

/// What a test peer or the harness observed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// Index of the dispatcher that the request was sent to.
        dispatcher: usize,
        /// The class of the request.
        class: Class,
        /// How long the client waits for the first token; sent as `X-Remaining`.
        timeout: Micros,
        /// When its connection was established, if it is the first request on it.
        connected_at: Option<Micros>,
    },
    /// A bad client sent this id while the stream of its request was under way, and got this status; `None` if its
    /// connection was closed instead.
    OpenIdRepeated {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// The status of the response.
        status: Option<u16>,
    },
    /// A bad client sent this id again after its request had ended.
    EndedIdSent,
    /// It got this status; `None` if its connection was closed instead.
    EndedIdAnswered {
        /// The status of the response.
        status: Option<u16>,
    },
    /// A client of the chat front wrote the last byte of a booking, or of a retry of it.
    BookingSent {
        /// The number of the client; each books once.
        client: u64,
        /// What it books with.
        words: String,
    },
    /// A client of the chat front received the head of an answer to its booking.
    BookingAnswered {
        /// The number of the client.
        client: u64,
        /// The id of the request that was answered.
        run: u64,
    },
    /// A writer began to run a booking of the chat front under this id.
    BookingRan {
        /// What was booked with.
        words: String,
    },
    /// A client received the end of its response, or the connection ended instead.
    ExchangeEnded(ClientOutcome),
    /// A client closed its connection before the response was complete.
    ClientLeft,
    /// A client received the event of this index, from 0.
    EventReceived(usize),
    /// The first byte of an attempt reached a server.
    AttemptBegan {
        /// Index of the server.
        server: usize,
    },
    /// A server read the last byte of an attempt; a server that is stalled does so once it continues.
    AttemptArrived {
        /// Index of the server.
        server: usize,
        /// Whether the server is a reader.
        is_reader: bool,
        /// The remaining time by the attempt's `X-Remaining`; `None` if the header is missing.
        remaining: Option<Micros>,
    },
    /// A server rejected an attempt before running it.
    TurnedAway {
        /// Index of the server.
        server: usize,
    },
    /// A reader has read the prompt; it holds the state from now on.
    ReadEnded {
        /// Index of the server.
        server: usize,
    },
    /// A writer fetched the state and began to run the request.
    WriteBegan {
        /// Index of the server.
        server: usize,
    },
    /// A writer wrote the event of this index, from 0.
    EventWritten(usize),
    /// A writer began to send what never makes a whole stream.
    StreamSpoilt {
        /// Index of the server.
        server: usize,
    },
    /// The dispatcher closed the connection of a server that was slowly writing a sound answer.
    AnswerCutShort {
        /// Index of the server.
        server: usize,
    },
    /// A writer wrote the last chunk of its stream.
    StreamEnded {
        /// Index of the server.
        server: usize,
    },
    /// An attempt is no longer in flight: its response is complete, or its connection has ended.
    AttemptEnded {
        /// Index of the server.
        server: usize,
    },
    /// A server received the request to release the state of this request.
    ReleaseReceived,
    /// A dispatcher process was started.
    Started {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher process reported that it is ready.
    Ready {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The running processes of a dispatcher were told to shut down, in a plan that kills them at the earliest time.
    ShutdownRequested {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// A process still ran at the earliest time at which the platform may kill it, and was killed.
    KilledInShutdown {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// When it was told to shut down.
        signaled_at: Micros,
    },
    /// A process was killed or paused by the plan: time limits do not apply to the dispatcher until `until`.
    PlannedOutage {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// End of the outage, since the start of the run.
        until: Micros,
        /// Whether the process was killed, which excuses the requests that it had accepted too.
        killed: bool,
    },
    /// A client established a connection on which it sends nothing, or only a part of a request.
    IdleClientConnected {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// The connection of such a client has ended: the client left, or it received an error or a close.
    IdleClientEnded {
        /// Index of the dispatcher.
        dispatcher: usize,
    },
    /// A client sent a part of a request and kept its connection open, but received neither an error nor a close in
    /// time.
    HalfRequestIgnored {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// When the client began to write.
        began: Micros,
    },
    /// A client that connects all the time established a connection and wrote a request, but the connection ended without
    /// an answer.
    NewConnectionLost {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// When the connection was established.
        connected_at: Micros,
        /// Whether it was reset.
        was_reset: bool,
    },
    /// A process could not be started, was not ready in time, ended by itself, or did not end properly when told to.
    /// An error of the harness that affects the dispatcher is logged as this too.
    BadExit {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Description for the report.
        what: String,
    },
    /// A process held more of a resource after the run than allowed, or reported a violated invariant.
    Leak {
        /// Index of the dispatcher.
        dispatcher: usize,
        /// Description for the report.
        what: String,
    },
}

/// The request classes of a run; they differ in their effect, that is in how often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
    /// A request may be sent again within the deduplication window, in which servers recognize the repeat.
    Deduplicated,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 3] = [Self::Idempotent, Self::AtMostOnce, Self::Deduplicated];

    /// The name of the class in the dispatcher's settings and in `X-Lane`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "ask",
            Self::AtMostOnce => "book",
            Self::Deduplicated => "note",
        }
    }
}

/// The event log of a run. Clones share the same entries and clock.
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
    /// Time since the start of the run, which is when the log was created.
    #[must_use]
    pub fn now(&self) -> Micros {
        u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The instant at a number of milliseconds after the start of the run.
    #[must_use]
    pub fn instant(&self, milliseconds: u64) -> tokio::time::Instant {
        (self.start + Duration::from_millis(milliseconds)).into()
    }

    /// Adds an observation that was made now.
    pub fn write(&self, id: u64, observation: Observation) {
        self.write_at(self.now(), id, observation);
    }

    /// Adds an observation that was made at another time.
    pub fn write_at(&self, at: Micros, id: u64, observation: Observation) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(LogEntry { at, id, observation });
    }

    /// All entries, ordered by time.
    #[must_use]
    pub fn entries(&self) -> Vec<LogEntry> {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
        entries.sort_by_key(|entry| entry.at);
        entries
    }
}
