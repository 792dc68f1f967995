//! Requests that clients repeat, on sockets: the ledger with who waits for what, the tasks that record answers,
//! and the readers to whom they are given. What a repeat is told, the ledger decides.

use std::collections::HashMap;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};

use axum::http::HeaderMap;
use bytes::Bytes;
use dewladder_chat::RequestKind;
use dewladder_idempotency::{
    canonical_json, Admission, Effect, EntryId, Execution, Fingerprinter, IdempotencyStore, IncomingRequest,
    Outcome, Policy, ReadResult, RequestIdentity, Stats,
};
use dewladder_replica::{Denial, RecordId};
use dewladder_router::mix;
use http_body::{Body, Frame};
use http_body_util::BodyExt as _;
use log::{info, warn};
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

use crate::edge::clock::Clock;
use crate::edge::cluster::quorum::{Grant, Quorum};
use crate::edge::driver::{DriverHandle, Reply};
use crate::edge::servers::{header, Cut, Payload, Relay};
use crate::interface::{Micros, RequestId, RequestInfo};

const KEY: &str = "idempotency-key";
const MOST_KEY: usize = 255;
/// Given to a reader at once, at most (bytes).
const PIECE: usize = 16 << 10;
/// Time between two looks at the ledger's clock while nothing is due, and between two lines about it (us).
const IDLE: Micros = 1_000_000;
const TALLY: Micros = 10_000_000;

struct Inner {
    ledger: IdempotencyStore,
    /// Who waits for news of an entry, by its place.
    waiting: HashMap<u32, Vec<Waker>>,
    /// Who records, and is to be told to let go.
    recording: HashMap<EntryId, oneshot::Sender<()>>,
    lots: u64,
    tally: Micros,
    told: Stats,
}

/// The ledger as fronts use it.
pub struct Repeats {
    clock: Clock,
    prints: Fingerprinter,
    retry_headers: Vec<String>,
    inner: Mutex<Inner>,
}

