//! State of one open request in the reducer: its client, its attempts, and the state that servers may hold for it.

use std::collections::BTreeMap;

use crate::edge::core::held_state::HeldState;
use crate::edge::core::request_history::RequestHistory;
use crate::edge::transitions::AttemptLabel;
use crate::interface::{Micros, Outcome, RequestId, RequestInfo, ServerId};

/// What the client of a request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientState {
    /// The client is waiting for its answer.
    Waiting,
    /// The stream of the attempt with this number is being relayed to the client.
    Streaming(u32),
    /// The client has its final answer or has disconnected.
    Done,
}

/// An attempt that has been sent and has not ended.
#[derive(Debug)]
pub struct InFlight {
    /// The server it was sent to.
    pub server: ServerId,
    /// Whether the attempt only reads the prompt.
    pub reads: bool,
    /// Time at which it was sent (us).
    pub sent_at: Micros,
    /// Time at which it times out (us).
    pub attempt_deadline: Micros,
    /// Whether its last byte has been handed to the operating system.
    pub written: bool,
    /// Outcome to report once the requested cancellation has been carried out; `None` unless it is being cancelled.
    pub cancel_outcome: Option<Outcome>,
}

impl InFlight {
    /// The label that identifies the attempt in log lines.
    #[must_use]
    pub fn label(&self, id: RequestId, attempt: u32) -> AttemptLabel {
        AttemptLabel { id, attempt, server: self.server }
    }
}

/// An open request.
#[derive(Debug)]
pub struct Request {
    /// Class of the request, by number.
    pub class: u32,
    /// State of the client.
    pub client: ClientState,
    /// Time at which the client gives up (us).
    pub not_after: Micros,
    /// Number of attempts made so far, including refused sends; also the number of the next attempt.
    pub attempts: u32,
    /// Attempts in flight, by number.
    pub in_flight: BTreeMap<u32, InFlight>,
    /// State that servers hold for the request.
    pub held: HeldState,
    /// Send time of the first attempt that may have been executed (us); `None` as long as certainly none was.
    pub first_execution: Option<Micros>,
    /// What has happened to the request.
    pub history: RequestHistory,
}

impl Request {
    /// A request that has just arrived.
    #[must_use]
    pub fn new(info: &RequestInfo, now: Micros) -> Self {
        Self {
            class: info.class,
            client: ClientState::Waiting,
            not_after: info.not_after,
            attempts: 0,
            in_flight: BTreeMap::new(),
            held: HeldState::none(),
            first_execution: None,
            history: RequestHistory::new(now, info.not_after.saturating_sub(now)),
        }
    }

    /// Whether an attempt in flight may be waiting for held state. Attempts that only read the prompt never do.
    #[must_use]
    pub fn awaits_held_state(&self) -> bool {
        self.in_flight.values().any(|attempt| !attempt.reads)
    }

    /// Whether the client expects nothing more and no attempt is in flight.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.client == ClientState::Done && self.in_flight.is_empty()
    }
}
