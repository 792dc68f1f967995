//! Probing: this instance probes one member at a time, first directly, then through other members, and relays the
//! probes of others.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::identity::{Address, MemberId};
use crate::member::MemberTable;
use crate::settings::Settings;
use crate::Micros;

/// The maximum number of open indirect probes that are relayed for others. Further requests get no answer.
const MAX_RELAYS: usize = 256;

/// The probe in progress.
#[derive(Debug)]
struct Probe {
    target: MemberId,
    nonce: u32,
    /// When indirect probes are requested.
    indirect_at: Micros,
    /// When the probe fails if it has not been answered.
    ends_at: Micros,
    /// How many members were asked to probe the target indirectly.
    requests: u32,
    /// How many of them reported that the target did not answer them either.
    nacks: u32,
    is_answered: bool,
}

/// A probe that ended without a direct or indirect answer.
#[derive(Debug)]
pub(super) struct FailedProbe {
    pub(super) target: MemberId,
    /// By how much the failure raises this instance's local health score: one for each member that was asked for an
    /// indirect probe and did not even send a nack, because the fault may then be at this instance. One as well if no
    /// member was asked.
    pub(super) health_penalty: u32,
}

/// Selects the members to probe and tracks the probe in progress. Each round probes every member once in random
/// order, which bounds the time until any given member is probed next.
#[derive(Debug)]
pub(super) struct Prober {
    /// The members still to be probed in this round; the next one is last.
    round: Vec<MemberId>,
    current: Option<Probe>,
    next_at: Micros,
}

impl Prober {
    /// Creates a prober whose first probe is due at `first_at`.
    pub(super) fn new(first_at: Micros) -> Self {
        Self { round: Vec::new(), current: None, next_at: first_at }
    }

    /// Inserts a new member at a random position in the current round, so that members that join together are not all
    /// probed next.
    pub(super) fn add(&mut self, id: MemberId, rng: &mut impl RngCore) {
        let position = rng.next_u64() as usize % (self.round.len() + 1);
        self.round.insert(position, id);
    }

    /// Whether the next probe is due.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        self.current.is_none() && now >= self.next_at
    }

    /// Selects the member to probe now, and schedules the probe after this one at `next_at`. `None` if no member is
    /// up.
    pub(super) fn next_target(
        &mut self,
        next_at: Micros,
        members: &MemberTable,
        rng: &mut impl RngCore,
    ) -> Option<MemberId> {
        self.next_at = next_at;
        if self.round.is_empty() {
            self.round = members.up_except(None);
            shuffle(&mut self.round, rng);
        }
        while let Some(id) = self.round.pop() {
            if members.is_up(id) {
                return Some(id);
            }
        }
        None
    }

    /// Starts a probe, which ends when the next one is due.
    pub(super) fn begin(&mut self, target: MemberId, nonce: u32, indirect_at: Micros) {
        self.current = Some(Probe {
            target,
            nonce,
            indirect_at,
            ends_at: self.next_at,
            requests: 0,
            nacks: 0,
            is_answered: false,
        });
    }

    /// The target and nonce of the current probe, if indirect probes have to be requested for it now.
    pub(super) fn indirect_due(&self, now: Micros) -> Option<(MemberId, u32)> {
        let probe = self.current.as_ref()?;
        let is_due = now >= probe.indirect_at && now < probe.ends_at;
        let is_pending = !probe.is_answered && probe.requests == 0;
        (is_due && is_pending).then_some((probe.target, probe.nonce))
    }

    /// Records how many indirect probes were requested. Even if there was no member to ask, the request is not
    /// repeated at the following ticks.
    pub(super) fn indirect_requested(&mut self, requests: u32) {
        if let Some(probe) = &mut self.current {
            probe.requests = requests;
            probe.indirect_at = probe.ends_at;
        }
    }

    /// Ends the current probe if its time is over. Returns its failure unless it was answered.
    pub(super) fn end(&mut self, now: Micros) -> Option<FailedProbe> {
        let probe = self.current.take_if(|probe| now >= probe.ends_at)?;
        if probe.is_answered {
            return None;
        }
        let missing_nacks = probe.requests.saturating_sub(probe.nacks);
        let health_penalty = if probe.requests == 0 { 1 } else { missing_nacks };
        Some(FailedProbe { target: probe.target, health_penalty })
    }

    /// Handles an ack. Returns whether it is the first answer to the current probe.
    pub(super) fn acknowledge(&mut self, nonce: u32) -> bool {
        match &mut self.current {
            Some(probe) if probe.nonce == nonce && !probe.is_answered => {
                probe.is_answered = true;
                true
            }
            _ => false,
        }
    }

    /// Counts a nack, by which a relaying member reports that the target did not answer it either.
    pub(super) fn count_nack(&mut self, nonce: u32) {
        if let Some(probe) = &mut self.current {
            if probe.nonce == nonce {
                probe.nacks += 1;
            }
        }
    }

    /// Drops the current probe without a result, and schedules the next one at `next_at`.
    pub(super) fn abort(&mut self, next_at: Micros) {
        self.current = None;
        self.next_at = next_at;
    }
}

/// An indirect probe that is relayed for another member.
#[derive(Debug)]
struct Relay {
    requester: Address,
    requester_nonce: u32,
    nack_at: Micros,
    ends_at: Micros,
    nack_sent: bool,
}

/// The requester of an indirect probe, and the nonce of its request: where an ack or nack goes.
#[derive(Debug)]
pub(super) struct RelayAnswer {
    pub(super) to: Address,
    pub(super) nonce: u32,
}

/// The indirect probes that this instance relays for others, by the nonce of the ping that it sent.
#[derive(Debug, Default)]
pub(super) struct Relays {
    open: BTreeMap<u32, Relay>,
}

impl Relays {
    /// Whether another indirect probe can be relayed.
    pub(super) fn has_capacity(&self) -> bool {
        self.open.len() < MAX_RELAYS
    }

    /// Records an indirect probe whose ping has the nonce `own_nonce`.
    pub(super) fn begin(&mut self, own_nonce: u32, answer: RelayAnswer, now: Micros, settings: &Settings) {
        let relay = Relay {
            requester: answer.to,
            requester_nonce: answer.nonce,
            nack_at: now + settings.probe_timeout * 4 / 5,
            ends_at: now + settings.probe_interval * 4,
            nack_sent: false,
        };
        self.open.insert(own_nonce, relay);
    }

    /// Ends an indirect probe that was answered, and returns where to send the ack.
    pub(super) fn acknowledge(&mut self, own_nonce: u32) -> Option<RelayAnswer> {
        let relay = self.open.remove(&own_nonce)?;
        Some(RelayAnswer { to: relay.requester, nonce: relay.requester_nonce })
    }

    /// Drops expired indirect probes, and returns where to send the nacks that are due now.
    pub(super) fn due_nacks(&mut self, now: Micros) -> Vec<RelayAnswer> {
        self.open.retain(|_, relay| now < relay.ends_at);
        let mut due = Vec::new();
        for relay in self.open.values_mut() {
            if now >= relay.nack_at && !relay.nack_sent {
                relay.nack_sent = true;
                due.push(RelayAnswer { to: relay.requester, nonce: relay.requester_nonce });
            }
        }
        due
    }

    /// Drops all relayed probes, without acks or nacks.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}

fn shuffle(round: &mut [MemberId], rng: &mut impl RngCore) {
    for index in (1..round.len()).rev() {
        let other = rng.next_u64() as usize % (index + 1);
        round.swap(index, other);
    }
}
