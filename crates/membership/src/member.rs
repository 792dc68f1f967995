//! Members, as this instance knows them, and the table of them.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::identity::{Address, MemberId};
use crate::settings::Settings;
use crate::suspicion::Suspicion;
use crate::update::{MemberState, Update};
use crate::Micros;

/// Members that are remembered; updates about further strangers are not taken.
const MAX_MEMBERS: usize = 10_000;

/// A member, as this instance knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it receives messages.
    pub address: Address,
    /// The latest incarnation known.
    pub incarnation: u64,
    /// Its state in that incarnation.
    pub state: MemberState,
    /// Since when it is in that state.
    pub since: Micros,
    /// Who found that state.
    pub reported_by: MemberId,
    /// The running time to refute, where it is suspected.
    pub(crate) suspicion: Option<Suspicion>,
}

impl Member {
    /// The member that an update describes.
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

    /// What this instance says of the member.
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

/// The other members that this instance knows, dead ones included.
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

    /// Adds a member; false where the table is full.
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

    /// How many are up.
    pub(crate) fn count_up(&self) -> usize {
        self.members.values().filter(|member| member.state.is_up()).count()
    }

    /// Those that are up, but for one.
    pub(crate) fn up_except(&self, except: Option<MemberId>) -> Vec<MemberId> {
        let up = self.iter().filter(|(id, member)| member.state.is_up() && Some(*id) != except);
        up.map(|(id, _)| id).collect()
    }

    /// So many different ones that are up, but for one, drawn at random; all where there are fewer.
    pub(crate) fn draw_up(
        &self,
        count: usize,
        except: Option<MemberId>,
        rng: &mut impl RngCore,
    ) -> Vec<MemberId> {
        let mut up = self.up_except(except);
        for at in 0..count.min(up.len()) {
            let other = at + rng.next_u64() as usize % (up.len() - at);
            up.swap(at, other);
        }
        up.truncate(count);
        up
    }

    /// Gives all suspected members so much more time to refute.
    pub(crate) fn extend_suspicions(&mut self, by: Micros) {
        for member in self.members.values_mut() {
            if let Some(suspicion) = &mut member.suspicion {
                suspicion.since += by;
            }
        }
    }

    /// Suspected members whose time to refute is over, in a cluster of so many members that are up.
    pub(crate) fn expired_suspicions(&self, now: Micros, up: usize, settings: &Settings) -> Vec<Update> {
        let mut expired = Vec::new();
        for (id, member) in self.iter() {
            let Some(suspicion) = &member.suspicion else { continue };
            if suspicion.ends_at(up, settings) <= now {
                expired.push(member.update(id, now));
            }
        }
        expired
    }

    /// Forgets members that have been dead or gone for so long.
    pub(crate) fn forget_dead(&mut self, now: Micros, retention: Micros) {
        self.members.retain(|_, member| member.state.is_up() || now < member.since + retention);
    }
}
