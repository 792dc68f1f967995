//! Load gossip: what dispatchers tell one another of the work that waits at readers, where the settings allow
//! it.
//!
//! A dispatcher tells of work that it sends there, which adds up at all others, and of a queue that it finds
//! there and nobody knew of, which replaces what they believe. What is believed only lowers preference, and
//! passes with time. An update is five bytes, so that its price stays small however many receive it. One that
//! is malformed or late is dropped.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Action, Micros, ServerId, Settings};
use crate::statistics::mix;

/// The checksum starts from it, so that updates of another version do not pass.
const VERSION: u8 = 0xa2;
const UPDATE_BYTES: usize = 5;
/// Older updates tell of a queue that is another by now (us).
const MAX_AGE_US: Micros = 1_500_000;
/// Clocks may differ by so much (us).
const MAX_CLOCK_SKEW_US: Micros = 200_000;
/// Times are told in these steps (us): 256 of them are more than all ages that may be taken for fresh.
const TIME_STEP_US: Micros = 1 << 14;
/// Amounts are told as the time (us) of the first step, doubled with each so many steps: up to 60 s, with
/// steps of 9% (an estimate is no better), in seven bits.
const MIN_AMOUNT_US: f64 = 1_000.0;
const STEPS_PER_DOUBLING: f64 = 8.0;
const MAX_STEPS: u8 = 0x7f;

/// What an update says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// So much work has been sent there (us).
    Sent(Micros),
    /// So much work waits there (us).
    Waits(Micros),
}

/// What a dispatcher says of a server, as of a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadUpdate {
    /// The server's tag, of [`tag`].
    pub server: u16,
    /// What it says (in steps).
    pub load: Load,
    /// When it was sent (us, in steps).
    pub at: Micros,
}

/// The part of a server's id that updates name it by. Two servers with one tag share what is said of either.
#[must_use]
pub fn tag(server: ServerId) -> u16 {
    mix(u64::from(server.0)) as u16
}

fn to_steps(amount: Micros) -> u8 {
    let steps = (amount as f64 / MIN_AMOUNT_US).max(1.0).log2() * STEPS_PER_DOUBLING;
    (steps.round() as u8).min(MAX_STEPS)
}

fn from_steps(steps: u8) -> Micros {
    (MIN_AMOUNT_US * (f64::from(steps) / STEPS_PER_DOUBLING).exp2()) as Micros
}

impl LoadUpdate {
    /// As it is sent: checksum, server (little-endian), time, kind (the highest bit) and amount.
    #[must_use]
    pub fn to_bytes(&self) -> [u8; UPDATE_BYTES] {
        let [low, high] = self.server.to_le_bytes();
        let amount = match self.load {
            Load::Sent(amount) => to_steps(amount),
            Load::Waits(amount) => to_steps(amount) | !MAX_STEPS,
        };
        let mut bytes = [0, low, high, (self.at / TIME_STEP_US) as u8, amount];
        bytes[0] = checksum(&bytes);
        bytes
    }

    /// Reads one that has come at `now` (us); `None` for what is to be dropped: malformed, of another
    /// version, or too old.
    #[must_use]
    pub fn read(bytes: &[u8], now: Micros) -> Option<Self> {
        let bytes: &[u8; UPDATE_BYTES] = bytes.try_into().ok()?;
        let &[received, low, high, time, amount] = bytes;
        if received != checksum(bytes) {
            return None;
        }
        // The lowest bits of its time, against those of a moment that lies as far ahead as clocks may differ.
        let from = (now + MAX_CLOCK_SKEW_US) / TIME_STEP_US;
        let age = Micros::from((from as u8).wrapping_sub(time));
        let amount_us = from_steps(amount & MAX_STEPS);
        let load = if amount & !MAX_STEPS == 0 { Load::Sent(amount_us) } else { Load::Waits(amount_us) };
        let at = (from.saturating_sub(age) * TIME_STEP_US).min(now);
        let fresh = age * TIME_STEP_US <= MAX_AGE_US + MAX_CLOCK_SKEW_US;
        fresh.then_some(Self { server: u16::from_le_bytes([low, high]), load, at })
    }
}

