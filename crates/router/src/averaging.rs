//! How fast averages and rates follow what comes in: common to all rules, so that their figures can be
//! compared.

/// An average without new samples goes half way to its baseline in this time (us).
pub(crate) const AVERAGE_HALF_LIFE_US: f64 = 4_000_000.0;
/// Weight of a new sample in an average. Scales with how many samples make a verdict (about 1 / weight).
pub(crate) const SAMPLE_WEIGHT: f64 = 0.25;
/// Time constant of rates (us): thirty requests of a dispatcher that sees one in two seconds.
pub(crate) const RATE_TIME_CONSTANT_US: f64 = 60_000_000.0;
