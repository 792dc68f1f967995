//! The learnt state that a terminating process hands over to its replacement on the same machine (hot
//! restart): the prefixes that servers are expected to have cached, the popularity of shared prefixes, and
//! the speed of servers and stages. Without it the new process starts from initial guesses, and routes shared
//! prefixes by their home servers alone.
//!
//! The serialized form is JSON, which older and newer versions read: the serialized field names must not
//! change (checked by `tests/written_forms.rs`).

use serde::{Deserialize, Serialize};

use crate::interface::{Key, Micros, ServerId};
use crate::prefix_table::{CachedPrefix, PREFIX_KEYS};
use crate::records::{Server, StageStatistics};
use crate::routing_state::RoutingState;
use crate::statistics::{DecayingAverage, DecayingRate};

/// Maximum number of prefixes handed over, summed over all servers; the newest are kept. About 46 bytes each
/// as text, so less than 1 MB.
const MAX_PREFIXES: usize = 20_000;
/// Maximum number of shared prefixes whose popularity is handed over; the most recently requested are kept.
const MAX_SHARED_PREFIXES: usize = 1_000;

/// State handed over in a hot restart. See the [module](self).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    #[serde(rename = "at")]
    written_at: Micros,
    #[serde(rename = "call_rate")]
    request_rate: DecayingRate,
    /// The rate that popularity is judged against. Absent in files of versions that judged it against
    /// `request_rate`; their `shared_prefixes` are not imported.
    #[serde(default, rename = "calls_lately")]
    recent_request_rate: DecayingRate,
    stages: Vec<StageRecord>,
    servers: Vec<ServerRecord>,
    /// Ordered by last use, the most recent first.
    #[serde(rename = "beginnings")]
    shared_prefixes: Vec<SharedPrefixRecord>,
}

/// Learnt figures of one stage, over all servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StageRecord {
    #[serde(rename = "usual")]
    median_us_per_token: f64,
    #[serde(rename = "best")]
    unloaded_us_per_token: f64,
    #[serde(rename = "typical")]
    tokens_per_attempt: f64,
    #[serde(rename = "under_way")]
    tokens_in_flight: DecayingRate,
}

/// Learnt figures and prefixes of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServerRecord {
    id: u32,
    /// Start time of the server that the record is about. A server that has restarted since has an empty
    /// cache, and the record is not imported.
    started: Option<Micros>,
    #[serde(rename = "pace")]
    us_per_token: [DecayingAverage; 3],
    #[serde(rename = "carried")]
    served_per_second: DecayingRate,
    #[serde(rename = "distrusted")]
    prefixes_invalid_until: Micros,
    /// Ordered by the time of the last send, the oldest first.
    prefixes: Vec<PrefixRecord>,
}

/// Key, length in tokens, and time of the last send (us). Serialized as an array of three.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PrefixRecord(u64, u64, Micros);

/// Key, and rate of requests with that prefix. Serialized as an array of two.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct SharedPrefixRecord(u64, DecayingRate);

impl Handover {
    /// Exports the state learnt so far.
    pub(crate) fn of(state: &RoutingState) -> Self {
        let since = export_cutoff(state);
        let shared_prefixes = state.shared_prefixes.iter().take(MAX_SHARED_PREFIXES);
        Self {
            written_at: state.now,
            request_rate: state.request_rate.clone(),
            recent_request_rate: state.recent_request_rate.clone(),
            stages: state.stages.iter().map(StageRecord::of).collect(),
            servers: state.fleet.iter().map(|server| ServerRecord::of(server, since)).collect(),
            shared_prefixes: shared_prefixes
                .map(|(key, rate)| SharedPrefixRecord(key.0, rate.clone()))
                .collect(),
        }
    }

    /// Converts all times to a clock that is ahead of the current one by `ahead_us` microseconds.
    #[must_use]
    pub fn with_clock_shifted(mut self, ahead_us: i64) -> Self {
        shift(&mut self.written_at, ahead_us);
        self.request_rate.shift_clock(ahead_us);
        self.recent_request_rate.shift_clock(ahead_us);
        for stage in &mut self.stages {
            stage.tokens_in_flight.shift_clock(ahead_us);
        }
        for SharedPrefixRecord(_, rate) in &mut self.shared_prefixes {
            rate.shift_clock(ahead_us);
        }
        for server in &mut self.servers {
            server.shift_clock(ahead_us);
        }
        self
    }

    /// Imports the state, except where this process has newer data of its own. Values that are not valid
    /// numbers or have times in the future are skipped: the clocks of one machine agree, so such values are
    /// corrupt.
    pub(crate) fn import(self, state: &mut RoutingState) {
        let now = state.now;
        if self.written_at > now || self.stages.len() != state.stages.len() {
            return;
        }
        if state.request_rate.is_new() && self.request_rate.is_plausible(now) {
            state.request_rate = self.request_rate;
        }
        for (own, record) in state.stages.iter_mut().zip(self.stages) {
            record.import(own, now);
        }
        import_popularity(state, self.recent_request_rate, self.shared_prefixes);
        for record in self.servers {
            record.import(state);
        }
    }
}

