//! The ledger: what is known of requests that clients repeat, and what a repeat is told.

use std::collections::HashMap;

use hashbrown::HashTable;

use crate::budget::{Budget, BudgetPolicy};
use crate::fingerprint::Fingerprint;
use crate::lists::Lists;
use crate::recording::{Recording, LIVE};
use crate::wheel::Wheel;
use crate::Micros;

/// Bounds, and for how long things are remembered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Requests that are remembered at once.
    pub most_entries: usize,
    /// Memory of all entries with their answers (bytes).
    pub most_bytes: usize,
    /// One answer is kept up to this length (bytes).
    pub most_answer: usize,
    /// Clients that one request may have at once, the first among them.
    pub most_readers: u32,
    /// The share of entries that one tenant may hold, in thousandths.
    pub tenant_permille: u32,
    /// What has ended is remembered for so long (us).
    pub window: Micros,
    /// For so long after the start, a repeat of a request that must not run twice is turned away if its first is
    /// not known: it may have come before (us).
    pub after_start: Micros,
    /// A request that must not run twice goes on for so long after its last client has left (us); 0 lets it go
    /// at once.
    pub linger: Micros,
    /// Each tenant's budget for repeats.
    pub budget: BudgetPolicy,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            most_entries: 10_000,
            most_bytes: 16 << 20,
            most_answer: 256 << 10,
            most_readers: 8,
            tenant_permille: 500,
            window: 600_000_000,
            after_start: 30_000_000,
            linger: 0,
            budget: BudgetPolicy::default(),
        }
    }
}

/// Memory that an entry takes beside its answer (bytes): its slot, its places in index, wheel and lists.
pub const ENTRY_BYTES: usize = size_of::<Slot>() + size_of::<Recording>() + 24 + 12 + 12;

/// How a repeat of a request would be known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Name {
    /// By the key that its client gave it.
    Key(Fingerprint),
    /// By its body, as its library says of repeats that they are such. Two requests may well have the same one.
    Body(Fingerprint),
}

impl Name {
    fn print(self) -> Fingerprint {
        let (Self::Key(print) | Self::Body(print)) = self;
        print
    }
}

/// A request that a client makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Whose.
    pub tenant: u32,
    /// It must not run twice.
    pub once: bool,
    /// How a repeat of it would be known; `None` if none would be.
    pub name: Option<Name>,
    /// The body's fingerprint.
    pub body: Fingerprint,
    /// Its client says that it is a repeat.
    pub repeat: bool,
}

/// An entry, in one of its runs. An entry that runs anew is another one to those who read the run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId {
    index: u32,
    run: u32,
}

impl EntryId {
    /// Its place, which at any time no other entry has.
    #[must_use]
    pub fn index(self) -> u32 {
        self.index
    }
}

/// What is to be done with an offer. With [`Run`](Self::Run) and [`Join`](Self::Join) the client becomes a
/// reader, who in the end [leaves](Ledger::left).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is to run, and to be recorded.
    Run(EntryId),
    /// It is a repeat: its answer is read from this entry, from the first byte.
    Join(EntryId),
    /// It is to run, and nothing of it is remembered.
    Unrecorded,
    /// Its key stands for another body.
    Mismatch,
    /// It must not run, now or later.
    Never(Never),
    /// Not now: it never ran, and may come back.
    Later {
        /// After this (us).
        retry_in: Micros,
        /// Why.
        why: Later,
    },
}

/// Why a request must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Never {
    /// It has run and was answered; the answer is not kept any more.
    Answered,
    /// It may have run; whether it did is not known.
    MayHaveRun,
    /// The dispatcher has started since the first may have come: it can't know.
    JustStarted,
}

