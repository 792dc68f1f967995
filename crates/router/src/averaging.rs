//! Time constants and weights of averages and rates, shared by all rules so that their values can be
//! compared.

/// Time in which an average without new samples moves half way back to its baseline (us).
pub(crate) const AVERAGE_HALF_LIFE_US: f64 = 4_000_000.0;
/// Weight of a new sample in an average. A verdict takes about 1 / weight samples.
pub(crate) const SAMPLE_WEIGHT: f64 = 0.25;
/// Time constant of rates (us): thirty requests for a dispatcher that sees one every two seconds.
pub(crate) const RATE_TIME_CONSTANT_US: f64 = 60_000_000.0;
