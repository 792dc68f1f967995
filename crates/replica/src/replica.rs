//! The state machine of one instance. This module connects its parts and fixes the order of their steps:
//! [`Coordinator`] decides about offers of this instance, [`HintedHandoff`] keeps records for holders that have not
//! acknowledged them, and
//! [`Repair`] compares copies with other holders.

use std::collections::BTreeSet;

use dewladder_membership::MemberId;

use crate::coordinator::{Answer, Coordinator, Decision, Offer};
use crate::events::{Counters, Denial, Effect, Event, OfferId};
use crate::hinted_handoff::HintedHandoff;
use crate::message::{split_into_messages, Message};
use crate::notes::{Note, NoteStore, ServerStatus};
use crate::placement::Placement;
use crate::record::{AttemptId, Record, RecordId, Stage};
use crate::repair::{BucketSet, Comparison, Repair};
use crate::settings::{InvalidSettings, Settings};
use crate::storage::{RecordStore, BUCKETS};
use crate::{Copies, Micros};

/// Maximum number of notes in one message.
const MAX_NOTES_PER_MESSAGE: usize = 16;
/// The number of a write that asks for no acknowledgement.
const NO_ACKNOWLEDGEMENT: u64 = 0;

/// The state machine of one instance; the [crate] documentation describes the protocol.
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    placement: Placement,
    /// The latest time given to [`Self::handle`].
    now: Micros,
    store: RecordStore,
    notes: NoteStore,
    members_up: BTreeSet<MemberId>,
    /// The last number given to an attempt or a write, which share one sequence.
    last_number: u64,
    coordinator: Coordinator,
    handoff: HintedHandoff,
    repair: Repair,
    counters: Counters,
}

