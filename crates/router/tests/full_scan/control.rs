//! An oracle: a second implementation of the router's decisions, which answers every question to all servers by going
//! through all of them. What the router does is held against it, event by event.
//!
//! It exists because the router answers such questions from an index that is kept up to date bit by bit: a mistake in
//! that would only show as a slightly worse choice, which no other test sees. So it is to stay separate: it shares the
//! records, statistics and load gossip with the router, and none of its rules nor its index. A change of a rule is made
//! here as well, by hand. The draw that parts equal servers is a hash of one draw and the server's number, as it is in
//! the router, so that it does not depend on how many servers are looked at.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use lru::LruCache;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gossip::LoadGossip;
use crate::interface::{
    Action, AttemptFinished, CellId, DedupGroup, Effect, Event, Health, Key, ListUpdateKind, Micros, Outcome,
    RequestId, RequestInfo, Role, ServerEntry, ServerId, Settings, TimerToken, ZoneId,
};
use crate::list_backoff::ListBackoff;
use crate::prefix_table::{PrefixTable, PREFIX_KEYS};
use crate::records::stage::QueueingSample;
use crate::records::{
    Attempt, CellBalance, HeldState, PossibleRun, RequestState, Server, ServerStatistics, Stage,
    StageStatistics,
};
use crate::slow_start_budget::SlowStartBudget;
use crate::statistics::{
    lower_bound_share, lower_median, mix, quantile, shrunk_ratio, unit_interval, DecayingAverage,
    DecayingRate,
};

const KEPT_SHARE: f64 = 0.5; // of what the record promised: less is a broken promise
/// Tokens' worth of fixed effort in each read and in each fetch. Scales with the servers' time for a step.
const READ_OVERHEAD: f64 = 512.0;
const WRITE_OVERHEAD: f64 = 2_048.0;
/// The valve: a reader is at its cap when the reads that all fronts may have sent it (`of_all_fronts`), or
/// what its comebacks queued, take this share of the shortest aim, and as long as rereading elsewhere what it
/// holds. Scales by itself with aim and pace.
const CAP_SHARE_OF_AIM: f64 = 0.25;
/// Homes of a beginning for each even share of the calls that begin with it: more than one, so that no
/// server is filled by a single beginning. Scales by itself with servers and popularity.
const HOMES_PER_SHARE: f64 = 1.4;
/// Homes of a beginning at the least, alike at fronts that see few calls: as many as read all of it while one
/// reads `FIRST_GUESS_TOKENS`, at most one for so many readers. A long one costs readers and memory at each.
const READERS_PER_HOME: usize = 8;
/// Calls that popularity is weighed against: with few of its own, a front takes no chance for a trend.
const PRIOR_CALLS: f64 = 30.0;
/// Part of its readers' even share that a zone's own calls take: sends to other zones cost, a full zone more.
const ZONE_SHARE: f64 = 0.8;
const READER_PULL: [f64; 2] = [0.2, 1.5]; // even shares that a cell's readers get, to suit its writers
/// Own requests that a server must hold to be judged by them as much as by the mean of its pool.
const PRIOR_REQUESTS: f64 = 1.0;
const MOST_QUEUED: f64 = 3.0; // shortest aims that a comeback counts at most: one that hung says no more
const PRESSURE_TIME: f64 = 1_000_000.0; // what comebacks queued is averaged over so long at the least (us)
const PRESSURE_FALLS: f64 = 2.0; // times as fast as it rises: a few buried servers are not taken for all
/// Ends of attempts that tell of a jam behind time-outs: the most of them, and the share that silent servers
/// may lose without one. Scales with how fast a jam grows.
const ENDS_TAKEN_DOWN: usize = 32;
const LOST_AT_MOST: f64 = 0.6;
const FIRST_GUESS_TOKENS: f64 = 8_000.0; // read within the shortest aim, before anything is known
/// An attempt's first time-out: so many times what its like usually takes, and this share of the shortest
/// aim at the least, so that a short pause does not set off repeats.
const PATIENCE_MULTIPLE: f64 = 4.0;
const PATIENCE_SHARE_OF_AIM: f64 = 1.0;
const FAR_PATIENCE: Micros = 3; // times the patience for a state that leaves its cell: repeats move it anew
const SLOW_LINKS: f64 = 3.0; // times the usual that first tokens take after a far move, where links are slow
const SLUGGISH: f64 = 2.0; // times the middle of its peers that a sluggish server takes
/// Weight of a new sample in a pace. Scales with how many samples make a verdict (about 1 / weight).
const PACE_WEIGHT: f64 = 0.25;
/// How fast the unhindered pace follows better and worse samples: a low quantile, which no jam may raise.
const BEST_FALLS: f64 = 0.5;
const BEST_RISES: f64 = 0.001;
/// A pace without new samples goes half way to the middle of its peers in this time (us).
const PACE_HALF_LIFE: f64 = 4_000_000.0;
/// The first rest (us), doubled with each failed trial. Scales with how long stalls last.
const FIRST_REST: Micros = 400_000;
const FULL_REST: Micros = 150_000; // after `Full` (us); scales with the time in which a slot comes free
const LEAST_WELL_SHARE: f64 = 0.34; // of a pool; where fewer look well, the yardstick is wrong: all serve
/// A writer is ready while tokens of all fronts, and what its report shows, are under these shares of memory.
const MEMORY_SHARE: f64 = 0.9;
const REPORTED_MEMORY_SHARE: f64 = 0.93;
const REPORT_LIFE: Micros = 1_500_000; // older reports say nothing (us)
const COLD_MARGIN: f64 = 0.75; // share of a cold budget that is used; the rest is for chance, crowded peers
const COLD_ROLE_SHARE: f64 = 0.5; // of an even share of the calls, where no peer is warm
const COLD_GAIN: f64 = 1.5; // by the end of the cold time, a server can lower_bound_share do so many times more
/// How popular a beginning is, is judged over so many calls, within these times (us): a text that turns hot
/// gets its homes before it buries one, and a front that sees few calls takes no chance for a trend.
const SHARE_CALLS: f64 = 100.0;
const SHARE_TIME: [f64; 2] = [15_000_000.0, 60_000_000.0];
const RATE_TIME: f64 = 60_000_000.0; // of rates (us): thirty calls of a front that sees one in two seconds
/// Overload: how much of the aim a request may wait at a stage (read, write, whole); then, as shares of that:
/// own waiting work (at the unhindered pace) that is a jam when comebacks show queueing, and when not; and
/// what queueing that is. Scales with the aim and the pace, by itself.
const WAIT_SHARE_OF_AIM: [f64; 3] = [0.4, 0.3, 0.5];
const BURST_PART: f64 = 0.3;
const CERTAIN_PART: f64 = 1.2;
const QUEUED_PART: f64 = 1.0;
/// Time between two sweeps (us). Scales with the shortest time in which a held state must be let go.
const SWEEP_EVERY: Micros = 40_000;
const SWEEP: TimerToken = TimerToken(1);

