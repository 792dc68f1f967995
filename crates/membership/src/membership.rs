//! The membership state machine of one instance. This module holds its state, dispatches events and sends messages;
//! [`probing`] tracks probes, [`merging`] applies updates, and [`anti_entropy`] exchanges whole member tables.

mod anti_entropy;
mod merging;
mod probing;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::codec::MAX_UPDATES_BYTES;
use crate::dissemination::UpdateQueue;
use crate::events::{Counters, Effect, Event};
use crate::identity::{Address, MemberId};
use crate::local_health::LocalHealth;
use crate::member::{Member, MemberTable};
use crate::message::{Body, Message};
use crate::settings::{InvalidSettings, Settings};
use crate::update::{MemberState, Update};
use crate::Micros;
use probing::{Prober, RelayAnswer, Relays};

/// The maximum number of members that are notified directly when this instance leaves; gossip informs the others.
const MAX_LEAVE_NOTIFICATIONS: usize = 16;

/// The membership state machine of one instance. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Micros,
    last_tick_at: Micros,
    id: MemberId,
    incarnation: u64,
    leaving: bool,
    members: MemberTable,
    queue: UpdateQueue,
    health: LocalHealth,
    prober: Prober,
    relays: Relays,
    next_sync_at: Micros,
    counters: Counters,
}