/// Why a request may only run later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Later {
    /// Its tenant's repeats are too many for its fresh requests.
    Budget,
    /// There is no room to remember it, and it must not be forgotten.
    Full,
    /// Too many clients wait for the same.
    Readers,
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer.
    Whole,
    /// With an answer that was cut off; why, as a number of the caller's own.
    Cut(u8),
    /// Refused: it never ran.
    Refused {
        /// When the client may come again (us).
        retry_in: Micros,
    },
    /// Failed.
    Failed {
        /// Whether it may have run.
        may_have_run: bool,
    },
    /// Let go, as asked for.
    LetGo {
        /// Whether it may have run.
        may_have_run: bool,
    },
}

/// What a reader finds.
#[derive(Debug, PartialEq, Eq)]
pub enum Read<'a> {
    /// More of the answer.
    Piece(&'a [u8]),
    /// Nothing yet: a [`Effect::Wake`] will tell.
    Wait,
    /// How the run ended; of its answer there is no more.
    Over(Ending),
    /// The answer went on without this reader: it was too slow, and its length had outgrown what is kept.
    Lost,
    /// This run is over and nothing is known of it: the request is to be offered again.
    Again,
}

/// What is to be done outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Readers of this entry, and who records it, have something to do.
    Wake(EntryId),
    /// Nobody waits for this run any more: it is to be let go, and how that ended is to be told.
    LetGo(EntryId),
}

/// What the ledger holds and has done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests that are remembered.
    pub entries: usize,
    /// Bytes that are held for them.
    pub bytes: usize,
    /// Repeats that joined a request that was open.
    pub joined: u64,
    /// Repeats that were given a kept answer.
    pub replayed: u64,
    /// Repeats that were let through: the first never ran, or could run again.
    pub let_through: u64,
    /// Repeats that were turned away for good.
    pub never: u64,
    /// Requests that were turned away for want of room or budget.
    pub later: u64,
    /// Answers that were let go of before their time, for want of room.
    pub dropped: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nobody's.
    Free,
    /// It runs; of its answer nothing has come.
    Open,
    /// Its answer comes.
    Streaming,
    /// Its last client has left; it is being let go.
    Leaving,
    /// It has ended.
    Over(Ending),
    /// Its whole answer was let go of.
    Dropped,
}

#[derive(Debug)]
struct Slot {
    print: Fingerprint,
    body: Fingerprint,
    /// When it is forgotten; `MAX` while it runs.
    due: Micros,
    answer: Option<Box<Recording>>,
    state: State,
    tenant: u32,
    /// Whose entries it counts among: the tenant's, or those of all tenants that are too many.
    account: u32,
    run: u32,
    readers: u32,
    /// The number of its run among all runs: later ones have greater ones.
    turn: u32,
    /// Numbers of the caller's own.
    note: [u64; 2],
    /// What is counted for it (bytes).
    charge: u32,
    once: bool,
    /// Its name is a key.
    keyed: bool,
    /// Not in the index any more: it goes with its last reader.
    forgotten: bool,
}

impl Slot {
    fn running(&self) -> bool {
        matches!(self.state, State::Open | State::Streaming | State::Leaving)
    }

    fn may_have_run(&self) -> bool {
        match self.state {
            State::Free | State::Over(Ending::Refused { .. }) => false,
            State::Over(Ending::Failed { may_have_run } | Ending::LetGo { may_have_run }) => may_have_run,
            _ => true,
        }
    }

    /// Whether its answer, from the first byte on, is not here any more.
    fn passing(&self) -> bool {
        self.answer.as_ref().is_some_and(|answer| answer.passing())
    }

    /// How much of its answer there has been.
    fn end(&self) -> u64 {
        self.answer.as_ref().map_or(0, |answer| answer.end())
    }

    fn held(&self) -> usize {
        self.answer.as_ref().map_or(0, |answer| answer.held())
    }
}

/// Entries that can be forgotten at once without harm, the first to be listed first.
const SPARE: usize = 0;
/// Entries that must not be forgotten, but whose answer may be let go of.
const KEPT: usize = 1;
/// Tenants whose budgets are remembered; one beyond them shares the budget of all such.
const MOST_TENANTS: usize = 100_000;
const OTHERS: u32 = u32::MAX;

#[derive(Debug)]
struct Tenant {
    budget: Budget,
    entries: usize,
}

