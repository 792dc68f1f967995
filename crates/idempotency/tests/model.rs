//! The store, compared with a model that keeps every run. Random sequences of steps must never let an at-most-once
//! request run twice, give a reader anything but the recorded answer, or exceed the limits of the store.

use std::collections::BTreeMap;

use dewladder_idempotency::{
    Admission, Delivery, Effect, EntryId, Fingerprint, IdempotencyStore, IncomingRequest, Micros, Outcome,
    Policy, ReadResult, RejectReason, RequestIdentity, RetryBudgetPolicy,
};
use proptest::prelude::*;

const MS: Micros = 1_000;

/// One step of a random test sequence. A `usize` index selects one of the runs in flight or of the open readers,
/// modulo their number.
#[derive(Clone, Debug)]
enum Step {
    /// A client makes a request.
    Offer { tenant: u32, request_number: u64, keyed: bool, body: u64, sender: u64, repeat: bool },
    /// The answer of a run begins to arrive.
    StreamStarted(usize),
    /// This many bytes of a run's answer arrive, if it has begun.
    Record(usize, usize),
    /// A run ends; the number selects the outcome.
    Ended(usize, u8),
    /// A reader reads up to this many bytes.
    Read(usize, usize),
    /// A reader leaves before the end of the answer.
    Left(usize),
    /// It is decided whether the answer that a reader has read to its end has reached the client.
    Delivered(usize, bool),
    /// This much time passes.
    AdvanceTime(Micros),
}

/// The full history of a run, independent of what the store still remembers.
struct Run {
    id: EntryId,
    request: IncomingRequest,
    recorded: Vec<u8>,
    started: bool,
    /// When the run ended, and its outcome.
    ended: Option<(Micros, Outcome)>,
    canceled: bool,
}

impl Run {
    /// Whether the request may have run, or is still running.
    fn may_have_executed(&self) -> bool {
        match self.ended {
            None | Some((_, Outcome::Completed | Outcome::Interrupted(_))) => true,
            Some((_, Outcome::Refused { .. })) => false,
            Some((_, Outcome::Failed { may_have_executed } | Outcome::Canceled { may_have_executed })) => {
                may_have_executed
            }
        }
    }
}

/// A client that reads the answer of a run.
struct Reader {
    /// Index in [`Model::runs`].
    run: usize,
    /// Offset in the answer of the next byte to read.
    at: u64,
    done: bool,
    delivery: Delivery,
}

impl Reader {
    fn new(run: usize) -> Self {
        Self { run, at: 0, done: false, delivery: Delivery::Pending }
    }
}

/// The store under test, with all its runs and readers.
struct Model {
    policy: Policy,
    store: IdempotencyStore,
    now: Micros,
    runs: Vec<Run>,
    readers: Vec<Reader>,
    /// How often each admission and each read result occurred.
    counts: BTreeMap<&'static str, usize>,
}

/// Whether one request may be taken for a repeat of the other, as far as key, body and tenant tell. A body is one
/// whoever sends it.
fn has_same_identity(one: &IncomingRequest, other: &IncomingRequest) -> bool {
    let without_sender = |request: &IncomingRequest| match request.identity {
        Some(RequestIdentity::Body { body, .. }) => (request.tenant, false, Some(body)),
        Some(RequestIdentity::Key(key)) => (request.tenant, true, Some(key)),
        None => (request.tenant, false, None),
    };
    without_sender(one) == without_sender(other)
}

/// Half of all requests are at-most-once.
fn is_at_most_once(request_number: u64) -> bool {
    request_number.is_multiple_of(2)
}

impl Model {
    fn new(policy: Policy) -> Self {
        let store = IdempotencyStore::new(policy, 0);
        Self { policy, store, now: MS, runs: Vec::new(), readers: Vec::new(), counts: BTreeMap::new() }
    }

