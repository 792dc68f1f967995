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
    let Some(first) = request.may_have_run else { return RepeatScope::Everywhere };
    let Some(class) = state.class(request.info.class) else { return RepeatScope::Nowhere };
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
    state.class(request.info.class).is_some_and(|class| request.attempts >= class.max_attempts)
}

/// What the rules permit for a request now: (1) it is open and in time; (2) nothing else is in flight and no
/// effect can happen twice; (3) the list has the server as ready; (4) slow start has room for it.
///
/// What does not depend on the server is worked out once: many servers are asked for one request.
#[derive(Clone, Copy, Debug)]
struct Permissions<'a> {
    state: &'a RoutingState,
    is_open: bool,
    scope: RepeatScope,
}

impl<'a> Permissions<'a> {
    fn of(state: &'a RoutingState, request: &RequestState) -> Self {
        let is_idle = !request.is_completed && request.in_flight.is_none();
        let is_open = is_idle && request.info.not_after > state.now;
        Self { state, is_open, scope: repeat_scope(state, request) }
    }

    fn include(&self, server: &Server) -> bool {
        self.is_open
            && server.entry.health == Health::Ready
            && self.scope.contains(server)
            && slow_start::allows(self.state, server.role, server.entry.started, &server.slow_start_budget)
    }

    /// How many servers of a role are included. Counted by exceptions, which are few, where that is possible.
    fn count(&self, role: Role) -> usize {
        let fleet = &self.state.fleet;
        if self.scope != RepeatScope::Everywhere {
            return fleet.ready(role).filter(|server| self.include(server)).count();
        }
        let is_barred = |server: &&SlowStartingServer| {
            !slow_start::allows(self.state, role, server.started, &server.budget)
        };
        fleet.ready_count(role) - fleet.slow_starting(role).iter().filter(is_barred).count()
    }
}

/// Whether the rules permit this send now. Every send is held against this, whoever has chosen the server.
pub(crate) fn is_permitted(state: &RoutingState, request: &RequestState, server: &Server) -> bool {
    Permissions::of(state, request).include(server)
}

/// Servers of a role that the rules permit for a request and that look healthy. Where too few look so, the
/// unhealthy ones are in as well; those at which the request has failed are in only where there are no
/// others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidatePool<'a> {
    pub(crate) role: Role,
    request: &'a RequestState,
    permissions: Permissions<'a>,
    includes_unhealthy: bool,
    includes_failed: bool,
}

impl<'a> CandidatePool<'a> {
    /// The pool of a request; `None` where it would be empty.
    pub(crate) fn of(state: &'a RoutingState, role: Role, request: &'a RequestState) -> Option<Self> {
        let permissions = Permissions::of(state, request);
        let permitted = permissions.count(role);
        let suspects = state.fleet.ready_suspects(role).filter(|server| permissions.include(server));
        let is_unhealthy = |server: &&Server| !health::is_healthy(server, request.info.class, state.now);
        let healthy = permitted - suspects.filter(is_unhealthy).count();
        let includes_unhealthy = health::too_few(healthy, permitted);
        let size = if includes_unhealthy { permitted } else { healthy };
        let with_failed = Self { role, request, permissions, includes_unhealthy, includes_failed: true };
        let failed = state.fleet.known_of(&request.failed_at);
        let failed = failed.filter(|server| with_failed.contains(server)).count();
        (size > 0).then_some(Self { includes_failed: failed == size, ..with_failed })
    }

    /// Whether a server is in it.
    pub(crate) fn contains(&self, server: &Server) -> bool {
        let RequestState { info, failed_at, .. } = self.request;
        server.role == self.role
            && self.permissions.include(server)
            && (self.includes_unhealthy || health::is_healthy(server, info.class, self.permissions.state.now))
            && (self.includes_failed || !failed_at.contains(&server.entry.server))
    }
}
