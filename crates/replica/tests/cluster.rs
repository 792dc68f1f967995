//! Instances in virtual time, under loss, deaths with and without return, pauses and cuts: no request that must not run
//! twice is granted twice while the first may execute, copies become equal, and expired records do not come back.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;
use dewladder_replica::{
    Denial, Effect, Event, Message, Micros, OfferId, Outcome, RecordId, Replica, RequestStatus, ServerStatus,
    Settings, Stage,
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
    incarnation: u64,
    paused: Option<Vec<Event>>,
}

struct Simulation {
    now: Micros,
    nodes: Vec<Node>,
    due: BTreeMap<(Micros, u64), (usize, u64, Option<Event>)>,
    numbers: u64,
    cuts: BTreeSet<(usize, usize)>,
    loss: f64,
    rng: Pcg64Mcg,
    /// Grants by offer, when, and denials.
    granted: BTreeMap<u64, usize>,
    denied: BTreeMap<u64, Denial>,
    largest: usize,
}

impl Simulation {
    fn new(count: usize, seed: u64) -> Self {
        let mut simulation = Self {
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
            simulation.nodes.push(Node { replica: None, incarnation: 0, paused: None });
            simulation.start(at, count);
        }
        simulation.pass(4 * SECOND);
        assert!(
            (0..count).all(|at| simulation.replica(at).ranges_behind() == 0),
            "seed {seed}: all have caught up"
        );
        simulation
    }

    fn settings(&self, at: usize, count: usize) -> Settings {
        Settings {
            own_id: member(at),
            incarnation: self.now,
            members: (0..count).map(member).collect(),
            copies: 3,
            quorum: 2,
            retention: 600 * SECOND,
            max_records: 10_000,
            max_hints: 10_000,
            settle_time: SECOND,
            retry_after: 50 * MS,
            compare_interval: 100 * MS,
        }
    }

    fn start(&mut self, at: usize, count: usize) {
        let replica = Replica::new(self.settings(at, count), self.now).expect("settings");
        let node = &mut self.nodes[at];
        (node.replica, node.paused) = (Some(replica), None);
        node.incarnation += 1;
        let incarnation = node.incarnation;
        let first = self.rng.next_u64() % TICK;
        self.push(self.now + first, at, incarnation, None);
        self.tell_up();
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].replica = None;
        self.nodes[at].incarnation += 1;
        self.tell_up();
    }

    /// Tells all instances which others are up, as membership would, but at once.
    fn tell_up(&mut self) {
        let up: BTreeSet<MemberId> =
            (0..self.nodes.len()).filter(|&at| self.nodes[at].replica.is_some()).map(member).collect();
        for at in 0..self.nodes.len() {
            let mut others = up.clone();
            others.remove(&member(at));
            self.step(at, Event::MembersUp(others));
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

    fn push(&mut self, when: Micros, at: usize, incarnation: u64, event: Option<Event>) {
        self.numbers += 1;
        self.due.insert((when, self.numbers), (at, incarnation, event));
    }

    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), (at, incarnation, event)) = entry.remove_entry();
            self.now = now;
            match event {
                None if self.nodes[at].incarnation != incarnation => {}
                None => {
                    self.push(now + TICK, at, incarnation, None);
                    if self.nodes[at].paused.is_none() {
                        self.step(at, Event::Tick);
                    }
                }
                Some(event) => self.step(at, event),
            }
        }
        self.now = end;
    }

    fn offer(&mut self, at: usize, offer: u64, key: &str) {
        let deadline = self.now + 900 * MS;
        self.step(at, Event::Offer { offer: OfferId(offer), id: RecordId::of("t", key), deadline });
    }

    fn ended(&mut self, at: usize, offer: u64, stage: Stage) {
        self.step(at, Event::Finished { offer: OfferId(offer), stage });
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
                Effect::Granted(OfferId(offer)) => {
                    assert!(self.granted.insert(offer, at).is_none(), "ticket {offer} is granted once");
                }
                Effect::Denied(OfferId(offer), why) => {
                    assert!(self.denied.insert(offer, why).is_none(), "ticket {offer} is denied once");
                }
                Effect::CaughtUp(_) | Effect::NoteReceived(_) => {}
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
        let event = Event::MessageReceived { from: member(from), message };
        self.push(self.now + delay, to, 0, Some(event));
    }

    /// The copies of each range are the same at all of its holders that run, and each record is one of them.
    fn copies_are_equal(&self) -> bool {
        let mut copies: BTreeMap<RecordId, Vec<(usize, RequestStatus)>> = BTreeMap::new();
        for (at, node) in self.nodes.iter().enumerate() {
            for (id, record) in node.replica.iter().flat_map(|replica| replica.store().iter()) {
                copies.entry(id).or_default().push((at, record.status()));
            }
        }
        copies.values().all(|held| held.len() == 3 && held.iter().all(|(_, verdict)| *verdict == held[0].1))
    }
}

