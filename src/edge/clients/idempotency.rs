//! Requests that clients repeat, as the chat front handles them: by what a repeat is recognised, and what becomes of it.
//! `crates/idempotency` decides; runs are recorded by `recorder` and read by `answer_reader`.

use std::sync::{Arc, Weak};

use axum::http::HeaderMap;
use dewladder_chat::RequestKind;
use dewladder_idempotency::{
    canonical_json, Admission, Fingerprinter, IncomingRequest, Outcome, Policy, RequestIdentity, Stats,
};
use dewladder_replica::RecordId;
use dewladder_router::mix;
use log::{info, warn};
use serde_json::Value;
use tokio::time::{sleep_until, Instant};

use crate::edge::clients::answer_reader::AnswerReader;
use crate::edge::clients::recorder::{Recorder, Run};
use crate::edge::clients::shared_store::SharedStore;
use crate::edge::clock::Clock;
use crate::edge::driver::DriverHandle;
use crate::edge::servers::header;
use crate::interface::Micros;

/// The header with a client's own key.
const KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 255;
/// Time between two looks at the store's deadlines, at the least and at the most (us).
const MIN_PAUSE_US: Micros = 20_000;
const MAX_PAUSE_US: Micros = 1_000_000;
/// Time between two log lines about the store (us).
const REPORT_INTERVAL_US: Micros = 10_000_000;

/// An `Idempotency-Key` that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// There are two.
    #[error("Idempotency-Key is there twice")]
    Repeated,
    /// It is too long, or holds other characters.
    #[error("Idempotency-Key must be 1 to 255 visible ASCII characters")]
    Malformed,
}

/// Whose request it is.
#[derive(Clone, Copy, Debug)]
pub struct TenantRef<'a> {
    /// Its number.
    pub number: u32,
    /// Its name.
    pub name: &'a str,
}

/// What is to be done with a request.
pub enum Decision {
    /// It is to run; its answer is read here.
    Run(AnswerReader),
    /// It is a repeat; its answer is read here.
    Join(AnswerReader),
    /// It is to run, and nothing of it is remembered.
    RunUnrecorded,
    /// It is not admitted.
    NotAdmitted(Admission),
}

/// Handles the repeats of one front.
pub struct Idempotency {
    store: Arc<SharedStore>,
    fingerprinter: Fingerprinter,
    /// Headers in which client libraries count their retries.
    retry_headers: Vec<String>,
}

impl Idempotency {
    /// Starts with an empty store. Its deadlines are looked after for as long as anybody holds this.
    #[must_use]
    pub fn start(policy: Policy, retry_headers: Vec<String>, clock: Clock, secret: u64) -> Arc<Self> {
        let now = clock.now();
        let idempotency = Arc::new(Self {
            store: Arc::new(SharedStore::new(policy, clock, now, mix(secret ^ now))),
            fingerprinter: Fingerprinter::new(&[secret.to_le_bytes(), now.to_le_bytes()].concat()),
            retry_headers,
        });
        tokio::spawn(maintain(Arc::downgrade(&idempotency), now));
        idempotency
    }

    /// What the store needs to know of a request. `at_most_once` where it must not run twice.
    ///
    /// # Errors
    /// A key that can't be used.
    pub fn describe(
        &self,
        headers: &HeaderMap,
        tenant: TenantRef<'_>,
        kind: RequestKind,
        at_most_once: bool,
        body: &Value,
    ) -> Result<IncomingRequest, KeyError> {
        let retry_count = self.retry_headers.iter().find_map(|name| header(headers, name));
        // A count that can't be read is still of a library that counts.
        let is_retry = retry_count.is_some_and(|count| count.parse::<u64>() != Ok(0));
        let name = tenant.name.as_bytes();
        let body = self.fingerprinter.fingerprint("body", &[name, &[kind as u8], &canonical_json(body)]);
        let identity = match read_key(headers)? {
            Some(key) => Some(RequestIdentity::Key(self.fingerprinter.fingerprint("key", &[name, key]))),
            // Without a key, only a library that counts its retries makes a repeat known.
            None if at_most_once && retry_count.is_some() => Some(RequestIdentity::Body(body)),
            None => None,
        };
        Ok(IncomingRequest { tenant: tenant.number, at_most_once, identity, body, is_retry })
    }

