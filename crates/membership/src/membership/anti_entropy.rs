//! Anti-entropy: in each round, this instance exchanges member tables with one member that is up, and tries to
//! contact one address at which no member is up: that of a dead member or a seed. The second step is how an instance
//! joins, and how the two sides of a network partition find each other again.

use super::Membership;
use crate::codec::MAX_UPDATES_BYTES;
use crate::events::Effect;
use crate::identity::Address;
use crate::message::{Body, Message};
use crate::update::{MemberState, Update};
use crate::Micros;

use rand_core::RngCore;

/// How many addresses without a member that is up are contacted in one round while no other member is up.
const REJOIN_CONTACTS_WHEN_ALONE: usize = 8;

impl Membership {
    /// Starts a round of anti-entropy if one is due.
    pub(super) fn sync_if_due(&mut self, effects: &mut Vec<Effect>) {
        if self.now < self.next_sync_at {
            return;
        }
        let partner = self.members.sample_up(1, None, &mut self.rng).pop();
        let is_alone = partner.is_none();
        self.schedule_sync(is_alone);
        if let Some(member) = partner.and_then(|id| self.members.get(id)) {
            self.send_table(member.address, true, effects);
        }
        let mut candidates = self.rejoin_addresses();
        let count = if is_alone { REJOIN_CONTACTS_WHEN_ALONE } else { 1 };
        for _ in 0..count {
            if candidates.is_empty() {
                break;
            }
            let address = candidates.swap_remove(self.rng.next_u64() as usize % candidates.len());
            self.send_table(address, true, effects);
        }
    }

    /// Schedules the next round at a random time between half an interval and one and a half intervals from now.
    fn schedule_sync(&mut self, is_alone: bool) {
        let interval: Micros =
            if is_alone { self.settings.probe_interval } else { self.settings.sync_interval };
        self.next_sync_at = self.now + interval / 2 + self.rng.next_u64() % interval.max(2);
    }

    /// The addresses of dead members and seeds at which no member is up, sorted and without duplicates.
    fn rejoin_addresses(&self) -> Vec<Address> {
        let mut in_use = vec![self.settings.address];
        let mut candidates = self.settings.seeds.clone();
        for (_, member) in self.members.iter() {
            if member.state.is_up() {
                in_use.push(member.address);
            } else if member.state == MemberState::Dead {
                candidates.push(member.address);
            }
        }
        candidates.retain(|address| !in_use.contains(address));
        candidates.sort_unstable();
        candidates.dedup();
        candidates
    }

    /// Sends the member table in as many messages as it needs. With `wants_reply`, the last one asks for the
    /// receiver's table in return.
    pub(super) fn send_table(&self, to: Address, wants_reply: bool, effects: &mut Vec<Effect>) {
        let parts = self.table_in_parts();
        let last = parts.len() - 1;
        for (index, updates) in parts.into_iter().enumerate() {
            let body = Body::Sync { wants_reply: wants_reply && index == last };
            let message = Message { sender: self.own_update(), body, updates };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Updates about all other members, split into parts that each fit into a message. There is at least one part,
    /// which may be empty.
    fn table_in_parts(&self) -> Vec<Vec<Update>> {
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut remaining_bytes = MAX_UPDATES_BYTES;
        for (id, member) in self.members.iter() {
            let update = member.update(id, self.now);
            let bytes = update.max_encoded_bytes();
            if bytes > remaining_bytes {
                parts.push(std::mem::take(&mut part));
                remaining_bytes = MAX_UPDATES_BYTES;
            }
            remaining_bytes -= bytes;
            part.push(update);
        }
        parts.push(part);
        parts
    }
}
