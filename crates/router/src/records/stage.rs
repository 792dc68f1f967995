//! The stages of serving a request, and the statistics of each stage over all servers.

use std::collections::VecDeque;

use crate::interface::{Micros, Role};
use crate::records::class_work::ClassWork;
use crate::statistics::{DecayingAverage, DecayingRate};

/// Number of stages: the length of arrays that are indexed by stage.
pub(crate) const STAGES: usize = 3;

/// The work of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Read the prompt and hold the state.
    Read = 0,
    /// Fetch a held state and stream the answer.
    Write = 1,
    /// Read the prompt and stream the answer at the same server.
    ReadAndWrite = 2,
}

impl Stage {
    /// All stages, in the order of their numbers.
    pub(crate) const ALL: [Self; STAGES] = [Self::Read, Self::Write, Self::ReadAndWrite];

    /// The stage that servers of a role perform for most requests.
    pub(crate) fn of(role: Role) -> Self {
        match role {
            Role::Reader => Self::Read,
            Role::Writer => Self::Write,
            Role::Mixed => Self::ReadAndWrite,
        }
    }
}

/// The end of an attempt, and how long the attempt queued.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueingSample {
    pub(crate) ended_at: Micros,
    pub(crate) queueing_us: f64,
}

/// What this dispatcher has observed of a stage over all servers. The pace of a server is its time per token
/// of work; the unloaded pace is that of a server at which no requests queue.
#[derive(Debug)]
pub(crate) struct StageStatistics {
    /// Median over the servers of the time per token of work (us).
    pub(crate) median_us_per_token: f64,
    /// Time per token of work at a server without load (us): a low quantile of all samples.
    pub(crate) unloaded_us_per_token: f64,
    /// Mean work of one attempt (tokens).
    pub(crate) tokens_per_attempt: f64,
    /// Mean work of all attempts in flight (tokens), measured as a rate: the work of each attempt times its
    /// seconds in flight, per second.
    pub(crate) tokens_in_flight: DecayingRate,
    /// Recent queueing of attempts that came back (us); the baseline is 0.
    pub(crate) queueing_us: DecayingAverage,
    /// Attempts that have recently ended, the newest first.
    pub(crate) recent_queueing: VecDeque<QueueingSample>,
    /// How much work the requests of each class are.
    pub(crate) class_work: ClassWork,
}

impl StageStatistics {
    /// Statistics with initial guesses, before any measurement.
    pub(crate) fn new(us_per_token: f64, tokens_per_attempt: f64) -> Self {
        Self {
            median_us_per_token: us_per_token,
            unloaded_us_per_token: us_per_token,
            tokens_per_attempt,
            tokens_in_flight: DecayingRate::default(),
            queueing_us: DecayingAverage::default(),
            recent_queueing: VecDeque::new(),
            class_work: ClassWork::default(),
        }
    }

    /// Records how long an attempt queued that has just ended. At most `max_samples` are kept.
    pub(crate) fn record_recent(&mut self, now: Micros, queueing_us: f64, max_samples: usize) {
        self.recent_queueing.push_front(QueueingSample { ended_at: now, queueing_us });
        self.recent_queueing.truncate(max_samples);
    }
}