const RAN: Stage = Stage::Executed(Outcome { complete: true, digest: 5 });

#[test]
fn a_retry_after_the_death_of_its_instance_is_never_granted_while_the_first_may_have_executed() {
    let (mut granted, mut retries) = (0, 0);
    for seed in 0..1_000 {
        let mut simulation = Simulation::new(5, seed);
        simulation.loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let (first, second) = (seed as usize % 5, (seed as usize + 1 + seed as usize / 5 % 4) % 5);
        simulation.offer(first, 1, "a");
        // Killed anywhere from before the first answer to long after the last.
        let lived = simulation.rng.next_u64() % (20 * MS);
        simulation.pass(lived);
        simulation.kill(first);
        if seed % 2 == 0 {
            // Comes back with nothing kept, as may one that holds its record.
            simulation.start(first, 5);
        }
        if seed % 7 == 0 {
            let holder = (second + 1) % 5;
            simulation.kill(holder);
            simulation.start(holder, 5);
        }
        for retry in 0..4 {
            simulation.offer(second, 10 + retry, "a");
            simulation.pass(SECOND);
        }
        let ran = simulation.granted.contains_key(&1);
        let again = simulation.granted.keys().filter(|offer| **offer >= 10).count();
        assert!(!(ran && again > 0) && again <= 1, "seed {seed}: granted {:?}", simulation.granted);
        granted += usize::from(ran);
        retries += again;
    }
    assert!(
        granted > 300 && retries > 50,
        "{granted} granted before the death, {retries} retries: both happen"
    );
}

#[test]
fn a_paused_owner_is_not_granted_what_another_was_granted_meanwhile() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(5, seed);
        let (first, second) = (seed as usize % 5, (seed as usize + 2) % 5);
        simulation.offer(first, 1, "a");
        let lived = simulation.rng.next_u64() % (6 * MS);
        simulation.pass(lived);
        simulation.pause(first);
        // All that hold something start anew, one after the other, and catch up.
        for at in (0..5).filter(|&at| at != first) {
            simulation.kill(at);
            simulation.start(at, 5);
            simulation.pass(3 * SECOND);
        }
        simulation.offer(second, 2, "a");
        simulation.pass(SECOND);
        simulation.wake(first);
        simulation.pass(2 * SECOND);
        let both = simulation.granted.contains_key(&1) && simulation.granted.contains_key(&2);
        assert!(!both, "seed {seed}: granted at both");
    }
}

#[test]
fn two_sides_of_a_partition_never_grant_the_same_request_and_their_copies_become_equal() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(5, seed);
        simulation.partition(&[0, 1], true);
        for key in 0..20u64 {
            simulation.offer(key as usize % 2, 100 + key, &format!("k{key}"));
            simulation.offer(2 + key as usize % 3, 200 + key, &format!("k{key}"));
        }
        simulation.pass(2 * SECOND);
        let mut one_side = 0;
        for key in 0..20 {
            let sides = [100 + key, 200 + key].map(|offer| simulation.granted.contains_key(&offer));
            assert_ne!(sides, [true, true], "seed {seed}, key {key}");
            one_side += usize::from(sides[0] || sides[1]);
        }
        assert_eq!(one_side, 20, "one side has two of three holders");
        let ended: Vec<(u64, usize)> = simulation.granted.iter().map(|(&offer, &at)| (offer, at)).collect();
        for (offer, at) in ended {
            simulation.ended(at, offer, RAN);
        }
        simulation.partition(&[0, 1], false);
        simulation.pass(20 * SECOND);
        assert!(simulation.copies_are_equal(), "seed {seed}: the copies are equal");
        let open = simulation.nodes.iter().flat_map(|node| node.replica.iter());
        let open = open.flat_map(|replica| replica.store().iter());
        assert_eq!(
            open.filter(|(_, record)| record.status() == RequestStatus::Open).count(),
            0,
            "seed {seed}"
        );
        // A finished one is not granted anywhere.
        for at in 0..5 {
            simulation.offer(at, 300 + at as u64, "k7");
        }
        simulation.pass(SECOND);
        assert!((300..305).all(|offer| !simulation.granted.contains_key(&offer)), "seed {seed}");
    }
}

