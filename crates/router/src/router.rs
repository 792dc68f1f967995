//! The router: the one place that owns the state of a dispatcher's decisions. It takes events, asks the rules
//! what is to be done, applies that to its state and returns it as actions.
//!
//! The rules are functions over [`RoutingState`] and a request; none of them changes anything. Reading order,
//! along a request's life:
//!
//! - `admission.rs`: the next step of a request, and the answer that ends one at once, by `overload.rs`;
//! - `placement.rs` and `writers.rs`: which server takes it, by `eligibility.rs`, `load.rs`, `health.rs`,
//!   `popularity.rs`, `remote_fetch.rs`, `slow_start.rs`;
//! - `attempts.rs`: what a send amounts to, by `work.rs` and `timeouts.rs`, and how its end changes the
//!   request;
//! - `learning.rs`: what is learnt from requests and from the ends of attempts, by `averaging.rs`;
//! - `server_list.rs` and `cells.rs`: what the list of servers changes.
//!
//! Invariant: an open request has either one attempt in flight, or waits for a writer, or is removed.

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
use crate::list_backoff::ListBackoff;
use crate::metrics;
use crate::popularity::FIRST_GUESS_TOKENS;
use crate::records::{RequestState, Stage, StageStatistics};
use crate::routing_state::RoutingState;
use crate::server_list;
use crate::statistics::{DecayingAverage, DecayingRate};
use crate::sweep::{SWEEP, SWEEP_INTERVAL_US};
use crate::work::WRITE_OVERHEAD_TOKENS;

/// A dispatcher's decisions. See the [module](self).
#[derive(Debug)]
pub struct Router {
    state: RoutingState,
    rng: Pcg64Mcg,
    /// Looked up; never iterated where the order matters.
    requests: HashMap<RequestId, RequestState>,
    /// Requests whose state waits for a writer.
    awaiting_writer: BTreeSet<RequestId>,
    list_backoff: ListBackoff,
    /// When the list is to be asked for; `None` while that is not needed.
    subscribe_at: Option<Micros>,
    /// The sweep's timer runs.
    is_sweeping: bool,
    /// Of the event that was taken last.
    end_reasons: EndReasons,
}

impl Router {
    /// A dispatcher that has just started.
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

