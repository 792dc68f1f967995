//! All that five instances decide about drawn offers under loss, a cut and restarts with nothing kept, from fixed
//! seeds: the same messages in the same order, byte for byte, and the same answers. A change of the code that is to
//! keep its behaviour keeps this.

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

fn member(at: usize) -> MemberId {
    MemberId::of(&format!("n{at}"))
}

fn new_replica(at: usize, now: Micros) -> Replica {
    let settings = Settings {
        own_id: member(at),
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
    Replica::new(settings, now).expect("settings that can be")
}

/// Drawn instances, and what they did.
struct Play {
    rng: Pcg64Mcg,
    now: Micros,
    replicas: Vec<Replica>,
    hash: Sha256,
    messages: u64,
    tickets: u64,
    open: Vec<(usize, OfferId)>,
    answers: [u64; 7],
}

impl Play {
    fn new(seed: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: START,
            replicas: (0..INSTANCES).map(|at| new_replica(at, START)).collect(),
            hash: Sha256::new(),
            messages: 0,
            tickets: 0,
            open: Vec::new(),
            answers: [0; 7],
        }
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    /// A tenth of all messages is lost, and all between the sides of a cut.
    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        let cut = (START + 20 * SECOND..START + 30 * SECOND).contains(&self.now) && (from < 2) != (to < 2);
        self.below(10) == 0 || cut
    }

    fn answered(&mut self, at: usize, offer: OfferId, denied: Option<Denial>) {
        let kind: u8 = match denied {
            None => 0,
            Some(Denial::Conflict(RequestStatus::Free | RequestStatus::Open)) => 1,
            Some(Denial::Conflict(RequestStatus::MayHaveExecuted)) => 2,
            Some(Denial::Conflict(RequestStatus::Executed(_))) => 3,
            Some(Denial::NoQuorum) => 4,
            Some(Denial::NotCaughtUp) => 5,
            Some(Denial::StoreFull) => 6,
        };
        self.answers[usize::from(kind)] += 1;
        self.hash.update([at as u8, kind]);
        self.hash.update(offer.0.to_le_bytes());
        if denied.is_none() {
            self.open.push((at, offer));
        }
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut events = VecDeque::from([(at, event)]);
        while let Some((at, event)) = events.pop_front() {
            let mut effects = Vec::new();
            self.replicas[at].handle(self.now, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => {
                        self.messages += 1;
                        self.hash.update(to.0.to_le_bytes());
                        self.hash.update(postcard::to_allocvec(&message).expect("it can be written"));
                        let to = (0..INSTANCES).find(|&one| member(one) == to).expect("a member");
                        if !self.is_lost(at, to) {
                            events.push_back((to, Event::MessageReceived { from: member(at), message }));
                        }
                    }
                    Effect::Granted(offer) => self.answered(at, offer, None),
                    Effect::Denied(offer, denied) => self.answered(at, offer, Some(denied)),
                    Effect::CaughtUp(range) => self.hash.update([at as u8, range as u8]),
                    Effect::NoteReceived(note) => {
                        self.hash.update(postcard::to_allocvec(&note).expect("it can be written"));
                    }
                }
            }
        }
    }

    fn draw_events(&mut self) {
        if self.below(2) == 0 {
            let at = self.below(INSTANCES as u64) as usize;
            self.tickets += 1;
            let (offer, id) = (OfferId(self.tickets), RecordId::of("tenant", &self.below(900).to_string()));
            self.step(at, Event::Offer { offer, id, deadline: self.now + 500 * MS });
        }
        if !self.open.is_empty() && self.below(3) == 0 {
            let one = self.below(self.open.len() as u64) as usize;
            let (at, offer) = self.open.swap_remove(one);
            let stages = [
                Stage::NeverExecuted,
                Stage::MayHaveExecuted,
                Stage::Executed(Outcome { complete: true, digest: self.below(2) }),
            ];
            let stage = stages[self.below(3) as usize];
            self.step(at, Event::Finished { offer, stage });
        }
        if self.below(200) == 0 {
            let status = [
                ServerStatus::Cleared,
                ServerStatus::Draining,
                ServerStatus::Gone,
                ServerStatus::SlowStartSince(self.now / MS),
            ];
            let (status, server) = (status[self.below(4) as usize], self.below(5));
            self.step(3, Event::ServerStatusLearned { server, status, valid_for: 20 * SECOND });
        }
    }

    fn restart(&mut self, at: usize) {
        self.replicas[at] = new_replica(at, self.now);
        self.open.retain(|(owner, _)| *owner != at);
        self.tell_up();
    }

    fn tell_up(&mut self) {
        for at in 0..INSTANCES {
            let up: BTreeSet<MemberId> = (0..INSTANCES).filter(|&other| other != at).map(member).collect();
            self.step(at, Event::MembersUp(up));
        }
    }

    fn run(mut self) -> Self {
        self.tell_up();
        while self.now < START + 60 * SECOND {
            for at in 0..INSTANCES {
                self.step(at, Event::Tick);
            }
            self.draw_events();
            for (time, at) in [(10, 1), (35, 4)] {
                if self.now == START + time * SECOND {
                    self.restart(at);
                }
            }
            self.now += 25 * MS;
        }
        self
    }

    fn report(self) -> String {
        let digest: String = self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        let mut text = format!("{} messages, answers {:?}, {digest}\n", self.messages, self.answers);
        for (at, replica) in self.replicas.iter().enumerate() {
            let counts = replica.counters();
            let counts =
                [counts.granted, counts.conflicts, counts.no_quorum, counts.store_full, counts.hints_dropped];
            let (records, hints, behind) = (replica.store().len(), replica.hints(), replica.ranges_behind());
            text += &format!("n{at}: {counts:?}, {records} records, {hints} hints, {behind} behind\n");
        }
        text
    }
}

#[test]
fn five_instances_decide_as_they_did_when_this_was_recorded() {
    let text: String =
        [1, 2, 3].map(|seed| format!("seed {seed}: {}", Play::new(seed).run().report())).concat();
    assert!(text == include_str!("golden/decisions.txt"), "{text}");
}
