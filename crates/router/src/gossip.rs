//! Load gossip: what fronts tell one another of the work that waits at readers, where the settings allow it. A
//! front tells of work that it sends there, which adds up at all others, and of a queue that it finds there and
//! nobody knew of, which replaces what they believe. An update is five bytes, so that its price stays small
//! however many hear it. One that is malformed or late is not taken for anything.

use std::collections::{BTreeMap, BTreeSet};

use crate::figures::mix;
use crate::interface::{Action, EngineId, Micros, Settings};

/// The check starts from it, so that updates of another version are none.
const VERSION: u8 = 0xa2;
const BYTES: usize = 5;
/// Older updates tell of a queue that is another by now (us).
const OLDEST: Micros = 1_500_000;
/// A little ahead is how far clocks may differ (us).
const AHEAD: Micros = 200_000;
/// Times are told in these steps (us): 256 of them are more than all ages that may be taken for fresh.
const TIME_STEP: Micros = 1 << 14;
/// Amounts are told as the time (us) of the first step, doubled with each so many steps: up to 60 s, with steps
/// of 9% (an estimate is no better), in seven bits.
const FIRST_AMOUNT: f64 = 1_000.0;
const STEPS_TO_DOUBLE: f64 = 8.0;
const MOST_STEPS: u8 = 0x7f;

/// What an update says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// So much work has been sent there (us).
    Sent(Micros),
    /// So much work waits there (us).
    Waits(Micros),
}

/// A front's word on a server, as of a time.
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
pub fn tag(engine: EngineId) -> u16 {
    mix(u64::from(engine.0)) as u16
}

fn to_steps(amount: Micros) -> u8 {
    let steps = (amount as f64 / FIRST_AMOUNT).max(1.0).log2() * STEPS_TO_DOUBLE;
    (steps.round() as u8).min(MOST_STEPS)
}

fn from_steps(steps: u8) -> Micros {
    (FIRST_AMOUNT * (f64::from(steps) / STEPS_TO_DOUBLE).exp2()) as Micros
}

impl LoadUpdate {
    /// As it is sent: check, server, time, kind and amount.
    #[must_use]
    pub fn to_bytes(&self) -> [u8; BYTES] {
        let [low, high] = self.server.to_le_bytes();
        let amount = match self.load {
            Load::Sent(amount) => to_steps(amount),
            Load::Waits(amount) => to_steps(amount) | !MOST_STEPS,
        };
        let mut bytes = [0, low, high, (self.at / TIME_STEP) as u8, amount];
        bytes[0] = check(&bytes);
        bytes
    }

    /// Reads one that has come at `now` (us); `None` for what is to be dropped.
    #[must_use]
    pub fn read(bytes: &[u8], now: Micros) -> Option<Self> {
        let bytes: &[u8; BYTES] = bytes.try_into().ok()?;
        let &[checked, low, high, time, amount] = bytes;
        if checked != check(bytes) {
            return None;
        }
        // The lowest bits of its time, against those of a moment that lies as far ahead as clocks may differ.
        let from = (now + AHEAD) / TIME_STEP;
        let age = Micros::from((from as u8).wrapping_sub(time));
        let known = from_steps(amount & MOST_STEPS);
        let load = if amount & !MOST_STEPS == 0 { Load::Sent(known) } else { Load::Waits(known) };
        let at = (from.saturating_sub(age) * TIME_STEP).min(now);
        let fresh = age * TIME_STEP <= OLDEST + AHEAD;
        fresh.then_some(Self { server: u16::from_le_bytes([low, high]), load, at })
    }
}

/// Differs wherever one bit does, and is not 0 for what holds nothing.
fn check(bytes: &[u8; BYTES]) -> u8 {
    bytes[1..].iter().fold(VERSION, |sum: u8, byte| sum.rotate_left(1) ^ byte)
}

/// What became of updates since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Told to the others.
    pub told: u64,
    /// Heard and taken.
    pub heard: u64,
    /// Heard and dropped: malformed, of another version, late, or of a server that the list does not have.
    pub dropped: u64,
}

/// A queue is news where it differs from what all believe by this share of the shortest aim, and twofold.
const NEWS_SHARE_OF_AIM: f64 = 0.15;
/// Work that is sent is news from this share of the shortest aim on. Less is not worth the price of a datagram: a
/// queue is made by long prompts, and one that many short ones have made is seen by those that come back.
const WORK_SHARE_OF_AIM: f64 = 0.6;
/// For each call of its own, a front tells as much as costs this share of the result; so much is saved up.
const MAY_COST: f64 = 0.01;
const MOST_SAVED: f64 = 4.0;

