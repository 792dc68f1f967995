//! The router, which owns all state behind a dispatcher's decisions. It takes events, calls the rules to
//! decide what to do, applies the decision to its state and returns it as actions.
//!
//! The rules are functions of [`RoutingState`] and a request, and have no side effects. In the order of a
//! request's life:
//!
//! - `admission.rs`: the next step of a request, or the final answer that ends it without a stream; uses
//!   `overload.rs`;
//! - `placement.rs` and `writers.rs`: the choice of a server; use `eligibility.rs`, `load.rs`, `health.rs`,
//!   `popularity.rs`, `remote_fetch.rs` and `slow_start.rs`;
//! - `attempts.rs`: the estimated work and the timeout of an attempt, by `work.rs` and `timeouts.rs`, and how
//!   the end of an attempt changes its request;
//! - `learning.rs`: how requests and ends of attempts update the averages and rates; uses `averaging.rs`;
//! - `server_list.rs` and `cells.rs`: how updates of the list of servers change the state.
//!
//! Invariant: after every event, each open request either has one attempt in flight or waits for a writer;
//! any other request has been removed.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lru::LruCache;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::admission::{self, NextStep};
use crate::attempts::{self, HeldStateChange};
use crate::averaging::{AVERAGE_HALF_LIFE_US, RATE_TIME_CONSTANT_US};
use crate::eligibility;
use crate::end_reason::{EndReason, EndReasons};
use crate::fleet::{Fleet, FleetTimes};
use crate::gossip::{GossipCounts, LoadGossip};
use crate::handover::Handover;
use crate::interface::{
    Action, AttemptFinished, Event, ListUpdateKind, Micros, RequestId, RequestInfo, Role, ServerEntry,
    ServerId, Settings,
};
use crate::learning;
use crate::limit_share::LimitShare;
use crate::list_backoff::ListBackoff;
use crate::metrics;
use crate::popularity::INITIAL_TOKENS_PER_OBJECTIVE;
use crate::records::{RequestState, Stage, StageStatistics};
use crate::routing_state::RoutingState;
use crate::server_list;
use crate::statistics::{DecayingAverage, DecayingRate};
use crate::sweep::{SWEEP, SWEEP_INTERVAL_US};
use crate::work::WRITE_OVERHEAD_TOKENS;

/// Makes a dispatcher's routing decisions. See the [module](self).
#[derive(Debug)]
pub struct Router {
    state: RoutingState,
    rng: Pcg64Mcg,
    /// Open requests. Only iterated where the order does not matter, as it is random.
    requests: HashMap<RequestId, RequestState>,
    /// Requests whose state is held at a reader until a writer can take it; retried with each sweep.
    awaiting_writer: BTreeSet<RequestId>,
    list_backoff: ListBackoff,
    /// When to subscribe to the list of servers; `None` if no call is due.
    subscribe_at: Option<Micros>,
    /// The timer of the periodic sweep is running.
    is_sweeping: bool,
    /// The requests that the last event ended without a stream, with the reasons.
    end_reasons: EndReasons,
}

