//! The state machine of one instance.

use std::collections::{BTreeMap, BTreeSet};

use dewladder_membership::MemberId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::notes::{Note, Notes, Said};
use crate::ranges::{Ranges, Store, BUCKETS, RANGES};
use crate::record::{AttemptId, Record, RecordId, Stage, Verdict};
use crate::Micros;

/// Bytes of records in one message, so that it fits into a datagram; of a record and of each of its attempts, from above.
const RECORDS_BYTES: usize = 1_200;
const RECORD_BYTES: usize = 16 + 1 + 10;
const ATTEMPT_BYTES: usize = 3 * 10 + 1 + 1 + 10;
/// Ranges that are caught up with at once: what comes back in answer must fit into a socket's buffer.
const RANGES_AT_ONCE: usize = 4;
/// One that has started waits a tenth longer than offers last, as clocks do not run alike.
const DRIFT: Micros = 10;
const NOTES_IN_MESSAGE: usize = 16;
/// Records of a range sent in answer to one comparison; the next comparison has the rest.
const RECORDS_AT_ONCE: usize = 240;
/// Records sent again to those that have not said that they hold them, in each tick and to each.
const HINTS_AT_ONCE: usize = 120;

/// What an instance is told at its start. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance.
    pub me: MemberId,
    /// When it started: of two lives the later is higher.
    pub life: u64,
    /// All instances that hold records, whether they run or not. The same at all.
    pub members: Vec<MemberId>,
    /// Each record lies at so many (N).
    pub copies: usize,
    /// So many must hold it before its request is sent on (W): more than half.
    pub quorum: usize,
    /// What is open or over is remembered for so long after it last changed.
    pub window: Micros,
    /// Records held at most: when full, an offer is refused and nothing is forgotten.
    pub most_records: usize,
    /// Records kept for others that have not taken them, at most.
    pub most_hints: usize,
    /// An offer is refused without a quorum by then, whatever its front's deadline. One that has started holds nothing
    /// for others for so long: offers that count on what it held in its last life are over then.
    pub settle: Micros,
    /// What was not answered is sent again after this.
    pub again_after: Micros,
    /// Copies are compared with another holder this often once they are caught up.
    pub compare_every: Micros,
}

/// A setting that can't be; it names the field.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {what}")]
pub struct BadSettings {
    /// Which field.
    pub field: &'static str,
    /// What is wrong with it.
    pub what: String,
}

impl Settings {
    /// Checks all of it.
    ///
    /// # Errors
    /// The first field that can't be, by its name.
    pub fn check(&self) -> Result<(), BadSettings> {
        let bad = |field, what: String| Err(BadSettings { field, what });
        let distinct: BTreeSet<_> = self.members.iter().collect();
        if distinct.len() != self.members.len() || !self.members.contains(&self.me) {
            return bad("members", "each once, this instance among them".to_owned());
        }
        if self.copies == 0 || self.copies > self.members.len() {
            return bad("copies", format!("{} is not 1 to {}", self.copies, self.members.len()));
        }
        if self.quorum * 2 <= self.copies || self.quorum > self.copies {
            return bad("quorum", format!("{} is not over half of {} copies", self.quorum, self.copies));
        }
        if self.settle == 0 || self.settle < 4 * self.again_after {
            return bad("settle_s", "under four times again_after".to_owned());
        }
        if self.window < 4 * self.settle {
            return bad("window_s", "under four times settle_s".to_owned());
        }
        if self.most_records == 0 {
            return bad("most_records", "0".to_owned());
        }
        Ok(())
    }
}

