//! The member table: what this instance knows about the other members.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::identity::{Address, MemberId};
use crate::settings::Settings;
use crate::suspicion::Suspicion;
use crate::update::{MemberState, Update};
use crate::Micros;

/// The capacity of the member table. Updates about unknown members are ignored when it is full.
const MAX_MEMBERS: usize = 10_000;

/// What this instance knows about another member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's name.
    pub name: String,
    /// The address at which the member receives messages.
    pub address: Address,
    /// The highest incarnation known.
    pub incarnation: u64,
    /// The member's state in that incarnation.
    pub state: MemberState,
    /// When the member entered that state, on this instance's clock.
    pub since: Micros,
    /// The instance that detected the state; the member itself if it announced the state.
    pub reported_by: MemberId,
    /// The running suspicion timeout; `None` unless the member is suspect.
    pub(crate) suspicion: Option<Suspicion>,
}

impl Member {
    /// Creates the entry for the member that an update describes.
    pub(crate) fn new(update: &Update, suspicion: Option<Suspicion>, now: Micros) -> Self {
        Self {
            name: update.name.clone(),
            address: update.address,
            incarnation: update.incarnation,
            state: update.state,
            since: now.saturating_sub(Micros::from(update.age_s) * 1_000_000),
            reported_by: update.reported_by,
            suspicion,
        }
    }

    /// The update that tells other instances of the state recorded here.
    pub(crate) fn update(&self, id: MemberId, now: Micros) -> Update {
        Update {
            id,
            name: self.name.clone(),
            address: self.address,
            incarnation: self.incarnation,
            state: self.state,
            reported_by: self.reported_by,
            age_s: u32::try_from(now.saturating_sub(self.since) / 1_000_000).unwrap_or(u32::MAX),
        }
    }
}

/// The other members known to this instance, including those that are dead or have left.
#[derive(Debug, Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<MemberId, Member>,
}

impl MemberTable {
    pub(crate) fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(&id, member)| (id, member))
    }

    /// Inserts a member. Returns false, and changes nothing, if the table is full.
    pub(crate) fn insert(&mut self, id: MemberId, member: Member) -> bool {
        if self.members.len() >= MAX_MEMBERS {
            return false;
        }
        self.members.insert(id, member);
        true
    }

    pub(crate) fn is_up(&self, id: MemberId) -> bool {
        self.get(id).is_some_and(|member| member.state.is_up())
    }

    /// The number of members that are up.
    pub(crate) fn count_up(&self) -> usize {
        self.members.values().filter(|member| member.state.is_up()).count()
    }

    /// The members that are up, without `except`.
    pub(crate) fn up_except(&self, except: Option<MemberId>) -> Vec<MemberId> {
        let members_up = self.iter().filter(|(id, member)| member.state.is_up() && Some(*id) != except);
        members_up.map(|(id, _)| id).collect()
    }

    /// Draws up to `count` distinct members at random from those that are up, without `except`.
    pub(crate) fn sample_up(
        &self,
        count: usize,
        except: Option<MemberId>,
        rng: &mut impl RngCore,
    ) -> Vec<MemberId> {
        let mut members_up = self.up_except(except);
        for index in 0..count.min(members_up.len()) {
            let other = index + rng.next_u64() as usize % (members_up.len() - index);
            members_up.swap(index, other);
        }
        members_up.truncate(count);
        members_up
    }

    /// Extends the suspicion timeout of every suspected member.
    pub(crate) fn extend_suspicions(&mut self, by: Micros) {
        for member in self.members.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.since += by;
            }
        }
    }

    /// The members whose suspicion timeout has expired, in a cluster of `members_up` members.
    pub(crate) fn expired_suspicions(
        &self,
        now: Micros,
        members_up: usize,
        settings: &Settings,
    ) -> Vec<Update> {
        let mut expired = Vec::new();
        for (id, member) in self.iter() {
            let Some(suspicion) = &member.suspicion else { continue };
            if suspicion.ends_at(members_up, settings) <= now {
                expired.push(member.update(id, now));
            }
        }
        expired
    }

    /// Removes members that have been dead, or have left, for at least `retention`.
    pub(crate) fn remove_expired(&mut self, now: Micros, retention: Micros) {
        self.members.retain(|_, member| member.state.is_up() || now < member.since + retention);
    }
}
