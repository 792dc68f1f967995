//! All that five instances decide under loss, a pause, a cut and a death, drawn from fixed seeds: the same messages in
//! the same order, byte for byte, and the same changes. A change of the code that is to keep its behaviour keeps this.

use std::collections::VecDeque;

use dewladder_membership::codec::Codec;
use dewladder_membership::{Address, Effect, Event, MemberId, MemberState, Membership, Micros, Settings};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use sha2::{Digest as _, Sha256};

const TICK: Micros = 50_000;
const SECOND: Micros = 1_000_000;
const INSTANCES: usize = 5;

fn address(at: usize) -> Address {
    Address { ip: [127, 0, 0, 1], port: 7_000 + at as u16 }
}

fn settings(at: usize) -> Settings {
    let seeds = if at == 0 { Vec::new() } else { vec![address(0)] };
    Settings {
        name: format!("n{at}"),
        address: address(at),
        seeds,
        sync_interval: 5 * SECOND,
        ..Settings::default()
    }
}

/// What an instance does at a time, as bytes that go into the digest.
struct Trace {
    hash: Sha256,
    messages: u64,
    changes: Vec<String>,
}

impl Trace {
    fn take(&mut self, now: Micros, at: usize, effect: &Effect) {
        self.hash.update(now.to_le_bytes());
        self.hash.update([at as u8]);
        match effect {
            Effect::Send { to, message } => {
                let codec = Codec::new("trace", &[7; 16]).expect("a key");
                self.hash.update(to.port.to_le_bytes());
                self.hash.update(codec.seal(message).expect("it fits"));
                self.messages += 1;
            }
            Effect::MemberChanged(change) => {
                let was = change.previous.map_or("unknown", MemberState::name);
                self.change(format!("n{at}: {} {was}->{}", change.name, change.state.name()));
            }
            Effect::Refuted { claimed, incarnation, .. } => {
                self.change(format!("n{at}: refuted {} in {incarnation}", claimed.name()));
            }
            Effect::Paused(gap) => self.change(format!("n{at}: paused {gap}")),
        }
    }

    fn change(&mut self, text: String) {
        self.hash.update(text.as_bytes());
        self.changes.push(text);
    }
}

/// Whether a message from one to another is lost at a time: always a twentieth, all between the sides of a cut.
fn is_lost(rng: &mut Pcg64Mcg, now: Micros, from: usize, to: usize) -> bool {
    let cut = (60 * SECOND..130 * SECOND).contains(&now) && (from < 2) != (to < 2);
    rng.next_u64().is_multiple_of(20) || cut
}

/// Whether an instance stands still: the third for three seconds, the last for good.
fn is_still(now: Micros, at: usize) -> bool {
    (at == 2 && (20 * SECOND..23 * SECOND).contains(&now)) || (at == 4 && now > 250 * SECOND)
}

fn play(seed: u64) -> (Trace, Vec<Membership>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut trace = Trace { hash: Sha256::new(), messages: 0, changes: Vec::new() };
    let mut instances: Vec<Membership> = (0..INSTANCES)
        .map(|at| Membership::new(settings(at), seed + at as u64, 0).expect("settings that can be"))
        .collect();
    for now in (0..400 * SECOND).step_by(TICK as usize) {
        let mut events: VecDeque<(usize, Event)> = (0..INSTANCES).map(|at| (at, Event::Tick)).collect();
        if now == 390 * SECOND {
            events.push_back((3, Event::Leave));
        }
        while let Some((at, event)) = events.pop_front() {
            if is_still(now, at) {
                continue;
            }
            let mut effects = Vec::new();
            instances[at].handle(now, event, &mut effects);
            for effect in effects {
                trace.take(now, at, &effect);
                let Effect::Send { to, message } = effect else { continue };
                let to = usize::from(to.port) - 7_000;
                if !is_lost(&mut rng, now, at, to) {
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
fn five_instances_decide_as_they_did_when_this_was_recorded() {
    let mut text = String::new();
    for seed in [1, 2, 3] {
        let (trace, instances) = play(seed);
        let digest: String = trace.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        text += &format!("seed {seed}: {} messages, {digest}\n", trace.messages);
        for (at, instance) in instances.iter().enumerate() {
            text += &format!(
                "n{at}: {:?} health {} up {}\n",
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
fn an_id_is_the_same_at_every_instance() {
    assert_eq!(MemberId::of("n0"), MemberId::of("n0"));
    assert_ne!(MemberId::of("n0"), MemberId::of("n1"));
}