    fn count(&mut self, label: &'static str) {
        *self.counts.entry(label).or_default() += 1;
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer { tenant, request_number, keyed, body, sender, repeat } => {
                let fingerprint = Fingerprint([request_number * 1_000 + u64::from(tenant), 7]);
                let body = if keyed { body } else { request_number };
                let identity = if keyed {
                    RequestIdentity::Key(fingerprint)
                } else {
                    RequestIdentity::Body { body: fingerprint, sender: Fingerprint([sender, 8]) }
                };
                let body = Fingerprint([body, 9]);
                self.admit(IncomingRequest {
                    tenant,
                    at_most_once: is_at_most_once(request_number),
                    identity: Some(identity),
                    body,
                    is_retry: repeat,
                });
            }
            Step::StreamStarted(at) => {
                if let Some(at) = self.running(at) {
                    self.runs[at].started = true;
                    self.store.stream_started(self.now, self.runs[at].id);
                }
            }
            Step::Record(at, bytes) => {
                if let Some(at) = self.running(at).filter(|&at| self.runs[at].started) {
                    let run = &mut self.runs[at];
                    let data: Vec<u8> =
                        (0..bytes).map(|byte| (run.recorded.len() + byte + at) as u8).collect();
                    let taken = self.store.record(self.now, run.id, &data);
                    run.recorded.extend_from_slice(&data[..taken]);
                }
            }
            Step::Ended(at, selector) => {
                if let Some(at) = self.running(at) {
                    let run = &self.runs[at];
                    let outcome = match selector % 5 {
                        _ if run.canceled => {
                            Outcome::Canceled { may_have_executed: run.started || selector & 1 == 0 }
                        }
                        0 | 1 if run.started => Outcome::Completed,
                        _ if run.started => Outcome::Interrupted(3),
                        2 => Outcome::Refused { retry_after_us: 5 },
                        3 => Outcome::Failed { may_have_executed: false },
                        _ => Outcome::Failed { may_have_executed: true },
                    };
                    self.runs[at].ended = Some((self.now, outcome));
                    self.store.finish(self.now, self.runs[at].id, outcome);
                }
            }
            Step::Read(at, read_limit) => self.read(at, read_limit),
            Step::Left(at) => {
                let open: Vec<usize> = (0..self.readers.len()).filter(|&at| !self.readers[at].done).collect();
                if let Some(&at) = open.get(at % open.len().max(1)) {
                    self.readers[at].done = true;
                    self.readers[at].delivery = Delivery::Lost;
                    let id = self.runs[self.readers[at].run].id;
                    self.store.delivery_ended(id, Delivery::Lost);
                    self.store.reader_left(self.now, id);
                }
            }
            Step::Delivered(at, is_made) => {
                let is_undecided = |reader: &Reader| reader.done && reader.delivery == Delivery::Pending;
                let undecided: Vec<usize> =
                    (0..self.readers.len()).filter(|&at| is_undecided(&self.readers[at])).collect();
                if let Some(&at) = undecided.get(at % undecided.len().max(1)) {
                    let delivery = if is_made { Delivery::Made } else { Delivery::Lost };
                    self.readers[at].delivery = delivery;
                    self.store.delivery_ended(self.runs[self.readers[at].run].id, delivery);
                }
            }
            Step::AdvanceTime(time) => {
                self.now += time;
                self.store.advance(self.now);
            }
        }
        let effects: Vec<Effect> = self.store.effects().collect();
        for effect in effects {
            if let Effect::Cancel(id) = effect {
                let run = self.runs.iter_mut().rfind(|run| run.id == id).expect("the id of an admitted run");
                assert!(run.ended.is_none(), "canceled after its end");
                run.canceled = true;
                let at = self.runs.iter().rposition(|run| run.id == id);
                assert!(!self.readers.iter().any(|reader| !reader.done && Some(reader.run) == at));
            }
        }
        let stats = self.store.stats();
        assert!(stats.bytes <= self.policy.max_bytes, "{} bytes", stats.bytes);
        assert!(stats.entries <= self.policy.max_entries);
    }

    /// The index of the run in flight that `at` selects; `None` if there is none.
    fn running(&self, at: usize) -> Option<usize> {
        let running: Vec<usize> = (0..self.runs.len()).filter(|&at| self.runs[at].ended.is_none()).collect();
        running.get(at % running.len().max(1)).copied()
    }

    fn admit(&mut self, request: IncomingRequest) {
        let admission = self.store.admit(self.now, &request, self.now.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let keyed = matches!(request.identity, Some(RequestIdentity::Key(_)));
        let retention_us = self.policy.retention_us;
        let remembered: Vec<&Run> = (self.runs.iter())
            .filter(|run| has_same_identity(&run.request, &request))
            .filter(|run| run.ended.is_none_or(|(at, _)| at + retention_us > self.now))
            .collect();
        let (is_recognisable, some_may_have_executed) =
            (keyed || request.is_retry, remembered.iter().any(|run| run.may_have_executed()));
        match admission {
            Admission::Run(id) => {
                assert!(
                    !(request.at_most_once && is_recognisable && some_may_have_executed),
                    "an at-most-once request runs twice"
                );
                if request.is_retry && request.at_most_once && remembered.is_empty() {
                    assert!(
                        self.now >= self.policy.startup_guard_us,
                        "runs although its first attempt may have come before the start"
                    );
                }
                self.count("run");
                let run =
                    Run { id, request, recorded: Vec::new(), started: false, ended: None, canceled: false };
                self.runs.push(run);
                self.readers.push(Reader::new(self.runs.len() - 1));
            }
            Admission::Join(id) => {
                let run = self.runs.iter().rposition(|run| run.id == id).expect("the id of an admitted run");
                assert_eq!(self.runs[run].request.identity, request.identity);
                assert_eq!(self.runs[run].request.body, request.body);
                assert!(is_recognisable, "a fresh request gets the answer of another one");
                if !keyed && request.at_most_once {
                    self.check_ownership(run, &request);
                }
                self.readers.push(Reader::new(run));
                let open = self.readers.iter().filter(|reader| !reader.done && reader.run == run).count();
                assert!(open <= self.policy.max_readers as usize);
                self.count("join");
            }
            Admission::RunUnrecorded => {
                assert!(!request.at_most_once, "an at-most-once request runs without an entry");
                self.count("unrecorded");
            }
            Admission::KeyReused => {
                assert!(keyed && remembered.iter().any(|run| run.request.body != request.body));
                self.count("key reused");
            }
            Admission::AwaitDelivery => {
                assert!(!keyed && request.is_retry && request.at_most_once && some_may_have_executed);
                let may_get_answer = |reader: &Reader| {
                    let run = &self.runs[reader.run];
                    has_same_identity(&run.request, &request) && reader.delivery == Delivery::Pending
                };
                assert!(self.readers.iter().any(may_get_answer), "waits for nobody");
                self.count("await delivery");
            }
            Admission::Reject(reason) => {
                assert!(request.at_most_once && is_recognisable);
                match reason {
                    RejectReason::RecentStart => assert!(self.now < self.policy.startup_guard_us),
                    RejectReason::AlreadyAnswered => {
                        assert!(remembered
                            .iter()
                            .any(|run| matches!(run.ended, Some((_, Outcome::Completed)))));
                    }
                    RejectReason::MayHaveExecuted => assert!(some_may_have_executed),
                    RejectReason::UnclearOwner => {
                        assert!(!keyed && some_may_have_executed);
                        self.count("unclear owner");
                    }
                }
                self.count("reject");
            }
            Admission::Defer { retry_after_us, .. } => {
                assert!(retry_after_us > 0);
                self.count("defer");
            }
        }
    }

    /// Checks that an at-most-once retry that is known by its body is given an answer only if its client lost it, and no other request that
    /// is remembered and may have run had this body.
    fn check_ownership(&self, joined: usize, request: &IncomingRequest) {
        let last_reader = self.readers.iter().rfind(|reader| reader.run == joined).expect("a reader");
        assert_eq!(last_reader.delivery, Delivery::Lost, "the answer of a client that may have it");
        for (at, run) in self.runs.iter().enumerate() {
            let is_remembered =
                run.ended.is_none_or(|(ended_at, _)| ended_at + self.policy.retention_us > self.now);
            let is_other = at != joined && has_same_identity(&run.request, request);
            assert!(!(is_other && is_remembered && run.may_have_executed()), "one of several answers");
        }
    }

    fn read(&mut self, at: usize, read_limit: usize) {
        let open: Vec<usize> = (0..self.readers.len()).filter(|&at| !self.readers[at].done).collect();
        let Some(&at) = open.get(at % open.len().max(1)) else { return };
        let reader = &mut self.readers[at];
        let run = &self.runs[reader.run];
        let (is_over, label) = match self.store.read(run.id, reader.at, read_limit.max(1)) {
            ReadResult::Data(piece) => {
                let from = reader.at as usize;
                assert_eq!(
                    piece,
                    &run.recorded[from..from + piece.len()],
                    "differs from the recorded answer"
                );
                reader.at += piece.len() as u64;
                (false, "data")
            }
            ReadResult::Pending => {
                assert!(run.ended.is_none(), "pending after the end of the run");
                assert_eq!(reader.at, run.recorded.len() as u64, "pending although there is data");
                (false, "pending")
            }
            ReadResult::Ended(outcome) => {
                assert_eq!(run.ended.map(|(_, outcome)| outcome), Some(outcome));
                if matches!(outcome, Outcome::Completed | Outcome::Interrupted(_)) {
                    assert_eq!(reader.at, run.recorded.len() as u64, "ended before all data was read");
                }
                (true, "ended")
            }
            ReadResult::Overrun => {
                assert!(run.recorded.len() as u64 > reader.at);
                (true, "overrun")
            }
            ReadResult::Gone => {
                assert_eq!(reader.at, 0, "the run is gone in the middle of its answer");
                assert!(run.ended.is_some());
                (true, "gone")
            }
        };
        if is_over {
            reader.done = true;
            self.store.reader_left(self.now, run.id);
        }
        self.count(label);
    }

    /// Ends all runs in flight, lets every reader read to the end, and checks that the store is empty after the
    /// retention time.
    fn finish(&mut self) {
        for at in 0..self.runs.len() {
            if self.runs[at].ended.is_none() {
                let outcome = if self.runs[at].canceled {
                    Outcome::Canceled { may_have_executed: true }
                } else {
                    Outcome::Completed
                };
                self.runs[at].ended = Some((self.now, outcome));
                self.store.finish(self.now, self.runs[at].id, outcome);
            }
        }
        for _ in 0..4_000 {
            if self.readers.iter().all(|reader| reader.done) {
                break;
            }
            self.read(0, 1 << 20);
        }
        assert!(self.readers.iter().all(|reader| reader.done), "a reader never gets to the end");
        self.now += self.policy.retention_us + 200 * MS;
        self.store.advance(self.now);
        let stats = self.store.stats();
        assert_eq!((stats.entries, stats.bytes), (0, 0), "an entry is never forgotten");
        assert_eq!(self.store.next_deadline(), None);
    }
}

