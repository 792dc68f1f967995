//! The chat front, with idempotency and resume on, during a shutdown, a drain or loss of the whole fleet, and with
//! clients that read slowly or disconnect.

mod stand_in;

use std::time::Duration;

use stand_in::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::time::sleep;

/// Turns on idempotency and resume.
const IDEMPOTENCY_AND_RESUME: &str = "enabled = true\nafter_start_s = 0.0\n[chat.resume]\nenabled = true\n";

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

fn slow() -> Shape {
    Shape { events: 20, pause: Duration::from_millis(25), ..Shape::default() }
}

/// A dispatcher that shuts down in mid-stream finishes each answer for all clients that read it, and then ends.
#[tokio::test]
async fn shutdown_in_mid_stream_finishes_every_answer() {
    let mut site = FleetSite::start(slow(), IDEMPOTENCY_AND_RESUME).await;
    let end = site.end.take().unwrap();
    let book = chat_request("kiln-book", "one", true, "Idempotency-Key: k1\r\n");
    let three = r#"{"model":"kiln-ask","n":3,"stream":true,"messages":[{"role":"user","content":"three"}]}"#;
    let three = post(three, "key-of-clay");
    let (first, joined, choices, ()) = tokio::join!(
        until_close(site.chat, &book),
        async {
            sleep(Duration::from_millis(100)).await;
            until_close(site.chat, &book).await
        },
        until_close(site.chat, &three),
        async {
            sleep(Duration::from_millis(250)).await;
            end.send(()).unwrap();
        }
    );
    for answer in [&first, &joined, &choices] {
        assert!(body(answer).0.ends_with("data: [DONE]\n\n"), "{answer}");
    }
    assert_eq!(body(&first), body(&joined));
    assert_eq!((site.running.await.unwrap(), site.fleet.runs_of("\"one\"")), (Ok(()), 1));
    assert_eq!(site.fleet.held_states(), 0);
}

/// A `book` request whose client has left runs to its end during a shutdown, and does not delay the shutdown until its
/// `linger_s` of 30 s has passed.
#[tokio::test]
async fn a_lingering_book_request_is_finished_before_the_shutdown_ends() {
    let mut site = FleetSite::start(slow(), "enabled = true\nafter_start_s = 0.0\nlinger_s = 30.0\n").await;
    let book = chat_request("kiln-book", "one", true, "Idempotency-Key: k1\r\n");
    talk(site.chat, &book, |read| read.contains("w1 ")).await;
    site.end.take().unwrap().send(()).unwrap();
    assert_eq!(site.running.await.unwrap(), Ok(()));
    assert!(site.fleet.started()[0].complete, "its answer is complete: {:?}", site.fleet.started());
}

