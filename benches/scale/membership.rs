//! Membership in virtual time: what it costs a member, how soon a death is known to all, and two regions that meet again.

use std::time::Instant;

use dewladder_membership::{MemberState, Settings};
use dewladder_scale::options;
use dewladder_scale::results::{MembershipEvent, MembershipSample};
use dewladder_simulation::{name, Simulation, SECOND};
use pico_args::Arguments;

use crate::Failure;

/// Headers of UDP and IPv4 (bytes).
const HEADERS: f64 = 28.0;
/// All hold each other for alive in this time, or the play fails (us).
const FORMS_IN: u64 = 600 * SECOND;
/// What is looked for is waited for so long (us).
const MOST: u64 = 600 * SECOND;

struct Cluster {
    simulation: Simulation,
    members: usize,
}

/// What all members together have sent, and the processor time that took.
#[derive(Clone, Copy, Debug, Default)]
struct Spent {
    bytes: u64,
    messages: u64,
    processor_us: f64,
    played_us: u64,
}

impl Cluster {
    fn formed(members: usize) -> Result<Self, Failure> {
        let settings = Settings { tick_interval: 100_000, ..Settings::default() };
        let mut simulation = Simulation::new(members, settings, 7);
        let forms = simulation.advance_until(FORMS_IN, Simulation::all_alive);
        forms.ok_or("the cluster does not form")?;
        Ok(Self { simulation, members })
    }

    fn sent(&self) -> (u64, u64) {
        let of = |at| (self.simulation.bytes_sent(at), self.simulation.messages_sent(at));
        (0..self.members).map(of).fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// Lets time pass and says what it cost.
    fn passes(&mut self, time: u64) -> Spent {
        let (before, start) = (self.sent(), Instant::now());
        self.simulation.advance(time);
        let processor_us = start.elapsed().as_secs_f64() * 1e6;
        let after = self.sent();
        Spent { bytes: after.0 - before.0, messages: after.1 - before.1, processor_us, played_us: time }
    }

    fn sample(&self, event: MembershipEvent, spent: Spent, known_after: Option<u64>) -> MembershipSample {
        let seconds = spent.played_us as f64 / 1e6;
        let each = |all: f64| all / self.members as f64 / seconds;
        let messages = each(spent.messages as f64);
        MembershipSample {
            members: self.members as u32,
            event,
            bytes: each(spent.bytes as f64) + messages * HEADERS,
            messages,
            processor: each(spent.processor_us),
            known_after: known_after.map(|time| time as f64 / 1e6),
            played: seconds,
        }
    }
}

fn death(members: usize, quiet: u64) -> Result<MembershipSample, Failure> {
    let mut cluster = Cluster::formed(members)?;
    let spent = cluster.passes(quiet);
    let killed = members / 2;
    cluster.simulation.kill(killed);
    let all_know = |simulation: &Simulation| {
        let gone = |at| simulation.state_of(at, killed).is_none_or(|standing| standing == MemberState::Dead);
        simulation.running().into_iter().all(gone)
    };
    let known = cluster.simulation.advance_until(MOST, all_know);
    println!("{members} members, a death ({}): known to all after {known:?} us", name(killed));
    Ok(cluster.sample(MembershipEvent::Death, spent, known))
}

fn cut(members: usize, time: u64) -> Result<MembershipSample, Failure> {
    let mut cluster = Cluster::formed(members)?;
    let side: Vec<usize> = (0..members / 2).collect();
    cluster.simulation.partition(&side, true);
    let spent = cluster.passes(time);
    cluster.simulation.partition(&side, false);
    let healed = cluster.simulation.advance_until(MOST, Simulation::all_alive);
    println!(
        "{members} members, two regions cut for {} s: all alive again after {healed:?} us",
        time / SECOND
    );
    Ok(cluster.sample(MembershipEvent::Cut, spent, healed))
}

/// Takes samples and records them.
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
        samples.push(cut(most, cut_for * SECOND)?);
    }
    for sample in &samples {
        println!(
            "{:?} {} members: {:.0} B, {:.1} datagrams, {:.1} us of processor a member and second",
            sample.event, sample.members, sample.bytes, sample.messages, sample.processor
        );
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.membership = Some(part))
}