fn mostly_zero() -> impl Strategy<Value = u64> {
    prop_oneof![9 => Just(0u64), 1 => Just(1u64)]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let any_index = 0usize..64;
    let step = prop_oneof![
        6 => (0u32..3, 0u64..8, any::<bool>(), mostly_zero(), mostly_zero(), any::<bool>())
            .prop_map(|(tenant, request_number, keyed, body, sender, repeat)|
                Step::Offer { tenant, request_number, keyed, body, sender, repeat }),
        4 => any_index.clone().prop_map(Step::StreamStarted),
        6 => (any_index.clone(), prop_oneof![3 => 1usize..3_000, 1 => 10_000usize..40_000])
            .prop_map(|(at, bytes)| Step::Record(at, bytes)),
        3 => (any_index.clone(), any::<u8>()).prop_map(|(at, selector)| Step::Ended(at, selector)),
        8 => (any_index.clone(), 1usize..20_000).prop_map(|(at, read_limit)| Step::Read(at, read_limit)),
        3 => any_index.clone().prop_map(Step::Left),
        3 => (any_index, any::<bool>()).prop_map(|(at, is_made)| Step::Delivered(at, is_made)),
        3 => prop_oneof![4 => 1u64..400 * MS, 1 => 1_000 * MS..3_000 * MS].prop_map(Step::AdvanceTime),
    ];
    prop::collection::vec(step, 1..160)
}

