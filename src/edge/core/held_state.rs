//! State that servers hold, or may hold, for a request, and the deadline by which a writer must take it or the
//! dispatcher must release it.
//!
//! Invariant: state that may be held has a deadline. Once the deadline has passed, a release is in progress.
//! Once a server has answered the release, only the attempt in flight can still keep the state. Only an answer
//! from a server, to an attempt or to a release, extends a deadline. A new connection, bytes written or
//! acknowledged, a reset, a timeout and silence come from machines and networks and prove nothing about the
//! server process.

use crate::edge::core::step::{Timer, Timers};
use crate::interface::{HeldStateAfter, Micros, RequestId, ServerId};

/// Time within which a server notices that a connection was closed (us). A release uses another connection and
/// may therefore arrive before the server has noticed the close.
pub const CLOSE_PROPAGATION_TIME: Micros = 100_000;

/// Progress of the release of held state. State released while its request is still open stays recorded,
/// because an attempt in flight may have kept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseProgress {
    NotRequested,
    /// No server has answered the release yet.
    Requested {
        number: u64,
    },
    /// A server has answered. Only the attempt that was in flight may still keep the state.
    Answered,
}

/// A release that must be requested from servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// Servers that hold state or may hold it.
    pub holders: Vec<ServerId>,
    /// Whether to repeat the release after [`CLOSE_PROPAGATION_TIME`]: a server may keep the state for a
    /// recently abandoned attempt until it notices the closed connection.
    pub again: bool,
    /// How long state has been held (us).
    pub held: Micros,
    /// Deadline that the held state had (us); `None` if its release had already been requested.
    pub deadline: Option<Micros>,
}

/// State that servers hold for one request. See the [module documentation](self).
#[derive(Debug)]
pub struct HeldState {
    holders: Vec<ServerId>,
    /// Time by which the state must be taken or released (us); `None` if nothing is held, or if a release was
    /// requested and nothing has set a new deadline since.
    deadline: Option<Micros>,
    /// Time for which a timer is running (us); [`HeldState::sync_timer`] sets it to the deadline.
    timer_due: Option<Micros>,
    progress: ReleaseProgress,
    /// Whether state may be held that the last release does not cover: an attempt that ended after the release
    /// was requested may have left or kept it, or no server answered the release.
    needs_release: bool,
    /// Time since which state has been held (us).
    held_since: Micros,
    /// Time at which an attempt was last abandoned or broke off that its server may still be executing (us).
    abandoned_at: Option<Micros>,
}

impl HeldState {
    /// No state is held.
    #[must_use]
    pub fn none() -> Self {
        Self {
            holders: Vec::new(),
            deadline: None,
            timer_due: None,
            progress: ReleaseProgress::NotRequested,
            needs_release: false,
            held_since: 0,
            abandoned_at: None,
        }
    }

    /// Whether a server holds state for the request, or may hold it.
    #[must_use]
    pub fn is_held(&self) -> bool {
        !self.holders.is_empty()
    }

    /// How long state has been held (us); 0 if none is held.
    #[must_use]
    pub fn age(&self, now: Micros) -> Micros {
        if self.is_held() {
            now.saturating_sub(self.held_since)
        } else {
            0
        }
    }

    /// Time by which held state must be taken or released (us); `None` if nothing is held, or if a release was
    /// requested and nothing has set a new deadline since.
    #[must_use]
    pub fn deadline(&self) -> Option<Micros> {
        self.deadline
    }

    /// Whether a release has been requested, and has not ended unanswered, since a server last confirmed the state.
    #[must_use]
    pub fn was_released(&self) -> bool {
        self.progress != ReleaseProgress::NotRequested
    }

    /// Whether state may be held that the last requested release does not cover.
    #[must_use]
    pub fn needs_release(&self) -> bool {
        self.needs_release
    }

