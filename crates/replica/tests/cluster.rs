//! Simulates instances in virtual time, with message loss, kills, restarts, pauses and network partitions. The tests
//! check that no at-most-once request is granted a second attempt while the first may execute, that the copies of a
//! record become equal, and that expired records are not restored.

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

fn member(index: usize) -> MemberId {
    MemberId::of(&format!("n{index}"))
}

/// An instance of the simulated cluster.
struct Node {
    /// `None` after a kill.
    replica: Option<Replica>,
    /// Counts starts and kills. Queued ticks of an earlier incarnation are dropped; messages are not.
    incarnation: u64,
    /// While the process is paused, the events that have arrived meanwhile.
    paused: Option<Vec<Event>>,
}

/// A cluster in virtual time.
struct Simulation {
    now: Micros,
    nodes: Vec<Node>,
    /// Events by their time and a sequence number: the node, its incarnation, and the event; `None` is a tick.
    queue: BTreeMap<(Micros, u64), (usize, u64, Option<Event>)>,
    /// The last sequence number in `queue`.
    queued: u64,
    /// Pairs of sender and receiver between which all messages are lost.
    cut_links: BTreeSet<(usize, usize)>,
    /// The share of messages that are lost at random.
    loss: f64,
    rng: Pcg64Mcg,
    /// Granted offers, with the node that made each.
    granted: BTreeMap<u64, usize>,
    /// Denied offers.
    denied: BTreeMap<u64, Denial>,
    /// The size of the largest message sent (bytes).
    largest: usize,
}

impl Simulation {
    /// Starts `count` instances, and waits until they have caught up.
    fn new(count: usize, seed: u64) -> Self {
        let mut simulation = Self {
            now: 1_000 * SECOND,
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
            cut_links: BTreeSet::new(),
            loss: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            granted: BTreeMap::new(),
            denied: BTreeMap::new(),
            largest: 0,
        };
        for index in 0..count {
            simulation.nodes.push(Node { replica: None, incarnation: 0, paused: None });
            simulation.start(index, count);
        }
        simulation.advance(4 * SECOND);
        assert!(
            (0..count).all(|index| simulation.replica(index).ranges_behind() == 0),
            "seed {seed}: an instance has not caught up"
        );
        simulation
    }