/// Why a request's headers can't be used; names the header.
#[derive(Debug, PartialEq, Eq)]
pub struct BadKey(pub &'static str);

impl Repeats {
    /// A ledger that starts now; its clock is looked after for as long as anybody holds it.
    #[must_use]
    pub fn start(policy: Policy, retry_headers: Vec<String>, clock: Clock, secret: u64) -> Arc<Self> {
        let now = clock.now();
        let repeats = Arc::new(Self {
            clock,
            prints: Fingerprinter::new(&[secret.to_le_bytes(), now.to_le_bytes()].concat()),
            retry_headers,
            inner: Mutex::new(Inner {
                ledger: IdempotencyStore::new(policy, now),
                waiting: HashMap::new(),
                recording: HashMap::new(),
                lots: mix(secret ^ now),
                tally: now,
                told: Stats::default(),
            }),
        });
        tokio::spawn(look_after(Arc::downgrade(&repeats)));
        repeats
    }

    /// What a request is to the ledger. `once` tells of a class that must not run twice.
    ///
    /// # Errors
    /// A key that is none.
    pub fn offer(
        &self,
        headers: &HeaderMap,
        (index, tenant): (u32, &str),
        kind: RequestKind,
        once: bool,
        body: &Value,
    ) -> Result<IncomingRequest, BadKey> {
        let retries = self.retry_headers.iter().find_map(|name| header(headers, name));
        // A count that can't be read is still of a library that counts.
        let repeat = retries.is_some_and(|text| text.parse::<u64>() != Ok(0));
        let kind = [kind as u8];
        let body = self.prints.fingerprint("body", &[tenant.as_bytes(), &kind, &canonical_json(body)]);
        let mut keys = headers.get_all(KEY).iter();
        let name = match (keys.next(), keys.next()) {
            (Some(_), Some(_)) => return Err(BadKey("is there twice")),
            (Some(key), None) => {
                let key = key.as_bytes();
                if key.is_empty() || key.len() > MOST_KEY || !key.iter().all(|byte| (33..127).contains(byte))
                {
                    return Err(BadKey("must be 1 to 255 visible ASCII characters"));
                }
                Some(RequestIdentity::Key(self.prints.fingerprint("key", &[tenant.as_bytes(), key])))
            }
            // Without a key only a library that counts its retries makes a repeat known.
            _ => Some(RequestIdentity::Body(body)).filter(|_| once && retries.is_some()),
        };
        Ok(IncomingRequest { tenant: index, at_most_once: once, identity: name, body, is_retry: repeat })
    }

    /// The record of a request at other instances; only one that has a key is known again there.
    #[must_use]
    pub fn record_id(headers: &HeaderMap, tenant: &str) -> Option<RecordId> {
        header(headers, KEY).map(|key| RecordId::of(tenant, key))
    }

    /// What is to be done with a request. Who runs or joins reads the answer.
    pub fn judge(self: &Arc<Self>, offer: &IncomingRequest) -> Judged {
        let mut inner = self.lock();
        inner.lots = mix(inner.lots);
        let (now, lot) = (self.clock.now(), inner.lots);
        let verdict = inner.ledger.admit(now, offer, lot);
        self.carry_out(inner);
        let reader = |id| Reader { repeats: self.clone(), id, at: 0, ready: None };
        match verdict {
            Admission::Run(id) => Judged::Run(reader(id)),
            Admission::Join(id) => Judged::Join(reader(id)),
            other => Judged::Told(other),
        }
    }

    /// Has a request run, and records its answer. `held` goes when the run is over. What is `shared` is sent on only
    /// once enough other instances hold its record.
    pub fn run(
        self: &Arc<Self>,
        reader: &Reader,
        driver: &DriverHandle,
        (call, payload): (RequestInfo, Arc<Payload>),
        shared: Option<(Quorum, RecordId)>,
        held: impl Send + 'static,
    ) {
        let (id, (stop, stopped)) = (reader.id, oneshot::channel());
        let mut inner = self.lock();
        let execution = Execution { request_id: call.id.0, started_us: self.clock.now() };
        inner.ledger.set_execution(id, execution);
        inner.recording.insert(id, stop);
        drop(inner);
        let (repeats, driver) = (self.clone(), driver.clone());
        tokio::spawn(async move {
            let mut stopped = stopped;
            let granted = match shared {
                None => Ok(None),
                Some((quorum, record)) => tokio::select! {
                    granted = quorum.offer(record, call.not_after) => granted.map(Some).map_err(denied),
                    // Dropped with that: the others are told that it never ran.
                    Ok(()) = &mut stopped => Err(Outcome::Canceled { may_have_executed: false }),
                    // At an upgrade the old process may still have the cluster's socket.
                    () = sleep_until(repeats.clock.instant(call.not_after)) => Err(Outcome::Refused { retry_after_us: 0 }),
                },
            };
            let ending = match granted {
                Ok(grant) => {
                    let (asked, over) = driver.begin(call, payload);
                    let ending = repeats.record(id, asked, over, stopped).await;
                    if let Some(grant) = grant {
                        told_to_others(grant, &ending);
                    }
                    ending
                }
                Err(Outcome::Refused { .. }) => {
                    Outcome::Refused { retry_after_us: driver.settings().max_retry_after }
                }
                Err(ending) => ending,
            };
            drop(held);
            repeats.lock().recording.remove(&id);
            repeats.tell(|ledger, now| ledger.finish(now, id, ending));
        });
    }

    /// A run that is not to be after all: it never ran.
    pub fn refuse(&self, reader: &Reader, retry_in: Micros) {
        self.tell(|ledger, now| ledger.finish(now, reader.id, Outcome::Refused { retry_after_us: retry_in }));
    }

    async fn record(
        &self,
        id: EntryId,
        asked: impl Future<Output = Reply>,
        over: oneshot::Receiver<bool>,
        mut stopped: oneshot::Receiver<()>,
    ) -> Outcome {
        let reply = {
            let asked = pin!(asked);
            tokio::select! {
                reply = asked => Some(reply),
                // Dropped with that: the reducer is told that its client has left.
                Ok(()) = &mut stopped => None,
            }
        };
        match reply {
            None => Outcome::Canceled { may_have_executed: over.await.unwrap_or(true) },
            Some(Reply::Rejected { retry_in }) => Outcome::Refused { retry_after_us: retry_in },
            Some(Reply::Failed { may_have_run }) => Outcome::Failed { may_have_executed: may_have_run },
            Some(Reply::DuplicateId) => Outcome::Failed { may_have_executed: false },
            Some(Reply::Stream(relay)) => {
                self.tell(|ledger, now| ledger.stream_started(now, id));
                tokio::select! {
                    ending = self.take(id, relay) => ending,
                    Ok(()) = &mut stopped => Outcome::Canceled { may_have_executed: true },
                }
            }
        }
    }

    async fn take(&self, id: EntryId, mut relay: Relay) -> Outcome {
        while let Some(frame) = relay.frame().await {
            let data = match frame {
                Ok(frame) => frame.into_data().unwrap_or_default(),
                Err(cut) => return Outcome::Interrupted(number(cut)),
            };
            let mut rest = &data[..];
            // What is not taken in at once waits until a reader has made room.
            poll_fn(|context| {
                let mut inner = self.lock();
                let taken = inner.ledger.record(self.clock.now(), id, rest);
                rest = &rest[taken..];
                if !rest.is_empty() {
                    inner.waiting.entry(id.index()).or_default().push(context.waker().clone());
                }
                self.carry_out(inner);
                if rest.is_empty() {
                    Poll::Ready(())
                } else {
                    Poll::Pending
                }
            })
            .await;
        }
        Outcome::Completed
    }

    /// Tells the ledger what has happened, and carries out what it asks for.
    fn tell(&self, what: impl FnOnce(&mut IdempotencyStore, Micros)) {
        let mut inner = self.lock();
        what(&mut inner.ledger, self.clock.now());
        self.carry_out(inner);
    }

    /// Carries out what the ledger asks for; nobody is woken while it is locked.
    fn carry_out(&self, mut inner: MutexGuard<'_, Inner>) {
        let effects: Vec<Effect> = inner.ledger.effects().collect();
        let mut wakers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Wake(id) => wakers.extend(inner.waiting.remove(&id.index()).unwrap_or_default()),
                Effect::Cancel(id) => {
                    if let Some(stop) = inner.recording.remove(&id) {
                        let _ = stop.send(());
                    }
                }
            }
        }
        drop(inner);
        wakers.into_iter().for_each(Waker::wake);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the ledger holds and has done.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.lock().ledger.stats()
    }

    /// Lets due things happen; when the next look is to be.
    fn tick(&self) -> Micros {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.ledger.advance(now);
        if now >= inner.tally + TALLY {
            inner.tally = now;
            let (new, old) = (inner.ledger.stats(), inner.told);
            inner.told = new;
            if new != old {
                info!(entries = new.entries, bytes = new.bytes, joined = new.joined - old.joined,
                    replayed = new.replayed - old.replayed, rerun = new.rerun - old.rerun,
                    rejected = new.rejected - old.rejected, deferred = new.deferred - old.deferred;
                    "repeats: what is remembered, and what repeats were told in 10 s");
            }
            if new.evicted > old.evicted {
                warn!(evicted = new.evicted - old.evicted; "repeats: let go of before their time, for want of room");
            }
        }
        let due = inner.ledger.next_deadline().unwrap_or(Micros::MAX).clamp(now + IDLE / 50, now + IDLE);
        self.carry_out(inner);
        due
    }
}

