//! Repeated requests as the chat front handles them: how a repeat is recognised, and whether it runs, joins
//! an earlier run or is refused. `crates/idempotency` makes these decisions; `recorder` records the answers
//! of runs and `answer_reader` reads them.

use std::sync::{Arc, Weak};
use std::time::Duration;

use axum::http::HeaderMap;
use dewladder_chat::RequestKind;
use dewladder_idempotency::{
    canonical_json, Admission, DeferReason, EntryId, Fingerprint, Fingerprinter, IncomingRequest, Outcome,
    Policy, RejectReason, RequestIdentity, Stats,
};
use dewladder_replica::RecordId;
use dewladder_router::mix;
use log::{info, warn};
use serde_json::Value;
use tokio::time::{sleep, sleep_until, Instant};

use crate::edge::clients::answer_reader::AnswerReader;
use crate::edge::clients::recorder::{Recorder, Run};
pub use crate::edge::clients::shared_records::SharedRecord;
use crate::edge::clients::shared_records::SharedRecords;
use crate::edge::clients::shared_store::SharedStore;
use crate::edge::clock::Clock;
use crate::edge::driver::DriverHandle;
use crate::edge::hot_restart::run_records::{NotRecorded, RunRecords};
use crate::edge::servers::header;
use crate::interface::Micros;

/// The header that carries a client's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 255;
/// Minimum and maximum time between two passes over the store's deadlines (us).
const MIN_MAINTENANCE_INTERVAL_US: Micros = 20_000;
const MAX_MAINTENANCE_INTERVAL_US: Micros = 1_000_000;
/// Time between two looks at whether another client has got its answer.
const DELIVERY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// For how long a request waits at most until it is known whether another client has got its answer.
const MAX_DELIVERY_WAIT: Duration = Duration::from_secs(2);
/// Headers that are the same in all tries of one client library, and may differ between clients.
const SENDER_HEADERS: [&str; 2] = ["authorization", "user-agent"];
/// The prefix of further such headers, but for those that count retries and tell timeouts.
const LIBRARY_HEADER_PREFIX: &str = "x-stainless-";
const LIBRARY_TIMEOUT_SUFFIX: &str = "timeout";
/// When a request may be sent again that did not run because nothing was known of other processes (us).
const UNKNOWN_RETRY_US: Micros = 1_000_000;
/// Minimum time between two log lines about the store (us).
const REPORT_INTERVAL_US: Micros = 10_000_000;

/// Why an `Idempotency-Key` header can't be used. The texts are sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The request has more than one such header.
    #[error("Idempotency-Key is there twice")]
    Repeated,
    /// The key is empty, too long, or holds other characters.
    #[error("Idempotency-Key must be 1 to 255 visible ASCII characters")]
    Malformed,
}

/// The tenant that a request belongs to.
#[derive(Clone, Copy, Debug)]
pub struct TenantRef<'a> {
    /// The number by which the store counts its requests.
    pub number: u32,
    /// Its name. Keys and bodies of different tenants are never taken for repeats of each other.
    pub name: &'a str,
}

/// What the front has to do with a request.
pub enum Decision {
    /// It is to run; the client reads its answer from this reader.
    Run(AnswerReader),
    /// It is a repeat; the client reads the answer of the earlier run from this reader.
    Join(AnswerReader),
    /// It is to run without a record of it or its answer.
    RunUnrecorded,
    /// It must not run now; the admission says why.
    NotAdmitted(Admission),
}

/// Handles repeated requests of one front.
pub struct Idempotency {
    store: Arc<SharedStore>,
    fingerprinter: Fingerprinter,
    /// Names of the headers in which client libraries count their retries.
    retry_headers: Vec<String>,
    /// The records for other processes of this dispatcher; `None` if there can't be any.
    shared_records: Option<Arc<SharedRecords>>,
}

impl Idempotency {
    /// Creates an empty store and spawns the task that maintains its deadlines. The task ends when the last
    /// `Arc` is dropped. `records` are those for other processes of this dispatcher; `secret` keys the fingerprints of
    /// idempotency keys and bodies.
    #[must_use]
    pub fn start(
        policy: Policy,
        retry_headers: Vec<String>,
        records: Option<RunRecords>,
        clock: Clock,
        secret: u64,
    ) -> Arc<Self> {
        let now = clock.now();
        let idempotency = Arc::new(Self {
            store: Arc::new(SharedStore::new(policy, clock, now, mix(secret ^ now))),
            fingerprinter: Fingerprinter::new(&[secret.to_le_bytes(), now.to_le_bytes()].concat()),
            retry_headers,
            shared_records: records.map(|records| Arc::new(SharedRecords::new(records))),
        });
        tokio::spawn(maintain(Arc::downgrade(&idempotency), now));
        idempotency
    }