/// While the whole fleet drains, nothing is sent and each request is rejected with `retry-after`; afterwards requests
/// are served again.
#[tokio::test]
async fn requests_are_rejected_while_the_whole_fleet_drains_and_served_afterwards() {
    let site = FleetSite::start(Shape::default(), IDEMPOTENCY_AND_RESUME).await;
    let ask_request = |content: &str| chat_request("kiln-ask", content, false, "");
    assert_eq!(status(&until_close(site.chat, &ask_request("before")).await), 200);
    site.fleet.drain(true);
    sleep(Duration::from_millis(300)).await;
    let (reads, begun) = (site.fleet.reads(), site.fleet.started().len());
    for at in 0..5 {
        let answer = until_close(
            site.chat,
            &chat_request("kiln-book", &format!("k{at}"), false, &format!("Idempotency-Key: k{at}\r\n")),
        )
        .await;
        let head = answer.split("\r\n\r\n").next().unwrap();
        assert_eq!((status(&answer), field(head, "retry-after").is_some()), (503, true), "{answer}");
    }
    assert_eq!((site.fleet.reads(), site.fleet.started().len()), (reads, begun));
    site.fleet.drain(false);
    sleep(Duration::from_millis(100)).await;
    let mut answer = String::new();
    for _ in 0..20 {
        answer =
            until_close(site.chat, &chat_request("kiln-book", "k1", false, "Idempotency-Key: k1\r\n")).await;
        if status(&answer) == 200 {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!((status(&answer), site.fleet.runs_of("\"k1\"")), (200, 1), "{answer}");
}

/// Two clients read the same answer, which outgrows the part that is kept for replay: the client that reads gets the
/// answer to its end at its own pace, and the one that does not is cut with an error and delays no one.
#[tokio::test]
async fn a_client_that_reads_too_slowly_is_cut_and_delays_no_other() {
    // More than the socket buffers hold for a client that reads nothing.
    const EVENTS: usize = 30_000;
    let shape = Shape { events: EVENTS, pause: Duration::ZERO, ..Shape::default() };
    let site = FleetSite::start(shape, "enabled = true\nafter_start_s = 0.0\nmost_answer_kib = 8\n").await;
    let text = chat_request("kiln-ask", "long", true, "Idempotency-Key: k1\r\n");
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut slow = socket.connect(site.chat).await.unwrap();
    slow.write_all(text.as_bytes()).await.unwrap();
    let answer = until_close(site.chat, &text).await;
    let (events, ended) = body(&answer);
    assert!(
        ended && events.contains(&format!("w{} ", EVENTS - 1)) && events.ends_with("[DONE]\n\n"),
        "the client that reads gets the whole answer"
    );
    let mut read = Vec::new();
    slow.read_to_end(&mut read).await.unwrap();
    let read = String::from_utf8_lossy(&read);
    assert!(read.contains("was too slow") && !read.contains("[DONE]"), "cut: {}", &read[read.len() - 300..]);
    assert_eq!(site.fleet.runs_of("long"), 1);
    let book =
        r#"{"model":"kiln-book","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"b"}]}"#;
    let book = post(book, "key-of-clay").replace("Host: h\r\n", "Host: h\r\nIdempotency-Key: k2\r\n");
    let passed_on = until_close(site.chat, &book).await;
    let (text, _) = body(&passed_on);
    assert!(
        text.contains("w399 ") && text.ends_with("[DONE]\n\n"),
        "relayed whole, though not kept for replay"
    );
    let refused = until_close(site.chat, &book).await;
    assert_eq!((status(&refused), refused.contains("already_answered")), (409, true), "{refused}");
}

/// All servers vanish from the list and come back: a `book` request that failed meanwhile never ran and may be retried.
#[tokio::test]
async fn requests_are_served_again_after_the_list_was_empty() {
    let site = FleetSite::start(Shape::default(), IDEMPOTENCY_AND_RESUME).await;
    let mut empty_list = site.fleet.listing();
    empty_list["revision"] = 50.into();
    empty_list["members"] = serde_json::json!([]);
    site.fleet.agent.tells(Some(empty_list));
    sleep(Duration::from_millis(200)).await;
    let answer =
        until_close(site.chat, &chat_request("kiln-book", "lost", false, "Idempotency-Key: k\r\n")).await;
    assert!(
        matches!(status(&answer), 503 | 504) && !answer.contains("x-should-retry"),
        "the request never ran: {answer}"
    );
    let mut restored_list = site.fleet.listing();
    restored_list["revision"] = 51.into();
    site.fleet.agent.tells(Some(restored_list));
    sleep(Duration::from_millis(200)).await;
    let mut answer = String::new();
    for _ in 0..20 {
        answer =
            until_close(site.chat, &chat_request("kiln-book", "lost", false, "Idempotency-Key: k\r\n")).await;
        if status(&answer) == 200 {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!((status(&answer), site.fleet.runs_of("lost")), (200, 1), "{answer}");
}

/// Cross-origin requests are allowed from the configured origins only, and comments keep a quiet stream alive.
#[tokio::test]
async fn allowed_origins_and_keepalive_comments_follow_the_settings() {
    let shape = Shape { events: 3, pause: Duration::from_millis(180), ..Shape::default() };
    let chat = "keepalive_s = 0.05\norigins = [\"https://kilns.example\"]\n";
    let site = FleetSite::with_chat(shape, chat, "").await;
    let preflight = |origin: &str| {
        format!(
            "OPTIONS /v1/chat/completions HTTP/1.1\r\nHost: h\r\nOrigin: {origin}\r\n\
             Access-Control-Request-Method: POST\r\nConnection: close\r\n\r\n"
        )
    };
    let allowed_origin = until_close(site.chat, &preflight("https://kilns.example")).await;
    assert_eq!(status(&allowed_origin), 204, "{allowed_origin}");
    assert_eq!(
        field(&allowed_origin, "access-control-allow-origin").as_deref(),
        Some("https://kilns.example")
    );
    assert!(field(&allowed_origin, "access-control-allow-headers").unwrap().contains("idempotency-key"));
    let unknown_origin = until_close(site.chat, &preflight("https://stranger.example")).await;
    assert_eq!((status(&unknown_origin), field(&unknown_origin, "access-control-allow-origin")), (405, None));
    let text = chat_request("kiln-ask", "quiet", true, "Origin: https://kilns.example\r\n");
    let answer = until_close(site.chat, &text).await;
    assert!(field(&answer, "access-control-expose-headers").unwrap().contains("x-should-retry"));
    let (text, ended) = body(&answer);
    assert!(ended && text.matches(": waiting\n\n").count() >= 3 && text.contains("w2 "), "{text}");
    assert!(!text.contains("w0 : waiting"), "no comment within an event");
}

/// SIGHUP moves the watch of the server list to another agent; streams that are open meanwhile are not affected.
#[tokio::test]
async fn the_watch_of_the_list_moves_to_another_agent_under_load() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_AND_RESUME).await;
    let other = Agent::start(site.fleet.listing()).await;
    let mut clients = Vec::new();
    // Six requests, 20 ms apart: a dispatcher that has just started rejects part of a burst.
    for at in 0..6 {
        let model = if at % 2 == 0 { "kiln-book" } else { "kiln-ask" };
        let text = chat_request(model, &format!("a{at}"), true, "");
        clients.push(tokio::spawn(async move { until_close(site.chat, &text).await }));
        sleep(Duration::from_millis(20)).await;
    }
    site.discovery.send_replace(other.address);
    for client in clients {
        let answer = client.await.unwrap();
        assert!(body(&answer).0.ends_with("data: [DONE]\n\n"), "{answer}");
    }
    eventually("the other agent is asked", || !other.log().is_empty()).await;
    let text = chat_request("kiln-ask", "after", false, "");
    assert_eq!(status(&until_close(site.chat, &text).await), 200);
}

/// A client that closes its sending side and one that drops its connection both count as disconnected: their held state
/// is released, and nothing runs.
#[tokio::test]
async fn half_closed_and_dropped_connections_leave_no_state_held() {
    let shape = Shape { read: Duration::from_millis(80), ..Shape::default() };
    for repeats in ["", IDEMPOTENCY_AND_RESUME] {
        let site = FleetSite::start(shape, repeats).await;
        for half in [true, false] {
            let text = chat_request(
                "kiln-book",
                &format!("half-{half}"),
                true,
                &format!("Idempotency-Key: {half}\r\n"),
            );
            let mut stream = tokio::net::TcpStream::connect(site.chat).await.unwrap();
            stream.write_all(text.as_bytes()).await.unwrap();
            sleep(Duration::from_millis(30)).await;
            if half {
                stream.shutdown().await.unwrap();
            } else {
                drop(stream);
            }
            sleep(Duration::from_millis(250)).await;
            eventually("the held state is released", || site.fleet.held_states() == 0).await;
            assert_eq!(site.fleet.runs_of(&format!("half-{half}")), 0, "half {half}");
        }
    }
}
