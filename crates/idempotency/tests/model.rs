//! The store against a plain account of every run there ever was: whatever happens, nothing that must not run
//! twice is let run twice, readers get what was recorded, and the bounds hold.

use std::collections::BTreeMap;

use dewladder_idempotency::{
    Admission, Effect, EntryId, Fingerprint, IdempotencyStore, IncomingRequest, Micros, Outcome, Policy,
    ReadResult, RejectReason, RequestIdentity, RetryBudgetPolicy,
};
use proptest::prelude::*;

const MS: Micros = 1_000;

#[derive(Clone, Debug)]
enum Step {
    Offer { tenant: u32, name: u64, keyed: bool, body: u64, repeat: bool },
    Began(usize),
    Record(usize, usize),
    Ended(usize, u8),
    Read(usize, usize),
    Left(usize),
    Pass(Micros),
}

/// A run as it was, whatever the store remembers.
struct Run {
    id: EntryId,
    request: IncomingRequest,
    recorded: Vec<u8>,
    began: bool,
    /// When and how it ended.
    ended: Option<(Micros, Outcome)>,
    canceled: bool,
}

impl Run {
    /// Whether it may have taken effect, or may still.
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

struct Reader {
    run: usize,
    at: u64,
    done: bool,
}

struct World {
    policy: Policy,
    store: IdempotencyStore,
    now: Micros,
    runs: Vec<Run>,
    readers: Vec<Reader>,
    counts: BTreeMap<&'static str, usize>,
}

/// Half of all names are of a class that must not run twice.
fn once(name: u64) -> bool {
    name.is_multiple_of(2)
}

impl World {
    fn new(policy: Policy) -> Self {
        let store = IdempotencyStore::new(policy, 0);
        Self { policy, store, now: MS, runs: Vec::new(), readers: Vec::new(), counts: BTreeMap::new() }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer { tenant, name, keyed, body, repeat } => {
                let print = Fingerprint([name * 1_000 + u64::from(tenant), 7]);
                let body = if keyed { body } else { name };
                let identity = if keyed { RequestIdentity::Key(print) } else { RequestIdentity::Body(print) };
                let body = Fingerprint([body, 9]);
                self.admit(IncomingRequest {
                    tenant,
                    at_most_once: once(name),
                    identity: Some(identity),
                    body,
                    is_retry: repeat,
                });
            }
            Step::Began(at) => {
                if let Some(at) = self.running(at) {
                    self.runs[at].began = true;
                    self.store.stream_started(self.now, self.runs[at].id);
                }
            }
            Step::Record(at, bytes) => {
                if let Some(at) = self.running(at).filter(|&at| self.runs[at].began) {
                    let run = &mut self.runs[at];
                    let data: Vec<u8> =
                        (0..bytes).map(|byte| (run.recorded.len() + byte + at) as u8).collect();
                    let taken = self.store.record(self.now, run.id, &data);
                    run.recorded.extend_from_slice(&data[..taken]);
                }
            }
            Step::Ended(at, how) => {
                if let Some(at) = self.running(at) {
                    let run = &self.runs[at];
                    let ending = match how % 5 {
                        _ if run.canceled => {
                            Outcome::Canceled { may_have_executed: run.began || how & 1 == 0 }
                        }
                        0 | 1 if run.began => Outcome::Completed,
                        _ if run.began => Outcome::Interrupted(3),
                        2 => Outcome::Refused { retry_after_us: 5 },
                        3 => Outcome::Failed { may_have_executed: false },
                        _ => Outcome::Failed { may_have_executed: true },
                    };
                    self.runs[at].ended = Some((self.now, ending));
                    self.store.finish(self.now, self.runs[at].id, ending);
                }
            }
            Step::Read(at, most) => self.read(at, most),
            Step::Left(at) => {
                let open: Vec<usize> = (0..self.readers.len()).filter(|&at| !self.readers[at].done).collect();
                if let Some(&at) = open.get(at % open.len().max(1)) {
                    self.readers[at].done = true;
                    self.store.reader_left(self.now, self.runs[self.readers[at].run].id);
                }
            }
            Step::Pass(time) => {
                self.now += time;
                self.store.advance(self.now);
            }
        }
        let effects: Vec<Effect> = self.store.effects().collect();
        for effect in effects {
            if let Effect::Cancel(id) = effect {
                let run = self.runs.iter_mut().rfind(|run| run.id == id).expect("a run that was begun");
                assert!(run.ended.is_none(), "let go of after its end");
                run.canceled = true;
                let at = self.runs.iter().rposition(|run| run.id == id);
                assert!(!self.readers.iter().any(|reader| !reader.done && Some(reader.run) == at));
            }
        }
        let stats = self.store.stats();
        assert!(stats.bytes <= self.policy.max_bytes, "{} bytes", stats.bytes);
        assert!(stats.entries <= self.policy.max_entries);
    }

