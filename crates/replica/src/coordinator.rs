//! The coordinator: the offers of this instance, from asking the holders until the offer is granted or denied, and
//! the granted offers until their attempts end.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;

use crate::events::{Denial, OfferId};
use crate::record::{AttemptId, Record, RecordId, RequestStatus};
use crate::settings::Settings;
use crate::Micros;

/// An offer of this instance that is not decided yet.
#[derive(Debug)]
pub(crate) struct Offer {
    pub(crate) id: RecordId,
    pub(crate) attempt: AttemptId,
    /// When the record of the offered attempt expires.
    pub(crate) expires: Micros,
    /// The offer is denied if it has no quorum by this time.
    pub(crate) deadline: Micros,
    /// When the holders that have not accepted are asked again.
    pub(crate) retry_at: Micros,
    accepted_by: BTreeSet<MemberId>,
    store_full_at: BTreeSet<MemberId>,
}

impl Offer {
    /// The offer of an attempt, made now. Its deadline is at most [`Settings::settle_time`] away.
    pub(crate) fn new(
        id: RecordId,
        attempt: AttemptId,
        deadline: Micros,
        now: Micros,
        settings: &Settings,
    ) -> Self {
        Self {
            id,
            attempt,
            expires: now + settings.retention,
            deadline: deadline.min(now + settings.settle_time),
            retry_at: now + settings.retry_after,
            accepted_by: BTreeSet::new(),
            store_full_at: BTreeSet::new(),
        }
    }

    /// Those of the holders that have not accepted the offer, be it that they have not answered, have not caught up or
    /// have a full store.
    pub(crate) fn not_accepted_by(&self, holders: &[MemberId]) -> Vec<MemberId> {
        holders.iter().copied().filter(|holder| !self.accepted_by.contains(holder)).collect()
    }
}

/// A holder's answer to an offer.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The holder has stored the attempt.
    Accepted,
    /// The holder's copy, which it sent along, contains attempts that rule out another one.
    Refused(Record),
    /// The holder's store is full.
    StoreFull,
}

/// The decision about an offer after a holder's answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The offer stays undecided: more answers are needed.
    Wait,
    /// A quorum of holders has stored the attempt.
    Grant,
    /// The request must not be sent to a server.
    Deny(Denial),
}

/// The offers of this instance that are undecided, or granted and not finished.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    waiting: BTreeMap<OfferId, Offer>,
    /// Offers that were granted and whose attempts have not ended.
    granted: BTreeMap<OfferId, (RecordId, AttemptId)>,
}

impl Coordinator {
    /// Adds an offer whose holders are about to be asked.
    pub(crate) fn begin(&mut self, offer_id: OfferId, offer: Offer) {
        self.waiting.insert(offer_id, offer);
    }

    /// An offer, if it is undecided.
    pub(crate) fn waiting(&self, offer_id: OfferId) -> Option<&Offer> {
        self.waiting.get(&offer_id)
    }

    /// The undecided offer of an attempt.
    pub(crate) fn find(&self, attempt: AttemptId) -> Option<(OfferId, &Offer)> {
        let (&offer_id, offer) = self.waiting.iter().find(|(_, offer)| offer.attempt == attempt)?;
        Some((offer_id, offer))
    }

    /// Records a holder's answer, and decides about the offer. Answers to an offer that is already decided are
    /// ignored.
    pub(crate) fn decide(
        &mut self,
        offer_id: OfferId,
        from: MemberId,
        answer: &Answer,
        now: Micros,
        settings: &Settings,
    ) -> Decision {
        let Some(offer) = self.waiting.get_mut(&offer_id) else { return Decision::Wait };
        if now >= offer.deadline {
            // The process was paused past the deadline: holders that accepted may have restarted since, without their
            // records.
            return Decision::Deny(Denial::NoQuorum);
        }
        match answer {
            Answer::Accepted => {
                offer.accepted_by.insert(from);
                if offer.accepted_by.len() >= settings.quorum {
                    return Decision::Grant;
                }
            }
            Answer::Refused(known) => {
                return Decision::Deny(Denial::Conflict(known.status().max(RequestStatus::Open)));
            }
            Answer::StoreFull => {
                offer.store_full_at.insert(from);
                if offer.store_full_at.len() > settings.copies - settings.quorum {
                    return Decision::Deny(Denial::StoreFull);
                }
            }
        }
        Decision::Wait
    }

    /// Moves an undecided offer to the granted ones.
    pub(crate) fn grant(&mut self, offer_id: OfferId) -> Option<Offer> {
        let offer = self.waiting.remove(&offer_id)?;
        self.granted.insert(offer_id, (offer.id, offer.attempt));
        Some(offer)
    }

    /// Drops an undecided offer.
    pub(crate) fn withdraw(&mut self, offer_id: OfferId) -> Option<Offer> {
        self.waiting.remove(&offer_id)
    }

    /// Drops a granted offer, as its attempt has ended.
    pub(crate) fn finish(&mut self, offer_id: OfferId) -> Option<(RecordId, AttemptId)> {
        self.granted.remove(&offer_id)
    }

    /// Undecided offers whose deadline has passed.
    pub(crate) fn overdue(&self, now: Micros) -> Vec<OfferId> {
        self.ids_where(|offer| now >= offer.deadline)
    }

    /// Undecided offers that are due for another round of asking; schedules their next one `retry_after` from now.
    pub(crate) fn take_due_retries(&mut self, now: Micros, retry_after: Micros) -> Vec<OfferId> {
        let due = self.ids_where(|offer| now >= offer.retry_at);
        for offer_id in &due {
            if let Some(offer) = self.waiting.get_mut(offer_id) {
                offer.retry_at = now + retry_after;
            }
        }
        due
    }

    fn ids_where(&self, predicate: impl Fn(&Offer) -> bool) -> Vec<OfferId> {
        self.waiting.iter().filter(|(_, offer)| predicate(offer)).map(|(&offer_id, _)| offer_id).collect()
    }
}
