//! The answer to `GET /cluster/members`, letter for letter but for addresses, incarnations and times.

use std::time::Duration;

use dewladder::edge::clock::Clock;
use dewladder::edge::cluster::{Cluster, Table, View};
use serde_json::Value;
use tokio::sync::oneshot;
use tokio::time::sleep;

const GOLDEN: &str = include_str!("golden/cluster_members.json");
const BEFORE_START: &str = r#"{"cluster":"pond","refused":{}}"#;

fn table(name: &str, seeds: &[String]) -> Table {
    let text = format!(
        "enabled = true\nname = \"{name}\"\ncluster = \"pond\"\nlisten = \"127.0.0.1:0\"\n\
         key = \"000102030405060708090a0b0c0d0e0f\"\nseeds = {seeds:?}\n\
         [replica]\nenabled = true\nmembers = [\"n0\", \"n1\", \"n2\"]\n"
    );
    toml::from_str(&text).expect("a table")
}

/// Waits until what is shown is as wanted.
async fn until(view: &View, wanted: impl Fn(&Value) -> bool) -> Value {
    for _ in 0..3_000 {
        let shown = view.json();
        if wanted(&shown) {
            return shown;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("not as wanted: {}", view.json());
}

/// Replaces numbers that differ from run to run by a word for what they are.
fn without_what_differs(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields.iter_mut() {
                match name.as_str() {
                    "address" => {
                        let text = value.as_str().expect("an address");
                        text.parse::<std::net::SocketAddrV4>().expect("an address");
                        *value = "ADDRESS".into();
                    }
                    "incarnation" | "for_s" | "health" | "ranges_behind" | "hints" | "probes"
                    | "failed_probes" | "deaths" | "refuted" | "pauses" => {
                        assert!(value.is_u64(), "{name}: {value}");
                        *value = name.to_uppercase().into();
                    }
                    _ => without_what_differs(value),
                }
            }
        }
        Value::Array(all) => all.iter_mut().for_each(without_what_differs),
        _ => {}
    }
}

#[tokio::test]
async fn the_members_are_shown_as_the_golden_answer() {
    let clock = Clock::start();
    let start = |name: &str, seeds: &[String], seed: u64| {
        let cluster = Cluster::bind(&table(name, seeds), "unused", false, clock, seed).expect("it listens");
        let view = cluster.view();
        assert_eq!(view.json().to_string(), BEFORE_START);
        let (leave, left) = oneshot::channel();
        (view, leave, tokio::spawn(cluster.run(left)))
    };
    let (first, leave_first, first_runs) = start("n0", &[], 1);
    let shown = until(&first, |shown| shown["me"]["address"].is_string()).await;
    let address = shown["me"]["address"].as_str().expect("an address").to_owned();
    let (second, leave_second, second_runs) = start("n1", &[address], 2);
    until(&second, |shown| shown["members"][0]["state"] == "alive").await;
    let mut shown = until(&first, |shown| shown["members"][0]["state"] == "alive").await;
    without_what_differs(&mut shown);
    assert_eq!(shown.to_string(), GOLDEN.trim_end());
    leave_second.send(()).expect("it runs");
    second_runs.await.expect("it ends");
    until(&first, |shown| shown["members"][0]["state"] == "left").await;
    leave_first.send(()).expect("it runs");
    first_runs.await.expect("it ends");
}

#[tokio::test]
async fn an_address_that_another_has_is_told_by_the_table_s_field() {
    let taken = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let listen = match taken.local_addr().expect("an address") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("{address}"),
    };
    let table = Table { listen, ..table("n0", &[]) };
    let bind = |shared| Cluster::bind(&table, "unused", shared, Clock::start(), 1);
    let error = bind(false).expect_err("the address is taken");
    let expected = format!("cluster.listen: can't listen on {listen}: Address already in use (os error 98)");
    assert_eq!(error.to_string(), expected);
    assert!(bind(true).is_ok(), "it waits for the other one");
}
