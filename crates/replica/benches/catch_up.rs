//! Measures how long a restarted instance needs to catch up, depending on the number of records it missed, and the
//! size of a record.
//!
//! `cargo bench -p dewladder-replica --bench catch_up [-- records...]`; by default 10,000 and 1,000,000 records. The
//! run uses virtual time, with a tick every 25 ms, a delay of 1 ms for each message and no loss. Of three instances
//! that hold all ranges, one restarts without records. The baseline is an instance that asks for everything: the size
//! of all records in equally full datagrams, sent one after the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use dewladder_membership::MemberId;
use dewladder_replica::{
    AttemptId, Effect, Event, Message, Micros, Outcome, Record, RecordId, Replica, Settings, Stage,
};

/// The interval between two ticks of an instance.
const TICK: Micros = 25_000;
/// The time from sending a message to its arrival.
const MESSAGE_DELAY: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn member(index: usize) -> MemberId {
    MemberId(index as u64 + 1)
}

fn settings(index: usize, records: usize) -> Settings {
    Settings {
        own_id: member(index),
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

/// Three instances in virtual time.
struct Run {
    replicas: Vec<Replica>,
    /// Events by their time and a sequence number, with the instance that each is for.
    queue: BTreeMap<(Micros, u64), (usize, Event)>,
    /// The last sequence number in `queue`.
    sequence: u64,
    /// Size of the datagrams sent, with 44 bytes of header and HMAC for each.
    bytes: u64,
    datagrams: u64,
}

impl Run {
    /// Hands an event to an instance, and queues the messages that it sends.
    fn step(&mut self, index: usize, now: Micros, event: Event) {
        let mut effects = Vec::new();
        self.replicas[index].handle(now, event, &mut effects);
        for effect in effects {
            let Effect::Send { to, message } = effect else { continue };
            let size =
                postcard::to_allocvec(&(member(index), &message)).map_or(0, |bytes| bytes.len()) as u64;
            (self.bytes, self.datagrams) = (self.bytes + size + 44, self.datagrams + 1);
            self.sequence += 1;
            let to = to.0 as usize - 1;
            self.queue.insert(
                (now + MESSAGE_DELAY, self.sequence),
                (to, Event::MessageReceived { from: member(index), message }),
            );
        }
    }

    /// Runs until the restarted instance has caught up; returns how long that took.
    fn catch_up(&mut self) -> Micros {
        let mut now = START;
        while self.replicas[2].ranges_behind() > 0 {
            for index in 0..3 {
                self.step(index, now, Event::Tick);
            }
            now += TICK;
            while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= now) {
                let ((when, _), (index, event)) = entry.remove_entry();
                self.step(index, when, event);
            }
        }
        now - START
    }
}

/// Distinct records of executed requests.
fn records(count: usize) -> impl Iterator<Item = (RecordId, Record)> {
    (0..count as u64).map(|number| {
        let attempt = AttemptId { owner: member(number as usize % 3), incarnation: START, number };
        let executed = Stage::Executed(Outcome { complete: true, digest: 0 });
        (RecordId::of("tenant", &number.to_string()), Record::new(attempt, executed, START + 100_000_000_000))
    })
}

fn main() {
    let requested: Vec<usize> =
        std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    println!(
        "{:>9} {:>12} {:>11} {:>10} {:>13} {:>13} {:>9}",
        "missed", "caught up s", "MB sent", "datagrams", "B/record", "baseline MB", "wall s"
    );
    for count in if requested.is_empty() { vec![10_000, 1_000_000] } else { requested } {
        let started = Instant::now();
        let replicas =
            (0..3).map(|index| Replica::new(settings(index, count), START).expect("valid")).collect();
        let mut run = Run { replicas, queue: BTreeMap::new(), sequence: 0, bytes: 0, datagrams: 0 };
        let (mut baseline_bytes, mut size) = (0, 0);
        let all: Vec<(RecordId, Record)> = records(count).collect();
        for chunk in all.chunks(16) {
            size += chunk
                .iter()
                .map(|one| postcard::to_allocvec(one).map_or(0, |bytes| bytes.len()))
                .sum::<usize>();
            let message = Message::Write { number: 0, records: chunk.to_vec() };
            baseline_bytes += postcard::to_allocvec(&message).map_or(0, |bytes| bytes.len()) + 44;
            for index in 0..2 {
                let event = Event::MessageReceived { from: member(2), message: message.clone() };
                run.replicas[index].handle(START, event, &mut Vec::new());
            }
        }
        let up: BTreeSet<MemberId> = (0..3).map(member).collect();
        for index in 0..3 {
            run.step(index, START, Event::MembersUp(up.clone()));
        }
        let catch_up_time = run.catch_up();
        assert_eq!(run.replicas[2].store().len(), count, "a record is missing");
        println!(
            "{count:>9} {:>12.2} {:>11.2} {:>10} {:>13.1} {:>13.2} {:>9.1}",
            catch_up_time as f64 / 1e6,
            run.bytes as f64 / 1e6,
            run.datagrams,
            size as f64 / count as f64,
            baseline_bytes as f64 / 1e6,
            started.elapsed().as_secs_f64()
        );
    }
}
