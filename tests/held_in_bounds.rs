//! What the loop and its connections hold is let go of, however many requests and servers come and go.

mod stand_in;

use dewladder::edge::core::{Core, Effect, Input};
use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder::interface::*;
use serde_json::{json, Value};
use stand_in::{config, eventually, member, platform, until_close, Agent, Behavior, Server};
use tokio::sync::watch;

/// Requests end in all ways while servers come under new ids: nothing of them is open, due or held after that, and what
/// is due is the sweep alone.
#[test]
fn requests_that_have_ended_in_any_way_leave_nothing_behind() {
    let known =
        config("127.0.0.1:1".parse().unwrap(), &json!({"revision": 1, "complete": true, "members": []}));
    let settings = Config::parse("config", &known, |_| None).unwrap().settings;
    let (mut core, mut now) = (Core::new(settings, 5, 1_000_000_000, 64), 1_000_000_000);
    let entry = |server: u32, kind, health| {
        let (zone, cell) = (ZoneId(0), CellId(server % 5));
        ServerEntry { server: ServerId(server), zone, cell, weight: 1.0, started: None, health, kind }
    };
    let mut forgotten = 0;
    for id in 1..=20_000u64 {
        let mut effects = Vec::new();
        if id % 10 == 1 {
            let day = (id / 10) as u32 * 2;
            let entries = (0..8).map(|at| entry(day + at, at % 2, Health::Ready)).collect();
            effects.extend(core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries }));
        }
        let call = RequestInfo {
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
        effects.extend(core.step(now, Input::RequestArrived(call)));
        for turn in 0.. {
            now += 700;
            let mut then = Vec::new();
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Send { id, attempt, server, .. } => {
                        let reads = server.0.is_multiple_of(2);
                        let ends =
                            |outcome: Outcome| Input::AttemptFinished { id, attempt, result: outcome.into() };
                        let input = match (id.0 + turn) % 9 {
                            0 => ends(Outcome::ConnectFailed),
                            1 => ends(Outcome::Reset),
                            2 => ends(Outcome::Full),
                            3 => Input::ClientDisconnected(id),
                            4 => continue, // silence: its time runs out
                            _ if reads => ends(Outcome::Read),
                            _ => {
                                then.extend(core.step(now, Input::StreamStarted { id, attempt }));
                                ends(Outcome::Served)
                            }
                        };
                        then.extend(core.step(now, input));
                    }
                    Effect::CancelAttempt { id, attempt } => {
                        then.extend(core.step(
                            now,
                            Input::AttemptStopped { id, attempt, written: id.0.is_multiple_of(2) },
                        ));
                    }
                    Effect::Evict { .. } => forgotten += 1,
                    _ => {}
                }
            }
            effects = then;
            if effects.is_empty() && turn > 20 {
                break;
            }
            if effects.is_empty() {
                effects = core.step(now, Input::Tick);
            }
        }
        assert!(core.open() <= 64, "{}", core.open());
    }
    // The silent ones run out; each is told to stop, and has stopped.
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
                Effect::Evict { .. } => forgotten += 1,
                _ => {}
            }
        }
    }
    assert_eq!((core.open(), forgotten), (0, 20_000), "each is forgotten once");
    for _ in 0..200 {
        let due = core.next_due().expect("the sweep");
        assert!(due > now && due <= now + 40_000, "only the sweep is due: {due} at {now}");
        now = due;
        assert_eq!(core.step(now, Input::Tick), [], "nothing is left to be done");
    }
}

/// Descriptors that this process has open.
fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Servers are replaced over and over, each at an address of its own, and each served over kept connections: those to
/// servers that have gone are closed as they run out, and what is open does not grow with addresses seen.
#[tokio::test]
async fn connections_to_servers_that_have_gone_are_closed() {
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
    let (mut servers, mut id, mut most) = (Vec::from(first), 0u64, 0);
    let before = descriptors();
    for revision in 2..=60 {
        let now = [Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await];
        agent.tells(Some(list(revision, &[&now[0], &now[1]])));
        while now[1].posts() == 0 {
            id += 1;
            until_close(front, &platform(&format!("{id:016x}"), "ask", "0.9")).await;
        }
        servers.extend(now);
        // Listeners aside: those are the test's.
        most = most.max(descriptors().saturating_sub(servers.len()));
    }
    assert!(most > before + 10, "connections were kept");
    let left = || descriptors().saturating_sub(servers.len());
    eventually("those to servers that have gone are closed", || left() <= before.saturating_sub(2) + 10)
        .await;
}
