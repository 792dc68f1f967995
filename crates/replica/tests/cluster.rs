//! Instances in virtual time, under loss, deaths with and without return, pauses and cuts: no request that must not run
//! twice is granted twice while the first may run, copies become equal, and what is over does not come back.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;
use dewladder_replica::{
    Denied, Effect, Event, Message, Micros, Ran, RecordId, Replica, Said, Settings, Stage, Ticket, Verdict,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TICK: Micros = 25 * MS;

fn member(at: usize) -> MemberId {
    MemberId::of(&format!("n{at}"))
}

struct Node {
    replica: Option<Replica>,
    life: u64,
    paused: Option<Vec<Event>>,
}

struct Lab {
    now: Micros,
    nodes: Vec<Node>,
    due: BTreeMap<(Micros, u64), (usize, u64, Option<Event>)>,
    numbers: u64,
    cuts: BTreeSet<(usize, usize)>,
    loss: f64,
    rng: Pcg64Mcg,
    /// Grants by ticket, when, and denials.
    granted: BTreeMap<u64, usize>,
    denied: BTreeMap<u64, Denied>,
    largest: usize,
}

impl Lab {
    fn new(count: usize, seed: u64) -> Self {
        let mut lab = Self {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            due: BTreeMap::new(),
            numbers: 0,
            cuts: BTreeSet::new(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            granted: BTreeMap::new(),
            denied: BTreeMap::new(),
            largest: 0,
        };
        for at in 0..count {
            lab.nodes.push(Node { replica: None, life: 0, paused: None });
            lab.start(at, count);
        }
        lab.pass(4 * SECOND);
        assert!((0..count).all(|at| lab.replica(at).behind() == 0), "seed {seed}: all have caught up");
        lab
    }

    fn settings(&self, at: usize, count: usize) -> Settings {
        Settings {
            me: member(at),
            life: self.now,
            members: (0..count).map(member).collect(),
            copies: 3,
            quorum: 2,
            window: 600 * SECOND,
            most_records: 10_000,
            most_hints: 10_000,
            settle: SECOND,
            again_after: 50 * MS,
            compare_every: 100 * MS,
        }
    }

    fn start(&mut self, at: usize, count: usize) {
        let replica = Replica::new(self.settings(at, count), self.now).expect("settings");
        let node = &mut self.nodes[at];
        (node.replica, node.paused) = (Some(replica), None);
        node.life += 1;
        let life = node.life;
        let first = self.rng.next_u64() % TICK;
        self.push(self.now + first, at, life, None);
        self.tell_up();
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].replica = None;
        self.nodes[at].life += 1;
        self.tell_up();
    }

    /// As membership would, at once.
    fn tell_up(&mut self) {
        let up: BTreeSet<MemberId> =
            (0..self.nodes.len()).filter(|&at| self.nodes[at].replica.is_some()).map(member).collect();
        for at in 0..self.nodes.len() {
            let mut others = up.clone();
            others.remove(&member(at));
            self.step(at, Event::Up(others));
        }
    }

    fn pause(&mut self, at: usize) {
        self.nodes[at].paused = Some(Vec::new());
    }

    fn wake(&mut self, at: usize) {
        for event in self.nodes[at].paused.take().unwrap_or_default() {
            self.step(at, event);
        }
        self.step(at, Event::Tick);
    }

    fn partition(&mut self, side: &[usize], cut: bool) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    if cut {
                        self.cuts.insert((a, b));
                    } else {
                        self.cuts.remove(&(a, b));
                    }
                }
            }
        }
    }

    fn replica(&self, at: usize) -> &Replica {
        self.nodes[at].replica.as_ref().expect("it runs")
    }

    fn push(&mut self, when: Micros, at: usize, life: u64, event: Option<Event>) {
        self.numbers += 1;
        self.due.insert((when, self.numbers), (at, life, event));
    }

    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), (at, life, event)) = entry.remove_entry();
            self.now = now;
            match event {
                None if self.nodes[at].life != life => {}
                None => {
                    self.push(now + TICK, at, life, None);
                    if self.nodes[at].paused.is_none() {
                        self.step(at, Event::Tick);
                    }
                }
                Some(event) => self.step(at, event),
            }
        }
        self.now = end;
    }

    fn offer(&mut self, at: usize, ticket: u64, key: &str) {
        let deadline = self.now + 900 * MS;
        self.step(at, Event::Offer { ticket: Ticket(ticket), id: RecordId::of("t", key), deadline });
    }

    fn ended(&mut self, at: usize, ticket: u64, stage: Stage) {
        self.step(at, Event::Ended { ticket: Ticket(ticket), stage });
    }

    fn step(&mut self, at: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[at];
        if let Some(waiting) = &mut node.paused {
            return waiting.push(event);
        }
        let Some(replica) = &mut node.replica else { return };
        let mut effects = Vec::new();
        replica.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(at, to, message),
                Effect::Granted(Ticket(ticket)) => {
                    assert!(self.granted.insert(ticket, at).is_none(), "ticket {ticket} is granted once");
                }
                Effect::Denied(Ticket(ticket), why) => {
                    assert!(self.denied.insert(ticket, why).is_none(), "ticket {ticket} is denied once");
                }
                Effect::CaughtUp(_) | Effect::Noted(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: MemberId, message: Message) {
        let bytes = postcard::to_allocvec(&message).expect("a message");
        self.largest = self.largest.max(bytes.len());
        let to = (0..self.nodes.len()).find(|&at| member(at) == to).expect("a member");
        let lot = self.rng.next_u64() as f64 / u64::MAX as f64;
        if lot < self.loss || self.cuts.contains(&(from, to)) {
            return;
        }
        let delay = 200 + self.rng.next_u64() % (3 * MS);
        let event = Event::Heard { from: member(from), message };
        self.push(self.now + delay, to, 0, Some(event));
    }

    /// The copies of each range are the same at all of its holders that run, and each record is one of them.
    fn equal(&self) -> bool {
        let mut copies: BTreeMap<RecordId, Vec<(usize, Verdict)>> = BTreeMap::new();
        for (at, node) in self.nodes.iter().enumerate() {
            for (id, record) in node.replica.iter().flat_map(|replica| replica.store().iter()) {
                copies.entry(id).or_default().push((at, record.verdict()));
            }
        }
        copies.values().all(|held| held.len() == 3 && held.iter().all(|(_, verdict)| *verdict == held[0].1))
    }
}

