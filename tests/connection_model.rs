//! Compares the reducer with a model of each client connection, over random sequences of events. Whatever servers,
//! clients and the server list do, a request gets one final answer in time, nothing is sent after it, no effect
//! happens twice, and state that may be held is released.

use std::collections::BTreeMap;

use dewladder::edge::core::{AttemptResult, Core, Effect, IdClaim, Input};
use dewladder::interface::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    let class = |effect| Class {
        name: format!("{effect:?}"),
        default_timeout: 5 * SECOND,
        max_attempts: 5,
        retired: false,
        latency_objective: SECOND,
        latency_objective_per_1000_tokens: 0,
        token_interval_objective: 0,
        effect,
        dedup_group: DedupGroup::All,
        dedup_window: 0,
        priority_weight: 1.0,
    };
    let kind = |role| Kind { role, memory_tokens: 100_000 };
    Settings {
        dispatcher_count: 2,
        zone: ZoneId(0),
        classes: (0..)
            .zip([
                class(dewladder::interface::Effect::Idempotent),
                class(dewladder::interface::Effect::AtMostOnce),
            ])
            .collect(),
        kinds: vec![kind(Role::Reader), kind(Role::Writer)],
        must_subscribe: false,
        max_list_age: 0,
        may_cancel: true,
        gossip_allowed: false,
        gossip_price: 0.0,
        writers_can_read: false,
        max_retry_after: SECOND,
        max_hold_time: SECOND / 2,
        min_batch_interval: 2_000,
        weight_is_size: true,
        slow_start_min_share: 0.3,
        slow_start_window: 10 * SECOND,
        memory_field: Some(0),
        overload_multiple: 2.5,
        overload_window: SECOND,
    }
}

fn entry(server: u32, health: Health) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(0),
        weight: 1.0,
        started: None,
        health,
        kind: server % 2,
    }
}

/// State of a client connection, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Streaming,
    Answered,
    Disconnected,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    server: ServerId,
    is_streaming: bool,
}

#[derive(Debug)]
struct Connection {
    state: State,
    at_most_once: bool,
    not_after: Micros,
    /// Attempts in flight, by their numbers.
    in_flight: BTreeMap<u32, Attempt>,
    /// Whether an attempt at a writer may have run.
    may_have_executed: bool,
    /// Readers that may hold state of the request.
    holders: Vec<ServerId>,
    evicted: bool,
}

struct Model {
    core: Core,
    now: Micros,
    connections: BTreeMap<RequestId, Connection>,
    /// For each server, whether the list shows it as not ready.
    unavailable: BTreeMap<ServerId, bool>,
}

fn is_reader(server: ServerId) -> bool {
    server.0.is_multiple_of(2)
}

