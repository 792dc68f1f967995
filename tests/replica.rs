//! Requests that must not run twice, while instances of the program die with kill -9, come back with nothing kept, and
//! are cut off from each other: their clients go to other instances.

mod processes;

use std::time::Duration;

use dewladder_test_peers::talk;
use processes::{Cluster, KEY};
use serde_json::json;
use tokio::time::sleep;

const FRONT: &str =
    "[chat]\nenabled = true\nlisten = \"CHAT\"\nmost_open = 400\n[chat.models]\nledger-entry = \"book\"\n\
    [chat.repeats]\nenabled = true\nafter_start_s = 0.0\n";
const SHARED: &str =
    "[cluster.replica]\nenabled = true\nmembers = [\"n0\", \"n1\", \"n2\", \"n3\", \"n4\"]\nsettle_s = 0.6\n";

/// A request with a key of its own.
fn booking(what: &str) -> String {
    let body = json!({"model": "ledger-entry", "messages": [{"role": "user", "content": what}]}).to_string();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {what}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// The status of an answer; 0 where none came.
async fn ask(to: std::net::SocketAddr, what: &str) -> u16 {
    let Ok(stream) = tokio::net::TcpStream::connect(to).await else { return 0 };
    drop(stream);
    let answer = tokio::spawn({
        let text = booking(what);
        async move { talk(to, &text, |_| false).await }
    });
    let answer = answer.await.unwrap_or_default();
    answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

async fn until_caught_up(cluster: &Cluster) {
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
    panic!("never caught up");
}

#[derive(Debug, Default)]
struct TrialCounts {
    /// Requests that executed, once or more often, and those that did more often.
    executed: usize,
    executed_twice: usize,
    /// Requests of which a retry was served, and of which one was told that the first may have executed.
    served: usize,
    may_have_executed: usize,
}

/// In each round an instance is killed while it has requests, and each of them is retried at the others.
async fn trials(cluster: &mut Cluster, rounds: usize, each: usize) -> TrialCounts {
    let mut counts = TrialCounts::default();
    for round in 0..rounds {
        let victim = round % 5;
        let requests: Vec<_> = (0..each)
            .map(|at| {
                let to = cluster.ports[victim].address();
                tokio::spawn(async move {
                    // Spread, so that the death finds them at every stage.
                    sleep(Duration::from_millis(at as u64)).await;
                    ask(to, &format!("r{round}-{at}")).await
                })
            })
            .collect();
        sleep(Duration::from_millis(10 + (round as u64 * 7) % 37)).await;
        cluster.instances[victim].as_ref().unwrap().signal("-KILL");
        cluster.end(victim).await;
        for request in requests {
            let _ = request.await;
        }
        let requests: Vec<_> = (0..each)
            .map(|at| {
                let to: Vec<_> =
                    (1..4).map(|next| cluster.ports[(victim + 1 + (at + next) % 4) % 5].address()).collect();
                tokio::spawn(async move {
                    let mut statuses = Vec::new();
                    for to in to {
                        statuses.push(ask(to, &format!("r{round}-{at}")).await);
                    }
                    statuses
                })
            })
            .collect();
        for (at, request) in requests.into_iter().enumerate() {
            let statuses = request.await.unwrap();
            let runs = cluster.fleet.runs_of(&format!("r{round}-{at}\""));
            counts.executed += usize::from(runs > 0);
            counts.executed_twice += usize::from(runs > 1);
            counts.served += usize::from(statuses.contains(&200));
            counts.may_have_executed += usize::from(statuses.contains(&504));
        }
        cluster.start(victim, KEY).await;
        cluster.all_alive().await;
        until_caught_up(cluster).await;
    }
    counts
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_request_executes_twice_when_its_instance_is_killed_and_its_client_retries_elsewhere() {
    let mut cluster = Cluster::with("twice", 5, 11, &format!("{SHARED}{FRONT}")).await;
    until_caught_up(&cluster).await;
    let counts = trials(&mut cluster, 25, 40).await;
    assert_eq!(counts.executed_twice, 0, "{counts:?}");
    println!("{counts:?}");
    assert!(
        counts.executed > 300 && counts.served > 20 && counts.may_have_executed > 20,
        "each occurs: {counts:?}"
    );
}

/// What the test above would count if instances knew nothing of each other's requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_replicas_the_same_trials_execute_requests_twice() {
    let mut cluster = Cluster::with("alone", 5, 12, FRONT).await;
    let mut executed_twice = 0;
    for round in 0..4u64 {
        let to = cluster.ports[0].address();
        let requests: Vec<_> = (0..40)
            .map(|at| {
                tokio::spawn(async move {
                    sleep(Duration::from_millis(at)).await;
                    ask(to, &format!("r{round}-{at}")).await
                })
            })
            .collect();
        sleep(Duration::from_millis(30)).await;
        cluster.instances[0].as_ref().unwrap().signal("-KILL");
        cluster.end(0).await;
        for request in requests {
            let _ = request.await;
        }
        for at in 0..40 {
            ask(cluster.ports[1].address(), &format!("r{round}-{at}")).await;
            executed_twice += usize::from(cluster.fleet.runs_of(&format!("r{round}-{at}\"")) > 1);
        }
        cluster.start(0, KEY).await;
    }
    assert!(executed_twice > 3, "{executed_twice} executed twice");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_sides_of_a_partition_execute_nothing_twice_and_agree_afterwards() {
    let mut cluster = Cluster::with("cut", 5, 13, &format!("{SHARED}{FRONT}")).await;
    until_caught_up(&cluster).await;
    cluster.net.partition(&[0, 1], true);
    let mut requests = Vec::new();
    for at in 0..60usize {
        for to in [at % 2, 2 + at % 3] {
            let to = cluster.ports[to].address();
            requests.push(tokio::spawn(async move { ask(to, &format!("c{at}")).await }));
        }
    }
    let mut served = 0;
    for request in requests {
        served += usize::from(request.await.unwrap() == 200);
    }
    assert!(served > 20, "{served} served");
    cluster.net.partition(&[0, 1], false);
    cluster.all_alive().await;
    // Finished ones do not come back as open ones: wherever they are retried, they do not execute.
    for at in 0..60usize {
        for to in 0..5 {
            ask(cluster.ports[to].address(), &format!("c{at}")).await;
        }
        assert!(cluster.fleet.runs_of(&format!("c{at}\"")) <= 1, "c{at}");
    }
    // One that was away long catches up, and executes nothing of its ranges until then.
    cluster.instances[4].as_ref().unwrap().signal("-KILL");
    cluster.end(4).await;
    cluster.start(4, KEY).await;
    let mut refused = 0;
    for at in 0..40 {
        refused += usize::from(ask(cluster.ports[4].address(), &format!("d{at}")).await == 503);
    }
    assert!(refused > 5, "{refused} refused at first");
    until_caught_up(&cluster).await;
    assert_eq!(ask(cluster.ports[4].address(), "e").await, 200);
}
