//! Cluster membership as one instance sees it: SWIM failure detection with Lifeguard's refinements, so that lost
//! messages, one-way network failures and pauses of the observing process are not mistaken for dead members.
//!
//! The crate does no I/O and reads no clock: [`Membership::handle`] takes an [`Event`] and the current time, and
//! appends [`Effect`]s for its caller to carry out. `docs/design/membership.md` compares the alternatives, states the
//! bounds on detection and recovery times for each kind of fault, and lists the sources.
//!
//! | module | contents |
//! | --- | --- |
//! | [`Membership`] | the state machine: probing, suspicion, refutation, joining, leaving, anti-entropy |
//! | [`Settings`] | timeouts, intervals and counts, and their validation |
//! | [`Update`], [`MemberState`] | a member's reported state, and the rule by which one report supersedes another |
//! | [`codec`] | datagram encoding: version, channel, cluster, HMAC |
//!
//! Modules depend on each other in one direction: `identity` and `update` at the bottom, then `settings`,
//! `suspicion`,
//! `member`, `message`, `codec`, `dissemination`, and `membership` on top.

pub mod codec;
mod dissemination;
mod events;
mod identity;
mod local_health;
mod member;
mod membership;
mod message;
mod settings;
mod suspicion;
mod update;

pub use events::{Counters, Effect, Event, MemberChange};
pub use identity::{Address, MemberId};
pub use member::Member;
pub use membership::Membership;
pub use message::{Body, Message};
pub use settings::{InvalidSettings, Settings};
pub use suspicion::Suspicion;
pub use update::{MemberState, Update};

/// A reading of the instance's clock, or a duration, in microseconds.
pub type Micros = u64;
