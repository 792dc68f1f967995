//! One server: its list entry, the attempts of this dispatcher that are in flight there, and its statistics.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Class, Micros, Report, RequestId, Role, ServerEntry};
use crate::outlier_state::OutlierState;
use crate::prefix_table::PrefixTable;
use crate::records::stage::STAGES;
use crate::records::Attempt;
use crate::slow_start_budget::SlowStartBudget;
use crate::statistics::{DecayingAverage, DecayingRate};

/// A server that is on the list, or that still has attempts of this dispatcher in flight.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) role: Role,
    /// The server's memory in tokens; 0 if unknown.
    pub(crate) memory_tokens: u64,
    /// The server's size, in proportion to its capacity; 1 where the list doesn't tell sizes.
    pub(crate) size: f64,
    /// Attempts that have neither a first token nor an end yet, by the time at which they were sent.
    pub(crate) unanswered: BTreeSet<(Micros, RequestId)>,
    /// Work of the unanswered attempts in tokens, by stage.
    pub(crate) unanswered_tokens: [f64; STAGES],
    /// Memory that all attempts in flight take at the server, in tokens.
    pub(crate) memory_tokens_in_flight: u64,
    pub(crate) prefixes: PrefixTable,
    pub(crate) slow_start_budget: SlowStartBudget,
    pub(crate) statistics: ServerStatistics,
}

impl Server {
    /// A server that is listed at `now` for the first time. Role, memory and size are set afterwards.
    pub(crate) fn new(
        entry: ServerEntry,
        prefixes: PrefixTable,
        slow_start_budget: SlowStartBudget,
        now: Micros,
    ) -> Self {
        Self {
            entry,
            role: Role::Mixed,
            memory_tokens: 0,
            size: 1.0,
            unanswered: BTreeSet::new(),
            unanswered_tokens: [0.0; STAGES],
            memory_tokens_in_flight: 0,
            prefixes,
            slow_start_budget,
            statistics: ServerStatistics::since(now),
        }
    }

    /// Records that an attempt is sent to the server.
    pub(crate) fn add_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        self.unanswered.insert((attempt.sent_at, id));
        self.unanswered_tokens[attempt.stage as usize] += attempt.work_tokens;
        self.memory_tokens_in_flight += attempt.memory_tokens;
    }

    /// Records that an attempt is answered or has ended. Returns whether it was unanswered before.
    pub(crate) fn remove_unanswered(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let was_unanswered = self.unanswered.remove(&(attempt.sent_at, id));
        if was_unanswered {
            let tokens = &mut self.unanswered_tokens[attempt.stage as usize];
            *tokens = (*tokens - attempt.work_tokens).max(0.0);
        }
        was_unanswered
    }

    /// Whether attempts of this dispatcher are unanswered at the server.
    pub(crate) fn is_busy(&self) -> bool {
        !self.unanswered.is_empty() || self.unanswered_tokens.iter().any(|tokens| *tokens > 0.0)
    }

    /// Whether the server has served a stage, or has unanswered work of it.
    pub(crate) fn serves(&self, stage: usize) -> bool {
        self.statistics.us_per_token[stage].last.is_some() || self.unanswered_tokens[stage] > 0.0
    }

    /// How long the oldest unanswered attempt has waited (us); 0 if there is none.
    pub(crate) fn oldest_wait_us(&self, now: Micros) -> Micros {
        self.unanswered.first().map_or(0, |&(sent_at, _)| now - sent_at)
    }

    /// How long the oldest unanswered attempt has waited beyond the time that the unanswered work of the
    /// stage takes at the unloaded pace (us). Negative while it is still expected to be working.
    pub(crate) fn overdue_us(&self, now: Micros, stage: usize, unloaded_us_per_token: f64) -> f64 {
        self.oldest_wait_us(now) as f64 - unloaded_us_per_token * self.unanswered_tokens[stage]
    }
}

/// What this dispatcher has observed of a server since the server's start.
#[derive(Debug, Default)]
pub(crate) struct ServerStatistics {
    /// Time per token of work (us), by stage; the baseline is the median of all servers.
    pub(crate) us_per_token: [DecayingAverage; STAGES],
    /// Queueing of attempts before their work began (us), by stage; the baseline is 0.
    pub(crate) queueing_us: [DecayingAverage; STAGES],
    /// Consecutive failures by class: a server may fail one class and serve the others.
    pub(crate) outlier_states: BTreeMap<u32, OutlierState>,
    /// Rate of work that the server served for this dispatcher, in requests of mean work.
    pub(crate) served_per_second: DecayingRate,
    /// The time until which the server gets no new work because it rejected a request as full.
    pub(crate) full_until: Micros,
    /// The last load report, and when it arrived.
    pub(crate) report: Option<(Report, Micros)>,
}

impl ServerStatistics {
    /// Statistics of a server that is observed from `now` on.
    pub(crate) fn since(now: Micros) -> Self {
        Self { served_per_second: DecayingRate::observed_since(now), ..Self::default() }
    }

    /// Records that the server has served a request of a class, or read its prompt. `work` is in requests of
    /// mean work.
    pub(crate) fn record_served(&mut self, class: u32, work: f64, now: Micros, time_constant_us: f64) {
        self.outlier_states.remove(&class);
        self.served_per_second.add(work, now, time_constant_us);
    }

    /// Applies a class renumbering: `class_renumbering` maps each new number to the old one. Statistics
    /// continue under the new numbers; those of numbers that are not in `classes` are dropped.
    pub(crate) fn renumber_classes(
        &mut self,
        class_renumbering: &BTreeMap<u32, u32>,
        classes: &BTreeMap<u32, Class>,
    ) {
        for (&new, old) in class_renumbering {
            let known = self.outlier_states.get(old).cloned();
            self.outlier_states.extend(known.map(|known| (new, known)));
        }
        self.outlier_states.retain(|class, _| classes.contains_key(class));
    }
}