const RAN: Stage = Stage::Ran(Ran { whole: true, digest: 5 });

#[test]
fn a_retry_after_the_death_of_its_instance_is_never_granted_while_the_first_may_have_run() {
    let (mut granted, mut retries) = (0, 0);
    for seed in 0..1_000 {
        let mut lab = Lab::new(5, seed);
        lab.loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let (first, second) = (seed as usize % 5, (seed as usize + 1 + seed as usize / 5 % 4) % 5);
        lab.offer(first, 1, "a");
        // Killed anywhere from before the first answer to long after the last.
        let lived = lab.rng.next_u64() % (20 * MS);
        lab.pass(lived);
        lab.kill(first);
        if seed % 2 == 0 {
            // Comes back with nothing kept, as may one that holds its record.
            lab.start(first, 5);
        }
        if seed % 7 == 0 {
            let holder = (second + 1) % 5;
            lab.kill(holder);
            lab.start(holder, 5);
        }
        for retry in 0..4 {
            lab.offer(second, 10 + retry, "a");
            lab.pass(SECOND);
        }
        let ran = lab.granted.contains_key(&1);
        let again = lab.granted.keys().filter(|ticket| **ticket >= 10).count();
        assert!(!(ran && again > 0) && again <= 1, "seed {seed}: granted {:?}", lab.granted);
        granted += usize::from(ran);
        retries += again;
    }
    assert!(
        granted > 300 && retries > 50,
        "{granted} granted before the death, {retries} retries: both happen"
    );
}

#[test]
fn an_instance_that_stood_still_does_not_run_what_another_took_over() {
    for seed in 0..200 {
        let mut lab = Lab::new(5, seed);
        let (first, second) = (seed as usize % 5, (seed as usize + 2) % 5);
        lab.offer(first, 1, "a");
        let lived = lab.rng.next_u64() % (6 * MS);
        lab.pass(lived);
        lab.pause(first);
        // All that hold something start anew, one after the other, and catch up.
        for at in (0..5).filter(|&at| at != first) {
            lab.kill(at);
            lab.start(at, 5);
            lab.pass(3 * SECOND);
        }
        lab.offer(second, 2, "a");
        lab.pass(SECOND);
        lab.wake(first);
        lab.pass(2 * SECOND);
        let both = lab.granted.contains_key(&1) && lab.granted.contains_key(&2);
        assert!(!both, "seed {seed}: granted at both");
    }
}

