//! The state machine of one instance. This module owns its parts and the order of steps: [`Coordinator`] decides the
//! offers of this instance, [`HintedHandoff`] keeps writes for holders that are away, [`Repair`] compares copies.

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

const NOTES_IN_MESSAGE: usize = 16;
/// The number of a write that wants no acknowledgement.
const NO_ACKNOWLEDGEMENT: u64 = 0;

/// The replica of one instance, see the [crate].
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    placement: Placement,
    now: Micros,
    store: RecordStore,
    notes: NoteStore,
    members_up: BTreeSet<MemberId>,
    /// The last number given to an attempt or a write.
    last_number: u64,
    coordinator: Coordinator,
    handoff: HintedHandoff,
    repair: Repair,
    counters: Counters,
}

impl Replica {
    /// An instance that has just started and holds nothing.
    ///
    /// # Errors
    /// Settings that are invalid.
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

    /// The records held here.
    #[must_use]
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// The notes held here.
    #[must_use]
    pub fn notes(&self) -> &NoteStore {
        &self.notes
    }

    /// How many ranges are held here and not caught up with.
    #[must_use]
    pub fn ranges_behind(&self) -> usize {
        self.repair.count_behind()
    }

    /// How many records are kept for holders that have not acknowledged them.
    #[must_use]
    pub fn hints(&self) -> usize {
        self.handoff.count()
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes an event at a time, and adds what is to be done to `effects`.
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

    /// Whether this instance holds the records of a request.
    fn is_holder(&self, id: RecordId) -> bool {
        self.placement.is_holder(self.settings.own_id, Placement::range_of(id))
    }

    // ---- Offers of this instance ----

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

    /// Asks all holders that have not accepted; this instance is asked like any other.
    fn ask_holders(&mut self, offer_id: OfferId, effects: &mut Vec<Effect>) {
        let Some(offer) = self.coordinator.waiting(offer_id) else { return };
        let (id, attempt, expires) = (offer.id, offer.attempt, offer.expires);
        let holders = self.placement.holders(Placement::range_of(id));
        for holder in offer.unanswered(holders) {
            if holder == self.settings.own_id {
                let answer = self.answer_offer(id, attempt, expires);
                self.receive_answer(holder, answer, effects);
            } else {
                let message = Message::Offer { id, attempt, expires };
                effects.push(Effect::Send { to: holder, message });
            }
        }
    }

    /// What this instance, as a holder, answers to an offer.
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

    /// Takes a holder's answer to an offer of this instance.
    fn receive_answer(&mut self, from: MemberId, answer: Message, effects: &mut Vec<Effect>) {
        let (attempt, answer) = match answer {
            Message::OfferAccepted { attempt, .. } => (attempt, Answer::Accepted),
            Message::OfferRefused { attempt, known: Some(known), .. } => (attempt, Answer::Refused(known)),
            Message::OfferRefused { attempt, known: None, .. } => (attempt, Answer::StoreFull),
            _ => return, // a holder that has not caught up is asked again
        };
        let Some((offer_id, offer)) = self.coordinator.find(attempt) else { return };
        let id = offer.id;
        match self.coordinator.decide(offer_id, from, &answer, self.now, &self.settings) {
            Decision::Wait => {}
            Decision::Grant => self.grant(offer_id, effects),
            Decision::Deny(denial) => {
                if let (Denial::Conflict(_), Answer::Refused(known)) = (denial, &answer) {
                    // What the other holder knows has to be known here too, where this instance holds the record.
                    if self.is_holder(id) {
                        self.store.merge(id, known, self.now);
                    }
                }
                self.counters.count_denial(denial);
                self.deny(offer_id, denial, effects);
            }
        }
    }

    fn grant(&mut self, offer_id: OfferId, effects: &mut Vec<Effect>) {
        let Some(offer) = self.coordinator.grant(offer_id) else { return };
        self.counters.granted += 1;
        let record = Record::new(offer.attempt, Stage::Executing, offer.expires);
        self.write_to_holders(offer.id, &record, effects);
        effects.push(Effect::Granted(offer_id));
    }

    /// Withdraws the attempt at all holders: it was never sent, and no late message may bring it up again.
    fn deny(&mut self, offer_id: OfferId, denial: Denial, effects: &mut Vec<Effect>) {
        let Some(offer) = self.coordinator.withdraw(offer_id) else { return };
        let record = Record::new(offer.attempt, Stage::NeverExecuted, offer.expires);
        self.write_to_holders(offer.id, &record, effects);
        effects.push(Effect::Denied(offer_id, denial));
    }

    fn finish(&mut self, offer_id: OfferId, stage: Stage, effects: &mut Vec<Effect>) {
        if self.coordinator.waiting(offer_id).is_some() {
            // Its client has left before it was granted.
            return self.deny(offer_id, Denial::NoQuorum, effects);
        }
        let Some((id, attempt)) = self.coordinator.finish(offer_id) else { return };
        let expires = self.now + self.settings.retention;
        self.write_to_holders(id, &Record::new(attempt, stage, expires), effects);
    }

    // ---- Writes to holders ----

    /// Has all holders merge a copy. It is kept for those that do not acknowledge it, until they do.
    fn write_to_holders(&mut self, id: RecordId, record: &Record, effects: &mut Vec<Effect>) {
        let holders = self.placement.holders(Placement::range_of(id)).to_vec();
        for holder in holders {
            if holder == self.settings.own_id {
                self.store.merge(id, record, self.now);
                continue;
            }
            if !self.handoff.keep(holder, id, record, self.settings.max_hints) {
                // Repair brings it to the holder later.
                self.counters.hints_dropped += 1;
            }
            self.send_write(holder, vec![(id, record.clone())], effects);
        }
    }

    fn send_write(&mut self, to: MemberId, records: Copies, effects: &mut Vec<Effect>) {
        let number = self.next_number();
        let message = Message::Write { number, records: records.clone() };
        effects.push(Effect::Send { to, message });
        self.handoff.sent(number, to, records, self.now + self.settings.retry_after);
    }

    fn send_due_hints(&mut self, effects: &mut Vec<Effect>) {
        for holder in self.handoff.due_holders(&self.members_up, self.now) {
            for records in split_into_messages(self.handoff.next_for(holder)) {
                self.send_write(holder, records, effects);
            }
        }
    }

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

    fn compare(&mut self, effects: &mut Vec<Effect>) {
        for comparison in self.repair.catch_up_comparisons(&self.placement, self.now) {
            self.send_digests(comparison, effects);
        }
        if !self.repair.take_round(self.now, self.settings.compare_interval) {
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

    fn send_digests(&self, Comparison { range, with }: Comparison, effects: &mut Vec<Effect>) {
        let message = Message::CompareDigests { range: range as u8, digests: self.store.digests(range) };
        effects.push(Effect::Send { to: with, message });
    }

    fn receive_digests(&mut self, from: MemberId, range: u8, digests: &[u64], effects: &mut Vec<Effect>) {
        let at = usize::from(range);
        if digests.len() != BUCKETS || !self.placement.is_holder(from, at) {
            return;
        }
        let differing = BucketSet::differing(&self.store.digests(at), digests);
        let message = Message::DigestsCompared {
            range,
            equal: differing.is_empty(),
            caught_up: !self.repair.is_behind(at),
            differing: differing.0,
        };
        effects.push(Effect::Send { to: from, message });
        self.send_buckets(from, at, differing, effects);
    }

    fn send_buckets(&mut self, to: MemberId, range: usize, buckets: BucketSet, effects: &mut Vec<Effect>) {
        let records = self.repair.next_records(to, range, buckets, &self.store);
        for records in split_into_messages(records) {
            let message = Message::Write { number: NO_ACKNOWLEDGEMENT, records };
            effects.push(Effect::Send { to, message });
        }
    }

    fn receive_equal(&mut self, from: MemberId, range: u8, caught_up: bool, effects: &mut Vec<Effect>) {
        let range = usize::from(range);
        if self.repair.found_equal(from, range, caught_up, &self.settings) {
            effects.push(Effect::CaughtUp(range));
        }
    }

    // ---- Notes about servers ----

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

    /// Sends all notes to one of the instances that are up, each in turn.
    fn send_notes_to_next(&self, effects: &mut Vec<Effect>) {
        let turn = self.repair.rounds() % self.members_up.len().max(1);
        let Some(&to) = self.members_up.iter().nth(turn) else { return };
        let notes: Vec<Note> = self.notes.iter().copied().collect();
        for part in notes.chunks(NOTES_IN_MESSAGE) {
            effects.push(Effect::Send { to, message: Message::Notes(part.to_vec()) });
        }
    }

    fn receive_notes(&mut self, notes: Vec<Note>, effects: &mut Vec<Effect>) {
        for note in notes {
            if self.notes.merge(note, self.now) {
                effects.push(Effect::NoteReceived(note));
            }
        }
    }

    // ---- Messages and time ----

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

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        self.store.expire(self.now);
        self.notes.expire(self.now);
        for offer_id in self.coordinator.overdue(self.now) {
            self.counters.count_denial(Denial::NoQuorum);
            self.deny(offer_id, Denial::NoQuorum, effects);
        }
        for offer_id in self.coordinator.take_retries(self.now, self.settings.retry_after) {
            self.ask_holders(offer_id, effects);
        }
        self.send_due_hints(effects);
        self.compare(effects);
    }
}
