//! Shares of a dispatcher's limits, and their conversion to absolute limits and back.

/// A share of the limits, from 0 to [`FULL_SHARE`].
pub type LimitShare = u16;

/// The whole of the limits.
pub const FULL_SHARE: LimitShare = 1_024;
/// The share that a starting process may use at once, for its own descriptors and not for clients. A process that is
/// alone leaves this share free.
pub const STARTUP_SHARE: LimitShare = 64;
/// The share that the older process may keep while both serve; it keeps more only for what it has in use.
pub const HALF_SHARE: LimitShare = FULL_SHARE / 2;
/// The lowest limit that a share is converted to: a limit of 0 would stop the process from serving at all.
const MIN_LIMIT: usize = 4;

/// The part of `limit` that `share` stands for, but at least a few.
#[must_use]
pub fn share_of(limit: usize, share: LimitShare) -> usize {
    (limit * usize::from(share) / usize::from(FULL_SHARE)).max(MIN_LIMIT)
}

/// The share that `used` is of `limit`, rounded up; at most [`FULL_SHARE`].
#[must_use]
pub fn share_used(used: usize, limit: usize) -> LimitShare {
    let share = (used * usize::from(FULL_SHARE)).div_ceil(limit.max(1));
    LimitShare::try_from(share).unwrap_or(FULL_SHARE).min(FULL_SHARE)
}
