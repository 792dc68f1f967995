//! The ledger against a plain account of every run there ever was: whatever happens, nothing that must not run
//! twice is let run twice, readers get what was recorded, and the bounds hold.

use std::collections::BTreeMap;

use dewladder_ledger::{
    BudgetPolicy, Effect, Ending, EntryId, Fingerprint, Ledger, Micros, Name, Never, Offer, Policy, Read,
    Verdict,
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

/// A run as it was, whatever the ledger remembers.
struct Run {
    id: EntryId,
    offer: Offer,
    recorded: Vec<u8>,
    began: bool,
    /// When and how it ended.
    ended: Option<(Micros, Ending)>,
    let_go: bool,
}

impl Run {
    /// Whether it may have taken effect, or may still.
    fn may_have_run(&self) -> bool {
        match self.ended {
            None | Some((_, Ending::Whole | Ending::Cut(_))) => true,
            Some((_, Ending::Refused { .. })) => false,
            Some((_, Ending::Failed { may_have_run } | Ending::LetGo { may_have_run })) => may_have_run,
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
    ledger: Ledger,
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
        let ledger = Ledger::new(policy, 0);
        Self { policy, ledger, now: MS, runs: Vec::new(), readers: Vec::new(), counts: BTreeMap::new() }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Offer { tenant, name, keyed, body, repeat } => {
                let print = Fingerprint([name * 1_000 + u64::from(tenant), 7]);
                let body = if keyed { body } else { name };
                let named = if keyed { Name::Key(print) } else { Name::Body(print) };
                let body = Fingerprint([body, 9]);
                self.offer(Offer { tenant, once: once(name), name: Some(named), body, repeat });
            }
            Step::Began(at) => {
                if let Some(at) = self.running(at) {
                    self.runs[at].began = true;
                    self.ledger.began(self.now, self.runs[at].id);
                }
            }
            Step::Record(at, bytes) => {
                if let Some(at) = self.running(at).filter(|&at| self.runs[at].began) {
                    let run = &mut self.runs[at];
                    let data: Vec<u8> =
                        (0..bytes).map(|byte| (run.recorded.len() + byte + at) as u8).collect();
                    let taken = self.ledger.record(self.now, run.id, &data);
                    run.recorded.extend_from_slice(&data[..taken]);
                }
            }
            Step::Ended(at, how) => {
                if let Some(at) = self.running(at) {
                    let run = &self.runs[at];
                    let ending = match how % 5 {
                        _ if run.let_go => Ending::LetGo { may_have_run: run.began || how & 1 == 0 },
                        0 | 1 if run.began => Ending::Whole,
                        _ if run.began => Ending::Cut(3),
                        2 => Ending::Refused { retry_in: 5 },
                        3 => Ending::Failed { may_have_run: false },
                        _ => Ending::Failed { may_have_run: true },
                    };
                    self.runs[at].ended = Some((self.now, ending));
                    self.ledger.ended(self.now, self.runs[at].id, ending);
                }
            }
            Step::Read(at, most) => self.read(at, most),
            Step::Left(at) => {
                let open: Vec<usize> = (0..self.readers.len()).filter(|&at| !self.readers[at].done).collect();
                if let Some(&at) = open.get(at % open.len().max(1)) {
                    self.readers[at].done = true;
                    self.ledger.left(self.now, self.runs[self.readers[at].run].id);
                }
            }
            Step::Pass(time) => {
                self.now += time;
                self.ledger.tick(self.now);
            }
        }
        let effects: Vec<Effect> = self.ledger.effects().collect();
        for effect in effects {
            if let Effect::LetGo(id) = effect {
                let run = self.runs.iter_mut().rfind(|run| run.id == id).expect("a run that was begun");
                assert!(run.ended.is_none(), "let go of after its end");
                run.let_go = true;
                let at = self.runs.iter().rposition(|run| run.id == id);
                assert!(!self.readers.iter().any(|reader| !reader.done && Some(reader.run) == at));
            }
        }
        let figures = self.ledger.figures();
        assert!(figures.bytes <= self.policy.most_bytes, "{} bytes", figures.bytes);
        assert!(figures.entries <= self.policy.most_entries);
    }

    /// One of the runs that are under way.
    fn running(&self, at: usize) -> Option<usize> {
        let running: Vec<usize> = (0..self.runs.len()).filter(|&at| self.runs[at].ended.is_none()).collect();
        running.get(at % running.len().max(1)).copied()
    }

    fn offer(&mut self, offer: Offer) {
        let verdict = self.ledger.offer(self.now, &offer, self.now.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let keyed = matches!(offer.name, Some(Name::Key(_)));
        let window = self.policy.window;
        let remembered: Vec<&Run> = (self.runs.iter())
            .filter(|run| run.offer.name == offer.name && run.offer.tenant == offer.tenant)
            .filter(|run| run.ended.is_none_or(|(at, _)| at + window > self.now))
            .collect();
        let (known, harmful) = (keyed || offer.repeat, remembered.iter().any(|run| run.may_have_run()));
        match verdict {
            Verdict::Run(id) => {
                assert!(!(offer.once && known && harmful), "runs twice");
                if offer.repeat && offer.once && remembered.is_empty() {
                    assert!(self.now >= self.policy.after_start, "the first may have come before the start");
                }
                self.count("run");
                let run = Run { id, offer, recorded: Vec::new(), began: false, ended: None, let_go: false };
                self.runs.push(run);
                self.readers.push(Reader { run: self.runs.len() - 1, at: 0, done: false });
            }
            Verdict::Join(id) => {
                let run = self.runs.iter().rposition(|run| run.id == id).expect("a run that was begun");
                assert_eq!((self.runs[run].offer.name, self.runs[run].offer.body), (offer.name, offer.body));
                assert!(known, "a fresh request is given another's answer");
                self.readers.push(Reader { run, at: 0, done: false });
                let open = self.readers.iter().filter(|reader| !reader.done && reader.run == run).count();
                assert!(open <= self.policy.most_readers as usize);
                self.count("join");
            }
            Verdict::Unrecorded => {
                assert!(!offer.once, "accepted, and forgotten within its window");
                self.count("unrecorded");
            }
            Verdict::Mismatch => {
                assert!(keyed && remembered.iter().any(|run| run.offer.body != offer.body));
                self.count("mismatch");
            }
            Verdict::Never(why) => {
                assert!(offer.once && known);
                match why {
                    Never::JustStarted => assert!(self.now < self.policy.after_start),
                    Never::Answered => {
                        assert!(remembered.iter().any(|run| matches!(run.ended, Some((_, Ending::Whole)))));
                    }
                    Never::MayHaveRun => assert!(harmful),
                }
                self.count("never");
            }
            Verdict::Later { retry_in, .. } => {
                assert!(retry_in > 0);
                self.count("later");
            }
        }
    }

    fn read(&mut self, at: usize, most: usize) {
        let open: Vec<usize> = (0..self.readers.len()).filter(|&at| !self.readers[at].done).collect();
        let Some(&at) = open.get(at % open.len().max(1)) else { return };
        let reader = &mut self.readers[at];
        let run = &self.runs[reader.run];
        let (over, what) = match self.ledger.read(run.id, reader.at, most.max(1)) {
            Read::Piece(piece) => {
                let from = reader.at as usize;
                assert_eq!(piece, &run.recorded[from..from + piece.len()], "not what was recorded");
                reader.at += piece.len() as u64;
                (false, "piece")
            }
            Read::Wait => {
                assert!(run.ended.is_none(), "waits for what is over");
                assert_eq!(reader.at, run.recorded.len() as u64, "waits for what is there");
                (false, "wait")
            }
            Read::Over(ending) => {
                assert_eq!(run.ended.map(|(_, ending)| ending), Some(ending));
                if matches!(ending, Ending::Whole | Ending::Cut(_)) {
                    assert_eq!(reader.at, run.recorded.len() as u64, "ends before its end");
                }
                (true, "over")
            }
            Read::Lost => {
                assert!(run.recorded.len() as u64 > reader.at);
                (true, "lost")
            }
            Read::Again => {
                assert_eq!(reader.at, 0, "an answer can't begin anew in its middle");
                assert!(run.ended.is_some());
                (true, "again")
            }
        };
        if over {
            reader.done = true;
            self.ledger.left(self.now, run.id);
        }
        self.count(what);
    }

    /// Whatever is under way ends, and every reader comes to an end.
    fn finish(&mut self) {
        for at in 0..self.runs.len() {
            if self.runs[at].ended.is_none() {
                let ending =
                    if self.runs[at].let_go { Ending::LetGo { may_have_run: true } } else { Ending::Whole };
                self.runs[at].ended = Some((self.now, ending));
                self.ledger.ended(self.now, self.runs[at].id, ending);
            }
        }
        for _ in 0..4_000 {
            if self.readers.iter().all(|reader| reader.done) {
                break;
            }
            self.read(0, 1 << 20);
        }
        assert!(self.readers.iter().all(|reader| reader.done), "a reader waits for ever");
        self.now += self.policy.window + 200 * MS;
        self.ledger.tick(self.now);
        let figures = self.ledger.figures();
        assert_eq!((figures.entries, figures.bytes), (0, 0), "something is never forgotten");
        assert_eq!(self.ledger.next_due(), None);
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

fn policy(linger: Micros) -> Policy {
    Policy {
        most_entries: 10,
        most_bytes: 120 << 10,
        most_answer: 24 << 10,
        most_readers: 3,
        tenant_permille: 600,
        window: 2_000 * MS,
        after_start: 700 * MS,
        linger,
        budget: BudgetPolicy {
            permille: 500,
            permille_per_s: 4_000,
            most_saved: 6,
            ..BudgetPolicy::default()
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
    fn nothing_runs_twice_and_readers_get_what_was_recorded(
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
fn the_model_comes_by_every_verdict() {
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

/// Two bookings of the same words, the first of which may have run: a repeat, of whichever, is not let through
/// because the other one never ran.
#[test]
fn a_repeat_is_not_taken_for_that_of_one_that_never_ran() {
    let mut ledger = Ledger::new(Policy { after_start: 0, ..Policy::default() }, 0);
    let body = Fingerprint([1, 2]);
    let offer = Offer { tenant: 1, once: true, name: Some(Name::Body(body)), body, repeat: false };
    for ending in [Ending::Failed { may_have_run: true }, Ending::Refused { retry_in: 5 }] {
        let Verdict::Run(id) = ledger.offer(MS, &offer, 0) else { panic!("a fresh one runs") };
        ledger.ended(2 * MS, id, ending);
        ledger.left(2 * MS, id);
    }
    let repeat = ledger.offer(3 * MS, &Offer { repeat: true, ..offer }, 0);
    assert_eq!(repeat, Verdict::Never(Never::MayHaveRun));
}