impl Replica {
    /// The state machine of an instance that has just started: it holds no records or notes.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn new(settings: Settings, now: Micros) -> Result<Self, InvalidSettings> {
        settings.check()?;
        let placement = Placement::new(&settings.members, settings.copies);
        Ok(Self {
            repair: Repair::new(&placement, &settings, now),
            placement,
            now,
            store: RecordStore::default(),
            notes: NoteStore::default(),
            members_up: BTreeSet::new(),
            last_number: 0,
            coordinator: Coordinator::default(),
            handoff: HintedHandoff::default(),
            counters: Counters::default(),
            settings,
        })
    }

    /// The copies of records that this instance holds.
    #[must_use]
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// The notes about servers that this instance holds.
    #[must_use]
    pub fn notes(&self) -> &NoteStore {
        &self.notes
    }

    /// The number of ranges that this instance is a holder of and has not caught up with.
    #[must_use]
    pub fn ranges_behind(&self) -> usize {
        self.repair.count_behind()
    }

    /// The number of hints: records kept for other holders that have not acknowledged them.
    #[must_use]
    pub fn hints(&self) -> usize {
        self.handoff.count()
    }

    /// Event counts since this instance started.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles one event at time `now` (Unix time), and appends the resulting effects to `effects`. A time earlier
    /// than that of a previous call is replaced by the latter.
    pub fn handle(&mut self, now: Micros, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(effects),
            Event::MessageReceived { from, message } => self.receive(from, message, effects),
            Event::Offer { offer, id, deadline } => self.offer(offer, id, deadline, effects),
            Event::Finished { offer, stage } => self.finish(offer, stage, effects),
            Event::MembersUp(up) => self.members_up = up,
            Event::ServerStatusLearned { server, status, valid_for } => {
                self.write_note(server, status, valid_for, effects);
            }
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Whether this instance is a holder of the request's record.
    fn is_holder(&self, id: RecordId) -> bool {
        self.placement.is_holder(self.settings.own_id, Placement::range_of(id))
    }

    // ---- Offers of this instance ----

    /// Starts an offer: asks the holders, unless this instance has not caught up with the request's range.
    fn offer(&mut self, offer_id: OfferId, id: RecordId, deadline: Micros, effects: &mut Vec<Effect>) {
        if self.repair.is_behind(Placement::range_of(id)) {
            self.counters.count_denial(Denial::NotCaughtUp);
            effects.push(Effect::Denied(offer_id, Denial::NotCaughtUp));
            return;
        }
        let attempt = AttemptId {
            owner: self.settings.own_id,
            incarnation: self.settings.incarnation,
            number: self.next_number(),
        };
        let offer = Offer::new(id, attempt, deadline, self.now, &self.settings);
        self.coordinator.begin(offer_id, offer);
        self.ask_holders(offer_id, effects);
    }

    /// Asks all holders that have not accepted the offer. If this instance is one of them, it answers itself
    /// directly.
    fn ask_holders(&mut self, offer_id: OfferId, effects: &mut Vec<Effect>) {
        let Some(offer) = self.coordinator.waiting(offer_id) else { return };
        let (id, attempt, expires) = (offer.id, offer.attempt, offer.expires);
        let holders = self.placement.holders(Placement::range_of(id));
        for holder in offer.not_accepted_by(holders) {
            if holder == self.settings.own_id {
                let answer = self.answer_offer(id, attempt, expires);
                self.receive_answer(holder, answer, effects);
            } else {
                let message = Message::Offer { id, attempt, expires };
                effects.push(Effect::Send { to: holder, message });
            }
        }
    }

    /// The answer of this instance, as a holder, to an offer. An accepted attempt is stored.
    fn answer_offer(&mut self, id: RecordId, attempt: AttemptId, expires: Micros) -> Message {
        let is_behind = self.repair.is_behind(Placement::range_of(id));
        if !self.is_holder(id) || is_behind || expires <= self.now {
            return Message::NotCaughtUp { id, attempt };
        }
        match self.store.get(id) {
            Some(record) if !record.admits(attempt) => {
                return Message::OfferRefused { id, attempt, known: Some(record.clone()) };
            }
            None if self.store.len() >= self.settings.max_records => {
                return Message::OfferRefused { id, attempt, known: None };
            }
            _ => {}
        }
        self.store.merge(id, &Record::new(attempt, Stage::Offered, expires), self.now);
        Message::OfferAccepted { id, attempt }
    }

    /// Handles a holder's answer to an offer of this instance.
    fn receive_answer(&mut self, from: MemberId, answer: Message, effects: &mut Vec<Effect>) {
        let (attempt, answer) = match answer {
            Message::OfferAccepted { attempt, .. } => (attempt, Answer::Accepted),
            Message::OfferRefused { attempt, known: Some(known), .. } => (attempt, Answer::Refused(known)),
            Message::OfferRefused { attempt, known: None, .. } => (attempt, Answer::StoreFull),
            _ => return, // `NotCaughtUp` is no answer: the holder is asked again
        };
        let Some((offer_id, offer)) = self.coordinator.find(attempt) else { return };
        let id = offer.id;
        match self.coordinator.decide(offer_id, from, &answer, self.now, &self.settings) {
            Decision::Wait => {}
            Decision::Grant => self.grant(offer_id, effects),
            Decision::Deny(denial) => {
                if let (Denial::Conflict(_), Answer::Refused(known)) = (denial, &answer) {
                    // If this instance is a holder of the record too, it stores the attempts that caused the refusal.
                    if self.is_holder(id) {
                        self.store.merge(id, known, self.now);
                    }
                }
                self.counters.count_denial(denial);
                self.deny(offer_id, denial, effects);
            }
        }
    }

    /// Grants an offer, and tells the holders that its attempt is executing.
    fn grant(&mut self, offer_id: OfferId, effects: &mut Vec<Effect>) {
        let Some(offer) = self.coordinator.grant(offer_id) else { return };
        self.counters.granted += 1;
        let record = Record::new(offer.attempt, Stage::Executing, offer.expires);
        self.write_to_holders(offer.id, &record, effects);
        effects.push(Effect::Granted(offer_id));
    }

    /// Denies an offer, and writes to all holders that its attempt never executed. A message of the offer that
    /// arrives late can't make the attempt open again.
    fn deny(&mut self, offer_id: OfferId, denial: Denial, effects: &mut Vec<Effect>) {
        let Some(offer) = self.coordinator.withdraw(offer_id) else { return };
        let record = Record::new(offer.attempt, Stage::NeverExecuted, offer.expires);
        self.write_to_holders(offer.id, &record, effects);
        effects.push(Effect::Denied(offer_id, denial));
    }

    /// Handles the end of an attempt: writes its final stage to all holders, or withdraws an offer that is undecided.
    fn finish(&mut self, offer_id: OfferId, stage: Stage, effects: &mut Vec<Effect>) {
        if self.coordinator.waiting(offer_id).is_some() {
            // The front gave up the offer before it was decided, as when its client disconnected.
            return self.deny(offer_id, Denial::NoQuorum, effects);
        }
        let Some((id, attempt)) = self.coordinator.finish(offer_id) else { return };
        let expires = self.now + self.settings.retention;
        self.write_to_holders(id, &Record::new(attempt, stage, expires), effects);
    }

    // ---- Writes to holders ----

    /// Writes a copy to all holders. It is kept as a hint for each other holder until that one acknowledges it.
    fn write_to_holders(&mut self, id: RecordId, record: &Record, effects: &mut Vec<Effect>) {
        let holders = self.placement.holders(Placement::range_of(id)).to_vec();
        for holder in holders {
            if holder == self.settings.own_id {
                self.store.merge(id, record, self.now);
                continue;
            }
            if !self.handoff.add(holder, id, record, self.settings.max_hints) {
                // There are too many hints; repair brings the record to the holder later.
                self.counters.hints_dropped += 1;
            }
            self.send_write(holder, vec![(id, record.clone())], effects);
        }
    }

    /// Sends a write that asks for an acknowledgement.
    fn send_write(&mut self, to: MemberId, records: Copies, effects: &mut Vec<Effect>) {
        let number = self.next_number();
        let message = Message::Write { number, records: records.clone() };
        effects.push(Effect::Send { to, message });
        self.handoff.sent(number, to, records, self.now + self.settings.retry_after);
    }

    /// Sends hints to the holders that are up and have no write in flight.
    fn send_due_hints(&mut self, effects: &mut Vec<Effect>) {
        for holder in self.handoff.due_holders(&self.members_up, self.now) {
            for records in split_into_messages(self.handoff.next_hints(holder)) {
                self.send_write(holder, records, effects);
            }
        }
    }

    /// Merges the copies of ranges held here, and acknowledges the write if it asks for that.
    fn receive_write(&mut self, from: MemberId, number: u64, records: Copies, effects: &mut Vec<Effect>) {
        for (id, record) in records {
            if self.is_holder(id) {
                self.store.merge(id, &record, self.now);
            }
        }
        if number != NO_ACKNOWLEDGEMENT {
            effects.push(Effect::Send { to: from, message: Message::WriteAcknowledged { number } });
        }
    }

    // ---- Repair ----

    /// Sends the comparisons of this tick: those needed to catch up and, if a round is due, that of the round. A
    /// round also drops expired hints and sends the notes about servers to one instance.
    fn send_due_comparisons(&mut self, effects: &mut Vec<Effect>) {
        for comparison in self.repair.catch_up_comparisons(&self.placement, self.now) {
            self.send_digests(comparison, effects);
        }
        if !self.repair.take_due_round(self.now, self.settings.compare_interval) {
            return;
        }
        self.handoff.expire(self.now);
        let ranges = self.repair.caught_up_ranges(&self.placement);
        if ranges.is_empty() {
            return;
        }
        if let Some(comparison) = self.repair.begin_round(&ranges, &self.placement) {
            self.send_digests(comparison, effects);
        }
        self.send_notes_to_next(effects);
    }

    /// Sends the digests of a range to another holder of it.
    fn send_digests(&self, Comparison { range, with }: Comparison, effects: &mut Vec<Effect>) {
        let message = Message::CompareDigests { range: range as u8, digests: self.store.digests(range) };
        effects.push(Effect::Send { to: with, message });
    }

    /// Compares another holder's digests of a range with those here; answers with the result, and with records of the
    /// buckets that differ.
    fn receive_digests(&mut self, from: MemberId, range: u8, digests: &[u64], effects: &mut Vec<Effect>) {
        let range_index = usize::from(range);
        if digests.len() != BUCKETS || !self.placement.is_holder(from, range_index) {
            return;
        }
        let differing = BucketSet::differing(&self.store.digests(range_index), digests);
        let message = Message::DigestsCompared {
            range,
            equal: differing.is_empty(),
            caught_up: !self.repair.is_behind(range_index),
            differing: differing.0,
        };
        effects.push(Effect::Send { to: from, message });
        self.send_buckets(from, range_index, differing, effects);
    }

    /// Sends the next records of some buckets of a range to a holder, without asking for acknowledgements.
    fn send_buckets(&mut self, to: MemberId, range: usize, buckets: BucketSet, effects: &mut Vec<Effect>) {
        let records = self.repair.next_records(to, range, buckets, &self.store);
        for records in split_into_messages(records) {
            let message = Message::Write { number: NO_ACKNOWLEDGEMENT, records };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Handles the result of a comparison that found all digests of a range equal.
    fn receive_equal(&mut self, from: MemberId, range: u8, caught_up: bool, effects: &mut Vec<Effect>) {
        let range = usize::from(range);
        if self.repair.found_equal(from, range, caught_up, &self.settings) {
            effects.push(Effect::CaughtUp(range));
        }
    }

    // ---- Notes about servers ----

    /// Notes the status of a server, and sends the note to all other instances, whether they are up or not.
    fn write_note(
        &mut self,
        server: u64,
        status: ServerStatus,
        valid_for: Micros,
        effects: &mut Vec<Effect>,
    ) {
        let own_id = self.settings.own_id;
        let note = self.notes.write(server, status, own_id, self.now, self.now + valid_for);
        for &to in self.settings.members.iter().filter(|member| **member != own_id) {
            effects.push(Effect::Send { to, message: Message::Notes(vec![note]) });
        }
    }

    /// Sends all notes to one of the instances that are up, a different one in each round.
    fn send_notes_to_next(&self, effects: &mut Vec<Effect>) {
        let index = self.repair.rounds() % self.members_up.len().max(1);
        let Some(&to) = self.members_up.iter().nth(index) else { return };
        let notes: Vec<Note> = self.notes.iter().copied().collect();
        for chunk in notes.chunks(MAX_NOTES_PER_MESSAGE) {
            effects.push(Effect::Send { to, message: Message::Notes(chunk.to_vec()) });
        }
    }

    /// Merges notes of another instance, and reports those that were stored.
    fn receive_notes(&mut self, notes: Vec<Note>, effects: &mut Vec<Effect>) {
        for note in notes {
            if self.notes.merge(note, self.now) {
                effects.push(Effect::NoteReceived(note));
            }
        }
    }

    // ---- Messages and time ----

    /// Handles a message. One that does not come from another instance of the settings' list is ignored.
    fn receive(&mut self, from: MemberId, message: Message, effects: &mut Vec<Effect>) {
        if !self.settings.members.contains(&from) || from == self.settings.own_id {
            return;
        }
        match message {
            Message::Offer { id, attempt, expires } => {
                let message = self.answer_offer(id, attempt, expires);
                effects.push(Effect::Send { to: from, message });
            }
            answer @ (Message::OfferAccepted { .. }
            | Message::OfferRefused { .. }
            | Message::NotCaughtUp { .. }) => self.receive_answer(from, answer, effects),
            Message::Write { number, records } => self.receive_write(from, number, records, effects),
            Message::WriteAcknowledged { number } => self.handoff.acknowledge(from, number),
            Message::CompareDigests { range, digests } => {
                self.receive_digests(from, range, &digests, effects);
            }
            Message::DigestsCompared { range, equal: true, caught_up, .. } => {
                self.receive_equal(from, range, caught_up, effects);
            }
            Message::DigestsCompared { range, equal: false, differing, .. } => {
                self.send_buckets(from, usize::from(range), BucketSet(differing), effects);
            }
            Message::Notes(notes) => self.receive_notes(notes, effects),
        }
    }

    /// Drops what has expired, denies offers past their deadline, and sends what is due.
    fn tick(&mut self, effects: &mut Vec<Effect>) {
        self.store.expire(self.now);
        self.notes.expire(self.now);
        for offer_id in self.coordinator.overdue(self.now) {
            self.counters.count_denial(Denial::NoQuorum);
            self.deny(offer_id, Denial::NoQuorum, effects);
        }
        for offer_id in self.coordinator.take_due_retries(self.now, self.settings.retry_after) {
            self.ask_holders(offer_id, effects);
        }
        self.send_due_hints(effects);
        self.send_due_comparisons(effects);
    }
}
