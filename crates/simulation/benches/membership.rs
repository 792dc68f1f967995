//! How soon a death is known to all, what is wrongly held for dead, and what it costs: membership against a plain
//! heartbeat from each to all, in the same run, in virtual time.
//!
//! `cargo bench -p dewladder-simulation --bench membership [-- members... loss%...]`; by default 5, 50 and 500, with 0, 5 and 20%.

use dewladder_membership::codec::Codec;
use dewladder_membership::{Body, MemberState, Membership, Message, Micros, Settings};
use dewladder_simulation::{Simulation, SECOND};
use hdrhistogram::Histogram;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Quiet time, at the end of which false deaths and bytes are counted.
const QUIET: Micros = 60 * SECOND;
/// A heartbeat each second; one that misses so many in a row is held for dead. Five take about as long as
/// membership's usual suspicion in a small cluster.
const MISSED: u64 = 5;
struct Row {
    detected: Histogram<u64>,
    false_deaths: usize,
    pairs: usize,
    bytes: f64,
}

impl Row {
    fn new() -> Self {
        let detected = Histogram::new(3).expect("three digits");
        Self { detected, false_deaths: 0, pairs: 0, bytes: 0.0 }
    }

    fn print(&self, way: &str, members: usize, loss: f64) {
        let at = |quantile| self.detected.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{way:10} {members:>7} {:>4.0}% {:>9.2} {:>9.2} {:>9.2} {:>12} {:>14.2e} {:>10.0}",
            loss * 100.0,
            at(0.5),
            at(0.99),
            self.detected.max() as f64 / 1e3,
            self.false_deaths,
            self.false_deaths as f64 / self.pairs as f64 / (QUIET as f64 / 60e6),
            self.bytes
        );
    }
}

fn membership(members: usize, loss: f64, trials: u64) -> Row {
    let mut row = Row::new();
    for seed in 0..trials {
        let settings = Settings { tick_interval: 100_000, ..Settings::default() };
        let mut simulation = Simulation::new(members, settings, seed);
        assert!(simulation.advance_until(600 * SECOND, Simulation::all_alive).is_some(), "it forms");
        simulation.network.loss = loss;
        let before: u64 = (0..members).map(|at| simulation.bytes_sent(at)).sum();
        simulation.advance(QUIET);
        let after: u64 = (0..members).map(|at| simulation.bytes_sent(at)).sum();
        row.bytes += (after - before) as f64 / members as f64 / (QUIET as f64 / 1e6) / trials as f64;
        row.false_deaths += simulation.false_deaths();
        row.pairs += members * (members - 1);
        let killed = members / 2;
        simulation.kill(killed);
        let start = simulation.now;
        simulation.advance(120 * SECOND);
        let name = dewladder_simulation::name(killed);
        let mut knowing = std::collections::BTreeSet::new();
        for (at, when, change) in simulation.changes() {
            let first = change.state == MemberState::Dead && change.name == name && when >= start;
            if first && knowing.insert(at) {
                row.detected.record((when - start) / 1_000).expect("in range");
            }
        }
        if knowing.len() + 1 < members {
            println!("{} of {} never knew of the death", members - 1 - knowing.len(), members - 1);
        }
    }
    row
}

/// Membership's smallest message, sealed the same way.
fn heartbeat_bytes() -> usize {
    let me = Membership::new(Settings::default(), 1, 0).expect("settings").own_update();
    let codec = Codec::new("lab", &[7; 32]).expect("a key");
    let message = Message { sender: me, body: Body::Gossip, updates: Vec::new() };
    codec.seal(&message).expect("it fits").len()
}

/// Each sends to all others each second; each holds one for dead from which nothing has come for `MISSED` seconds.
fn heartbeat(members: usize, loss: f64, trials: u64) -> Row {
    let mut row = Row::new();
    for seed in 0..trials {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut lost = || (rng.next_u64() as f64 / u64::MAX as f64) < loss;
        for pair in 0..members * (members - 1) {
            let mut missed = 0;
            for _ in 0..QUIET / SECOND {
                missed = if lost() { missed + 1 } else { 0 };
                row.false_deaths += usize::from(missed == MISSED);
            }
            // The killed one's heartbeat to this one was last sent up to a second before its death.
            if pair < members - 1 {
                let since_last = (pair as u64 * 7_919 + seed * 104_729) % SECOND;
                let mut silent = since_last;
                while lost() {
                    silent += SECOND;
                }
                let left = (MISSED * SECOND).saturating_sub(silent);
                row.detected.record(left / 1_000).expect("in range");
            }
        }
        row.pairs += members * (members - 1);
        row.bytes = (members - 1) as f64 * heartbeat_bytes() as f64;
    }
    row
}

fn main() {
    let asked: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let losses: Vec<f64> = std::env::args().filter_map(|word| word.strip_suffix('%')?.parse().ok()).collect();
    let losses = if losses.is_empty() { vec![0.0, 5.0, 20.0] } else { losses };
    let sizes = if asked.is_empty() { vec![5, 50, 500] } else { asked };
    println!(
        "a probe or heartbeat each second; detection in seconds, to each of the others; false deaths in {} s",
        QUIET / SECOND
    );
    println!(
        "{:10} {:>7} {:>5} {:>9} {:>9} {:>9} {:>12} {:>14} {:>10}",
        "way", "members", "loss", "median", "p99", "most", "false deaths", "a pair, minute", "B/member/s"
    );
    for members in sizes {
        let trials = (400 / members as u64).clamp(2, 40);
        for loss in losses.iter().map(|percent| percent / 100.0) {
            membership(members, loss, trials).print("membership", members, loss);
            heartbeat(members, loss, trials).print("heartbeat", members, loss);
        }
    }
}
