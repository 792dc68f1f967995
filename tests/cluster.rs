//! Failure detection among instances of the program in separate processes: with killed and paused instances, a
//! network path that is blocked in one direction, lost messages and partitions. How soon states must be detected is
//! checked in virtual time (`crates/simulation/tests/membership.rs`); these tests poll for each expected state and
//! fail if it does not occur.

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
    let mut cluster = Cluster::new("kill", 5, 1).await;
    cluster.instances[3].as_ref().unwrap().signal("-KILL");
    cluster.kill(3).await;
    cluster.wait_until("the killed instance", "dead", |_| 1).await;
    for (_, instance) in cluster.running() {
        assert_eq!(instance.members_in_state("dead").await, ["n3"]);
    }
    // It restarts under the same name, without any stored state, and all others see it alive again.
    cluster.start(3, KEY).await;
    cluster.wait_until_all_alive().await;
    let (deaths, expected) = (cluster.kill_all_and_count_deaths(None).await, 4);
    assert_eq!(
        deaths, expected,
        "each of the four others declares the killed instance dead once, and no other"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumed_instance_refutes_its_death_and_declares_no_other_dead() {
    let cluster = Cluster::new("pause", 5, 2).await;
    let paused = cluster.instances[2].as_ref().unwrap();
    paused.signal("-STOP");
    sleep(Duration::from_millis(900)).await; // three probe intervals
    paused.signal("-CONT");
    cluster.wait_until_all_alive().await;
    paused.wait_until_counted("pauses").await;
    // Pauses it until all others have declared it dead. When it resumes, it learns that and refutes it.
    paused.signal("-STOP");
    let mut declared_dead = 0;
    for _ in 0..3_000 {
        declared_dead = 0;
        for (_, instance) in cluster.running().filter(|&(index, _)| index != 2) {
            declared_dead += usize::from(instance.members_in_state("dead").await == ["n2"]);
        }
        if declared_dead == 4 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(declared_dead, 4);
    paused.signal("-CONT");
    cluster.wait_until_all_alive().await;
    assert!(paused.members().await["counts"]["refuted"].as_u64() >= Some(1));
    assert_eq!(paused.members().await["counts"]["deaths"], 0);
    let (name, declared_dead) = ("n2", 4);
    assert_eq!(
        cluster.kill_all_and_count_deaths(None).await,
        declared_dead,
        "each of the others declares {name} dead once, and no other"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_one_way_block_and_lost_messages_cause_no_death() {
    let cluster = Cluster::new("loss", 5, 3).await;
    cluster.net.block(0, 1, true);
    sleep(Duration::from_secs(9)).await; // thirty probe intervals
    cluster.net.block(0, 1, false);
    cluster.net.lose(0.2);
    sleep(Duration::from_secs(60)).await;
    cluster.net.lose(0.0);
    cluster.wait_until_all_alive().await;
    let (passed, lost) = cluster.net.counts();
    assert!(lost * 20 > passed, "{lost} lost, {passed} passed: too few lost");
    assert_eq!(cluster.kill_all_and_count_deaths(None).await, 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_sides_of_a_partition_declare_each_other_dead_and_rejoin_when_it_heals() {
    let mut cluster = Cluster::new("partition", 5, 4).await;
    cluster.net.partition(&[0, 1], true);
    cluster
        .wait_until("each side declares the other dead", "dead", |index| if index < 2 { 3 } else { 2 })
        .await;
    cluster.net.partition(&[0, 1], false);
    cluster.wait_until_all_alive().await;
    // An instance that shuts down cleanly is shown as left, and is neither suspected nor declared dead.
    let leaving = cluster.instances[4].take().unwrap();
    leaving.signal("-TERM");
    cluster.wait_until("the instance that left", "left", |_| 1).await;
    cluster.logs.extend(leaving.kill().await);
    assert_eq!(
        cluster.kill_all_and_count_deaths(Some("n4")).await,
        2,
        "declared dead by the two instances of the other side only, during the partition"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn datagrams_of_an_instance_with_another_key_are_rejected_and_counted() {
    let mut cluster = Cluster::new("key", 2, 5).await;
    cluster.kill(1).await;
    cluster.start(1, "ff112233445566778899aabbccddeeff").await;
    let first = cluster.instances[0].as_ref().unwrap();
    let mut rejected = 0;
    for _ in 0..3_000 {
        rejected = first.members().await["refused"]["mac"].as_u64().unwrap_or(0);
        if rejected > 2 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert!(rejected > 2);
    let other = cluster.instances[1].as_ref().unwrap().members().await;
    assert_eq!(other["members"], json!([]), "the instance with the other key learns of no member either");
}

#[tokio::test]
async fn without_the_cluster_table_there_is_no_cluster_log_line_or_endpoint() {
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
        let line = lines.next_line().await.unwrap().expect("the program starts");
        assert!(!line.contains("cluster"), "{line}");
        if let Some((_, address)) = line.split_once("second address: ") {
            break address.parse().unwrap();
        }
    };
    let answer = until_close(admin, "GET /cluster/members HTTP/1.1\r\n").await;
    assert!(answer.starts_with("ERR "), "{answer}");
}