/// Differs wherever one bit does, and is not 0 for what holds nothing.
fn checksum(bytes: &[u8; UPDATE_BYTES]) -> u8 {
    bytes[1..].iter().fold(VERSION, |sum: u8, byte| sum.rotate_left(1) ^ byte)
}

/// What became of updates since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Sent to the other dispatchers.
    pub sent: u64,
    /// Received and taken.
    pub received: u64,
    /// Received and dropped: malformed, of another version, late, or of a server that the list does not have.
    pub dropped: u64,
}

/// Bytes that the price of a message is told for.
const PRICED_BYTES: f64 = 256.0;
/// A queue is news where it differs from what all believe by this share of the shortest latency objective,
/// and twofold.
const QUEUE_NEWS_SHARE_OF_OBJECTIVE: f64 = 0.15;
const QUEUE_NEWS_MULTIPLE: f64 = 2.0;
/// Work that is sent is news from this share of the shortest latency objective on. Less is not worth the
/// price of a datagram: a queue is made by long prompts, and one that many short ones have made is seen by
/// those that come back.
const WORK_NEWS_SHARE_OF_OBJECTIVE: f64 = 0.6;
/// For each request of its own, a dispatcher sends as much as costs this share of the result.
const MAX_COST_SHARE: f64 = 0.01;
/// Updates that may be saved up.
const MAX_CREDIT: f64 = 4.0;

/// Something to tell of a server, in the current step.
#[derive(Clone, Copy, Debug)]
struct News {
    server: ServerId,
    load: Load,
}

/// Work that is believed to wait at a server, as of a time.
#[derive(Clone, Copy, Debug)]
struct Belief {
    queueing_us: f64,
    at: Micros,
}

/// What all dispatchers believe to wait at servers, and when to tell the others something new. A dispatcher
/// that sees few requests would find a buried or slow server at the price of one, and a hundred of them at
/// the price of each.
#[derive(Debug)]
pub(crate) struct LoadGossip {
    /// By the servers' tags.
    beliefs: BTreeMap<u16, Belief>,
    /// Tags of the servers of the list.
    listed: BTreeSet<u16>,
    pending: Vec<News>,
    costs: GossipCosts,
    /// Updates that may be sent now.
    credit: f64,
    counts: GossipCounts,
}

/// What the settings make of gossip.
#[derive(Clone, Copy, Debug)]
struct GossipCosts {
    is_enabled: bool,
    min_queue_step_us: f64,
    min_work_us: f64,
    credit_per_request: f64,
}

impl GossipCosts {
    fn new(settings: &Settings) -> Self {
        let receivers = f64::from(settings.dispatcher_count.saturating_sub(1));
        let price = settings.gossip_price * receivers * UPDATE_BYTES as f64 / PRICED_BYTES;
        Self {
            is_enabled: settings.peers && settings.dispatcher_count > 1,
            min_queue_step_us: QUEUE_NEWS_SHARE_OF_OBJECTIVE * settings.shortest_latency_objective(),
            min_work_us: WORK_NEWS_SHARE_OF_OBJECTIVE * settings.shortest_latency_objective(),
            credit_per_request: (MAX_COST_SHARE / price.max(f64::MIN_POSITIVE)).min(1.0),
        }
    }

    /// Whether a queue of that length is news where so much was expected.
    fn is_queue_news(&self, queueing_us: f64, expected_us: f64) -> bool {
        queueing_us > QUEUE_NEWS_MULTIPLE * expected_us + self.min_queue_step_us
    }
}

