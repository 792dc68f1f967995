//! A running instance: feeds the state machines [`Membership`] and [`Replica`] with events, and carries out their
//! effects.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use dewladder_membership::codec::{Codec, OpenError};
use dewladder_membership::{Effect, Event, MemberChange, MemberId, MemberState, Membership};
use dewladder_replica::{self as replica, Note, Replica};
use log::{debug, info, warn};
use tokio::net::UdpSocket;

use super::quorum::{PendingOffers, QuorumRequest};
use super::socket;
use super::view::View;
use crate::edge::clock::Clock;

/// A running instance: its state machines, socket and clock.
pub(super) struct Instance {
    /// The codec of membership's datagrams.
    pub(super) codec: Codec,
    /// The codec of the replica's datagrams.
    pub(super) replica_codec: Codec,
    pub(super) membership: Membership,
    pub(super) replica: Option<Replica>,
    pub(super) pending_offers: PendingOffers,
    pub(super) socket: UdpSocket,
    pub(super) clock: Clock,
    pub(super) view: View,
}

impl Instance {
    /// Handles a received datagram. Without a replica, datagrams for it are rejected as foreign ones.
    pub(super) fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        let result = if self.replica.is_some() && self.replica_codec.matches_channel(datagram) {
            self.receive_for_replica(datagram)
        } else {
            self.receive_for_membership(datagram)
        };
        if let Err(error) = result {
            self.count_rejected(error, from);
        }
    }

    fn receive_for_replica(&mut self, datagram: &[u8]) -> Result<(), OpenError> {
        let (from, message) = self.replica_codec.open_body::<(MemberId, replica::Message)>(datagram)?;
        self.handle_replica_event(replica::Event::MessageReceived { from, message });
        Ok(())
    }

    fn receive_for_membership(&mut self, datagram: &[u8]) -> Result<(), OpenError> {
        let message = self.codec.open(datagram)?;
        self.handle_membership_event(Event::MessageReceived(message));
        Ok(())
    }

    fn count_rejected(&self, error: OpenError, from: SocketAddr) {
        if self.view.count_rejected(error) {
            warn!(address:% = from, reason:% = error;
                "cluster: datagram refused; further ones of this kind are only counted");
        }
    }

    /// Passes a front's message on to the replica.
    pub(super) fn handle_quorum_request(&mut self, request: QuorumRequest) {
        let event = self.pending_offers.handle_request(request);
        self.handle_replica_event(event);
    }

    /// Passes a timer event to both state machines.
    pub(super) fn tick(&mut self) {
        self.handle_membership_event(Event::Tick);
        self.handle_replica_event(replica::Event::Tick);
    }

    /// Notifies other members that this instance leaves.
    pub(super) fn leave(&mut self) {
        self.handle_membership_event(Event::Leave);
        info!("cluster: leaving; other members are told");
    }

    /// Updates what the admin address shows.
    pub(super) fn update_view(&self) {
        self.view.update(&self.membership, self.replica.as_ref(), self.clock.now());
    }

    fn handle_membership_event(&mut self, event: Event) {
        let mut effects = Vec::new();
        self.membership.handle(self.clock.now(), event, &mut effects);
        let mut needs_update = false;
        for effect in effects {
            needs_update |= !matches!(effect, Effect::Send { .. });
            self.execute_effect(effect);
        }
        if needs_update {
            let up: BTreeSet<MemberId> = self.membership.others_up().into_iter().collect();
            self.handle_replica_event(replica::Event::MembersUp(up));
            self.update_view();
        }
    }

    fn execute_effect(&self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => socket::send(&self.socket, to, self.codec.seal(&message)),
            Effect::MemberChanged(change) => log_change(&change, self.membership.up()),
            Effect::Refuted { claimed, reported_by, incarnation } => {
                info!(claimed = claimed.name(), reported_by:% = hex_id(reported_by), incarnation;
                    "cluster: claim about this instance refuted");
            }
            Effect::Paused(elapsed_us) => {
                warn!(elapsed_us; "cluster: this process was paused; timeouts do not count that time");
            }
        }
    }

    fn handle_replica_event(&mut self, event: replica::Event) {
        let Some(replica) = &mut self.replica else { return };
        let mut effects = Vec::new();
        replica.handle(self.clock.now(), event, &mut effects);
        for effect in effects {
            self.execute_replica_effect(effect);
        }
    }

    fn execute_replica_effect(&mut self, effect: replica::Effect) {
        match effect {
            replica::Effect::Send { to, message } => self.send_for_replica(to, message),
            replica::Effect::Granted(offer) => self.pending_offers.answer(offer, Ok(())),
            replica::Effect::Denied(offer, denial) => self.pending_offers.answer(offer, Err(denial)),
            replica::Effect::CaughtUp(range) => self.log_caught_up(range),
            replica::Effect::NoteReceived(note) => log_note(&note),
        }
    }

    /// Sends a message of the replica. A message to a member whose address is not known is dropped; the replica sends
    /// it again.
    fn send_for_replica(&self, to: MemberId, message: replica::Message) {
        let body = (self.membership.own_update().id, message);
        if let Some(address) = self.membership.address_of(to) {
            socket::send(&self.socket, address, self.replica_codec.seal_body(&body));
        }
    }

    fn log_caught_up(&self, range: usize) {
        let ranges_behind = self.replica.as_ref().map_or(0, Replica::ranges_behind);
        debug!(range, ranges_behind; "cluster: range caught up");
        if ranges_behind == 0 {
            info!("cluster: all ranges caught up; this instance holds records for others");
            self.update_view();
        }
    }
}

fn hex_id(id: MemberId) -> String {
    format!("{:016x}", id.0)
}

fn log_change(change: &MemberChange, members_up: usize) {
    let previous = change.previous.map_or("unknown", MemberState::name);
    info!(member = change.name.as_str(), state = change.state.name(), previous,
        incarnation = change.incarnation, address:% = change.address,
        reported_by:% = hex_id(change.reported_by), members_up; "cluster: member changed");
}

fn log_note(note: &Note) {
    debug!(server:% = format!("{:016x}", note.server), status:? = note.status,
        reported_by:% = hex_id(note.timestamp.writer); "cluster: note about a server received");
}