/// An offer of this instance's own, by a number that its front gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Messages between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Hold this attempt, if nothing speaks against it.
    Offer {
        /// Of which request.
        id: RecordId,
        /// The attempt.
        attempt: AttemptId,
        /// When it is forgotten.
        expires: Micros,
    },
    /// It is held.
    Held {
        /// The request.
        id: RecordId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// It is not: this is what is known.
    Found {
        /// The request.
        id: RecordId,
        /// The attempt that was offered.
        attempt: AttemptId,
        /// What is known; absent where this holder has no room for more.
        record: Option<Record>,
    },
    /// This holder has not caught up with that range: it can say neither.
    Behind {
        /// The request.
        id: RecordId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Take over what these copies know.
    Put {
        /// Comes back with the answer; 0 where none is wanted.
        number: u64,
        /// Copies.
        records: Vec<(RecordId, Record)>,
    },
    /// They are taken over.
    Taken {
        /// Of the message.
        number: u64,
    },
    /// Digests of the sender's copies of a range: send those that differ.
    Compare {
        /// Which range.
        range: u8,
        /// Of each bucket.
        digests: Vec<u64>,
    },
    /// How the receiver's digests stand against the sender's.
    Compared {
        /// Which range.
        range: u8,
        /// All were equal.
        equal: bool,
        /// The sender has caught up with that range.
        ready: bool,
        /// Buckets that differ, as bits: send those back.
        differ: u64,
    },
    /// Notes about servers.
    Notes(Vec<Note>),
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every few hundredths of a second.
    Tick,
    /// A message has come.
    Heard {
        /// From whom.
        from: MemberId,
        /// What.
        message: Message,
    },
    /// A front wants to run a request that must not run twice.
    Offer {
        /// The front's number for it.
        ticket: Ticket,
        /// The request.
        id: RecordId,
        /// Without a quorum by then it is refused.
        deadline: Micros,
    },
    /// What became of one that was granted.
    Ended {
        /// Of which offer.
        ticket: Ticket,
        /// [`Stage::NeverRan`], [`Stage::MayHaveRun`] or [`Stage::Ran`].
        stage: Stage,
    },
    /// Which of the others are up.
    Up(BTreeSet<MemberId>),
    /// Something was learnt of a server.
    Note {
        /// Which, by a stable hash of its id.
        server: u64,
        /// What.
        said: Said,
        /// For how long it holds.
        lasts: Micros,
    },
}

/// Why a request is not to be sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Another attempt is known: it is open, may have run, or ran.
    Found(Verdict),
    /// Too few holders answered in time. It was never sent, and a later attempt may run.
    NoQuorum,
    /// This instance has not caught up with the request's range. It was never sent.
    Behind,
    /// This instance, or so many holders that no quorum is left, have no room.
    Full,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// To whom.
        to: MemberId,
        /// What.
        message: Message,
    },
    /// The request may be sent on: enough hold its record.
    Granted(Ticket),
    /// It may not.
    Denied(Ticket, Denied),
    /// This instance has caught up with a range.
    CaughtUp(usize),
    /// A note came from another instance.
    Noted(Note),
}

/// What has happened so often since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Offers granted.
    pub granted: u64,
    /// Denied, as another attempt was known.
    pub found: u64,
    /// Denied without a quorum.
    pub no_quorum: u64,
    /// Denied for want of room.
    pub full: u64,
    /// Hints that found no room.
    pub hints_lost: u64,
}

#[derive(Debug)]
struct Offering {
    id: RecordId,
    attempt: AttemptId,
    expires: Micros,
    deadline: Micros,
    again_at: Micros,
    held: BTreeSet<MemberId>,
    no_room: BTreeSet<MemberId>,
}

/// Copies of records, as they go to others.
type Copies = Vec<(RecordId, Record)>;

/// See the [crate](crate).
#[derive(Debug)]
pub struct Replica {
    settings: Settings,
    ranges: Ranges,
    now: Micros,
    store: Store,
    notes: Notes,
    up: BTreeSet<MemberId>,
    numbers: u64,
    offering: BTreeMap<Ticket, Offering>,
    /// Granted, and not known to have ended.
    running: BTreeMap<Ticket, (RecordId, AttemptId)>,
    /// What others have not said that they hold. For those that are away this is hinted handoff.
    hints: BTreeMap<MemberId, BTreeMap<RecordId, Record>>,
    hinted: usize,
    /// Sent hints that wait for an answer.
    puts: BTreeMap<u64, (MemberId, Copies, Micros)>,
    /// For each range not caught up with: whose copies were found equal, and which of those had caught up.
    behind: BTreeMap<usize, (BTreeSet<MemberId>, BTreeSet<MemberId>)>,
    /// Before that, comparing says nothing about what it held in its last life.
    settled_at: Micros,
    turn: usize,
    compare_at: Micros,
    compared: usize,
    /// The record of a range that last went to a holder in answer to a comparison.
    sent: BTreeMap<(MemberId, usize), RecordId>,
    counts: Counts,
}

