//! The interface between the fronts and the replica in the cluster's event loop: before a front sends on a request
//! that must not run twice, it has a quorum of instances hold a record of it.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use dewladder_replica::{Denial, Event, OfferId, Outcome, RecordId, Stage};
use tokio::sync::{mpsc, oneshot};

use crate::interface::Micros;

/// The replica's decision on an offer: granted, or why not.
type Decision = Result<(), Denial>;

/// A message from a front to the cluster's event loop.
#[derive(Debug)]
pub(super) enum QuorumRequest {
    /// Have a quorum of instances hold a record of a request by the deadline, and send the decision to `answer`.
    Offer { offer: OfferId, id: RecordId, deadline: Micros, answer: oneshot::Sender<Decision> },
    /// The request has ended, or its front no longer waits for the decision; `stage` says whether it executed.
    Finished { offer: OfferId, stage: Stage },
}

/// The receiving end of the channel from the fronts, in the cluster's event loop.
pub(super) type QuorumRequests = mpsc::UnboundedReceiver<QuorumRequest>;

/// The fronts' handle on the cluster's event loop. Its channel is unbounded, but the number of open client requests
/// bounds how much is queued in it.
#[derive(Clone, Debug)]
pub struct Quorum {
    requests: mpsc::UnboundedSender<QuorumRequest>,
    next_offer: Arc<AtomicU64>,
}

/// Creates the channel between the fronts and the cluster's event loop.
pub(super) fn request_channel() -> (Quorum, QuorumRequests) {
    let (requests, receiver) = mpsc::unbounded_channel();
    (Quorum { requests, next_offer: Arc::default() }, receiver)
}

impl Quorum {
    /// Has a quorum of instances hold a record of the request. If the future is dropped while it waits, the offer is
    /// withdrawn.
    ///
    /// # Errors
    /// Why the request must not be sent on; [`Denial::NoQuorum`] also if the event loop has ended.
    pub async fn offer(&self, id: RecordId, deadline: Micros) -> Result<Grant, Denial> {
        let offer = OfferId(self.next_offer.fetch_add(1, Ordering::Relaxed));
        let (answer, decision) = oneshot::channel();
        // Before the offer is granted, the request certainly has not executed: this is reported if the future is
        // dropped.
        let mut grant = Grant { requests: self.requests.clone(), offer, final_stage: Stage::NeverExecuted };
        // If the event loop has ended, the answer's sender is dropped with the message, and the offer denied below.
        let _ = self.requests.send(QuorumRequest::Offer { offer, id, deadline, answer });
        decision.await.unwrap_or(Err(Denial::NoQuorum))?;
        grant.final_stage = Stage::MayHaveExecuted;
        Ok(grant)
    }
}

/// The permission to send a request on. Dropping it reports the request's final stage to the replica:
/// [`Stage::MayHaveExecuted`] unless [`Grant::never_executed`] or [`Grant::executed`] was called.
#[derive(Debug)]
pub struct Grant {
    requests: mpsc::UnboundedSender<QuorumRequest>,
    offer: OfferId,
    final_stage: Stage,
}

impl Grant {
    /// Reports that the request certainly never executed.
    pub fn never_executed(mut self) {
        self.final_stage = Stage::NeverExecuted;
    }

    /// Reports that the request executed, and whether its answer is complete. The answer itself stays with this
    /// instance: other instances only learn that the request executed.
    pub fn executed(mut self, complete: bool) {
        self.final_stage = Stage::Executed(Outcome { complete, digest: 0 });
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let request = QuorumRequest::Finished { offer: self.offer, stage: self.final_stage };
        let _ = self.requests.send(request);
    }
}

/// The offers whose fronts wait for a decision.
#[derive(Debug, Default)]
pub(super) struct PendingOffers {
    senders: HashMap<OfferId, oneshot::Sender<Decision>>,
}

impl PendingOffers {
    /// Registers or removes the pending offer that a front's message is about, and returns the event for the replica.
    pub(super) fn handle_request(&mut self, request: QuorumRequest) -> Event {
        match request {
            QuorumRequest::Offer { offer, id, deadline, answer } => {
                self.senders.insert(offer, answer);
                Event::Offer { offer, id, deadline }
            }
            QuorumRequest::Finished { offer, stage } => {
                self.senders.remove(&offer);
                Event::Finished { offer, stage }
            }
        }
    }

    /// Sends the decision to the front that waits for it, if any.
    pub(super) fn answer(&mut self, offer: OfferId, decision: Decision) {
        if let Some(answer) = self.senders.remove(&offer) {
            // The send fails if the front no longer waits. Dropping its grant has then queued
            // `QuorumRequest::Finished`.
            let _ = answer.send(decision);
        }
    }
}