    /// One of the runs that are under way.
    fn running(&self, at: usize) -> Option<usize> {
        let running: Vec<usize> = (0..self.runs.len()).filter(|&at| self.runs[at].ended.is_none()).collect();
        running.get(at % running.len().max(1)).copied()
    }

    fn admit(&mut self, request: IncomingRequest) {
        let admission = self.store.admit(self.now, &request, self.now.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let keyed = matches!(request.identity, Some(RequestIdentity::Key(_)));
        let window = self.policy.retention_us;
        let remembered: Vec<&Run> = (self.runs.iter())
            .filter(|run| run.request.identity == request.identity && run.request.tenant == request.tenant)
            .filter(|run| run.ended.is_none_or(|(at, _)| at + window > self.now))
            .collect();
        let (known, harmful) =
            (keyed || request.is_retry, remembered.iter().any(|run| run.may_have_executed()));
        match admission {
            Admission::Run(id) => {
                assert!(!(request.at_most_once && known && harmful), "runs twice");
                if request.is_retry && request.at_most_once && remembered.is_empty() {
                    assert!(
                        self.now >= self.policy.startup_guard_us,
                        "the first may have come before the start"
                    );
                }
                self.count("run");
                let run =
                    Run { id, request, recorded: Vec::new(), began: false, ended: None, canceled: false };
                self.runs.push(run);
                self.readers.push(Reader { run: self.runs.len() - 1, at: 0, done: false });
            }
            Admission::Join(id) => {
                let run = self.runs.iter().rposition(|run| run.id == id).expect("a run that was begun");
                assert_eq!(
                    (self.runs[run].request.identity, self.runs[run].request.body),
                    (request.identity, request.body)
                );
                assert!(known, "a fresh request is given another's answer");
                self.readers.push(Reader { run, at: 0, done: false });
                let open = self.readers.iter().filter(|reader| !reader.done && reader.run == run).count();
                assert!(open <= self.policy.max_readers as usize);
                self.count("join");
            }
            Admission::RunUnrecorded => {
                assert!(!request.at_most_once, "accepted, and forgotten within its window");
                self.count("unrecorded");
            }
            Admission::KeyReused => {
                assert!(keyed && remembered.iter().any(|run| run.request.body != request.body));
                self.count("mismatch");
            }
            Admission::Reject(why) => {
                assert!(request.at_most_once && known);
                match why {
                    RejectReason::RecentStart => assert!(self.now < self.policy.startup_guard_us),
                    RejectReason::AlreadyAnswered => {
                        assert!(remembered
                            .iter()
                            .any(|run| matches!(run.ended, Some((_, Outcome::Completed)))));
                    }
                    RejectReason::MayHaveExecuted => assert!(harmful),
                }
                self.count("never");
            }
            Admission::Defer { retry_after_us, .. } => {
                assert!(retry_after_us > 0);
                self.count("later");
            }
        }
    }

    fn read(&mut self, at: usize, most: usize) {
        let open: Vec<usize> = (0..self.readers.len()).filter(|&at| !self.readers[at].done).collect();
        let Some(&at) = open.get(at % open.len().max(1)) else { return };
        let reader = &mut self.readers[at];
        let run = &self.runs[reader.run];
        let (over, what) = match self.store.read(run.id, reader.at, most.max(1)) {
            ReadResult::Data(piece) => {
                let from = reader.at as usize;
                assert_eq!(piece, &run.recorded[from..from + piece.len()], "not what was recorded");
                reader.at += piece.len() as u64;
                (false, "piece")
            }
            ReadResult::Pending => {
                assert!(run.ended.is_none(), "waits for what is over");
                assert_eq!(reader.at, run.recorded.len() as u64, "waits for what is there");
                (false, "wait")
            }
            ReadResult::Ended(ending) => {
                assert_eq!(run.ended.map(|(_, ending)| ending), Some(ending));
                if matches!(ending, Outcome::Completed | Outcome::Interrupted(_)) {
                    assert_eq!(reader.at, run.recorded.len() as u64, "ends before its end");
                }
                (true, "over")
            }
            ReadResult::Overrun => {
                assert!(run.recorded.len() as u64 > reader.at);
                (true, "lost")
            }
            ReadResult::Gone => {
                assert_eq!(reader.at, 0, "an answer can't begin anew in its middle");
                assert!(run.ended.is_some());
                (true, "again")
            }
        };
        if over {
            reader.done = true;
            self.store.reader_left(self.now, run.id);
        }
        self.count(what);
    }

    /// Whatever is under way ends, and every reader comes to an end.
    fn finish(&mut self) {
        for at in 0..self.runs.len() {
            if self.runs[at].ended.is_none() {
                let ending = if self.runs[at].canceled {
                    Outcome::Canceled { may_have_executed: true }
                } else {
                    Outcome::Completed
                };
                self.runs[at].ended = Some((self.now, ending));
                self.store.finish(self.now, self.runs[at].id, ending);
            }
        }
        for _ in 0..4_000 {
            if self.readers.iter().all(|reader| reader.done) {
                break;
            }
            self.read(0, 1 << 20);
        }
        assert!(self.readers.iter().all(|reader| reader.done), "a reader waits for ever");
        self.now += self.policy.retention_us + 200 * MS;
        self.store.advance(self.now);
        let stats = self.store.stats();
        assert_eq!((stats.entries, stats.bytes), (0, 0), "something is never forgotten");
        assert_eq!(self.store.next_deadline(), None);
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let any_at = 0usize..64;
    let step = prop_oneof![
        6 => (0u32..3, 0u64..8, any::<bool>(), prop_oneof![9 => Just(0u64), 1 => Just(1u64)], any::<bool>())
            .prop_map(|(tenant, name, keyed, body, repeat)| Step::Offer { tenant, name, keyed, body, repeat }),
        4 => any_at.clone().prop_map(Step::Began),
        6 => (any_at.clone(), prop_oneof![3 => 1usize..3_000, 1 => 10_000usize..40_000])
            .prop_map(|(at, bytes)| Step::Record(at, bytes)),
        3 => (any_at.clone(), any::<u8>()).prop_map(|(at, how)| Step::Ended(at, how)),
        8 => (any_at.clone(), 1usize..20_000).prop_map(|(at, most)| Step::Read(at, most)),
        3 => any_at.prop_map(Step::Left),
        3 => prop_oneof![4 => 1u64..400 * MS, 1 => 1_000 * MS..3_000 * MS].prop_map(Step::Pass),
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
    fn at_most_once_requests_never_run_twice_and_readers_get_what_was_recorded(
        steps in steps(),
        linger in prop_oneof![Just(0), Just(300 * MS)],
    ) {
        let mut world = World::new(policy(linger));
        for step in &steps {
            world.step(step);
        }
        world.finish();
    }
}

/// The steps above must come to every verdict and every kind of read, or what is asserted of one says nothing.
#[test]
fn the_model_reaches_every_admission_and_every_read_result() {
    use proptest::strategy::ValueTree as _;
    let mut runner = proptest::test_runner::TestRunner::new(config(1));
    let mut all: BTreeMap<&'static str, usize> = BTreeMap::new();
    for _ in 0..800 {
        let steps = steps().new_tree(&mut runner).expect("steps").current();
        let mut world = World::new(policy(0));
        steps.iter().for_each(|step| world.step(step));
        world.finish();
        for (what, count) in world.counts {
            *all.entry(what).or_default() += count;
        }
    }
    let wanted =
        ["run", "join", "unrecorded", "mismatch", "never", "later", "piece", "wait", "over", "lost", "again"];
    for what in wanted {
        assert!(all.get(what).is_some_and(|&count| count >= 5), "{what}: {all:?}");
    }
}

/// Two bookings of the same words, the first of which may have run: a repeat, of whichever, is not admitted because the
/// other one never ran.
#[test]
fn a_repeat_of_two_like_requests_is_taken_for_that_of_the_one_that_may_have_run() {
    let mut store = IdempotencyStore::new(Policy { startup_guard_us: 0, ..Policy::default() }, 0);
    let body = Fingerprint([1, 2]);
    let identity = Some(RequestIdentity::Body(body));
    let first = IncomingRequest { tenant: 1, at_most_once: true, identity, body, is_retry: false };
    for outcome in [Outcome::Failed { may_have_executed: true }, Outcome::Refused { retry_after_us: 5 }] {
        let Admission::Run(id) = store.admit(MS, &first, 0) else { panic!("a fresh one runs") };
        store.finish(2 * MS, id, outcome);
        store.reader_left(2 * MS, id);
    }
    let repeat = store.admit(3 * MS, &IncomingRequest { is_retry: true, ..first }, 0);
    assert_eq!(repeat, Admission::Reject(RejectReason::MayHaveExecuted));
}
