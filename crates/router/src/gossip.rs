//! Load gossip: dispatchers inform one another about the work queued at readers, if the settings allow it.
//!
//! A dispatcher reports work that it sends to a server, which all others add to their estimate for that
//! server, and a queue that is much longer than the estimates said, which raises the estimate to its length.
//! Estimates only lower the preference for a server, and shrink as time passes. An update is five bytes long,
//! so that its price stays small with many receivers. Malformed and late updates are dropped.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Action, Micros, ServerId, Settings};
use crate::statistics::mix;

/// Initial value of the checksum, so that updates of another protocol version are dropped.
const VERSION: u8 = 0xa2;
/// Length of an encoded update.
const UPDATE_BYTES: usize = 5;
/// Updates older than this are dropped, as the queue has changed since (us).
const MAX_AGE_US: Micros = 1_500_000;
/// Maximum difference assumed between the clocks of two dispatchers (us).
const MAX_CLOCK_SKEW_US: Micros = 200_000;
/// Resolution of encoded times (us). An encoded time is one byte; 256 steps are longer than the maximum age
/// plus clock skew, so that it is unambiguous.
const TIME_STEP_US: Micros = 1 << 14;
/// Amounts of work are encoded logarithmically in seven bits: step 0 is this time (us), and the time doubles
/// with every `STEPS_PER_DOUBLING` steps. This covers up to 60 s in steps of 9%, which is as precise as the
/// estimates themselves.
const MIN_AMOUNT_US: f64 = 1_000.0;
const STEPS_PER_DOUBLING: f64 = 8.0;
const MAX_STEPS: u8 = 0x7f;

/// The load of a server that an update reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// The sender has just sent this much work to the server (us).
    Sent(Micros),
    /// This much work is queued at the server, from any dispatcher (us).
    Queued(Micros),
}

/// A report on the load of one server, sent from one dispatcher to all others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadUpdate {
    /// The server's tag, as returned by [`tag`].
    pub server: u16,
    /// The reported load; encoding rounds it to a step.
    pub load: Load,
    /// When the update was sent (us); encoding rounds it down to a step.
    pub at: Micros,
}

/// A 16-bit hash of a server's id that identifies it in updates. Servers with equal tags share one estimate.
#[must_use]
pub fn tag(server: ServerId) -> u16 {
    mix(u64::from(server.0)) as u16
}

/// Encodes an amount of work (us) as a number of steps, at most `MAX_STEPS`.
fn to_steps(amount: Micros) -> u8 {
    let steps = libm::log2((amount as f64 / MIN_AMOUNT_US).max(1.0)) * STEPS_PER_DOUBLING;
    (steps.round() as u8).min(MAX_STEPS)
}

/// The amount of work (us) for a number of steps.
fn from_steps(steps: u8) -> Micros {
    (MIN_AMOUNT_US * libm::exp2(f64::from(steps) / STEPS_PER_DOUBLING)) as Micros
}

impl LoadUpdate {
    /// Encodes the update: checksum, server tag (two bytes, little-endian), time, and amount. The highest bit
    /// of the amount is set for [`Load::Queued`].
    #[must_use]
    pub fn to_bytes(&self) -> [u8; UPDATE_BYTES] {
        let [low, high] = self.server.to_le_bytes();
        let amount = match self.load {
            Load::Sent(amount) => to_steps(amount),
            Load::Queued(amount) => to_steps(amount) | !MAX_STEPS,
        };
        let mut bytes = [0, low, high, (self.at / TIME_STEP_US) as u8, amount];
        bytes[0] = checksum(&bytes);
        bytes
    }

    /// Decodes an update received at `now` (us). Returns `None` if it is malformed, of another protocol
    /// version or too old.
    #[must_use]
    pub fn read(bytes: &[u8], now: Micros) -> Option<Self> {
        let bytes: &[u8; UPDATE_BYTES] = bytes.try_into().ok()?;
        let &[received, low, high, time, amount] = bytes;
        if received != checksum(bytes) {
            return None;
        }
        // The update has only the lowest eight bits of its time. Its age is counted back from the latest time
        // that the sender's clock can show, so that it is never negative.
        let from = (now + MAX_CLOCK_SKEW_US) / TIME_STEP_US;
        let age = Micros::from((from as u8).wrapping_sub(time));
        let amount_us = from_steps(amount & MAX_STEPS);
        let load = if amount & !MAX_STEPS == 0 { Load::Sent(amount_us) } else { Load::Queued(amount_us) };
        let at = (from.saturating_sub(age) * TIME_STEP_US).min(now);
        let is_fresh = age * TIME_STEP_US <= MAX_AGE_US + MAX_CLOCK_SKEW_US;
        is_fresh.then_some(Self { server: u16::from_le_bytes([low, high]), load, at })
    }
}