impl Model {
    /// Feeds an input to the reducer, then the inputs that follow at once from its effects.
    fn feed(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            if let Input::AttemptStopped { id, attempt, written } = input {
                self.record_stop(id, attempt, written);
            }
            for effect in self.core.step(self.now, input) {
                inputs.extend(self.check(effect));
            }
        }
    }

    /// Checks an effect against the model. Returns the input that answers it, if one follows at once: a cancelled
    /// attempt stops at once.
    fn check(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Send { id, attempt, server, reads: reading, attempt_deadline, begin_by, .. } => {
                let connection = self.connections.get_mut(&id).expect("a known request");
                assert_eq!(connection.state, State::Waiting, "sent after the final answer");
                assert!(connection.in_flight.is_empty(), "sent while another attempt is in flight");
                assert!(
                    !(connection.at_most_once && connection.may_have_executed),
                    "an at-most-once request was sent after an attempt that may have run"
                );
                assert!(
                    attempt_deadline <= connection.not_after
                        && self.now < begin_by
                        && begin_by <= attempt_deadline
                );
                assert_eq!(reading, is_reader(server));
                assert!(!self.unavailable[&server], "sent to a server that is not ready in the list");
                connection.in_flight.insert(attempt, Attempt { server, is_streaming: false });
            }
            Effect::CancelAttempt { id, attempt } => {
                let written = !self.now.is_multiple_of(3);
                let connection = self.connections.get_mut(&id).expect("a known request");
                // The attempt is missing if it has just been withdrawn as unwritten.
                let &Attempt { is_streaming, .. } = connection.in_flight.get(&attempt)?;
                assert!(
                    !is_streaming || connection.state != State::Streaming,
                    "a stream that is relayed to a client was cancelled"
                );
                return Some(Input::AttemptStopped { id, attempt, written });
            }
            // The time decides whether nothing has been written yet.
            Effect::CancelUnwritten { id, attempt } => {
                let connection = &self.connections[&id];
                let Some(&Attempt { server, is_streaming: false }) = connection.in_flight.get(&attempt)
                else {
                    return None;
                };
                let is_justified = connection.state == State::Disconnected || self.unavailable[&server];
                assert!(is_justified, "withdrawn though its client waits and its server is ready");
                if self.now.is_multiple_of(2) {
                    return None;
                }
                return Some(Input::AttemptStopped { id, attempt, written: false });
            }
            Effect::Relay { id, .. } => {
                self.answer(id, State::Streaming);
                let connection = self.connections.get_mut(&id).expect("known");
                connection.holders.clear();
                connection.may_have_executed = true;
            }
            Effect::Reject { id, .. } => {
                let connection = &self.connections[&id];
                assert!(
                    !(connection.at_most_once && connection.may_have_executed),
                    "rejected though it may have run"
                );
                self.answer(id, State::Answered);
            }
            Effect::Fail { id, .. } => self.answer(id, State::Answered),
            Effect::ReleaseHeldState { id, number, holders, .. } => {
                let connection = self.connections.get_mut(&id).expect("known");
                assert_eq!(holders, connection.holders, "the release names exactly the holders");
                let reads = connection.in_flight.values().any(|attempt| is_reader(attempt.server));
                assert!(!reads, "a release would release the state of the read in flight");
                // Until the request is completed, an attempt may have kept the state.
                if connection.state != State::Waiting && connection.in_flight.is_empty() {
                    connection.holders.clear();
                }
                // The time decides whether the release is answered at once or its answer is still outstanding.
                let answered = [Some(true), None][self.now as usize / 1_000 % 2];
                return answered.map(|answered| Input::ReleaseFinished { id, number, answered });
            }
            Effect::PublishGossip(_) => panic!("the settings disable load gossip"),
            Effect::Evict { id, may_have_run } => {
                let connection = self.connections.get_mut(&id).expect("known");
                assert_eq!(
                    may_have_run, connection.may_have_executed,
                    "the eviction reports whether an attempt may have run"
                );
                assert!(
                    !connection.evicted && connection.in_flight.is_empty() && connection.holders.is_empty()
                );
                assert_ne!(connection.state, State::Waiting);
                connection.evicted = true;
            }
        }
        None
    }

    fn answer(&mut self, id: RequestId, state: State) {
        let connection = self.connections.get_mut(&id).expect("a known request");
        assert_eq!(connection.state, State::Waiting, "a second answer");
        assert!(self.now <= connection.not_after + 8_000, "a late answer");
        connection.state = state;
    }

    /// Records the stop of an attempt, if it is still in flight.
    fn record_stop(&mut self, id: RequestId, attempt: u32, written: bool) {
        let connection = self.connections.get(&id);
        let Some(&Attempt { server, .. }) = connection.and_then(|one| one.in_flight.get(&attempt)) else {
            return;
        };
        let outcome = if written { Outcome::Timeout } else { Outcome::NotSent };
        self.record_end(id, attempt, server, outcome);
    }

    fn record_end(&mut self, id: RequestId, attempt: u32, server: ServerId, outcome: Outcome) {
        let connection = self.connections.get_mut(&id).expect("a known request");
        connection.in_flight.remove(&attempt);
        let uncertain = outcome.may_have_run();
        if is_reader(server) && (uncertain || outcome == Outcome::Read) {
            connection.holders.push(server);
        }
        connection.may_have_executed |= !is_reader(server) && uncertain;
        if connection.state == State::Streaming {
            connection.state = State::Answered;
        }
    }

    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some(due) = self.core.next_due().filter(|&due| due <= end) {
            self.now = due;
            self.feed(Input::Tick);
            let late = |c: &&Connection| c.state == State::Waiting && c.not_after + 8_000 < due;
            assert!(!self.connections.values().any(|c| late(&c)), "no answer by the deadline");
        }
        self.now = end;
    }

    fn step(&mut self, (action, random, other_random): (u8, u32, u32)) {
        let mut in_flight = Vec::new();
        for (&id, connection) in &self.connections {
            in_flight.extend(connection.in_flight.iter().map(|(&at, &attempt)| (id, at, attempt)));
        }
        let any = in_flight.get(random as usize % in_flight.len().max(1)).copied();
        match (action, any) {
            (0..=3, _) => self.submit(random, other_random),
            (4..=7, Some((id, attempt, Attempt { server, is_streaming }))) => {
                let failures = [Outcome::Error, Outcome::Full, Outcome::Reset, Outcome::ConnectFailed];
                let outcome = match (is_reader(server), other_random % 8) {
                    (true, 0..=4) => Outcome::Read,
                    (false, 0..=1) if is_streaming => Outcome::Served,
                    (false, 5) if !is_streaming => Outcome::NoState,
                    _ => failures[other_random as usize % if is_streaming { 1 } else { 4 }],
                };
                self.record_end(id, attempt, server, outcome);
                self.feed(Input::AttemptFinished {
                    id,
                    attempt,
                    result: AttemptResult { cached_tokens: 9, ..outcome.into() },
                });
            }
            (8..=10, Some((id, attempt, Attempt { server, is_streaming: false }))) if !is_reader(server) => {
                let connection = self.connections.get_mut(&id).expect("known");
                connection.in_flight.insert(attempt, Attempt { server, is_streaming: true });
                self.feed(Input::StreamStarted { id, attempt });
            }
            (11, _) => {
                let Some(&id) = self.connections.keys().nth(random as usize % self.connections.len().max(1))
                else {
                    return;
                };
                let connection = self.connections.get_mut(&id).expect("known");
                if connection.state == State::Streaming {
                    connection.in_flight.clear(); // dropped with the client's connection
                }
                connection.state = State::Disconnected;
                self.feed(Input::ClientDisconnected(id));
            }
            (12, _) => {
                let health = [Health::Ready, Health::Ready, Health::Terminating, Health::Gone]
                    [other_random as usize % 4];
                let server = ServerId(random % 6);
                self.unavailable.insert(server, health != Health::Ready);
                self.feed(Input::EndpointsUpdated {
                    kind: ListUpdateKind::Patch,
                    entries: vec![entry(server.0, health)],
                });
            }
            // Repeated inputs, and inputs for attempts that no longer exist, change nothing.
            (13, _) => {
                let id = RequestId(u64::from(random % 40));
                let attempt = 7 + other_random % 3;
                self.feed(Input::StreamStarted { id, attempt });
                self.feed(Input::AttemptFinished { id, attempt, result: Outcome::Served.into() });
                self.feed(Input::AttemptStopped { id, attempt, written: true });
            }
            _ => self.advance(u64::from(random % 300) * 1_000),
        }
    }

    fn submit(&mut self, random: u32, other_random: u32) {
        let id = RequestId(self.connections.len() as u64 + 1);
        let (at_most_once, not_after) =
            (other_random % 2 == 1, self.now + 1_000 + u64::from(random % 3_000) * 1_000);
        let connection = Connection {
            state: State::Waiting,
            at_most_once,
            not_after,
            in_flight: BTreeMap::new(),
            may_have_executed: false,
            holders: Vec::new(),
            evicted: false,
        };
        self.connections.insert(id, connection);
        self.feed(Input::RequestArrived {
            info: RequestInfo {
                id,
                class: other_random % 2,
                session: Some(Key(u64::from(random % 5))),
                shared: None,
                shared_tokens: 0,
                prompt_tokens: u64::from(random % 4_000),
                max_tokens: 100,
                hint: None,
                not_after,
            },
            received_at: self.now,
            id_claim: IdClaim::Exclusive,
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_connection_follows_its_model_in_any_order_of_events(
        steps in prop::collection::vec((0u8..18, any::<u32>(), any::<u32>()), 1..150),
    ) {
        let core = Core::new(settings(), 7, SECOND, 24);
        let mut model = Model { core, now: SECOND, connections: BTreeMap::new(), unavailable: BTreeMap::new() };
        model.unavailable.extend((0..6).map(|id| (ServerId(id), false)));
        let entries = (0..6).map(|id| entry(id, Health::Ready)).collect();
        model.feed(Input::EndpointsUpdated { kind: ListUpdateKind::StaleCopy, entries });
        for step in steps {
            model.step(step);
        }
        // Streams that have started have no deadline, so their clients disconnect.
        for id in model.connections.keys().copied().collect::<Vec<_>>() {
            let connection = model.connections.get_mut(&id).expect("known");
            if connection.state == State::Streaming {
                (connection.state, connection.in_flight) = (State::Disconnected, BTreeMap::new());
                model.feed(Input::ClientDisconnected(id));
            }
        }
        model.advance(10 * SECOND);
        prop_assert!(model.connections.values().all(|c| c.evicted), "a request was never evicted");
        prop_assert_eq!(model.core.open(), 0);
    }
}

/// An attempt times out and is cancelled. Until the driver reports that it has stopped, the reducer sends nothing,
/// because a second attempt could run beside the first.
#[test]
fn nothing_is_sent_until_a_cancelled_attempt_has_stopped() {
    let mut core = Core::new(settings(), 7, SECOND, 24);
    let entries = (0..6).map(|id| entry(id, Health::Ready)).collect();
    core.step(SECOND, Input::EndpointsUpdated { kind: ListUpdateKind::StaleCopy, entries });
    let id = RequestId(1);
    let request_info = RequestInfo {
        id,
        class: 1,
        session: None,
        shared: None,
        shared_tokens: 0,
        prompt_tokens: 100,
        max_tokens: 100,
        hint: None,
        not_after: 4 * SECOND,
    };
    let sent = core.step(
        SECOND,
        Input::RequestArrived { info: request_info, received_at: SECOND, id_claim: IdClaim::Exclusive },
    );
    assert!(matches!(sent[..], [Effect::Send { attempt: 0, .. }]));
    let stopped = core.step(3 * SECOND, Input::Tick);
    assert_eq!(stopped, [Effect::CancelAttempt { id, attempt: 0 }]);
    assert_eq!(core.step(3 * SECOND + 1, Input::Tick), []);
    let next = core.step(3 * SECOND + 2, Input::AttemptStopped { id, attempt: 0, written: true });
    // State that the abandoned read may have left is released before the next read.
    assert!(
        matches!(next[..], [Effect::ReleaseHeldState { .. }, Effect::Send { attempt: 1, .. }]),
        "{next:?}"
    );
}
