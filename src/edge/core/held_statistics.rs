//! Statistics of held state: how long it was held until a writer took it or its release was asked for, releases asked for
//! while an attempt was in flight and what that attempt came to, and attempts that a server never answered.

use std::fmt::Write as _;
use std::num::NonZeroUsize;

use hdrhistogram::Histogram;
use lru::LruCache;

use crate::edge::transitions::OUTCOMES;
use crate::interface::{Micros, Outcome, ServerId};

/// Longer times count as this (us).
const MAX_TIME: Micros = 60_000_000;
/// Significant digits of times.
const DIGITS: u8 = 2;
/// Quantiles that are shown.
const QUANTILES: [(f64, &str); 3] = [(0.5, "p50"), (0.99, "p99"), (1.0, "max")];
/// Servers of which unanswered attempts are counted, those concerned last: servers come under new ids all day.
const MAX_SERVERS: NonZeroUsize = NonZeroUsize::new(256).expect("above 0");

/// See the [module](self).
#[derive(Debug)]
pub struct HeldStatistics {
    taken_us: Histogram<u64>,
    released_us: Histogram<u64>,
    releases_in_flight: u64,
    releases_answered: u64,
    releases_unanswered: u64,
    /// Ends of attempts during which a release was asked for, in the order of [`OUTCOMES`].
    ends_after: [u64; OUTCOMES.len()],
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
            ends_after: [0; OUTCOMES.len()],
            unanswered: LruCache::new(MAX_SERVERS),
        }
    }
}

impl HeldStatistics {
    /// A writer has taken a state that was held for so long.
    pub fn taken(&mut self, held: Micros) {
        self.taken_us.saturating_record(held);
    }

    /// The release of a state that was held for so long has been asked for.
    pub fn released(&mut self, held: Micros, in_flight: bool) {
        self.released_us.saturating_record(held);
        self.releases_in_flight += u64::from(in_flight);
    }

    /// A release has come to its end.
    pub fn finished(&mut self, answered: bool) {
        if answered {
            self.releases_answered += 1;
        } else {
            self.releases_unanswered += 1;
        }
    }

    /// An attempt has ended or its stream has begun, during which a release was asked for.
    pub fn ended_after(&mut self, outcome: Outcome) {
        if let Some(at) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            self.ends_after[at] += 1;
        }
    }

    /// A server has not answered an attempt whose last byte had been written.
    pub fn unanswered(&mut self, server: ServerId) {
        *self.unanswered.get_or_insert_mut(server, || 0) += 1;
    }

    /// Releases that were asked for while an attempt was in flight.
    #[must_use]
    pub fn releases_in_flight(&self) -> u64 {
        self.releases_in_flight
    }

    /// The figures as the second address shows them; `ages` are those of the states that are held now (us).
    #[must_use]
    pub fn lines(&self, ages: &[Micros]) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "edge_router.held.{name}:{value}|{kind}"); // a String takes all
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
        for ((_, outcome), count) in OUTCOMES.iter().zip(self.ends_after) {
            line(&format!("ended_after_release.{outcome}"), count, 'c');
        }
        for (server, count) in &self.unanswered {
            line(&format!("unanswered.{server}"), *count, 'c');
        }
        text
    }
}