/// A front's decisions. See the [module](self) for a reading order.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    requests: HashMap<RequestId, RequestState>, // looked up, never iterated
    parked: BTreeSet<RequestId>,                // their state waits for a writer
    pub(crate) stages: [StageStatistics; 3],
    far_pace: DecayingAverage, // of fetches that leave the reader's cell
    pub(crate) call_rate: DecayingRate,
    pub(crate) calls_lately: DecayingRate, // over the time that beginnings are judged by
    pub(crate) beginnings: LruCache<Key, DecayingRate>, // calls a second with each shared beginning
    cells: BTreeMap<CellId, CellBalance>,
    list_backoff: ListBackoff,
    ask_at: Option<Micros>,
    sweeping: bool,
    pub(crate) gossip: LoadGossip,
    part: f64, // of this front that this process is, while another takes over
}

impl Router {
    /// A front that has just started.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let guess = settings.shortest_latency_objective() / FIRST_GUESS_TOKENS;
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            servers: BTreeMap::new(),
            requests: HashMap::new(),
            parked: BTreeSet::new(),
            stages: [(); 3].map(|()| StageStatistics::new(guess, WRITE_OVERHEAD)),
            far_pace: DecayingAverage::default(),
            call_rate: DecayingRate::default(),
            calls_lately: DecayingRate::default(),
            beginnings: LruCache::unbounded(),
            cells: BTreeMap::new(),
            list_backoff: ListBackoff::default(),
            ask_at: settings.must_subscribe.then_some(now),
            sweeping: false,
            gossip: LoadGossip::new(&settings),
            settings,
            part: 1.0,
        }
    }

    /// Takes an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if !self.sweeping {
            self.sweeping = true;
            self.sweep(out);
        }
        match event {
            Event::EndpointsUpdated { how, entries } => self.roster(how, entries),
            Event::RequestArrived(info) => self.take_request(info, out),
            Event::FirstToken { id, attempt, taken } => self.begun(id, attempt, taken),
            Event::AttemptFinished(ended) => self.ended(ended, out),
            Event::ClientDisconnected(id) => self.hangup(id, out),
            Event::TimerFired(SWEEP) => self.sweep(out),
            Event::GossipReceived(bytes) => self.gossip.receive(&bytes, now),
            Event::SettingsReloaded { settings, class_renumbering } => {
                self.reload(*settings, &class_renumbering)
            }
            Event::StateImported(_) => unreachable!("a hand-over is not played here"),
            Event::LimitShareChanged(part) => self.part = part,
            Event::TimerFired(_) | Event::Ignored => {}
        }
        self.gossip.publish(now, out);
    }

    /// New settings: what is known of servers for a class goes on under its new number.
    fn reload(&mut self, settings: Settings, class_renumbering: &BTreeMap<u32, u32>) {
        for server in self.servers.values_mut() {
            for (&new, old) in class_renumbering {
                let known = server.statistics.outlier_states.get(old).cloned();
                server.statistics.outlier_states.extend(known.map(|known| (new, known)));
            }
            server.statistics.outlier_states.retain(|class, _| settings.classes.contains_key(class));
        }
        self.gossip.reload(&settings);
        self.settings = settings;
    }

    // ---- A request's life ----

    fn take_request(&mut self, info: RequestInfo, out: &mut Vec<Action>) {
        let id = info.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.call_rate.add(1.0, self.now, RATE_TIME);
        let time = self.share_time();
        self.calls_lately.add(1.0, self.now, time);
        self.gossip.add_credit();
        if let Some(key) = info.shared {
            self.beginnings.get_or_insert_mut(key, DecayingRate::default).add(1.0, self.now, time);
            if self.beginnings.len() > PREFIX_KEYS {
                self.beginnings.pop_lru();
            }
        }
        self.requests.insert(id, RequestState::new(info));
        self.route(id, out);
    }

    /// The next step of a request that has no attempt out: on to a writer, to a mixed server, to a reader,
    /// else whole to whatever can do it, else an answer at once.
    fn route(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.info.not_after <= self.now
            || self.spent(request)
            || !self.servers.values().any(|server| self.effect_allows(request, server))
        {
            return self.answer(id, out);
        }
        let &RequestInfo { not_after, class, session, .. } = &request.info;
        if let Some(HeldState { reader, since }) = request.held_state {
            match self.pick_writer(id, reader) {
                Some(writer) if self.now < since + self.settings.max_hold_time => {
                    return self.send(id, writer, Stage::Write, out);
                }
                None if self.may_hold(since, not_after) => {
                    self.parked.insert(id);
                    return;
                }
                _ => return self.answer(id, out),
            }
        }
        let lot = unit_interval(self.rng.next_u64());
        let jammed = self.jammed(class, Stage::Read, lot) || self.jammed(class, Stage::Write, lot);
        if (jammed || self.takes_mixed_share(class, session)) && !self.jammed(class, Stage::ReadAndWrite, lot)
        {
            if let Some(mixed) = self.pick_by_match(id, Role::Mixed, true) {
                return self.send(id, mixed, Stage::ReadAndWrite, out);
            }
        }
        if jammed {
            return self.answer(id, out);
        }
        if let Some(reader) = self.pick_by_match(id, Role::Reader, false) {
            return self.send(id, reader, Stage::Read, out);
        }
        let in_need =
            [Role::Mixed, Role::Writer].into_iter().take(1 + usize::from(self.settings.writers_can_read));
        for role in in_need {
            if let Some(server) = self.pick_by_match(id, role, false) {
                return self.send(id, server, Stage::ReadAndWrite, out);
            }
        }
        self.answer(id, out);
    }

    /// Ends a request at once: refused where a new try is harmless, else failed. Lets go of its state.
    fn answer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let class = self.settings.classes.get(&request.info.class);
        let harmless = request.may_have_run.is_none()
            || class.is_none_or(|class| match class.effect {
                Effect::Idempotent => true,
                Effect::Deduplicated => class.dedup_group == DedupGroup::All,
                Effect::AtMostOnce => false,
            });
        if harmless && request.info.not_after > self.now {
            let spread = self.rng.next_u64() % (self.settings.max_retry_after / 2).max(1);
            out.push(Action::Reject { id, retry_in: self.settings.max_retry_after / 2 + spread });
        } else {
            out.push(Action::Fail(id));
        }
        request.is_completed = true;
        self.close(id, out);
    }

    /// Forgets a request that is over and has nothing out; whatever may be held for it is let go.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.parked.remove(&id);
        if self.requests.get(&id).is_some_and(|request| request.is_completed && request.in_flight.is_none()) {
            let request = self.requests.remove(&id);
            if request.is_some_and(|request| request.held_state.is_some()) {
                out.push(Action::ReleaseHeldState(id));
            }
        }
    }

    fn begun(&mut self, id: RequestId, number: u32, taken: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) =
            request.in_flight.as_mut().filter(|out| out.number == number && !out.is_streaming)
        else {
            return;
        };
        attempt.is_streaming = true;
        request.held_state = None;
        let attempt = attempt.clone();
        self.off_waiting(id, &attempt);
        self.did_well(&attempt, taken);
    }

    fn ended(&mut self, ended: AttemptFinished, out: &mut Vec<Action>) {
        let AttemptFinished { id, outcome, .. } = ended;
        if let (Some(server), Some(report)) = (self.servers.get_mut(&ended.server), ended.report) {
            server.statistics.report = Some((report, self.now));
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(mut attempt) = request.in_flight.take_if(|out| out.number == ended.attempt) else { return };
        let prompt = request.info.prompt_tokens;
        request.is_completed |= ended.last;
        let worked = matches!(outcome, Outcome::Read | Outcome::Served);
        match outcome {
            Outcome::Read => request.held_state = Some(HeldState { reader: attempt.server, since: self.now }),
            // Also told where the reader is only cut off from that writer: the state may still be pinned.
            Outcome::NoState if request.held_state.take().is_some() => out.push(Action::ReleaseHeldState(id)),
            // The time that a state may wait goes on running while connections fail to come up.
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Unacknowledged => {}
            _ => request.held_state = request.held_state.map(|held| HeldState { since: self.now, ..held }),
        }
        if !worked {
            request.failed_at.push(attempt.server);
        }
        if outcome.may_have_run() && attempt.stage != Stage::Read && request.may_have_run.is_none() {
            request.may_have_run = Some(PossibleRun { server: attempt.server, sent_at: attempt.sent_at });
        }
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.memory_tokens_in_flight =
                server.memory_tokens_in_flight.saturating_sub(attempt.memory_tokens);
            if let Some(expected) = attempt.expected_prefix.filter(|_| worked) {
                let kept = ended.cached_tokens as f64 >= KEPT_SHARE * expected.tokens as f64;
                server.prefixes.record_lookup(kept, expected, attempt.sent_at);
            }
        }
        if !attempt.is_streaming {
            self.off_waiting(id, &attempt);
            if outcome == Outcome::Read {
                attempt.work_tokens = prompt.saturating_sub(ended.cached_tokens) as f64 + READ_OVERHEAD;
            }
            if worked {
                self.did_well(&attempt, ended.taken);
            } else {
                self.did_badly(&attempt, outcome);
            }
        }
        if self.requests.get(&id).is_some_and(|request| request.is_completed) {
            self.close(id, out);
        } else {
            self.route(id, out);
        }
    }

    /// The client has left: what is out is called off where that is allowed; a late read is let go then.
    fn hangup(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.is_completed = true;
        if let Some(attempt) = request.in_flight.as_ref().filter(|out| !out.is_streaming) {
            if self.settings.may_cancel {
                out.push(Action::CancelAttempt { id, attempt: attempt.number });
            }
        }
        self.close(id, out);
    }

    // ---- The guard: every send passes here ----

    /// Whether the rules allow this send now: (1) the request is not over; (2) nothing else is out and no
    /// effect can happen twice; (3) the list has the server as ready; (4) a cold server's budget allows it.
    fn allowed(&self, request: &RequestState, server: &Server) -> bool {
        let window = self.settings.overload_window;
        let open = !request.is_completed && request.in_flight.is_none() && request.info.not_after > self.now;
        open && server.entry.health == Health::Ready
            && self.effect_allows(request, server)
            && self
                .cold_permit(server)
                .is_none_or(|permit| server.slow_start_budget.allows(self.now, permit, window))
    }

    fn spent(&self, request: &RequestState) -> bool {
        let class = self.settings.classes.get(&request.info.class);
        class.is_some_and(|class| request.attempts >= class.max_attempts)
    }

    fn effect_allows(&self, request: &RequestState, server: &Server) -> bool {
        let Some(PossibleRun { server: first, sent_at: sent }) = request.may_have_run else { return true };
        let Some(class) = self.settings.classes.get(&request.info.class) else { return false };
        let same_group = || {
            let first = self.servers.get(&first).map(|first| &first.entry);
            first.is_some_and(|first| match class.dedup_group {
                DedupGroup::All => true,
                DedupGroup::Zone => first.zone == server.entry.zone,
                DedupGroup::Cell => first.cell == server.entry.cell,
            })
        };
        match class.effect {
            Effect::Idempotent => true,
            Effect::AtMostOnce => false,
            Effect::Deduplicated => {
                self.now + 2 * self.settings.resolution < sent + class.dedup_window && same_group()
            }
        }
    }

    fn send(&mut self, id: RequestId, to: ServerId, stage: Stage, out: &mut Vec<Action>) {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else { return };
        if !self.allowed(request, server) || self.spent(request) {
            return self.answer(id, out);
        }
        let info = &request.info;
        let held = server.prefixes.longest_match(info, self.now);
        let unread = info.prompt_tokens - held.map_or(0, |prefix| prefix.tokens);
        let answer = self.answer_tokens(info);
        let (tokens, effort) = match stage {
            Stage::Read => (unread, unread as f64 + READ_OVERHEAD),
            Stage::Write => (info.prompt_tokens + answer, info.prompt_tokens as f64 + WRITE_OVERHEAD),
            Stage::ReadAndWrite => (info.prompt_tokens + answer, unread as f64 + READ_OVERHEAD),
        };
        let reader = request.held_state.and_then(|held| self.servers.get(&held.reader));
        let far = reader.is_some_and(|reader| reader.entry.cell != server.entry.cell);
        let latency_objective = self
            .settings
            .classes
            .get(&info.class)
            .map_or(0.0, |class| class.latency_objective_for(info.prompt_tokens));
        let attempt_timeout =
            self.attempt_timeout(server, stage, effort, request.failed_at.len(), latency_objective);
        let attempt_timeout =
            (attempt_timeout * if far { FAR_PATIENCE } else { 1 }).min(info.not_after - self.now).max(1);
        let permit = self.cold_permit(server);
        let expected = self.gossip.believed_us(to, self.now);
        if stage != Stage::Write {
            self.gossip.record_sent(to, effort * self.stages[stage as usize].unloaded_us_per_token);
        }
        let (Some(request), Some(server)) = (self.requests.get_mut(&id), self.servers.get_mut(&to)) else {
            return;
        };
        if let Some(permit) = permit {
            server.slow_start_budget.spend(self.now, permit, self.settings.overload_window);
        }
        server.unanswered.insert((self.now, id));
        server.unanswered_tokens[stage as usize] += effort;
        server.memory_tokens_in_flight += tokens;
        if stage != Stage::Write {
            let _ = server.prefixes.record(&request.info, self.now);
        }
        let class = request.info.class;
        let attempt = Attempt {
            number: request.attempts,
            server: to,
            stage,
            sent_at: self.now,
            memory_tokens: tokens,
            work_tokens: effort,
            expected_queueing_us: expected,
            class,
            expected_prefix: held.filter(|_| stage != Stage::Write),
            is_streaming: false,
            crosses_cells: far,
        };
        request.attempts += 1;
        request.in_flight = Some(attempt);
        self.parked.remove(&id);
        out.push(Action::Assign { id, server: to, attempt_timeout });
    }

    /// How long an attempt may take: a multiple of what its like usually takes behind what waits there, more
    /// with each failure, so that a jam of the whole pool ends in waiting and not in ever more repeats.
    fn attempt_timeout(
        &self,
        server: &Server,
        stage: Stage,
        effort: f64,
        failures: usize,
        latency_objective: f64,
    ) -> Micros {
        let usual = self.stages[stage as usize].median_us_per_token;
        let told = self.gossip.believed_us(server.entry.server, self.now);
        let waits = told.max(usual * server.unanswered_tokens[stage as usize]);
        let least = PATIENCE_SHARE_OF_AIM * latency_objective.max(self.settings.shortest_latency_objective());
        let attempt_timeout = (PATIENCE_MULTIPLE * (usual * effort + waits)).max(least);
        (attempt_timeout * f64::from(1u32 << failures.min(6))) as Micros
    }

    fn may_hold(&self, since: Micros, not_after: Micros) -> bool {
        let next = self.now + SWEEP_EVERY + 4 * self.settings.resolution + 10_000;
        next < not_after.min(since + self.settings.max_hold_time)
    }

    // ---- Choice of a server ----

    /// The server of a role with the longest match, then fewest own in flight, then the home, then by lot;
    /// with no match anywhere the ranking starts at the home. The valve passes servers at their cap; all
    /// capped: none where `only_free`, else fewest in flight.
    fn pick_by_match(&mut self, id: RequestId, role: Role, only_free: bool) -> Option<ServerId> {
        let salt = self.rng.next_u64();
        let request = self.requests.get(&id)?;
        let pool = self.usable(role, request);
        let info = &request.info;
        let class = info.class;
        let mut ranking: Vec<_> = Vec::with_capacity(pool.len());
        for (at, id) in self.homes(role, info).into_iter().enumerate().filter(|(_, id)| pool.contains(id)) {
            let server = &self.servers[&id];
            let held = server.prefixes.longest_match(info, self.now).map_or(0, |prefix| prefix.tokens);
            let held = if at == 0 { held.max(info.shared_tokens) } else { held };
            let in_flight = server.unanswered.len();
            let (first, then) = if held > 0 { (in_flight, usize::from(at > 0)) } else { (0, at) };
            ranking.push((Reverse(held), first, then, in_flight, mix(salt ^ mix(u64::from(id.0))), id));
        }
        ranking.sort_unstable();
        let mean_tokens = self.mean_tokens(role);
        let stage = if role == Role::Reader { Stage::Read } else { Stage::ReadAndWrite };
        let best = self.stages[stage as usize].unloaded_us_per_token;
        for &(Reverse(held), .., id) in &ranking {
            let lot = unit_interval(self.rng.next_u64());
            let server = &self.servers[&id];
            let rereading = best * held as f64; // a match is worth that wait
            let queued =
                server.statistics.queueing_us[stage as usize].value_at(self.now, 0.0, PACE_HALF_LIFE);
            let queued = queued.max(self.gossip.believed_us(id, self.now));
            let free = !self.capped(server, stage, rereading)
                && queued <= rereading + CAP_SHARE_OF_AIM * self.settings.shortest_latency_objective()
                && !self.stranded(server, class)
                && lot < self.share_for_pace(server, stage);
            if free && (role == Role::Reader || self.has_room(server, mean_tokens)) {
                return Some(id);
            }
        }
        // Of those with the fewest, the one done first: text read anew by a full pool fills it the more.
        let done = |held: u64, id| self.gossip.believed_us(id, self.now) - best * held as f64;
        let fewest = ranking.iter().min_by(|a, b| {
            a.3.cmp(&b.3).then(done(a.0 .0, a.5).total_cmp(&done(b.0 .0, b.5))).then(a.4.cmp(&b.4))
        });
        fewest.map(|rank| rank.5).filter(|_| !only_free)
    }

    /// Servers from the home on, by rendezvous hash: all fronts of a zone agree on the home and stand-ins,
    /// and a change of the list moves only what lay there. A zone's own servers come first, for as many
    /// keys as they can take. Of several homes of a beginning the session picks one, and it counts as kept
    /// there: turns must find it, so nothing here may depend on how long the prompt has grown.
    fn homes(&self, role: Role, info: &RequestInfo) -> Vec<ServerId> {
        let key = info.shared.or(info.session).unwrap_or(Key(0));
        let moves = role == Role::Reader && info.shared.is_some();
        let score = |e: &Server| {
            let lot = unit_interval(mix(key.0 ^ mix(u64::from(e.entry.server.0))));
            // What is kept costs little to read, but all of it has to move: it belongs beside writers.
            let cell = self.cells.get(&e.entry.cell).filter(|_| moves);
            let pull =
                cell.map_or(1.0, |cell| cell.writer_surplus.sqrt().clamp(READER_PULL[0], READER_PULL[1]));
            lot.ln() / pull
        };
        let listed = self.servers.values().filter(|e| e.role == role && e.entry.health == Health::Ready);
        let zones: BTreeSet<ZoneId> = listed.clone().map(|e| e.entry.zone).collect();
        let own = |e: &Server| e.entry.zone == self.settings.zone;
        let mut order: Vec<_> = listed.map(|e| (own(e), score(e), e.entry.server)).collect();
        let part = order.iter().filter(|rank| rank.0).count() as f64 / order.len().max(1) as f64;
        let stays = unit_interval(mix(!key.0)) < ZONE_SHARE * part * zones.len() as f64;
        order.sort_unstable_by(|a, b| (a.0 != stays).cmp(&(b.0 != stays)).then(b.1.total_cmp(&a.1)));
        let time = self.share_time();
        let seen = self.beginnings.peek(&key).map_or(0.0, |rate| rate.count_at(self.now, time));
        let calls = self.calls_lately.count_at(self.now, time);
        let share = (seen - 1.0).max(0.0) / (calls + PRIOR_CALLS); // one sighting proves nothing
        let reads = FIRST_GUESS_TOKENS / info.shared_tokens.max(1) as f64;
        let least = reads.ceil().min(order.len().div_ceil(READERS_PER_HOME) as f64);
        let homes = (HOMES_PER_SHARE * share * order.len() as f64).ceil().max(least) as usize;
        let homes = homes.min(order.len());
        let session = info.session.unwrap_or(key).0;
        order[..homes].sort_by_key(|rank| Reverse(mix(session ^ mix(u64::from(rank.2 .0) + 1))));
        order.into_iter().map(|rank| rank.2).collect()
    }

    fn share_time(&self) -> f64 {
        let calls = self.call_rate.age_corrected_at(self.now, RATE_TIME);
        (SHARE_CALLS * 1e6 / calls).clamp(SHARE_TIME[0], SHARE_TIME[1])
    }

    /// The writer for a state: of two ready ones drawn in the reader's cell, else its zone, else any, the
    /// one with fewer own tokens under way. Mixed servers help where no writer is ready.
    /// Racks are uneven: a cell, or a zone, keeps only the part of its states that its writers can take, and
    /// the rest goes where writers have room to spare. Harm: states that a quiet rack could have kept move.
    fn pick_writer(&mut self, id: RequestId, reader: ServerId) -> Option<ServerId> {
        let [stays, in_zone, spare] = [(); 3].map(|()| self.rng.next_u64());
        let request = self.requests.get(&id)?;
        // What has been read is not thrown away for an estimate; early enough that a connect may yet fail.
        let last =
            request.held_state.is_none_or(|held| self.now >= held.since + self.settings.max_hold_time / 2);
        let ready = [Role::Writer, Role::Mixed].into_iter().map(|role| {
            let mean = if last { 0.0 } else { self.mean_tokens(role) };
            let mut ready = self.usable(role, request);
            ready.retain(|id| self.has_room(&self.servers[id], mean));
            ready
        });
        let mut ready = ready.into_iter().find(|ready| !ready.is_empty())?;
        self.pass_crowded(&mut ready, unit_interval(mix(!spare)));
        let Some(from) = self.servers.get(&reader).map(|server| &server.entry) else {
            return self.better_of_two(&ready);
        };
        let whole = CellBalance::default();
        let cell = |entry: &ServerEntry| self.cells.get(&entry.cell).unwrap_or(&whole);
        let stays = unit_interval(stays) < cell(from).writer_surplus;
        let in_zone = unit_interval(in_zone) < cell(from).zone_retention;
        let has_spare = |to: &ServerEntry| {
            unit_interval(mix(spare ^ u64::from(to.server.0))) < 1.0 - 1.0 / cell(to).writer_surplus
        };
        let tests: [&dyn Fn(&ServerEntry) -> bool; 5] = [
            &|to| stays && to.cell == from.cell,
            &|to| in_zone && to.zone == from.zone && has_spare(to),
            &|to| to.zone != from.zone && has_spare(to),
            &|to| to.zone == from.zone,
            &|_| true,
        ];
        let draw = |test: &&dyn Fn(&ServerEntry) -> bool| -> Vec<ServerId> {
            ready.iter().copied().filter(|id| test(&self.servers[id].entry)).collect()
        };
        let drawn = tests.iter().map(draw).find(|drawn| !drawn.is_empty());
        self.better_of_two(&drawn.unwrap_or_default())
    }

    /// Passes writers of a cell that lately queued or timed out over what is permitted and twice the middle
    /// cell, in proportion, unless links are slow: a front meets the cell often, each writer seldom. Also
    /// catches a cell of slow writers. Harm: one slow writer sends its neighbours' states off.
    fn pass_crowded(&self, ready: &mut Vec<ServerId>, lot: f64) {
        if self.slow_links() {
            return;
        }
        let queued = |cell: &CellBalance| cell.queueing_us.value_at(self.now, 0.0, PACE_HALF_LIFE);
        let middle = lower_median(self.cells.values().map(queued).collect()).unwrap_or(0.0);
        let permitted = WAIT_SHARE_OF_AIM[Stage::Write as usize] * self.settings.shortest_latency_objective();
        let limit = (QUEUED_PART * permitted).max(SLUGGISH * middle);
        let prompt = self.cells.iter().filter(|(_, cell)| lot < limit / queued(cell));
        let prompt: Vec<&CellId> = prompt.map(|(id, _)| id).collect();
        let stays = |id: &ServerId| prompt.contains(&&self.servers[id].entry.cell);
        if ready.iter().any(stays) {
            ready.retain(stays);
        }
    }

    /// Over slow links a reader without a writer in its cell is passed like one at its cap.
    fn stranded(&self, reader: &Server, class: u32) -> bool {
        let beside = |e: &&Server| e.role != Role::Reader && e.entry.cell == reader.entry.cell;
        let mut beside = self.servers.values().filter(beside);
        reader.role == Role::Reader && self.slow_links() && !beside.any(|e| self.well(e, class))
    }

    fn slow_links(&self) -> bool {
        let far = self.far_pace.value_at(self.now, 0.0, PACE_HALF_LIFE);
        far > SLOW_LINKS * self.stages[Stage::Write as usize].median_us_per_token
    }

    fn better_of_two(&mut self, from: &[ServerId]) -> Option<ServerId> {
        if from.len() < 2 {
            return from.first().copied();
        }
        let first = self.rng.next_u64() as usize % from.len();
        let second = (first + 1 + self.rng.next_u64() as usize % (from.len() - 1)) % from.len();
        let load = |at: usize| {
            let server = &self.servers[&from[at]];
            server.memory_tokens_in_flight as f64
                / server.entry.weight.max(0.01)
                / self.share_for_pace(server, Stage::Write)
        };
        Some(if load(second) < load(first) { from[second] } else { from[first] })
    }

    /// Mixed servers take their share of sessions: by count of machines, each session always alike.
    fn takes_mixed_share(&mut self, class: u32, session: Option<Key>) -> bool {
        let well = |e: &&Server, role| e.role == role && self.well(e, class);
        let count = |role| self.servers.values().filter(|e| well(e, role)).count() as f64;
        let mixed = count(Role::Mixed);
        let share = mixed / (mixed + count(Role::Reader) + count(Role::Writer)).max(1.0);
        let lot = session.map_or_else(|| self.rng.next_u64(), |Key(key)| mix(key));
        unit_interval(lot) < share
    }

    /// Servers of a role that the rules allow and that look well; where too few do, all that are allowed.
    fn usable(&self, role: Role, request: &RequestState) -> Vec<ServerId> {
        let class = request.info.class;
        let allowed = |e: &&Server| e.role == role && self.allowed(request, e);
        let pool = most(self.servers.values().filter(allowed).collect(), |e| self.well(e, class));
        let untried = |e: &&Server| !request.failed_at.contains(&e.entry.server);
        let any_untried = pool.iter().any(untried);
        pool.into_iter().filter(|e| !any_untried || untried(e)).map(|e| e.entry.server).collect()
    }

    fn well(&self, server: &Server, class: u32) -> bool {
        let idle = server.unanswered.is_empty();
        let standing = server.statistics.outlier_states.get(&class);
        server.entry.health == Health::Ready
            && standing.is_none_or(|standing| standing.accepts_work(self.now, idle))
    }

    /// The valve, in time and not in count, so that one giant weighs as much as many short prompts. By the
    /// unhindered pace: the usual one has queueing in it already, and would send on what a busy pool keeps.
    fn capped(&self, server: &Server, stage: Stage, rereading: f64) -> bool {
        let full = server.statistics.full_until > self.now;
        if full || server.unanswered.is_empty() {
            return full;
        }
        let figures = &self.stages[stage as usize];
        let mean = figures.tokens_in_flight.value_at(self.now, RATE_TIME) / self.count(server.role).max(1.0);
        let load =
            self.of_all_fronts(server.unanswered_tokens[stage as usize], mean, figures.tokens_per_attempt);
        let cap = CAP_SHARE_OF_AIM * self.settings.shortest_latency_objective() + rereading;
        self.is_late(server, stage) || load * figures.unloaded_us_per_token > cap
    }

    /// What all fronts together are likely to have at a server: own work, and for each other front the mean
    /// of the pool, as far above or below it as own work shows. With many own samples this comes near own
    /// work times fronts; with few it stays near the mean: one own request does not look like a full server.
    fn of_all_fronts(&self, own: f64, mean: f64, typical: f64) -> f64 {
        let others = f64::from(self.settings.dispatcher_count - 1) * mean;
        own + others * shrunk_ratio(own, mean, PRIOR_REQUESTS * typical)
    }

    /// Whether the oldest attempt there has been silent for too long, before any time-out says so.
    fn is_late(&self, server: &Server, stage: Stage) -> bool {
        server.oldest_wait_us(self.now) > self.attempt_timeout(server, stage, 0.0, 0, 0.0) / 2
    }

    /// Own tokens a server, as far as they are no chance: few requests say little of what other fronts hold.
    fn mean_tokens(&self, role: Role) -> f64 {
        let tokens: u64 =
            self.servers.values().filter(|e| e.role == role).map(|e| e.memory_tokens_in_flight).sum();
        let requests = tokens as f64 / self.stages[Stage::Write as usize].tokens_per_attempt;
        lower_bound_share(requests) * tokens as f64 / self.count(role).max(1.0)
    }

    /// Room for an answer: tokens of all fronts within the memory (`mean` is its role's own tokens a server),
    /// no recent `Full`, and a report, if there is a recent one, that shows memory left.
    fn has_room(&self, server: &Server, mean: f64) -> bool {
        let typical = self.stages[Stage::Write as usize].tokens_per_attempt;
        let load = self.of_all_fronts(server.memory_tokens_in_flight as f64, mean, typical);
        let memory = server.memory_tokens == 0 || load < MEMORY_SHARE * server.memory_tokens as f64;
        let report = server.statistics.report.filter(|&(_, at)| at + REPORT_LIFE > self.now);
        let field = self.settings.memory_field;
        let held = report.and_then(|(report, _)| report.values[field?]).unwrap_or(0.0);
        memory && server.statistics.full_until <= self.now && held < REPORTED_MEMORY_SHARE
    }

    /// Share of new work that a server's pace earns: all of it up to `SLUGGISH` times the usual, then less.
    fn share_for_pace(&self, server: &Server, stage: Stage) -> f64 {
        let usual = self.stages[stage as usize].median_us_per_token;
        (SLUGGISH * usual
            / server.statistics.us_per_token[stage as usize].value_at(self.now, usual, PACE_HALF_LIFE))
        .min(1.0)
    }

    /// Overload: requests queued at this stage for too much of their aim, and the queue still stands. Then
    /// new work is refused early, so that what is served is in time, whatever made the pool too small: a
    /// burst, lost, slow or cold servers, forgotten text. Told by own work at the middle server (many own
    /// samples), else by what the whole stage queued (`pressure`): then refusals grow with it. Servers that
    /// are late on their own do not count. Harm: a front that met only buried servers refuses too much.
    fn jammed(&self, class: u32, stage: Stage, lot: f64) -> bool {
        let at = stage as usize;
        let limit = WAIT_SHARE_OF_AIM[at] * self.aim_by_worth(class);
        let serves =
            |e: &&Server| e.statistics.us_per_token[at].last.is_some() || e.unanswered_tokens[at] > 0.0;
        let prompt = |e: &Server| self.well(e, class) && !self.is_late(e, stage);
        let pool = most(self.servers.values().filter(serves).collect(), prompt);
        let middle = |figure: &dyn Fn(&Server) -> f64| {
            lower_median(pool.iter().map(|e| figure(e)).collect()).unwrap_or(0.0)
        };
        let queued = middle(&|e| self.queue_time(e, at));
        // Without queueing seen, only what stands behind another attempt counts: one long read is no queue.
        let (part, heads) =
            if queued > QUEUED_PART * limit { (BURST_PART, 0.0) } else { (CERTAIN_PART, 1.0) };
        let behind = |e: &Server| e.unanswered_tokens[at] * (1.0 - heads / e.unanswered.len().max(1) as f64);
        if middle(&behind) * self.stages[at].unloaded_us_per_token * f64::from(self.settings.dispatcher_count)
            > part * limit
        {
            return true;
        }
        let waiting: f64 = pool.iter().map(|e| e.unanswered_tokens[at]).sum();
        let mean = self.stages[at].tokens_in_flight.value_at(self.now, RATE_TIME);
        let still = shrunk_ratio(waiting, mean, PRIOR_REQUESTS * self.stages[at].tokens_per_attempt).min(1.0);
        let pressure = still * self.pressure(at);
        lot > (QUEUED_PART * limit / pressure).powi(2)
    }

    /// What attempts lately waited there, or the oldest one out has waited by now, beyond the work itself.
    fn queue_time(&self, server: &Server, at: usize) -> f64 {
        server.statistics.queueing_us[at].value_at(self.now, 0.0, PACE_HALF_LIFE).max(self.silent(server, at))
    }

    /// How long the oldest attempt out there has waited by now, beyond the work itself.
    fn silent(&self, server: &Server, at: usize) -> f64 {
        server.oldest_wait_us(self.now) as f64
            - self.stages[at].unloaded_us_per_token * server.unanswered_tokens[at]
    }

    /// All classes share the queues: a long aim may make them longer than the shortest aim wants only as far
    /// as the class's worth is above the lowest, or it would push the others out.
    fn aim_by_worth(&self, class: u32) -> f64 {
        let Some(class) = self.settings.classes.get(&class) else {
            return self.settings.shortest_latency_objective();
        };
        let lowest =
            self.settings.current().map(|class| class.priority_weight).fold(class.priority_weight, f64::min);
        (class.latency_objective as f64).min(
            self.settings.shortest_latency_objective() * class.priority_weight
                / lowest.max(f64::MIN_POSITIVE),
        )
    }

    fn answer_tokens(&self, info: &RequestInfo) -> u64 {
        let token_interval_objective =
            self.settings.classes.get(&info.class).map_or(0, |class| class.token_interval_objective);
        match info.hint {
            Some(hint) if token_interval_objective > 0 => hint / token_interval_objective,
            _ => info.max_tokens / 2,
        }
    }

    // ---- What is learnt ----

    fn off_waiting(&mut self, id: RequestId, attempt: &Attempt) {
        let at = attempt.stage as usize;
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        if server.unanswered.remove(&(attempt.sent_at, id)) {
            server.unanswered_tokens[at] = (server.unanswered_tokens[at] - attempt.work_tokens).max(0.0);
            let taken = (self.now - attempt.sent_at) as f64 / 1e6;
            let stage = &mut self.stages[at];
            stage.tokens_in_flight.add(attempt.work_tokens * taken, self.now, RATE_TIME);
            stage.tokens_per_attempt += PACE_WEIGHT * (attempt.work_tokens - stage.tokens_per_attempt);
        }
    }

    fn did_well(&mut self, attempt: &Attempt, taken: Micros) {
        let at = attempt.stage as usize;
        let pace = taken as f64 / attempt.work_tokens;
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        server.statistics.outlier_states.remove(&attempt.class);
        server.statistics.served_per_second.add(1.0, self.now, RATE_TIME);
        let usual = self.stages[at].median_us_per_token;
        if attempt.crosses_cells {
            return self.far_pace.add(pace, self.now, usual, PACE_HALF_LIFE, PACE_WEIGHT);
        }
        let best = &mut self.stages[at].unloaded_us_per_token;
        *best += (pace - *best) * if pace < *best { BEST_FALLS } else { BEST_RISES };
        let queued = (taken as f64 - *best * attempt.work_tokens).max(0.0);
        server.statistics.us_per_token[at].add(pace, self.now, usual, PACE_HALF_LIFE, PACE_WEIGHT);
        server.statistics.queueing_us[at].add_weighted_by_age(queued, self.now, PACE_HALF_LIFE, PACE_WEIGHT);
        if attempt.stage != Stage::Write {
            self.gossip.record_queueing(attempt.server, queued, attempt.expected_queueing_us);
        }
        self.crowds(attempt, queued, false);
        self.press(at, queued.min(MOST_QUEUED * self.settings.shortest_latency_objective()));
        self.take_down(at, queued);
    }

    /// What comebacks of a stage queued, over the last second or the last few samples, whichever is longer.
    fn press(&mut self, at: usize, queued: f64) {
        let pressure = &mut self.stages[at].queueing_us;
        let weight = (1.0 - (-pressure.age_us(self.now) / PRESSURE_TIME).exp()).min(PACE_WEIGHT);
        let falls = queued < pressure.value_at(self.now, 0.0, PACE_HALF_LIFE);
        let weight = weight * if falls { PRESSURE_FALLS } else { 1.0 };
        pressure.add(queued, self.now, 0.0, PACE_HALF_LIFE, weight);
    }

    fn take_down(&mut self, at: usize, queued: f64) {
        self.stages[at].record_recent(self.now, queued, ENDS_TAKEN_DOWN);
    }

    /// What a stage queues: the mean of what came back or, where that is more, a low quantile of what lately
    /// ended, time-outs above all: a jam does not hide behind what gets through, nor do some silent servers
    /// look like one. One more counts as prompt: few prove nothing. Also catches a pool wholly silent. Harm:
    /// where more than `LOST_AT_MOST` meets silent servers, what others could serve is refused.
    fn pressure(&self, at: usize) -> f64 {
        let stage = &self.stages[at];
        let is_fresh = |sample: &&QueueingSample| ((self.now - sample.ended_at) as f64) < PACE_HALF_LIFE;
        let fresh = stage.recent_queueing.iter().filter(is_fresh);
        let queued = fresh.map(|sample| sample.queueing_us).chain([0.0]).collect();
        let low = quantile(queued, 1.0 - LOST_AT_MOST).unwrap_or(0.0);
        low.max(stage.queueing_us.value_at(self.now, 0.0, PACE_HALF_LIFE))
    }

    /// What a state queued at a writer of its reader's cell, taken down for the cell. One that was lost there
    /// counts as twice what came back at most: where others are prompt, its writer is silent, not crowded.
    fn crowds(&mut self, attempt: &Attempt, queued: f64, lost: bool) {
        let near = attempt.stage == Stage::Write && !attempt.crosses_cells;
        let writer = self.servers.get(&attempt.server).filter(|_| near);
        let Some(cell) = writer.and_then(|writer| self.cells.get_mut(&writer.entry.cell)) else { return };
        let most =
            if lost { SLUGGISH * cell.queueing_us.value_at(self.now, 0.0, PACE_HALF_LIFE) } else { queued };
        cell.queueing_us.add_weighted_by_age(queued.min(most), self.now, PACE_HALF_LIFE, PACE_WEIGHT);
    }

    fn did_badly(&mut self, attempt: &Attempt, outcome: Outcome) {
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        match outcome {
            Outcome::Full => {
                server.statistics.full_until = self.now + FULL_REST;
                return self.press(attempt.stage as usize, self.settings.shortest_latency_objective());
            }
            Outcome::NoState | Outcome::Cancelled | Outcome::NotSent => return,
            _ => {}
        }
        let role = server.role;
        if outcome == Outcome::Timeout {
            self.crowds(attempt, (self.now - attempt.sent_at) as f64, true);
            self.take_down(attempt.stage as usize, MOST_QUEUED * self.settings.shortest_latency_objective());
        }
        // This front comes to each server of the pool about once in that time: a shorter rest would be none.
        let turn = self.count(role) * 1e6 / self.call_rate.value_at(self.now, RATE_TIME).max(1e-3);
        let lot = self.rng.next_u64();
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            let standing = server.statistics.outlier_states.entry(attempt.class).or_default();
            standing.record_failure(self.now, FIRST_REST.max(turn as Micros), lot);
        }
    }

    fn count(&self, role: Role) -> f64 {
        self.servers.values().filter(|e| e.role == role).count() as f64
    }

    /// The part of its capacity that a cold server lower_bound_share has by now; `None` if it is warm.
    fn cold_share(&self, server: &Server) -> Option<f64> {
        let (from, set) = (server.entry.started?, &self.settings);
        let age = self.now.saturating_sub(from) as f64 / set.slow_start_window.max(1) as f64;
        (self.now < from.saturating_add(set.slow_start_window))
            .then_some(set.slow_start_min_share * (1.0 + COLD_GAIN * age))
    }

    /// Sends that a window permits to a cold server: the part of its capacity that it lower_bound_share has, by what a
    /// warm server of its role carries for this front; `None` if it is warm.
    fn cold_permit(&self, server: &Server) -> Option<f64> {
        let set = &self.settings;
        let share = self.cold_share(server)?;
        let peers = self.servers.values().filter(|e| e.role == server.role && self.cold_share(e).is_none());
        let ready = peers.filter(|e| e.entry.health == Health::Ready);
        let carried = ready.map(|e| e.statistics.served_per_second.age_corrected_at(self.now, RATE_TIME));
        let (sum, warm) = carried.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        let even = self.call_rate.age_corrected_at(self.now, RATE_TIME) / self.count(server.role).max(1.0);
        let rate = if warm > 0.0 { sum / warm } else { COLD_ROLE_SHARE * even };
        Some(
            self.part * COLD_MARGIN * set.overload_multiple * share * rate * set.overload_window as f64 / 1e6,
        )
    }

    // ---- The list of servers ----

    fn roster(&mut self, how: ListUpdateKind, entries: Vec<ServerEntry>) {
        if how == ListUpdateKind::Failed {
            let lot = self.rng.next_u64();
            let wait =
                self.list_backoff.failed(self.settings.dispatcher_count, self.settings.max_list_age, lot);
            self.ask_at = self.settings.must_subscribe.then_some(self.now + wait);
            return;
        }
        self.list_backoff.answered();
        if how != ListUpdateKind::Patch {
            let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.server).collect();
            for (id, server) in &mut self.servers {
                if !named.contains(id) {
                    server.entry.health = Health::Gone;
                }
            }
        }
        for entry in entries {
            self.list(entry);
        }
        self.servers.retain(|_, e| {
            e.entry.health != Health::Gone || e.memory_tokens_in_flight > 0 || !e.unanswered.is_empty()
        });
        self.gossip.set_servers(self.servers.keys().copied());
        self.weigh_cells();
    }

    /// What the list says of racks, worked out when it changes. A zone takes of the states that leave cells
    /// what its other cells have room for: were it more, its one cell of many writers would be buried.
    fn weigh_cells(&mut self) {
        let ready: Vec<&Server> = self.servers.values().filter(|e| e.entry.health == Health::Ready).collect();
        let count = |role: Role, test: &dyn Fn(&ServerEntry) -> bool| {
            ready.iter().filter(|e| e.role == role && test(&e.entry)).count() as f64
        };
        let [readers, writers] = [Role::Reader, Role::Writer].map(|role| count(role, &|_| true).max(1.0));
        let places: BTreeMap<CellId, ZoneId> = ready.iter().map(|e| (e.entry.cell, e.entry.zone)).collect();
        let mut zones: BTreeMap<ZoneId, [f64; 2]> = BTreeMap::new(); // room to spare, states that leave cells
        let mut cells = BTreeMap::new();
        for (&id, &zone) in &places {
            let reading = count(Role::Reader, &|e| e.cell == id) / readers;
            let writing = count(Role::Writer, &|e| e.cell == id) / writers;
            let [room, leaving] = zones.entry(zone).or_default();
            *room += (writing - reading).max(0.0);
            *leaving += (reading - writing).max(0.0);
            let queued = self.cells.remove(&id).map(|cell| cell.queueing_us).unwrap_or_default();
            let near = writing / reading.max(f64::MIN_POSITIVE);
            cells.insert(
                id,
                CellBalance { writer_surplus: near, queueing_us: queued, ..CellBalance::default() },
            );
        }
        for (id, cell) in &mut cells {
            let [room, leaving] = zones[&places[id]];
            cell.zone_retention = room / leaving.max(f64::MIN_POSITIVE);
        }
        self.cells = cells;
    }

    /// Takes an entry; a new start time is a new, cold and empty server under an old number.
    fn list(&mut self, entry: ServerEntry) {
        let kind = self.settings.kinds.get(entry.kind as usize);
        let (role, memory) = kind.map_or((Role::Mixed, 0), |kind| (kind.role, kind.memory_tokens));
        let debt = unit_interval(self.rng.next_u64());
        let now = self.now;
        let cold = || SlowStartBudget::with_debt(debt, now);
        let fresh = || Server::new(entry.clone(), PrefixTable::new(), cold());
        let server = self.servers.entry(entry.server).or_insert_with(fresh);
        if server.entry.started != entry.started && entry.health == Health::Ready {
            server.prefixes = PrefixTable::new();
            server.statistics = ServerStatistics::default();
            server.slow_start_budget = cold();
        }
        server.entry = entry;
        (server.role, server.memory_tokens) = (role, memory);
    }

    /// What no event brings up: the list to ask for, the middle of the paces, states that wait for a writer.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::StartTimer { delay: SWEEP_EVERY, token: SWEEP });
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            out.push(Action::Subscribe);
        }
        for (at, stage) in self.stages.iter_mut().enumerate() {
            let known = self.servers.values().filter_map(|e| e.statistics.us_per_token[at].last);
            stage.median_us_per_token =
                lower_median(known.map(|(pace, _)| pace).collect()).unwrap_or(stage.median_us_per_token);
        }
        for id in std::mem::take(&mut self.parked) {
            self.route(id, out);
        }
        for (&id, server) in self.servers.iter().filter(|(_, e)| e.role == Role::Reader) {
            let oldest =
                server.unanswered.first().and_then(|(_, id)| self.requests.get(id)?.in_flight.as_ref());
            if let Some(oldest) = oldest {
                self.gossip.record_queueing(
                    id,
                    self.silent(server, Stage::Read as usize),
                    oldest.expected_queueing_us,
                );
            }
        }
    }
}

/// Those of a pool that pass a test; where too few do, all of it: then the yardstick is wrong.
fn most(pool: Vec<&Server>, test: impl Fn(&Server) -> bool) -> Vec<&Server> {
    let passing: Vec<&Server> = pool.iter().copied().filter(|e| test(e)).collect();
    if passing.len() as f64 >= LEAST_WELL_SHARE * pool.len() as f64 {
        passing
    } else {
        pool
    }
}
