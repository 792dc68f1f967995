//! How long one that comes back needs to catch up, against how much it missed, and how large a record is.
//!
//! `cargo bench -p dewladder-replica --bench catch_up [-- records...]`; by default 10,000 and 1,000,000. Virtual time: a
//! tick each 25 ms, 1 ms under way, nothing lost; three instances that hold everything, of which one starts anew. The
//! plain baseline is one that asks for everything: all records in datagrams as full, one after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use dewladder_membership::MemberId;
use dewladder_replica::{
    AttemptId, Effect, Event, Message, Micros, Outcome, Record, RecordId, Replica, Settings, Stage,
};

const TICK: Micros = 25_000;
const WAY: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn member(at: usize) -> MemberId {
    MemberId(at as u64 + 1)
}

fn settings(at: usize, records: usize) -> Settings {
    Settings {
        own_id: member(at),
        incarnation: START,
        members: (0..3).map(member).collect(),
        copies: 3,
        quorum: 2,
        retention: 100_000_000_000,
        max_records: 2 * records,
        max_hints: 10,
        settle_time: 1_000_000,
        retry_after: 100_000,
        compare_interval: 500_000,
    }
}

struct Run {
    replicas: Vec<Replica>,
    due: BTreeMap<(Micros, u64), (usize, Event)>,
    numbers: u64,
    bytes: u64,
    datagrams: u64,
}

impl Run {
    fn step(&mut self, at: usize, now: Micros, event: Event) {
        let mut effects = Vec::new();
        self.replicas[at].handle(now, event, &mut effects);
        for effect in effects {
            let Effect::Send { to, message } = effect else { continue };
            let size = postcard::to_allocvec(&(member(at), &message)).map_or(0, |bytes| bytes.len()) as u64;
            (self.bytes, self.datagrams) = (self.bytes + size + 44, self.datagrams + 1);
            self.numbers += 1;
            let to = to.0 as usize - 1;
            self.due.insert(
                (now + WAY, self.numbers),
                (to, Event::MessageReceived { from: member(at), message }),
            );
        }
    }

    /// Until the last one is caught up; how long that took.
    fn catch_up(&mut self) -> Micros {
        let mut now = START;
        while self.replicas[2].ranges_behind() > 0 {
            for at in 0..3 {
                self.step(at, now, Event::Tick);
            }
            now += TICK;
            while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
                let ((when, _), (at, event)) = entry.remove_entry();
                self.step(at, when, event);
            }
        }
        now - START
    }
}

fn records(count: usize) -> impl Iterator<Item = (RecordId, Record)> {
    (0..count as u64).map(|number| {
        let attempt = AttemptId { owner: member(number as usize % 3), incarnation: START, number };
        let ran = Stage::Executed(Outcome { complete: true, digest: 0 });
        (RecordId::of("tenant", &number.to_string()), Record::new(attempt, ran, START + 100_000_000_000))
    })
}

fn main() {
    let asked: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    println!(
        "{:>9} {:>12} {:>11} {:>10} {:>13} {:>13} {:>9}",
        "missed", "caught up s", "MB sent", "datagrams", "B a record", "baseline MB", "ran s"
    );
    for count in if asked.is_empty() { vec![10_000, 1_000_000] } else { asked } {
        let began = Instant::now();
        let replicas = (0..3).map(|at| Replica::new(settings(at, count), START).expect("settings")).collect();
        let mut run = Run { replicas, due: BTreeMap::new(), numbers: 0, bytes: 0, datagrams: 0 };
        let (mut plain, mut size) = (0, 0);
        let all: Vec<(RecordId, Record)> = records(count).collect();
        for some in all.chunks(16) {
            size += some
                .iter()
                .map(|one| postcard::to_allocvec(one).map_or(0, |bytes| bytes.len()))
                .sum::<usize>();
            let message = Message::Write { number: 0, records: some.to_vec() };
            plain += postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len()) + 44;
            for at in 0..2 {
                let event = Event::MessageReceived { from: member(2), message: message.clone() };
                run.replicas[at].handle(START, event, &mut Vec::new());
            }
        }
        let up: BTreeSet<MemberId> = (0..3).map(member).collect();
        for at in 0..3 {
            run.step(at, START, Event::MembersUp(up.clone()));
        }
        let took = run.catch_up();
        assert_eq!(run.replicas[2].store().len(), count, "all of it");
        println!(
            "{count:>9} {:>12.2} {:>11.2} {:>10} {:>13.1} {:>13.2} {:>9.1}",
            took as f64 / 1e6,
            run.bytes as f64 / 1e6,
            run.datagrams,
            size as f64 / count as f64,
            plain as f64 / 1e6,
            began.elapsed().as_secs_f64()
        );
    }
}
