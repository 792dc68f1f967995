//! A model of each connection's states, held against the reducer through random steps: whatever servers,
//! clients and the list do, a request gets one final answer in time, nothing is sent after that, no effect
//! happens twice, and what may be held is released.

use std::collections::BTreeMap;

use dewladder::edge::core::{AttemptResult, Core, Effect, Input};
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

/// Where a connection stands, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Streaming,
    Answered,
    Left,
}

/// An attempt as the model follows it.
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
    /// A writer's attempt may have run.
    may_have_executed: bool,
    /// Readers that may hold a state.
    holders: Vec<ServerId>,
    evicted: bool,
}

struct World {
    core: Core,
    now: Micros,
    connections: BTreeMap<RequestId, Connection>,
    /// Servers that the list has not as ready.
    unavailable: BTreeMap<ServerId, bool>,
}

fn is_reader(server: ServerId) -> bool {
    server.0.is_multiple_of(2)
}

impl World {
    /// Feeds an input to the reducer, and what follows at once from its effects.
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

    /// Holds an effect against the model; a stop is carried out at once.
    fn check(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Send { id, attempt, server, reads: reading, attempt_deadline, begin_by, .. } => {
                let connection = self.connections.get_mut(&id).expect("a known request");
                assert_eq!(connection.state, State::Waiting, "sent after the answer");
                assert!(connection.in_flight.is_empty(), "a second copy");
                assert!(!(connection.at_most_once && connection.may_have_executed), "a second effect");
                assert!(
                    attempt_deadline <= connection.not_after
                        && self.now < begin_by
                        && begin_by <= attempt_deadline
                );
                assert_eq!(reading, is_reader(server));
                assert!(!self.unavailable[&server], "sent to a server that the list has not as ready");
                connection.in_flight.insert(attempt, Attempt { server, is_streaming: false });
            }
            Effect::CancelAttempt { id, attempt } => {
                let written = !self.now.is_multiple_of(3);
                let connection = self.connections.get_mut(&id).expect("a known request");
                // One that has just been withdrawn.
                let &Attempt { is_streaming, .. } = connection.in_flight.get(&attempt)?;
                assert!(
                    !is_streaming || connection.state != State::Streaming,
                    "a client's stream was stopped"
                );
                return Some(Input::AttemptStopped { id, attempt, written });
            }
            // By chance nothing has been written yet.
            Effect::CancelUnwritten { id, attempt } => {
                let connection = &self.connections[&id];
                let Some(&Attempt { server, is_streaming: false }) = connection.in_flight.get(&attempt)
                else {
                    return None;
                };
                let wanted = connection.state == State::Left || self.unavailable[&server];
                assert!(wanted, "withdrawn though its client waits and its server takes work");
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
                    "refused though it may have run"
                );
                self.answer(id, State::Answered);
            }
            Effect::Fail { id, .. } => self.answer(id, State::Answered),
            Effect::ReleaseHeldState { id, number, holders, .. } => {
                let connection = self.connections.get_mut(&id).expect("known");
                assert_eq!(holders, connection.holders, "every holder is asked, and no other");
                let reads = connection.in_flight.values().any(|attempt| is_reader(attempt.server));
                assert!(!reads, "a release would let go of what the read leaves that is in flight");
                // Until the request has ended, an attempt may have kept it.
                if connection.state != State::Waiting && connection.in_flight.is_empty() {
                    connection.holders.clear();
                }
                // By chance it is answered at once, or that is not known yet.
                let answered = [Some(true), None][self.now as usize / 1_000 % 2];
                return answered.map(|answered| Input::ReleaseFinished { id, number, answered });
            }
            Effect::PublishGossip(_) => panic!("the settings bar it"),
            Effect::Evict { id, may_have_run } => {
                let connection = self.connections.get_mut(&id).expect("known");
                assert_eq!(may_have_run, connection.may_have_executed, "what is told of it to who asked");
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

    /// An attempt that is in flight has stopped.
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

    fn step(&mut self, (what, first, second): (u8, u32, u32)) {
        let mut in_flight = Vec::new();
        for (&id, connection) in &self.connections {
            in_flight.extend(connection.in_flight.iter().map(|(&at, &attempt)| (id, at, attempt)));
        }
        let any = in_flight.get(first as usize % in_flight.len().max(1)).copied();
        match (what, any) {
            (0..=3, _) => self.submit(first, second),
            (4..=7, Some((id, attempt, Attempt { server, is_streaming }))) => {
                let ending = [Outcome::Error, Outcome::Full, Outcome::Reset, Outcome::ConnectFailed];
                let outcome = match (is_reader(server), second % 8) {
                    (true, 0..=4) => Outcome::Read,
                    (false, 0..=1) if is_streaming => Outcome::Served,
                    (false, 5) if !is_streaming => Outcome::NoState,
                    _ => ending[second as usize % if is_streaming { 1 } else { 4 }],
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
                let Some(&id) = self.connections.keys().nth(first as usize % self.connections.len().max(1))
                else {
                    return;
                };
                let connection = self.connections.get_mut(&id).expect("known");
                if connection.state == State::Streaming {
                    connection.in_flight.clear(); // dropped with the client's connection
                }
                connection.state = State::Left;
                self.feed(Input::ClientDisconnected(id));
            }
            (12, _) => {
                let health =
                    [Health::Ready, Health::Ready, Health::Terminating, Health::Gone][second as usize % 4];
                let server = ServerId(first % 6);
                self.unavailable.insert(server, health != Health::Ready);
                self.feed(Input::EndpointsUpdated {
                    kind: ListUpdateKind::Patch,
                    entries: vec![entry(server.0, health)],
                });
            }
            // What comes twice, or for what is no more, changes nothing.
            (13, _) => {
                let id = RequestId(u64::from(first % 40));
                let attempt = 7 + second % 3;
                self.feed(Input::StreamStarted { id, attempt });
                self.feed(Input::AttemptFinished { id, attempt, result: Outcome::Served.into() });
                self.feed(Input::AttemptStopped { id, attempt, written: true });
            }
            _ => self.advance(u64::from(first % 300) * 1_000),
        }
    }

    fn submit(&mut self, first: u32, second: u32) {
        let id = RequestId(self.connections.len() as u64 + 1);
        let (at_most_once, not_after) =
            (second % 2 == 1, self.now + 1_000 + u64::from(first % 3_000) * 1_000);
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
        self.feed(Input::RequestArrived(RequestInfo {
            id,
            class: second % 2,
            session: Some(Key(u64::from(first % 5))),
            shared: None,
            shared_tokens: 0,
            prompt_tokens: u64::from(first % 4_000),
            max_tokens: 100,
            hint: None,
            not_after,
        }));
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
    fn whatever_happens_every_connection_moves_as_its_model(
        steps in prop::collection::vec((0u8..18, any::<u32>(), any::<u32>()), 1..150),
    ) {
        let core = Core::new(settings(), 7, SECOND, 24);
        let mut world = World { core, now: SECOND, connections: BTreeMap::new(), unavailable: BTreeMap::new() };
        world.unavailable.extend((0..6).map(|id| (ServerId(id), false)));
        let entries = (0..6).map(|id| entry(id, Health::Ready)).collect();
        world.feed(Input::EndpointsUpdated { kind: ListUpdateKind::StaleCopy, entries });
        for step in steps {
            world.step(step);
        }
        // Streams that have begun have no deadline: their clients leave.
        for id in world.connections.keys().copied().collect::<Vec<_>>() {
            let connection = world.connections.get_mut(&id).expect("known");
            if connection.state == State::Streaming {
                (connection.state, connection.in_flight) = (State::Left, BTreeMap::new());
                world.feed(Input::ClientDisconnected(id));
            }
        }
        world.advance(10 * SECOND);
        prop_assert!(world.connections.values().all(|c| c.evicted), "something was never finished");
        prop_assert_eq!(world.core.open(), 0);
    }
}

/// The reducer's side of the same failure: until an attempt is known to have stopped, nothing else happens.
#[test]
fn nothing_is_sent_while_an_attempt_is_being_stopped() {
    let mut core = Core::new(settings(), 7, SECOND, 24);
    let entries = (0..6).map(|id| entry(id, Health::Ready)).collect();
    core.step(SECOND, Input::EndpointsUpdated { kind: ListUpdateKind::StaleCopy, entries });
    let id = RequestId(1);
    let call = RequestInfo {
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
    let sent = core.step(SECOND, Input::RequestArrived(call));
    assert!(matches!(sent[..], [Effect::Send { attempt: 0, .. }]));
    let stopped = core.step(3 * SECOND, Input::Tick);
    assert_eq!(stopped, [Effect::CancelAttempt { id, attempt: 0 }]);
    assert_eq!(core.step(3 * SECOND + 1, Input::Tick), []);
    let next = core.step(3 * SECOND + 2, Input::AttemptStopped { id, attempt: 0, written: true });
    // What the read that was given up may have left is let go of before the next one.
    assert!(
        matches!(next[..], [Effect::ReleaseHeldState { .. }, Effect::Send { attempt: 1, .. }]),
        "{next:?}"
    );
}
