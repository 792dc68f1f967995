//! The ledger of the hollow replicas counts calls over a slow-start budget, and at-most-once requests that run
//! twice. The runs at size assert that both counts are 0, which proves nothing if the ledger misses them.

use std::net::SocketAddr;

use dewladder_scale::hollow::{HollowReplicas, ReplicaOptions};
use dewladder_scale::shape;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

fn replicas() -> HollowReplicas {
    let options = ReplicaOptions {
        servers: 40,
        read_ms: 1,
        first_token_ms: 1,
        events: 2,
        event_ms: 1,
        capacity: 10.0,
        real_share: 0.1,
        cold_from: 0.3,
        cold_ms: 60_000,
        fall_multiple: 2.5,
        fall_window_ms: 30_000,
    };
    HollowReplicas::start(options).expect("the replicas listen")
}

/// Sends a request to a server and returns the status line of the response.
async fn send_request(server: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(server).await.expect("a connection");
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Txn: {id}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).await.expect("the request is sent");
    let mut answer = vec![0; 64];
    let length = stream.read(&mut answer).await.expect("a response");
    String::from_utf8_lossy(&answer[..length]).lines().next().unwrap_or("").to_owned()
}

#[tokio::test]
async fn calls_over_the_slow_start_budget_are_counted() {
    let replicas = replicas();
    let server = replicas.addresses[0];
    for number in 0..40 {
        send_request(server, &format!("a{number}")).await;
    }
    assert_eq!(replicas.ledger().cold_calls, 0, "the server is not in slow start yet");
    replicas.restart_zone(shape::zone(0));
    // The limit is 2.5 x 0.3 x 10 calls a second x 30 s x 0.1 of the dispatchers, 22.5, plus a margin of 3 x the
    // square root and 3: 39.7.
    for number in 0..39 {
        send_request(server, &format!("c{number}")).await;
    }
    assert_eq!((replicas.ledger().cold_calls, replicas.ledger().over_budget), (39, 0));
    for number in 0..11 {
        send_request(server, &format!("d{number}")).await;
    }
    assert!(replicas.ledger().over_budget >= 10, "{:?}", replicas.ledger().over_budget);
}

#[tokio::test]
async fn an_at_most_once_request_that_runs_twice_is_counted() {
    let replicas = replicas();
    let (reader, writer) = (replicas.addresses[0], replicas.addresses[10]);
    assert!(!shape::reads(10) && shape::reads(0));
    for (id, ran_twice) in [("a1", 0), ("b1", 1)] {
        for _ in 0..2 {
            assert!(send_request(reader, id).await.contains("202"));
            assert_eq!(replicas.ledger().held, 1);
            assert!(send_request(writer, id).await.contains("200"));
        }
        assert_eq!(replicas.ledger().ran_twice, ran_twice, "{id}");
    }
    assert!(send_request(writer, "b1").await.contains("410"), "no reader holds state for the request");
}