impl Replica {
    /// An instance that has just started and holds nothing.
    ///
    /// # Errors
    /// Settings that can't be.
    pub fn new(settings: Settings, now: Micros) -> Result<Self, BadSettings> {
        settings.check()?;
        let ranges = Ranges::new(&settings.members, settings.copies);
        let own = (0..RANGES).filter(|&range| ranges.holders(range).contains(&settings.me));
        let behind = own.filter(|_| settings.copies > 1).map(|range| (range, Default::default())).collect();
        Ok(Self {
            ranges,
            now,
            store: Store::default(),
            notes: Notes::default(),
            up: BTreeSet::new(),
            numbers: 0,
            offering: BTreeMap::new(),
            running: BTreeMap::new(),
            hints: BTreeMap::new(),
            hinted: 0,
            puts: BTreeMap::new(),
            behind,
            settled_at: now + settings.settle + settings.settle / DRIFT,
            turn: 0,
            compare_at: now,
            compared: 0,
            sent: BTreeMap::new(),
            counts: Counts::default(),
            settings,
        })
    }

    /// The records held here.
    #[must_use]
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The notes held here.
    #[must_use]
    pub fn notes(&self) -> &Notes {
        &self.notes
    }

    /// Ranges of its own that it has not caught up with.
    #[must_use]
    pub fn behind(&self) -> usize {
        self.behind.len()
    }

    /// Records kept for others that have not taken them.
    #[must_use]
    pub fn hinted(&self) -> usize {
        self.hinted
    }

