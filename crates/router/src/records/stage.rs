//! The stages of serving a request, and what is known of each over all servers.

use std::collections::VecDeque;

use crate::interface::Micros;
use crate::statistics::{DecayingAverage, DecayingRate};

/// Number of stages: arrays by stage have this length.
pub(crate) const STAGES: usize = 3;

/// What an attempt is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Read the prompt and keep the state.
    Read = 0,
    /// Fetch a state and stream the answer.
    Write = 1,
    /// Read the prompt and stream the answer, at one server.
    ReadAndWrite = 2,
}

/// The end of an attempt, with how long it queued.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueingSample {
    pub(crate) ended_at: Micros,
    pub(crate) queueing_us: f64,
}

/// What this dispatcher has seen of a stage, whichever server.
#[derive(Debug)]
pub(crate) struct StageStatistics {
    /// Median over servers of the time per token of work (us).
    pub(crate) median_us_per_token: f64,
    /// Time per token of work of a server that nothing hinders (us): a low quantile of all samples.
    pub(crate) unloaded_us_per_token: f64,
    /// Average work of one attempt (tokens).
    pub(crate) tokens_per_attempt: f64,
    /// Average work of all attempts in flight (tokens): work times its time in flight, a second.
    pub(crate) tokens_in_flight: DecayingRate,
    /// Time that attempts queued which lately came back (us); baseline 0.
    pub(crate) queueing_us: DecayingAverage,
    /// Attempts that lately ended, the newest first.
    pub(crate) recent_queueing: VecDeque<QueueingSample>,
}

impl StageStatistics {
    /// First guesses, before anything is known.
    pub(crate) fn new(us_per_token: f64, tokens_per_attempt: f64) -> Self {
        Self {
            median_us_per_token: us_per_token,
            unloaded_us_per_token: us_per_token,
            tokens_per_attempt,
            tokens_in_flight: DecayingRate::default(),
            queueing_us: DecayingAverage::default(),
            recent_queueing: VecDeque::new(),
        }
    }

    /// Records how long an attempt queued that has just ended; at most so many are kept.
    pub(crate) fn record_recent(&mut self, now: Micros, queueing_us: f64, max_samples: usize) {
        self.recent_queueing.push_front(QueueingSample { ended_at: now, queueing_us });
        self.recent_queueing.truncate(max_samples);
    }
}
