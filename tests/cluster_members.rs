//! The answer to `GET /cluster/members`, compared byte for byte with a golden file, except for values that differ
//! from run to run: addresses, incarnations, durations and counters.

use std::time::Duration;

use dewladder::edge::clock::Clock;
use dewladder::edge::cluster::{Cluster, Table, View};
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::time::sleep;

const GOLDEN: &str = include_str!("golden/cluster_members.json");
/// The answer between `Cluster::bind` and `Cluster::run`.
const BEFORE_START: &str = r#"{"cluster":"pond","refused":{}}"#;

fn table(name: &str, seeds: &[String]) -> Table {
    let text = format!(
        "enabled = true\nname = \"{name}\"\ncluster = \"pond\"\nlisten = \"127.0.0.1:0\"\n\
         key = \"000102030405060708090a0b0c0d0e0f\"\nseeds = {seeds:?}\n\
         [replica]\nenabled = true\nmembers = [\"n0\", \"n1\", \"n2\"]\n"
    );
    toml::from_str(&text).expect("a table")
}

/// Polls the view until it satisfies the condition, and returns it.
async fn wait_until(view: &View, is_expected: impl Fn(&Value) -> bool) -> Value {
    for _ in 0..3_000 {
        let shown = view.json();
        if is_expected(&shown) {
            return shown;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the expected state did not occur: {}", view.json());
}

/// Checks the values that differ from run to run, and replaces each by a placeholder.
fn replace_varying_values(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields.iter_mut() {
                match name.as_str() {
                    "address" => {
                        let text = value.as_str().expect("a string");
                        text.parse::<std::net::SocketAddrV4>().expect("an IPv4 address and port");
                        *value = "ADDRESS".into();
                    }
                    "incarnation" | "for_s" | "health" | "ranges_behind" | "hints" | "probes"
                    | "failed_probes" | "deaths" | "refuted" | "pauses" => {
                        assert!(value.is_u64(), "{name}: {value}");
                        *value = name.to_uppercase().into();
                    }
                    _ => replace_varying_values(value),
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(replace_varying_values),
        _ => {}
    }
}

#[tokio::test]
async fn the_answer_equals_the_golden_file() {
    let clock = Clock::start();
    let start = |name: &str, seeds: &[String], seed: u64| {
        let cluster = Cluster::bind(&table(name, seeds), "unused", false, clock, seed)
            .expect("the cluster binds its socket");
        let view = cluster.view();
        assert_eq!(view.json().to_string(), BEFORE_START);
        let (leave, left) = oneshot::channel();
        (view, leave, tokio::spawn(cluster.run(left)))
    };
    let (first, leave_first, first_task) = start("n0", &[], 1);
    let shown = wait_until(&first, |shown| shown["me"]["address"].is_string()).await;
    let address = shown["me"]["address"].as_str().expect("the instance's own address").to_owned();
    let (second, leave_second, second_task) = start("n1", &[address], 2);
    wait_until(&second, |shown| shown["members"][0]["state"] == "alive").await;
    let mut shown = wait_until(&first, |shown| shown["members"][0]["state"] == "alive").await;
    replace_varying_values(&mut shown);
    assert_eq!(shown.to_string(), GOLDEN.trim_end());
    leave_second.send(()).expect("the cluster runs");
    second_task.await.expect("the cluster's task ends");
    wait_until(&first, |shown| shown["members"][0]["state"] == "left").await;
    leave_first.send(()).expect("the cluster runs");
    first_task.await.expect("the cluster's task ends");
}

#[tokio::test]
async fn an_address_in_use_is_reported_with_its_settings_key() {
    let taken = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let listen = match taken.local_addr().expect("a local address") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("{address}"),
    };
    let table = Table { listen, ..table("n0", &[]) };
    let bind = |wait_for_address| Cluster::bind(&table, "unused", wait_for_address, Clock::start(), 1);
    let error = bind(false).expect_err("the address is taken");
    let expected = format!("cluster.listen: can't listen on {listen}: Address already in use (os error 98)");
    assert_eq!(error.to_string(), expected);
    assert!(bind(true).is_ok(), "in a hot restart, it waits for the old process to free the address");
}