    /// Takes an event and appends what is to be done to `actions`. `now` never goes back between calls.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.state.now = now;
        self.end_reasons.clear();
        self.state.fleet.advance(now);
        if !self.is_sweeping {
            self.is_sweeping = true;
            self.sweep(actions);
        }
        match event {
            Event::EndpointsUpdated { how, entries } => self.on_list_update(how, entries),
            Event::RequestArrived(info) => self.on_request(info, actions),
            Event::FirstToken { id, attempt, taken } => self.on_first_token(id, attempt, taken),
            Event::AttemptFinished(ended) => self.on_attempt_finished(ended, actions),
            Event::ClientDisconnected(id) => self.on_disconnect(id, actions),
            Event::TimerFired(SWEEP) => self.sweep(actions),
            Event::GossipReceived(bytes) => self.state.gossip.receive(&bytes, now),
            Event::SettingsReloaded { settings, class_renumbering } => {
                self.on_settings_reloaded(*settings, &class_renumbering);
            }
            Event::StateImported(handover) => handover.import(&mut self.state),
            Event::LimitShareChanged(part) => self.state.limit_share = part,
            Event::DeadlinesCapped(at) => self.on_deadlines_capped(at),
            Event::TimerFired(_) | Event::Ignored => {}
        }
        self.state.gossip.publish(now, actions);
    }

    /// Why requests were answered by the event that was taken last.
    #[must_use]
    pub fn end_reasons(&self) -> &EndReasons {
        &self.end_reasons
    }

    /// What is learnt by now, for the process that takes this one's place.
    #[must_use]
    pub fn export_state(&self) -> Handover {
        Handover::of(&self.state)
    }

    /// What became of messages between dispatchers.
    #[must_use]
    pub fn gossip_counts(&self) -> GossipCounts {
        self.state.gossip.counts()
    }

    /// Number of listed servers that get no new work now: they drain, or are ejected for some class.
    #[must_use]
    pub fn avoided_servers(&self) -> usize {
        metrics::avoided_servers(&self.state)
    }

    /// What the index of servers says otherwise than a recount of them, if anything: for tests.
    #[must_use]
    pub fn index_disagreement(&self) -> Option<String> {
        self.state.fleet.index_disagreement()
    }

    // ---- Events ----

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

    /// A client asks. An id that is open already is ignored.
    fn on_request(&mut self, info: RequestInfo, actions: &mut Vec<Action>) {
        let id = info.id;
        if self.requests.contains_key(&id) {
            return;
        }
        learning::record_request(&mut self.state, &info);
        self.requests.insert(id, RequestState::new(info));
        self.advance(id, actions);
    }

    /// An answer has begun to stream: its state is fetched, and the client has it from now on.
    fn on_first_token(&mut self, id: RequestId, number: u32, taken_us: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let in_flight = request.in_flight.as_mut();
        let Some(attempt) = in_flight.filter(|attempt| attempt.number == number && !attempt.is_streaming)
        else {
            return;
        };
        attempt.is_streaming = true;
        request.held_state = None;
        let attempt = attempt.clone();
        learning::record_first_token(&mut self.state, id, &attempt, taken_us);
    }

    fn on_attempt_finished(&mut self, ended: AttemptFinished, actions: &mut Vec<Action>) {
        let (id, now) = (ended.id, self.state.now);
        self.state.fleet.record_report(ended.server, ended.report);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.take_if(|attempt| attempt.number == ended.attempt) else {
            return;
        };
        request.is_completed |= ended.last;
        let change = attempts::record_outcome(request, &attempt, &ended, now);
        if change == HeldStateChange::Release {
            actions.push(Action::ReleaseHeldState(id));
        }
        let (prompt_tokens, is_completed) = (request.info.prompt_tokens, request.is_completed);
        learning::record_end(&mut self.state, attempt, &ended, prompt_tokens, &mut self.rng);
        if is_completed {
            self.close(id, actions);
        } else {
            self.advance(id, actions);
        }
    }

    /// The client has left: what is in flight is cancelled where that is allowed; a late read is released
    /// then.
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

    /// New settings. What is known of servers for a class goes on under its new number: `class_renumbering` has the
    /// old one.
    fn on_settings_reloaded(&mut self, settings: Settings, class_renumbering: &BTreeMap<u32, u32>) {
        let state = &mut self.state;
        state.fleet.renumber_classes(class_renumbering, &settings.classes);
        state.gossip.reload(&settings);
        state.fleet.set_slow_start_window(settings.slow_start_window);
        state.shortest_objective_us = settings.shortest_latency_objective();
        state.settings = settings;
    }

    /// Open requests have to be answered by a time, in whatever order they are gone through.
    fn on_deadlines_capped(&mut self, at: Micros) {
        for request in self.requests.values_mut() {
            request.info.not_after = request.info.not_after.min(at);
        }
    }

    /// What no event brings up: the list to ask for, the medians, states that wait for a writer, readers that
    /// have become unresponsive.
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

    /// Reads that are overdue are news to the other dispatchers before they end.
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

    /// Sends a request to a server. The rules are asked once more, whoever has chosen it.
    fn send(&mut self, id: RequestId, to: ServerId, stage: Stage, actions: &mut Vec<Action>) {
        let state = &mut self.state;
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), state.fleet.get(to)) else { return };
        if !eligibility::is_permitted(state, request, server)
            || eligibility::attempts_exhausted(state, request)
        {
            return self.answer(id, EndReason::NotAllowed, actions);
        }
        let planned = attempts::plan(state, request, server, stage);
        actions.push(Action::Assign { id, server: to, attempt_timeout: planned.timeout_us });
        attempts::record_sent(state, request, planned);
        self.awaiting_writer.remove(&id);
    }

    /// Ends a request without a stream and releases its state.
    fn answer(&mut self, id: RequestId, reason: EndReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.end_reasons.push((id, reason));
        actions.push(admission::final_answer(&self.state, request, &mut self.rng));
        request.is_completed = true;
        self.close(id, actions);
    }

    /// Removes a request that is completed and has nothing in flight; a state that is held for it is
    /// released.
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

/// What is known at the start: nothing but first guesses.
fn initial_state(settings: Settings, now: Micros) -> RoutingState {
    let us_per_token = settings.shortest_latency_objective() / FIRST_GUESS_TOKENS;
    let times = FleetTimes {
        slow_start_window_us: settings.slow_start_window,
        queueing_half_life_us: AVERAGE_HALF_LIFE_US,
        rate_time_constant_us: RATE_TIME_CONSTANT_US,
    };
    RoutingState {
        now,
        shortest_objective_us: settings.shortest_latency_objective(),
        fleet: Fleet::new(times, now),
        stages: std::array::from_fn(|_| StageStatistics::new(us_per_token, WRITE_OVERHEAD_TOKENS)),
        cells: BTreeMap::new(),
        remote_fetch_us_per_token: DecayingAverage::default(),
        request_rate: DecayingRate::default(),
        recent_request_rate: DecayingRate::default(),
        shared_prefixes: LruCache::unbounded(),
        gossip: LoadGossip::new(&settings),
        limit_share: 1.0,
        settings,
    }
}