    fn settings(&self, index: usize, count: usize) -> Settings {
        Settings {
            own_id: member(index),
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

    /// Starts an instance without records. Its first tick comes at a random time within a tick interval.
    fn start(&mut self, index: usize, count: usize) {
        let replica = Replica::new(self.settings(index, count), self.now).expect("valid settings");
        let node = &mut self.nodes[index];
        (node.replica, node.paused) = (Some(replica), None);
        node.incarnation += 1;
        let incarnation = node.incarnation;
        let first = self.rng.next_u64() % TICK;
        self.push(self.now + first, index, incarnation, None);
        self.update_members_up();
    }

    /// Kills an instance: it loses its records.
    fn kill(&mut self, index: usize) {
        self.nodes[index].replica = None;
        self.nodes[index].incarnation += 1;
        self.update_members_up();
    }

    /// Tells all instances which others are up, as membership would, but without delay.
    fn update_members_up(&mut self) {
        let up: BTreeSet<MemberId> =
            (0..self.nodes.len()).filter(|&index| self.nodes[index].replica.is_some()).map(member).collect();
        for index in 0..self.nodes.len() {
            let mut others = up.clone();
            others.remove(&member(index));
            self.step(index, Event::MembersUp(others));
        }
    }

    /// Pauses the process of an instance: it handles no events until it is resumed.
    fn pause(&mut self, index: usize) {
        self.nodes[index].paused = Some(Vec::new());
    }

    /// Resumes a paused instance: it handles the events that have arrived meanwhile, and then a tick.
    fn resume(&mut self, index: usize) {
        for event in self.nodes[index].paused.take().unwrap_or_default() {
            self.step(index, event);
        }
        self.step(index, Event::Tick);
    }

    /// Cuts all links between the nodes of `side` and the others, or restores them if `cut` is false.
    fn partition(&mut self, side: &[usize], cut: bool) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if side.contains(&a) != side.contains(&b) {
                    if cut {
                        self.cut_links.insert((a, b));
                    } else {
                        self.cut_links.remove(&(a, b));
                    }
                }
            }
        }
    }

    fn replica(&self, index: usize) -> &Replica {
        self.nodes[index].replica.as_ref().expect("the instance was killed")
    }

    /// Queues an event for an instance, or a tick.
    fn push(&mut self, when: Micros, index: usize, incarnation: u64, event: Option<Event>) {
        self.queued += 1;
        self.queue.insert((when, self.queued), (index, incarnation, event));
    }

    /// Advances the virtual time, and handles all events that are due.
    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), (index, incarnation, event)) = entry.remove_entry();
            self.now = now;
            match event {
                None if self.nodes[index].incarnation != incarnation => {}
                None => {
                    self.push(now + TICK, index, incarnation, None);
                    if self.nodes[index].paused.is_none() {
                        self.step(index, Event::Tick);
                    }
                }
                Some(event) => self.step(index, event),
            }
        }
        self.now = end;
    }

    /// Has an instance offer the request with this idempotency key.
    fn offer(&mut self, index: usize, offer: u64, key: &str) {
        let deadline = self.now + 900 * MS;
        self.step(index, Event::Offer { offer: OfferId(offer), id: RecordId::of("t", key), deadline });
    }

    /// Reports the final stage of a granted offer's attempt to its instance.
    fn finished(&mut self, index: usize, offer: u64, stage: Stage) {
        self.step(index, Event::Finished { offer: OfferId(offer), stage });
    }

    /// Hands an event to an instance, and carries out the effects.
    fn step(&mut self, index: usize, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(waiting) = &mut node.paused {
            return waiting.push(event);
        }
        let Some(replica) = &mut node.replica else { return };
        let mut effects = Vec::new();
        replica.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(index, to, message),
                Effect::Granted(OfferId(offer)) => {
                    assert!(self.granted.insert(offer, index).is_none(), "offer {offer} is granted twice");
                }
                Effect::Denied(OfferId(offer), denial) => {
                    assert!(self.denied.insert(offer, denial).is_none(), "offer {offer} is denied twice");
                }
                Effect::CaughtUp(_) | Effect::NoteReceived(_) => {}
            }
        }
    }

    /// Sends a message that arrives after a random delay, unless it is lost.
    fn send(&mut self, from: usize, to: MemberId, message: Message) {
        let bytes = postcard::to_allocvec(&message).expect("a message can be encoded");
        self.largest = self.largest.max(bytes.len());
        let to = (0..self.nodes.len()).find(|&index| member(index) == to).expect("a member");
        let draw = self.rng.next_u64() as f64 / u64::MAX as f64;
        if draw < self.loss || self.cut_links.contains(&(from, to)) {
            return;
        }
        let delay = 200 + self.rng.next_u64() % (3 * MS);
        let event = Event::MessageReceived { from: member(from), message };
        self.push(self.now + delay, to, 0, Some(event));
    }

    /// Whether each record has three copies at instances that are up, all with the same status.
    fn copies_are_equal(&self) -> bool {
        let mut copies: BTreeMap<RecordId, Vec<(usize, RequestStatus)>> = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            for (id, record) in node.replica.iter().flat_map(|replica| replica.store().iter()) {
                copies.entry(id).or_default().push((index, record.status()));
            }
        }
        copies.values().all(|held| held.len() == 3 && held.iter().all(|(_, state)| *state == held[0].1))
    }
}

const EXECUTED: Stage = Stage::Executed(Outcome { complete: true, digest: 5 });