    /// Records that a reader has answered that it read the prompt.
    pub fn read_answered(&mut self, server: ServerId, now: Micros, max_hold_time: Micros) {
        self.add_holder(server, now);
        self.restart_deadline(now, max_hold_time);
    }

    /// Records a read that ended without an answer: the reader may hold the state all the same.
    pub fn read_unanswered(&mut self, server: ServerId, now: Micros, max_hold_time: Micros) {
        self.add_holder(server, now);
        self.abandoned_at = Some(now);
        self.deadline.get_or_insert(now + max_hold_time);
    }

    /// Records the end of an attempt that may have been waiting for held state. If a release was requested
    /// meanwhile, only that attempt can have kept the state, so a later attempt can't rely on it. Otherwise an
    /// answer from the server restarts the deadline.
    pub fn write_ended(&mut self, answered: bool, now: Micros, max_hold_time: Micros) -> HeldStateAfter {
        if !self.is_held() {
            return HeldStateAfter::HoldTimeContinues;
        }
        self.needs_release = true;
        if !answered {
            self.abandoned_at = Some(now);
        }
        if self.was_released() {
            return HeldStateAfter::Released;
        }
        if !answered {
            return HeldStateAfter::HoldTimeContinues;
        }
        self.restart_deadline(now, max_hold_time);
        HeldStateAfter::HoldTimeRestarts
    }

    /// Records that a writer has taken the state. With the first token, servers release all state of the
    /// request themselves.
    pub fn taken(&mut self) {
        self.clear();
    }

    /// Returns the release to request under this number, or `None` if nothing is held. With `is_final`, when
    /// the request has been completed, the state is forgotten; otherwise it stays recorded.
    pub fn start_release(&mut self, number: u64, is_final: bool, now: Micros) -> Option<ReleaseOrder> {
        if !self.is_held() {
            return None;
        }
        let (held, deadline) = (self.age(now), self.deadline.take());
        let holders = self.holders.clone();
        let was_recently_abandoned = self.abandoned_at.is_some_and(|at| now < at + CLOSE_PROPAGATION_TIME);
        if is_final {
            self.clear();
        } else {
            self.progress = ReleaseProgress::Requested { number };
            self.needs_release = false;
        }
        // Only a final release is repeated: otherwise the repeat could release the state of a later read.
        Some(ReleaseOrder { holders, again: is_final && was_recently_abandoned, held, deadline })
    }

    /// Records the end of the release with this number. An unanswered one gets a new deadline, at which the
    /// release is requested again.
    pub fn finish_release(&mut self, number: u64, answered: bool, now: Micros, max_hold_time: Micros) {
        if self.progress != (ReleaseProgress::Requested { number }) {
            return;
        }
        if answered {
            self.progress = ReleaseProgress::Answered;
        } else {
            self.progress = ReleaseProgress::NotRequested;
            self.needs_release = true;
            self.deadline.get_or_insert(now + max_hold_time);
        }
    }

    /// Starts, moves or stops the timer so that it matches the deadline.
    pub fn sync_timer(&mut self, id: RequestId, timers: &mut Timers) {
        if self.timer_due == self.deadline {
            return;
        }
        if let Some(at) = self.timer_due {
            timers.stop(at, Timer::HeldState(id));
        }
        if let Some(at) = self.deadline {
            timers.start(at, Timer::HeldState(id));
        }
        self.timer_due = self.deadline;
    }

    fn clear(&mut self) {
        self.holders.clear();
        self.deadline = None;
        self.progress = ReleaseProgress::NotRequested;
        self.needs_release = false;
        self.abandoned_at = None;
    }

    fn add_holder(&mut self, server: ServerId, now: Micros) {
        if !self.is_held() {
            self.held_since = now;
        }
        self.holders.push(server);
        self.needs_release = true;
    }

    fn restart_deadline(&mut self, now: Micros, max_hold_time: Micros) {
        self.deadline = Some(now + max_hold_time);
        self.progress = ReleaseProgress::NotRequested;
    }
}
