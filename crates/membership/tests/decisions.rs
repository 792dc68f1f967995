//! Everything that five instances decide under message loss, a pause, a network partition and a death, with fixed
//! seeds, compared with a golden file: a digest of all messages in their order, and the list of state changes. A
//! refactoring that keeps the behaviour leaves both unchanged.

use std::collections::VecDeque;

use dewladder_membership::codec::Codec;
use dewladder_membership::{Address, Effect, Event, MemberId, MemberState, Membership, Micros, Settings};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use sha2::{Digest as _, Sha256};

const TICK: Micros = 50_000;
const SECOND: Micros = 1_000_000;
const INSTANCES: usize = 5;

fn address(index: usize) -> Address {
    Address { ip: [127, 0, 0, 1], port: 7_000 + index as u16 }
}

fn settings(index: usize) -> Settings {
    let seeds = if index == 0 { Vec::new() } else { vec![address(0)] };
    Settings {
        name: format!("n{index}"),
        address: address(index),
        seeds,
        sync_interval: 5 * SECOND,
        ..Settings::default()
    }
}

/// Records all effects of a run: a digest of their bytes, the number of messages, and the state changes as text.
struct Trace {
    hash: Sha256,
    messages: u64,
    changes: Vec<String>,
}

impl Trace {
    fn record(&mut self, now: Micros, index: usize, effect: &Effect) {
        self.hash.update(now.to_le_bytes());
        self.hash.update([index as u8]);
        match effect {
            Effect::Send { to, message } => {
                let codec = Codec::new("trace", &[7; 16]).expect("a valid key");
                self.hash.update(to.port.to_le_bytes());
                self.hash.update(codec.seal(message).expect("fits into a datagram"));
                self.messages += 1;
            }
            Effect::MemberChanged(change) => {
                let previous_state = change.previous.map_or("unknown", MemberState::name);
                self.change(format!("n{index}: {} {previous_state}->{}", change.name, change.state.name()));
            }
            Effect::Refuted { claimed, incarnation, .. } => {
                self.change(format!("n{index}: refuted {} in {incarnation}", claimed.name()));
            }
            Effect::Paused(gap) => self.change(format!("n{index}: paused {gap}")),
        }
    }

    fn change(&mut self, text: String) {
        self.hash.update(text.as_bytes());
        self.changes.push(text);
    }
}

/// Whether a message is lost: a twentieth at random, and during the partition all between its two sides.
fn is_lost(rng: &mut Pcg64Mcg, now: Micros, from: usize, to: usize) -> bool {
    let is_partitioned = (60 * SECOND..130 * SECOND).contains(&now) && (from < 2) != (to < 2);
    rng.next_u64().is_multiple_of(20) || is_partitioned
}

/// Whether an instance does not run: instance 2 is paused for three seconds, instance 4 is dead after 250 s.
fn is_stopped(now: Micros, index: usize) -> bool {
    (index == 2 && (20 * SECOND..23 * SECOND).contains(&now)) || (index == 4 && now > 250 * SECOND)
}

fn run_cluster(seed: u64) -> (Trace, Vec<Membership>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace { hash: Sha256::new(), messages: 0, changes: Vec::new() };
    let mut instances: Vec<Membership> = (0..INSTANCES)
        .map(|index| Membership::new(settings(index), seed + index as u64, 0).expect("valid settings"))
        .collect();
    for now in (0..400 * SECOND).step_by(TICK as usize) {
        let mut events: VecDeque<(usize, Event)> = (0..INSTANCES).map(|index| (index, Event::Tick)).collect();
        if now == 390 * SECOND {
            events.push_back((3, Event::Leave));
        }
        while let Some((index, event)) = events.pop_front() {
            if is_stopped(now, index) {
                continue;
            }
            let mut effects = Vec::new();
            instances[index].handle(now, event, &mut effects);
            for effect in effects {
                trace.record(now, index, &effect);
                let Effect::Send { to, message } = effect else { continue };
                let to = usize::from(to.port) - 7_000;
                if !is_lost(&mut rng, now, index, to) {
                    events.push_back((to, Event::MessageReceived(message)));
                }
            }
        }
    }
    (trace, instances)
}

fn counts(instance: &Membership) -> [u64; 6] {
    let counts = instance.counters();
    [
        counts.probes,
        counts.failed_probes,
        counts.deaths,
        counts.refutations,
        counts.pauses,
        counts.name_conflicts,
    ]
}

#[test]
fn five_instances_decide_as_in_the_golden_file() {
    let mut text = String::new();
    for seed in [1, 2, 3] {
        let (trace, instances) = run_cluster(seed);
        let digest: String = trace.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        text += &format!("seed {seed}: {} messages, {digest}\n", trace.messages);
        for (index, instance) in instances.iter().enumerate() {
            text += &format!(
                "n{index}: {:?} health {} up {}\n",
                counts(instance),
                instance.health_score(),
                instance.up()
            );
        }
        text += &trace.changes.iter().map(|change| format!("{change}\n")).collect::<String>();
    }
    assert!(text == include_str!("golden/decisions.txt"), "{text}");
}

#[test]
fn member_ids_depend_on_the_name_alone() {
    assert_eq!(MemberId::of("n0"), MemberId::of("n0"));
    assert_ne!(MemberId::of("n0"), MemberId::of("n1"));
}
