//! Guards against answers that were given up because their bodies came slowly: the body of a read's answer took 0.6 s, was
//! cut after 50 ms, and the prompt was read five times and then refused.

mod controlled_servers;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use controlled_servers::{
    read, status, stream, write, ControlledServer, TestDispatcher, FRONTS_CONFIG, READ_RESPONSE, STREAM_HEAD,
    TEST_TIMEOUT,
};
use dewladder_test_peers::{chat, platform, Line, Peer};
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Time from the first to the last byte of a slow body.
const BODY_TIME: Duration = Duration::from_millis(600);

/// The pieces of a read's answer, which come over [`BODY_TIME`].
fn slow_read_answers() -> Vec<(&'static str, Vec<&'static str>)> {
    let head = "HTTP/1.1 202 Accepted\r\nContent-Length: 20\r\n\r\n";
    let chunked = "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n";
    vec![
        ("the body after the head", vec![head, "{\"cached_tokens\":12}"]),
        ("a body in pieces", vec![head, "{\"cached", "_tokens", "\":12}"]),
        ("the last byte later", vec![READ_RESPONSE.split_at(READ_RESPONSE.len() - 1).0, "}"]),
        ("chunks", vec![chunked, "14\r\n", "{\"cached_tokens\":12}\r\n", "0\r\n\r\n"]),
    ]
}

/// The methods of the messages that a server has received, in order.
type Received<T = String> = Arc<Mutex<Vec<T>>>;

/// Answers each request on a connection in these pieces, and each release at once.
async fn serve_slowly(mut line: Line, pieces: Vec<&'static str>, received: Received) {
    while let Some(message) = line.message().await {
        let method = message.head.split(' ').next().unwrap_or("").to_owned();
        received.lock().unwrap().push(method.clone());
        if method == "DELETE" {
            let _ = line.says("HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        }
        let pause = BODY_TIME / (pieces.len() as u32 - 1);
        for piece in &pieces {
            if line.says(piece).await.is_err() {
                return;
            }
            if piece != pieces.last().unwrap() {
                sleep(pause).await;
            }
        }
    }
}

/// Starts a server that answers in these pieces; also returns what it receives.
async fn slow_server(pieces: Vec<&'static str>) -> (std::net::SocketAddr, Received) {
    let (peer, received) = (Peer::start().await, Received::default());
    let (address, log) = (peer.address, received.clone());
    tokio::spawn(async move {
        loop {
            tokio::spawn(serve_slowly(peer.accept().await, pieces.clone(), log.clone()));
        }
    });
    (address, received)
}

/// A read is taken for ended when its answer is complete, however slowly that comes within the time of the attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_whose_reader_answers_slowly_is_read_once() {
    let mut cases = JoinSet::new();
    for (name, pieces) in slow_read_answers() {
        for (front, class) in [(0, "ask"), (0, "book"), (1, "ask"), (1, "book")] {
            let pieces = pieces.clone();
            cases.spawn(async move {
                let (reader, received) = slow_server(pieces).await;
                let writer = ControlledServer::responding(&stream("whole")).await;
                let members = vec![read(reader, "up"), write(writer.address, "up")];
                let dispatcher = TestDispatcher::start(members, FRONTS_CONFIG, |config| {
                    for lane in 0..2 {
                        config["settings"]["lanes"][lane]["aim_s"] = json!(1.2);
                        config["settings"]["lanes"][lane]["give_up_s"] = json!(6.0);
                    }
                })
                .await;
                let (address, request) = match front {
                    0 => (dispatcher.platform, platform("00000000000000b1", class, "5.000")),
                    _ => (dispatcher.chat, chat(&format!("kiln-{class}"), true)),
                };
                let mut client = Line::to(address).await;
                client.says(&request).await.unwrap();
                let (answer, _) = timeout(TEST_TIMEOUT, client.rest()).await.expect("the answer ends");
                let received = received.lock().unwrap().clone();
                let is_read_once = status(&answer) == 200 && answer.contains("whole") && received == ["POST"];
                (!is_read_once).then(|| format!("{name}, front {front}, {class}: {received:?}, {answer}"))
            });
        }
    }
    let failures: Vec<String> = cases.join_all().await.into_iter().flatten().collect();
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A release is confirmed by its status. A body that comes slowly behind it does not make the dispatcher ask others.
#[tokio::test(flavor = "multi_thread")]
async fn a_release_that_is_confirmed_with_a_slow_body_is_not_repeated() {
    let peer = Peer::start().await;
    let writer = ControlledServer::responding(STREAM_HEAD).await;
    let members = vec![read(peer.address, "up"), write(writer.address, "up")];
    let dispatcher = TestDispatcher::start(members, FRONTS_CONFIG, |config| {
        for lane in 0..2 {
            config["settings"]["lanes"][lane]["aim_s"] = json!(1.2);
        }
    })
    .await;
    let received = Received::default();
    let log = received.clone();
    tokio::spawn(async move {
        loop {
            let (mut line, log) = (peer.accept().await, log.clone());
            tokio::spawn(async move {
                while let Some(message) = line.message().await {
                    let is_release = message.head.starts_with("DELETE");
                    log.lock().unwrap().push(is_release);
                    let answer = if is_release {
                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                    } else {
                        READ_RESPONSE
                    };
                    let _ = line.says(answer).await;
                    if is_release {
                        sleep(BODY_TIME).await;
                        let _ = line.says("ok").await;
                    }
                }
            });
        }
    });
    let mut client = Line::to(dispatcher.platform).await;
    client.says(&platform("00000000000000b2", "book", "0.800")).await.unwrap();
    let (answer, _) = timeout(TEST_TIMEOUT, client.rest()).await.expect("the answer ends");
    assert_eq!(status(&answer), 502, "{answer}");
    sleep(BODY_TIME).await;
    let releases =
        received.lock().unwrap().iter().filter(|&&is_release| is_release).count() + writer.count("DELETE");
    // One at the hold deadline and the final one with its repeat, each sent once.
    assert!((1..=3).contains(&releases), "{releases} releases");
}
