//! Who is alive, under deaths, pauses, cuts in one direction, loss and partitions, with the program as it is started.
//! The bounds themselves are held in virtual time (`crates/simulation/tests/membership.rs`); here all that is waited for comes
//! or the test fails.

mod processes;

use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder_test_peers::{config, until_close, Fleet, Shape};
use processes::{Cluster, KEY};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::Command;
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_killed_instance_is_declared_dead_by_all_others_and_no_live_one_is() {
    let mut cluster = Cluster::formed("kill", 5, 1).await;
    cluster.instances[3].as_ref().unwrap().signal("-KILL");
    cluster.end(3).await;
    cluster.until("the killed one", "dead", |_| 1).await;
    for (_, instance) in cluster.running() {
        assert_eq!(instance.holds("dead").await, ["n3"]);
    }
    // It comes back under its name, with nothing kept, and is alive again to all.
    cluster.start(3, KEY).await;
    cluster.all_alive().await;
    let (all, killed) = (cluster.deaths(None).await, 4);
    assert_eq!(all, killed, "each of four held the killed one for dead, once, and nobody else");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_instance_refutes_and_declares_nobody_dead_when_it_continues() {
    let cluster = Cluster::formed("pause", 5, 2).await;
    let paused = cluster.instances[2].as_ref().unwrap();
    paused.signal("-STOP");
    sleep(Duration::from_millis(900)).await; // three probe times
    paused.signal("-CONT");
    cluster.all_alive().await;
    assert!(paused.members().await["counts"]["pauses"].as_u64() >= Some(1), "it saw that it stood still");
    // Longer than it can take to be held for dead: on waking it hears so, and refutes.
    paused.signal("-STOP");
    let mut dead = 0;
    for _ in 0..3_000 {
        dead = 0;
        for (_, instance) in cluster.running().filter(|&(at, _)| at != 2) {
            dead += usize::from(instance.holds("dead").await == ["n2"]);
        }
        if dead == 4 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(dead, 4);
    paused.signal("-CONT");
    cluster.all_alive().await;
    assert!(paused.members().await["counts"]["refuted"].as_u64() >= Some(1));
    assert_eq!(paused.members().await["counts"]["deaths"], 0);
    let (name, dead) = ("n2", 4);
    assert_eq!(cluster.deaths(None).await, dead, "only {name}, once at each of the others");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_in_one_direction_and_lost_messages_lead_to_no_death() {
    let cluster = Cluster::formed("harm", 5, 3).await;
    cluster.net.block(0, 1, true);
    sleep(Duration::from_secs(9)).await; // thirty probe times
    cluster.net.block(0, 1, false);
    cluster.net.lose(0.2);
    sleep(Duration::from_secs(60)).await;
    cluster.net.lose(0.0);
    cluster.all_alive().await;
    let (passed, lost) = cluster.net.counts();
    assert!(lost * 20 > passed, "{lost} lost, {passed} passed: the harm was done");
    assert_eq!(cluster.deaths(None).await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_sides_of_a_partition_declare_each_other_dead_and_are_one_cluster_again_once_it_is_over() {
    let mut cluster = Cluster::formed("partition", 5, 4).await;
    cluster.net.partition(&[0, 1], true);
    cluster.until("each side sees the other gone", "dead", |at| if at < 2 { 3 } else { 2 }).await;
    cluster.net.partition(&[0, 1], false);
    cluster.all_alive().await;
    // One that ends in good order is not suspected.
    let leaving = cluster.instances[4].take().unwrap();
    leaving.signal("-TERM");
    cluster.until("the one that left", "left", |_| 1).await;
    cluster.logs.extend(leaving.end().await);
    assert_eq!(cluster.deaths(Some("n4")).await, 2, "by the other side only, while it was cut off");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_with_another_key_is_refused_and_its_datagrams_are_counted() {
    let mut cluster = Cluster::formed("key", 2, 5).await;
    cluster.end(1).await;
    cluster.start(1, "ff112233445566778899aabbccddeeff").await;
    let first = cluster.instances[0].as_ref().unwrap();
    let mut refused = 0;
    for _ in 0..3_000 {
        refused = first.members().await["refused"]["mac"].as_u64().unwrap_or(0);
        if refused > 2 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(refused > 2);
    let other = cluster.instances[1].as_ref().unwrap().members().await;
    assert_eq!(other["members"], json!([]), "it learns nothing either");
}

#[tokio::test]
async fn without_the_cluster_table_nothing_of_a_cluster_is_there() {
    let fleet = Fleet::start(Shape::default()).await.unwrap();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("cluster-off");
    std::fs::create_dir_all(&folder).unwrap();
    let mut settings: Value = serde_json::from_str(&config(fleet.agent.address, &fleet.listing())).unwrap();
    settings["admin_addr"] = json!("127.0.0.1:0");
    std::fs::write(folder.join("config.json"), settings.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["serve", "--config", "config.json"]).env_clear().current_dir(&folder);
    let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let admin = loop {
        let line = lines.next_line().await.unwrap().expect("it starts");
        assert!(!line.contains("cluster"), "{line}");
        if let Some((_, address)) = line.split_once("second address: ") {
            break address.parse().unwrap();
        }
    };
    let answer = until_close(admin, "GET /cluster/members HTTP/1.1\r\n").await;
    assert!(answer.starts_with("ERR "), "{answer}");
}
