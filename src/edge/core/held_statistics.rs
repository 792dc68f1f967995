//! Metrics of held state: how long it was held until a writer took it or its release was requested, releases
//! requested while an attempt was in flight with the outcomes of those attempts, and attempts that a server
//! left unanswered.

use std::fmt::Write as _;
use std::num::NonZeroUsize;

use hdrhistogram::Histogram;
use lru::LruCache;

use crate::edge::transitions::OUTCOMES;
use crate::interface::{Micros, Outcome, ServerId};

/// Longest recorded hold time (us); longer ones are recorded as this.
const MAX_TIME: Micros = 60_000_000;
/// Significant decimal digits of recorded hold times.
const DIGITS: u8 = 2;
/// Quantiles of hold times that are exported, with their names.
const QUANTILES: [(f64, &str); 3] = [(0.5, "p50"), (0.99, "p99"), (1.0, "max")];
/// Number of servers with a count of unanswered attempts. Server ids change throughout the day, so only the
/// most recently counted servers are kept.
const MAX_TRACKED_SERVERS: NonZeroUsize = NonZeroUsize::new(256).expect("above 0");

/// Counters and histograms of held state. See the [module documentation](self).
#[derive(Debug)]
pub struct HeldStatistics {
    taken_us: Histogram<u64>,
    released_us: Histogram<u64>,
    releases_in_flight: u64,
    releases_answered: u64,
    releases_unanswered: u64,
    /// Outcomes of attempts during which a release was requested, in the order of [`OUTCOMES`].
    outcomes_after_release: [u64; OUTCOMES.len()],
    unanswered: LruCache<ServerId, u64>,
}

impl Default for HeldStatistics {
    fn default() -> Self {
        let histogram =
            || Histogram::new_with_max(MAX_TIME, DIGITS).expect("bounds that a histogram can have");
        Self {
            taken_us: histogram(),
            released_us: histogram(),
            releases_in_flight: 0,
            releases_answered: 0,
            releases_unanswered: 0,
            outcomes_after_release: [0; OUTCOMES.len()],
            unanswered: LruCache::new(MAX_TRACKED_SERVERS),
        }
    }
}

impl HeldStatistics {
    /// Records that a writer took state that had been held for this long (us).
    pub fn taken(&mut self, held_for: Micros) {
        self.taken_us.saturating_record(held_for);
    }

    /// Records a requested release of state that had been held for this long (us); `in_flight` says whether an
    /// attempt of the request was in flight.
    pub fn release_requested(&mut self, held_for: Micros, in_flight: bool) {
        self.released_us.saturating_record(held_for);
        self.releases_in_flight += u64::from(in_flight);
    }

    /// Records the end of a release, and whether a server answered it.
    pub fn release_finished(&mut self, answered: bool) {
        if answered {
            self.releases_answered += 1;
        } else {
            self.releases_unanswered += 1;
        }
    }

    /// Records the outcome of an attempt during which a release was requested; a started stream counts as served.
    pub fn attempt_ended_after_release(&mut self, outcome: Outcome) {
        if let Some(index) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            self.outcomes_after_release[index] += 1;
        }
    }

    /// Records that a server did not answer an attempt that had been written completely.
    pub fn unanswered(&mut self, server: ServerId) {
        *self.unanswered.get_or_insert_mut(server, || 0) += 1;
    }

    /// Number of releases requested while an attempt was in flight.
    #[must_use]
    pub fn releases_in_flight(&self) -> u64 {
        self.releases_in_flight
    }

    /// The metrics as the admin address shows them, one per line. `ages` says how long each currently held
    /// state has been held (us).
    #[must_use]
    pub fn lines(&self, ages: &[Micros]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "edge_router.held.{name}:{value}|{kind}"); // writing to a String never fails
        };
        line("states", ages.len() as u64, 'g');
        line("oldest_us", ages.iter().copied().max().unwrap_or(0), 'g');
        for (name, times) in [("taken", &self.taken_us), ("released", &self.released_us)] {
            line(name, times.len(), 'c');
            for (quantile, label) in QUANTILES {
                line(&format!("{name}_us.{label}"), times.value_at_quantile(quantile), 'g');
            }
        }
        line("releases_answered", self.releases_answered, 'c');
        line("releases_unanswered", self.releases_unanswered, 'c');
        line("releases_in_flight", self.releases_in_flight, 'c');
        for ((_, outcome), count) in OUTCOMES.iter().zip(self.outcomes_after_release) {
            line(&format!("ended_after_release.{outcome}"), count, 'c');
        }
        for (server, count) in &self.unanswered {
            line(&format!("unanswered.{server}"), *count, 'c');
        }
        text
    }
}