    /// Collects what the store needs to know of a request. `at_most_once` is set if the request must not run
    /// twice.
    ///
    /// # Errors
    /// The `Idempotency-Key` header can't be used.
    pub fn describe(
        &self,
        headers: &HeaderMap,
        tenant: TenantRef<'_>,
        kind: RequestKind,
        at_most_once: bool,
        body: &Value,
    ) -> Result<IncomingRequest, KeyError> {
        let retry_count = self.retry_headers.iter().find_map(|name| header(headers, name));
        // A count that can't be parsed still comes from a library that counts retries, so it is taken for a
        // retry.
        let is_retry = retry_count.is_some_and(|count| count.parse::<u64>() != Ok(0));
        let name = tenant.name.as_bytes();
        let body = self.fingerprinter.fingerprint("body", &[name, &[kind as u8], &canonical_json(body)]);
        let identity = match read_key(headers)? {
            Some(key) => Some(RequestIdentity::Key(self.fingerprinter.fingerprint("key", &[name, key]))),
            // Without a key, repeats are recognised only from libraries that count their retries.
            None if at_most_once && retry_count.is_some() => {
                Some(RequestIdentity::Body { body, sender: self.sender(headers) })
            }
            None => None,
        };
        Ok(IncomingRequest { tenant: tenant.number, at_most_once, identity, body, is_retry })
    }

    /// The fingerprint of the headers that all tries of one client have in common.
    fn sender(&self, headers: &HeaderMap) -> Fingerprint {
        let is_common = |name: &str| {
            SENDER_HEADERS.contains(&name)
                || (name.starts_with(LIBRARY_HEADER_PREFIX) && !name.ends_with(LIBRARY_TIMEOUT_SUFFIX))
        };
        let is_count =
            |name: &str| self.retry_headers.iter().any(|counted| counted.eq_ignore_ascii_case(name));
        let mut common: Vec<(&str, &[u8])> = headers
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .filter(|(name, _)| is_common(name) && !is_count(name))
            .collect();
        common.sort_unstable();
        let parts: Vec<&[u8]> = common.iter().flat_map(|(name, value)| [name.as_bytes(), value]).collect();
        self.fingerprinter.fingerprint("sender", &parts)
    }

    /// The record of a request for other processes of this dispatcher; `None` if there can't be any, or they would not
    /// recognize a repeat of it.
    #[must_use]
    pub fn shared_record(
        &self,
        headers: &HeaderMap,
        tenant: &str,
        incoming: &IncomingRequest,
        body: &Value,
    ) -> Option<SharedRecord> {
        self.shared_records.as_ref()?;
        match incoming.identity.filter(|_| incoming.at_most_once)? {
            RequestIdentity::Key(_) => {
                Self::record_id(headers, tenant).map(|id| SharedRecord { id, may_repeat: true })
            }
            RequestIdentity::Body { .. } => Some(SharedRecord::of_body(tenant, body, incoming.is_retry)),
        }
    }

    /// The id of a request's record at other instances; `None` for a request without a key, which they would
    /// not recognise.
    #[must_use]
    pub fn record_id(headers: &HeaderMap, tenant: &str) -> Option<RecordId> {
        header(headers, KEY_HEADER).map(|key| RecordId::of(tenant, key))
    }

    /// Decides what to do with a request. `record` is its record if it must not run twice and other processes would
    /// recognize a repeat of it. Waits for a while if another client with the same body may be getting its answer.
    pub async fn admit(&self, request: &IncomingRequest, record: Option<SharedRecord>) -> Decision {
        let deadline = Instant::now() + MAX_DELIVERY_WAIT;
        loop {
            match self.store.admit(request) {
                Admission::AwaitDelivery if Instant::now() < deadline => sleep(DELIVERY_POLL_INTERVAL).await,
                admission => return self.decide(request, admission, record),
            }
        }
    }

