//! The task that runs a request: it sends the request once enough other instances hold its record, and
//! records the answer.

use std::future::{poll_fn, Future};
use std::pin::pin;
use std::sync::Arc;

use dewladder_idempotency::{EntryId, Outcome};
use dewladder_replica::{Denial, RecordId};
use http_body_util::BodyExt as _;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use crate::edge::clients::answer_reader::cut_code;
use crate::edge::clients::shared_store::SharedStore;
use crate::edge::cluster::quorum::{Grant, Quorum};
use crate::edge::driver::{DriverHandle, Reply};
use crate::edge::servers::{Payload, Relay};
use crate::interface::{Micros, RequestInfo};

/// A request to run, and where its record is held at other instances, if anywhere.
pub struct Run {
    /// The router's description of the request.
    pub request: RequestInfo,
    /// When the client's request had been received (us).
    pub received_at: Micros,
    /// The data that is sent to servers.
    pub payload: Arc<Payload>,
    /// If set, the request is sent only once a quorum of instances holds this record.
    pub replica: Option<(Quorum, RecordId)>,
}

/// Runs one request and records its answer.
pub(crate) struct Recorder {
    pub(crate) store: Arc<SharedStore>,
    pub(crate) driver: DriverHandle,
    pub(crate) id: EntryId,
    pub(crate) canceled: oneshot::Receiver<()>,
}

impl Recorder {
    /// Sends the request, records its answer and outcome, and returns the outcome; `permit` is dropped when the run is
    /// over.
    pub(crate) async fn run(mut self, run: Run, permit: impl Send + 'static) -> Outcome {
        let outcome = match self.acquire_grant(&run).await {
            Ok(grant) => self.send(run, grant).await,
            Err(Outcome::Refused { .. }) => {
                Outcome::Refused { retry_after_us: self.driver.settings().max_retry_after }
            }
            Err(outcome) => outcome,
        };
        drop(permit);
        self.store.finish_run(self.id, outcome);
        outcome
    }

    /// Waits until a quorum of instances holds the request's record, if it has one.
    async fn acquire_grant(&mut self, run: &Run) -> Result<Option<Grant>, Outcome> {
        let Some((quorum, record)) = run.replica.clone() else { return Ok(None) };
        let deadline = self.store.clock().instant(run.request.not_after);
        tokio::select! {
            granted = quorum.offer(record, run.request.not_after) =>
                granted.map(Some).map_err(denied_outcome),
            // This drops the pending offer, which tells the other instances that the request never ran.
            Ok(()) = &mut self.canceled => Err(Outcome::Canceled { may_have_executed: false }),
            // During a hot restart the old process may still own the cluster's socket, so an offer may get no
            // answer.
            () = sleep_until(deadline) => Err(Outcome::Refused { retry_after_us: 0 }),
        }
    }

    async fn send(&mut self, run: Run, grant: Option<Grant>) -> Outcome {
        let (reply, may_have_executed) = self.driver.submit(run.request, run.received_at, run.payload);
        let outcome = self.record(reply, may_have_executed).await;
        if let Some(grant) = grant {
            report_outcome(grant, outcome);
        }
        outcome
    }

    async fn record(
        &mut self,
        reply: impl Future<Output = Reply>,
        may_have_executed: oneshot::Receiver<bool>,
    ) -> Outcome {
        let reply = {
            let reply = pin!(reply);
            tokio::select! {
                reply = reply => Some(reply),
                // This drops the pending reply, which tells the reducer that the client has left.
                Ok(()) = &mut self.canceled => None,
            }
        };
        match reply {
            None => Outcome::Canceled { may_have_executed: may_have_executed.await.unwrap_or(true) },
            Some(Reply::Rejected { retry_in }) => Outcome::Refused { retry_after_us: retry_in },
            Some(Reply::Failed { may_have_run }) => Outcome::Failed { may_have_executed: may_have_run },
            Some(Reply::DuplicateId) => Outcome::Failed { may_have_executed: false },
            Some(Reply::Stream(relay)) => {
                self.store.update(|store, now| store.stream_started(now, self.id));
                tokio::select! {
                    outcome = record_stream(&self.store, self.id, relay) => outcome,
                    Ok(()) = &mut self.canceled => Outcome::Canceled { may_have_executed: true },
                }
            }
        }
    }
}

async fn record_stream(store: &SharedStore, id: EntryId, mut relay: Relay) -> Outcome {
    while let Some(frame) = relay.frame().await {
        let data = match frame {
            Ok(frame) => frame.into_data().unwrap_or_default(),
            Err(cut) => return Outcome::Interrupted(cut_code(cut)),
        };
        let mut rest = &data[..];
        poll_fn(|context| store.poll_record(context, id, &mut rest)).await;
    }
    Outcome::Completed
}

/// The outcome of a request that other instances do not permit to run.
fn denied_outcome(denial: Denial) -> Outcome {
    match denial {
        // Another attempt, at this or another instance, may have run or may be running.
        Denial::Conflict(_) => Outcome::Failed { may_have_executed: true },
        Denial::NoQuorum | Denial::NotCaughtUp | Denial::StoreFull => Outcome::Refused { retry_after_us: 0 },
    }
}

/// Tells the other instances how a run ended.
fn report_outcome(grant: Grant, outcome: Outcome) {
    match outcome {
        Outcome::Completed => grant.executed(true),
        Outcome::Interrupted(_) => grant.executed(false),
        Outcome::Refused { .. }
        | Outcome::Failed { may_have_executed: false }
        | Outcome::Canceled { may_have_executed: false } => grant.never_executed(),
        // A grant that is dropped without a result reports that the request may have run.
        Outcome::Failed { may_have_executed: true } | Outcome::Canceled { may_have_executed: true } => {
            drop(grant);
        }
    }
}
