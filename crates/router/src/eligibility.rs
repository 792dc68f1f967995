//! Eligibility: to which servers a request may be sent, and which of them look able to serve it.
//!
//! [`is_permitted`] holds the rules that no choice may break; every send passes it. A [`CandidatePool`]
//! leaves out what is unhealthy or has failed the request already, as long as enough is left.

use crate::fleet::SlowStartingServer;
use crate::health;
use crate::interface::{CellId, DedupGroup, Effect, Health, Role, ZoneId};
use crate::records::{RequestState, Server};
use crate::routing_state::RoutingState;
use crate::slow_start;

/// Servers at which a request can have no second effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RepeatScope {
    Nowhere,
    Zone(ZoneId),
    Cell(CellId),
    Everywhere,
}

impl RepeatScope {
    fn contains(self, server: &Server) -> bool {
        match self {
            Self::Nowhere => false,
            Self::Zone(zone) => server.entry.zone == zone,
            Self::Cell(cell) => server.entry.cell == cell,
            Self::Everywhere => true,
        }
    }
}

/// Where a request may be sent to without a second effect: anywhere until an attempt may have executed, then
/// as its class says.
pub(crate) fn repeat_scope(state: &RoutingState, request: &RequestState) -> RepeatScope {
    let Some(first) = request.may_have_executed else { return RepeatScope::Everywhere };
    let Some(class) = state.class(request.call.class) else { return RepeatScope::Nowhere };
    match class.effect {
        Effect::Idempotent => return RepeatScope::Everywhere,
        Effect::AtMostOnce => return RepeatScope::Nowhere,
        Effect::Deduplicated => {}
    }
    // A server that is not known any more tells neither zone nor cell.
    let Some(server) = state.fleet.get(first.server) else { return RepeatScope::Nowhere };
    if state.now + 2 * state.settings.resolution >= first.sent_at + class.dedup_window {
        return RepeatScope::Nowhere;
    }
    match class.dedup_group {
        DedupGroup::All => RepeatScope::Everywhere,
        DedupGroup::Zone => RepeatScope::Zone(server.entry.zone),
        DedupGroup::Cell => RepeatScope::Cell(server.entry.cell),
    }
}

/// Whether a request has had all the attempts that its class allows.
pub(crate) fn attempts_exhausted(state: &RoutingState, request: &RequestState) -> bool {
    state.class(request.call.class).is_some_and(|class| request.attempts >= class.max_attempts)
}

/// Whether the rules allow this send now: (1) the request is open and in time; (2) nothing else is in flight
/// and no effect can happen twice; (3) the list has the server as ready; (4) slow start has room for it.
pub(crate) fn is_permitted(state: &RoutingState, request: &RequestState, server: &Server) -> bool {
    let is_open = !request.is_completed && request.in_flight.is_none() && request.call.not_after > state.now;
    is_open
        && server.entry.health == Health::Ready
        && repeat_scope(state, request).contains(server)
        && slow_start::allows(state, server.role, server.entry.started, &server.slow_start_budget)
}

/// Servers of a role that the rules permit for a request and that look healthy. Where too few look so, the
/// unhealthy ones are in as well; those at which the request has failed are in only where there are no
/// others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidatePool {
    pub(crate) role: Role,
    includes_unhealthy: bool,
    includes_failed: bool,
}

impl CandidatePool {
    /// The pool of a request; `None` where it would be empty. Counted by exceptions, which are few, and not
    /// by going through all servers of the role.
    pub(crate) fn of(state: &RoutingState, role: Role, request: &RequestState) -> Option<Self> {
        let permitted = permitted_count(state, role, request);
        let unhealthy = state
            .fleet
            .ready_suspects(role)
            .filter(|server| is_permitted(state, request, server))
            .filter(|server| !health::is_healthy(server, request.call.class, state.now))
            .count();
        let includes_unhealthy = health::too_few(permitted - unhealthy, permitted);
        let size = if includes_unhealthy { permitted } else { permitted - unhealthy };
        let with_failed = Self { role, includes_unhealthy, includes_failed: true };
        let failed = state.fleet.known_of(&request.failed_at);
        let failed = failed.filter(|server| with_failed.contains(state, request, server)).count();
        (size > 0).then_some(Self { includes_failed: failed == size, ..with_failed })
    }

    /// Whether a server is in the pool of that request.
    pub(crate) fn contains(&self, state: &RoutingState, request: &RequestState, server: &Server) -> bool {
        server.role == self.role
            && is_permitted(state, request, server)
            && (self.includes_unhealthy || health::is_healthy(server, request.call.class, state.now))
            && (self.includes_failed || !request.failed_at.contains(&server.entry.server))
    }
}

/// How many servers of a role the rules permit for a request.
fn permitted_count(state: &RoutingState, role: Role, request: &RequestState) -> usize {
    if repeat_scope(state, request) != RepeatScope::Everywhere {
        return state.fleet.ready(role).filter(|server| is_permitted(state, request, server)).count();
    }
    let is_barred =
        |server: &&SlowStartingServer| !slow_start::allows(state, role, server.started, &server.budget);
    state.fleet.ready_count(role) - state.fleet.slow_starting(role).iter().filter(is_barred).count()
}
