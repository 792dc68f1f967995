//! A stable hash of what a router decides, so that two versions of the program can be shown to decide alike: every
//! action with its fields, in the order in which they came, and the reasons of answers. The encoding is written out
//! by hand with fixed numbers, so that no name and no `Debug` has a part in it.

use dewladder_router::interface::{Action, Micros};
use dewladder_router::{EndReason, EndReasons};

/// 64-bit FNV-1a over everything that it is given. See the [module](self).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionHash(u64);

impl Default for DecisionHash {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl DecisionHash {
    /// The hash of all that was taken in so far.
    pub fn value(&self) -> u64 {
        self.0
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    fn numbers(&mut self, tag: u64, fields: &[u64]) {
        self.number(tag);
        fields.iter().for_each(|&field| self.number(field));
    }

    /// What one event at one dispatcher led to.
    pub fn decided(&mut self, dispatcher: usize, now: Micros, actions: &[Action], reasons: &EndReasons) {
        self.numbers(0, &[dispatcher as u64, now]);
        actions.iter().for_each(|action| self.action(action));
        for &(id, reason) in reasons {
            let place = EndReason::ALL.iter().position(|&other| other == reason).expect("all are listed");
            self.numbers(9, &[id.0, place as u64]);
        }
    }

    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Assign { id, server, attempt_timeout } => {
                self.numbers(1, &[id.0, u64::from(server.0), *attempt_timeout]);
            }
            Action::Reject { id, retry_in } => self.numbers(2, &[id.0, *retry_in]),
            Action::Fail(id) => self.numbers(3, &[id.0]),
            Action::CancelAttempt { id, attempt } => self.numbers(4, &[id.0, u64::from(*attempt)]),
            Action::ReleaseHeldState(id) => self.numbers(5, &[id.0]),
            Action::StartTimer { delay, token } => self.numbers(6, &[*delay, token.0]),
            Action::Subscribe => self.numbers(7, &[]),
            Action::PublishGossip(bytes) => {
                self.numbers(8, &[bytes.len() as u64]);
                self.bytes(bytes);
            }
        }
    }
}
