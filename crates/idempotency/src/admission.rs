//! Decides about an incoming request: it runs, joins a run in flight, gets a replay, or is rejected or deferred.

use crate::entry::{Entry, EntryState};
use crate::fingerprint::Fingerprint;
use crate::recording::RESERVED_BYTES;
use crate::retry_budget::RetryBudgetPolicy;
use crate::store::IdempotencyStore;
use crate::types::{
    Admission, DeferReason, Delivery, IncomingRequest, Outcome, RejectReason, RequestIdentity,
};
use crate::Micros;

/// How a repeat is handled, by the state of the entry that it repeats.
enum Repeat {
    /// The repeat reads the answer of the run in flight.
    JoinInFlight,
    /// The repeat reads the kept answer.
    Replay,
    /// The first attempt may have run, and its answer cannot be read from the start: an at-most-once repeat is
    /// rejected with this reason, another one runs.
    MayHaveRun(RejectReason),
    /// The first attempt never ran, so the repeat may run.
    NeverRan,
}

/// What a request is to the entries with its identity.
enum Match {
    /// There is none, or the request is not marked as a retry.
    None,
    /// It repeats the request of this entry.
    Repeat(u32),
    /// It has the body of a request whose client may still be getting its answer.
    Pending,
    /// It has the body of a request that may have run and that may be another client's.
    Unclear,
}