/// What a request comes to that other instances do not let pass.
fn denied(why: Denial) -> Outcome {
    match why {
        // Another attempt, at this instance or another, may have run or may be running.
        Denial::Conflict(_) => Outcome::Failed { may_have_executed: true },
        Denial::NoQuorum | Denial::NotCaughtUp | Denial::StoreFull => Outcome::Refused { retry_after_us: 0 },
    }
}

fn told_to_others(grant: Grant, ending: &Outcome) {
    match ending {
        Outcome::Completed => grant.executed(true),
        Outcome::Interrupted(_) => grant.executed(false),
        Outcome::Refused { .. }
        | Outcome::Failed { may_have_executed: false }
        | Outcome::Canceled { may_have_executed: false } => grant.never_executed(),
        // Its end says as much by itself.
        Outcome::Failed { may_have_executed: true } | Outcome::Canceled { may_have_executed: true } => {
            drop(grant)
        }
    }
}

async fn look_after(repeats: Weak<Repeats>) {
    loop {
        let Some(due) = repeats.upgrade().map(|repeats| repeats.clock.instant(repeats.tick())) else {
            return;
        };
        sleep_until(due.max(Instant::now())).await;
    }
}

/// What is to be done with a request.
pub enum Judged {
    /// It is to run; its answer is read here.
    Run(Reader),
    /// It is a repeat; its answer is read here.
    Join(Reader),
    /// Neither.
    Told(Admission),
}

