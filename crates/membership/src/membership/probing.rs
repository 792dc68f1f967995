//! Probing: one member at a time, first directly, then through others; and probes made for others.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::identity::{Address, MemberId};
use crate::member::MemberTable;
use crate::settings::Settings;
use crate::Micros;

/// Indirect probes made for others at once; further requests are not served, and get no answer.
const MAX_RELAYS: usize = 256;

/// A probe that waits for its answer.
#[derive(Debug)]
struct Probe {
    target: MemberId,
    nonce: u32,
    /// When others are asked to probe the target.
    indirect_at: Micros,
    /// When it has failed.
    ends_at: Micros,
    /// How many others were asked to probe the target.
    requests: u32,
    /// How many of those said that they got no answer either.
    nacks: u32,
    is_answered: bool,
}

/// A probe that ended without an answer.
#[derive(Debug)]
pub(super) struct FailedProbe {
    pub(super) target: MemberId,
    /// What it adds to the score of this instance's own health: one for each member that was asked to probe the target
    /// and did not even answer that it got no answer. Then the fault may be here.
    pub(super) health_penalty: u32,
}

/// The probes of this instance. Members are probed in a random order, each once in a round, so that the time until the
/// next probe of each is bounded.
#[derive(Debug)]
pub(super) struct Prober {
    /// Still to be probed in this round, the next one last.
    round: Vec<MemberId>,
    current: Option<Probe>,
    next_at: Micros,
}

impl Prober {
    /// A prober whose first probe is due at a time.
    pub(super) fn new(first_at: Micros) -> Self {
        Self { round: Vec::new(), current: None, next_at: first_at }
    }

    /// Adds a new member at a random position of this round, so that new ones are not all probed at once.
    pub(super) fn add(&mut self, id: MemberId, rng: &mut impl RngCore) {
        let position = rng.next_u64() as usize % (self.round.len() + 1);
        self.round.insert(position, id);
    }

    /// Whether the next probe is due.
    pub(super) fn is_due(&self, now: Micros) -> bool {
        self.current.is_none() && now >= self.next_at
    }

    /// Schedules the probe after the one that is due now, and draws whom to probe now. `None` where no member is up.
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

    /// Begins a probe, which lasts until the next one is due.
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

    /// The target and nonce of a probe that has to be made through others now.
    pub(super) fn indirect_due(&self, now: Micros) -> Option<(MemberId, u32)> {
        let probe = self.current.as_ref()?;
        let is_due = now >= probe.indirect_at && now < probe.ends_at;
        let is_open = !probe.is_answered && probe.requests == 0;
        (is_due && is_open).then_some((probe.target, probe.nonce))
    }

    /// So many others were asked. Where nobody could be asked, that is not tried again at each tick.
    pub(super) fn indirect_requested(&mut self, requests: u32) {
        if let Some(probe) = &mut self.current {
            probe.requests = requests;
            probe.indirect_at = probe.ends_at;
        }
    }

    /// Ends the probe whose time is over; the result is given where it has failed.
    pub(super) fn end(&mut self, now: Micros) -> Option<FailedProbe> {
        let probe = self.current.take_if(|probe| now >= probe.ends_at)?;
        if probe.is_answered {
            return None;
        }
        let missing_nacks = probe.requests.saturating_sub(probe.nacks);
        let health_penalty = if probe.requests == 0 { 1 } else { missing_nacks };
        Some(FailedProbe { target: probe.target, health_penalty })
    }

    /// Takes an answer; whether it is the first one to the current probe.
    pub(super) fn acknowledge(&mut self, nonce: u32) -> bool {
        match &mut self.current {
            Some(probe) if probe.nonce == nonce && !probe.is_answered => {
                probe.is_answered = true;
                true
            }
            _ => false,
        }
    }

    /// Takes the word of one that was asked to probe the target that it got no answer either.
    pub(super) fn count_nack(&mut self, nonce: u32) {
        if let Some(probe) = &mut self.current {
            if probe.nonce == nonce {
                probe.nacks += 1;
            }
        }
    }

    /// Drops the current probe without a result.
    pub(super) fn abort(&mut self, next_at: Micros) {
        self.current = None;
        self.next_at = next_at;
    }
}

/// An indirect probe, made for another member.
#[derive(Debug)]
struct Relay {
    requester: Address,
    requester_nonce: u32,
    nack_at: Micros,
    ends_at: Micros,
    nack_sent: bool,
}

/// Where the answer to an indirect probe goes, and with which nonce.
#[derive(Debug)]
pub(super) struct RelayAnswer {
    pub(super) to: Address,
    pub(super) nonce: u32,
}

/// The indirect probes that this instance makes for others, by their own nonces.
#[derive(Debug, Default)]
pub(super) struct Relays {
    open: BTreeMap<u32, Relay>,
}

impl Relays {
    /// Whether one more is served.
    pub(super) fn has_room(&self) -> bool {
        self.open.len() < MAX_RELAYS
    }

    /// Begins an indirect probe with a nonce of its own.
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

    /// Ends an indirect probe that was answered; whom to pass the answer on to.
    pub(super) fn acknowledge(&mut self, own_nonce: u32) -> Option<RelayAnswer> {
        let relay = self.open.remove(&own_nonce)?;
        Some(RelayAnswer { to: relay.requester, nonce: relay.requester_nonce })
    }

    /// Drops those that are over; whom to tell now that there was no answer so far.
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

    /// Drops all of them.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}

fn shuffle(round: &mut [MemberId], rng: &mut impl RngCore) {
    for at in (1..round.len()).rev() {
        let other = rng.next_u64() as usize % (at + 1);
        round.swap(at, other);
    }
}
