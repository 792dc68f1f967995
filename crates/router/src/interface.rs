//! The types exchanged between a dispatcher and its [`Router`](crate::Router): the settings passed at start,
//! input events, and the actions that the router returns. This module contains no decision logic.
//!
//! All times are whole microseconds. [`Micros`] is used both for timestamps on the dispatcher's clock and for
//! durations.

mod ids;
mod messages;
mod requests;
mod servers;
mod settings;

pub use ids::{CellId, Key, Micros, RequestId, ServerId, TimerToken, ZoneId};
pub use messages::{Action, Event};
pub use requests::{AttemptFinished, HeldStateAfter, Outcome, RequestInfo};
pub use servers::{report_field, Health, ListUpdateKind, Report, ServerEntry, REPORT_FIELDS};
pub use settings::{Class, DedupGroup, Effect, Kind, Role, Settings};