#[test]
fn an_instance_that_returns_catches_up_and_accepts_no_offers_until_then() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(3, seed);
        simulation.kill(2);
        for key in 0..300 {
            simulation.offer(0, key, &format!("k{key}"));
            simulation.pass(10 * MS);
            simulation.ended(0, key, RAN);
        }
        simulation.pass(30 * SECOND);
        assert_eq!(simulation.granted.len(), 300, "two of three are a quorum");
        simulation.start(2, 3);
        // It alone could make up a quorum with neither: both others are cut off from each other's clients.
        simulation.offer(2, 1_000, "k5");
        simulation.pass(100 * MS);
        assert!(!simulation.granted.contains_key(&1_000));
        assert!(simulation.replica(2).ranges_behind() > 0);
        simulation.pass(5 * SECOND);
        assert_eq!(
            (simulation.replica(2).ranges_behind(), simulation.replica(2).store().len()),
            (0, 300),
            "seed {seed}"
        );
        assert!(simulation.copies_are_equal(), "seed {seed}");
        assert_eq!(simulation.replica(0).hints(), 0, "what was kept for it has been handed over");
    }
}

#[test]
fn a_request_without_a_quorum_is_denied_in_time_and_may_be_granted_later() {
    let mut simulation = Simulation::new(3, 1);
    simulation.kill(1);
    simulation.kill(2);
    simulation.offer(0, 1, "a");
    simulation.pass(SECOND);
    assert_eq!(simulation.denied.get(&1), Some(&Denial::NoQuorum));
    simulation.start(1, 3);
    simulation.start(2, 3);
    simulation.pass(5 * SECOND);
    simulation.offer(1, 2, "a");
    simulation.pass(SECOND);
    assert!(
        simulation.granted.contains_key(&2),
        "the first is known never to have run: {:?}",
        simulation.denied
    );
}

#[test]
fn an_expired_record_is_forgotten_by_all_and_is_not_brought_back_by_an_instance_that_returns() {
    let mut simulation = Simulation::new(3, 4);
    simulation.offer(0, 1, "a");
    simulation.pass(100 * MS);
    simulation.ended(0, 1, RAN);
    simulation.pass(SECOND);
    simulation.pause(2);
    simulation.pass(700 * SECOND);
    assert!((0..2).all(|at| simulation.replica(at).store().is_empty()));
    simulation.wake(2);
    for _ in 0..100 {
        simulation.pass(100 * MS);
        assert!((0..2).all(|at| simulation.replica(at).store().is_empty()), "brought back");
    }
    assert!(simulation.replica(2).store().is_empty());
}

#[test]
fn notes_reach_all_instances_and_the_last_writer_wins() {
    for seed in 0..50 {
        let mut simulation = Simulation::new(5, seed);
        simulation.loss = 0.3;
        simulation.step(
            0,
            Event::ServerStatusLearned {
                server: 7,
                status: ServerStatus::SlowStartSince(5),
                valid_for: 60 * SECOND,
            },
        );
        simulation.pass(SECOND);
        simulation.step(
            3,
            Event::ServerStatusLearned { server: 7, status: ServerStatus::Draining, valid_for: 60 * SECOND },
        );
        simulation.pass(15 * SECOND);
        assert!(
            (0..5).all(|at| simulation.replica(at).notes().status(7) == ServerStatus::Draining),
            "seed {seed}"
        );
        simulation.pass(60 * SECOND);
        assert!(
            (0..5).all(|at| simulation.replica(at).notes().status(7) == ServerStatus::Cleared),
            "seed {seed}: over"
        );
    }
}

