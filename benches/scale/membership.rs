//! Membership in virtual time: its cost for each member, how long until all members know of a death, and how long
//! until two regions see each other alive again after a partition.

use std::time::Instant;

use dewladder_membership::{MemberState, Settings};
use dewladder_scale::options;
use dewladder_scale::results::{MembershipEvent, MembershipSample};
use dewladder_simulation::{name, Simulation, SECOND};
use pico_args::Arguments;

use crate::Failure;

/// Size of the UDP and IPv4 headers (bytes).
const HEADER_BYTES: f64 = 28.0;
/// Time within which all members must see each other alive at the start; otherwise the measurement fails (us).
const FORMATION_TIMEOUT: u64 = 600 * SECOND;
/// Longest wait until all members know of an event (us).
const DETECTION_TIMEOUT: u64 = 600 * SECOND;

/// A simulated cluster.
struct Cluster {
    simulation: Simulation,
    members: usize,
}

/// What all members together sent in a period, and the processor time that it took.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    bytes: u64,
    messages: u64,
    processor_us: f64,
    /// Length of the period in virtual time.
    duration_us: u64,
}

impl Cluster {
    /// A cluster in which all members see each other alive.
    fn formed(members: usize) -> Result<Self, Failure> {
        let settings = Settings { tick_interval: 100_000, ..Settings::default() };
        let mut simulation = Simulation::new(members, settings, 7);
        let forms = simulation.advance_until(FORMATION_TIMEOUT, Simulation::all_alive);
        forms.ok_or("the members do not all see each other alive in time")?;
        Ok(Self { simulation, members })
    }

    /// Bytes and messages that all members have sent since the start.
    fn sent(&self) -> (u64, u64) {
        let of = |at| (self.simulation.bytes_sent(at), self.simulation.messages_sent(at));
        (0..self.members).map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Advances virtual time, and returns the cost of it.
    fn advance(&mut self, time: u64) -> Cost {
        let (before, start) = (self.sent(), Instant::now());
        self.simulation.advance(time);
        let processor_us = start.elapsed().as_secs_f64() * 1e6;
        let after = self.sent();
        Cost { bytes: after.0 - before.0, messages: after.1 - before.1, processor_us, duration_us: time }
    }

    /// The sample for a cost, per member and second.
    fn sample(&self, event: MembershipEvent, cost: Cost, known_after: Option<u64>) -> MembershipSample {
        let seconds = cost.duration_us as f64 / 1e6;
        let per_member_second = |all: f64| all / self.members as f64 / seconds;
        let messages = per_member_second(cost.messages as f64);
        MembershipSample {
            members: self.members as u32,
            event,
            bytes: per_member_second(cost.bytes as f64) + messages * HEADER_BYTES,
            messages,
            processor: per_member_second(cost.processor_us),
            known_after: known_after.map(|time| time as f64 / 1e6),
            played: seconds,
        }
    }
}

/// Measures the cost of a time without events, and then how long until all members know that one has died.
fn death(members: usize, quiet: u64) -> Result<MembershipSample, Failure> {
    let mut cluster = Cluster::formed(members)?;
    let cost = cluster.advance(quiet);
    let killed = members / 2;
    cluster.simulation.kill(killed);
    let all_know = |simulation: &Simulation| {
        let knows = |at| simulation.state_of(at, killed).is_none_or(|standing| standing == MemberState::Dead);
        simulation.running().into_iter().all(knows)
    };
    let known = cluster.simulation.advance_until(DETECTION_TIMEOUT, all_know);
    println!("{members} members, a death ({}): known to all after {known:?} us", name(killed));
    Ok(cluster.sample(MembershipEvent::Death, cost, known))
}

/// Measures the cost of a partition into two halves, and then how long until all members see each other alive again.
fn partition(members: usize, time: u64) -> Result<MembershipSample, Failure> {
    let mut cluster = Cluster::formed(members)?;
    let side: Vec<usize> = (0..members / 2).collect();
    cluster.simulation.partition(&side, true);
    let cost = cluster.advance(time);
    cluster.simulation.partition(&side, false);
    let healed = cluster.simulation.advance_until(DETECTION_TIMEOUT, Simulation::all_alive);
    println!(
        "{members} members, two regions partitioned for {} s: all alive again after {healed:?} us",
        time / SECOND
    );
    Ok(cluster.sample(MembershipEvent::Cut, cost, healed))
}

/// The part `membership`: a death in clusters of each size, a partition in one of the last size, and records the
/// samples.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let members = options::numbers(&mut arguments, "--members", "50,150,300,510", 3..=5_000usize)?;
    let quiet: u64 = options::number(&mut arguments, "--quiet-seconds", 60, 1..=86_400)?;
    let cut_for: u64 = options::number(&mut arguments, "--cut-seconds", 3_600, 0..=86_400)?;
    options::end(arguments)?;
    let mut samples = Vec::new();
    for &members in &members {
        samples.push(death(members, quiet * SECOND)?);
    }
    if let Some(&most) = members.last().filter(|_| cut_for > 0) {
        samples.push(partition(most, cut_for * SECOND)?);
    }
    for sample in &samples {
        println!(
            "{:?} {} members: {:.0} B, {:.1} datagrams, {:.1} us of processor time per member and second",
            sample.event, sample.members, sample.bytes, sample.messages, sample.processor
        );
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.membership = Some(part))
}
