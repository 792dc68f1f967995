//! State that a dispatcher keeps of requests, servers, cells and stages. The records contain no rules.

pub(crate) mod cell;
pub(crate) mod class_work;
pub(crate) mod request;
pub(crate) mod server;
pub(crate) mod stage;

pub(crate) use cell::CellBalance;
pub(crate) use request::{Attempt, HeldState, PossibleRun, RequestState};
pub(crate) use server::{Server, ServerStatistics};
pub(crate) use stage::{Stage, StageStatistics};
