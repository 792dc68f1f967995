//! A stable hash of a router's decisions, by which tests check that two versions of the program decide alike. It
//! covers every action with its fields, in order, and the end reasons. The encoding uses fixed numbers and depends
//! neither on names nor on `Debug`, so that renaming does not change it.

use dewladder_router::interface::{Action, Micros};
use dewladder_router::{EndReason, EndReasons};

/// A running 64-bit FNV-1a hash. See the [module](self).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionHash(u64);

impl Default for DecisionHash {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl DecisionHash {
    /// The hash of everything added so far.
    pub fn value(&self) -> u64 {
        self.0
    }

    /// Adds bytes.
    pub fn bytes(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Adds a number as eight bytes, little-endian.
    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    /// Adds a tag that identifies the kind of record, and the record's fields.
    fn record(&mut self, tag: u64, fields: &[u64]) {
        self.number(tag);
        fields.iter().for_each(|&field| self.number(field));
    }

    /// Adds the actions and end reasons that follow from one event at one dispatcher.
    pub fn record_decisions(
        &mut self,
        dispatcher: usize,
        now: Micros,
        actions: &[Action],
        reasons: &EndReasons,
    ) {
        self.record(0, &[dispatcher as u64, now]);
        actions.iter().for_each(|action| self.action(action));
        for &(id, reason) in reasons {
            let index = EndReason::ALL
                .iter()
                .position(|&other| other == reason)
                .expect("EndReason::ALL lists every reason");
            self.record(9, &[id.0, index as u64]);
        }
    }

    /// Adds an action.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Assign { id, server, attempt_timeout } => {
                self.record(1, &[id.0, u64::from(server.0), *attempt_timeout]);
            }
            Action::Reject { id, retry_in } => self.record(2, &[id.0, *retry_in]),
            Action::Fail(id) => self.record(3, &[id.0]),
            Action::CancelAttempt { id, attempt } => self.record(4, &[id.0, u64::from(*attempt)]),
            Action::ReleaseHeldState(id) => self.record(5, &[id.0]),
            Action::StartTimer { delay, token } => self.record(6, &[*delay, token.0]),
            Action::Subscribe => self.record(7, &[]),
            Action::PublishGossip(bytes) => {
                self.record(8, &[bytes.len() as u64]);
                self.bytes(bytes);
            }
        }
    }
}
