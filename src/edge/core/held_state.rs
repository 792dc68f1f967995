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

/// How far a release has come that was asked for while an attempt was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReleaseProgress {
    NotRequested,
    /// No server has answered it yet.
    Requested {
        /// Its number.
        release: u64,
    },
    /// A server has answered: what is still held waits for the attempt that is in flight.
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
    release: ReleaseProgress,
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
            release: ReleaseProgress::NotRequested,
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

    /// Whether a release was asked for during the attempt that is in flight.
    #[must_use]
    pub fn is_release_requested(&self) -> bool {
        self.release != ReleaseProgress::NotRequested
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
        self.release = ReleaseProgress::NotRequested;
        self.deadline.get_or_insert(now + max_hold_time);
    }

    /// A server has answered an attempt: what is held has its whole time from now on.
    pub fn attempt_answered(&mut self, now: Micros, max_hold_time: Micros) -> HeldStateAfter {
        if self.is_held() {
            self.restart(now, max_hold_time);
        }
        HeldStateAfter::TimeBeginsAnew
    }

    /// An attempt has ended without an answer after some of it was written. Where a release was asked for meanwhile and is
    /// not answered, it has to be asked for again: the server may have kept the state for the attempt until now.
    pub fn attempt_unanswered(&mut self, now: Micros, max_hold_time: Micros) -> HeldStateAfter {
        if !self.is_held() {
            return HeldStateAfter::TimeGoesOn;
        }
        self.given_up_at = Some(now);
        match self.release {
            ReleaseProgress::NotRequested => HeldStateAfter::TimeGoesOn,
            ReleaseProgress::Answered => {
                self.restart(now, max_hold_time);
                HeldStateAfter::TimeBeginsAnew
            }
            ReleaseProgress::Requested { .. } => HeldStateAfter::Released,
        }
    }

    /// An attempt has ended of which no server has anything. A release that was asked for meanwhile lets go of all that is
    /// held, as nobody waits for it.
    pub fn attempt_not_sent(&mut self) -> HeldStateAfter {
        if self.is_release_requested() {
            self.clear();
        }
        HeldStateAfter::TimeGoesOn
    }

    /// A writer has taken the state: with the first token all that is held is let go of by itself.
    pub fn taken(&mut self) {
        self.clear();
    }

    /// Takes what is to be released, if anything; `release` numbers it. Where an attempt may wait for what is held, it is
    /// kept in mind until that attempt has ended.
    pub fn request_release(&mut self, release: u64, is_awaited: bool, now: Micros) -> Option<ReleaseOrder> {
        if !self.is_held() {
            return None;
        }
        let (held, deadline) = (self.age(now), self.deadline.take());
        let again = self.given_up_at.is_some_and(|at| now < at + CLOSE_SEEN);
        let holders = self.holders.clone();
        if is_awaited {
            self.release = ReleaseProgress::Requested { release };
        } else {
            self.clear();
        }
        Some(ReleaseOrder { holders, again, held, deadline })
    }

    /// A release has come to its end. One that nobody answered is asked for once more after so long.
    pub fn release_finished(&mut self, release: u64, answered: bool, now: Micros, max_hold_time: Micros) {
        if self.release != (ReleaseProgress::Requested { release }) {
            return;
        }
        if answered {
            self.release = ReleaseProgress::Answered;
        } else {
            self.release = ReleaseProgress::NotRequested;
            self.deadline = Some(now + max_hold_time);
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
        self.release = ReleaseProgress::NotRequested;
        self.given_up_at = None;
    }

    fn add_holder(&mut self, server: ServerId, now: Micros) {
        if !self.is_held() {
            self.since = now;
        }
        self.holders.push(server);
    }

    fn restart(&mut self, now: Micros, max_hold_time: Micros) {
        self.deadline = Some(now + max_hold_time);
        self.release = ReleaseProgress::NotRequested;
    }
}