#[test]
fn a_retry_is_not_granted_if_the_attempt_of_a_killed_instance_was_granted() {
    let (mut granted, mut retries) = (0, 0);
    for seed in 0..1_000 {
        let mut simulation = Simulation::new(5, seed);
        simulation.loss = [0.0, 0.1, 0.3][seed as usize % 3];
        let (first, second) = (seed as usize % 5, (seed as usize + 1 + seed as usize / 5 % 4) % 5);
        simulation.offer(first, 1, "a");
        // The instance is killed at a random time, from before the first answer of a holder to long after the last.
        let elapsed = simulation.rng.next_u64() % (20 * MS);
        simulation.advance(elapsed);
        simulation.kill(first);
        if seed % 2 == 0 {
            // The instance restarts without its records, as another possible holder of the record does below.
            simulation.start(first, 5);
        }
        if seed % 7 == 0 {
            let holder = (second + 1) % 5;
            simulation.kill(holder);
            simulation.start(holder, 5);
        }
        for retry in 0..4 {
            simulation.offer(second, 10 + retry, "a");
            simulation.advance(SECOND);
        }
        let may_run = simulation.granted.contains_key(&1);
        let retried = simulation.granted.keys().filter(|offer| **offer >= 10).count();
        assert!(!(may_run && retried > 0) && retried <= 1, "seed {seed}: granted {:?}", simulation.granted);
        granted += usize::from(may_run);
        retries += retried;
    }
    assert!(
        granted > 300 && retries > 50,
        "only {granted} offers granted before the kill and {retries} retries granted: one case is hardly tested"
    );
}

#[test]
fn a_paused_instance_is_not_granted_a_request_that_another_was_granted_meanwhile() {
    for seed in 0..200 {
        let mut simulation = Simulation::new(5, seed);
        let (first, second) = (seed as usize % 5, (seed as usize + 2) % 5);
        simulation.offer(first, 1, "a");
        let elapsed = simulation.rng.next_u64() % (6 * MS);
        simulation.advance(elapsed);
        simulation.pause(first);
        // All others restart without their records, one after the other, and catch up.
        for index in (0..5).filter(|&index| index != first) {
            simulation.kill(index);
            simulation.start(index, 5);
            simulation.advance(3 * SECOND);
        }
        simulation.offer(second, 2, "a");
        simulation.advance(SECOND);
        simulation.resume(first);
        simulation.advance(2 * SECOND);
        let granted_at_both = simulation.granted.contains_key(&1) && simulation.granted.contains_key(&2);
        assert!(!granted_at_both, "seed {seed}: granted at both instances");
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
        simulation.advance(2 * SECOND);
        let mut granted_on_one_side = 0;
        for key in 0..20 {
            let sides = [100 + key, 200 + key].map(|offer| simulation.granted.contains_key(&offer));
            assert_ne!(sides, [true, true], "seed {seed}, key {key}");
            granted_on_one_side += usize::from(sides[0] || sides[1]);
        }
        assert_eq!(granted_on_one_side, 20, "one side has two of the three holders and grants");
        let finished: Vec<(u64, usize)> =
            simulation.granted.iter().map(|(&offer, &index)| (offer, index)).collect();
        for (offer, index) in finished {
            simulation.finished(index, offer, EXECUTED);
        }
        simulation.partition(&[0, 1], false);
        simulation.advance(20 * SECOND);
        assert!(simulation.copies_are_equal(), "seed {seed}: the copies differ");
        let stored = simulation.nodes.iter().flat_map(|node| node.replica.iter());
        let stored = stored.flat_map(|replica| replica.store().iter());
        assert_eq!(
            stored.filter(|(_, record)| record.status() == RequestStatus::Open).count(),
            0,
            "seed {seed}"
        );
        // An executed request is not granted again at any instance.
        for index in 0..5 {
            simulation.offer(index, 300 + index as u64, "k7");
        }
        simulation.advance(SECOND);
        assert!((300..305).all(|offer| !simulation.granted.contains_key(&offer)), "seed {seed}");
    }
}