/// What all fronts believe to wait at servers, and when to tell the others something new. A front that sees
/// few requests would find a buried or sluggish server at the price of one, and a hundred such fronts at the
/// price of each. What is believed only lowers preference, and passes with time.
#[derive(Debug)]
pub(crate) struct LoadGossip {
    believed: BTreeMap<u16, (f64, Micros)>,
    listed: BTreeSet<u16>,
    news: Vec<(EngineId, Load)>, // in this step
    allowed: bool,
    step: f64,
    least_work: f64,
    for_each_call: f64,
    saved: f64,
    counts: GossipCounts,
}

impl LoadGossip {
    pub(crate) fn new(settings: &Settings) -> Self {
        let heard_by = f64::from(settings.balancers.saturating_sub(1));
        let price = settings.peer_price * heard_by * BYTES as f64 / 256.0;
        Self {
            believed: BTreeMap::new(),
            listed: BTreeSet::new(),
            news: Vec::new(),
            allowed: settings.peers && settings.balancers > 1,
            step: NEWS_SHARE_OF_AIM * settings.shortest_aim(),
            least_work: WORK_SHARE_OF_AIM * settings.shortest_aim(),
            for_each_call: (MAY_COST / price.max(f64::MIN_POSITIVE)).min(1.0),
            saved: 0.0,
            counts: GossipCounts::default(),
        }
    }

    /// Takes new settings; what is believed and counted stays.
    pub(crate) fn retune(&mut self, settings: &Settings) {
        let Self { allowed, step, least_work, for_each_call, .. } = Self::new(settings);
        (self.allowed, self.step, self.least_work) = (allowed, step, least_work);
        self.for_each_call = for_each_call;
    }

    pub(crate) fn counts(&self) -> GossipCounts {
        self.counts
    }

    /// A call has come in: it pays for some news.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + self.for_each_call).min(MOST_SAVED);
    }

    /// How much work is said to wait at a server (us).
    pub(crate) fn believed(&self, engine: EngineId, now: Micros) -> f64 {
        self.at(tag(engine), now)
    }

    fn at(&self, server: u16, now: Micros) -> f64 {
        let Some(&(waits, at)) = self.believed.get(&server) else { return 0.0 };
        (waits - now.saturating_sub(at) as f64).max(0.0)
    }

    /// This front sends so much work there (us).
    pub(crate) fn sent(&mut self, engine: EngineId, work: f64) {
        if self.allowed {
            self.news.push((engine, Load::Sent(work as Micros)));
        }
    }

    /// This front has seen work wait at a server for so long (us), where so much was believed to.
    pub(crate) fn saw(&mut self, engine: EngineId, queued: f64, expected: f64) {
        if self.allowed && queued > 2.0 * expected + self.step {
            self.news.push((engine, Load::Waits(queued as Micros)));
        }
    }

    /// Tells the others what of it is news.
    pub(crate) fn tell(&mut self, now: Micros, out: &mut Vec<Action>) {
        for (engine, load) in std::mem::take(&mut self.news) {
            let update = LoadUpdate { server: tag(engine), load, at: now };
            let news = match load {
                Load::Sent(work) => work as f64 >= self.least_work,
                Load::Waits(queued) => queued as f64 > 2.0 * self.believed(engine, now) + self.step,
            };
            if news && self.saved >= 1.0 {
                self.saved -= 1.0;
                self.counts.told += 1;
                out.push(Action::Tell(update.to_bytes().to_vec()));
            }
            if news || matches!(load, Load::Sent(_)) {
                self.take(update, now);
            }
        }
    }

    /// Takes a message of another front, if it is an update on a server that the list has.
    pub(crate) fn hear(&mut self, bytes: &[u8], now: Micros) {
        let listed = |update: &LoadUpdate| self.allowed && self.listed.contains(&update.server);
        match LoadUpdate::read(bytes, now).filter(listed) {
            Some(update) => {
                self.counts.heard += 1;
                self.take(update, now);
            }
            None => self.counts.dropped += 1,
        }
    }

    fn take(&mut self, update: LoadUpdate, now: Micros) {
        let before = self.at(update.server, now);
        let passed = now.saturating_sub(update.at) as f64;
        let waits = match update.load {
            Load::Sent(work) => before + (work as f64 - if before > 0.0 { 0.0 } else { passed }).max(0.0),
            Load::Waits(queued) => before.max(queued as f64 - passed),
        };
        self.believed.insert(update.server, (waits, now));
    }

    /// These servers are on the list; others are forgotten.
    pub(crate) fn list(&mut self, engines: impl Iterator<Item = EngineId>) {
        self.listed = engines.map(tag).collect();
        self.believed.retain(|server, _| self.listed.contains(server));
    }
}