impl StageRecord {
    fn of(stage: &StageStatistics) -> Self {
        Self {
            median_us_per_token: stage.median_us_per_token,
            unloaded_us_per_token: stage.unloaded_us_per_token,
            tokens_per_attempt: stage.tokens_per_attempt,
            tokens_in_flight: stage.tokens_in_flight.clone(),
        }
    }

    /// Overwrites `own` with the record, if `own` has no samples yet and the record is plausible.
    fn import(self, own: &mut StageStatistics, now: Micros) {
        let figures = [self.median_us_per_token, self.unloaded_us_per_token, self.tokens_per_attempt];
        let is_plausible = figures.into_iter().all(is_positive) && self.tokens_in_flight.is_plausible(now);
        if !own.tokens_in_flight.is_new() || !is_plausible {
            return;
        }
        own.median_us_per_token = self.median_us_per_token;
        own.unloaded_us_per_token = self.unloaded_us_per_token;
        own.tokens_per_attempt = self.tokens_per_attempt;
        own.tokens_in_flight = self.tokens_in_flight;
    }
}

impl ServerRecord {
    /// Exports a server's figures, and its prefixes that were sent at `since` or later.
    fn of(server: &Server, since: Micros) -> Self {
        // The prefix table iterates from the newest to the oldest.
        let oldest_first = server.prefixes.sent.iter().rev().filter(|(_, prefix)| prefix.sent_at >= since);
        Self {
            id: server.entry.server.0,
            started: server.entry.started,
            us_per_token: server.statistics.us_per_token.clone(),
            served_per_second: server.statistics.served_per_second.clone(),
            prefixes_invalid_until: server.prefixes.invalid_until,
            prefixes: oldest_first
                .map(|(key, prefix)| PrefixRecord(key.0, prefix.tokens, prefix.sent_at))
                .collect(),
        }
    }

    /// Converts all times to a clock that is ahead by `ahead_us` microseconds.
    fn shift_clock(&mut self, ahead_us: i64) {
        if let Some(started) = &mut self.started {
            shift(started, ahead_us);
        }
        for average in &mut self.us_per_token {
            average.shift_clock(ahead_us);
        }
        self.served_per_second.shift_clock(ahead_us);
        shift(&mut self.prefixes_invalid_until, ahead_us);
        for PrefixRecord(_, _, sent_at) in &mut self.prefixes {
            shift(sent_at, ahead_us);
        }
    }

    /// Imports the record, if the server is listed with the same start time.
    fn import(self, state: &mut RoutingState) {
        let (id, now) = (ServerId(self.id), state.now);
        if state.fleet.get(id).is_none_or(|server| server.entry.started != self.started) {
            return;
        }
        state.fleet.change(id, |server| {
            let statistics = &mut server.statistics;
            for (own, record) in statistics.us_per_token.iter_mut().zip(self.us_per_token) {
                let is_plausible = record.last.is_some_and(|(average, at)| is_positive(average) && at <= now);
                if own.last.is_none() && is_plausible {
                    *own = record;
                }
            }
            let served = &self.served_per_second;
            if statistics.served_per_second.is_new() && !served.is_new() && served.is_plausible(now) {
                statistics.served_per_second = self.served_per_second;
            }
            let invalid_until = self.prefixes_invalid_until.min(now);
            server.prefixes.invalid_until = server.prefixes.invalid_until.max(invalid_until);
        });
        let mut prefixes = Vec::with_capacity(self.prefixes.len());
        for PrefixRecord(key, tokens, sent_at) in self.prefixes {
            prefixes.push((Key(key), CachedPrefix { tokens, sent_at }));
        }
        state.fleet.import_prefixes(id, &prefixes, PREFIX_KEYS);
    }
}

/// The send time of the oldest prefix to hand over, such that about `MAX_PREFIXES` prefixes are as new or
/// newer; 0 if there are fewer in all.
fn export_cutoff(state: &RoutingState) -> Micros {
    let mut sent_at: Vec<Micros> = Vec::new();
    for server in state.fleet.iter() {
        sent_at.extend(server.prefixes.sent.iter().map(|(_, prefix)| prefix.sent_at));
    }
    sent_at.sort_unstable();
    sent_at.len().checked_sub(MAX_PREFIXES).map_or(0, |position| sent_at[position])
}

/// Imports the popularity of shared prefixes, together with the request rate that it is judged against.
/// Skipped if that rate is absent or implausible, or if this process has received requests already.
fn import_popularity(
    state: &mut RoutingState,
    recent_request_rate: DecayingRate,
    shared_prefixes: Vec<SharedPrefixRecord>,
) {
    let now = state.now;
    let is_rate_usable = !recent_request_rate.is_new() && recent_request_rate.is_plausible(now);
    if !state.recent_request_rate.is_new() || !is_rate_usable {
        return;
    }
    state.recent_request_rate = recent_request_rate;
    for SharedPrefixRecord(key, rate) in shared_prefixes.into_iter().rev() {
        if rate.is_plausible(now) && state.shared_prefixes.len() < MAX_SHARED_PREFIXES {
            state.shared_prefixes.get_or_insert(Key(key), || rate);
        }
    }
}

/// Adds a clock difference to a time, saturating at the limits of the type.
fn shift(at: &mut Micros, ahead_us: i64) {
    *at = at.saturating_add_signed(ahead_us);
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
