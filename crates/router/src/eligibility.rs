//! Eligibility: which servers a request may be sent to, and which of them are likely to be able to serve it.
//!
//! [`is_permitted`] holds the rules that every send must pass, whichever code selected the server. A
//! [`CandidatePool`] also leaves out servers that are unhealthy or have already failed the request, as long
//! as enough servers remain.

use crate::health;
use crate::interface::{CellId, DedupGroup, Effect, Health, Role, ZoneId};
use crate::records::{RequestState, Server};
use crate::routing_state::RoutingState;
use crate::slow_start::SlowStartCheck;

/// The servers at which another attempt of a request cannot take effect a second time.
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

/// Where a request may be sent without taking effect twice: anywhere until an attempt may have run, then as
/// the class's [`Effect`] says.
pub(crate) fn repeat_scope(state: &RoutingState, request: &RequestState) -> RepeatScope {
    let Some(first) = request.may_have_run else { return RepeatScope::Everywhere };
    let Some(class) = state.class(request.info.class) else { return RepeatScope::Nowhere };
    match class.effect {
        Effect::Idempotent => return RepeatScope::Everywhere,
        Effect::AtMostOnce => return RepeatScope::Nowhere,
        Effect::Deduplicated => {}
    }
    // The zone and cell of a server that has left the list are not known.
    let Some(server) = state.fleet.get(first.server) else { return RepeatScope::Nowhere };
    if state.now + 2 * state.settings.min_batch_interval >= first.sent_at + class.dedup_window {
        return RepeatScope::Nowhere;
    }
    match class.dedup_group {
        DedupGroup::All => RepeatScope::Everywhere,
        DedupGroup::Zone => RepeatScope::Zone(server.entry.zone),
        DedupGroup::Cell => RepeatScope::Cell(server.entry.cell),
    }
}

/// Whether a request has used all the attempts that its class allows.
pub(crate) fn attempts_exhausted(state: &RoutingState, request: &RequestState) -> bool {
    state.class(request.info.class).is_some_and(|class| request.attempts >= class.max_attempts)
}

/// The four rules for sending a request now: (1) it is open and before its deadline; (2) it has no other
/// attempt in flight and cannot take effect twice; (3) the list shows the server as ready; (4) slow start has
/// room for another request at the server.
///
/// The parts that do not depend on the server are computed once, as many servers are checked for one request.
#[derive(Clone, Copy, Debug)]
struct Permissions<'a> {
    state: &'a RoutingState,
    is_open: bool,
    scope: RepeatScope,
    slow_start: SlowStartCheck<'a>,
}

impl<'a> Permissions<'a> {
    fn of(state: &'a RoutingState, request: &RequestState) -> Self {
        let is_idle = !request.is_completed && request.in_flight.is_none();
        let is_open = is_idle && request.info.not_after > state.now;
        let slow_start = SlowStartCheck::of(state, request.info.class);
        Self { state, is_open, scope: repeat_scope(state, request), slow_start }
    }

    fn permits(&self, server: &Server) -> bool {
        self.is_open
            && server.entry.health == Health::Ready
            && self.scope.contains(server)
            && self.slow_start.allows(server)
    }

    /// Number of servers of a role that the rules permit. Where possible, the few exceptions are subtracted
    /// instead of checking every server.
    fn count(&self, role: Role) -> usize {
        let fleet = &self.state.fleet;
        if self.scope != RepeatScope::Everywhere {
            return fleet.ready(role).filter(|server| self.permits(server)).count();
        }
        let is_exhausted = |server: &&Server| !self.slow_start.allows(server);
        fleet.ready_count(role) - fleet.slow_starting(role).filter(is_exhausted).count()
    }
}

/// Whether the rules permit this send now. Every send is checked here, whichever code selected the server.
pub(crate) fn is_permitted(state: &RoutingState, request: &RequestState, server: &Server) -> bool {
    Permissions::of(state, request).permits(server)
}

/// Servers of a role that the rules permit for a request and that are healthy. If too few are healthy, the
/// unhealthy ones are included; servers that have failed the request are included only if no others are left.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidatePool<'a> {
    pub(crate) role: Role,
    request: &'a RequestState,
    permissions: Permissions<'a>,
    includes_unhealthy: bool,
    includes_failed: bool,
}

impl<'a> CandidatePool<'a> {
    /// The pool of a request; `None` if it would be empty.
    pub(crate) fn of(state: &'a RoutingState, role: Role, request: &'a RequestState) -> Option<Self> {
        let permissions = Permissions::of(state, request);
        let permitted = permissions.count(role);
        let suspects = state.fleet.ready_suspects(role).filter(|server| permissions.permits(server));
        let is_unhealthy = |server: &&Server| !health::is_healthy(server, request.info.class, state.now);
        let healthy = permitted - suspects.filter(is_unhealthy).count();
        let includes_unhealthy = health::is_below_panic_threshold(healthy, permitted);
        let size = if includes_unhealthy { permitted } else { healthy };
        let including_failed = Self { role, request, permissions, includes_unhealthy, includes_failed: true };
        let failed = state.fleet.known_of(&request.failed_at);
        let failed = failed.filter(|server| including_failed.contains(server)).count();
        (size > 0).then_some(Self { includes_failed: failed == size, ..including_failed })
    }

    /// Whether a server belongs to the pool.
    pub(crate) fn contains(&self, server: &Server) -> bool {
        let RequestState { info, failed_at, .. } = self.request;
        server.role == self.role
            && self.permissions.permits(server)
            && (self.includes_unhealthy || health::is_healthy(server, info.class, self.permissions.state.now))
            && (self.includes_failed || !failed_at.contains(&server.entry.server))
    }
}
