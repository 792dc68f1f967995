//! Merging: how updates, received or made by this instance, change the member table.

use super::Membership;
use crate::events::{Effect, MemberChange};
use crate::member::Member;
use crate::message::Body;
use crate::suspicion::Suspicion;
use crate::update::{MemberState, Update};

impl Membership {
    /// Applies an update if it supersedes the recorded state of the member, counts it if it confirms a suspicion, and
    /// refutes it if it is a false claim about this instance.
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
            return self.merge_unknown_member(update, effects);
        };
        if update.supersedes(member.incarnation, member.state) {
            let previous = member.state;
            *member = Member::new(&update, suspicion_of(&update, self.now), self.now);
            if previous != update.state {
                effects.push(Effect::MemberChanged(MemberChange::new(&update, Some(previous))));
            }
            self.queue.add(update);
        } else if update.incarnation == member.incarnation && update.state == member.state {
            // An independent confirmation is disseminated only if it shortens the suspicion timeout.
            let Some(suspicion) = &mut member.suspicion else { return };
            if suspicion.confirm(update.reported_by, &self.settings) {
                self.queue.add(update);
            }
        }
    }

    /// Whether another instance declares a member dead that this one has not yet suspected for the minimum suspicion
    /// timeout. Such an update is applied as a suspicion. Otherwise, once a partition ends, each side would declare
    /// its own members dead because the other side did so during the partition.
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

    fn merge_unknown_member(&mut self, update: Update, effects: &mut Vec<Effect>) {
        let member = Member::new(&update, suspicion_of(&update, self.now), self.now);
        if !self.members.insert(update.id, member) || !update.state.is_up() {
            return;
        }
        self.prober.add(update.id, &mut self.rng);
        effects.push(Effect::MemberChanged(MemberChange::new(&update, None)));
        self.queue.add(update);
    }

    /// Refutes a claim about this instance by starting a new incarnation, unless the claim is about an old one or
    /// this instance is leaving.
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

/// The suspicion timeout that an update starts; `None` unless its state is suspect.
fn suspicion_of(update: &Update, now: crate::Micros) -> Option<Suspicion> {
    (update.state == MemberState::Suspect).then(|| Suspicion::new(update.reported_by, now))
}
