//! Budget of sends to one server in slow start: at most so much work may arrive at the server in any window.
//!
//! Work counts from the moment at which it arrives, since connections that come up late bring together what
//! was sent at different times. Until then it is in transit and counts in every window.

use std::collections::VecDeque;

use crate::interface::{Micros, RequestId};

/// Difference between the arrival of an attempt and the record of it (us).
const ARRIVAL_JITTER_US: Micros = 50_000;

/// Time between two attempts whose work is more than the limit, as a multiple of the time in which the
/// limit allows that work. It leaves a margin for turns of several dispatchers that come together.
const TURN_SPACING: f64 = 1.35;
/// Length of a turn of an attempt whose work is more than the limit, relative to the wait for a turn.
const TURN_SHARE_OF_WAIT: f64 = 1.0;

/// What may arrive at a server in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SlowStartLimit {
    /// Work per window, in requests of mean work.
    pub(crate) work: f64,
    /// Length of a window (us).
    pub(crate) window_us: Micros,
}

/// An attempt that has arrived at the server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Arrival {
    at: Micros,
    /// In requests of mean work.
    work: f64,
}

/// What this dispatcher has sent to a server. See the [module](self).
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlowStartBudget {
    /// Attempts that were sent and are not known to have arrived, with their work.
    in_transit: Vec<(RequestId, f64)>,
    /// The last attempt that has arrived, and all others within a window before now.
    arrived: VecDeque<Arrival>,
    /// Share of a request by which the limit is rounded up, in (0, 1]. The callers draw it at random, so that
    /// the limits of all dispatchers add up to the total.
    rounding: f64,
    created_at: Micros,
    /// When the budget may be used first.
    opens_at: Micros,
}

impl SlowStartBudget {
    /// The budget of a server that is listed at `now`. `rounding` is a random draw in (0, 1].
    pub(crate) fn new(rounding: f64, now: Micros) -> Self {
        Self { in_transit: Vec::new(), arrived: VecDeque::new(), rounding, created_at: now, opens_at: 0 }
    }

    /// The same budget, for a server that had started before this process: an earlier process may have used
    /// up the windows that had begun before `process_started_at`.
    pub(crate) fn opening_after_window(mut self, process_started_at: Micros, window_us: Micros) -> Self {
        self.opens_at = process_started_at + window_us + ARRIVAL_JITTER_US;
        self
    }

    /// Takes over what was sent to the same server under its previous start. What has arrived before
    /// `started` does not count any more.
    pub(crate) fn inherit(&mut self, previous: Self, started: Micros) {
        self.in_transit = previous.in_transit;
        self.arrived = previous.arrived;
        self.arrived.retain(|arrival| arrival.at >= started);
    }

    /// Whether an attempt may be sent now.
    ///
    /// An attempt whose work is more than the limit has a window of its own, and the windows after it are
    /// empty until the limit makes up for it.
    pub(crate) fn allows(&self, now: Micros, work: f64, limit: SlowStartLimit) -> bool {
        if now < self.opens_at || !self.has_made_up_for_last(now, limit) {
            return false;
        }
        let used = self.used_work(now, limit.window_us);
        if work <= limit.work {
            return used + work <= limit.work + self.rounding * work;
        }
        used <= 0.0 && self.has_turn(now, work, limit)
    }

    /// Whether an attempt whose work is more than the limit has its turn. The turns of the dispatchers
    /// begin at random times, and an unused turn ends: if all were kept, they could be used together when a
    /// burst comes.
    fn has_turn(&self, now: Micros, work: f64, limit: SlowStartLimit) -> bool {
        let wait = wait_us(work, limit);
        let first = match self.arrived.back() {
            Some(last) => last.at + wait_us(last.work, limit) + ARRIVAL_JITTER_US,
            None => self.created_at + (self.rounding * wait as f64) as Micros,
        };
        let turn = (wait as f64 * TURN_SHARE_OF_WAIT) as Micros;
        now >= first && (now - first) % (wait + turn).max(1) <= turn
    }

    /// Work in transit, and work that has arrived within a window before `now`.
    fn used_work(&self, now: Micros, window_us: Micros) -> f64 {
        let in_transit: f64 = self.in_transit.iter().map(|(_, work)| work).sum();
        let recent = self.arrived.iter().rev().take_while(|arrival| arrival.is_recent(now, window_us));
        in_transit + recent.map(|arrival| arrival.work).sum::<f64>()
    }

    /// Whether the limit has made up for the last attempt that has arrived, if that was more than the limit.
    fn has_made_up_for_last(&self, now: Micros, limit: SlowStartLimit) -> bool {
        let last = self.arrived.back().filter(|last| last.work > limit.work);
        last.is_none_or(|last| now >= last.at + wait_us(last.work, limit) + ARRIVAL_JITTER_US)
    }

    /// Records that an attempt is sent.
    pub(crate) fn record_sent(&mut self, id: RequestId, work: f64) {
        self.in_transit.push((id, work));
    }

    /// Records that an attempt has arrived; does nothing if that is known already.
    pub(crate) fn record_arrived(&mut self, id: RequestId, now: Micros, window_us: Micros) {
        let Some(work) = self.remove_in_transit(id) else { return };
        self.arrived.push_back(Arrival { at: now, work });
        while self.arrived.front().is_some_and(|first| !first.is_recent(now, window_us)) {
            self.arrived.pop_front();
        }
    }

    /// Records that an attempt has ended without reaching the server.
    pub(crate) fn record_not_arrived(&mut self, id: RequestId) {
        self.remove_in_transit(id);
    }

    /// Removes an attempt from those in transit, and returns its work.
    fn remove_in_transit(&mut self, id: RequestId) -> Option<f64> {
        let position = self.in_transit.iter().position(|(other, _)| *other == id)?;
        Some(self.in_transit.swap_remove(position).1)
    }
}

impl Arrival {
    /// Whether a window can contain both this arrival and one at `now`.
    fn is_recent(&self, now: Micros, window_us: Micros) -> bool {
        now < self.at + window_us + ARRIVAL_JITTER_US
    }
}

/// Time between two attempts whose work is more than the limit (us); more than any run lasts if the limit
/// is 0.
fn wait_us(work: f64, limit: SlowStartLimit) -> Micros {
    const MAX_WAIT_US: f64 = 1e15;
    (TURN_SPACING * limit.window_us as f64 * work / limit.work).min(MAX_WAIT_US) as Micros
}