    fn decide(
        &self,
        request: &IncomingRequest,
        admission: Admission,
        record: Option<SharedRecord>,
    ) -> Decision {
        let reader = |id| AnswerReader::new(self.store.clone(), id);
        match admission {
            Admission::Run(id) => match self.record_run(id, record) {
                Ok(()) => Decision::Run(reader(id)),
                Err(admission) => {
                    let outcome = Outcome::Refused { retry_after_us: 0 };
                    self.store.update(|store, now| store.finish(now, id, outcome));
                    Decision::NotAdmitted(admission)
                }
            },
            Admission::Join(id) => {
                let reader = reader(id);
                if self.is_unclear_elsewhere(request, record) {
                    drop(reader.pending_answer()); // the client of the run has not got its answer yet
                    return Decision::NotAdmitted(Admission::Reject(RejectReason::UnclearOwner));
                }
                Decision::Join(reader)
            }
            Admission::RunUnrecorded => Decision::RunUnrecorded,
            admission => Decision::NotAdmitted(admission),
        }
    }

    /// Whether another process may have run a request with the body of this one, so that it is not clear whose answer is
    /// known here.
    fn is_unclear_elsewhere(&self, request: &IncomingRequest, record: Option<SharedRecord>) -> bool {
        let is_known_by_body = matches!(request.identity, Some(RequestIdentity::Body { .. }));
        match (&self.shared_records, record) {
            (Some(records), Some(record)) if is_known_by_body => records.may_have_run_elsewhere(record.id),
            _ => false,
        }
    }

    /// Records for other processes that a run begins. The error is the admission of a request that must not run.
    fn record_run(&self, id: EntryId, record: Option<SharedRecord>) -> Result<(), Admission> {
        let (Some(records), Some(record)) = (&self.shared_records, record) else { return Ok(()) };
        records.begin(id, record).map_err(|not_recorded| match not_recorded {
            NotRecorded::RunsElsewhere => Admission::Reject(RejectReason::MayHaveExecuted),
            NotRecorded::Unknown => {
                Admission::Defer { retry_after_us: UNKNOWN_RETRY_US, reason: DeferReason::Capacity }
            }
        })
    }

    /// Spawns the task that runs a request and records its answer. `permit` is dropped when the run is over.
    pub fn run(&self, reader: &AnswerReader, driver: &DriverHandle, run: Run, permit: impl Send + 'static) {
        let id = reader.id();
        let canceled = self.store.begin_run(id, run.request.id.0);
        let recorder = Recorder { store: self.store.clone(), driver: driver.clone(), id, canceled };
        let records = self.shared_records.clone();
        tokio::spawn(async move {
            let outcome = recorder.run(run, permit).await;
            if let Some(records) = records.filter(|_| !outcome.may_have_executed()) {
                records.never_ran(id);
            }
        });
    }

    /// Records that a request that was admitted is refused after all and never ran.
    pub fn refuse(&self, reader: &AnswerReader, retry_after_us: Micros) {
        let outcome = Outcome::Refused { retry_after_us };
        self.store.update(|store, now| store.finish(now, reader.id(), outcome));
        if let Some(records) = &self.shared_records {
            records.never_ran(reader.id());
        }
    }

    /// Statistics of the store.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.store.stats()
    }

    /// Handles the store's passed deadlines. Returns when to call this again (us).
    fn advance(&self) -> Micros {
        if let Some(records) = &self.shared_records {
            records.maintain(&self.store);
        }
        self.store.update(|store, now| {
            store.advance(now);
            let deadline = store.next_deadline().unwrap_or(Micros::MAX);
            deadline.clamp(now + MIN_MAINTENANCE_INTERVAL_US, now + MAX_MAINTENANCE_INTERVAL_US)
        })
    }
}

/// Reads a request's idempotency key, if it has one.
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

/// Maintains the store's deadlines and logs its statistics, until the store is dropped.
async fn maintain(idempotency: Weak<Idempotency>, now: Micros) {
    let mut stats_logger = StatsLogger { reported_us: now, last: Stats::default() };
    loop {
        let Some(idempotency) = idempotency.upgrade() else { return };
        let clock = *idempotency.store.clock();
        let next = clock.instant(idempotency.advance());
        stats_logger.log_if_due(clock.now(), &idempotency);
        drop(idempotency);
        sleep_until(next.max(Instant::now())).await;
    }
}

/// The statistics at the last report, and the time of that report.
struct StatsLogger {
    reported_us: Micros,
    last: Stats,
}

impl StatsLogger {
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
                "idempotency: repeated requests in the last 10 s");
        }
        if new.evicted > last.evicted {
            warn!(evicted = new.evicted - last.evicted; "idempotency: evicted before expiry");
        }
    }
}
