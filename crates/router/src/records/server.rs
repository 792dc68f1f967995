//! One server: its list entry, the attempts of this dispatcher that are there, and what was seen of it.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{Class, Micros, Report, RequestId, Role, ServerEntry};
use crate::outlier_state::OutlierState;
use crate::prefix_table::PrefixTable;
use crate::records::stage::STAGES;
use crate::records::Attempt;
use crate::slow_start_budget::SlowStartBudget;
use crate::statistics::{DecayingAverage, DecayingRate};

/// A server that the list names, or that still has attempts of this dispatcher.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) entry: ServerEntry,
    pub(crate) role: Role,
    /// Its memory in tokens; 0 if not known.
    pub(crate) memory_tokens: u64,
    /// Attempts without a first token or an end, by the time when they were sent.
    pub(crate) unanswered: BTreeSet<(Micros, RequestId)>,
    /// Work of those attempts in tokens, by stage.
    pub(crate) unanswered_tokens: [f64; STAGES],
    /// Memory that all attempts in flight take there, in tokens.
    pub(crate) memory_tokens_in_flight: u64,
    pub(crate) prefixes: PrefixTable,
    pub(crate) slow_start_budget: SlowStartBudget,
    pub(crate) statistics: ServerStatistics,
}

impl Server {
    /// One that the list names for the first time.
    pub(crate) fn new(entry: ServerEntry, prefixes: PrefixTable, slow_start_budget: SlowStartBudget) -> Self {
        Self {
            entry,
            role: Role::Mixed,
            memory_tokens: 0,
            unanswered: BTreeSet::new(),
            unanswered_tokens: [0.0; STAGES],
            memory_tokens_in_flight: 0,
            prefixes,
            slow_start_budget,
            statistics: ServerStatistics::default(),
        }
    }

    /// An attempt is sent to it.
    pub(crate) fn add_attempt(&mut self, id: RequestId, attempt: &Attempt) {
        self.unanswered.insert((attempt.sent_at, id));
        self.unanswered_tokens[attempt.stage as usize] += attempt.work_tokens;
        self.memory_tokens_in_flight += attempt.memory_tokens;
    }

    /// An attempt is answered or has ended. Returns whether it was unanswered before.
    pub(crate) fn remove_unanswered(&mut self, id: RequestId, attempt: &Attempt) -> bool {
        let was_unanswered = self.unanswered.remove(&(attempt.sent_at, id));
        if was_unanswered {
            let work = &mut self.unanswered_tokens[attempt.stage as usize];
            *work = (*work - attempt.work_tokens).max(0.0);
        }
        was_unanswered
    }

    /// Whether attempts of this dispatcher are unanswered there.
    pub(crate) fn is_busy(&self) -> bool {
        !self.unanswered.is_empty() || self.unanswered_tokens.iter().any(|work| *work > 0.0)
    }

    /// Whether it has served a stage, or has unanswered work of it.
    pub(crate) fn serves(&self, stage: usize) -> bool {
        self.statistics.us_per_token[stage].last.is_some() || self.unanswered_tokens[stage] > 0.0
    }

    /// How long the oldest unanswered attempt has waited (us); 0 without one.
    pub(crate) fn oldest_wait_us(&self, now: Micros) -> Micros {
        self.unanswered.first().map_or(0, |&(sent_at, _)| now - sent_at)
    }

    /// How long the oldest unanswered attempt has waited beyond the work of the stage itself (us), which is
    /// taken at its unloaded pace. Negative while it is still expected to work.
    pub(crate) fn overdue_us(&self, now: Micros, stage: usize, unloaded_us_per_token: f64) -> f64 {
        self.oldest_wait_us(now) as f64 - unloaded_us_per_token * self.unanswered_tokens[stage]
    }
}

/// What this dispatcher has seen of a server since its start.
#[derive(Debug, Default)]
pub(crate) struct ServerStatistics {
    /// Time per token of work (us), by stage; the baseline is the median of all servers.
    pub(crate) us_per_token: [DecayingAverage; STAGES],
    /// Time that attempts queued before work on them began (us), by stage; baseline 0.
    pub(crate) queueing_us: [DecayingAverage; STAGES],
    /// Failures by class: some servers fail one class and serve the others.
    pub(crate) outlier_states: BTreeMap<u32, OutlierState>,
    /// Requests that it served for this dispatcher.
    pub(crate) served_per_second: DecayingRate,
    /// Until when it is left alone after it turned a request away.
    pub(crate) full_until: Micros,
    /// Its last load report, and when that came.
    pub(crate) report: Option<(Report, Micros)>,
}

impl ServerStatistics {
    /// It has served a request of a class, or read its prompt.
    pub(crate) fn record_served(&mut self, class: u32, now: Micros, time_constant_us: f64) {
        self.outlier_states.remove(&class);
        self.served_per_second.add(1.0, now, time_constant_us);
    }

    /// Classes have new numbers: `class_renumbering` has the old number for each new one. What is known goes on under
    /// the new numbers; what belongs to no class of `classes` is dropped.
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
