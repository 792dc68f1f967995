//! Guards against unintended changes of behaviour: five instances decide about random offers, with message loss, a
//! network partition and restarts that lose all records, from fixed seeds. The golden file has counts and a digest of
//! all messages, in order and byte for byte, and of all answers. A refactoring must not change it.

use std::collections::{BTreeSet, VecDeque};

use dewladder_membership::MemberId;
use dewladder_replica::{
    Denial, Effect, Event, Micros, OfferId, Outcome, RecordId, Replica, RequestStatus, ServerStatus,
    Settings, Stage,
};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use sha2::{Digest as _, Sha256};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const START: Micros = 1_000 * SECOND;
const INSTANCES: usize = 5;

fn member(index: usize) -> MemberId {
    MemberId::of(&format!("n{index}"))
}

fn new_replica(index: usize, now: Micros) -> Replica {
    let settings = Settings {
        own_id: member(index),
        incarnation: now,
        members: (0..INSTANCES).map(member).collect(),
        copies: 3,
        quorum: 2,
        retention: 60 * SECOND,
        max_records: 400,
        max_hints: 15,
        settle_time: SECOND,
        retry_after: 50 * MS,
        compare_interval: 100 * MS,
    };
    Replica::new(settings, now).expect("valid settings")
}

/// Five instances with random events, and a digest of their effects.
struct Scenario {
    rng: Pcg64Mcg,
    now: Micros,
    replicas: Vec<Replica>,
    hash: Sha256,
    /// Number of messages sent.
    messages: u64,
    /// Number of offers made, and the id of the last one.
    offers: u64,
    /// Offers that were granted and are not finished, with the instance that made each.
    open_offers: Vec<(usize, OfferId)>,
    /// Number of answers of each kind, see [`Self::record_answer`].
    answers: [u64; 7],
}

impl Scenario {
    fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            replicas: (0..INSTANCES).map(|index| new_replica(index, START)).collect(),
            hash: Sha256::new(),
            messages: 0,
            offers: 0,
            open_offers: Vec::new(),
            answers: [0; 7],
        }
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    /// A tenth of all messages is lost, and during a partition all messages between its sides.
    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let cut = (START + 20 * SECOND..START + 30 * SECOND).contains(&self.now) && (from < 2) != (to < 2);
        self.random_below(10) == 0 || cut
    }

    /// Counts a grant, or a denial by its reason, and adds it to the digest.
    fn record_answer(&mut self, index: usize, offer: OfferId, denial: Option<Denial>) {
        let kind: u8 = match denial {
            None => 0,
            Some(Denial::Conflict(RequestStatus::Free | RequestStatus::Open)) => 1,
            Some(Denial::Conflict(RequestStatus::MayHaveExecuted)) => 2,
            Some(Denial::Conflict(RequestStatus::Executed(_))) => 3,
            Some(Denial::NoQuorum) => 4,
            Some(Denial::NotCaughtUp) => 5,
            Some(Denial::StoreFull) => 6,
        };
        self.answers[usize::from(kind)] += 1;
        self.hash.update([index as u8, kind]);
        self.hash.update(offer.0.to_le_bytes());
        if denial.is_none() {
            self.open_offers.push((index, offer));
        }
    }

    /// Hands an event to an instance, and delivers the resulting messages at once and in order, unless they
    /// are lost.
    fn step(&mut self, index: usize, event: Event) {
        let mut events = VecDeque::from([(index, event)]);
        while let Some((index, event)) = events.pop_front() {
            let mut effects = Vec::new();
            self.replicas[index].handle(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => {
                        self.messages += 1;
                        self.hash.update(to.0.to_le_bytes());
                        self.hash.update(postcard::to_allocvec(&message).expect("encodable"));
                        let to = (0..INSTANCES).find(|&picked| member(picked) == to).expect("a member");
                        if !self.is_lost(index, to) {
                            events.push_back((to, Event::MessageReceived { from: member(index), message }));
                        }
                    }
                    Effect::Granted(offer) => self.record_answer(index, offer, None),
                    Effect::Denied(offer, denial) => self.record_answer(index, offer, Some(denial)),
                    Effect::CaughtUp(range) => self.hash.update([index as u8, range as u8]),
                    Effect::NoteReceived(note) => {
                        self.hash.update(postcard::to_allocvec(&note).expect("encodable"));
                    }
                }
            }
        }
    }

    /// At random, makes an offer, finishes a granted offer, and reports the status of a server.
    fn inject_random_events(&mut self) {
        if self.random_below(2) == 0 {
            let index = self.random_below(INSTANCES as u64) as usize;
            self.offers += 1;
            let (offer, id) =
                (OfferId(self.offers), RecordId::of("tenant", &self.random_below(900).to_string()));
            self.step(index, Event::Offer { offer, id, deadline: self.now + 500 * MS });
        }
        if !self.open_offers.is_empty() && self.random_below(3) == 0 {
            let picked = self.random_below(self.open_offers.len() as u64) as usize;
            let (index, offer) = self.open_offers.swap_remove(picked);
            let stages = [
                Stage::NeverExecuted,
                Stage::MayHaveExecuted,
                Stage::Executed(Outcome { complete: true, digest: self.random_below(2) }),
            ];
            let stage = stages[self.random_below(3) as usize];
            self.step(index, Event::Finished { offer, stage });
        }
        if self.random_below(200) == 0 {
            let status = [
                ServerStatus::Cleared,
                ServerStatus::Draining,
                ServerStatus::Gone,
                ServerStatus::SlowStartSince(self.now / MS),
            ];
            let (status, server) = (status[self.random_below(4) as usize], self.random_below(5));
            self.step(3, Event::ServerStatusLearned { server, status, valid_for: 20 * SECOND });
        }
    }

    /// Restarts an instance without its records; its granted offers never finish.
    fn restart(&mut self, index: usize) {
        self.replicas[index] = new_replica(index, self.now);
        self.open_offers.retain(|(owner, _)| *owner != index);
        self.update_members_up();
    }

    fn update_members_up(&mut self) {
        for index in 0..INSTANCES {
            let up: BTreeSet<MemberId> = (0..INSTANCES).filter(|&other| other != index).map(member).collect();
            self.step(index, Event::MembersUp(up));
        }
    }

    fn run(mut self) -> Self {
        self.update_members_up();
        while self.now < START + 60 * SECOND {
            for index in 0..INSTANCES {
                self.step(index, Event::Tick);
            }
            self.inject_random_events();
            for (time, index) in [(10, 1), (35, 4)] {
                if self.now == START + time * SECOND {
                    self.restart(index);
                }
            }
            self.now += 25 * MS;
        }
        self
    }

    fn report(self) -> String {
        let digest: String = self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        let mut text = format!("{} messages, answers {:?}, {digest}\n", self.messages, self.answers);
        for (index, replica) in self.replicas.iter().enumerate() {
            let counts = replica.counters();
            let counts =
                [counts.granted, counts.conflicts, counts.no_quorum, counts.store_full, counts.hints_dropped];
            let (records, hints, behind) = (replica.store().len(), replica.hints(), replica.ranges_behind());
            text += &format!("n{index}: {counts:?}, {records} records, {hints} hints, {behind} behind\n");
        }
        text
    }
}

#[test]
fn five_instances_decide_as_recorded_in_the_golden_file() {
    let text: String =
        [1, 2, 3].map(|seed| format!("seed {seed}: {}", Scenario::new(seed).run().report())).concat();
    assert!(text == include_str!("golden/decisions.txt"), "{text}");
}
