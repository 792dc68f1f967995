//! The state machine of one instance.

use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::codec::{most_bytes, ROOM_FOR_UPDATES};
use crate::gossip::Gossip;
use crate::health::Health;
use crate::member::{Member, MemberId, Place, Standing, Update};
use crate::settings::{BadSettings, Settings};
use crate::suspicion::Suspicion;
use crate::Micros;

/// Probes made for others at once; more are not made, and those that asked hear of nobody's answer.
const MOST_RELAYS: usize = 256;
/// Told at once that this instance leaves; the others hear it from them.
const TOLD_OF_LEAVING: usize = 16;
/// One that is alone looks for so many lost members and seeds at once.
const LOST_AT_ONCE: usize = 8;
/// Members that are remembered; what is said of more strangers is not taken.
const MOST_MEMBERS: usize = 10_000;

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender, as it stands by itself.
    pub from: Update,
    /// What it wants.
    pub body: Body,
    /// News of members.
    pub updates: Vec<Update>,
}

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Answer with [`Body::Ack`] and this number, if you are `target`.
    Ping {
        /// Comes back with the answer.
        nonce: u32,
        /// Whom it is meant for: another process may have its address by now.
        target: MemberId,
    },
    /// The probe with this number was answered.
    Ack {
        /// Of the ping, or of the request to probe.
        nonce: u32,
    },
    /// The probe that was asked for has had no answer so far; the one that was asked is there.
    Nack {
        /// Of the request to probe.
        nonce: u32,
    },
    /// Probe a member, and answer with [`Body::Ack`] or [`Body::Nack`].
    Ask {
        /// Comes back with the answer.
        nonce: u32,
        /// Whom to probe.
        target: MemberId,
        /// Where it hears.
        place: Place,
    },
    /// A part of the sender's whole state; with `want`, it wants the receiver's.
    Sync {
        /// Answer with your own.
        want: bool,
    },
    /// News only.
    Gossip,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; due every [`Settings::tick_every`].
    Tick,
    /// A message has come.
    Heard(Message),
    /// This instance is about to end.
    Leave,
}

/// A change of what this instance holds of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Whom it is about.
    pub id: MemberId,
    /// Its name.
    pub name: String,
    /// Where it hears.
    pub place: Place,
    /// How it stood; `None` for one that was not known.
    pub was: Option<Standing>,
    /// How it stands.
    pub standing: Standing,
    /// In which incarnation.
    pub incarnation: u64,
    /// Who found that.
    pub by: MemberId,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: Place,
        /// What.
        message: Message,
    },
    /// Something has changed, to be logged and acted on.
    Changed(Change),
    /// Others held this instance for suspect or dead; it has said otherwise, in a new incarnation.
    Refuted {
        /// What was said.
        said: Standing,
        /// By whom.
        by: MemberId,
        /// The new incarnation.
        incarnation: u64,
    },
    /// This instance was paused for so long; nobody is found fault with for that time.
    Paused(Micros),
}

/// What has happened so often since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes begun.
    pub probes: u64,
    /// Those that were answered neither directly nor through others.
    pub failed_probes: u64,
    /// Members that this instance itself found dead.
    pub deaths: u64,
    /// What was said of this instance and refuted.
    pub refuted: u64,
    /// Pauses of this instance.
    pub pauses: u64,
    /// Messages of another instance under this one's name.
    pub namesakes: u64,
}

#[derive(Debug)]
struct Probe {
    target: MemberId,
    nonce: u32,
    ask_at: Micros,
    ends_at: Micros,
    asked: u32,
    nacks: u32,
    answered: bool,
}

/// A probe made for another.
#[derive(Debug)]
struct Relay {
    asker: Place,
    nonce: u32,
    nack_at: Micros,
    ends_at: Micros,
    nacked: bool,
}

/// See the [crate](crate).
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    ticked: Micros,
    me: MemberId,
    incarnation: u64,
    leaving: bool,
    members: BTreeMap<MemberId, Member>,
    gossip: Gossip,
    health: Health,
    /// Still to be probed in this round, the next one last.
    round: Vec<MemberId>,
    probe: Option<Probe>,
    probe_at: Micros,
    relays: BTreeMap<u32, Relay>,
    sync_at: Micros,
    counts: Counts,
}

