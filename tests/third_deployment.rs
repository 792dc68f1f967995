//! A deployment that differs from those under `deploy/sites/`: other names of classes, kinds and zones, three classes,
//! three kinds of servers, no tenants, no gossip among dispatchers, and the held memory in another report field. No
//! behavior may depend on a name.

mod stand_in;

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_router::interface::{Effect, Role};
use serde_json::{json, Value};
use stand_in::{platform, until_close, Agent, Behavior, Server};
use tokio::sync::{oneshot, watch};

/// The id of a request, by its number in the test: it is new for each.
fn id(number: usize) -> String {
    format!("00000000000000{number:02x}")
}

fn class_settings(name: &str, effect: &str, priority_weight: f64) -> Value {
    json!({"name": name, "aim_s": 0.4, "give_up_s": 1.0, "effect": effect, "group": "all", "worth": priority_weight})
}

/// Returns the deployment's configuration. Kinds and zones are in another order than in the server list, and the first
/// kind is a writer.
fn config(agent: &Agent, list: &Value) -> String {
    let settings = json!({"balancers": 3, "locality": 2, "failure_domains": ["vault", "loft", "shed"],
        "kinds": ["scribe", "page", "lector"],
        "domain": {"role_by_kind": ["write", "both", "read"], "kind_memory_tokens": [70000, 80000, 90000],
            "release_within_s": 0.4, "resume": false, "report_x0": "something_else",
            "report_x3": "share_of_memory_that_is_held"},
        "lanes": [class_settings("once-only", "at_most_once", 4.0), class_settings("leisurely", "idempotent", 1.0),
            class_settings("Pikku_2.b", "deduplicated", 2.0)],
        "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 9.0, "max_attempts": 3,
            "peers": false, "probes": false, "retry_after": false}, "resolution_s": 0.004});
    json!({"name": "t2", "listen": "127.0.0.1:0", "discovery": agent.address, "seed": "5",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 512}, "known": list, "settings": settings})
    .to_string()
}

fn member(server: &Server, id: u32, kind: &str) -> Value {
    let mut member = dewladder_test_peers::member(server.address, id, kind, "up");
    member["locality"] = json!("loft");
    member
}

#[tokio::test]
async fn a_deployment_with_other_names_is_served_by_its_settings() {
    let (reader, writer) = (Server::start(Behavior::Read).await, Server::start(Behavior::Stream(2)).await);
    let members = [member(&reader, 41, "lector"), member(&writer, 7, "scribe")];
    let list = json!({"revision": 1, "complete": true, "members": members});
    let agent = Agent::start(list.clone()).await;
    let config = Config::parse("config", &config(&agent, &list), |_| None).unwrap();
    let effects: Vec<Effect> = config.settings.current().map(|class| class.effect).collect();
    assert_eq!(effects, [Effect::AtMostOnce, Effect::Idempotent, Effect::Deduplicated]);
    let roles: Vec<Role> = config.settings.kinds.iter().map(|kind| kind.role).collect();
    assert_eq!(roles, [Role::Writer, Role::Mixed, Role::Reader]);
    assert_eq!(config.settings.memory_field, Some(3));
    let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", "").unwrap()).unwrap();
    let [front] = dispatcher.addresses()[..] else { panic!("expected one listener") };
    let (end, ended) = oneshot::channel::<()>();
    let (_discovery, at) = watch::channel(agent.address);
    let running = tokio::spawn(dispatcher.run(at, async {
        let _ = ended.await;
    }));
    for (number, class) in ["leisurely", "once-only", "Pikku_2.b"].into_iter().enumerate() {
        let answer = until_close(front, &platform(&id(1 + number), class, "0.900")).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{class}: {answer}");
    }
    assert_eq!(
        (reader.posts(), writer.posts()),
        (3, 3),
        "each request is read by the reader and written by the writer"
    );
    // Class names of other deployments are unknown.
    for (number, class) in ["ask", "book", "lukema-kysely", "asetus-muutos"].into_iter().enumerate() {
        let answer = until_close(front, &platform(&id(11 + number), class, "0.900")).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{class}: {answer}");
    }
    // An at-most-once request is not retried: the setting `effect` decides, not the class's name.
    writer.set_behavior(Behavior::Close);
    let answer = until_close(front, &platform(&id(21), "once-only", "0.900")).await;
    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert_eq!(writer.posts(), 4, "not sent exactly once");
    let before = writer.posts();
    until_close(front, &platform(&id(22), "leisurely", "0.900")).await;
    assert!(writer.posts() >= before + 2, "not retried: {before} requests before, {} after", writer.posts());
    let _ = end.send(());
    running.await.unwrap().unwrap();
}