/// How a reader's answer begins.
#[derive(Debug, PartialEq, Eq)]
pub enum Begun {
    /// With its first bytes.
    Streams,
    /// Not at all.
    Over(Outcome),
    /// The request is to be judged again.
    Again,
}

/// One client's reading of an answer, live or kept. Dropped before the end it has left.
pub struct Reader {
    repeats: Arc<Repeats>,
    id: EntryId,
    at: u64,
    /// Read, and not given on yet.
    ready: Option<Bytes>,
}

enum Found {
    Piece(Bytes),
    Over(Outcome),
    Lost,
    Again,
}

impl Reader {
    /// The id under which the request goes to servers, and when it began to run: the same for all who read it.
    #[must_use]
    pub fn request(&self) -> (RequestId, Micros) {
        let Execution { request_id, started_us } = self.repeats.lock().ledger.execution(self.id);
        (RequestId(request_id), started_us)
    }

    /// Waits until the answer begins, or turns out not to.
    pub async fn begun(&mut self) -> Begun {
        match poll_fn(|context| self.find(context)).await {
            Found::Piece(piece) => {
                self.ready = Some(piece);
                Begun::Streams
            }
            // An answer without any bytes is one all the same.
            Found::Over(Outcome::Completed | Outcome::Interrupted(_)) => Begun::Streams,
            Found::Over(ending) => Begun::Over(ending),
            Found::Again | Found::Lost => Begun::Again,
        }
    }

    fn find(&mut self, context: &Context<'_>) -> Poll<Found> {
        if let Some(piece) = self.ready.take() {
            return Poll::Ready(Found::Piece(piece));
        }
        let mut inner = self.repeats.lock();
        let found = match inner.ledger.read(self.id, self.at, PIECE) {
            ReadResult::Data(piece) => {
                self.at += piece.len() as u64;
                Poll::Ready(Found::Piece(Bytes::copy_from_slice(piece)))
            }
            ReadResult::Ended(ending) => Poll::Ready(Found::Over(ending)),
            ReadResult::Overrun => Poll::Ready(Found::Lost),
            ReadResult::Gone => Poll::Ready(Found::Again),
            ReadResult::Pending => {
                let waiting = inner.waiting.entry(self.id.index()).or_default();
                if !waiting.iter().any(|waker| waker.will_wake(context.waker())) {
                    waiting.push(context.waker().clone());
                }
                Poll::Pending
            }
        };
        self.repeats.carry_out(inner);
        found
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.repeats.tell(|ledger, now| ledger.reader_left(now, self.id));
    }
}

impl Body for Reader {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        self.find(context).map(|found| match found {
            Found::Piece(piece) => Some(Ok(Frame::data(piece))),
            Found::Over(Outcome::Completed) => None,
            Found::Over(Outcome::Interrupted(why)) => Some(Err(cut(why))),
            Found::Lost => Some(Err(Cut::Behind)),
            Found::Over(_) | Found::Again => Some(Err(Cut::Broken)),
        })
    }
}

fn number(cut: Cut) -> u8 {
    match cut {
        Cut::Broken => 0,
        Cut::Stalled => 1,
        Cut::Spoilt => 2,
        Cut::Behind => 3,
    }
}

fn cut(number: u8) -> Cut {
    [Cut::Broken, Cut::Stalled, Cut::Spoilt, Cut::Behind][usize::from(number).min(3)]
}