/// The ledger. Every method that takes `now` is something that has happened; what follows from it outside is
/// to be fetched with [`effects`](Self::effects).
#[derive(Debug)]
pub struct Ledger {
    policy: Policy,
    started: Micros,
    now: Micros,
    slots: Vec<Slot>,
    free: Vec<u32>,
    index: HashTable<u32>,
    wheel: Wheel,
    lists: Lists<2>,
    tenants: HashMap<u32, Tenant>,
    bytes: usize,
    turns: u32,
    effects: Vec<Effect>,
    fired: Vec<u32>,
    figures: Figures,
}

impl Ledger {
    /// An empty one that starts now.
    #[must_use]
    pub fn new(policy: Policy, now: Micros) -> Self {
        Self {
            policy,
            started: now,
            now,
            slots: Vec::new(),
            free: Vec::new(),
            index: HashTable::new(),
            wheel: Wheel::new(now),
            lists: Lists::new(),
            tenants: HashMap::new(),
            bytes: 0,
            turns: 0,
            effects: Vec::new(),
            fired: Vec::new(),
            figures: Figures::default(),
        }
    }

    /// What it holds and has done.
    #[must_use]
    pub fn figures(&self) -> Figures {
        Figures { entries: self.slots.len() - self.free.len(), bytes: self.bytes, ..self.figures }
    }

    /// Memory that its tables have reserved, answers aside (bytes).
    #[must_use]
    pub fn reserved(&self) -> usize {
        let slots = self.slots.capacity() * size_of::<Slot>() + self.free.capacity() * 4;
        slots + self.index.allocation_size() + self.wheel.bytes() + self.lists.bytes()
    }

