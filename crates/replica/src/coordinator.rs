//! The coordinator: offers of this instance, from the question to the holders until a quorum accepts or denies them.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;

use crate::events::{Denial, OfferId};
use crate::record::{AttemptId, Record, RecordId, RequestStatus};
use crate::settings::Settings;
use crate::Micros;

/// An offer that waits for a quorum.
#[derive(Debug)]
pub(crate) struct Offer {
    pub(crate) id: RecordId,
    pub(crate) attempt: AttemptId,
    /// When its record expires.
    pub(crate) expires: Micros,
    /// Without a quorum by then it is denied.
    pub(crate) deadline: Micros,
    /// When holders that have not answered are asked again.
    pub(crate) retry_at: Micros,
    accepted_by: BTreeSet<MemberId>,
    full_at: BTreeSet<MemberId>,
}

impl Offer {
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
            full_at: BTreeSet::new(),
        }
    }

    /// Those of the holders that have not accepted it.
    pub(crate) fn unanswered(&self, holders: &[MemberId]) -> Vec<MemberId> {
        holders.iter().copied().filter(|holder| !self.accepted_by.contains(holder)).collect()
    }
}

/// A holder's answer to an offer.
#[derive(Debug)]
pub(crate) enum Answer {
    /// It holds the record.
    Accepted,
    /// It knows of another attempt.
    Refused(Record),
    /// It has no room for more records.
    StoreFull,
}

/// What an answer leads to.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decision {
    /// More answers are needed.
    Wait,
    /// A quorum holds the record.
    Grant,
    /// The request must not be sent on.
    Deny(Denial),
}

/// Offers of this instance.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    waiting: BTreeMap<OfferId, Offer>,
    /// Granted, and not known to have finished.
    granted: BTreeMap<OfferId, (RecordId, AttemptId)>,
}

impl Coordinator {
    pub(crate) fn begin(&mut self, offer_id: OfferId, offer: Offer) {
        self.waiting.insert(offer_id, offer);
    }

    pub(crate) fn waiting(&self, offer_id: OfferId) -> Option<&Offer> {
        self.waiting.get(&offer_id)
    }

    /// The waiting offer of an attempt.
    pub(crate) fn find(&self, attempt: AttemptId) -> Option<(OfferId, &Offer)> {
        let (&offer_id, offer) = self.waiting.iter().find(|(_, offer)| offer.attempt == attempt)?;
        Some((offer_id, offer))
    }

    /// Counts a holder's answer, and decides.
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
            // This instance was paused: holders of the record may have restarted since.
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
                offer.full_at.insert(from);
                if offer.full_at.len() > settings.copies - settings.quorum {
                    return Decision::Deny(Denial::StoreFull);
                }
            }
        }
        Decision::Wait
    }

    /// Moves an offer from those that wait to those that are granted.
    pub(crate) fn grant(&mut self, offer_id: OfferId) -> Option<Offer> {
        let offer = self.waiting.remove(&offer_id)?;
        self.granted.insert(offer_id, (offer.id, offer.attempt));
        Some(offer)
    }

    /// Drops an offer that waits.
    pub(crate) fn withdraw(&mut self, offer_id: OfferId) -> Option<Offer> {
        self.waiting.remove(&offer_id)
    }

    /// Ends an offer that was granted.
    pub(crate) fn finish(&mut self, offer_id: OfferId) -> Option<(RecordId, AttemptId)> {
        self.granted.remove(&offer_id)
    }

    /// Offers whose deadline is over.
    pub(crate) fn overdue(&self, now: Micros) -> Vec<OfferId> {
        self.ids_where(|offer| now >= offer.deadline)
    }

    /// Offers whose holders have to be asked again; the next time is scheduled.
    pub(crate) fn take_retries(&mut self, now: Micros, retry_after: Micros) -> Vec<OfferId> {
        let due = self.ids_where(|offer| now >= offer.retry_at);
        for offer_id in &due {
            if let Some(offer) = self.waiting.get_mut(offer_id) {
                offer.retry_at = now + retry_after;
            }
        }
        due
    }

    fn ids_where(&self, wanted: impl Fn(&Offer) -> bool) -> Vec<OfferId> {
        self.waiting.iter().filter(|(_, offer)| wanted(offer)).map(|(&offer_id, _)| offer_id).collect()
    }
}
