//! Shares of the limits.

/// A share of the limits, in units of which [`FULL_SHARE`] are all.
pub type LimitShare = u16;

/// All of the limits.
pub const FULL_SHARE: LimitShare = 1_024;
/// What a process that starts may take without asking: for its own descriptors, not for clients. One that is alone
/// leaves it free.
pub const STARTUP_SHARE: LimitShare = 64;
/// What the first keeps for itself while both serve.
pub const HALF_SHARE: LimitShare = FULL_SHARE / 2;
/// A limit of none would stop everything.
const MIN_LIMIT: usize = 4;

/// What a share of a limit comes to; a few of anything at the least.
#[must_use]
pub fn share_of(limit: usize, share: LimitShare) -> usize {
    (limit * usize::from(share) / usize::from(FULL_SHARE)).max(MIN_LIMIT)
}

/// The share that so much of a limit is, rounded up.
#[must_use]
pub fn share_used(used: usize, limit: usize) -> LimitShare {
    let share = (used * usize::from(FULL_SHARE)).div_ceil(limit.max(1));
    LimitShare::try_from(share).unwrap_or(FULL_SHARE).min(FULL_SHARE)
}
