//! The types that pass between a dispatcher and its [`Router`](crate::Router): settings handed over at start,
//! events that tell what happened, and actions that say what to do. Nothing here decides anything.
//!
//! All times are whole microseconds. [`Micros`] serves for points on the dispatcher's clock and for lengths.

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
