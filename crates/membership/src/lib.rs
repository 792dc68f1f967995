//! Which instances of a cluster are alive, as one instance sees it: failure detection after SWIM, with Lifeguard's
//! refinements, so that lost messages, cuts in one direction and pauses of the observer itself are not taken for deaths.
//!
//! No sockets, clocks or files: [`Membership::handle`] takes an [`Event`] with the time, and adds [`Effect`]s.
//! `docs/design/membership.md` weighs the ways, has the bounds that each fault costs, and names the sources.
//!
//! | part | what it holds |
//! | --- | --- |
//! | [`Membership`] | the state machine: probes, suspicion, refutation, joining, leaving, anti-entropy |
//! | [`Settings`] | times and counts, checked whole |
//! | [`Update`], [`Standing`] | what is said of a member, and which of two sayings holds |
//! | [`codec`] | messages as bytes: version, cluster, HMAC |

pub mod codec;
mod gossip;
mod health;
mod member;
mod membership;
mod settings;
mod suspicion;

pub use member::{Member, MemberId, Place, Standing, Update};
pub use membership::{Body, Change, Counts, Effect, Event, Membership, Message};
pub use settings::{BadSettings, Settings};

/// A point on the instance's clock, or a length of time, in microseconds.
pub type Micros = u64;