    /// What has happened so often since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Takes an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(out),
            Event::Heard { from, message } => self.heard(from, message, out),
            Event::Offer { ticket, id, deadline } => self.offer(ticket, id, deadline, out),
            Event::Ended { ticket, stage } => self.ended(ticket, stage, out),
            Event::Up(up) => self.up = up,
            Event::Note { server, said, lasts } => {
                let note = self.notes.write(server, said, self.settings.me, self.now, self.now + lasts);
                self.tell_all(&Message::Notes(vec![note]), out);
            }
        }
    }

    // ---- Offers of this instance ----

    fn offer(&mut self, ticket: Ticket, id: RecordId, deadline: Micros, out: &mut Vec<Effect>) {
        if self.behind.contains_key(&Ranges::of(id)) {
            self.counts.no_quorum += 1;
            return out.push(Effect::Denied(ticket, Denied::Behind));
        }
        self.numbers += 1;
        let attempt = AttemptId { owner: self.settings.me, life: self.settings.life, number: self.numbers };
        let expires = self.now + self.settings.window;
        let offering = Offering {
            id,
            attempt,
            expires,
            deadline: deadline.min(self.now + self.settings.settle),
            again_at: self.now + self.settings.again_after,
            held: BTreeSet::new(),
            no_room: BTreeSet::new(),
        };
        self.offering.insert(ticket, offering);
        self.ask_holders(ticket, out);
    }

    /// Asks all holders that have not answered; this instance is asked as any other.
    fn ask_holders(&mut self, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(offering) = self.offering.get(&ticket) else { return };
        let &Offering { id, attempt, expires, .. } = offering;
        let asked: Vec<MemberId> = (self.ranges.holders(Ranges::of(id)).iter().copied())
            .filter(|holder| !offering.held.contains(holder))
            .collect();
        for holder in asked {
            if holder == self.settings.me {
                let answer = self.hold(id, attempt, expires);
                self.answered(holder, answer, out);
            } else {
                out.push(Effect::Send { to: holder, message: Message::Offer { id, attempt, expires } });
            }
        }
    }

    /// What a holder answers to an offer.
    fn hold(&mut self, id: RecordId, attempt: AttemptId, expires: Micros) -> Message {
        let range = Ranges::of(id);
        let mine = self.ranges.holders(range).contains(&self.settings.me);
        if !mine || self.behind.contains_key(&range) || expires <= self.now {
            return Message::Behind { id, attempt };
        }
        match self.store.get(id) {
            Some(record) if !record.admits(attempt) => {
                return Message::Found { id, attempt, record: Some(record.clone()) };
            }
            None if self.store.len() >= self.settings.most_records => {
                return Message::Found { id, attempt, record: None };
            }
            _ => {}
        }
        self.store.merge(id, &Record::new(attempt, Stage::Offered, expires), self.now);
        Message::Held { id, attempt }
    }

    fn answered(&mut self, from: MemberId, answer: Message, out: &mut Vec<Effect>) {
        let (Message::Held { attempt, .. } | Message::Found { attempt, .. }) = answer else { return };
        let Some((&ticket, offering)) = self.offering.iter_mut().find(|(_, one)| one.attempt == attempt)
        else {
            return;
        };
        match answer {
            // This instance stood still: those that hold it may have started anew since.
            _ if self.now >= offering.deadline => {
                self.counts.no_quorum += 1;
                self.deny(ticket, Denied::NoQuorum, out);
            }
            Message::Held { .. } => {
                offering.held.insert(from);
                if offering.held.len() >= self.settings.quorum {
                    let (id, expires) = (offering.id, offering.expires);
                    self.offering.remove(&ticket);
                    self.running.insert(ticket, (id, attempt));
                    self.counts.granted += 1;
                    self.put(id, &Record::new(attempt, Stage::Running, expires), out);
                    out.push(Effect::Granted(ticket));
                }
            }
            Message::Found { record: Some(record), .. } => {
                // What it is has to be known here too, if it is held here.
                let (id, verdict) = (offering.id, record.verdict());
                if self.holds(id) {
                    self.store.merge(id, &record, self.now);
                }
                self.counts.found += 1;
                self.deny(ticket, Denied::Found(verdict.max(Verdict::Open)), out);
            }
            Message::Found { record: None, .. } => {
                offering.no_room.insert(from);
                if offering.no_room.len() > self.settings.copies - self.settings.quorum {
                    self.counts.full += 1;
                    self.deny(ticket, Denied::Full, out);
                }
            }
            _ => {}
        }
    }

    /// The attempt is taken back everywhere: it was never sent, and no late message may bring it up again.
    fn deny(&mut self, ticket: Ticket, why: Denied, out: &mut Vec<Effect>) {
        if let Some(offering) = self.offering.remove(&ticket) {
            let record = Record::new(offering.attempt, Stage::NeverRan, offering.expires);
            self.put(offering.id, &record, out);
            out.push(Effect::Denied(ticket, why));
        }
    }

    fn ended(&mut self, ticket: Ticket, stage: Stage, out: &mut Vec<Effect>) {
        if self.offering.contains_key(&ticket) {
            // Its client has left before it was granted.
            return self.deny(ticket, Denied::NoQuorum, out);
        }
        if let Some((id, attempt)) = self.running.remove(&ticket) {
            let expires = self.now + self.settings.window;
            self.put(id, &Record::new(attempt, stage, expires), out);
        }
    }

    // ---- Copies at others ----

    fn holds(&self, id: RecordId) -> bool {
        self.ranges.holders(Ranges::of(id)).contains(&self.settings.me)
    }

    /// Has all holders take over a copy; those that do not say so are asked again, also once they are back.
    fn put(&mut self, id: RecordId, record: &Record, out: &mut Vec<Effect>) {
        let holders: Vec<MemberId> = self.ranges.holders(Ranges::of(id)).to_vec();
        for holder in holders {
            if holder == self.settings.me {
                self.store.merge(id, record, self.now);
                continue;
            }
            let hints = self.hints.entry(holder).or_default();
            if let Some(own) = hints.get_mut(&id) {
                own.merge(record);
            } else if self.hinted < self.settings.most_hints {
                hints.insert(id, record.clone());
                self.hinted += 1;
            } else {
                // Comparing brings it there later.
                self.counts.hints_lost += 1;
            }
            self.send_put(holder, vec![(id, record.clone())], out);
        }
    }

    fn send_put(&mut self, to: MemberId, records: Vec<(RecordId, Record)>, out: &mut Vec<Effect>) {
        self.numbers += 1;
        let number = self.numbers;
        out.push(Effect::Send { to, message: Message::Put { number, records: records.clone() } });
        self.puts.insert(number, (to, records, self.now + self.settings.again_after));
    }

    fn send_hints(&mut self, to: MemberId, out: &mut Vec<Effect>) {
        let hints = self.hints.get(&to).into_iter().flatten().take(HINTS_AT_ONCE);
        let hints: Vec<(RecordId, Record)> = hints.map(|(&id, record)| (id, record.clone())).collect();
        for some in in_messages(hints) {
            self.send_put(to, some, out);
        }
    }

    fn taken(&mut self, from: MemberId, number: u64) {
        if self.puts.get(&number).is_none_or(|(to, ..)| *to != from) {
            return;
        }
        let Some((_, records, _)) = self.puts.remove(&number) else { return };
        let Some(hints) = self.hints.get_mut(&from) else { return };
        for (id, sent) in records {
            // One that has gone on meanwhile is still to be sent.
            if hints.get(&id).is_some_and(|hint| !sent.clone().merge(hint)) {
                hints.remove(&id);
                self.hinted -= 1;
            }
        }
    }

    // ---- Comparing and catching up ----

    /// Compares with the next holder of each range that is behind, or of one range in turn.
    fn compare(&mut self, out: &mut Vec<Effect>) {
        self.turn += 1;
        let turns = self.behind.len().div_ceil(RANGES_AT_ONCE).max(1);
        let behind: Vec<usize> = self
            .behind
            .keys()
            .copied()
            .skip(self.turn % turns * RANGES_AT_ONCE)
            .take(RANGES_AT_ONCE)
            .collect();
        for range in behind.into_iter().filter(|_| self.now >= self.settled_at) {
            let done = &self.behind[&range].0;
            let others: Vec<MemberId> = (self.ranges.holders(range).iter().copied())
                .filter(|holder| *holder != self.settings.me && !done.contains(holder))
                .collect();
            for holder in others {
                self.send_compare(range, holder, out);
            }
        }
        if self.now < self.compare_at {
            return;
        }
        self.compare_at = self.now + self.settings.compare_every;
        self.expire_hints();
        let own: Vec<usize> = (0..RANGES)
            .filter(|range| {
                self.ranges.holders(*range).contains(&self.settings.me) && !self.behind.contains_key(range)
            })
            .collect();
        if own.is_empty() {
            return;
        }
        self.compared += 1;
        let range = own[self.compared % own.len()];
        let others: Vec<MemberId> =
            self.ranges.holders(range).iter().copied().filter(|holder| *holder != self.settings.me).collect();
        if !others.is_empty() {
            let holder = others[self.compared / own.len() % others.len()];
            self.send_compare(range, holder, out);
        }
        let notes: Vec<Note> = self.notes.iter().copied().collect();
        for some in notes.chunks(NOTES_IN_MESSAGE) {
            if let Some(&to) = self.up.iter().nth(self.compared % self.up.len().max(1)) {
                out.push(Effect::Send { to, message: Message::Notes(some.to_vec()) });
            }
        }
    }

    fn send_compare(&self, range: usize, to: MemberId, out: &mut Vec<Effect>) {
        let message = Message::Compare { range: range as u8, digests: self.store.digests(range) };
        out.push(Effect::Send { to, message });
    }

    fn compare_heard(&mut self, from: MemberId, range: u8, digests: &[u64], out: &mut Vec<Effect>) {
        let at = usize::from(range);
        if digests.len() != BUCKETS || !self.ranges.holders(at).contains(&from) {
            return;
        }
        let own = self.store.digests(at);
        let differ = (0..BUCKETS).filter(|&bucket| own[bucket] != digests[bucket]);
        let differ = differ.fold(0u64, |bits, bucket| bits | 1 << bucket);
        let (equal, ready) = (differ == 0, !self.behind.contains_key(&at));
        out.push(Effect::Send { to: from, message: Message::Compared { range, equal, ready, differ } });
        self.send_buckets(from, at, differ, out);
    }

    /// Records of buckets, as many as go at once, from behind those that went to that one last, and round again: however
    /// many a bucket has, all of them come.
    fn send_buckets(&mut self, to: MemberId, range: usize, buckets: u64, out: &mut Vec<Effect>) {
        let last = self.sent.get(&(to, range)).copied();
        let first = last.map_or(0, Store::bucket_of);
        let some = (0..BUCKETS).map(|at| (first + at) % BUCKETS).filter(|bucket| buckets & 1 << bucket != 0);
        let behind = |id: RecordId| last.is_none_or(|last| Store::bucket_of(id) != first || id > last);
        let all = some.flat_map(|bucket| self.store.bucket(range, bucket));
        // What lies before the last one in its bucket comes round at the end.
        let before =
            (buckets & 1 << first != 0).then(|| self.store.bucket(range, first)).into_iter().flatten();
        let records = all.filter(|(id, _)| behind(*id)).chain(before.filter(|(id, _)| !behind(*id)));
        let records = records.take(RECORDS_AT_ONCE);
        let records: Vec<(RecordId, Record)> = records.map(|(id, record)| (id, record.clone())).collect();
        if let Some((id, _)) = records.last() {
            self.sent.insert((to, range), *id);
        }
        for records in in_messages(records) {
            out.push(Effect::Send { to, message: Message::Put { number: 0, records } });
        }
    }

    fn compared(
        &mut self,
        from: MemberId,
        range: u8,
        (equal, ready, differ): (bool, bool, u64),
        out: &mut Vec<Effect>,
    ) {
        let at = usize::from(range);
        if !equal {
            self.send_buckets(from, at, differ, out);
            return;
        }
        let others = self.settings.copies - 1;
        // Any W that hold a record have one in common with so many others: what is not among them was never held.
        let enough = self.settings.copies - self.settings.quorum + 1;
        if let Some((seen, caught_up)) = self.behind.get_mut(&at) {
            seen.insert(from);
            if ready {
                caught_up.insert(from);
            }
            // All others there are: nobody knows more, as when a cluster is started.
            if caught_up.len() >= enough.min(others) || seen.len() >= others {
                self.behind.remove(&at);
                out.push(Effect::CaughtUp(at));
            }
        }
    }

    // ---- What comes ----

    fn heard(&mut self, from: MemberId, message: Message, out: &mut Vec<Effect>) {
        if !self.settings.members.contains(&from) || from == self.settings.me {
            return;
        }
        match message {
            Message::Offer { id, attempt, expires } => {
                let answer = self.hold(id, attempt, expires);
                out.push(Effect::Send { to: from, message: answer });
            }
            answer @ (Message::Held { .. } | Message::Found { .. }) => self.answered(from, answer, out),
            Message::Behind { .. } => {} // it is asked again
            Message::Put { number, records } => {
                for (id, record) in records {
                    if self.holds(id) {
                        self.store.merge(id, &record, self.now);
                    }
                }
                if number != 0 {
                    out.push(Effect::Send { to: from, message: Message::Taken { number } });
                }
            }
            Message::Taken { number } => self.taken(from, number),
            Message::Compare { range, digests } => self.compare_heard(from, range, &digests, out),
            Message::Compared { range, equal, ready, differ } => {
                self.compared(from, range, (equal, ready, differ), out);
            }
            Message::Notes(notes) => {
                for note in notes {
                    if self.notes.take(note, self.now) {
                        out.push(Effect::Noted(note));
                    }
                }
            }
        }
    }

    fn tell_all(&self, message: &Message, out: &mut Vec<Effect>) {
        for &to in self.settings.members.iter().filter(|member| **member != self.settings.me) {
            out.push(Effect::Send { to, message: message.clone() });
        }
    }

    fn tick(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        self.store.expire(now);
        self.notes.expire(now);
        let late: Vec<Ticket> =
            self.offering.iter().filter(|(_, one)| now >= one.deadline).map(|(&ticket, _)| ticket).collect();
        for ticket in late {
            self.counts.no_quorum += 1;
            self.deny(ticket, Denied::NoQuorum, out);
        }
        let again: Vec<Ticket> =
            self.offering.iter().filter(|(_, one)| now >= one.again_at).map(|(&ticket, _)| ticket).collect();
        for ticket in again {
            if let Some(offering) = self.offering.get_mut(&ticket) {
                offering.again_at = now + self.settings.again_after;
            }
            self.ask_holders(ticket, out);
        }
        // What was not answered is a hint again; the next ones go once the last were answered.
        self.puts.retain(|_, (_, _, due)| now < *due);
        let waiting: BTreeSet<MemberId> = self.puts.values().map(|(to, ..)| *to).collect();
        let open = self.hints.iter().filter(|(member, hints)| !hints.is_empty() && !waiting.contains(member));
        let open: Vec<MemberId> = open.map(|(&member, _)| member).filter(|id| self.up.contains(id)).collect();
        for member in open {
            self.send_hints(member, out);
        }
        self.compare(out);
    }

    fn expire_hints(&mut self) {
        let mut hinted = 0;
        for hints in self.hints.values_mut() {
            hints.retain(|_, record| record.expires > self.now);
            hinted += hints.len();
        }
        self.hinted = hinted;
    }
}

/// Records in parts that each fit into a datagram.
fn in_messages(records: Vec<(RecordId, Record)>) -> Vec<Vec<(RecordId, Record)>> {
    let mut parts: Vec<Vec<(RecordId, Record)>> = Vec::new();
    let mut room = 0;
    for (id, record) in records {
        let bytes = RECORD_BYTES + record.attempts() * ATTEMPT_BYTES;
        if bytes > room {
            parts.push(Vec::new());
            room = RECORDS_BYTES;
        }
        room = room.saturating_sub(bytes);
        if let Some(part) = parts.last_mut() {
            part.push((id, record));
        }
    }
    parts
}
