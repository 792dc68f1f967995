//! Constants of the rules. They are copies and not shared with the router, so that a change of a constant in the
//! router makes a test fail until the same change is made here. Each is documented at the router's constant; a
//! comment names that constant where its name is a different one.

use crate::interface::{Micros, TimerToken};

// Time constants and sample weights of averages and rates (times in us).
pub(super) const AVERAGE_HALF_LIFE_US: f64 = 4_000_000.0;
pub(super) const RATE_TIME_CONSTANT_US: f64 = 60_000_000.0;
pub(super) const SAMPLE_WEIGHT: f64 = 0.25;
pub(super) const UNLOADED_FALL_WEIGHT: f64 = 0.5;
pub(super) const UNLOADED_RISE_WEIGHT: f64 = 0.001;

// Work of an attempt, and the attempt timeout.
pub(super) const READ_OVERHEAD_TOKENS: f64 = 512.0;
pub(super) const WRITE_OVERHEAD_TOKENS: f64 = 2_048.0;
pub(super) const TIMEOUT_MULTIPLE: f64 = 4.0;
/// Lower bound of the attempt timeout, as a share of the latency objective. The router uses the objective itself.
pub(super) const TIMEOUT_SHARE_OF_OBJECTIVE: f64 = 1.0;
pub(super) const REMOTE_TIMEOUT_MULTIPLE: Micros = 3;

// Cached prefixes, and the homes of shared prefixes.
pub(super) const MIN_FOUND_SHARE: f64 = 0.5;
pub(super) const HOMES_PER_SHARE: f64 = 1.4;
pub(super) const READERS_PER_HOME: usize = 8;
pub(super) const PRIOR_POPULARITY_REQUESTS: f64 = 30.0; // `PRIOR_REQUESTS` of `popularity.rs`
pub(super) const INITIAL_TOKENS_PER_OBJECTIVE: f64 = 8_000.0;
pub(super) const WINDOW_REQUESTS: f64 = 100.0;
/// `MIN_WINDOW_US` and `MAX_WINDOW_US` of `popularity.rs`.
pub(super) const WINDOW_LIMITS_US: [f64; 2] = [15_000_000.0, 60_000_000.0];
pub(super) const ZONE_SHARE: f64 = 0.8;
/// `MIN_READER_WEIGHT` and `MAX_READER_WEIGHT` of `cells.rs`.
pub(super) const READER_WEIGHTS: [f64; 2] = [0.2, 1.5];

// Load of a server.
pub(super) const CAPACITY_SHARE_OF_OBJECTIVE: f64 = 0.25;
pub(super) const PRIOR_REQUESTS: f64 = 1.0;
pub(super) const SLOW_MULTIPLE: f64 = 2.0;
pub(super) const SLOW_LINK_MULTIPLE: f64 = 3.0;
pub(super) const MAX_MEMORY_SHARE: f64 = 0.9;
pub(super) const MAX_REPORTED_MEMORY_SHARE: f64 = 0.93;
pub(super) const REPORT_LIFETIME_US: Micros = 1_500_000;

// Overload. `WAIT_SHARE_OF_OBJECTIVE` is indexed by `Stage`.
pub(super) const WAIT_SHARE_OF_OBJECTIVE: [f64; 3] = [0.4, 0.3, 0.5];
pub(super) const WORK_SHARE_WITH_QUEUEING: f64 = 0.3;
pub(super) const WORK_SHARE_WITHOUT_QUEUEING: f64 = 1.2;
pub(super) const QUEUEING_SHARE: f64 = 1.0;
pub(super) const MAX_LOST_SHARE: f64 = 0.6;
pub(super) const MAX_RECENT_SAMPLES: usize = 32;
pub(super) const MAX_QUEUEING_OBJECTIVES: f64 = 3.0;
pub(super) const STAGE_QUEUEING_TIME_US: f64 = 1_000_000.0;
pub(super) const STAGE_QUEUEING_FALL: f64 = 2.0;

// Health and slow start.
pub(super) const MIN_HEALTHY_SHARE: f64 = 0.34;
pub(super) const BASE_EJECTION_US: Micros = 400_000;
pub(super) const FULL_PAUSE_US: Micros = 150_000;
pub(super) const SHARE_WITHOUT_WARM_PEERS: f64 = 0.5;
/// `MIN_SIZE` of `server_list.rs`.
pub(super) const MIN_SIZE: f64 = 1e-3;

// The sweep.
pub(super) const SWEEP_INTERVAL_US: Micros = 40_000;
pub(super) const SWEEP: TimerToken = TimerToken(1);