#[test]
fn a_restarted_instance_accepts_no_offers_until_it_has_caught_up() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(3, seed);
        simulation.kill(2);
        for key in 0..300 {
            simulation.offer(0, key, &format!("k{key}"));
            simulation.advance(10 * MS);
            simulation.finished(0, key, EXECUTED);
        }
        simulation.advance(30 * SECOND);
        assert_eq!(simulation.granted.len(), 300, "two of three holders are a quorum");
        simulation.start(2, 3);
        // The restarted instance does not know that k5 has executed, and must not grant it.
        simulation.offer(2, 1_000, "k5");
        simulation.advance(100 * MS);
        assert!(!simulation.granted.contains_key(&1_000));
        assert!(simulation.replica(2).ranges_behind() > 0);
        simulation.advance(5 * SECOND);
        assert_eq!(
            (simulation.replica(2).ranges_behind(), simulation.replica(2).store().len()),
            (0, 300),
            "seed {seed}"
        );
        assert!(simulation.copies_are_equal(), "seed {seed}");
        assert_eq!(simulation.replica(0).hints(), 0, "all hints have been handed over");
    }
}

#[test]
fn a_request_without_a_quorum_is_denied_in_time_and_may_be_granted_later() {
    let mut simulation = Simulation::new(3, 1);
    simulation.kill(1);
    simulation.kill(2);
    simulation.offer(0, 1, "a");
    simulation.advance(SECOND);
    assert_eq!(simulation.denied.get(&1), Some(&Denial::NoQuorum));
    simulation.start(1, 3);
    simulation.start(2, 3);
    simulation.advance(5 * SECOND);
    simulation.offer(1, 2, "a");
    simulation.advance(SECOND);
    assert!(
        simulation.granted.contains_key(&2),
        "the first attempt is known never to have executed: {:?}",
        simulation.denied
    );
}

#[test]
fn an_expired_record_is_dropped_everywhere_and_not_restored_by_a_resumed_instance() {
    let mut simulation = Simulation::new(3, 4);
    simulation.offer(0, 1, "a");
    simulation.advance(100 * MS);
    simulation.finished(0, 1, EXECUTED);
    simulation.advance(SECOND);
    simulation.pause(2);
    simulation.advance(700 * SECOND);
    assert!((0..2).all(|index| simulation.replica(index).store().is_empty()));
    simulation.resume(2);
    for _ in 0..100 {
        simulation.advance(100 * MS);
        assert!((0..2).all(|index| simulation.replica(index).store().is_empty()), "was restored");
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
        simulation.advance(SECOND);
        simulation.step(
            3,
            Event::ServerStatusLearned { server: 7, status: ServerStatus::Draining, valid_for: 60 * SECOND },
        );
        simulation.advance(15 * SECOND);
        assert!(
            (0..5).all(|index| simulation.replica(index).notes().status(7) == ServerStatus::Draining),
            "seed {seed}"
        );
        simulation.advance(60 * SECOND);
        assert!(
            (0..5).all(|index| simulation.replica(index).notes().status(7) == ServerStatus::Cleared),
            "seed {seed}: the note has not expired"
        );
    }
}

#[test]
fn messages_fit_into_datagrams() {
    let mut simulation = Simulation::new(3, 6);
    for key in 0..400 {
        for retry in 0..3 {
            simulation.offer(0, key * 10 + retry, &format!("k{key}"));
            simulation.advance(8 * MS);
            simulation.finished(0, key * 10 + retry, Stage::NeverExecuted);
        }
    }
    simulation.kill(2);
    simulation.start(2, 3);
    simulation.advance(8 * SECOND);
    assert!(simulation.replica(2).store().len() > 300, "{}", simulation.replica(2).store().len());
    assert!(simulation.largest > 500 && simulation.largest <= 1_300, "{} bytes", simulation.largest);
}

