//! The hollow replicas' own ledger sees what it is there for: calls beyond a budget, and answers begun twice.

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
        part: 0.1,
        cold_from: 0.3,
        cold_ms: 60_000,
        fall_multiple: 2.5,
        fall_window_ms: 30_000,
    };
    HollowReplicas::start(options).expect("they listen")
}

/// Sends a request to a server; the first line of the answer.
async fn asks(server: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(server).await.expect("a connection");
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Txn: {id}\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(text.as_bytes()).await.expect("sent");
    let mut answer = vec![0; 64];
    let length = stream.read(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer[..length]).lines().next().unwrap_or("").to_owned()
}

#[tokio::test]
async fn calls_beyond_the_budget_of_a_cold_server_are_counted() {
    let replicas = replicas();
    let server = replicas.addresses[0];
    for number in 0..40 {
        asks(server, &format!("a{number}")).await;
    }
    assert_eq!(replicas.ledger().cold_calls, 0, "it is warm");
    replicas.return_cold(shape::zone(0));
    // 2.5 x 0.3 x 10 a second x 30 s x 0.1 of the dispatchers is 22.5, with 3 x root and 3 it is 39.7.
    for number in 0..39 {
        asks(server, &format!("c{number}")).await;
    }
    assert_eq!((replicas.ledger().cold_calls, replicas.ledger().over_budget), (39, 0));
    for number in 0..11 {
        asks(server, &format!("d{number}")).await;
    }
    assert!(replicas.ledger().over_budget >= 10, "{:?}", replicas.ledger().over_budget);
}

#[tokio::test]
async fn an_answer_that_is_begun_twice_is_counted_where_it_must_not_be() {
    let replicas = replicas();
    let (reader, writer) = (replicas.addresses[0], replicas.addresses[10]);
    assert!(!shape::reads(10) && shape::reads(0));
    for (id, ran_twice) in [("a1", 0), ("b1", 1)] {
        for _ in 0..2 {
            assert!(asks(reader, id).await.contains("202"));
            assert_eq!(replicas.ledger().held, 1);
            assert!(asks(writer, id).await.contains("200"));
        }
        assert_eq!(replicas.ledger().ran_twice, ran_twice, "{id}");
    }
    assert!(asks(writer, "b1").await.contains("410"), "there is no state to fetch");
}