    /// What is to be done outside, in order.
    pub fn effects(&mut self) -> impl Iterator<Item = Effect> + '_ {
        self.effects.drain(..)
    }

    /// When [`tick`](Self::tick) has something to do although nothing happens.
    #[must_use]
    pub fn next_due(&self) -> Option<Micros> {
        self.wheel.next_due()
    }

    /// Time has passed: what is due is forgotten or let go of.
    pub fn tick(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let mut fired = std::mem::take(&mut self.fired);
        self.wheel.advance(self.now, &mut fired);
        for index in fired.drain(..) {
            match self.slots[index as usize].state {
                State::Open | State::Streaming => self.let_go(index),
                State::Free | State::Leaving => {}
                State::Over(_) | State::Dropped => self.forget(index),
            }
        }
        self.fired = fired;
    }

    /// A client asks. `lot` is a random number, which spreads those who are turned away.
    pub fn offer(&mut self, now: Micros, offer: &Offer, lot: u64) -> Verdict {
        self.tick(now);
        let verdict = self.judge(offer, lot);
        match verdict {
            Verdict::Never(_) => self.figures.never += 1,
            Verdict::Later { .. } => self.figures.later += 1,
            _ => {}
        }
        verdict
    }

    fn judge(&mut self, offer: &Offer, lot: u64) -> Verdict {
        let Some(name) = offer.name else {
            // Nobody could tell a repeat of it from a fresh one, but who says that it is one pays as such.
            return match self.pay(offer, offer.repeat, lot) {
                Ok(()) => Verdict::Unrecorded,
                Err(later) => later,
            };
        };
        if let Some(index) = self.find(offer, name) {
            return self.repeat(index, offer, lot);
        }
        // Guards a booking whose first may have run before this dispatcher started: no entry proves nothing then.
        if offer.repeat && offer.once && self.now < self.started.saturating_add(self.policy.after_start) {
            return Verdict::Never(Never::JustStarted);
        }
        if !self.room(offer.tenant) {
            if offer.once {
                let retry_in = self.later(lot);
                return Verdict::Later { retry_in, why: Later::Full };
            }
            return match self.pay(offer, offer.repeat, lot) {
                Ok(()) => Verdict::Unrecorded,
                Err(later) => later,
            };
        }
        if let Err(later) = self.pay(offer, offer.repeat, lot) {
            return later;
        }
        let index = self.insert(offer, name);
        Verdict::Run(self.id(index))
    }

    /// The entry that an offer repeats. Of several with the same body that one is meant which runs on without a
    /// client, or else the latest that may have run: taken for the repeat of one that never ran, it could be run
    /// twice.
    fn find(&self, offer: &Offer, name: Name) -> Option<u32> {
        let (print, keyed) = (name.print(), matches!(name, Name::Key(_)));
        if !keyed && !offer.repeat {
            return None;
        }
        let is = |index: &&u32| {
            let slot = &self.slots[**index as usize];
            // An entry whose time is up counts no more, also where the wheel has not come to it.
            slot.print == print && slot.keyed == keyed && slot.tenant == offer.tenant && !self.past(slot)
        };
        let rank = |index: &u32| {
            let slot = &self.slots[*index as usize];
            (slot.running() && slot.readers == 0, slot.may_have_run(), slot.turn)
        };
        self.index.iter_hash(print.bits()).filter(is).copied().max_by_key(rank)
    }

    fn past(&self, slot: &Slot) -> bool {
        matches!(slot.state, State::Over(_) | State::Dropped) && slot.due <= self.now
    }

    fn repeat(&mut self, index: u32, offer: &Offer, lot: u64) -> Verdict {
        let slot = &self.slots[index as usize];
        if slot.body != offer.body || slot.once != offer.once {
            return Verdict::Mismatch;
        }
        let beside = slot.readers > 0 && slot.end() > 0;
        let why = match slot.state {
            State::Open | State::Streaming if !slot.passing() => return self.join(index, lot, false),
            // Whether it ever ran is told when it has been let go: until then its repeat waits for that.
            State::Leaving if slot.end() == 0 => return self.join(index, lot, false),
            State::Over(Ending::Whole) if !slot.passing() => return self.join(index, lot, true),
            State::Over(Ending::Whole) | State::Dropped => Some(Never::Answered),
            State::Open | State::Streaming | State::Leaving | State::Over(Ending::Cut(_)) => {
                Some(Never::MayHaveRun)
            }
            State::Over(Ending::Failed { may_have_run } | Ending::LetGo { may_have_run }) => {
                Some(Never::MayHaveRun).filter(|_| may_have_run)
            }
            State::Over(Ending::Refused { .. }) | State::Free => None,
        };
        if let Some(why) = why.filter(|_| offer.once) {
            return Verdict::Never(why);
        }
        let running = slot.running();
        if let Err(later) = self.pay(offer, true, lot) {
            return later;
        }
        // The run before is still being read, and can't be given from its first byte: this one runs beside it.
        if running || beside {
            return Verdict::Unrecorded;
        }
        self.run_again(index, lot, offer)
    }

    fn join(&mut self, index: u32, lot: u64, replay: bool) -> Verdict {
        let slot = &mut self.slots[index as usize];
        if slot.readers >= self.policy.most_readers {
            let retry_in = self.later(lot);
            return Verdict::Later { retry_in, why: Later::Readers };
        }
        slot.readers += 1;
        if replay {
            self.figures.replayed += 1;
        } else {
            self.figures.joined += 1;
            self.wheel.cancel(index); // somebody waits again
        }
        self.lists.leave(index);
        Verdict::Join(self.id(index))
    }

    /// An entry whose run is over, and did no harm or may be repeated, runs anew.
    fn run_again(&mut self, index: u32, lot: u64, offer: &Offer) -> Verdict {
        self.lists.leave(index);
        self.release_answer(index);
        // Others may still read of the run before: theirs is over, and they are not counted for this one.
        let slot = &mut self.slots[index as usize];
        slot.run += 1;
        slot.readers = 1;
        slot.state = State::Open;
        if !self.make_room(LIVE) {
            // What is known of it stays true: it may run, and does not now.
            let slot = &mut self.slots[index as usize];
            slot.state = State::Over(Ending::Refused { retry_in: 0 });
            slot.readers = 0;
            self.retire(index);
            if offer.once {
                let retry_in = self.later(lot);
                return Verdict::Later { retry_in, why: Later::Full };
            }
            return Verdict::Unrecorded;
        }
        self.wheel.cancel(index);
        self.begin(index);
        self.figures.let_through += 1;
        Verdict::Run(self.id(index))
    }

    fn insert(&mut self, offer: &Offer, name: Name) -> u32 {
        let account = self.account(offer.tenant);
        self.tenant(offer.tenant).entries += 1;
        let slot = Slot {
            print: name.print(),
            body: offer.body,
            due: Micros::MAX,
            answer: None,
            state: State::Open,
            tenant: offer.tenant,
            account,
            run: 0,
            readers: 1,
            turn: 0,
            note: [0; 2],
            charge: 0,
            once: offer.once,
            keyed: matches!(name, Name::Key(_)),
            forgotten: false,
        };
        let index = match self.free.pop() {
            Some(index) => {
                let run = self.slots[index as usize].run.wrapping_add(1);
                self.slots[index as usize] = Slot { run, ..slot };
                index
            }
            None => {
                self.slots.push(slot);
                (self.slots.len() - 1) as u32
            }
        };
        let slots = &self.slots;
        let bits = |&index: &u32| slots[index as usize].print.bits();
        self.index.insert_unique(name.print().bits(), index, bits);
        self.begin(index);
        index
    }

    /// A run begins, with room for what its readers must never wait for.
    fn begin(&mut self, index: u32) {
        self.turns = self.turns.wrapping_add(1);
        self.charge(index, ENTRY_BYTES + LIVE);
        let slot = &mut self.slots[index as usize];
        (slot.turn, slot.due, slot.answer) = (self.turns, Micros::MAX, Some(Box::default()));
    }

    /// Keeps numbers of the caller's own with a run: the id under which it goes to servers, and when it did, say.
    pub fn note(&mut self, id: EntryId, note: [u64; 2]) {
        if let Some(slot) = self.slot(id) {
            slot.note = note;
        }
    }

    /// The numbers kept with a run; 0 where there are none.
    pub fn noted(&mut self, id: EntryId) -> [u64; 2] {
        self.slot(id).map_or([0; 2], |slot| slot.note)
    }

    /// The first of an answer is here.
    pub fn began(&mut self, now: Micros, id: EntryId) {
        self.now = self.now.max(now);
        if let Some(slot) = self.slot(id).filter(|slot| slot.state == State::Open) {
            slot.state = State::Streaming;
            self.effects.push(Effect::Wake(id));
        }
    }

    /// More of an answer: how many bytes were taken in. Where that is not all, the rest is to be offered again
    /// once a wake has come.
    pub fn record(&mut self, now: Micros, id: EntryId, data: &[u8]) -> usize {
        self.now = self.now.max(now);
        let most = self.policy.most_answer;
        let Some(slot) = self.slot(id) else { return data.len() };
        let (charge, passing, end) = (slot.charge as usize, slot.passing(), slot.end() as usize);
        let Some(answer) = &slot.answer else { return data.len() };
        let wants = answer.wants(data.len());
        let more = (ENTRY_BYTES + wants.max(LIVE)).saturating_sub(charge);
        let fits = !passing && end + data.len() <= most && self.make_room(more);
        if fits {
            self.charge(id.index, charge + more);
        }
        let slot = &mut self.slots[id.index as usize];
        let room = slot.charge as usize - ENTRY_BYTES;
        let Some(answer) = &mut slot.answer else { return data.len() };
        let taken = if fits {
            answer.append(data, wants);
            data.len()
        } else {
            answer.pass_on();
            answer.append_within(data, room)
        };
        if taken > 0 {
            self.effects.push(Effect::Wake(id));
        }
        taken
    }

    /// A run has ended.
    pub fn ended(&mut self, now: Micros, id: EntryId, ending: Ending) {
        self.tick(now);
        let due = self.now.saturating_add(self.policy.window);
        let Some(slot) = self.slot(id) else { return };
        if matches!(slot.state, State::Over(_) | State::Dropped | State::Free) {
            return;
        }
        slot.state = State::Over(ending);
        slot.due = due;
        // Who has come since it was let go of asks anew where it may run again.
        let harmless = matches!(ending, Ending::LetGo { may_have_run } if !may_have_run || !slot.once);
        if harmless && slot.end() == 0 {
            slot.readers = 0;
            slot.run = slot.run.wrapping_add(1);
        }
        let replayed = matches!(ending, Ending::Whole | Ending::Cut(_)) && !slot.passing();
        if !replayed && slot.readers == 0 {
            self.release_answer(id.index);
        }
        let slot = &mut self.slots[id.index as usize];
        if let Some(answer) = &mut slot.answer {
            answer.fit();
        }
        let charge = ENTRY_BYTES + slot.held();
        self.charge(id.index, charge);
        self.wheel.set(id.index, due);
        self.effects.push(Effect::Wake(id));
        self.retire(id.index);
    }

    /// What a reader finds at a place of the answer, `most` bytes at once.
    pub fn read(&mut self, id: EntryId, from: u64, most: usize) -> Read<'_> {
        let Some(slot) = self.slots.get_mut(id.index as usize).filter(|slot| slot.run == id.run) else {
            return Read::Again;
        };
        let (passing, end) = (slot.passing(), slot.end());
        match slot.state {
            State::Free | State::Dropped => return Read::Again,
            State::Over(ending) if from >= end => return Read::Over(ending),
            _ => {}
        }
        let Some(answer) = &mut slot.answer else { return Read::Wait };
        match answer.read(from, most) {
            None => Read::Lost,
            Some([]) => Read::Wait,
            Some(piece) => {
                if passing {
                    self.effects.push(Effect::Wake(id)); // there is room to record more
                }
                Read::Piece(piece)
            }
        }
    }

    /// A reader has had the end of the answer, or has left before. The last one of a run that is not over lets
    /// it go, at once or after the time to linger.
    pub fn left(&mut self, now: Micros, id: EntryId) {
        self.tick(now);
        let linger = self.policy.linger;
        let at = self.now;
        let Some(slot) = self.slot(id).filter(|slot| slot.readers > 0) else { return };
        slot.readers -= 1;
        if slot.readers > 0 {
            return;
        }
        match slot.state {
            State::Open | State::Streaming if slot.once && linger > 0 => {
                self.wheel.set(id.index, at + linger)
            }
            State::Open | State::Streaming => self.let_go(id.index),
            State::Over(ending) if slot.passing() || !matches!(ending, Ending::Whole | Ending::Cut(_)) => {
                self.release_answer(id.index);
                self.retire(id.index);
            }
            _ => self.retire(id.index),
        }
    }

    fn let_go(&mut self, index: u32) {
        self.slots[index as usize].state = State::Leaving;
        self.effects.push(Effect::LetGo(self.id(index)));
    }

    /// Finds the place of an entry that is over and that nobody reads: forgotten, spare, or kept.
    fn retire(&mut self, index: u32) {
        let slot = &self.slots[index as usize];
        if slot.readers > 0 || !matches!(slot.state, State::Over(_) | State::Dropped) {
            return;
        }
        if slot.forgotten {
            return self.free(index);
        }
        if !slot.once || !slot.may_have_run() {
            self.lists.join(SPARE, index);
        } else if slot.held() > 0 {
            self.lists.join(KEPT, index);
        }
    }

    /// Its time is up, or there is need of its room.
    fn forget(&mut self, index: u32) {
        let slot = &mut self.slots[index as usize];
        if std::mem::replace(&mut slot.forgotten, true) {
            return;
        }
        let (bits, readers) = (slot.print.bits(), slot.readers);
        if let Ok(found) = self.index.find_entry(bits, |&other| other == index) {
            found.remove();
        }
        if readers == 0 {
            self.free(index);
        }
    }

    fn free(&mut self, index: u32) {
        self.lists.leave(index);
        self.wheel.cancel(index);
        self.charge(index, 0);
        let slot = &mut self.slots[index as usize];
        slot.state = State::Free;
        slot.answer = None;
        // Ids of this run are nobody's from now on.
        slot.run = slot.run.wrapping_add(1);
        if let Some(tenant) = self.tenants.get_mut(&slot.account) {
            tenant.entries -= 1;
        }
        self.free.push(index);
    }

    fn release_answer(&mut self, index: u32) {
        let slot = &mut self.slots[index as usize];
        if slot.state == State::Over(Ending::Whole) {
            slot.state = State::Dropped; // never to be taken for an answer of no bytes
        }
        slot.answer = None;
        self.charge(index, ENTRY_BYTES);
    }

    /// Whether a tenant may have one entry more: what can be forgotten without harm makes room, and no tenant
    /// takes all of it.
    fn room(&mut self, tenant: u32) -> bool {
        let share = self.policy.most_entries as u64 * u64::from(self.policy.tenant_permille) / 1_000;
        let own = self.tenants.get(&self.account(tenant)).map_or(0, |tenant| tenant.entries as u64);
        while self.slots.len() - self.free.len() >= self.policy.most_entries {
            let Some(spare) = self.lists.oldest(SPARE) else { return false };
            self.figures.dropped += 1;
            self.forget(spare);
        }
        own < share.max(1) && self.make_room(ENTRY_BYTES + LIVE)
    }

    /// Whether so many bytes can be had: first from what can be forgotten without harm, then from kept answers.
    fn make_room(&mut self, bytes: usize) -> bool {
        while self.bytes + bytes > self.policy.most_bytes {
            if let Some(spare) = self.lists.oldest(SPARE) {
                self.forget(spare);
            } else if let Some(kept) = self.lists.oldest(KEPT) {
                self.lists.leave(kept);
                self.release_answer(kept);
            } else {
                return false;
            }
            self.figures.dropped += 1;
        }
        true
    }

    fn charge(&mut self, index: u32, charge: usize) {
        let slot = &mut self.slots[index as usize];
        self.bytes = self.bytes - slot.charge as usize + charge;
        slot.charge = charge as u32;
    }

    /// Counts a request that is to run: a fresh one earns for repeats, a repeat pays.
    fn pay(&mut self, offer: &Offer, repeat: bool, lot: u64) -> Result<(), Verdict> {
        let (now, policy) = (self.now, self.policy.budget);
        let budget = &mut self.tenant(offer.tenant).budget;
        if !repeat {
            budget.fresh(&policy, now);
            return Ok(());
        }
        let paid = budget.repeat(&policy, now, lot);
        paid.map_err(|retry_in| Verdict::Later { retry_in, why: Later::Budget })
    }

    /// When one who is turned away for want of room is asked back.
    fn later(&self, lot: u64) -> Micros {
        let BudgetPolicy { retry_in, most_retry_in, .. } = self.policy.budget;
        retry_in + lot % (most_retry_in.saturating_sub(retry_in) / 4).max(1)
    }

    fn tenant(&mut self, tenant: u32) -> &mut Tenant {
        let (account, policy, now) = (self.account(tenant), self.policy.budget, self.now);
        let fresh = || Tenant { budget: Budget::new(&policy, now), entries: 0 };
        self.tenants.entry(account).or_insert_with(fresh)
    }

    fn account(&self, tenant: u32) -> u32 {
        let crowded = self.tenants.len() >= MOST_TENANTS && !self.tenants.contains_key(&tenant);
        if crowded {
            OTHERS
        } else {
            tenant
        }
    }

    fn id(&self, index: u32) -> EntryId {
        EntryId { index, run: self.slots[index as usize].run }
    }

    fn slot(&mut self, id: EntryId) -> Option<&mut Slot> {
        self.slots.get_mut(id.index as usize).filter(|slot| slot.run == id.run && slot.state != State::Free)
    }
}
