//! Compares membership with a plain heartbeat from each instance to all others, in virtual time: how soon each
//! instance learns of a death, how many running instances are declared dead, and how many bytes a member sends.
//!
//! `cargo bench -p dewladder-simulation --bench membership [-- members... loss%...]`; the defaults are 5, 50 and 500
//! members, with a loss of 0, 5 and 20%.

use dewladder_membership::codec::Codec;
use dewladder_membership::{Body, MemberState, Membership, Message, Micros, Settings};
use dewladder_simulation::{Simulation, SECOND};
use hdrhistogram::Histogram;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The time before the kill, during which nobody dies. False deaths and bytes are counted over it.
const STEADY_PERIOD: Micros = 60 * SECOND;
/// Heartbeats are sent each second, and an instance that misses this many in a row is declared dead. Five take about
/// as long as membership's usual suspicion timeout in a small cluster.
const MAX_MISSED_HEARTBEATS: u64 = 5;
/// The results of one protocol at one cluster size and loss.
struct Row {
    /// Times from the kill until each other instance records it, in milliseconds.
    detection_ms: Histogram<u64>,
    false_deaths: usize,
    /// Ordered pairs of instances, summed over the trials.
    pairs: usize,
    /// Bytes that each member sends in a second, without UDP and IP headers.
    bytes: f64,
}

impl Row {
    fn new() -> Self {
        let detection_ms = Histogram::new(3).expect("three digits");
        Self { detection_ms, false_deaths: 0, pairs: 0, bytes: 0.0 }
    }

    fn print(&self, protocol: &str, members: usize, loss: f64) {
        let at = |quantile| self.detection_ms.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{protocol:10} {members:>7} {:>4.0}% {:>9.2} {:>9.2} {:>9.2} {:>12} {:>14.2e} {:>10.0}",
            loss * 100.0,
            at(0.5),
            at(0.99),
            self.detection_ms.max() as f64 / 1e3,
            self.false_deaths,
            self.false_deaths as f64 / self.pairs as f64 / (STEADY_PERIOD as f64 / 60e6),
            self.bytes
        );
    }
}

fn membership(members: usize, loss: f64, trials: u64) -> Row {
    let mut row = Row::new();
    for seed in 0..trials {
        let settings = Settings { tick_interval: 100_000, ..Settings::default() };
        let mut simulation = Simulation::new(members, settings, seed);
        assert!(
            simulation.advance_until(600 * SECOND, Simulation::all_alive).is_some(),
            "the cluster does not form"
        );
        simulation.network.loss = loss;
        let before: u64 = (0..members).map(|at| simulation.bytes_sent(at)).sum();
        simulation.advance(STEADY_PERIOD);
        let after: u64 = (0..members).map(|at| simulation.bytes_sent(at)).sum();
        row.bytes += (after - before) as f64 / members as f64 / (STEADY_PERIOD as f64 / 1e6) / trials as f64;
        row.false_deaths += simulation.false_deaths();
        row.pairs += members * (members - 1);
        let killed = members / 2;
        simulation.kill(killed);
        let start = simulation.now;
        simulation.advance(120 * SECOND);
        let name = dewladder_simulation::name(killed);
        let mut informed = std::collections::BTreeSet::new();
        for (at, time, change) in simulation.changes() {
            let first = change.state == MemberState::Dead && change.name == name && time >= start;
            if first && informed.insert(at) {
                row.detection_ms.record((time - start) / 1_000).expect("in range");
            }
        }
        if informed.len() + 1 < members {
            println!("{} of {} did not learn of the death", members - 1 - informed.len(), members - 1);
        }
    }
    row
}

/// The size of a heartbeat: that of membership's smallest message, sealed the same way.
fn heartbeat_bytes() -> usize {
    let own = Membership::new(Settings::default(), 1, 0).expect("valid settings").own_update();
    let codec = Codec::new("lab", &[7; 32]).expect("valid key");
    let message = Message { sender: own, body: Body::Gossip, updates: Vec::new() };
    codec.seal(&message).expect("it fits").len()
}

/// Each instance sends to all others each second, and declares one dead from which it has received nothing for
/// [`MAX_MISSED_HEARTBEATS`]
/// seconds.
fn heartbeat(members: usize, loss: f64, trials: u64) -> Row {
    let mut row = Row::new();
    for seed in 0..trials {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut lost = || (rng.next_u64() as f64 / u64::MAX as f64) < loss;
        for pair in 0..members * (members - 1) {
            let mut missed = 0;
            for _ in 0..STEADY_PERIOD / SECOND {
                missed = if lost() { missed + 1 } else { 0 };
                row.false_deaths += usize::from(missed == MAX_MISSED_HEARTBEATS);
            }
            // The killed instance sent its last heartbeat to this one up to a second before its death.
            if pair < members - 1 {
                let since_last = (pair as u64 * 7_919 + seed * 104_729) % SECOND;
                let mut silence = since_last;
                while lost() {
                    silence += SECOND;
                }
                let remaining = (MAX_MISSED_HEARTBEATS * SECOND).saturating_sub(silence);
                row.detection_ms.record(remaining / 1_000).expect("in range");
            }
        }
        row.pairs += members * (members - 1);
        row.bytes = (members - 1) as f64 * heartbeat_bytes() as f64;
    }
    row
}

fn main() {
    let requested_sizes: Vec<usize> =
        std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let losses: Vec<f64> =
        std::env::args().filter_map(|argument| argument.strip_suffix('%')?.parse().ok()).collect();
    let losses = if losses.is_empty() { vec![0.0, 5.0, 20.0] } else { losses };
    let sizes = if requested_sizes.is_empty() { vec![5, 50, 500] } else { requested_sizes };
    println!(
        "a probe or heartbeat each second; detection times of all other members in seconds; false deaths in {} s",
        STEADY_PERIOD / SECOND
    );
    println!(
        "{:10} {:>7} {:>5} {:>9} {:>9} {:>9} {:>12} {:>14} {:>10}",
        "protocol", "members", "loss", "median", "p99", "max", "false deaths", "per pair, min", "B/member/s"
    );
    for members in sizes {
        let trials = (400 / members as u64).clamp(2, 40);
        for loss in losses.iter().map(|percent| percent / 100.0) {
            membership(members, loss, trials).print("membership", members, loss);
            heartbeat(members, loss, trials).print("heartbeat", members, loss);
        }
    }
}
