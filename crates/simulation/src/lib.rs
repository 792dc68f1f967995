//! Cluster simulation: many instances of [`Membership`] in virtual time, a network that loses, delays and blocks
//! messages by a seed, and instances that die, start again, or are paused. A minute of 500 instances takes seconds; the
//! same seed gives the same run.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::codec::Codec;
use dewladder_membership::{
    Address, Change, Effect, Event, MemberId, MemberState, Membership, Micros, Settings,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A second.
pub const SECOND: Micros = 1_000_000;
/// [`Simulation::advance_until`] looks this often.
const LOOK_INTERVAL: Micros = 10_000;

/// What the network does to messages.
#[derive(Clone, Debug)]
pub struct Network {
    /// The share of messages that is lost, 0 to 1.
    pub loss: f64,
    /// The shortest and the longest delay.
    pub delay: (Micros, Micros),
    /// Directions, from an instance to another, in which nothing passes.
    pub blocked: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Self {
        Self { loss: 0.0, delay: (200, 2_000), blocked: BTreeSet::new() }
    }
}

/// An instance.
#[derive(Debug, Default)]
struct Node {
    /// `None` where it does not run.
    membership: Option<Membership>,
    /// Counts starts and ends: ticks that were scheduled for an earlier run do not come.
    generation: u32,
    /// Where it is paused, what has arrived meanwhile.
    paused: Option<Vec<Event>>,
    bytes_sent: u64,
    messages_sent: u64,
    changes: Vec<(Micros, Change)>,
}

/// What is scheduled for a time.
#[derive(Debug)]
enum Scheduled {
    Tick { node: usize, generation: u32 },
    Delivery { node: usize, datagram: Vec<u8> },
}

/// A simulated cluster. Instances are known by numbers from 0 on.
#[derive(Debug)]
pub struct Simulation {
    /// The virtual time.
    pub now: Micros,
    /// The network, which may be changed between steps.
    pub network: Network,
    template: Settings,
    nodes: Vec<Node>,
    /// By time, and for one time in the order of scheduling.
    scheduled: BTreeMap<(Micros, u64), Scheduled>,
    schedule_count: u64,
    rng: Pcg64Mcg,
    codec: Codec,
}

/// The name of an instance.
#[must_use]
pub fn name(node: usize) -> String {
    format!("n{node}")
}

/// The address of an instance has its number in the last two bytes.
fn address(node: usize) -> Address {
    let [.., high, low] = (node as u32).to_be_bytes();
    Address { ip: [127, 1, high, low], port: 7_946 }
}

fn node_at(address: Address) -> usize {
    usize::from(address.ip[2]) * 256 + usize::from(address.ip[3])
}

impl Simulation {
    /// So many instances, all of which join through the first one (and that through the second). Settings are those of
    /// `template`, but for name, address and seeds.
    ///
    /// # Panics
    /// Settings that are invalid.
    #[must_use]
    pub fn new(count: usize, template: Settings, seed: u64) -> Self {
        let codec = Codec::new("lab", &[7; 32]).expect("a key that is long enough");
        let mut simulation = Self {
            now: SECOND,
            network: Network::default(),
            template,
            nodes: Vec::new(),
            scheduled: BTreeMap::new(),
            schedule_count: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            codec,
        };
        for node in 0..count {
            simulation.nodes.push(Node::default());
            simulation.start(node);
        }
        simulation
    }

    /// Starts an instance, or restarts it: it knows its seeds only.
    ///
    /// # Panics
    /// Settings that are invalid.
    pub fn start(&mut self, node: usize) {
        let seed = if node == 0 { address(1) } else { address(0) };
        let settings =
            Settings { name: name(node), address: address(node), seeds: vec![seed], ..self.template.clone() };
        let membership = Membership::new(settings, self.rng.next_u64(), self.now).expect("valid settings");
        let started = &mut self.nodes[node];
        started.membership = Some(membership);
        started.paused = None;
        started.generation += 1;
        let generation = started.generation;
        let first_tick = self.now + self.rng.next_u64() % self.template.tick_interval;
        self.schedule(first_tick, Scheduled::Tick { node, generation });
    }

    /// Ends an instance without a message.
    pub fn kill(&mut self, node: usize) {
        let killed = &mut self.nodes[node];
        killed.membership = None;
        killed.generation += 1;
    }

    /// An instance announces that it leaves, and ends.
    pub fn leave(&mut self, node: usize) {
        self.handle(node, Event::Leave);
        self.kill(node);
    }

    /// Pauses an instance: what arrives waits, while time passes.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = Some(Vec::new());
    }

    /// Resumes a paused instance: first with what has arrived meanwhile.
    pub fn resume(&mut self, node: usize) {
        let Some(waiting) = self.nodes[node].paused.take() else { return };
        for event in waiting {
            self.handle(node, event);
        }
        self.handle(node, Event::Tick);
    }

    /// Blocks all directions between these instances and the others, or opens them again.
    pub fn partition(&mut self, side: &[usize], blocked: bool) {
        let others: Vec<usize> = (0..self.nodes.len()).filter(|node| !side.contains(node)).collect();
        for &one in side {
            for &other in &others {
                for direction in [(one, other), (other, one)] {
                    if blocked {
                        self.network.blocked.insert(direction);
                    } else {
                        self.network.blocked.remove(&direction);
                    }
                }
            }
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), scheduled) = entry.remove_entry();
            self.now = now;
            match scheduled {
                Scheduled::Tick { node, generation } => self.tick(node, generation),
                Scheduled::Delivery { node, datagram } => {
                    if let Ok(message) = self.codec.open(&datagram) {
                        self.handle(node, Event::MessageReceived(message));
                    }
                }
            }
        }
        self.now = end;
    }

    fn tick(&mut self, node: usize, generation: u32) {
        if self.nodes[node].generation != generation {
            return;
        }
        self.schedule(self.now + self.template.tick_interval, Scheduled::Tick { node, generation });
        // Ticks of a paused instance are not kept: it gets one when it is resumed.
        if self.nodes[node].paused.is_none() {
            self.handle(node, Event::Tick);
        }
    }

    /// Lets time pass until something holds; how long that took, `None` where it does not hold within the limit.
    pub fn advance_until(&mut self, limit: Micros, holds: impl Fn(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + limit {
                return None;
            }
            self.advance(LOOK_INTERVAL);
        }
        Some(self.now - start)
    }

    /// The state in which an instance holds another; `None` where it does not know it, or does not run.
    #[must_use]
    pub fn state_of(&self, observer: usize, member: usize) -> Option<MemberState> {
        let id = MemberId::of(&name(member));
        let membership = self.nodes[observer].membership.as_ref()?;
        let found = membership.others().find(|(other, _)| *other == id);
        found.map(|(_, member)| member.state)
    }

    /// The instances that run.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&node| self.nodes[node].membership.is_some()).collect()
    }

    /// Whether all instances that run hold each other for alive.
    #[must_use]
    pub fn all_alive(&self) -> bool {
        let running: Vec<&Membership> =
            self.nodes.iter().filter_map(|node| node.membership.as_ref()).collect();
        running.iter().all(|membership| {
            let others = membership.others();
            let alive = others.filter(|(_, member)| member.state == MemberState::Alive).count();
            alive + 1 >= running.len()
        })
    }

    /// Every change that instances have seen, with the instance and the time.
    pub fn changes(&self) -> impl Iterator<Item = (usize, Micros, &Change)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.flat_map(|(at, node)| node.changes.iter().map(move |(when, change)| (at, *when, change)))
    }

    /// How often an instance declared one dead that runs.
    #[must_use]
    pub fn false_deaths(&self) -> usize {
        let running: BTreeSet<MemberId> =
            self.running().into_iter().map(|node| MemberId::of(&name(node))).collect();
        let deaths = self.changes().filter(|(_, _, change)| change.state == MemberState::Dead);
        deaths.filter(|(_, _, change)| running.contains(&change.id)).count()
    }

    /// Bytes that an instance has sent.
    #[must_use]
    pub fn bytes_sent(&self, node: usize) -> u64 {
        self.nodes[node].bytes_sent
    }

    /// Messages that an instance has sent.
    #[must_use]
    pub fn messages_sent(&self, node: usize) -> u64 {
        self.nodes[node].messages_sent
    }

    /// The state machine of an instance; `None` where it does not run.
    #[must_use]
    pub fn membership(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].membership.as_ref()
    }

    fn schedule(&mut self, at: Micros, scheduled: Scheduled) {
        self.schedule_count += 1;
        self.scheduled.insert((at, self.schedule_count), scheduled);
    }

    /// Feeds an instance with an event, and carries out its effects.
    fn handle(&mut self, node: usize, event: Event) {
        let target = &mut self.nodes[node];
        if let Some(waiting) = &mut target.paused {
            waiting.push(event);
            return;
        }
        let Some(membership) = &mut target.membership else { return };
        let mut effects = Vec::new();
        membership.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let datagram = self.codec.seal(&message).expect("a message fits into a datagram");
                    self.send(node, node_at(to), datagram);
                }
                Effect::MemberChanged(change) => self.nodes[node].changes.push((self.now, change)),
                Effect::Refuted { .. } | Effect::Paused(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, datagram: Vec<u8>) {
        self.nodes[from].bytes_sent += datagram.len() as u64;
        self.nodes[from].messages_sent += 1;
        let draw = self.rng.next_u64() as f64 / u64::MAX as f64;
        if draw < self.network.loss || self.network.blocked.contains(&(from, to)) {
            return;
        }
        let (shortest, longest) = self.network.delay;
        let delay = shortest + self.rng.next_u64() % (longest - shortest).max(1);
        self.schedule(self.now + delay, Scheduled::Delivery { node: to, datagram });
    }
}