impl Router {
    /// Creates the router of a dispatcher that starts at `now`. Equal seeds and events give equal actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let subscribe_at = settings.must_subscribe.then_some(now);
        Self {
            state: initial_state(settings, now),
            rng: Pcg64Mcg::seed_from_u64(seed),
            requests: HashMap::new(),
            awaiting_writer: BTreeSet::new(),
            list_backoff: ListBackoff::default(),
            subscribe_at,
            is_sweeping: false,
            end_reasons: EndReasons::new(),
        }
    }

    /// Handles an event and appends the resulting actions to `actions`. `now` must not decrease between
    /// calls.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.state.now = now;
        self.end_reasons.clear();
        self.state.fleet.advance(now);
        if !self.is_sweeping {
            self.is_sweeping = true;
            self.sweep(actions);
        }
        match event {
            Event::EndpointsUpdated { kind, entries } => self.on_list_update(kind, entries),
            Event::RequestArrived(info) => self.on_request(info, actions),
            Event::FirstToken { id, attempt, elapsed } => self.on_first_token(id, attempt, elapsed),
            Event::AttemptFinished(ended) => self.on_attempt_finished(ended, actions),
            Event::ClientDisconnected(id) => self.on_disconnect(id, actions),
            Event::TimerFired(SWEEP) => self.sweep(actions),
            Event::GossipReceived(bytes) => self.state.gossip.receive(&bytes, now),
            Event::SettingsReloaded { settings, class_renumbering } => {
                self.on_settings_reloaded(*settings, &class_renumbering);
            }
            Event::StateImported(handover) => handover.import(&mut self.state),
            Event::LimitShareChanged(share) => self.on_limit_share_changed(share),
            Event::AttemptWritten(id) => self.on_attempt_written(id),
            Event::DeadlinesCapped(at) => self.on_deadlines_capped(at),
            Event::TimerFired(_) | Event::Ignored => {}
        }
        self.state.gossip.publish(now, actions);
    }

    /// The requests that the last call of [`Self::handle`] rejected or failed, with the reasons.
    #[must_use]
    pub fn end_reasons(&self) -> &EndReasons {
        &self.end_reasons
    }

    /// Exports the learnt state for the process that replaces this one in a hot restart.
    #[must_use]
    pub fn export_state(&self) -> Handover {
        Handover::of(&self.state)
    }

    /// Counts of gossip updates sent, received and dropped.
    #[must_use]
    pub fn gossip_counts(&self) -> GossipCounts {
        self.state.gossip.counts()
    }

    /// Number of listed servers that currently get no new work, or none of some class: they are draining, or
    /// ejected for that class.
    #[must_use]
    pub fn avoided_servers(&self) -> usize {
        metrics::avoided_servers(&self.state)
    }

    /// Describes the first difference between the index of servers and a recount; `None` if they agree. For
    /// tests, as it visits all servers.
    #[must_use]
    pub fn index_disagreement(&self) -> Option<String> {
        self.state.fleet.index_disagreement()
    }

    // ---- Events ----

    /// Applies a list update, or schedules the next call for the list after a failed one.
    fn on_list_update(&mut self, kind: ListUpdateKind, entries: Vec<ServerEntry>) {
        let settings = &self.state.settings;
        if kind == ListUpdateKind::Failed {
            let draw = self.rng.next_u64();
            let wait_us = self.list_backoff.failed(settings.dispatcher_count, settings.max_list_age, draw);
            self.subscribe_at = settings.must_subscribe.then_some(self.state.now + wait_us);
            return;
        }
        self.list_backoff.answered();
        server_list::apply_list(&mut self.state, kind, entries, &mut self.rng);
    }

    /// Admits a new request and takes its first step. Ignores the event if a request with this id is open.
    fn on_request(&mut self, info: RequestInfo, actions: &mut Vec<Action>) {
        let id = info.id;
        if self.requests.contains_key(&id) {
            return;
        }
        learning::record_request(&mut self.state, &info);
        self.requests.insert(id, RequestState::new(info));
        self.advance(id, actions);
    }

    /// Records the first token of an answer. The writer has fetched the state by then, so no state is held
    /// any more.
    fn on_first_token(&mut self, id: RequestId, number: u32, elapsed_us: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_flight = request.in_flight.as_mut();
        let Some(attempt) = in_flight.filter(|attempt| attempt.number == number && !attempt.is_streaming)
        else {
            return;
        };
        attempt.is_streaming = true;
        request.held_state = None;
        let attempt = attempt.clone();
        attempts::record_arrived(&mut self.state, id, attempt.server);
        learning::record_first_token(&mut self.state, id, &attempt, elapsed_us);
    }

    /// Records the end of an attempt, then closes its request or takes the next step.
    fn on_attempt_finished(&mut self, ended: AttemptFinished, actions: &mut Vec<Action>) {
        let (id, now) = (ended.id, self.state.now);
        self.state.fleet.record_report(ended.server, ended.report);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.take_if(|attempt| attempt.number == ended.attempt) else {
            return;
        };
        request.is_completed |= ended.completes_request;
        let change = attempts::record_outcome(request, &attempt, &ended, now);
        if change == HeldStateChange::Release {
            actions.push(Action::ReleaseHeldState(id));
        }
        let (prompt_tokens, is_completed) = (request.info.prompt_tokens, request.is_completed);
        attempts::record_arrival_by_outcome(&mut self.state, id, attempt.server, ended.outcome);
        learning::record_end(&mut self.state, attempt, &ended, prompt_tokens, &mut self.rng);
        if is_completed {
            self.close(id, actions);
        } else {
            self.advance(id, actions);
        }
    }

    /// Handles a client's disconnect: cancels the attempt in flight, if that is allowed and it is not
    /// streaming. If the attempt is a read and still succeeds, its state is released when it ends.
    fn on_disconnect(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_completed = true;
        if let Some(attempt) = request.in_flight.as_ref() {
            if self.state.settings.may_cancel && !attempt.is_streaming {
                actions.push(Action::CancelAttempt { id, attempt: attempt.number });
            }
        }
        self.close(id, actions);
    }

    /// Applies reloaded settings. Failure records of servers are kept under the new class numbers;
    /// `class_renumbering` maps each new number to the old one.
    fn on_settings_reloaded(&mut self, settings: Settings, class_renumbering: &BTreeMap<u32, u32>) {
        let state = &mut self.state;
        state.fleet.renumber_classes(class_renumbering, &settings.classes);
        for stage in &mut state.stages {
            stage.class_work.renumber_classes(class_renumbering, &settings.classes);
        }
        state.gossip.reload(&settings);
        state.fleet.set_slow_start_window(settings.slow_start_window);
        state.shortest_objective_us = settings.shortest_latency_objective();
        state.settings = settings;
    }

    fn on_limit_share_changed(&mut self, share: f64) {
        let RoutingState { limit_share, now, settings, .. } = &mut self.state;
        limit_share.change(share, *now, settings.overload_window);
    }

    /// Records that the attempt of a request has reached its server.
    fn on_attempt_written(&mut self, id: RequestId) {
        let in_flight = self.requests.get(&id).and_then(|request| request.in_flight.as_ref());
        if let Some(attempt) = in_flight {
            attempts::record_arrived(&mut self.state, id, attempt.server);
        }
    }

    /// Limits the deadlines of all open requests to `at`. The result does not depend on the order of
    /// iteration.
    fn on_deadlines_capped(&mut self, at: Micros) {
        for request in self.requests.values_mut() {
            request.info.not_after = request.info.not_after.min(at);
        }
    }

    /// Periodic work that no other event triggers: subscribing to the list when due, updating medians,
    /// retrying requests that wait for a writer, and reporting overdue reads. Restarts its own timer.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::StartTimer { delay: SWEEP_INTERVAL_US, token: SWEEP });
        if self.subscribe_at.is_some_and(|at| at <= self.state.now) {
            self.subscribe_at = None;
            actions.push(Action::Subscribe);
        }
        learning::update_medians(&mut self.state);
        for id in std::mem::take(&mut self.awaiting_writer) {
            self.advance(id, actions);
        }
        self.report_overdue_reads();
    }

    /// Reports overdue reads to the other dispatchers by gossip, before the reads end. Only the oldest
    /// unanswered attempt of each reader counts.
    fn report_overdue_reads(&mut self) {
        let RoutingState { fleet, gossip, stages, now, .. } = &mut self.state;
        let unloaded_us_per_token = stages[Stage::Read as usize].unloaded_us_per_token;
        for server in fleet.busy().filter(|server| server.role == Role::Reader) {
            let Some((_, id)) = server.unanswered.first() else { continue };
            let Some(oldest) = self.requests.get(id).and_then(|request| request.in_flight.as_ref()) else {
                continue;
            };
            let overdue_us = server.overdue_us(*now, Stage::Read as usize, unloaded_us_per_token);
            gossip.record_queueing(oldest.server, overdue_us, oldest.expected_queueing_us);
        }
    }

    // ---- Steps of a request ----

    /// Takes the next step of a request that has no attempt in flight.
    fn advance(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        match admission::next_step(&self.state, request, &mut self.rng) {
            NextStep::Send { server, stage } => self.send(id, server, stage, actions),
            NextStep::AwaitWriter => {
                self.awaiting_writer.insert(id);
            }
            NextStep::Answer(reason) => self.answer(id, reason, actions),
        }
    }

    /// Sends a request to a server. Checks once more that this is permitted, whichever rule chose the server,
    /// and ends the request if it is not.
    fn send(&mut self, id: RequestId, to: ServerId, stage: Stage, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), state.fleet.get(to)) else { return };
        if !eligibility::is_permitted(state, request, server)
            || eligibility::attempts_exhausted(state, request)
        {
            return self.answer(id, EndReason::NotAllowed, actions);
        }
        let planned = attempts::plan(state, request, server, stage);
        actions.push(Action::Assign { id, server: to, attempt_timeout: planned.attempt.timeout_us });
        attempts::record_sent(state, request, planned);
        self.awaiting_writer.remove(&id);
    }

    /// Ends a request without a stream (rejected or failed) and releases its state.
    fn answer(&mut self, id: RequestId, reason: EndReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.end_reasons.push((id, reason));
        actions.push(admission::final_answer(&self.state, request, &mut self.rng));
        request.is_completed = true;
        self.close(id, actions);
    }

    /// Removes a request if it is completed and has no attempt in flight, and releases a state that is held
    /// for it.
    fn close(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.awaiting_writer.remove(&id);
        let Some(request) = self.requests.get(&id) else { return };
        if !request.is_completed || request.in_flight.is_some() {
            return;
        }
        if request.held_state.is_some() {
            actions.push(Action::ReleaseHeldState(id));
        }
        self.requests.remove(&id);
    }
}

/// The state at the start, with initial guesses in place of learnt figures.
fn initial_state(settings: Settings, now: Micros) -> RoutingState {
    let us_per_token = settings.shortest_latency_objective() / INITIAL_TOKENS_PER_OBJECTIVE;
    let times = FleetTimes {
        slow_start_window_us: settings.slow_start_window,
        queueing_half_life_us: AVERAGE_HALF_LIFE_US,
        rate_time_constant_us: RATE_TIME_CONSTANT_US,
    };
    RoutingState {
        now,
        created_at: now,
        shortest_objective_us: settings.shortest_latency_objective(),
        fleet: Fleet::new(times, now),
        stages: std::array::from_fn(|_| StageStatistics::new(us_per_token, WRITE_OVERHEAD_TOKENS)),
        cells: BTreeMap::new(),
        remote_fetch_us_per_token: DecayingAverage::default(),
        request_rate: DecayingRate::default(),
        recent_request_rate: DecayingRate::default(),
        shared_prefixes: LruCache::unbounded(),
        gossip: LoadGossip::new(&settings),
        limit_share: LimitShare::WHOLE,
        settings,
    }
}
