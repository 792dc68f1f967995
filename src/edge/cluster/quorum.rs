//! By which fronts have other instances hold a record of a request before it is sent on.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use dewladder_replica::{Denial, Event, OfferId, Outcome, RecordId, Stage};
use tokio::sync::{mpsc, oneshot};

use crate::interface::Micros;

/// What a front asks the cluster's loop for.
#[derive(Debug)]
pub(super) enum Asked {
    Offer { ticket: OfferId, id: RecordId, deadline: Micros, tell: oneshot::Sender<Result<(), Denial>> },
    Ended { ticket: OfferId, stage: Stage },
}

/// Where the loop hears of it.
pub(super) type Asking = mpsc::UnboundedReceiver<Asked>;

/// See the module. Requests that are open bound what waits here.
#[derive(Clone, Debug)]
pub struct Quorum {
    to: mpsc::UnboundedSender<Asked>,
    tickets: Arc<AtomicU64>,
}

pub(super) fn pair() -> (Quorum, Asking) {
    let (to, asked) = mpsc::unbounded_channel();
    (Quorum { to, tickets: Arc::default() }, asked)
}

impl Quorum {
    /// Has others hold a record of the request. Dropped while it waits, the attempt is taken back.
    ///
    /// # Errors
    /// Why it must not be sent on.
    pub async fn offer(&self, id: RecordId, deadline: Micros) -> Result<Grant, Denial> {
        let ticket = OfferId(self.tickets.fetch_add(1, Ordering::Relaxed));
        let (tell, told) = oneshot::channel();
        let mut grant = Grant { to: self.to.clone(), ticket, ended: Stage::NeverExecuted };
        // A loop that has ended holds nothing for anybody.
        let _ = self.to.send(Asked::Offer { ticket, id, deadline, tell });
        match told.await.unwrap_or(Err(Denial::NoQuorum)) {
            Ok(()) => {
                grant.ended = Stage::MayHaveExecuted;
                Ok(grant)
            }
            Err(why) => Err(why),
        }
    }
}

/// The request may be sent on. Dropped without a word of its end, it may have run.
#[derive(Debug)]
pub struct Grant {
    to: mpsc::UnboundedSender<Asked>,
    ticket: OfferId,
    ended: Stage,
}

impl Grant {
    /// It is known never to have run.
    pub fn never_ran(mut self) {
        self.ended = Stage::NeverExecuted;
    }

    /// It ran, and its answer came whole or not. What it said stays with this instance: others tell only that it ran.
    pub fn ran(mut self, whole: bool) {
        self.ended = Stage::Executed(Outcome { complete: whole, digest: 0 });
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let _ = self.to.send(Asked::Ended { ticket: self.ticket, stage: self.ended });
    }
}

/// Who waits for what.
#[derive(Debug, Default)]
pub(super) struct Offers {
    waiting: HashMap<OfferId, oneshot::Sender<Result<(), Denial>>>,
}

impl Offers {
    pub(super) fn take(&mut self, asked: Asked) -> Event {
        match asked {
            Asked::Offer { ticket, id, deadline, tell } => {
                self.waiting.insert(ticket, tell);
                Event::Offer { offer: ticket, id, deadline }
            }
            Asked::Ended { ticket, stage } => {
                self.waiting.remove(&ticket);
                Event::Finished { offer: ticket, stage }
            }
        }
    }

    pub(super) fn tell(&mut self, ticket: OfferId, what: Result<(), Denial>) {
        if let Some(waits) = self.waiting.remove(&ticket) {
            // One that no longer waits has said so by its grant's end.
            let _ = waits.send(what);
        }
    }
}
