//! Anti-entropy: whole states are exchanged with one member that is up, and with one that is held for dead or a seed
//! that is not among the members. The latter is how the two sides of a partition find each other again.

use super::Membership;
use crate::codec::MAX_UPDATES_BYTES;
use crate::events::Effect;
use crate::identity::Address;
use crate::message::{Body, Message};
use crate::update::{MemberState, Update};
use crate::Micros;

use rand_core::RngCore;

/// An instance that is alone looks for so many lost members and seeds at once.
const LOST_AT_ONCE_WHEN_ALONE: usize = 8;

impl Membership {
    /// Exchanges states where that is due.
    pub(super) fn sync_if_due(&mut self, effects: &mut Vec<Effect>) {
        if self.now < self.next_sync_at {
            return;
        }
        let partner = self.members.draw_up(1, None, &mut self.rng).pop();
        let is_alone = partner.is_none();
        self.schedule_sync(is_alone);
        if let Some(member) = partner.and_then(|id| self.members.get(id)) {
            self.send_state(member.address, true, effects);
        }
        let mut lost = self.lost_addresses();
        let count = if is_alone { LOST_AT_ONCE_WHEN_ALONE } else { 1 };
        for _ in 0..count {
            if lost.is_empty() {
                break;
            }
            let address = lost.swap_remove(self.rng.next_u64() as usize % lost.len());
            self.send_state(address, true, effects);
        }
    }

    /// Schedules the next exchange, between a half and one and a half intervals from now.
    fn schedule_sync(&mut self, is_alone: bool) {
        let interval: Micros =
            if is_alone { self.settings.probe_interval } else { self.settings.sync_interval };
        self.next_sync_at = self.now + interval / 2 + self.rng.next_u64() % interval.max(2);
    }

    /// Addresses of dead members and seeds at which no member is up, each once, in order.
    fn lost_addresses(&self) -> Vec<Address> {
        let mut in_use = vec![self.settings.address];
        let mut lost = self.settings.seeds.clone();
        for (_, member) in self.members.iter() {
            if member.state.is_up() {
                in_use.push(member.address);
            } else if member.state == MemberState::Dead {
                lost.push(member.address);
            }
        }
        lost.retain(|address| !in_use.contains(address));
        lost.sort_unstable();
        lost.dedup();
        lost
    }

    /// Sends all that this instance knows, in as many messages as it takes; the last one asks for the receiver's state.
    pub(super) fn send_state(&self, to: Address, wants_reply: bool, effects: &mut Vec<Effect>) {
        let parts = self.state_in_parts();
        let last = parts.len() - 1;
        for (at, updates) in parts.into_iter().enumerate() {
            let body = Body::Sync { wants_reply: wants_reply && at == last };
            let message = Message { sender: self.own_update(), body, updates };
            effects.push(Effect::Send { to, message });
        }
    }

    /// Updates about all members, in parts that each fit into a message; one part at least.
    fn state_in_parts(&self) -> Vec<Vec<Update>> {
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut room_bytes = MAX_UPDATES_BYTES;
        for (id, member) in self.members.iter() {
            let update = member.update(id, self.now);
            let bytes = update.max_encoded_bytes();
            if bytes > room_bytes {
                parts.push(std::mem::take(&mut part));
                room_bytes = MAX_UPDATES_BYTES;
            }
            room_bytes -= bytes;
            part.push(update);
        }
        parts.push(part);
        parts
    }
}
