//! Memory and sockets stay bounded: the reducer and the server connections keep nothing of completed requests and of
//! servers that were removed from the list.

mod stand_in;

use dewladder::edge::core::{Core, Effect, IdClaim, Input};
use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder::interface::*;
use serde_json::{json, Value};
use stand_in::{config, eventually, member, platform, until_close, Agent, Behavior, Server};
use tokio::sync::watch;

/// Requests end in different ways while the list is replaced again and again by servers with new ids. Afterwards
/// no request is open, each was evicted once, and the only timer left is that of the periodic sweep.
#[test]
fn completed_requests_leave_no_state_or_timer_however_they_end() {
    let config_json =
        config("127.0.0.1:1".parse().unwrap(), &json!({"revision": 1, "complete": true, "members": []}));
    let settings = Config::parse("config", &config_json, |_| None).unwrap().settings;
    let (mut core, mut now) = (Core::new(settings, 5, 1_000_000_000, 64), 1_000_000_000);
    let entry = |server: u32, kind, health| {
        let (zone, cell) = (ZoneId(0), CellId(server % 5));
        ServerEntry { server: ServerId(server), zone, cell, weight: 1.0, started: None, health, kind }
    };
    let mut evicted = 0;
    for id in 1..=20_000u64 {
        let mut effects = Vec::new();
        if id % 10 == 1 {
            let first_server = (id / 10) as u32 * 2;
            let entries = (0..8).map(|at| entry(first_server + at, at % 2, Health::Ready)).collect();
            effects.extend(core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries }));
        }
        let request_info = RequestInfo {
            id: RequestId(id),
            class: (id % 2) as u32,
            session: Some(Key(id)),
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 900,
            max_tokens: 40,
            hint: None,
            not_after: now + 1_000_000,
        };
        effects.extend(core.step(
            now,
            Input::RequestArrived { info: request_info, received_at: now, id_claim: IdClaim::Exclusive },
        ));
        for round in 0.. {
            now += 700;
            let mut next_effects = Vec::new();
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Send { id, attempt, server, .. } => {
                        let reads = server.0.is_multiple_of(2);
                        let finished =
                            |outcome: Outcome| Input::AttemptFinished { id, attempt, result: outcome.into() };
                        let input = match (id.0 + round) % 9 {
                            0 => finished(Outcome::ConnectFailed),
                            1 => finished(Outcome::Reset),
                            2 => finished(Outcome::Full),
                            3 => Input::ClientDisconnected(id),
                            4 => continue, // no answer: the attempt times out
                            _ if reads => finished(Outcome::Read),
                            _ => {
                                next_effects.extend(core.step(now, Input::StreamStarted { id, attempt }));
                                finished(Outcome::Served)
                            }
                        };
                        next_effects.extend(core.step(now, input));
                    }
                    Effect::CancelAttempt { id, attempt } => {
                        next_effects.extend(core.step(
                            now,
                            Input::AttemptStopped { id, attempt, written: id.0.is_multiple_of(2) },
                        ));
                    }
                    Effect::Evict { .. } => evicted += 1,
                    _ => {}
                }
            }
            effects = next_effects;
            if effects.is_empty() && round > 20 {
                break;
            }
            if effects.is_empty() {
                effects = core.step(now, Input::Tick);
            }
        }
        assert!(core.open() <= 64, "{}", core.open());
    }
    // The unanswered attempts time out; each is cancelled and confirmed as stopped.
    for _ in 0..4_000 {
        now += 4_000;
        let mut effects = core.step(now, Input::Tick);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::CancelAttempt { id, attempt } => {
                    effects.extend(core.step(now, Input::AttemptStopped { id, attempt, written: true }));
                }
                Effect::Send { id, attempt, .. } => {
                    effects.extend(
                        core.step(now, Input::AttemptFinished { id, attempt, result: Outcome::Full.into() }),
                    );
                }
                Effect::Evict { .. } => evicted += 1,
                _ => {}
            }
        }
    }
    assert_eq!((core.open(), evicted), (0, 20_000), "each request is evicted once");
    for _ in 0..200 {
        let due = core.next_due().expect("the timer of the sweep");
        assert!(due > now && due <= now + 40_000, "only the sweep is due: {due} at {now}");
        now = due;
        assert_eq!(core.step(now, Input::Tick), [], "the sweep has no effects");
    }
}

/// Number of file descriptors that this process has open.
fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Servers are replaced 59 times, each new one at its own address, and requests are sent to them over kept
/// connections. Connections to removed servers are closed when their keep-alive time ends, so the number of open
/// descriptors does not grow with the number of addresses seen.
#[tokio::test]
async fn connections_to_removed_servers_are_closed() {
    let list = |revision: u64, servers: &[&Server; 2]| {
        let id = revision as u32 * 2;
        let members = [member(servers[0], id, "prefill", "up"), member(servers[1], id + 1, "decode", "up")];
        json!({"revision": revision, "complete": true, "members": members})
    };
    let first = [Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await];
    let start = list(1, &[&first[0], &first[1]]);
    let agent = Agent::start(start.clone()).await;
    let mut settings: Value = serde_json::from_str(&config(agent.address, &start)).unwrap();
    settings["settings"]["limits"]["keepalive_s"] = json!(1.0);
    let config = Config::parse("config", &settings.to_string(), |_| None).unwrap();
    let dispatcher = Dispatcher::bind(config, &Fronts::default()).unwrap();
    let front = dispatcher.addresses()[0];
    let (_discovery, at) = watch::channel(agent.address);
    tokio::spawn(dispatcher.run(at, std::future::pending()));
    let (mut servers, mut id, mut max_open) = (Vec::from(first), 0u64, 0);
    let before = open_descriptors();
    for revision in 2..=60 {
        let now = [Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await];
        agent.tells(Some(list(revision, &[&now[0], &now[1]])));
        while now[1].posts() == 0 {
            id += 1;
            until_close(front, &platform(&format!("{id:016x}"), "ask", "0.9")).await;
        }
        servers.extend(now);
        // Without the listeners of the servers, which belong to the test.
        max_open = max_open.max(open_descriptors().saturating_sub(servers.len()));
    }
    assert!(max_open > before + 10, "connections were kept open");
    let open_now = || open_descriptors().saturating_sub(servers.len());
    eventually("connections to removed servers are closed", || open_now() <= before.saturating_sub(2) + 10)
        .await;
}
