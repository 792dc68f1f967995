//! What the reducer keeps of one request: where its client stands, its attempts, and the state that servers may hold.

use std::collections::BTreeMap;

use crate::edge::core::held_state::HeldState;
use crate::edge::core::request_history::RequestHistory;
use crate::edge::transitions::AttemptLabel;
use crate::interface::{Micros, Outcome, RequestId, RequestInfo, ServerId};

/// Where the client of a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Client {
    /// It waits for its answer.
    Waiting,
    /// It is given the stream of this attempt.
    Streaming(u32),
    /// It has its final answer or has disconnected.
    Done,
}

/// An attempt that has been sent and has not ended.
#[derive(Debug)]
pub struct InFlight {
    /// Where it was sent.
    pub server: ServerId,
    /// Whether it only reads the prompt.
    pub reads: bool,
    /// When it was sent (us).
    pub sent: Micros,
    /// When it times out (us).
    pub until: Micros,
    /// Its last byte has been handed to the system.
    pub written: bool,
    /// The outcome to report once the cancellation that was asked for has been carried out.
    pub cancelled_as: Option<Outcome>,
}

impl InFlight {
    /// The attempt as log lines name it.
    #[must_use]
    pub fn label(&self, id: RequestId, attempt: u32) -> AttemptLabel {
        AttemptLabel { id, attempt, server: self.server }
    }
}

/// An open request.
#[derive(Debug)]
pub struct Request {
    /// Its class, by number.
    pub class: u32,
    /// Where its client stands.
    pub client: Client,
    /// When its client gives up (us).
    pub not_after: Micros,
    /// Attempts made so far.
    pub attempts: u32,
    /// Attempts in flight, by number.
    pub in_flight: BTreeMap<u32, InFlight>,
    /// What servers hold for it.
    pub held: HeldState,
    /// When the first attempt was sent that may have been executed (us); `None` while surely none was.
    pub first_execution: Option<Micros>,
    /// What has become of it.
    pub history: RequestHistory,
}

impl Request {
    /// One that has just arrived.
    #[must_use]
    pub fn new(info: &RequestInfo, now: Micros) -> Self {
        Self {
            class: info.class,
            client: Client::Waiting,
            not_after: info.not_after,
            attempts: 0,
            in_flight: BTreeMap::new(),
            held: HeldState::none(),
            first_execution: None,
            history: RequestHistory::new(now, info.not_after.saturating_sub(now)),
        }
    }

    /// Whether an attempt in flight may wait for what is held: one that only reads does not.
    #[must_use]
    pub fn awaits_held_state(&self) -> bool {
        self.in_flight.values().any(|attempt| !attempt.reads)
    }

    /// Whether its client wants nothing more and nothing of it is in flight.
    #[must_use]
    pub fn is_completed(&self) -> bool {
        self.client == Client::Done && self.in_flight.is_empty()
    }
}