/// Checksum of the bytes after the first. It detects every single-bit error, and is not 0 for all-zero bytes.
fn checksum(bytes: &[u8; UPDATE_BYTES]) -> u8 {
    bytes[1..].iter().fold(VERSION, |sum: u8, byte| sum.rotate_left(1) ^ byte)
}

/// Counts of gossip updates since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Updates sent to the other dispatchers, counted once each, however many receive them.
    pub sent: u64,
    /// Updates received and applied.
    pub received: u64,
    /// Updates received and dropped: malformed, of another version, late, for a server that is not listed, or
    /// received while gossip is disabled.
    pub dropped: u64,
}

/// The price of gossip is set for this many delivered bytes.
const PRICED_BYTES: f64 = 256.0;
/// A queue is reported if it is longer than twice the estimate (`QUEUE_REPORT_MULTIPLE`) plus this share of
/// the shortest latency objective.
const MIN_QUEUE_SHARE_OF_OBJECTIVE: f64 = 0.15;
const QUEUE_REPORT_MULTIPLE: f64 = 2.0;
/// Sent work is reported if it takes at least this share of the shortest latency objective. Less is not worth
/// the price of a datagram: queues are mostly caused by long prompts, and one caused by many short prompts
/// shows in the answers to them.
const MIN_WORK_SHARE_OF_OBJECTIVE: f64 = 0.6;
/// Maximum cost of gossip per request received by this dispatcher, as a share of the total result.
const MAX_COST_SHARE: f64 = 0.01;
/// Maximum credit that accumulates while none is spent (number of updates).
const MAX_CREDIT: f64 = 4.0;

/// A load report of the current event, before it is decided whether to send it.
#[derive(Clone, Copy, Debug)]
struct PendingReport {
    server: ServerId,
    load: Load,
}

/// The work estimated to be queued at a server (us), as of time `at`.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    queueing_us: f64,
    at: Micros,
}

/// Estimates of the work queued at servers, and the decision when to send updates to the other dispatchers.
/// Without gossip, each dispatcher would detect an overloaded or slow server only by a late request of its
/// own: a hundred dispatchers that see few requests each would pay with a hundred late requests.
#[derive(Debug)]
pub(crate) struct LoadGossip {
    /// Estimates by server tag.
    estimates: BTreeMap<u16, LoadEstimate>,
    /// Tags of the servers on the list.
    listed: BTreeSet<u16>,
    /// Reports that the current event has produced.
    pending: Vec<PendingReport>,
    limits: GossipLimits,
    /// Number of updates that may be sent now. Each request received adds to it.
    credit: f64,
    counts: GossipCounts,
}

/// Limits of gossip derived from the settings.
#[derive(Clone, Copy, Debug)]
struct GossipLimits {
    /// Gossip is allowed and there are other dispatchers.
    is_enabled: bool,
    /// How far a queue must exceed `QUEUE_REPORT_MULTIPLE` times its estimate to be reported (us).
    min_queue_step_us: f64,
    /// Sent work is reported from this amount on (us).
    min_work_us: f64,
    /// Updates that one received request allows for, at most 1.
    credit_per_request: f64,
}

impl GossipLimits {
    fn new(settings: &Settings) -> Self {
        let receivers = f64::from(settings.dispatcher_count.saturating_sub(1));
        let price = settings.gossip_price * receivers * UPDATE_BYTES as f64 / PRICED_BYTES;
        Self {
            is_enabled: settings.gossip_allowed && settings.dispatcher_count > 1,
            min_queue_step_us: MIN_QUEUE_SHARE_OF_OBJECTIVE * settings.shortest_latency_objective(),
            min_work_us: MIN_WORK_SHARE_OF_OBJECTIVE * settings.shortest_latency_objective(),
            credit_per_request: (MAX_COST_SHARE / price.max(f64::MIN_POSITIVE)).min(1.0),
        }
    }

    /// Whether a queue is so much longer than expected that it is reported.
    fn is_significant_queue(&self, queueing_us: f64, expected_us: f64) -> bool {
        queueing_us > QUEUE_REPORT_MULTIPLE * expected_us + self.min_queue_step_us
    }
}

