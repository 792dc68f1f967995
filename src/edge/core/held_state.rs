//! State that servers hold, or may hold, for a request, and by when it has to be taken or let go of.
//!
//! Invariant: whatever may be held has a deadline; once that has passed, a release of it is under way; once a server has
//! answered that release, only the attempt that is in flight can keep it. A deadline is put off by what a server says, an
//! answer to an attempt or to a release, and by nothing else. A connection that comes up, bytes that were written or
//! acknowledged, a reset, a time-out and silence come from machines and networks, and say nothing of the process behind
//! them.

use crate::edge::core::step::{Timer, Timers};
use crate::interface::{HeldStateAfter, Micros, RequestId, ServerId};

/// A server has seen the close of a connection by then (us). A release goes over another one and may overtake it.
pub const CLOSE_SEEN: Micros = 100_000;

/// How far the release of what is held has come. Until the request has ended, what was released is kept in mind: an attempt
/// may have kept it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseProgress {
    NotRequested,
    /// No server has answered it yet.
    Requested {
        number: u64,
    },
    /// A server has answered: what is still held waits for the attempt that was in flight.
    Answered,
}

/// A release that is to be asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseOrder {
    /// The servers that hold or may hold something.
    pub holders: Vec<ServerId>,
    /// Once more after [`CLOSE_SEEN`]: an attempt that has just been given up may keep it until its close is seen.
    pub again: bool,
    /// How long something has been held (us).
    pub held: Micros,
    /// The deadline that it had, if it had one (us).
    pub deadline: Option<Micros>,
}

/// See the [module](self).
#[derive(Debug)]
pub struct HeldState {
    holders: Vec<ServerId>,
    /// By when it has to be taken or let go of (us).
    deadline: Option<Micros>,
    /// The timer that is started for it.
    timer: Option<Micros>,
    progress: ReleaseProgress,
    /// Something may be held that no release was asked for since an attempt last ended.
    is_unreleased: bool,
    /// When something was first held of what is held now (us).
    since: Micros,
    /// When an attempt was last given up, or broke off, that its server may still work on (us).
    given_up_at: Option<Micros>,
}

impl HeldState {
    /// Nothing is held.
    #[must_use]
    pub fn none() -> Self {
        Self {
            holders: Vec::new(),
            deadline: None,
            timer: None,
            progress: ReleaseProgress::NotRequested,
            is_unreleased: false,
            since: 0,
            given_up_at: None,
        }
    }

    /// Whether a server holds something, or may.
    #[must_use]
    pub fn is_held(&self) -> bool {
        !self.holders.is_empty()
    }

    /// How long something has been held (us); 0 where nothing is.
    #[must_use]
    pub fn age(&self, now: Micros) -> Micros {
        if self.is_held() {
            now.saturating_sub(self.since)
        } else {
            0
        }
    }

    /// By when what is held has to be taken or let go of (us).
    #[must_use]
    pub fn deadline(&self) -> Option<Micros> {
        self.deadline
    }

    /// Whether a release was asked for since a server last answered that the state is there.
    #[must_use]
    pub fn was_released(&self) -> bool {
        self.progress != ReleaseProgress::NotRequested
    }

    /// Whether something may be held that no release was asked for since an attempt last ended.
    #[must_use]
    pub fn is_unreleased(&self) -> bool {
        self.is_unreleased
    }

    /// A reader has answered that it has read the prompt.
    pub fn read_answered(&mut self, server: ServerId, now: Micros, max_hold_time: Micros) {
        self.add_holder(server, now);
        self.restart(now, max_hold_time);
    }

    /// A read has ended without an answer that says how: it may have ended well all the same.
    pub fn read_unanswered(&mut self, server: ServerId, now: Micros, max_hold_time: Micros) {
        self.add_holder(server, now);
        self.given_up_at = Some(now);
        self.deadline.get_or_insert(now + max_hold_time);
    }

    /// An attempt that may have waited for what is held has ended. Where a release was asked for meanwhile, only that
    /// attempt can have kept the state: it can't be counted on any more. Else an answer gives it its whole time once more.
    pub fn write_ended(&mut self, answered: bool, now: Micros, max_hold_time: Micros) -> HeldStateAfter {
        if !self.is_held() {
            return HeldStateAfter::TimeGoesOn;
        }
        self.is_unreleased = true;
        if !answered {
            self.given_up_at = Some(now);
        }
        if self.was_released() {
            return HeldStateAfter::Released;
        }
        if !answered {
            return HeldStateAfter::TimeGoesOn;
        }
        self.restart(now, max_hold_time);
        HeldStateAfter::TimeBeginsAnew
    }

    /// A writer has taken the state: with the first token all that is held is let go of by itself.
    pub fn taken(&mut self) {
        self.clear();
    }

    /// Takes what is to be released, if anything; told by its number. Only where the request has ended, `is_final`, is it
    /// not kept in mind any longer.
    pub fn start_releasing(&mut self, number: u64, is_final: bool, now: Micros) -> Option<ReleaseOrder> {
        if !self.is_held() {
            return None;
        }
        let (held, deadline) = (self.age(now), self.deadline.take());
        let holders = self.holders.clone();
        let was_just_given_up = self.given_up_at.is_some_and(|at| now < at + CLOSE_SEEN);
        if is_final {
            self.clear();
        } else {
            self.progress = ReleaseProgress::Requested { number };
            self.is_unreleased = false;
        }
        // A second release would let go of what a further read leaves.
        Some(ReleaseOrder { holders, again: is_final && was_just_given_up, held, deadline })
    }

    /// A release has come to its end. One that nobody answered is asked for once more after so long.
    pub fn finish_releasing(&mut self, number: u64, answered: bool, now: Micros, max_hold_time: Micros) {
        if self.progress != (ReleaseProgress::Requested { number }) {
            return;
        }
        if answered {
            self.progress = ReleaseProgress::Answered;
        } else {
            self.progress = ReleaseProgress::NotRequested;
            self.is_unreleased = true;
            self.deadline.get_or_insert(now + max_hold_time);
        }
    }

    /// Has the timer of the deadline started, moved or stopped.
    pub fn sync_timer(&mut self, id: RequestId, timers: &mut Timers) {
        if self.timer == self.deadline {
            return;
        }
        if let Some(at) = self.timer {
            timers.stop(at, Timer::HeldState(id));
        }
        if let Some(at) = self.deadline {
            timers.start(at, Timer::HeldState(id));
        }
        self.timer = self.deadline;
    }

    fn clear(&mut self) {
        self.holders.clear();
        self.deadline = None;
        self.progress = ReleaseProgress::NotRequested;
        self.is_unreleased = false;
        self.given_up_at = None;
    }

    fn add_holder(&mut self, server: ServerId, now: Micros) {
        if !self.is_held() {
            self.since = now;
        }
        self.holders.push(server);
        self.is_unreleased = true;
    }

    fn restart(&mut self, now: Micros, max_hold_time: Micros) {
        self.deadline = Some(now + max_hold_time);
        self.progress = ReleaseProgress::NotRequested;
    }
}
