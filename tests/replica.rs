//! At-most-once requests whose clients retry at other instances, while instances are killed with SIGKILL, restarted
//! without stored state, and partitioned from each other.

mod processes;

use std::time::Duration;

use dewladder_test_peers::talk;
use processes::{Cluster, KEY};
use serde_json::json;
use tokio::time::sleep;

/// A chat front with deduplication and, since `after_start_s` is 0, no waiting time after a start.
const CHAT_FRONT: &str =
    "[chat]\nenabled = true\nlisten = \"CHAT\"\nmost_open = 400\n[chat.models]\nledger-entry = \"book\"\n\
    [chat.repeats]\nenabled = true\nafter_start_s = 0.0\n";
const REPLICA_TABLE: &str =
    "[cluster.replica]\nenabled = true\nmembers = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"]\nsettle_s = 0.6\n";

/// An at-most-once request whose message and idempotency key are `key`.
fn booking(key: &str) -> String {
    let body = json!({"model": "ledger-entry", "messages": [{"role": "user", "content": key}]}).to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a booking and returns the status of its answer, or 0 if the connection failed or there was no answer.
async fn send_booking(to: std::net::SocketAddr, key: &str) -> u16 {
    let Ok(stream) = tokio::net::TcpStream::connect(to).await else { return 0 };
    drop(stream);
    let answer = tokio::spawn({
        let text = booking(key);
        async move { talk(to, &text, |_| false).await }
    });
    let answer = answer.await.unwrap_or_default();
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Waits until no running instance has ranges that it still has to copy from other replicas.
async fn wait_until_caught_up(cluster: &Cluster) {
    for _ in 0..3_000 {
        let mut behind = 0;
        for (_, instance) in cluster.running() {
            behind += instance.members().await["replica"]["ranges_behind"].as_u64().unwrap_or(64);
        }
        if behind == 0 {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("the replicas did not catch up");
}

/// Requests of all rounds, counted by what became of them.
#[derive(Debug, Default)]
struct TrialCounts {
    /// Requests that executed at least once.
    executed: usize,
    /// Requests that executed more than once.
    executed_twice: usize,
    /// Requests with a retry that was served (status 200).
    served: usize,
    /// Requests with a retry that was refused because an earlier attempt may have executed (status 504).
    may_have_executed: usize,
}

/// In each round, kills one instance while it handles requests, and retries each of those requests at three of the
/// other instances, one after the other.
async fn run_trials(cluster: &mut Cluster, rounds: usize, requests_per_round: usize) -> TrialCounts {
    let mut counts = TrialCounts::default();
    for round in 0..rounds {
        let victim = round % 5;
        let requests: Vec<_> = (0..requests_per_round)
            .map(|index| {
                let to = cluster.ports[victim].address();
                tokio::spawn(async move {
                    // Requests start 1 ms apart, so that the kill interrupts them at different stages.
                    sleep(Duration::from_millis(index as u64)).await;
                    send_booking(to, &format!("r{round}-{index}")).await
                })
            })
            .collect();
        sleep(Duration::from_millis(10 + (round as u64 * 7) % 37)).await;
        cluster.instances[victim].as_ref().unwrap().signal("-KILL");
        cluster.kill(victim).await;
        for request in requests {
            let _ = request.await;
        }
        let requests: Vec<_> = (0..requests_per_round)
            .map(|index| {
                let to: Vec<_> = (1..4)
                    .map(|next| cluster.ports[(victim + 1 + (index + next) % 4) % 5].address())
                    .collect();
                tokio::spawn(async move {
                    let mut statuses = Vec::new();
                    for to in to {
                        statuses.push(send_booking(to, &format!("r{round}-{index}")).await);
                    }
                    statuses
                })
            })
            .collect();
        for (index, request) in requests.into_iter().enumerate() {
            let statuses = request.await.unwrap();
            let runs = cluster.fleet.runs_of(&format!("r{round}-{index}\""));
            counts.executed += usize::from(runs > 0);
            counts.executed_twice += usize::from(runs > 1);
            counts.served += usize::from(statuses.contains(&200));
            counts.may_have_executed += usize::from(statuses.contains(&504));
        }
        cluster.start(victim, KEY).await;
        cluster.wait_until_all_alive().await;
        wait_until_caught_up(cluster).await;
    }
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_executes_twice_when_its_instance_is_killed_and_its_client_retries_elsewhere() {
    let mut cluster = Cluster::with_fronts("twice", 5, 11, &format!("{REPLICA_TABLE}{CHAT_FRONT}")).await;
    wait_until_caught_up(&cluster).await;
    let counts = run_trials(&mut cluster, 25, 40).await;
    assert_eq!(counts.executed_twice, 0, "{counts:?}");
    println!("{counts:?}");
    assert!(
        counts.executed > 300 && counts.served > 20 && counts.may_have_executed > 20,
        "each outcome occurs: {counts:?}"
    );
}

/// Requests of a round that servers have begun to execute when the instance is killed, in the control below.
const MIN_EXECUTED: usize = 10;

/// The control of the test above: without replicas, instances do not know of each other's requests, and the same kind
/// of trials executes some of them twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_replicas_the_same_trials_execute_requests_twice() {
    let mut cluster = Cluster::with_fronts("alone", 5, 12, CHAT_FRONT).await;
    let mut executed_twice = 0;
    for round in 0..4u64 {
        let to = cluster.ports[0].address();
        let requests: Vec<_> = (0..40)
            .map(|index| {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(index)).await;
                    send_booking(to, &format!("r{round}-{index}")).await
                })
            })
            .collect();
        let runs_of = |index: u64| cluster.fleet.runs_of(&format!("r{round}-{index}\""));
        let all_ended = || requests.iter().all(|request| request.is_finished());
        while (0..40).filter(|&index| runs_of(index) > 0).count() < MIN_EXECUTED && !all_ended() {
            sleep(Duration::from_millis(1)).await;
        }
        cluster.instances[0].as_ref().unwrap().signal("-KILL");
        cluster.kill(0).await;
        for request in requests {
            let _ = request.await;
        }
        for index in 0..40 {
            send_booking(cluster.ports[1].address(), &format!("r{round}-{index}")).await;
            executed_twice += usize::from(cluster.fleet.runs_of(&format!("r{round}-{index}\"")) > 1);
        }
        cluster.start(0, KEY).await;
    }
    assert!(executed_twice > 3, "{executed_twice} executed twice");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn both_sides_of_a_partition_execute_nothing_twice_and_agree_afterwards() {
    let mut cluster = Cluster::with_fronts("cut", 5, 13, &format!("{REPLICA_TABLE}{CHAT_FRONT}")).await;
    wait_until_caught_up(&cluster).await;
    cluster.net.partition(&[0, 1], true);
    let mut requests = Vec::new();
    for index in 0..60usize {
        for to in [index % 2, 2 + index % 3] {
            let to = cluster.ports[to].address();
            requests.push(tokio::spawn(async move { send_booking(to, &format!("c{index}")).await }));
        }
    }
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap() == 200);
    }
    assert!(served > 20, "{served} served");
    cluster.net.partition(&[0, 1], false);
    cluster.wait_until_all_alive().await;
    // Records of finished requests are not replaced by older records of them in progress: a retry at any instance
    // does not execute the request again.
    for index in 0..60usize {
        for to in 0..5 {
            send_booking(cluster.ports[to].address(), &format!("c{index}")).await;
        }
        assert!(cluster.fleet.runs_of(&format!("c{index}\"")) <= 1, "c{index}");
    }
    // A restarted instance rejects bookings in its key ranges until it has caught up.
    cluster.instances[4].as_ref().unwrap().signal("-KILL");
    cluster.kill(4).await;
    cluster.start(4, KEY).await;
    let mut refused = 0;
    for index in 0..40 {
        refused += usize::from(send_booking(cluster.ports[4].address(), &format!("d{index}")).await == 503);
    }
    assert!(refused > 5, "{refused} refused before the instance caught up");
    wait_until_caught_up(&cluster).await;
    assert_eq!(send_booking(cluster.ports[4].address(), "e").await, 200);
}
