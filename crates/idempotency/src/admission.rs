//! What a request gets: it runs, joins a run in flight, is given a replay, or is rejected or deferred.

use crate::entry::EntryState;
use crate::recording::RESERVED_BYTES;
use crate::retry_budget::RetryBudgetPolicy;
use crate::store::IdempotencyStore;
use crate::types::{Admission, DeferReason, IncomingRequest, Outcome, RejectReason, RequestIdentity};
use crate::Micros;

/// What becomes of a repeat, by the state of its entry.
enum Repeat {
    /// It reads the run in flight.
    JoinInFlight,
    /// It reads the kept answer.
    Replay,
    /// The first may have run, so one that must not run twice is rejected.
    MayRunTwice(RejectReason),
    /// The first never ran.
    NeverRan,
}

impl IdempotencyStore {
    /// A client makes a request. `random` spreads those that are deferred.
    pub fn admit(&mut self, now: Micros, request: &IncomingRequest, random: u64) -> Admission {
        self.advance(now);
        let admission = self.decide(request, random);
        match admission {
            Admission::Reject(_) => self.stats.rejected += 1,
            Admission::Defer { .. } => self.stats.deferred += 1,
            _ => {}
        }
        admission
    }

    fn decide(&mut self, request: &IncomingRequest, random: u64) -> Admission {
        // Nobody could tell a repeat of it from a fresh one, but one that says it is a retry pays as such.
        let Some(identity) = request.identity else { return self.run_unrecorded(request, random) };
        if let Some(index) = self.entries.find(request, identity, self.now) {
            return self.admit_repeat(index, request, random);
        }
        // Guards a request whose first may have run before this program started: no entry proves nothing then.
        let guard_end = self.started_us.saturating_add(self.policy.startup_guard_us);
        if request.is_retry && request.at_most_once && self.now < guard_end {
            return Admission::Reject(RejectReason::RecentStart);
        }
        self.admit_first(request, identity, random)
    }

    /// Admits a request of which nothing is known.
    fn admit_first(
        &mut self,
        request: &IncomingRequest,
        identity: RequestIdentity,
        random: u64,
    ) -> Admission {
        let account = self.tenants.account(request.tenant);
        if !self.entries.make_room_for_entry(account) {
            if request.at_most_once {
                return self.defer(DeferReason::Capacity, random);
            }
            return self.run_unrecorded(request, random);
        }
        if let Err(deferred) = self.spend(request.tenant, request.is_retry, random) {
            return deferred;
        }
        let index = self.entries.insert(request, identity, account);
        Admission::Run(self.entries.id(index))
    }

    fn run_unrecorded(&mut self, request: &IncomingRequest, random: u64) -> Admission {
        match self.spend(request.tenant, request.is_retry, random) {
            Ok(()) => Admission::RunUnrecorded,
            Err(deferred) => deferred,
        }
    }

    /// Admits a request whose first has this entry.
    fn admit_repeat(&mut self, index: u32, request: &IncomingRequest, random: u64) -> Admission {
        let entry = self.entries.entry(index);
        if entry.body != request.body || entry.at_most_once != request.at_most_once {
            return Admission::KeyReused;
        }
        match self.classify_repeat(index) {
            Repeat::JoinInFlight => return self.join(index, false, random),
            Repeat::Replay => return self.join(index, true, random),
            Repeat::MayRunTwice(reason) if request.at_most_once => return Admission::Reject(reason),
            Repeat::MayRunTwice(_) | Repeat::NeverRan => {}
        }
        if let Err(deferred) = self.spend(request.tenant, true, random) {
            return deferred;
        }
        let entry = self.entries.entry(index);
        let is_read = entry.readers > 0 && entry.answer_end() > 0;
        // The run before is still being read, and can't be given from its first byte: this one runs beside it.
        if entry.is_running() || is_read {
            return Admission::RunUnrecorded;
        }
        self.run_again(index, request, random)
    }