impl Membership {
    /// Creates the state machine of an instance that has just started and knows no other member. `seed` is that of
    /// its random number generator, and `now` the current time.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, InvalidSettings> {
        settings.check()?;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // A random first delay, so that instances that start together do not probe in lockstep.
        let first_probe_at = now + rng.next_u64() % settings.probe_interval;
        Ok(Self {
            rng,
            now,
            last_tick_at: now,
            id: MemberId::of(&settings.name),
            incarnation: settings.incarnation,
            leaving: false,
            members: MemberTable::default(),
            queue: UpdateQueue::default(),
            health: LocalHealth::default(),
            prober: Prober::new(first_probe_at),
            relays: Relays::default(),
            next_sync_at: now,
            counters: Counters::default(),
            settings,
        })
    }

    /// The other known members, including those that are dead or have left.
    pub fn others(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter()
    }

    /// The address of another member; `None` if it is not known.
    #[must_use]
    pub fn address_of(&self, id: MemberId) -> Option<Address> {
        self.members.get(id).map(|member| member.address)
    }

    /// The other members that are up (alive or suspect).
    #[must_use]
    pub fn others_up(&self) -> Vec<MemberId> {
        self.members.up_except(None)
    }

    /// The update that this instance sends about itself.
    #[must_use]
    pub fn own_update(&self) -> Update {
        Update {
            id: self.id,
            name: self.settings.name.clone(),
            address: self.settings.address,
            incarnation: self.incarnation,
            state: if self.leaving { MemberState::Left } else { MemberState::Alive },
            reported_by: self.id,
            age_s: 0,
        }
    }

    /// This instance's local health score (Lifeguard): 0 is healthy, 8 the worst.
    #[must_use]
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// Counters since this instance started.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The number of members that are up, including this instance.
    #[must_use]
    pub fn up(&self) -> usize {
        1 + self.members.count_up()
    }

    /// Handles an event at the time `now`, and appends what the caller has to do to `effects`. A `now` before that of
    /// an earlier call is treated as the earlier time.
    pub fn handle(&mut self, now: Micros, event: Event, effects: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(effects),
            Event::MessageReceived(message) => self.receive(message, effects),
            Event::Leave => self.leave(effects),
        }
    }

    // ---- Timer ----

    fn tick(&mut self, effects: &mut Vec<Effect>) {
        let gap = self.now - self.last_tick_at;
        self.last_tick_at = self.now;
        if self.leaving {
            return;
        }
        if gap > self.settings.pause_threshold() {
            self.recover_from_pause(gap, effects);
        }
        self.send_due_nacks(effects);
        self.advance_probe(effects);
        self.declare_dead(effects);
        self.sync_if_due(effects);
        self.members.remove_expired(self.now, self.settings.dead_retention);
    }

    /// Restarts the timeouts after a pause of this process. Those that passed meanwhile show nothing about other
    /// members: answers may still be unread in the socket's buffer, and refutations could not arrive.
    fn recover_from_pause(&mut self, gap: Micros, effects: &mut Vec<Effect>) {
        self.counters.pauses += 1;
        self.health.worsen(1);
        self.prober.abort(self.now + self.settings.probe_interval);
        self.relays.clear();
        self.members.extend_suspicions(gap);
        effects.push(Effect::Paused(gap));
    }

    fn send_due_nacks(&mut self, effects: &mut Vec<Effect>) {
        for RelayAnswer { to, nonce } in self.relays.due_nacks(self.now) {
            self.send(to, None, Body::Nack { nonce }, effects);
        }
    }

    fn advance_probe(&mut self, effects: &mut Vec<Effect>) {
        if let Some((target, nonce)) = self.prober.indirect_due(self.now) {
            let requests = self.request_indirect_probes(target, nonce, effects);
            self.prober.indirect_requested(requests);
        }
        if let Some(failed) = self.prober.end(self.now) {
            self.counters.failed_probes += 1;
            self.health.worsen(failed.health_penalty);
            self.mark_suspect(failed.target, effects);
        }
        if self.prober.is_due(self.now) {
            self.begin_probe(effects);
        }
    }

    fn begin_probe(&mut self, effects: &mut Vec<Effect>) {
        let multiplier = self.health.multiplier();
        let next_at = self.now + self.settings.probe_interval * multiplier;
        let Some(target) = self.prober.next_target(next_at, &self.members, &mut self.rng) else { return };
        let nonce = self.rng.next_u32();
        self.counters.probes += 1;
        self.prober.begin(target, nonce, self.now + self.settings.probe_timeout * multiplier);
        self.send_to_member(target, Body::Ping { nonce, target }, effects);
    }

    /// Asks other members to probe the target, and returns how many were asked.
    fn request_indirect_probes(&mut self, target: MemberId, nonce: u32, effects: &mut Vec<Effect>) -> u32 {
        let Some(address) = self.address_of(target) else { return 0 };
        let others = self.members.sample_up(self.settings.indirect_probes, Some(target), &mut self.rng);
        for &other in &others {
            self.send_to_member(other, Body::IndirectPing { nonce, target, address }, effects);
        }
        others.len() as u32
    }

    fn mark_suspect(&mut self, id: MemberId, effects: &mut Vec<Effect>) {
        let Some(member) = self.members.get(id).filter(|member| member.state.is_up()) else { return };
        let update = member.update(id, self.now);
        self.merge(Update { state: MemberState::Suspect, reported_by: self.id, age_s: 0, ..update }, effects);
        // The suspected member is notified first, so that it can refute as early as possible.
        self.send_to_member(id, Body::Gossip, effects);
        self.gossip(effects);
    }

    /// Declares suspected members dead whose suspicion timeout has expired.
    fn declare_dead(&mut self, effects: &mut Vec<Effect>) {
        let expired = self.members.expired_suspicions(self.now, self.up(), &self.settings);
        for update in expired {
            self.counters.deaths += 1;
            self.merge(
                Update { state: MemberState::Dead, reported_by: self.id, age_s: 0, ..update },
                effects,
            );
            self.gossip(effects);
        }
    }

    // ---- Received messages ----

    fn receive(&mut self, message: Message, effects: &mut Vec<Effect>) {
        let Message { sender, body, updates } = message;
        if sender.id == self.id {
            self.counters.name_conflicts += u64::from(sender.address != self.settings.address);
            return;
        }
        if self.leaving {
            return;
        }
        let (sender_id, address) = (sender.id, sender.address);
        self.merge(sender, effects);
        for update in updates {
            self.merge(update, effects);
        }
        self.answer(body, sender_id, address, effects);
    }

    fn answer(&mut self, body: Body, sender: MemberId, address: Address, effects: &mut Vec<Effect>) {
        match body {
            Body::Ping { nonce, target } => {
                if target == self.id {
                    self.send(address, Some(sender), Body::Ack { nonce }, effects);
                }
            }
            Body::Ack { nonce } => self.receive_ack(nonce, effects),
            Body::Nack { nonce } => self.prober.count_nack(nonce),
            Body::IndirectPing { nonce, target, address: target_address } => {
                let requester = RelayAnswer { to: address, nonce };
                self.relay_probe(requester, target, target_address, effects);
            }
            Body::Sync { wants_reply } => {
                if wants_reply {
                    self.send_table(address, false, effects);
                }
            }
            Body::Gossip => {}
        }
    }

    fn receive_ack(&mut self, nonce: u32, effects: &mut Vec<Effect>) {
        if self.prober.acknowledge(nonce) {
            self.health.improve();
        }
        if let Some(RelayAnswer { to, nonce }) = self.relays.acknowledge(nonce) {
            self.send(to, None, Body::Ack { nonce }, effects);
        }
    }

    /// Serves a request for an indirect probe, unless it targets this instance or too many are open.
    fn relay_probe(
        &mut self,
        requester: RelayAnswer,
        target: MemberId,
        target_address: Address,
        effects: &mut Vec<Effect>,
    ) {
        if target == self.id || !self.relays.has_capacity() {
            return;
        }
        let nonce = self.rng.next_u32();
        self.relays.begin(nonce, requester, self.now, &self.settings);
        self.send(target_address, Some(target), Body::Ping { nonce, target }, effects);
    }

    // ---- Leaving ----

    fn leave(&mut self, effects: &mut Vec<Effect>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.queue.add(self.own_update());
        for id in self.members.sample_up(MAX_LEAVE_NOTIFICATIONS, None, &mut self.rng) {
            self.send_to_member(id, Body::Gossip, effects);
        }
    }

    // ---- Sent messages ----

    /// Sends queued updates to a few random members at once, instead of waiting for the next probe to carry them.
    fn gossip(&mut self, effects: &mut Vec<Effect>) {
        for id in self.members.sample_up(self.settings.indirect_probes, None, &mut self.rng) {
            self.send_to_member(id, Body::Gossip, effects);
        }
    }

    fn send_to_member(&mut self, id: MemberId, body: Body, effects: &mut Vec<Effect>) {
        if let Some(address) = self.address_of(id) {
            self.send(address, Some(id), body, effects);
        }
    }

    /// Sends a message with as many queued updates as fit. If the receiver is a member that this instance does not
    /// hold for alive, the first update says so, so that the member can refute it (Lifeguard's buddy system).
    fn send(&mut self, to: Address, receiver: Option<MemberId>, body: Body, effects: &mut Vec<Effect>) {
        let mut updates = Vec::new();
        let mut remaining_bytes = MAX_UPDATES_BYTES;
        if let Some(update) = receiver.and_then(|id| self.update_if_not_alive(id)) {
            remaining_bytes -= update.max_encoded_bytes();
            updates.push(update);
        }
        let fits = |update: &Update| match remaining_bytes.checked_sub(update.max_encoded_bytes()) {
            Some(remaining) => {
                remaining_bytes = remaining;
                true
            }
            None => false,
        };
        self.queue.fill(&mut updates, self.settings.transmit_limit(1 + self.members.count_up()), fits);
        let message = Message { sender: self.own_update(), body, updates };
        effects.push(Effect::Send { to, message });
    }

    /// The update about a member that this instance does not hold for alive; `None` if it is alive or unknown.
    fn update_if_not_alive(&self, id: MemberId) -> Option<Update> {
        let member = self.members.get(id).filter(|member| member.state != MemberState::Alive)?;
        Some(member.update(id, self.now))
    }
}