impl Membership {
    /// An instance that has just started and knows nobody.
    ///
    /// # Errors
    /// Settings that can't be.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, BadSettings> {
        settings.check()?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Instances that start together do not probe in step.
        let probe_at = now + rng.next_u64() % settings.probe_every;
        Ok(Self {
            rng,
            now,
            ticked: now,
            me: MemberId::of(&settings.name),
            incarnation: settings.incarnation,
            leaving: false,
            members: BTreeMap::new(),
            gossip: Gossip::default(),
            health: Health::default(),
            round: Vec::new(),
            probe: None,
            probe_at,
            relays: BTreeMap::new(),
            sync_at: now,
            counts: Counts::default(),
            settings,
        })
    }

    /// The others that are known, dead ones included.
    pub fn others(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// Where a member hears; `None` for one that is not known.
    #[must_use]
    pub fn place_of(&self, id: MemberId) -> Option<Place> {
        self.members.get(&id).map(|member| member.place)
    }

    /// The others that are up.
    #[must_use]
    pub fn others_up(&self) -> Vec<MemberId> {
        self.up_but(None)
    }

    /// This instance, as it stands by itself.
    #[must_use]
    pub fn me(&self) -> Update {
        Update {
            id: self.me,
            name: self.settings.name.clone(),
            place: self.settings.place,
            incarnation: self.incarnation,
            standing: if self.leaving { Standing::Left } else { Standing::Alive },
            by: self.me,
            age_s: 0,
        }
    }

    /// How much worse than well this instance does, from 0 to 8.
    #[must_use]
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// What has happened so often since the start.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Members that are up, this one included.
    #[must_use]
    pub fn up(&self) -> usize {
        1 + self.members.values().filter(|member| member.standing.is_up()).count()
    }

    /// Takes an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(out),
            Event::Heard(message) => self.heard(message, out),
            Event::Leave => self.leave(out),
        }
    }

    // ---- What time brings ----

    fn tick(&mut self, out: &mut Vec<Effect>) {
        let gap = self.now - self.ticked;
        self.ticked = self.now;
        if self.leaving {
            return;
        }
        if gap > self.settings.pause() {
            self.paused(gap, out);
        }
        self.relays_due(out);
        self.probe_due(out);
        self.suspicions_due(out);
        if self.now >= self.sync_at {
            self.sync(out);
        }
        let forget_after = self.settings.forget_after;
        self.members.retain(|_, member| member.standing.is_up() || self.now < member.since + forget_after);
    }

    /// What was due meanwhile says nothing: answers may lie unread, and others had no chance to refute.
    fn paused(&mut self, gap: Micros, out: &mut Vec<Effect>) {
        self.counts.pauses += 1;
        self.health.worse(1);
        self.probe = None;
        self.probe_at = self.now + self.settings.probe_every;
        self.relays.clear();
        for suspicion in self.members.values_mut().filter_map(|member| member.suspicion.as_mut()) {
            suspicion.since += gap;
        }
        out.push(Effect::Paused(gap));
    }

    fn probe_due(&mut self, out: &mut Vec<Effect>) {
        if let Some(probe) = &self.probe {
            let (target, nonce) = (probe.target, probe.nonce);
            if !probe.answered && probe.asked == 0 && self.now >= probe.ask_at && self.now < probe.ends_at {
                let asked = self.ask_others(target, nonce, out);
                if let Some(probe) = &mut self.probe {
                    // Where nobody can be asked, this is not tried again at each tick.
                    (probe.asked, probe.ask_at) = (asked, probe.ends_at);
                }
            }
            if self.probe.as_ref().is_some_and(|probe| self.now >= probe.ends_at) {
                self.probe_ends(out);
            }
        }
        if self.probe.is_none() && self.now >= self.probe_at {
            self.probe_next(out);
        }
    }

    /// Probes members in a random order, each once in a round: the time to the next probe of each is bounded.
    fn probe_next(&mut self, out: &mut Vec<Effect>) {
        let multiple = self.health.multiple();
        self.probe_at = self.now + self.settings.probe_every * multiple;
        if self.round.is_empty() {
            self.round = self.up_but(None);
            self.shuffle_round();
        }
        let target = loop {
            let Some(id) = self.round.pop() else { return };
            if self.members.get(&id).is_some_and(|member| member.standing.is_up()) {
                break id;
            }
        };
        let nonce = self.rng.next_u32();
        self.counts.probes += 1;
        self.probe = Some(Probe {
            target,
            nonce,
            ask_at: self.now + self.settings.probe_timeout * multiple,
            ends_at: self.probe_at,
            asked: 0,
            nacks: 0,
            answered: false,
        });
        self.say_to(target, Body::Ping { nonce, target }, out);
    }

    fn ask_others(&mut self, target: MemberId, nonce: u32, out: &mut Vec<Effect>) -> u32 {
        let Some(place) = self.members.get(&target).map(|member| member.place) else { return 0 };
        let others = self.some_up(self.settings.indirect, Some(target));
        for &other in &others {
            self.say_to(other, Body::Ask { nonce, target, place }, out);
        }
        others.len() as u32
    }

    fn probe_ends(&mut self, out: &mut Vec<Effect>) {
        let Some(probe) = self.probe.take().filter(|probe| !probe.answered) else { return };
        self.counts.failed_probes += 1;
        // Those that were asked and did not even say that they got no answer: the fault may be here.
        self.health.worse(if probe.asked == 0 { 1 } else { probe.asked.saturating_sub(probe.nacks) });
        self.suspect(probe.target, out);
    }

    fn suspect(&mut self, id: MemberId, out: &mut Vec<Effect>) {
        let Some(member) = self.members.get(&id).filter(|member| member.standing.is_up()) else { return };
        let found =
            Update { standing: Standing::Suspect, by: self.me, age_s: 0, ..member.update(id, self.now) };
        self.take(found, out);
        // It hears so first: the sooner it refutes, the shorter the doubt.
        self.say_to(id, Body::Gossip, out);
        self.spread(out);
    }

    fn suspicions_due(&mut self, out: &mut Vec<Effect>) {
        let up = self.up();
        let over = |member: &Member| {
            member.suspicion.as_ref().is_some_and(|one| one.ends_at(up, &self.settings) <= self.now)
        };
        let over: Vec<Update> = (self.members.iter())
            .filter(|(_, member)| over(member))
            .map(|(&id, member)| member.update(id, self.now))
            .collect();
        for suspected in over {
            self.counts.deaths += 1;
            self.take(Update { standing: Standing::Dead, by: self.me, age_s: 0, ..suspected }, out);
            self.spread(out);
        }
    }

    fn relays_due(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        self.relays.retain(|_, relay| now < relay.ends_at);
        let mut due: Vec<(Place, u32)> = Vec::new();
        for relay in self.relays.values_mut().filter(|relay| now >= relay.nack_at && !relay.nacked) {
            relay.nacked = true;
            due.push((relay.asker, relay.nonce));
        }
        for (asker, nonce) in due {
            self.say(asker, None, Body::Nack { nonce }, out);
        }
    }

    /// Anti-entropy: whole states with one that is up, and with one that is held for dead or a seed that is not among
    /// them. The latter is how a cluster that was cut in two finds together again.
    fn sync(&mut self, out: &mut Vec<Effect>) {
        let up = self.some_up(1, None);
        let alone = up.is_empty();
        let every = if alone { self.settings.probe_every } else { self.settings.sync_every };
        self.sync_at = self.now + every / 2 + self.rng.next_u64() % every.max(2);
        for id in up {
            self.send_state(self.members[&id].place, true, out);
        }
        let up_places: Vec<Place> = (self.members.values())
            .filter(|member| member.standing.is_up())
            .map(|member| member.place)
            .chain([self.settings.place])
            .collect();
        let dead = self.members.values().filter(|member| member.standing == Standing::Dead);
        let mut lost: Vec<Place> = dead.map(|member| member.place).collect();
        lost.extend(self.settings.seeds.iter().copied());
        lost.retain(|place| !up_places.contains(place));
        lost.sort_unstable();
        lost.dedup();
        for _ in 0..if alone { LOST_AT_ONCE } else { 1 } {
            if lost.is_empty() {
                break;
            }
            let place = lost.swap_remove(self.rng.next_u64() as usize % lost.len());
            self.send_state(place, true, out);
        }
    }

    fn send_state(&mut self, to: Place, want: bool, out: &mut Vec<Effect>) {
        let mut parts: Vec<Vec<Update>> = vec![Vec::new()];
        let mut room = ROOM_FOR_UPDATES;
        for (&id, member) in &self.members {
            let update = member.update(id, self.now);
            let bytes = most_bytes(&update);
            if bytes > room {
                parts.push(Vec::new());
                room = ROOM_FOR_UPDATES;
            }
            room -= bytes;
            parts.last_mut().expect("there is always one").push(update);
        }
        let last = parts.len() - 1;
        for (at, updates) in parts.into_iter().enumerate() {
            let body = Body::Sync { want: want && at == last };
            out.push(Effect::Send { to, message: Message { from: self.me(), body, updates } });
        }
    }

    // ---- What others say ----

    fn heard(&mut self, message: Message, out: &mut Vec<Effect>) {
        let Message { from, body, updates } = message;
        if from.id == self.me {
            self.counts.namesakes += u64::from(from.place != self.settings.place);
            return;
        }
        if self.leaving {
            return;
        }
        let (sender, place) = (from.id, from.place);
        self.take(from, out);
        for update in updates {
            self.take(update, out);
        }
        match body {
            Body::Ping { nonce, target } => {
                if target == self.me {
                    self.say(place, Some(sender), Body::Ack { nonce }, out);
                }
            }
            Body::Ack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    if !std::mem::replace(&mut probe.answered, true) {
                        self.health.better();
                    }
                }
                if let Some(relay) = self.relays.remove(&nonce) {
                    self.say(relay.asker, None, Body::Ack { nonce: relay.nonce }, out);
                }
            }
            Body::Nack { nonce } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
                    probe.nacks += 1;
                }
            }
            Body::Ask { nonce, target, place: at } => {
                if target != self.me && self.relays.len() < MOST_RELAYS {
                    let own = self.rng.next_u32();
                    let (nack_at, ends_at) = (
                        self.now + self.settings.probe_timeout * 4 / 5,
                        self.now + self.settings.probe_every * 4,
                    );
                    let relay = Relay { asker: place, nonce, nack_at, ends_at, nacked: false };
                    self.relays.insert(own, relay);
                    self.say(at, Some(target), Body::Ping { nonce: own, target }, out);
                }
            }
            Body::Sync { want } => {
                if want {
                    self.send_state(place, false, out);
                }
            }
            Body::Gossip => {}
        }
    }

    /// Takes what is said of a member, where it holds over what is known.
    fn take(&mut self, update: Update, out: &mut Vec<Effect>) {
        let id = update.id;
        if id == self.me {
            return self.said_of_me(&update, out);
        }
        if self.is_early(&update) {
            let doubted = Update { standing: Standing::Suspect, age_s: 0, ..update };
            self.take(doubted, out);
            if let Some(suspicion) = self.members.get_mut(&id).and_then(|member| member.suspicion.as_mut()) {
                suspicion.told_dead = true;
            }
            return;
        }
        let suspicion = (update.standing == Standing::Suspect).then(|| Suspicion::new(update.by, self.now));
        let Some(member) = self.members.get_mut(&id) else {
            return self.take_stranger(update, suspicion, out);
        };
        if update.holds_over(member.incarnation, member.standing) {
            let was = member.standing;
            let changed = was != update.standing;
            *member = Member { suspicion, ..Member::new(&update, self.now) };
            if changed {
                out.push(Effect::Changed(change(&update, Some(was))));
            }
            self.gossip.add(update);
        } else if update.incarnation == member.incarnation && update.standing == member.standing {
            // Another one found the same: that is news where it shortens the time to refute.
            let confirms = |one: &mut Suspicion| one.confirm(update.by, &self.settings);
            if member.suspicion.as_mut().is_some_and(confirms) {
                self.gossip.add(update);
            }
        }
    }

    /// Another's word that a member is dead, which this one has not suspected for the least time to refute: it only
    /// doubts it. So the news of two sides of a cut, each of which holds the other for dead, kill nobody once it is mended.
    fn is_early(&self, update: &Update) -> bool {
        let Some(member) = self.members.get(&update.id) else { return false };
        if update.standing != Standing::Dead || update.by == self.me || !member.standing.is_up() {
            return false;
        }
        let least = self.settings.suspicion_bounds(self.up()).0;
        let doubted = member.suspicion.as_ref().filter(|_| member.incarnation == update.incarnation);
        update.incarnation >= member.incarnation && doubted.is_none_or(|one| self.now < one.since + least)
    }

    fn take_stranger(&mut self, update: Update, suspicion: Option<Suspicion>, out: &mut Vec<Effect>) {
        if self.members.len() >= MOST_MEMBERS {
            return;
        }
        let id = update.id;
        self.members.insert(id, Member { suspicion, ..Member::new(&update, self.now) });
        if update.standing.is_up() {
            // At a random place of this round, so that new ones are not all probed at once.
            let at = self.rng.next_u64() as usize % (self.round.len() + 1);
            self.round.insert(at, id);
            out.push(Effect::Changed(change(&update, None)));
            self.gossip.add(update);
        }
    }

    fn said_of_me(&mut self, update: &Update, out: &mut Vec<Effect>) {
        let of_now = (update.incarnation, update.standing) > (self.incarnation, Standing::Alive);
        if self.leaving || !of_now {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        self.gossip.add(self.me());
        if update.standing != Standing::Alive {
            self.counts.refuted += 1;
            self.health.worse(1);
            let (said, by, incarnation) = (update.standing, update.by, self.incarnation);
            out.push(Effect::Refuted { said, by, incarnation });
            self.say_to(by, Body::Gossip, out);
        }
        self.spread(out);
    }

    fn leave(&mut self, out: &mut Vec<Effect>) {
        if !std::mem::replace(&mut self.leaving, true) {
            self.gossip.add(self.me());
            for id in self.some_up(TOLD_OF_LEAVING, None) {
                self.say_to(id, Body::Gossip, out);
            }
        }
    }

    // ---- Saying things ----

    /// News to some others at once, beside what probes carry.
    fn spread(&mut self, out: &mut Vec<Effect>) {
        for id in self.some_up(self.settings.indirect, None) {
            self.say_to(id, Body::Gossip, out);
        }
    }

    fn say_to(&mut self, id: MemberId, body: Body, out: &mut Vec<Effect>) {
        if let Some(place) = self.members.get(&id).map(|member| member.place) {
            self.say(place, Some(id), body, out);
        }
    }

    /// To one that is not held for alive, that comes first: it can refute (Lifeguard's buddy system).
    fn say(&mut self, to: Place, whom: Option<MemberId>, body: Body, out: &mut Vec<Effect>) {
        let mut updates = Vec::new();
        let mut room = ROOM_FOR_UPDATES;
        let doubted = whom.and_then(|id| Some((id, self.members.get(&id)?)));
        if let Some((id, member)) = doubted.filter(|(_, member)| member.standing != Standing::Alive) {
            let update = member.update(id, self.now);
            room -= most_bytes(&update);
            updates.push(update);
        }
        let fits = |update: &Update| {
            let bytes = most_bytes(update);
            let fits = bytes <= room;
            room -= if fits { bytes } else { 0 };
            fits
        };
        let most = self.settings.sends_of_update(self.up());
        self.gossip.take(most, fits, &mut updates);
        out.push(Effect::Send { to, message: Message { from: self.me(), body, updates } });
    }

    // ---- Lots ----

    fn up_but(&self, but: Option<MemberId>) -> Vec<MemberId> {
        let up = self.members.iter().filter(|(&id, member)| member.standing.is_up() && Some(id) != but);
        up.map(|(&id, _)| id).collect()
    }

    fn some_up(&mut self, count: usize, but: Option<MemberId>) -> Vec<MemberId> {
        let mut up = self.up_but(but);
        for at in 0..count.min(up.len()) {
            let with = at + self.rng.next_u64() as usize % (up.len() - at);
            up.swap(at, with);
        }
        up.truncate(count);
        up
    }

    fn shuffle_round(&mut self) {
        for at in (1..self.round.len()).rev() {
            let with = self.rng.next_u64() as usize % (at + 1);
            self.round.swap(at, with);
        }
    }
}

fn change(update: &Update, was: Option<Standing>) -> Change {
    Change {
        id: update.id,
        name: update.name.clone(),
        place: update.place,
        was,
        standing: update.standing,
        incarnation: update.incarnation,
        by: update.by,
    }
}
