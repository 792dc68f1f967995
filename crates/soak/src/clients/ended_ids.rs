//! Bad clients that send the ids of requests that have ended, each once.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::bad_clients::{request_head, status_of_answer, ANSWER_TIMEOUT};
use crate::event_log::{Class, EventLog, Micros, Observation};

/// An id is sent again this long after its request has ended: what servers hold for it has been released by then, so that
/// the end of the first request can be checked by itself.
const MIN_AGE: Micros = 1_300_000;
/// Time between two looks for ids.
const REPEAT_INTERVAL: Duration = Duration::from_millis(20);

/// The requests of one dispatcher that have ended and may not be repeated freely, in the order of their ends.
#[derive(Clone, Default)]
pub(super) struct EndedRequests(Arc<Mutex<VecDeque<EndedRequest>>>);

#[derive(Clone, Copy)]
struct EndedRequest {
    id: u64,
    class: Class,
    ended_at: Micros,
}

impl EndedRequests {
    /// Adds a request that has ended now.
    pub(super) fn push(&self, id: u64, class: Class, now: Micros) {
        if class != Class::Idempotent {
            let ended = EndedRequest { id, class, ended_at: now };
            self.0.lock().unwrap_or_else(PoisonError::into_inner).push_back(ended);
        }
    }

    /// Takes out the request that ended first, if it is old enough.
    fn take(&self, now: Micros) -> Option<EndedRequest> {
        let mut ended = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_old = ended.front().is_some_and(|first| first.ended_at + MIN_AGE <= now);
        if is_old {
            ended.pop_front()
        } else {
            None
        }
    }
}

/// Sends the ids of ended requests again until a time (ms since the start of the run).
pub(super) async fn repeat(event_log: EventLog, address: SocketAddr, ended: EndedRequests, until_ms: u64) {
    let mut repeats = JoinSet::new();
    while event_log.now() / 1_000 < until_ms {
        sleep(REPEAT_INTERVAL).await;
        let Some(EndedRequest { id, class, .. }) = ended.take(event_log.now()) else { continue };
        let event_log = event_log.clone();
        repeats.spawn(async move {
            let text = request_head(id, class, 1.0) + "Content-Length: 2\r\nConnection: close\r\n\r\n{}";
            event_log.write(id, Observation::EndedIdSent);
            let status = timeout(ANSWER_TIMEOUT, status_of_answer(address, text.as_bytes())).await;
            event_log.write(id, Observation::EndedIdAnswered { status: status.ok().flatten() });
        });
        while repeats.try_join_next().is_some() {}
    }
    while repeats.join_next().await.is_some() {}
}