impl LoadGossip {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            beliefs: BTreeMap::new(),
            listed: BTreeSet::new(),
            pending: Vec::new(),
            costs: GossipCosts::new(settings),
            credit: 0.0,
            counts: GossipCounts::default(),
        }
    }

    /// Takes new settings; what is believed and counted stays.
    pub(crate) fn reload(&mut self, settings: &Settings) {
        self.costs = GossipCosts::new(settings);
    }

    pub(crate) fn counts(&self) -> GossipCounts {
        self.counts
    }

    /// A request has come in: it pays for some updates.
    pub(crate) fn add_credit(&mut self) {
        self.credit = (self.credit + self.costs.credit_per_request).min(MAX_CREDIT);
    }

    /// How much work is believed to wait at a server (us).
    pub(crate) fn believed_us(&self, server: ServerId, now: Micros) -> f64 {
        self.believed_of_tag(tag(server), now)
    }

    fn believed_of_tag(&self, tag: u16, now: Micros) -> f64 {
        let Some(belief) = self.beliefs.get(&tag) else { return 0.0 };
        (belief.queueing_us - now.saturating_sub(belief.at) as f64).max(0.0)
    }

    /// This dispatcher sends so much work there (us).
    pub(crate) fn record_sent(&mut self, server: ServerId, work_us: f64) {
        if self.costs.is_enabled {
            self.pending.push(News { server, load: Load::Sent(work_us as Micros) });
        }
    }

    /// This dispatcher has seen work queue at a server for so long, where so much was expected to (us).
    pub(crate) fn record_queueing(&mut self, server: ServerId, queueing_us: f64, expected_us: f64) {
        if self.costs.is_enabled && self.costs.is_queue_news(queueing_us, expected_us) {
            self.pending.push(News { server, load: Load::Waits(queueing_us as Micros) });
        }
    }

    /// Sends the others what is news to them, as far as that is paid for.
    pub(crate) fn publish(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for News { server, load } in std::mem::take(&mut self.pending) {
            let update = LoadUpdate { server: tag(server), load, at: now };
            let is_news = match load {
                Load::Sent(work_us) => work_us as f64 >= self.costs.min_work_us,
                Load::Waits(queueing_us) => {
                    self.costs.is_queue_news(queueing_us as f64, self.believed_us(server, now))
                }
            };
            if is_news && self.credit >= 1.0 {
                self.credit -= 1.0;
                self.counts.sent += 1;
                actions.push(Action::PublishGossip(update.to_bytes().to_vec()));
            }
            if is_news || matches!(load, Load::Sent(_)) {
                self.believe(update, now);
            }
        }
    }

    /// Takes a message of another dispatcher, if it is an update on a server that the list has.
    pub(crate) fn receive(&mut self, bytes: &[u8], now: Micros) {
        let is_listed = |update: &LoadUpdate| self.costs.is_enabled && self.listed.contains(&update.server);
        match LoadUpdate::read(bytes, now).filter(is_listed) {
            Some(update) => {
                self.counts.received += 1;
                self.believe(update, now);
            }
            None => self.counts.dropped += 1,
        }
    }

    fn believe(&mut self, update: LoadUpdate, now: Micros) {
        let before_us = self.believed_of_tag(update.server, now);
        let passed_us = now.saturating_sub(update.at) as f64;
        let queueing_us = match update.load {
            Load::Sent(work_us) => {
                // Behind other work it waits in full; at an idle server it has been worked off since.
                let worked_off_us = if before_us > 0.0 { 0.0 } else { passed_us };
                before_us + (work_us as f64 - worked_off_us).max(0.0)
            }
            Load::Waits(queueing_us) => before_us.max(queueing_us as f64 - passed_us),
        };
        self.beliefs.insert(update.server, Belief { queueing_us, at: now });
    }

    /// These servers are on the list; others are forgotten.
    pub(crate) fn set_servers(&mut self, servers: impl Iterator<Item = ServerId>) {
        self.listed = servers.map(tag).collect();
        self.beliefs.retain(|tag, _| self.listed.contains(tag));
    }
}
