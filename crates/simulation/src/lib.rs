//! Discrete-event simulation of a cluster: many instances of [`Membership`] in virtual time, a network that loses,
//! delays and blocks messages, and instances that are killed, restarted or paused. Simulating a minute of 500
//! instances takes seconds. Runs are deterministic: the same seed gives the same run.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::codec::Codec;
use dewladder_membership::{
    Address, Effect, Event, MemberChange, MemberId, MemberState, Membership, Micros, Settings,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One second of virtual time.
pub const SECOND: Micros = 1_000_000;
/// How often [`Simulation::advance_until`] checks its condition, in virtual time.
const CHECK_INTERVAL: Micros = 10_000;

/// The faults and delays of the simulated network.
#[derive(Clone, Debug)]
pub struct Network {
    /// The probability that a message is lost, 0 to 1.
    pub loss: f64,
    /// The minimum and maximum delay of a message; delays are uniformly distributed in between.
    pub delay: (Micros, Micros),
    /// Pairs of a sender and a receiver between which all messages are lost, in this direction only.
    pub blocked: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Self {
        Self { loss: 0.0, delay: (200, 2_000), blocked: BTreeSet::new() }
    }
}

/// A simulated instance, whether it runs or not.
#[derive(Debug, Default)]
struct Node {
    /// Its state machine; `None` if it does not run.
    membership: Option<Membership>,
    /// Incremented by each start and kill, so that ticks scheduled for an earlier run are ignored.
    generation: u32,
    /// The events that have arrived since it was paused; `None` if it is not paused.
    paused: Option<Vec<Event>>,
    bytes_sent: u64,
    messages_sent: u64,
    changes: Vec<(Micros, MemberChange)>,
}

/// A scheduled event.
#[derive(Debug)]
enum Scheduled {
    Tick { node: usize, generation: u32 },
    Delivery { node: usize, datagram: Vec<u8> },
}

/// A simulated cluster. Instances are numbered from 0.
#[derive(Debug)]
pub struct Simulation {
    /// The current virtual time.
    pub now: Micros,
    /// The network. Its faults may be changed between two calls that let time pass.
    pub network: Network,
    template: Settings,
    nodes: Vec<Node>,
    /// Events in the order of their times; those for the same time are in the order in which they were scheduled.
    scheduled: BTreeMap<(Micros, u64), Scheduled>,
    schedule_count: u64,
    rng: Pcg64Mcg,
    codec: Codec,
}

/// The name of the instance with this number.
#[must_use]
pub fn name(node: usize) -> String {
    format!("n{node}")
}

/// The address of the instance with this number, which its last two bytes encode.
fn address(node: usize) -> Address {
    let [.., high, low] = (node as u32).to_be_bytes();
    Address { ip: [127, 1, high, low], port: 7_946 }
}

/// The number of the instance with this address.
fn node_at(address: Address) -> usize {
    usize::from(address.ip[2]) * 256 + usize::from(address.ip[3])
}

impl Simulation {
    /// Creates and starts `count` instances. All join through instance 0, and that one through instance 1. They have
    /// the settings of `template`, except for name, address and seeds.
    ///
    /// # Panics
    /// If the settings are invalid.
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

    /// Starts or restarts an instance, which knows only its seed.
    ///
    /// # Panics
    /// If the settings are invalid.
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

    /// Kills an instance: it stops without notifying other members.
    pub fn kill(&mut self, node: usize) {
        let killed = &mut self.nodes[node];
        killed.membership = None;
        killed.generation += 1;
    }

    /// Shuts an instance down: it notifies other members that it leaves, and stops.
    pub fn leave(&mut self, node: usize) {
        self.handle(node, Event::Leave);
        self.kill(node);
    }

    /// Pauses an instance: messages that arrive are queued, and its ticks are skipped.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused = Some(Vec::new());
    }

    /// Resumes a paused instance: it handles the queued messages first, and then a tick.
    pub fn resume(&mut self, node: usize) {
        let Some(queued) = self.nodes[node].paused.take() else { return };
        for event in queued {
            self.handle(node, event);
        }
        self.handle(node, Event::Tick);
    }

    /// Blocks all messages between the instances in `side` and the others, in both directions, or unblocks them.
    pub fn partition(&mut self, side: &[usize], blocked: bool) {
        let others: Vec<usize> = (0..self.nodes.len()).filter(|node| !side.contains(node)).collect();
        for &inside in side {
            for &other in &others {
                for direction in [(inside, other), (other, inside)] {
                    if blocked {
                        self.network.blocked.insert(direction);
                    } else {
                        self.network.blocked.remove(&direction);
                    }
                }
            }
        }
    }

    /// Advances the virtual time by `time`, handling all events that are due.
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
        // Ticks of a paused instance are not queued: it gets one when it is resumed.
        if self.nodes[node].paused.is_none() {
            self.handle(node, Event::Tick);
        }
    }

    /// Advances the virtual time until a condition holds. Returns how long that took, or `None` if the condition does
    /// not hold within `limit`.
    pub fn advance_until(&mut self, limit: Micros, condition: impl Fn(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while !condition(self) {
            if self.now >= start + limit {
                return None;
            }
            self.advance(CHECK_INTERVAL);
        }
        Some(self.now - start)
    }

    /// The state that `observer` records for `member`; `None` if it does not know that member, or does not run.
    #[must_use]
    pub fn state_of(&self, observer: usize, member: usize) -> Option<MemberState> {
        let id = MemberId::of(&name(member));
        let membership = self.nodes[observer].membership.as_ref()?;
        let found = membership.others().find(|(other, _)| *other == id);
        found.map(|(_, member)| member.state)
    }

    /// The numbers of the instances that run, including paused ones.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&node| self.nodes[node].membership.is_some()).collect()
    }

    /// Whether every running instance records all other running ones as alive. Only the number of alive members is
    /// compared.
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

    /// Every state change that an instance has recorded, as the observing instance, the time and the change.
    pub fn changes(&self) -> impl Iterator<Item = (usize, Micros, &MemberChange)> {
        let nodes = self.nodes.iter().enumerate();
        nodes.flat_map(|(at, node)| node.changes.iter().map(move |(when, change)| (at, *when, change)))
    }

    /// How many times an instance recorded another one as dead that is running now.
    #[must_use]
    pub fn false_deaths(&self) -> usize {
        let running: BTreeSet<MemberId> =
            self.running().into_iter().map(|node| MemberId::of(&name(node))).collect();
        let deaths = self.changes().filter(|(_, _, change)| change.state == MemberState::Dead);
        deaths.filter(|(_, _, change)| running.contains(&change.id)).count()
    }

    /// The number of bytes that an instance has sent in datagrams.
    #[must_use]
    pub fn bytes_sent(&self, node: usize) -> u64 {
        self.nodes[node].bytes_sent
    }

    /// The number of messages that an instance has sent, including lost ones.
    #[must_use]
    pub fn messages_sent(&self, node: usize) -> u64 {
        self.nodes[node].messages_sent
    }

    /// The state machine of an instance; `None` if it does not run.
    #[must_use]
    pub fn membership(&self, node: usize) -> Option<&Membership> {
        self.nodes[node].membership.as_ref()
    }

    fn schedule(&mut self, at: Micros, scheduled: Scheduled) {
        self.schedule_count += 1;
        self.scheduled.insert((at, self.schedule_count), scheduled);
    }

    /// Passes an event to an instance and carries out its effects. If the instance is paused, the event is queued.
    fn handle(&mut self, node: usize, event: Event) {
        let target = &mut self.nodes[node];
        if let Some(queued) = &mut target.paused {
            queued.push(event);
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
