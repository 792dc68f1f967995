//! Guards against requests with almost no time left that have other requests refused: 5 in 100 of them had 75 of 190 others
//! refused on an idle fleet, as their time-outs were charged to the servers.

mod controlled_servers;

use std::time::Duration;

use controlled_servers::{status, stream, TestDispatcher, FRONTS_CONFIG, READ_RESPONSE, TEST_TIMEOUT};
use dewladder_test_peers::{member, platform, until_close, Line, Peer};
use serde_json::{json, Value};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Requests of a run. Of each hundred, the first [`SHORT_IN_HUNDRED`] have [`SHORT_REMAINING`] left.
const REQUESTS: usize = 200;
const SHORT_IN_HUNDRED: usize = 5;
const SHORT_REMAINING: &str = "0.030";
/// Time between two requests: the fleet is idle.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time that a server takes for its part of a request.
const WORK_TIME: Duration = Duration::from_millis(10);
/// Servers drop or turn away requests that have less time left than this (s).
const MIN_REMAINING_S: f64 = 0.1;
const DELETED: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// What a server does with a request that has less time left than [`MIN_REMAINING_S`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoTimeLeft {
    AnswersTooLate,
    DropsSilently,
    TurnsAway,
}

/// Serves one connection; `answer` is what a request with enough time gets.
async fn serve(mut line: Line, answer: String, case: NoTimeLeft) {
    while let Some(message) = line.message().await {
        if message.head.starts_with("DELETE") {
            let _ = line.says(DELETED).await;
            continue;
        }
        let remaining: f64 = message.field("x-remaining").unwrap().parse().unwrap();
        let is_short = remaining < MIN_REMAINING_S;
        match case {
            NoTimeLeft::DropsSilently if is_short => {
                let _ = line.rest().await;
                return;
            }
            NoTimeLeft::TurnsAway if is_short => {
                let _ = line.says("HTTP/1.1 504 X\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n").await;
            }
            _ => {
                sleep(if is_short { 4 * WORK_TIME } else { WORK_TIME }).await;
                let _ = line.says(&answer).await;
            }
        }
    }
}

async fn start_server(answer: String, case: NoTimeLeft) -> std::net::SocketAddr {
    let peer = Peer::start().await;
    let address = peer.address;
    tokio::spawn(async move {
        loop {
            tokio::spawn(serve(peer.accept().await, answer.clone(), case));
        }
    });
    address
}

async fn start(servers_per_role: u32, case: NoTimeLeft) -> TestDispatcher {
    let mut members: Vec<Value> = Vec::new();
    for id in 0..servers_per_role {
        let reader = start_server(READ_RESPONSE.to_owned(), case).await;
        let writer = start_server(stream("whole"), case).await;
        members.push(member(reader, 2 * id + 1, "prefill", "up"));
        members.push(member(writer, 2 * id + 2, "decode", "up"));
    }
    TestDispatcher::start(members, FRONTS_CONFIG, |config| {
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["aim_s"] = json!(1.0);
            config["settings"]["lanes"][lane]["give_up_s"] = json!(5.0);
        }
    })
    .await
}

/// Sends the requests of a run. Returns how many of those with enough time are not served.
async fn unserved(servers_per_role: u32, case: NoTimeLeft) -> usize {
    let dispatcher = start(servers_per_role, case).await;
    let mut requests = JoinSet::new();
    for id in 0..REQUESTS {
        let is_short = id % 100 < SHORT_IN_HUNDRED;
        let remaining = if is_short { SHORT_REMAINING } else { "5.000" };
        let class = if id % 3 == 0 { "book" } else { "ask" };
        let text = platform(&format!("{:016x}", id + 1), class, remaining);
        let address = dispatcher.platform;
        requests.spawn(async move {
            let answer = timeout(TEST_TIMEOUT, until_close(address, &text)).await.unwrap();
            !is_short && status(&answer) != 200
        });
        sleep(INTERVAL).await;
    }
    requests.join_all().await.into_iter().filter(|&is_unserved| is_unserved).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_without_time_left_have_no_other_request_refused() {
    let mut runs = JoinSet::new();
    for case in [NoTimeLeft::AnswersTooLate, NoTimeLeft::DropsSilently, NoTimeLeft::TurnsAway] {
        for servers_per_role in [1, 2, 4] {
            runs.spawn(async move { (case, servers_per_role, unserved(servers_per_role, case).await) });
        }
    }
    let mut failures = runs.join_all().await;
    failures.retain(|&(_, _, unserved)| unserved > 0);
    assert!(failures.is_empty(), "not served, by case and servers of a role: {failures:?}");
}