#[test]
fn two_sides_of_a_cut_never_grant_the_same_and_their_copies_become_equal() {
    for seed in 0..100 {
        let mut lab = Lab::new(5, seed);
        lab.partition(&[0, 1], true);
        for key in 0..20u64 {
            lab.offer(key as usize % 2, 100 + key, &format!("k{key}"));
            lab.offer(2 + key as usize % 3, 200 + key, &format!("k{key}"));
        }
        lab.pass(2 * SECOND);
        let mut one_side = 0;
        for key in 0..20 {
            let sides = [100 + key, 200 + key].map(|ticket| lab.granted.contains_key(&ticket));
            assert_ne!(sides, [true, true], "seed {seed}, key {key}");
            one_side += usize::from(sides[0] || sides[1]);
        }
        assert_eq!(one_side, 20, "one side has two of three holders");
        let ended: Vec<(u64, usize)> = lab.granted.iter().map(|(&ticket, &at)| (ticket, at)).collect();
        for (ticket, at) in ended {
            lab.ended(at, ticket, RAN);
        }
        lab.partition(&[0, 1], false);
        lab.pass(20 * SECOND);
        assert!(lab.equal(), "seed {seed}: the copies are equal");
        let open = lab.nodes.iter().flat_map(|node| node.replica.iter());
        let open = open.flat_map(|replica| replica.store().iter());
        assert_eq!(open.filter(|(_, record)| record.verdict() == Verdict::Open).count(), 0, "seed {seed}");
        // A finished one is not granted anywhere.
        for at in 0..5 {
            lab.offer(at, 300 + at as u64, "k7");
        }
        lab.pass(SECOND);
        assert!((300..305).all(|ticket| !lab.granted.contains_key(&ticket)), "seed {seed}");
    }
}

#[test]
fn one_that_was_away_catches_up_and_holds_nothing_for_others_until_then() {
    for seed in 0..20 {
        let mut lab = Lab::new(3, seed);
        lab.kill(2);
        for key in 0..300 {
            lab.offer(0, key, &format!("k{key}"));
            lab.pass(10 * MS);
            lab.ended(0, key, RAN);
        }
        lab.pass(30 * SECOND);
        assert_eq!(lab.granted.len(), 300, "two of three are a quorum");
        lab.start(2, 3);
        // It alone could make up a quorum with neither: both others are cut off from each other's clients.
        lab.offer(2, 1_000, "k5");
        lab.pass(100 * MS);
        assert!(!lab.granted.contains_key(&1_000));
        assert!(lab.replica(2).behind() > 0);
        lab.pass(5 * SECOND);
        assert_eq!((lab.replica(2).behind(), lab.replica(2).store().len()), (0, 300), "seed {seed}");
        assert!(lab.equal(), "seed {seed}");
        assert_eq!(lab.replica(0).hinted(), 0, "what was kept for it has been handed over");
    }
}

#[test]
fn without_a_quorum_a_request_is_refused_in_time_and_may_run_later() {
    let mut lab = Lab::new(3, 1);
    lab.kill(1);
    lab.kill(2);
    lab.offer(0, 1, "a");
    lab.pass(SECOND);
    assert_eq!(lab.denied.get(&1), Some(&Denied::NoQuorum));
    lab.start(1, 3);
    lab.start(2, 3);
    lab.pass(5 * SECOND);
    lab.offer(1, 2, "a");
    lab.pass(SECOND);
    assert!(lab.granted.contains_key(&2), "the first is known never to have run: {:?}", lab.denied);
}

#[test]
fn what_is_over_is_forgotten_by_all_and_does_not_come_back_from_one_that_was_away() {
    let mut lab = Lab::new(3, 4);
    lab.offer(0, 1, "a");
    lab.pass(100 * MS);
    lab.ended(0, 1, RAN);
    lab.pass(SECOND);
    lab.pause(2);
    lab.pass(700 * SECOND);
    assert!((0..2).all(|at| lab.replica(at).store().is_empty()));
    lab.wake(2);
    for _ in 0..100 {
        lab.pass(100 * MS);
        assert!((0..2).all(|at| lab.replica(at).store().is_empty()), "brought back");
    }
    assert!(lab.replica(2).store().is_empty());
}