impl IdempotencyStore {
    /// Decides about a request of a client. `random` spreads the times at which deferred clients retry.
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
        // Without an identity, repeats cannot be recognised. A request marked as a retry still counts against the
        // retry budget.
        let Some(identity) = request.identity else { return self.run_unrecorded(request, random) };
        match self.find_match(request, identity) {
            Match::Repeat(index) => return self.admit_repeat(index, request, random),
            Match::Pending | Match::Unclear if !request.at_most_once => {
                return self.run_unrecorded(request, random);
            }
            Match::Pending => return Admission::AwaitDelivery,
            Match::Unclear => return Admission::Reject(RejectReason::UnclearOwner),
            Match::None => {}
        }
        // Shortly after the start, the first attempt may have run before the start, so that a missing entry does not
        // prove that the request never ran.
        let guard_end = self.started_us.saturating_add(self.policy.startup_guard_us);
        if request.is_retry && request.at_most_once && self.now < guard_end {
            return Admission::Reject(RejectReason::RecentStart);
        }
        self.admit_first(request, identity, random)
    }

    /// Finds the request that this one repeats. A key names one request.
    fn find_match(&self, request: &IncomingRequest, identity: RequestIdentity) -> Match {
        let mut entries = self.entries.find_all(request.tenant, identity, self.now);
        match identity {
            RequestIdentity::Key(_) => entries.next().map_or(Match::None, |(index, _)| Match::Repeat(index)),
            RequestIdentity::Body { .. } if !request.is_retry => Match::None,
            RequestIdentity::Body { sender, .. } => self.find_match_by_body(sender, entries.collect()),
        }
    }

    /// Finds the request that a retry with the body of these entries repeats. Its own first attempt may be any of them, or may
    /// never have come.
    ///
    /// - If none may have run, the retry may run, whichever of them it repeats.
    /// - If no other request had the body, and the client of this one, which is the same sender, was seen to lose its
    ///   connection before it had the answer, the retry is that client's.
    /// - Otherwise nothing proves that an answer is the retry's own, and running it could be a second run.
    fn find_match_by_body(&self, sender: Fingerprint, entries: Vec<(u32, &Entry)>) -> Match {
        let may_have_run = entries.iter().filter(|(_, entry)| entry.may_have_executed());
        if may_have_run.count() == 0 {
            let latest = entries.iter().max_by_key(|(_, entry)| entry.sequence);
            return latest.map_or(Match::None, |&(index, _)| Match::Repeat(index));
        }
        if let [(index, entry)] = entries[..] {
            let is_own = entry.sender == sender.hash_bits() && !entry.shares_body && entry.is_undelivered();
            if is_own || entry.has_failed() {
                return Match::Repeat(index);
            }
        }
        if entries.iter().any(|(_, entry)| entry.may_have_executed() && entry.may_be_delivered()) {
            return Match::Pending;
        }
        Match::Unclear
    }

    /// Decides about a request that has no entry.
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
        if let Err(deferred) = self.apply_retry_budget(request.tenant, request.is_retry, random) {
            return deferred;
        }
        let index = self.entries.insert(request, identity, account);
        Admission::Run(self.entries.id(index))
    }

    /// Lets a request run without an entry, if the retry budget allows it.
    fn run_unrecorded(&mut self, request: &IncomingRequest, random: u64) -> Admission {
        match self.apply_retry_budget(request.tenant, request.is_retry, random) {
            Ok(()) => Admission::RunUnrecorded,
            Err(deferred) => deferred,
        }
    }

    /// Decides about a request that repeats the one of this entry.
    fn admit_repeat(&mut self, index: u32, request: &IncomingRequest, random: u64) -> Admission {
        let entry = self.entries.entry(index);
        if entry.body != request.body || entry.at_most_once != request.at_most_once {
            return Admission::KeyReused;
        }
        match self.classify_repeat(index) {
            Repeat::JoinInFlight => return self.join(index, false, random),
            Repeat::Replay => return self.join(index, true, random),
            Repeat::MayHaveRun(reason) if request.at_most_once => return Admission::Reject(reason),
            Repeat::MayHaveRun(_) | Repeat::NeverRan => {}
        }
        if let Err(deferred) = self.apply_retry_budget(request.tenant, true, random) {
            return deferred;
        }
        let entry = self.entries.entry(index);
        let is_read = entry.readers > 0 && entry.answer_end() > 0;
        // The previous run is in flight or still being read, and cannot be read from its first byte: the repeat runs
        // in addition to it, without an entry.
        if entry.is_running() || is_read {
            return Admission::RunUnrecorded;
        }
        self.run_again(index, request, random)
    }

    fn classify_repeat(&self, index: u32) -> Repeat {
        let entry = self.entries.entry(index);
        match entry.state {
            EntryState::Waiting | EntryState::Streaming if !entry.is_pass_through() => Repeat::JoinInFlight,
            // Whether the request ran is known only when its cancellation has ended: the repeat waits for that as a
            // reader.
            EntryState::Canceling if entry.answer_end() == 0 => Repeat::JoinInFlight,
            EntryState::Waiting | EntryState::Streaming | EntryState::Canceling => {
                Repeat::MayHaveRun(RejectReason::MayHaveExecuted)
            }
            EntryState::Ended { outcome: Outcome::Completed, .. } if !entry.is_pass_through() => {
                Repeat::Replay
            }
            EntryState::Ended { outcome: Outcome::Completed, .. } | EntryState::AnswerEvicted { .. } => {
                Repeat::MayHaveRun(RejectReason::AlreadyAnswered)
            }
            EntryState::Ended { outcome, .. } if outcome.may_have_executed() => {
                Repeat::MayHaveRun(RejectReason::MayHaveExecuted)
            }
            EntryState::Ended { .. } | EntryState::Free => Repeat::NeverRan,
        }
    }

    /// Adds a reader to an entry, if it has room for one.
    fn join(&mut self, index: u32, is_replay: bool, random: u64) -> Admission {
        let max_readers = self.policy.max_readers;
        let entry = self.entries.entry_mut(index);
        if entry.readers >= max_readers {
            return self.defer(DeferReason::TooManyReaders, random);
        }
        entry.readers += 1;
        entry.delivery = Delivery::Pending;
        if is_replay {
            self.stats.replayed += 1;
        } else {
            self.stats.joined += 1;
            self.entries.deadlines.cancel(index); // a lingering run has a reader again
        }
        self.entries.exclude_from_eviction(index);
        Admission::Join(self.entries.id(index))
    }

    /// Starts a new run of an entry whose run has ended and may be repeated.
    fn run_again(&mut self, index: u32, request: &IncomingRequest, random: u64) -> Admission {
        self.entries.exclude_from_eviction(index);
        self.entries.drop_answer(index);
        let entry = self.entries.entry_mut(index);
        let expires_us = entry.expires_us().unwrap_or(Micros::MAX);
        // Readers of the previous run find it gone, and do not count as readers of the new one.
        entry.run += 1;
        entry.readers = 1;
        entry.delivery = Delivery::Pending;
        entry.state = EntryState::Waiting;
        if !self.entries.make_room(RESERVED_BYTES) {
            // The request still may run, but does not now, which is what a refused outcome says.
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

    /// Applies a request that is to run to its tenant's retry budget: a fresh request adds to the budget, a retry
    /// takes from it. Returns the decision to defer a retry that exceeds the budget.
    fn apply_retry_budget(&mut self, tenant: u32, is_retry: bool, random: u64) -> Result<(), Admission> {
        let (now, policy) = (self.now, self.policy.retry_budget);
        let account = self.tenants.account(tenant);
        let budget = self.tenants.budget(account, &policy, now);
        if !is_retry {
            budget.record_fresh(&policy, now);
            return Ok(());
        }
        let spent = budget.try_spend(&policy, now, random);
        spent.map_err(|retry_after_us| Admission::Defer { retry_after_us, reason: DeferReason::RetryBudget })
    }

    /// Defers a request that a limit of the store leaves no room for. The delays are spread over a quarter of the
    /// range that the retry budget allows.
    fn defer(&self, reason: DeferReason, random: u64) -> Admission {
        let RetryBudgetPolicy { min_retry_after_us, max_retry_after_us, .. } = self.policy.retry_budget;
        let spread = max_retry_after_us.saturating_sub(min_retry_after_us) / 4;
        Admission::Defer { retry_after_us: min_retry_after_us + random % spread.max(1), reason }
    }
}