#[test]
fn a_restarted_instance_stays_behind_until_offers_of_its_last_incarnation_are_decided() {
    let mut simulation = Simulation::new(3, 9);
    simulation.kill(2);
    simulation.start(2, 3);
    simulation.advance(950 * MS); // less than the settle time, which is the longest that an offer lasts
    assert!(simulation.replica(2).ranges_behind() > 0);
    simulation.advance(3 * SECOND);
    assert_eq!(simulation.replica(2).ranges_behind(), 0);
}

#[test]
fn repair_delivers_a_record_whose_hints_were_lost() {
    let mut simulation = Simulation::new(3, 8);
    simulation.kill(2);
    for key in 0..50 {
        simulation.offer(0, key, &format!("k{key}"));
        simulation.advance(10 * MS);
        simulation.finished(0, key, EXECUTED);
    }
    // The instances that keep hints for instance 2 restart one after the other, and lose them.
    for index in [0, 1] {
        simulation.kill(index);
        simulation.start(index, 3);
        simulation.advance(4 * SECOND);
    }
    simulation.start(2, 3);
    simulation.advance(8 * SECOND);
    assert_eq!(simulation.replica(2).store().len(), simulation.replica(1).store().len());
    assert!(simulation.replica(2).store().len() >= 50 && simulation.copies_are_equal());
}

#[test]
fn an_answer_received_after_the_deadline_grants_nothing() {
    let simulation = Simulation::new(5, 7);
    let me = member(0);
    let mut owner = Replica::new(simulation.settings(0, 5), simulation.now).expect("valid settings");
    // A request of a range that the owner does not hold itself.
    let placement = dewladder_replica::Placement::new(&(0..5).map(member).collect::<Vec<_>>(), 3);
    let ids = (0..100).map(|key| RecordId::of("t", &format!("k{key}")));
    let id = ids
        .into_iter()
        .find(|id| !placement.holders(dewladder_replica::Placement::range_of(*id)).contains(&me));
    let id = id.expect("a request of another range");
    let holders = placement.holders(dewladder_replica::Placement::range_of(id));
    let mut effects = Vec::new();
    let deadline = simulation.now + 900 * MS;
    owner.handle(simulation.now, Event::Offer { offer: OfferId(1), id, deadline }, &mut effects);
    let attempt = effects.iter().find_map(|effect| match effect {
        Effect::Send { message: Message::Offer { attempt, .. }, .. } => Some(*attempt),
        _ => None,
    });
    let attempt = attempt.expect("the owner asks the holders");
    let held = |from| Event::MessageReceived { from, message: Message::OfferAccepted { id, attempt } };
    owner.handle(simulation.now + MS, held(holders[0]), &mut effects);
    // The owner is paused, and receives the second answer before its next tick.
    owner.handle(simulation.now + 30 * SECOND, held(holders[1]), &mut effects);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Granted(_))), "granted after the deadline");
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Denied(_, Denial::NoQuorum))));
}

#[test]
fn a_bucket_with_more_records_than_one_answer_carries_is_caught_up_with() {
    let mut simulation = Simulation::new(3, 12);
    simulation.kill(2);
    let attempt = dewladder_replica::AttemptId { owner: member(0), incarnation: 1, number: 1 };
    let record = dewladder_replica::Record::new(attempt, EXECUTED, simulation.now + 500 * SECOND);
    for number in 0..700u16 {
        let [high, low] = number.to_be_bytes();
        // All records are in the same range and bucket.
        let id = RecordId([0, 0, high, low, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
        for index in 0..2 {
            let message = Message::Write { number: 0, records: vec![(id, record.clone())] };
            simulation.step(index, Event::MessageReceived { from: member(2), message });
        }
    }
    simulation.start(2, 3);
    simulation.advance(20 * SECOND);
    assert_eq!((simulation.replica(2).store().len(), simulation.replica(2).ranges_behind()), (700, 0));
}
