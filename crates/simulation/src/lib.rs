//! Clusters in virtual time: many instances of [`Membership`], a network that loses, delays and cuts by a seed, and
//! instances that die, start again, or stand still and wake up late. A minute of 500 instances takes seconds; the
//! same seed gives the same run.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::codec::Codec;
use dewladder_membership::{
    Address, Change, Effect, Event, Member, MemberId, MemberState, Membership, Micros, Settings,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// What the network does to a message.
#[derive(Clone, Debug)]
pub struct Net {
    /// The share of messages that is lost.
    pub loss: f64,
    /// The shortest and the longest time under way.
    pub delay: (Micros, Micros),
    /// From whom to whom nothing passes.
    pub cuts: BTreeSet<(usize, usize)>,
}

impl Default for Net {
    fn default() -> Self {
        Self { loss: 0.0, delay: (200, 2_000), cuts: BTreeSet::new() }
    }
}

/// An instance.
#[derive(Debug)]
struct Node {
    membership: Option<Membership>,
    /// Which life: what was meant for an earlier one is not delivered.
    life: u32,
    /// Stands still, with what came meanwhile.
    paused: Option<Vec<Event>>,
    bytes_out: u64,
    messages_out: u64,
    seen: Vec<(Micros, Change)>,
}

#[derive(Debug)]
enum Due {
    Tick { at: usize, life: u32 },
    Arrives { at: usize, bytes: Vec<u8> },
}

/// A cluster.
#[derive(Debug)]
pub struct Lab {
    /// The time.
    pub now: Micros,
    /// The network, which may be changed between steps.
    pub net: Net,
    template: Settings,
    nodes: Vec<Node>,
    due: BTreeMap<(Micros, u64), Due>,
    numbers: u64,
    rng: Pcg64Mcg,
    codec: Codec,
}

/// The name of the instance with that number.
#[must_use]
pub fn name(at: usize) -> String {
    format!("n{at}")
}

fn address(at: usize) -> Address {
    let [.., high, low] = (at as u32).to_be_bytes();
    Address { ip: [127, 1, high, low], port: 7_946 }
}

impl Lab {
    /// So many instances, all of which join the first at the start; settings but for name, place and seeds are those of
    /// `template`.
    #[must_use]
    pub fn new(count: usize, template: Settings, seed: u64) -> Self {
        let codec = Codec::new("lab", &[7; 32]).expect("a key that is long enough");
        let mut lab = Self {
            now: SECOND,
            net: Net::default(),
            template,
            nodes: Vec::new(),
            due: BTreeMap::new(),
            numbers: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            codec,
        };
        for at in 0..count {
            let seen = Vec::new();
            lab.nodes.push(Node {
                membership: None,
                life: 0,
                paused: None,
                bytes_out: 0,
                messages_out: 0,
                seen,
            });
            lab.start(at);
        }
        lab
    }

    /// Starts an instance, anew where it has run: it knows its seeds only.
    pub fn start(&mut self, at: usize) {
        let seeds = if at == 0 { vec![address(1)] } else { vec![address(0)] };
        let settings = Settings { name: name(at), address: address(at), seeds, ..self.template.clone() };
        let membership =
            Membership::new(settings, self.rng.next_u64(), self.now).expect("settings that can be");
        let node = &mut self.nodes[at];
        (node.membership, node.paused) = (Some(membership), None);
        node.life += 1;
        let life = node.life;
        let first = self.rng.next_u64() % self.template.tick_interval;
        self.push(self.now + first, Due::Tick { at, life });
    }

    /// Ends an instance without a word.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].membership = None;
        self.nodes[at].life += 1;
    }

    /// An instance says that it leaves, and ends.
    pub fn leave(&mut self, at: usize) {
        self.step(at, Event::Leave);
        self.kill(at);
    }

    /// An instance stands still: what comes waits, its clock goes on.
    pub fn pause(&mut self, at: usize) {
        self.nodes[at].paused = Some(Vec::new());
    }

    /// An instance that stood still goes on: first with what has come meanwhile.
    pub fn wake(&mut self, at: usize) {
        let Some(waiting) = self.nodes[at].paused.take() else { return };
        for event in waiting {
            self.step(at, event);
        }
        self.step(at, Event::Tick);
    }

    /// Cuts all ways between the two sides, or mends them.
    pub fn partition(&mut self, side: &[usize], cut: bool) {
        let other: Vec<usize> = (0..self.nodes.len()).filter(|at| !side.contains(at)).collect();
        for &a in side {
            for &b in &other {
                for way in [(a, b), (b, a)] {
                    if cut {
                        self.net.cuts.insert(way);
                    } else {
                        self.net.cuts.remove(&way);
                    }
                }
            }
        }
    }

    /// Lets time pass.
    pub fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), due) = entry.remove_entry();
            self.now = now;
            match due {
                Due::Tick { at, life } => {
                    if self.nodes[at].life != life {
                        continue;
                    }
                    self.push(now + self.template.tick_interval, Due::Tick { at, life });
                    // Timers of one that stands still are not kept: it gets one tick on waking.
                    if self.nodes[at].paused.is_none() {
                        self.step(at, Event::Tick);
                    }
                }
                Due::Arrives { at, bytes } => {
                    if let Ok(message) = self.codec.open(&bytes) {
                        self.step(at, Event::MessageReceived(message));
                    }
                }
            }
        }
        self.now = end;
    }

    /// Lets time pass until something holds, looking every 10 ms; how long that took, `None` if so long was not enough.
    pub fn until(&mut self, most: Micros, holds: impl Fn(&Self) -> bool) -> Option<Micros> {
        let start = self.now;
        while !holds(self) {
            if self.now >= start + most {
                return None;
            }
            self.pass(10_000);
        }
        Some(self.now - start)
    }

    /// How an instance holds another; `None` where it does not know it, or does not run.
    #[must_use]
    pub fn held(&self, at: usize, other: usize) -> Option<MemberState> {
        let id = MemberId::of(&name(other));
        let membership = self.nodes[at].membership.as_ref()?;
        let found = membership.others().find(|(other, _)| *other == id);
        found.map(|(_, member)| member.state)
    }

    /// The instances that run.
    #[must_use]
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&at| self.nodes[at].membership.is_some()).collect()
    }

    /// All that run hold each other for alive.
    #[must_use]
    pub fn all_alive(&self) -> bool {
        let running = self.running();
        running.iter().all(|&a| {
            let Some(membership) = &self.nodes[a].membership else { return false };
            let alive = |(_, member): &(MemberId, &Member)| member.state == MemberState::Alive;
            membership.others().filter(alive).count() + 1 >= running.len()
        })
    }

    /// Every change that instances have seen, by whom and when.
    pub fn changes(&self) -> impl Iterator<Item = (usize, Micros, &Change)> {
        self.nodes
            .iter()
            .enumerate()
            .flat_map(|(at, node)| node.seen.iter().map(move |(when, change)| (at, *when, change)))
    }

    /// How often an instance that ran was held for dead by one that ran.
    #[must_use]
    pub fn false_deaths(&self) -> usize {
        let running: BTreeSet<MemberId> =
            self.running().into_iter().map(|at| MemberId::of(&name(at))).collect();
        let dead = |(_, _, change): &(usize, Micros, &Change)| {
            change.state == MemberState::Dead && running.contains(&change.id)
        };
        self.changes().filter(dead).count()
    }

    /// Bytes that an instance has sent.
    #[must_use]
    pub fn bytes_out(&self, at: usize) -> u64 {
        self.nodes[at].bytes_out
    }

    /// Messages that an instance has sent.
    #[must_use]
    pub fn messages_out(&self, at: usize) -> u64 {
        self.nodes[at].messages_out
    }

    /// The state machine of an instance that runs.
    #[must_use]
    pub fn membership(&self, at: usize) -> Option<&Membership> {
        self.nodes[at].membership.as_ref()
    }

    fn push(&mut self, when: Micros, due: Due) {
        self.numbers += 1;
        self.due.insert((when, self.numbers), due);
    }

    fn step(&mut self, at: usize, event: Event) {
        let node = &mut self.nodes[at];
        if let Some(waiting) = &mut node.paused {
            return waiting.push(event);
        }
        let Some(membership) = &mut node.membership else { return };
        let mut effects = Vec::new();
        membership.handle(self.now, event, &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    let bytes = self.codec.seal(&message).expect("a message fits into a datagram");
                    self.nodes[at].bytes_out += bytes.len() as u64;
                    self.nodes[at].messages_out += 1;
                    self.send(at, to, bytes);
                }
                Effect::MemberChanged(change) => self.nodes[at].seen.push((self.now, change)),
                Effect::Refuted { .. } | Effect::Paused(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: Address, bytes: Vec<u8>) {
        let to = usize::from(to.ip[2]) * 256 + usize::from(to.ip[3]);
        let lot = self.rng.next_u64() as f64 / u64::MAX as f64;
        if lot < self.net.loss || self.net.cuts.contains(&(from, to)) {
            return;
        }
        let (least, most) = self.net.delay;
        let delay = least + self.rng.next_u64() % (most - least).max(1);
        self.push(self.now + delay, Due::Arrives { at: to, bytes });
    }
}