impl LoadGossip {
    pub(crate) fn new(settings: &Settings) -> Self {
        Self {
            estimates: BTreeMap::new(),
            listed: BTreeSet::new(),
            pending: Vec::new(),
            limits: GossipLimits::new(settings),
            credit: 0.0,
            counts: GossipCounts::default(),
        }
    }

    /// Applies reloaded settings. Estimates, credit and counts are kept.
    pub(crate) fn reload(&mut self, settings: &Settings) {
        self.limits = GossipLimits::new(settings);
    }

    /// Counts of updates since the start.
    pub(crate) fn counts(&self) -> GossipCounts {
        self.counts
    }

    /// Adds the credit of one received request.
    pub(crate) fn add_credit(&mut self) {
        self.credit = (self.credit + self.limits.credit_per_request).min(MAX_CREDIT);
    }

    /// The work estimated to be queued at a server (us). The estimate shrinks by the time that has passed, as
    /// the server works.
    pub(crate) fn estimated_queueing_us(&self, server: ServerId, now: Micros) -> f64 {
        self.estimated_by_tag_us(tag(server), now)
    }

    fn estimated_by_tag_us(&self, tag: u16, now: Micros) -> f64 {
        let Some(estimate) = self.estimates.get(&tag) else { return 0.0 };
        (estimate.queueing_us - now.saturating_sub(estimate.at) as f64).max(0.0)
    }

    /// Records that this dispatcher sends `work_us` of work to a server.
    pub(crate) fn record_sent(&mut self, server: ServerId, work_us: f64) {
        if self.limits.is_enabled {
            self.pending.push(PendingReport { server, load: Load::Sent(work_us as Micros) });
        }
    }

    /// Records that this dispatcher saw an attempt queue at a server for `queueing_us`, where `expected_us`
    /// was the estimate at its send.
    pub(crate) fn record_queueing(&mut self, server: ServerId, queueing_us: f64, expected_us: f64) {
        if self.limits.is_enabled && self.limits.is_significant_queue(queueing_us, expected_us) {
            self.pending.push(PendingReport { server, load: Load::Queued(queueing_us as Micros) });
        }
    }

    /// Sends the pending reports that are significant, as far as the credit allows, and applies them to this
    /// dispatcher's own estimates. Sent work is applied even if it is too small to be sent.
    pub(crate) fn publish(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for PendingReport { server, load } in std::mem::take(&mut self.pending) {
            let update = LoadUpdate { server: tag(server), load, at: now };
            let is_significant = match load {
                Load::Sent(work_us) => work_us as f64 >= self.limits.min_work_us,
                Load::Queued(queueing_us) => self
                    .limits
                    .is_significant_queue(queueing_us as f64, self.estimated_queueing_us(server, now)),
            };
            if is_significant && self.credit >= 1.0 {
                self.credit -= 1.0;
                self.counts.sent += 1;
                actions.push(Action::PublishGossip(update.to_bytes().to_vec()));
            }
            if is_significant || matches!(load, Load::Sent(_)) {
                self.apply(update, now);
            }
        }
    }

    /// Applies an update from another dispatcher. Drops it if it is invalid, if its server is not listed, or
    /// if gossip is disabled.
    pub(crate) fn receive(&mut self, bytes: &[u8], now: Micros) {
        let is_listed = |update: &LoadUpdate| self.limits.is_enabled && self.listed.contains(&update.server);
        match LoadUpdate::read(bytes, now).filter(is_listed) {
            Some(update) => {
                self.counts.received += 1;
                self.apply(update, now);
            }
            None => self.counts.dropped += 1,
        }
    }

    /// Applies an update to the estimate of its server.
    fn apply(&mut self, update: LoadUpdate, now: Micros) {
        let previous_us = self.estimated_by_tag_us(update.server, now);
        let age_us = now.saturating_sub(update.at) as f64;
        let queueing_us = match update.load {
            Load::Sent(work_us) => {
                // Behind other work all of it is still queued; an idle server has worked on it since it was
                // sent.
                let worked_off_us = if previous_us > 0.0 { 0.0 } else { age_us };
                previous_us + (work_us as f64 - worked_off_us).max(0.0)
            }
            Load::Queued(queueing_us) => previous_us.max(queueing_us as f64 - age_us),
        };
        self.estimates.insert(update.server, LoadEstimate { queueing_us, at: now });
    }

    /// Sets the servers that are on the list, and drops the estimates of all others.
    pub(crate) fn set_servers(&mut self, servers: impl Iterator<Item = ServerId>) {
        self.listed = servers.map(tag).collect();
        self.estimates.retain(|tag, _| self.listed.contains(tag));
    }
}