    /// The record of a request at other instances; only one that has a key is recognised there.
    #[must_use]
    pub fn record_id(headers: &HeaderMap, tenant: &str) -> Option<RecordId> {
        header(headers, KEY_HEADER).map(|key| RecordId::of(tenant, key))
    }

    /// What is to be done with a request.
    #[must_use]
    pub fn admit(&self, request: &IncomingRequest) -> Decision {
        let reader = |id| AnswerReader::new(self.store.clone(), id);
        match self.store.admit(request) {
            Admission::Run(id) => Decision::Run(reader(id)),
            Admission::Join(id) => Decision::Join(reader(id)),
            Admission::RunUnrecorded => Decision::RunUnrecorded,
            admission => Decision::NotAdmitted(admission),
        }
    }

    /// Has a request run, and records its answer. `held` is dropped when the run is over.
    pub fn run(&self, reader: &AnswerReader, driver: &DriverHandle, run: Run, held: impl Send + 'static) {
        let id = reader.id();
        let canceled = self.store.begin_run(id, run.request.id.0);
        let recorder = Recorder { store: self.store.clone(), driver: driver.clone(), id, canceled };
        tokio::spawn(recorder.run(run, held));
    }

    /// A request that was admitted is not to run after all: it never ran.
    pub fn refuse(&self, reader: &AnswerReader, retry_after_us: Micros) {
        let outcome = Outcome::Refused { retry_after_us };
        self.store.update(|store, now| store.finish(now, reader.id(), outcome));
    }

    /// What the store holds and has done.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Lets deadlines pass; returns when to look again (us).
    fn advance(&self) -> Micros {
        self.store.update(|store, now| {
            store.advance(now);
            let deadline = store.next_deadline().unwrap_or(Micros::MAX);
            deadline.clamp(now + MIN_PAUSE_US, now + MAX_PAUSE_US)
        })
    }
}

/// The key of a request, if it has one.
fn read_key(headers: &HeaderMap) -> Result<Option<&[u8]>, KeyError> {
    let mut keys = headers.get_all(KEY_HEADER).iter();
    let Some(key) = keys.next() else { return Ok(None) };
    if keys.next().is_some() {
        return Err(KeyError::Repeated);
    }
    let key = key.as_bytes();
    let is_usable = !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.iter().all(u8::is_ascii_graphic);
    is_usable.then_some(Some(key)).ok_or(KeyError::Malformed)
}

/// Looks after the deadlines, and reports what repeats got.
async fn maintain(idempotency: Weak<Idempotency>, now: Micros) {
    let mut report = Report { reported_us: now, last: Stats::default() };
    loop {
        let Some(idempotency) = idempotency.upgrade() else { return };
        let clock = *idempotency.store.clock();
        let next = clock.instant(idempotency.advance());
        report.log_if_due(clock.now(), &idempotency);
        drop(idempotency);
        sleep_until(next.max(Instant::now())).await;
    }
}

/// What was last logged of the store.
struct Report {
    reported_us: Micros,
    last: Stats,
}

impl Report {
    fn log_if_due(&mut self, now: Micros, idempotency: &Idempotency) {
        if now < self.reported_us + REPORT_INTERVAL_US {
            return;
        }
        let (new, last) = (idempotency.stats(), self.last);
        (self.reported_us, self.last) = (now, new);
        if new != last {
            info!(entries = new.entries, bytes = new.bytes, joined = new.joined - last.joined,
                replayed = new.replayed - last.replayed, rerun = new.rerun - last.rerun,
                rejected = new.rejected - last.rejected, deferred = new.deferred - last.deferred;
                "idempotency: repeats in 10 s");
        }
        if new.evicted > last.evicted {
            warn!(evicted = new.evicted - last.evicted; "idempotency: evicted before their time");
        }
    }
}