fn policy(linger_us: Micros) -> Policy {
    Policy {
        max_entries: 10,
        max_bytes: 120 << 10,
        max_answer_bytes: 24 << 10,
        max_readers: 3,
        tenant_permille: 600,
        retention_us: 2_000 * MS,
        startup_guard_us: 700 * MS,
        linger_us,
        retry_budget: RetryBudgetPolicy {
            permille: 500,
            permille_per_second: 4_000,
            max_saved: 6,
            ..RetryBudgetPolicy::default()
        },
    }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(1_500))]

    #[test]
    fn at_most_once_requests_never_run_twice_and_readers_get_the_recorded_answer(
        steps in steps(),
        linger in prop_oneof![Just(0), Just(300 * MS)],
    ) {
        let mut model = Model::new(policy(linger));
        for step in &steps {
            model.step(step);
        }
        model.finish();
    }
}

/// The random steps must produce every admission and every read result, or the assertions about one of them are never
/// checked.
#[test]
fn the_model_reaches_every_admission_and_every_read_result() {
    use proptest::strategy::ValueTree as _;
    let mut runner = proptest::test_runner::TestRunner::new(config(1));
    let mut all: BTreeMap<&'static str, usize> = BTreeMap::new();
    for _ in 0..2_400 {
        let steps = steps().new_tree(&mut runner).expect("steps").current();
        let mut model = Model::new(policy(0));
        steps.iter().for_each(|step| model.step(step));
        model.finish();
        for (label, count) in model.counts {
            *all.entry(label).or_default() += count;
        }
    }
    let expected_labels = [
        "run",
        "join",
        "unrecorded",
        "key reused",
        "reject",
        "unclear owner",
        "await delivery",
        "defer",
        "data",
        "pending",
        "ended",
        "overrun",
        "gone",
    ];
    for label in expected_labels {
        assert!(all.get(label).is_some_and(|&count| count >= 5), "{label}: {all:?}");
    }
}