#[test]
fn messages_fit_into_datagrams() {
    let mut simulation = Simulation::new(3, 6);
    for key in 0..400 {
        for retry in 0..3 {
            simulation.offer(0, key * 10 + retry, &format!("k{key}"));
            simulation.pass(8 * MS);
            simulation.ended(0, key * 10 + retry, Stage::NeverExecuted);
        }
    }
    simulation.kill(2);
    simulation.start(2, 3);
    simulation.pass(8 * SECOND);
    assert!(simulation.replica(2).store().len() > 300, "{}", simulation.replica(2).store().len());
    assert!(simulation.largest > 500 && simulation.largest <= 1_300, "{} bytes", simulation.largest);
}

#[test]
fn an_instance_that_has_started_is_behind_until_offers_of_its_last_incarnation_are_over() {
    let mut simulation = Simulation::new(3, 9);
    simulation.kill(2);
    simulation.start(2, 3);
    simulation.pass(950 * MS); // offers last a second
    assert!(simulation.replica(2).ranges_behind() > 0);
    simulation.pass(3 * SECOND);
    assert_eq!(simulation.replica(2).ranges_behind(), 0);
}

#[test]
fn a_record_whose_hint_was_dropped_is_brought_by_repair() {
    let mut simulation = Simulation::new(3, 8);
    simulation.kill(2);
    for key in 0..50 {
        simulation.offer(0, key, &format!("k{key}"));
        simulation.pass(10 * MS);
        simulation.ended(0, key, RAN);
    }
    // Those that kept hints for it start anew, one after the other.
    for at in [0, 1] {
        simulation.kill(at);
        simulation.start(at, 3);
        simulation.pass(4 * SECOND);
    }
    simulation.start(2, 3);
    simulation.pass(8 * SECOND);
    assert_eq!(simulation.replica(2).store().len(), simulation.replica(1).store().len());
    assert!(simulation.replica(2).store().len() >= 50 && simulation.copies_are_equal());
}

#[test]
fn an_answer_received_after_the_deadline_grants_nothing() {
    let simulation = Simulation::new(5, 7);
    let me = member(0);
    let mut owner = Replica::new(simulation.settings(0, 5), simulation.now).expect("settings");
    // A request of a range that it does not hold itself.
    let ranges = dewladder_replica::Placement::new(&(0..5).map(member).collect::<Vec<_>>(), 3);
    let ids = (0..100).map(|key| RecordId::of("t", &format!("k{key}")));
    let id =
        ids.into_iter().find(|id| !ranges.holders(dewladder_replica::Placement::range_of(*id)).contains(&me));
    let id = id.expect("one of another range");
    let holders = ranges.holders(dewladder_replica::Placement::range_of(id));
    let mut effects = Vec::new();
    let deadline = simulation.now + 900 * MS;
    owner.handle(simulation.now, Event::Offer { offer: OfferId(1), id, deadline }, &mut effects);
    let attempt = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::Offer { attempt, .. }, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("it asks");
    let held = |from| Event::MessageReceived { from, message: Message::OfferAccepted { id, attempt } };
    owner.handle(simulation.now + MS, held(holders[0]), &mut effects);
    // It stands still, and reads the second answer before any tick.
    owner.handle(simulation.now + 30 * SECOND, held(holders[1]), &mut effects);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Granted(_))), "granted after its time");
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Denied(_, Denial::NoQuorum))));
}

#[test]
fn a_bucket_of_more_records_than_are_sent_at_once_is_caught_up_with() {
    let mut simulation = Simulation::new(3, 12);
    simulation.kill(2);
    let attempt = dewladder_replica::AttemptId { owner: member(0), incarnation: 1, number: 1 };
    let record = dewladder_replica::Record::new(attempt, RAN, simulation.now + 500 * SECOND);
    for number in 0..700u16 {
        let [high, low] = number.to_be_bytes();
        // All of one range and one bucket.
        let id = RecordId([0, 0, high, low, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        for at in 0..2 {
            let message = Message::Write { number: 0, records: vec![(id, record.clone())] };
            simulation.step(at, Event::MessageReceived { from: member(2), message });
        }
    }
    simulation.start(2, 3);
    simulation.pass(20 * SECOND);
    assert_eq!((simulation.replica(2).store().len(), simulation.replica(2).ranges_behind()), (700, 0));
}
