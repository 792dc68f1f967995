//! By which fronts have other instances hold a record of a request before it is sent on.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use dewladder_replica::{Denial, Event, OfferId, Outcome, RecordId, Stage};
use tokio::sync::{mpsc, oneshot};

use crate::interface::Micros;

/// What the replica has decided of an offer.
type Decision = Result<(), Denial>;

/// What a front asks the cluster's loop for.
#[derive(Debug)]
pub(super) enum QuorumRequest {
    /// Have a record of a request held.
    Offer { offer: OfferId, id: RecordId, deadline: Micros, answer: oneshot::Sender<Decision> },
    /// The request has ended.
    Finished { offer: OfferId, stage: Stage },
}

/// Where the cluster's loop receives requests of fronts.
pub(super) type QuorumRequests = mpsc::UnboundedReceiver<QuorumRequest>;

/// The fronts' handle on the cluster's loop. The number of open client requests bounds what waits in its channel.
#[derive(Clone, Debug)]
pub struct Quorum {
    requests: mpsc::UnboundedSender<QuorumRequest>,
    next_offer: Arc<AtomicU64>,
}

/// A handle for fronts, and where the loop receives their requests.
pub(super) fn pair() -> (Quorum, QuorumRequests) {
    let (requests, received) = mpsc::unbounded_channel();
    (Quorum { requests, next_offer: Arc::default() }, received)
}

impl Quorum {
    /// Has a quorum of instances hold a record of the request. Dropped while it waits, the attempt is withdrawn.
    ///
    /// # Errors
    /// Why the request must not be sent on.
    pub async fn offer(&self, id: RecordId, deadline: Micros) -> Result<Grant, Denial> {
        let offer = OfferId(self.next_offer.fetch_add(1, Ordering::Relaxed));
        let (answer, decision) = oneshot::channel();
        // Until it is granted, it is known never to have executed.
        let mut grant = Grant { requests: self.requests.clone(), offer, final_stage: Stage::NeverExecuted };
        // A loop that has ended holds nothing for anybody.
        let _ = self.requests.send(QuorumRequest::Offer { offer, id, deadline, answer });
        decision.await.unwrap_or(Err(Denial::NoQuorum))?;
        grant.final_stage = Stage::MayHaveExecuted;
        Ok(grant)
    }
}

/// The permission to send a request on. Where it is dropped without a result, the request may have executed.
#[derive(Debug)]
pub struct Grant {
    requests: mpsc::UnboundedSender<QuorumRequest>,
    offer: OfferId,
    final_stage: Stage,
}

impl Grant {
    /// The request is known never to have executed.
    pub fn never_executed(mut self) {
        self.final_stage = Stage::NeverExecuted;
    }

    /// The request executed, and its answer came to its end or not. The answer itself stays with this instance: others
    /// know only that the request executed.
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

/// Offers whose fronts wait for a decision.
#[derive(Debug, Default)]
pub(super) struct PendingOffers {
    waiting: HashMap<OfferId, oneshot::Sender<Decision>>,
}

impl PendingOffers {
    /// Takes a front's request; the event that it is for the replica.
    pub(super) fn take(&mut self, request: QuorumRequest) -> Event {
        match request {
            QuorumRequest::Offer { offer, id, deadline, answer } => {
                self.waiting.insert(offer, answer);
                Event::Offer { offer, id, deadline }
            }
            QuorumRequest::Finished { offer, stage } => {
                self.waiting.remove(&offer);
                Event::Finished { offer, stage }
            }
        }
    }

    /// Tells a front what was decided.
    pub(super) fn answer(&mut self, offer: OfferId, decision: Decision) {
        if let Some(answer) = self.waiting.remove(&offer) {
            // A front that no longer waits has said so by dropping its grant.
            let _ = answer.send(decision);
        }
    }
}