#[test]
fn notes_reach_all_and_the_last_writer_holds() {
    for seed in 0..50 {
        let mut lab = Lab::new(5, seed);
        lab.loss = 0.3;
        lab.step(0, Event::Note { server: 7, said: Said::ColdSince(5), lasts: 60 * SECOND });
        lab.pass(SECOND);
        lab.step(3, Event::Note { server: 7, said: Said::Draining, lasts: 60 * SECOND });
        lab.pass(15 * SECOND);
        assert!((0..5).all(|at| lab.replica(at).notes().of(7) == Said::Draining), "seed {seed}");
        lab.pass(60 * SECOND);
        assert!((0..5).all(|at| lab.replica(at).notes().of(7) == Said::Nothing), "seed {seed}: over");
    }
}

#[test]
fn messages_fit_into_datagrams() {
    let mut lab = Lab::new(3, 6);
    for key in 0..400 {
        for retry in 0..3 {
            lab.offer(0, key * 10 + retry, &format!("k{key}"));
            lab.pass(8 * MS);
            lab.ended(0, key * 10 + retry, Stage::NeverRan);
        }
    }
    lab.kill(2);
    lab.start(2, 3);
    lab.pass(8 * SECOND);
    assert!(lab.replica(2).store().len() > 300, "{}", lab.replica(2).store().len());
    assert!(lab.largest > 500 && lab.largest <= 1_300, "{} bytes", lab.largest);
}

#[test]
fn one_that_has_started_is_behind_until_offers_of_its_last_life_are_over() {
    let mut lab = Lab::new(3, 9);
    lab.kill(2);
    lab.start(2, 3);
    lab.pass(950 * MS); // offers last a second
    assert!(lab.replica(2).behind() > 0);
    lab.pass(3 * SECOND);
    assert_eq!(lab.replica(2).behind(), 0);
}

#[test]
fn what_no_hint_was_kept_of_is_brought_by_comparing() {
    let mut lab = Lab::new(3, 8);
    lab.kill(2);
    for key in 0..50 {
        lab.offer(0, key, &format!("k{key}"));
        lab.pass(10 * MS);
        lab.ended(0, key, RAN);
    }
    // Those that kept hints for it start anew, one after the other.
    for at in [0, 1] {
        lab.kill(at);
        lab.start(at, 3);
        lab.pass(4 * SECOND);
    }
    lab.start(2, 3);
    lab.pass(8 * SECOND);
    assert_eq!(lab.replica(2).store().len(), lab.replica(1).store().len());
    assert!(lab.replica(2).store().len() >= 50 && lab.equal());
}

#[test]
fn an_answer_that_is_read_after_the_deadline_grants_nothing() {
    let lab = Lab::new(5, 7);
    let me = member(0);
    let mut owner = Replica::new(lab.settings(0, 5), lab.now).expect("settings");
    // A request of a range that it does not hold itself.
    let ranges = dewladder_replica::Ranges::new(&(0..5).map(member).collect::<Vec<_>>(), 3);
    let ids = (0..100).map(|key| RecordId::of("t", &format!("k{key}")));
    let id = ids.into_iter().find(|id| !ranges.holders(dewladder_replica::Ranges::of(*id)).contains(&me));
    let id = id.expect("one of another range");
    let holders = ranges.holders(dewladder_replica::Ranges::of(id));
    let mut effects = Vec::new();
    let deadline = lab.now + 900 * MS;
    owner.handle(lab.now, Event::Offer { ticket: Ticket(1), id, deadline }, &mut effects);
    let attempt = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::Offer { attempt, .. }, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("it asks");
    let held = |from| Event::Heard { from, message: Message::Held { id, attempt } };
    owner.handle(lab.now + MS, held(holders[0]), &mut effects);
    // It stands still, and reads the second answer before any tick.
    owner.handle(lab.now + 30 * SECOND, held(holders[1]), &mut effects);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Granted(_))), "granted after its time");
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Denied(_, Denied::NoQuorum))));
}

#[test]
fn a_bucket_of_more_records_than_go_at_once_is_caught_up_with_too() {
    let mut lab = Lab::new(3, 12);
    lab.kill(2);
    let attempt = dewladder_replica::AttemptId { owner: member(0), life: 1, number: 1 };
    let record = dewladder_replica::Record::new(attempt, RAN, lab.now + 500 * SECOND);
    for number in 0..700u16 {
        let [high, low] = number.to_be_bytes();
        // All of one range and one bucket.
        let id = RecordId([0, 0, high, low, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        for at in 0..2 {
            let message = Message::Put { number: 0, records: vec![(id, record.clone())] };
            lab.step(at, Event::Heard { from: member(2), message });
        }
    }
    lab.start(2, 3);
    lab.pass(20 * SECOND);
    assert_eq!((lab.replica(2).store().len(), lab.replica(2).behind()), (700, 0));
}
