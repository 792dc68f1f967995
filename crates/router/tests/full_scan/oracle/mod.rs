//! A test oracle for the router: a second implementation of its decisions that scans all servers for each question.
//! After every event, the actions of the two are compared.
//!
//! The router answers such questions from an index that it updates incrementally. An error in these updates would show
//! only as a slightly worse choice, which no other test detects. The oracle is therefore kept separate: it shares the
//! records, the statistics and the load gossip with the router, but neither its rules nor its index. Whoever changes a
//! rule changes it here too, by hand. As in the router, the draw that decides between equal servers is a hash of one
//! random number and the server's id, so that it does not depend on how many servers are visited.

mod constants;
mod eligibility;
mod learning;
mod load;
mod placement;
mod requests;
mod server_list;
mod writers;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lru::LruCache;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::gossip::LoadGossip;
use crate::interface::{Action, CellId, Event, Key, Micros, RequestId, Role, ServerId, Settings};
use crate::list_backoff::ListBackoff;
use crate::records::{CellBalance, RequestState, Server, Stage, StageStatistics};
use crate::statistics::{lower_median, DecayingAverage, DecayingRate};
use constants::{INITIAL_TOKENS_PER_OBJECTIVE, SWEEP, SWEEP_INTERVAL_US, WRITE_OVERHEAD_TOKENS};

/// Makes a dispatcher's routing decisions by a full scan. See the [module](self).
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) now: Micros,
    created_at: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    requests: HashMap<RequestId, RequestState>, // only iterated where the order does not matter, as it is random
    awaiting_writer: BTreeSet<RequestId>,       // requests whose held state waits for a writer
    pub(crate) stages: [StageStatistics; 3],
    remote_fetch_us_per_token: DecayingAverage, // of fetches by writers outside the reader's cell
    pub(crate) request_rate: DecayingRate,
    pub(crate) recent_request_rate: DecayingRate, // over the popularity window
    pub(crate) shared_prefixes: LruCache<Key, DecayingRate>, // rate of requests that begin with each shared prefix
    cells: BTreeMap<CellId, CellBalance>,
    list_backoff: ListBackoff,
    subscribe_at: Option<Micros>,
    is_sweeping: bool,
    pub(crate) gossip: LoadGossip,
    limit_share: f64, // this process's share of the dispatcher's limits; below 1 during a hot restart
    earlier_limit_share: (f64, Micros), // a smaller share holds until this time
}

impl Router {
    /// Creates the oracle of a dispatcher that starts at `now`. With the same seed as a router it draws the same
    /// random numbers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let initial_pace = settings.shortest_latency_objective() / INITIAL_TOKENS_PER_OBJECTIVE;
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            created_at: now,
            servers: BTreeMap::new(),
            requests: HashMap::new(),
            awaiting_writer: BTreeSet::new(),
            stages: [(); 3].map(|()| StageStatistics::new(initial_pace, WRITE_OVERHEAD_TOKENS)),
            remote_fetch_us_per_token: DecayingAverage::default(),
            request_rate: DecayingRate::default(),
            recent_request_rate: DecayingRate::default(),
            shared_prefixes: LruCache::unbounded(),
            cells: BTreeMap::new(),
            list_backoff: ListBackoff::default(),
            subscribe_at: settings.must_subscribe.then_some(now),
            is_sweeping: false,
            gossip: LoadGossip::new(&settings),
            settings,
            limit_share: 1.0,
            earlier_limit_share: (1.0, 0),
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !self.is_sweeping {
            self.is_sweeping = true;
            self.sweep(out);
        }
        match event {
            Event::EndpointsUpdated { kind, entries } => self.apply_list(kind, entries),
            Event::RequestArrived(info) => self.on_request(info, out),
            Event::FirstToken { id, attempt, elapsed } => self.on_first_token(id, attempt, elapsed),
            Event::AttemptFinished(finished) => self.on_attempt_finished(finished, out),
            Event::ClientDisconnected(id) => self.on_disconnect(id, out),
            Event::TimerFired(SWEEP) => self.sweep(out),
            Event::GossipReceived(bytes) => self.gossip.receive(&bytes, now),
            Event::SettingsReloaded { settings, class_renumbering } => {
                self.on_settings_reloaded(*settings, &class_renumbering);
            }
            Event::StateImported(_) => unreachable!("the oracle does not support state import"),
            Event::DeadlinesCapped(at) => {
                self.requests
                    .values_mut()
                    .for_each(|request| request.info.not_after = request.info.not_after.min(at));
            }
            Event::AttemptWritten(id) => self.on_attempt_written(id),
            Event::LimitShareChanged(limit_share) => {
                let until = now + self.settings.overload_window;
                (self.earlier_limit_share, self.limit_share) =
                    ((self.current_limit_share(), until), limit_share);
            }
            Event::TimerFired(_) | Event::Ignored => {}
        }
        self.gossip.publish(now, out);
    }

    /// Applies new settings. What is known of servers for a class continues under the class's new number.
    fn on_settings_reloaded(&mut self, settings: Settings, class_renumbering: &BTreeMap<u32, u32>) {
        for server in self.servers.values_mut() {
            for (&new, old) in class_renumbering {
                let known = server.statistics.outlier_states.get(old).cloned();
                server.statistics.outlier_states.extend(known.map(|known| (new, known)));
            }
            server.statistics.outlier_states.retain(|class, _| settings.classes.contains_key(class));
        }
        for stage in &mut self.stages {
            stage.class_work.renumber_classes(class_renumbering, &settings.classes);
        }
        self.gossip.reload(&settings);
        self.settings = settings;
    }

    /// The share of the limits that this process may use now. A larger share holds a window later than a smaller one.
    fn current_limit_share(&self) -> f64 {
        let (earlier, until) = self.earlier_limit_share;
        if self.now < until {
            self.limit_share.min(earlier)
        } else {
            self.limit_share
        }
    }

    /// The periodic work that no other event triggers: the call for the list of servers, the stages' medians, states
    /// that wait for a writer, and gossip about readers whose oldest attempt is overdue.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::StartTimer { delay: SWEEP_INTERVAL_US, token: SWEEP });
        if self.subscribe_at.is_some_and(|at| at <= self.now) {
            self.subscribe_at = None;
            out.push(Action::Subscribe);
        }
        for (at, stage) in self.stages.iter_mut().enumerate() {
            let known = self.servers.values().filter_map(|s| s.statistics.us_per_token[at].last);
            stage.median_us_per_token =
                lower_median(known.map(|(pace, _)| pace).collect()).unwrap_or(stage.median_us_per_token);
        }
        for id in std::mem::take(&mut self.awaiting_writer) {
            self.advance(id, out);
        }
        for (&id, server) in self.servers.iter().filter(|(_, s)| s.role == Role::Reader) {
            let oldest =
                server.unanswered.first().and_then(|(_, id)| self.requests.get(id)?.in_flight.as_ref());
            if let Some(oldest) = oldest {
                self.gossip.record_queueing(
                    id,
                    self.overdue_us(server, Stage::Read as usize),
                    oldest.expected_queueing_us,
                );
            }
        }
    }
}
