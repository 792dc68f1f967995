//! Merging: what becomes of an update that arrives, by what this instance knows.

use super::Membership;
use crate::events::{Change, Effect};
use crate::member::Member;
use crate::message::Body;
use crate::suspicion::Suspicion;
use crate::update::{MemberState, Update};

impl Membership {
    /// Takes over an update where it supersedes what is known.
    pub(super) fn merge(&mut self, update: Update, effects: &mut Vec<Effect>) {
        let id = update.id;
        if id == self.id {
            return self.refute(&update, effects);
        }
        if self.is_premature_death(&update) {
            self.merge(Update { state: MemberState::Suspect, age_s: 0, ..update }, effects);
            if let Some(suspicion) = self.members.get_mut(id).and_then(|member| member.suspicion.as_mut()) {
                suspicion.declared_dead = true;
            }
            return;
        }
        let Some(member) = self.members.get_mut(id) else {
            return self.merge_stranger(update, effects);
        };
        if update.supersedes(member.incarnation, member.state) {
            let previous = member.state;
            *member = Member::new(&update, suspicion_of(&update, self.now), self.now);
            if previous != update.state {
                effects.push(Effect::MemberChanged(Change::new(&update, Some(previous))));
            }
            self.queue.add(update);
        } else if update.incarnation == member.incarnation && update.state == member.state {
            // An independent confirmation is disseminated where it shortens the time to refute.
            let Some(suspicion) = &mut member.suspicion else { return };
            if suspicion.confirm(update.reported_by, &self.settings) {
                self.queue.add(update);
            }
        }
    }

    /// Whether another instance declares a member dead that this one has not suspected for the minimum time to refute:
    /// then this one only suspects it. So two sides of a partition, each of which holds the other for dead, do not
    /// kill each other by their updates once the partition is over.
    fn is_premature_death(&self, update: &Update) -> bool {
        let Some(member) = self.members.get(update.id) else { return false };
        if update.state != MemberState::Dead || update.reported_by == self.id || !member.state.is_up() {
            return false;
        }
        if update.incarnation < member.incarnation {
            return false;
        }
        let (min_time, _) = self.settings.suspicion_bounds(self.up());
        match &member.suspicion {
            Some(suspicion) if member.incarnation == update.incarnation => {
                self.now < suspicion.since + min_time
            }
            _ => true,
        }
    }

    fn merge_stranger(&mut self, update: Update, effects: &mut Vec<Effect>) {
        let member = Member::new(&update, suspicion_of(&update, self.now), self.now);
        if !self.members.insert(update.id, member) || !update.state.is_up() {
            return;
        }
        self.prober.add(update.id, &mut self.rng);
        effects.push(Effect::MemberChanged(Change::new(&update, None)));
        self.queue.add(update);
    }

    /// Refutes an update about this instance itself, in a new incarnation.
    fn refute(&mut self, update: &Update, effects: &mut Vec<Effect>) {
        if self.leaving || !update.supersedes(self.incarnation, MemberState::Alive) {
            return;
        }
        self.incarnation = update.incarnation.saturating_add(1);
        self.queue.add(self.own_update());
        if update.state != MemberState::Alive {
            self.counters.refutations += 1;
            self.health.worsen(1);
            effects.push(Effect::Refuted {
                claimed: update.state,
                reported_by: update.reported_by,
                incarnation: self.incarnation,
            });
            self.send_to_member(update.reported_by, Body::Gossip, effects);
        }
        self.gossip(effects);
    }
}

/// The suspicion that an update begins.
fn suspicion_of(update: &Update, now: crate::Micros) -> Option<Suspicion> {
    (update.state == MemberState::Suspect).then(|| Suspicion::new(update.reported_by, now))
}