    fn classify_repeat(&self, index: u32) -> Repeat {
        let entry = self.entries.entry(index);
        match entry.state {
            EntryState::Waiting | EntryState::Streaming if !entry.lost_beginning() => Repeat::JoinInFlight,
            // Whether it ever ran is known when its cancellation has ended: until then its repeat waits for that.
            EntryState::Canceling if entry.answer_end() == 0 => Repeat::JoinInFlight,
            EntryState::Waiting | EntryState::Streaming | EntryState::Canceling => {
                Repeat::MayRunTwice(RejectReason::MayHaveExecuted)
            }
            EntryState::Ended { outcome: Outcome::Completed, .. } if !entry.lost_beginning() => {
                Repeat::Replay
            }
            EntryState::Ended { outcome: Outcome::Completed, .. } | EntryState::AnswerEvicted { .. } => {
                Repeat::MayRunTwice(RejectReason::AlreadyAnswered)
            }
            EntryState::Ended { outcome, .. } if outcome.may_have_executed() => {
                Repeat::MayRunTwice(RejectReason::MayHaveExecuted)
            }
            EntryState::Ended { .. } | EntryState::Free => Repeat::NeverRan,
        }
    }

    fn join(&mut self, index: u32, is_replay: bool, random: u64) -> Admission {
        let max_readers = self.policy.max_readers;
        let entry = self.entries.entry_mut(index);
        if entry.readers >= max_readers {
            return self.defer(DeferReason::TooManyReaders, random);
        }
        entry.readers += 1;
        if is_replay {
            self.stats.replayed += 1;
        } else {
            self.stats.joined += 1;
            self.entries.deadlines.cancel(index); // it has a reader again
        }
        self.entries.keep(index);
        Admission::Join(self.entries.id(index))
    }

    /// An entry whose run has ended, and may be repeated, runs again.
    fn run_again(&mut self, index: u32, request: &IncomingRequest, random: u64) -> Admission {
        self.entries.keep(index);
        self.entries.release_answer(index);
        let entry = self.entries.entry_mut(index);
        let expires_us = entry.expires_us().unwrap_or(Micros::MAX);
        // Others may still read the run before: it is over for them, and they are not counted for this one.
        entry.run += 1;
        entry.readers = 1;
        entry.state = EntryState::Waiting;
        if !self.entries.make_room(RESERVED_BYTES) {
            // What is known of it stays true: it may run, and does not now.
            let entry = self.entries.entry_mut(index);
            entry.state = EntryState::Ended { outcome: Outcome::Refused { retry_after_us: 0 }, expires_us };
            entry.readers = 0;
            self.entries.retire(index);
            if request.at_most_once {
                return self.defer(DeferReason::Capacity, random);
            }
            return Admission::RunUnrecorded;
        }
        self.entries.deadlines.cancel(index);
        self.entries.begin_run(index);
        self.stats.rerun += 1;
        Admission::Run(self.entries.id(index))
    }

    /// Counts a request that is to run against its tenant's budget: a fresh one earns for retries, a retry pays.
    fn spend(&mut self, tenant: u32, is_retry: bool, random: u64) -> Result<(), Admission> {
        let (now, policy) = (self.now, self.policy.retry_budget);
        let account = self.tenants.account(tenant);
        let budget = self.tenants.budget(account, &policy, now);
        if !is_retry {
            budget.record_fresh(&policy, now);
            return Ok(());
        }
        let paid = budget.try_spend(&policy, now, random);
        paid.map_err(|retry_after_us| Admission::Defer { retry_after_us, reason: DeferReason::RetryBudget })
    }

    /// Asks one back that is turned away for want of room.
    fn defer(&self, reason: DeferReason, random: u64) -> Admission {
        let RetryBudgetPolicy { min_retry_after_us, max_retry_after_us, .. } = self.policy.retry_budget;
        let spread = max_retry_after_us.saturating_sub(min_retry_after_us) / 4;
        Admission::Defer { retry_after_us: min_retry_after_us + random % spread.max(1), reason }
    }
}
