//! Which instances of a cluster are alive, as one instance sees it: failure detection after SWIM, with Lifeguard's
//! refinements, so that lost messages, one-way network failures and pauses of the observer are not taken for deaths.
//!
//! No sockets, clocks or files: [`Membership::handle`] takes an [`Event`] with the time, and adds [`Effect`]s.
//! `docs/design/membership.md` compares the alternatives, has the bounds that each fault costs, and names the sources.
//!
//! | module | contents |
//! | --- | --- |
//! | [`Membership`] | the state machine: probing, suspicion, refutation, joining, leaving, anti-entropy |
//! | [`Settings`] | times and counts, checked as a whole |
//! | [`Update`], [`MemberState`] | a statement about a member, and which of two statements supersedes the other |
//! | [`codec`] | messages as bytes: version, cluster, HMAC |
//!
//! Modules depend on each other in one direction: `identity` and `update` at the bottom, then `settings`, `suspicion`,
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

pub use events::{Change, Counters, Effect, Event};
pub use identity::{Address, MemberId};
pub use member::Member;
pub use membership::Membership;
pub use message::{Body, Message};
pub use settings::{InvalidSettings, Settings};
pub use suspicion::Suspicion;
pub use update::{MemberState, Update};

/// A point on the instance's clock, or a length of time, in microseconds.
pub type Micros = u64;
