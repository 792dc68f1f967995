//! End-to-end tests of the dispatcher on loopback sockets, with simulated clients, servers and discovery agent. Each
//! test guards against one protocol pitfall or one failure that was observed.

mod stand_in;

use std::future::Future;
use std::io::{Read as _, Write as _};
use std::sync::Arc;
use std::time::{Duration, Instant};

use dewladder::edge::clock::Clock;
use dewladder::edge::connections::idle_timeout;
use dewladder::edge::core::Input;
use dewladder::edge::discovery::listing::{entries, Listing, Names};
use dewladder::edge::driver::{Driver, Message, Reply};
use dewladder::edge::gossip_transport::GossipTransport;
use dewladder::edge::servers::{self, Payload, Servers};
use dewladder::edge::settings::Config;
use dewladder::edge::stats::Figures;
use dewladder::interface::{ListUpdateKind, Outcome, RequestId, RequestInfo};
use serde_json::{json, Value};
use stand_in::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::sleep;

const ID: &str = "9b1f03aa5c7e2d41";

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

#[tokio::test]
async fn a_request_is_read_then_written_and_its_stream_is_relayed_unchanged() {
    let site = Site::start(Behavior::Read, Behavior::Stream(3)).await;
    let answer = until_close(site.platform, &platform(ID, "book", "0.900")).await;
    assert_eq!(status(&answer), 200, "{answer}");
    let expected = event(0) + &event(1) + &event(2) + LAST_EVENTS;
    assert_eq!(body(&answer), (expected, true));
    let sent = format!("POST /v1/chat/completions?a=b {ID}");
    assert_eq!((site.reader.log(), site.writer.log()), (vec![sent.clone()], vec![sent]));
}

#[tokio::test]
async fn invalid_requests_get_a_short_error_and_are_not_forwarded() {
    let site = Site::start(Behavior::Read, Behavior::Stream(1)).await;
    let good = platform(ID, "ask", "0.9");
    for (bad, expected) in [
        (good.replace(&format!("X-Txn: {ID}"), "X-Txn: a/../b"), 400),
        (good.replace("X-Txn", "X-Tx"), 400),
        (good.replace("X-Lane: ask", "X-Lane: nap"), 400),
        (good.replace("X-Remaining: 0.9", "X-Remaining: -1"), 400),
        (good.replace("X-Remaining: 0.9", "X-Remaining: NaN"), 400),
        (good.replace("prompt_len=100", "prompt_len=1e9"), 400),
        (good.replace("prompt_len=100", "prompt_len=99999999999999999999999"), 400),
        (good.replace("POST", "PUT"), 405),
        (good.replace("/v1/chat", "/v2/chat"), 404),
        (good.replace("Length: 15", "Length: 15, 16"), 400),
        (good.replace("Content-Length: 15", "Content-Length: 300000") + &" ".repeat(299_985), 413),
        (good.replace("prompt_len=100", "prompt_len=-1"), 400),
        (good.replace("Content-Length: 15", "Content-Length: 14"), 400),
        (good.replace("X-Remaining: 0.9", "X-Remaining: 1e99"), 400),
        (good.replace("X-Lane: ask", "X-Lane: ask\r\nX-Lane: book"), 400),
        ("\u{0}\u{1}\r\n\r\n".to_owned(), 400),
    ] {
        let answer = until_close(site.platform, &bad).await;
        assert_eq!(status(&answer), expected, "{} {answer}", &bad[..bad.len().min(300)]);
        assert!(answer.len() < 400, "{answer}");
    }
    assert_eq!(site.reader.posts() + site.writer.posts(), 0);
}

/// A writer that closes a reused keep-alive connection when a `book` request arrives receives that request only once.
#[tokio::test]
async fn a_book_request_on_a_reused_connection_that_closes_is_sent_once() {
    let site = Site::start(Behavior::Read, Behavior::Stream(1)).await;
    assert_eq!(status(&until_close(site.platform, &platform("01", "book", "0.9")).await), 200);
    site.writer.set_behavior(Behavior::Close);
    let answer = until_close(site.platform, &platform("02", "book", "0.9")).await;
    assert_eq!((status(&answer), site.writer.posts()), (502, 2));
}

#[tokio::test]
async fn a_book_request_that_may_have_run_fails_at_once_and_is_not_retried() {
    for behavior in [Behavior::Close, Behavior::Fail, Behavior::Cut(0), Behavior::Unframed(2)] {
        let site = Site::start(Behavior::Read, behavior).await;
        let answer = until_close(site.platform, &platform(ID, "book", "0.9")).await;
        assert_eq!((status(&answer), site.writer.posts()), (502, 1), "{behavior:?}");
    }
}

#[tokio::test]
async fn a_request_that_never_ran_is_retried_and_finally_rejected_with_retry_after() {
    let site = Site::start(Behavior::Read, Behavior::TurnAway(503)).await;
    let answer = until_close(site.platform, &platform(ID, "book", "0.9")).await;
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(field(&answer, "retry-after").is_some_and(|text| text.parse::<f64>().unwrap() <= 1.0));
    assert!(site.writer.posts() > 1);
    // The held state is released at the reader although no attempt is in flight any more.
    eventually("state released", || site.reader.log().contains(&format!("DELETE /kv/leases/{ID} "))).await;
}

/// In a benchmark in which all connections that the readers accept were in use, no release got through for 3 s, and
/// the held state stayed pinned. A release reuses the connection on which the read was answered.
#[tokio::test]
async fn a_release_reaches_a_reader_that_accepts_no_further_connection() {
    let reader = Server::with_connection_limit(Behavior::Read, 1).await;
    let site = Site::with_servers(reader, Server::start(Behavior::TurnAway(503)).await, 1_024, FRONTS).await;
    let answer = until_close(site.platform, &platform(ID, "book", "0.9")).await;
    assert_eq!(status(&answer), 503, "{answer}");
    eventually("state released", || site.reader.log().contains(&format!("DELETE /kv/leases/{ID} "))).await;
}

/// The number of idle connections that all dispatchers together leave at a server must not grow with the number of
/// dispatchers, so the idle timeout shrinks in proportion.
#[test]
fn the_idle_timeout_shrinks_as_the_number_of_dispatchers_grows() {
    let kept = |dispatchers| idle_timeout(Duration::from_secs(30), dispatchers).as_secs_f64();
    assert_eq!([kept(0), kept(1), kept(4)], [18.0; 3]);
    for dispatchers in [5, 30, 100, 120, 700] {
        let total = kept(dispatchers) * f64::from(dispatchers);
        assert!((total - 4.0 * kept(4)).abs() < 1e-3, "{dispatchers}: {total}");
    }
    // The minimum of 0.1 s still lets both calls for one request share a connection, and a lower keep-alive limit of
    // the server still applies.
    assert_eq!(kept(1_000_000), 0.1);
    assert_eq!(idle_timeout(Duration::from_millis(100), 1_000_000), Duration::from_millis(60));
}

#[tokio::test]
async fn an_error_arrives_by_the_deadline_when_a_reader_or_writer_is_silent() {
    for (reads, writes) in [(Behavior::Nothing, Behavior::Stream(1)), (Behavior::Read, Behavior::Nothing)] {
        let site = Site::start(reads, writes).await;
        let start = Instant::now();
        let answer = until_close(site.platform, &platform(ID, "book", "0.4")).await;
        assert!(matches!(status(&answer), 502 | 503), "{answer}");
        assert!(start.elapsed() < Duration::from_millis(458), "{:?}", start.elapsed());
        assert!(site.writer.posts() <= 1);
    }
}

/// In a benchmark, a rejection reached the client before the connection of the abandoned read was closed, so a request
/// was rejected that might still run. An attempt reports that it has stopped only after it has closed its connection
/// to the server.
#[tokio::test]
async fn an_attempt_reports_stopped_only_after_closing_its_connection() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (stop, stopped) = oneshot::channel();
    let mut peer = None;
    let reading = async {
        peer = Some(accept(&listener).await);
        read_request(peer.as_mut().unwrap()).await;
        stop.send(()).unwrap();
    };
    // Joined rather than spawned, so that nothing else runs between the end of the attempt and the check of the peer.
    let (result, ()) = tokio::join!(attempt(&listener, stopped), reading);
    assert!(matches!(result, servers::AttemptOutcome::Stopped { written: true }));
    assert_eq!(peer.unwrap().read(&mut [0; 8]).ok(), Some(0), "the peer sees the close without waiting");
}

/// Guards against hyper-util's own retries: a keep-alive connection that closes just as a request is handed to it
/// returns the request, and the library would send it again by itself.
#[tokio::test]
async fn the_http_library_does_not_resend_a_request_that_a_closing_connection_returns() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let servers = Servers::new(
        &Config::parse("config", &config(address, &json!({})), |_| None).unwrap(),
        Figures::default(),
    );
    let (_keep, stopped) = oneshot::channel();
    let first = tokio::spawn(attempt_with(servers.clone(), &listener, stopped));
    let mut peer = accept(&listener).await;
    read_request(&mut peer).await;
    peer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}").unwrap();
    assert!(matches!(first.await.unwrap(), servers::AttemptOutcome::Ended(_)));
    // The connection is reused only after it has been idle for a while.
    sleep(Duration::from_millis(100)).await;
    // The second send starts in the same turn of the runtime in which the idle connection closes.
    let loopback = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut start_receiver = TcpStream::connect(loopback.local_addr().unwrap()).await.unwrap();
    let mut start_sender = loopback.accept().unwrap().0;
    let (_keep, stopped) = oneshot::channel();
    let sending = attempt_with(servers, &listener, stopped);
    let second = tokio::spawn(async move {
        start_receiver.read_u8().await.unwrap();
        sending.await
    });
    sleep(Duration::from_millis(20)).await;
    start_sender.write_all(b"x").unwrap();
    drop(peer);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    let ended = tokio::time::timeout_at(deadline, second)
        .await
        .expect("the attempt ends without waiting for a retry");
    let servers::AttemptOutcome::Ended(ending) = ended.unwrap() else { panic!("the attempt did not end") };
    assert_eq!(ending.outcome, Outcome::ConnectFailed, "the request was never written");
    sleep(Duration::from_millis(50)).await;
    listener.set_nonblocking(true).unwrap();
    assert!(listener.accept().is_err(), "no connection was opened for a retry");
}

fn attempt(
    listener: &std::net::TcpListener,
    stop: oneshot::Receiver<()>,
) -> impl Future<Output = servers::AttemptOutcome> + use<> {
    let address = listener.local_addr().unwrap();
    let config = Config::parse("config", &config(address, &json!({})), |_| None).unwrap();
    attempt_with(Servers::new(&config, Figures::default()), listener, stop)
}

fn attempt_with(
    servers: Servers,
    listener: &std::net::TcpListener,
    stop: oneshot::Receiver<()>,
) -> impl Future<Output = servers::AttemptOutcome> + use<> {
    let payload = Payload { txn: ID.to_owned(), target: "/".to_owned(), key: None, body: "{}".into() };
    let attempt_deadline = tokio::time::Instant::now() + Duration::from_secs(1);
    let address = listener.local_addr().unwrap().to_string();
    let attempt = servers::Attempt {
        address,
        payload: payload.into(),
        reads: true,
        attempt_deadline,
        begin_by: attempt_deadline,
        new_connection: false,
        unanswered_releases: None,
    };
    servers.attempt(attempt, Arc::default(), stop)
}

async fn accept(listener: &std::net::TcpListener) -> std::net::TcpStream {
    let listener = listener.try_clone().unwrap();
    let peer = tokio::task::spawn_blocking(move || listener.accept().unwrap().0).await.unwrap();
    peer.set_nonblocking(true).unwrap();
    peer
}

async fn read_request(peer: &mut std::net::TcpStream) {
    let (mut read, mut bytes) = (Vec::new(), [0; 1_024]);
    while !read.ends_with(b"{}") {
        sleep(Duration::from_millis(1)).await;
        if let Ok(length) = peer.read(&mut bytes) {
            read.extend_from_slice(&bytes[..length]);
        }
    }
}

/// An abandoned read may have succeeded, so its held state is released, and nothing more is sent.
#[tokio::test]
async fn the_held_state_is_released_when_the_client_disconnects_during_the_read() {
    let site = Site::start(Behavior::Nothing, Behavior::Stream(1)).await;
    let text = platform(ID, "book", "0.9");
    let client = tokio::spawn(async move { until_close(site.platform, &text).await });
    eventually("the reader has the request", || site.reader.posts() == 1).await;
    client.abort();
    eventually("state released", || site.reader.log().iter().any(|line| line.starts_with("DELETE"))).await;
    assert_eq!((site.reader.posts(), site.writer.posts()), (1, 0));
}

#[tokio::test]
async fn a_broken_or_stalled_stream_closes_the_client_connection_without_the_last_chunk() {
    for behavior in [Behavior::Cut(2), Behavior::Stall(2)] {
        let site = Site::start(Behavior::Read, behavior).await;
        let answer = until_close(site.platform, &platform(ID, "ask", "0.9")).await;
        assert_eq!(body(&answer), (event(0) + &event(1), false), "{behavior:?}");
        assert_eq!(site.writer.posts(), 1);
    }
}

#[tokio::test]
async fn list_updates_take_effect_and_a_silent_agent_changes_nothing() {
    let site = Site::start(Behavior::Read, Behavior::Stream(1)).await;
    site.agent.tells(None);
    assert_eq!(status(&until_close(site.platform, &platform("01", "ask", "0.9")).await), 200);
    let other = Server::start(Behavior::Stream(1)).await;
    let members = [member(&site.writer, 2, "decode", "draining"), member(&other, 3, "decode", "up")];
    site.agent.tells(Some(json!({"revision": 2, "complete": false, "members": members})));
    sleep(Duration::from_millis(200)).await;
    assert_eq!(status(&until_close(site.platform, &platform("02", "ask", "0.9")).await), 200);
    assert_eq!((site.writer.posts(), other.posts()), (1, 1));
    let members = [member(&site.reader, 1, "prefill", "up")];
    site.agent.tells(Some(json!({"revision": 3, "complete": true, "members": members})));
    sleep(Duration::from_millis(200)).await;
    assert_ne!(status(&until_close(site.platform, &platform("03", "ask", "0.3")).await), 200);
    assert_eq!((site.writer.posts(), other.posts()), (1, 1));
}

/// In a benchmark, clients that kept their connection open after one request, or that never sent one, took all
/// connection slots.
#[tokio::test]
async fn at_the_connection_limit_idle_connections_are_evicted_or_a_new_client_gets_503() {
    let site = Site::with_sockets(Behavior::Nothing, Behavior::Stream(1), 40).await; // four client connections
    let mut held = Vec::new();
    for at in 0..4 {
        let mut client = TcpStream::connect(site.platform).await.unwrap();
        client.write_all(platform(&format!("0{at}"), "ask", "0.9").as_bytes()).await.unwrap();
        held.push(client);
    }
    eventually("the reader has all four requests", || site.reader.posts() == 4).await;
    let answer = until_close(site.platform, &platform("05", "ask", "0.9")).await;
    assert_eq!((status(&answer), field(&answer, "retry-after").as_deref()), (503, Some("1")));
    assert_eq!(site.reader.posts(), 4);
    held.clear();
    site.reader.set_behavior(Behavior::Read);
    sleep(Duration::from_millis(100)).await;
    for _ in 0..300 {
        held.push(TcpStream::connect(site.platform).await.unwrap());
    }
    sleep(Duration::from_millis(200)).await;
    assert_eq!(status(&until_close(site.platform, &platform("06", "ask", "0.9")).await), 200);
}

/// A client that does not complete its request must get an error or a close within 3 s, and a connection reset must
/// not discard the error response.
#[tokio::test]
async fn an_incomplete_request_gets_an_error_or_a_close_in_time() {
    let site = Site::start(Behavior::Read, Behavior::Stream(1)).await;
    let good = platform(ID, "ask", "60");
    let half_a_body = good.replace("Content-Length: 15", "Content-Length: 100");
    let no_end = "GET / HTTP/1.1\r\nA: ".to_owned() + &"a".repeat(64 << 10);
    let too_long = good.replace("Content-Length: 15", "Content-Length: 400000") + &"b".repeat(399_985);
    let (address, start) = (site.platform, Instant::now());
    let (silent, half, body, endless, huge) = tokio::join!(
        until_close(address, ""),
        until_close(address, &good[..60]),
        until_close(address, &half_a_body),
        until_close(address, &no_end),
        until_close(address, &too_long),
    );
    assert!(start.elapsed() < Duration::from_millis(2_950), "{:?}", start.elapsed());
    assert_eq!((silent.as_str(), half.as_str()), ("", ""));
    assert_eq!([&body, &endless, &huge].map(|answer| status(answer)), [408, 431, 413]);
    // A slow request that is complete in time is served: its remaining time counts from its last byte.
    let slow = async {
        let mut stream = TcpStream::connect(address).await.unwrap();
        for piece in platform("07", "ask", "0.3").as_bytes().chunks(80) {
            stream.write_all(piece).await.unwrap();
            sleep(Duration::from_millis(250)).await;
        }
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        answer
    };
    assert_eq!(status(&slow.await), 200);
}

/// Closing a socket that still has unread bytes sends a reset, which the client would see in place of the end of its
/// response.
#[tokio::test]
async fn bytes_that_arrive_while_a_connection_closes_cause_no_reset_and_are_not_forwarded() {
    let site = Site::start(Behavior::Read, Behavior::Stream(1)).await;
    let mut stream = TcpStream::connect(site.platform).await.unwrap();
    stream.write_all(platform("21", "ask", "0.9").as_bytes()).await.unwrap();
    // By then the request is answered, and the dispatcher has shut down its sending side.
    sleep(Duration::from_millis(150)).await;
    for piece in [platform("22", "ask", "0.9"), "POST /v1/chat/compl".to_owned()] {
        stream.write_all(piece.as_bytes()).await.expect("the dispatcher still reads");
        sleep(Duration::from_millis(40)).await;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the end of the stream, not a reset");
    assert_eq!(status(&answer), 200);
    assert!(answer.contains("[DONE]"), "{answer}");
    assert_eq!(site.reader.posts(), 1, "a request read after the shutdown is not sent on");
}

/// Request smuggling that hyper does not report: a request hidden in the body of another one, whose length is given in
/// two ways.
#[tokio::test]
async fn a_request_with_ambiguous_framing_is_rejected_with_all_bytes_behind_it() {
    let site = Site::start(Behavior::Read, Behavior::Stream(1)).await;
    let good = platform("01", "book", "0.9").replace("Connection: close\r\n", "");
    let hidden = platform("02", "book", "0.9");
    for lines in [
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n",
        "Content-Length: -5\r\n",
        "Transfer-Encoding: xchunked\r\n",
    ] {
        let head = good.replace("Content-Length: 15\r\n", lines);
        let text = head.replace("{\"stream\":true}", "0\r\n\r\n") + &hidden;
        let answer = until_close(site.platform, &text).await;
        assert_eq!((status(&answer), answer.matches("HTTP/1.1").count()), (400, 1), "{lines}: {answer}");
    }
    assert_eq!(site.reader.posts() + site.writer.posts(), 0);
    // Chunked encoding alone is accepted, and bytes behind the last chunk are not taken for a request.
    let head = good.replace("Content-Length: 15\r\n", "Transfer-Encoding: chunked\r\n");
    let text = head.replace("{\"stream\":true}", "f\r\n{\"stream\":true}\r\n0\r\n\r\n") + &hidden;
    let answer = until_close(site.platform, &text).await;
    assert_eq!((status(&answer), site.writer.posts()), (200, 1), "{answer}");
}

/// The first request with an id goes on, whatever happens to clients that send the same id while it is open.
#[tokio::test]
async fn a_repeated_id_is_rejected_while_its_first_request_goes_on() {
    let site = Site::start(Behavior::Read, Behavior::Stream(60)).await;
    let (address, text) = (site.platform, platform(ID, "book", "0.9"));
    let first = tokio::spawn({
        let text = text.clone();
        async move { until_close(address, &text).await }
    });
    eventually("the writer has the request", || site.writer.posts() == 1).await;
    for _ in 0..3 {
        drop(talk(address, &text, |_| true).await); // disconnects at once
        assert_eq!(status(&until_close(address, &text).await), 409);
    }
    assert!(body(&first.await.unwrap()).1, "the first client gets the last chunk");
    assert_eq!((site.reader.posts(), site.writer.posts()), (1, 1));
}

const STREAM: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT: &str = "b\r\ndata: one\n\n\r\n";

/// A stream that is malformed before its first event is a failed attempt that may have run; one that becomes malformed
/// later closes the client's connection without the last chunk.
#[tokio::test]
async fn a_malformed_stream_fails_or_is_cut_and_is_never_retried() {
    let leak = |text: String| -> &'static str { text.leak() };
    let noise = "\u{1}\u{2}no head\r\n\r\n\u{3}";
    for behavior in [
        Behavior::Raw(noise),
        Behavior::Raw("HTTP/1.1 2x0 OK\r\n\r\n"),
        Behavior::Endless("HTTP/1.1 200 OK\r\nA: ", leak("a".repeat(4_096))),
        Behavior::Raw(leak(format!("{STREAM}zz\r\ndata: one\n\n\r\n"))),
        Behavior::Raw(leak(format!("{STREAM}b\r\nnot events\n\r\n"))),
        Behavior::Endless(leak(format!("{STREAM}C0000000\r\n")), "xxxxxxxx"),
        Behavior::Endless(leak(format!("{STREAM}C0000000\r\n")), "data: xxxxx"),
    ] {
        let site = Site::start(Behavior::Read, behavior).await;
        let answer = until_close(site.platform, &platform(ID, "book", "0.9")).await;
        assert_eq!((status(&answer), site.writer.posts()), (502, 1), "{behavior:?}");
    }
    for behavior in [
        Behavior::Raw(leak(format!("{STREAM}{EVENT}zz\r\ndata: two\n\n\r\n"))),
        Behavior::Raw(leak(format!("{STREAM}{EVENT}2\r\ndata: two\n\n\r\n"))),
        Behavior::Endless(leak(format!("{STREAM}{EVENT}C0000000\r\n")), "xxxxxxxx"),
        Behavior::Endless(leak(format!("{STREAM}{EVENT}C0000000\r\n")), "data: xxxxx"),
    ] {
        let site = Site::start(Behavior::Read, behavior).await;
        let start = Instant::now();
        let answer = until_close(site.platform, &platform(ID, "book", "0.9")).await;
        assert!(answer.contains("data: one\n\n") && !answer.ends_with("0\r\n\r\n"), "{behavior:?}: {answer}");
        assert!(start.elapsed() < Duration::from_secs(2) && site.writer.posts() == 1, "{behavior:?}");
    }
}

/// Informational (1xx) responses before the stream, an unreadable load report and a second response right behind the
/// stream cause no failure, and the second response is given to no request.
#[tokio::test]
async fn surplus_data_around_a_valid_stream_is_ignored() {
    let good = "b\r\ndata: one\n\n\r\n0\r\n\r\n";
    for text in [
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{STREAM}{good}"),
        format!(
            "{}{good}",
            STREAM.replace("Content-Type", "X-Pressure: TEXT x0=\u{1}\u{7f}\r\nContent-Type")
        ),
        format!("{}{good}", STREAM.replace("Content-Type", "X-Pressure: \u{fffd}, x0=x0=\r\nContent-Type")),
        format!("{STREAM}{good}HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
    ] {
        let text: &'static str = text.leak();
        let site = Site::start(Behavior::Read, Behavior::Raw(text)).await;
        for id in ["01", "02"] {
            let answer = until_close(site.platform, &platform(id, "book", "0.9")).await;
            assert_eq!(
                (status(&answer), body(&answer)),
                (200, ("data: one\n\n".to_owned(), true)),
                "{text:?}"
            );
        }
        assert_eq!(site.writer.posts(), 2);
    }
}

#[tokio::test]
async fn shutdown_serves_new_requests_and_finishes_open_streams_before_it_ends() {
    let mut site = Site::start(Behavior::Read, Behavior::Stream(200)).await;
    let address = site.platform;
    let long = tokio::spawn(async move { until_close(address, &platform("01", "ask", "0.9")).await });
    eventually("the writer has the request", || site.writer.posts() == 1).await;
    assert_eq!(talk(site.agent_check, "", |text| text.ends_with('\n')).await, "ready up 99%\n");
    site.end.take().unwrap().send(()).unwrap();
    sleep(Duration::from_millis(100)).await;
    site.writer.set_behavior(Behavior::Stream(1));
    let kept = platform("02", "ask", "0.9").replace("Connection: close\r\n", "");
    let answer = until_close(address, &kept).await;
    assert_eq!((status(&answer), field(&answer, "connection")), (200, Some("close".to_owned())));
    assert_eq!(talk(site.agent_check, "", |text| text.ends_with('\n')).await, "drain\n");
    let ready = "GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n";
    assert_eq!(status(&until_close(address, ready).await), 503);
    let (text, whole) = body(&long.await.unwrap());
    assert!(whole && text.ends_with(LAST_EVENTS));
    assert_eq!(site.running.await.unwrap(), Ok(()));
}

/// Streams last long; if prompts stayed in memory until their stream's end, memory use would add up.
#[tokio::test]
async fn a_prompt_is_dropped_once_its_stream_has_begun() {
    let site = Site::start(Behavior::Read, Behavior::Stream(100)).await;
    let members = [member(&site.reader, 1, "prefill", "up"), member(&site.writer, 2, "decode", "up")];
    let known = json!({"revision": 1, "complete": true, "members": members});
    let config = Config::parse("config", &config(site.agent.address, &known), |_| None).unwrap();
    let clock = Clock::start();
    let (driver, sender) = Driver::new(&config, clock);
    tokio::spawn(driver.run());
    let entries = entries(&config.known, &config.names);
    sender.send(Message::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    let request = RequestInfo {
        id: RequestId(1),
        class: 0,
        session: None,
        shared: None,
        shared_tokens: 0,
        prompt_tokens: 100,
        max_tokens: 8,
        hint: None,
        not_after: clock.now() + 900_000,
    };
    let payload = Payload { txn: ID.to_owned(), target: "/".to_owned(), key: None, body: "{}".into() };
    let payload = Arc::new(payload);
    let held = Arc::downgrade(&payload);
    let Reply::Stream(_streams) = sender.submit_and_wait(request, clock.now(), payload).await else {
        panic!("the request got no stream")
    };
    eventually("the prompt is dropped", || held.upgrade().is_none()).await;
}

#[tokio::test]
async fn no_book_request_is_sent_twice_when_a_chat_client_disconnects_at_any_event() {
    let site = Site::start(Behavior::Read, Behavior::Stream(5)).await;
    let parts = 7; // five content events, the usage event and `[DONE]`
    for kept in 0..=parts {
        let enough = |text: &str| text.matches("data: ").count() >= kept && text.contains("\r\n\r\n");
        talk(site.chat, &chat("kiln-book", true), |text| kept < parts && enough(text)).await;
    }
    sleep(Duration::from_millis(300)).await;
    let mut ids = site.writer.log();
    assert_eq!(ids.len(), parts + 1);
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), parts + 1, "every book request has its own id and was sent once");
    assert_eq!(site.reader.posts(), parts + 1);
}

#[tokio::test]
async fn a_chat_stream_is_relayed_or_assembled_into_one_response() {
    let site = Site::start(Behavior::Read, Behavior::Stream(2)).await;
    let answer = until_close(site.chat, &chat("kiln-ask", true)).await;
    assert_eq!(field(&answer, "content-type").as_deref(), Some("text/event-stream"));
    let (text, whole) = body(&answer);
    let events: Vec<&str> = text.split_terminator("\n\n").collect();
    assert_eq!(
        (events.len(), events[2], whole),
        (3, "data: [DONE]", true),
        "two content events, no usage event, [DONE]: {text}"
    );
    for (at, event) in events[..2].iter().enumerate() {
        let chunk: Value = serde_json::from_str(event.strip_prefix("data: ").unwrap()).unwrap();
        let delta = &chunk["choices"][0]["delta"];
        assert_eq!((&delta["content"], delta["role"] == "assistant"), (&json!(format!("w{at} ")), at == 0));
        assert_eq!(
            (&chunk["object"], &chunk["model"]),
            (&json!("chat.completion.chunk"), &json!("kiln-ask"))
        );
    }
    let answer = until_close(site.chat, &chat("kiln-ask", false)).await;
    let (_, whole) = answer.split_once("\r\n\r\n").unwrap();
    let whole: Value = serde_json::from_str(whole).unwrap();
    assert_eq!(whole["choices"][0]["message"]["content"], "w0 w1 ");
    assert_eq!(
        (&whole["object"], &whole["usage"]["completion_tokens"]),
        (&json!("chat.completion"), &json!(3))
    );
    let models = "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-clay\r\nConnection: close\r\n\r\n";
    let answer = until_close(site.chat, models).await;
    assert!(answer.contains("kiln-ask") && answer.contains("kiln-book"), "{answer}");
}

#[tokio::test]
async fn a_chat_stream_that_breaks_or_stalls_ends_with_exactly_one_error_event() {
    for behavior in [Behavior::Stall(1), Behavior::Cut(1)] {
        let site = Site::start(Behavior::Read, behavior).await;
        let (text, whole) = body(&until_close(site.chat, &chat("kiln-book", true)).await);
        let (first, rest) = text.split_once("\n\n").expect("the event before the fault");
        assert!(first.contains("\"content\":\"w0 \""), "{first}");
        let error: Value = serde_json::from_str(rest.strip_prefix("data: ").unwrap().trim_end()).unwrap();
        assert_eq!((&error["error"]["code"], whole), (&json!("stream_cut"), true));
        let answer = until_close(site.chat, &chat("kiln-book", false)).await;
        assert_eq!((status(&answer), field(&answer, "x-should-retry").as_deref()), (502, Some("false")));
        assert_eq!(site.writer.posts(), 2);
    }
}

#[tokio::test]
async fn chat_errors_and_rejections_have_the_codes_of_the_chat_api() {
    let site = Site::start(Behavior::Read, Behavior::TurnAway(503)).await;
    let expect = |answer: &str, expected: u16, code: &str| {
        let (_, text) = answer.split_once("\r\n\r\n").unwrap();
        let error: Value = serde_json::from_str(text).unwrap();
        assert_eq!((status(answer), &error["error"]["code"]), (expected, &json!(code)), "{answer}");
    };
    let answer = until_close(site.chat, &chat("kiln-book", true)).await;
    expect(&answer, 503, "overloaded");
    assert_eq!(field(&answer, "retry-after").as_deref(), Some("1"));
    assert_eq!(field(&answer, "x-should-retry"), None);
    let sent = site.reader.posts();
    expect(&until_close(site.chat, &chat("gpt", true)).await, 404, "model_not_found");
    expect(&until_close(site.chat, &post("{}", "nobody")).await, 401, "invalid_api_key");
    for (bad, code) in [
        ("{", "invalid_json"),
        ("[]", "invalid_json"),
        ("{\"model\":\"kiln-ask\",\"messages\":[]}", "invalid_value"),
        ("{\"model\":1,\"messages\":[{}]}", "invalid_type"),
    ] {
        expect(&until_close(site.chat, &post(bad, "key-of-clay")).await, 400, code);
    }
    assert_eq!(site.reader.posts(), sent);
    for (model, should_retry) in [("kiln-book", Some("false")), ("kiln-ask", None)] {
        let site = Site::start(Behavior::Read, Behavior::Nothing).await;
        let start = Instant::now();
        let answer = until_close(site.chat, &chat(model, true)).await;
        assert!(matches!(status(&answer), 503 | 504), "{answer}");
        assert_eq!(field(&answer, "x-should-retry").as_deref(), should_retry);
        assert!(start.elapsed() < Duration::from_millis(1_060));
    }
}

#[tokio::test]
async fn a_tenant_over_its_limit_of_open_requests_gets_429_with_retry_after() {
    let site = Site::start(Behavior::Read, Behavior::Stream(100)).await;
    let (address, text) = (site.chat, chat("kiln-ask", true));
    let open = [(); 2].map(|()| {
        tokio::spawn({
            let text = text.clone();
            async move { until_close(address, &text).await }
        })
    });
    eventually("the writer has both requests", || site.writer.posts() == 2).await;
    let answer = until_close(address, &text).await;
    assert_eq!((status(&answer), field(&answer, "retry-after").as_deref()), (429, Some("1")));
    for answer in open {
        assert_eq!(status(&answer.await.unwrap()), 200);
    }
    assert_eq!(site.writer.posts(), 2);
}

/// In a network partition, a release tried five silent servers one after the other, and the held state stayed pinned
/// for another 0.6 s. The next server is asked before the calls to the previous ones have timed out.
#[tokio::test]
async fn a_release_does_not_wait_for_each_silent_server_in_turn() {
    let log = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut addresses = Vec::new();
    for _ in 0..3 {
        let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(silent.local_addr().unwrap().to_string());
        let log = log.clone();
        tokio::spawn(async move {
            let (mut stream, _) = silent.accept().await.unwrap();
            while stream.read_buf(&mut Vec::with_capacity(1_024)).await.is_ok_and(|read| read > 0) {}
            log.lock().unwrap().push("given up");
        });
    }
    let answers = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    addresses.push(answers.local_addr().unwrap().to_string());
    let (seen, config) = (log.clone(), config(answers.local_addr().unwrap(), &json!({})));
    let answering = tokio::spawn(async move {
        let (mut stream, _) = answers.accept().await.unwrap();
        seen.lock().unwrap().push("asked");
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await.unwrap();
        stream
    });
    let config = Config::parse("config", &config, |_| None).unwrap();
    Servers::new(&config, Figures::default()).release("ab", &addresses).await;
    let _stream = answering.await.unwrap();
    eventually("the three silent servers are given up", || log.lock().unwrap().len() == 4).await;
    let asked = log.lock().unwrap().iter().position(|what| *what == "asked").unwrap();
    assert!(asked <= 1, "the server that answers was asked before the calls to the silent ones timed out");
}

/// A dispatcher drops and counts received datagrams that are not valid load gossip, and does not publish messages that
/// are too long.
#[tokio::test]
async fn invalid_gossip_is_dropped_and_counted_and_oversized_gossip_is_not_sent() {
    let loopback = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let transport =
        GossipTransport::bind("127.0.0.1:0".parse().unwrap(), loopback.local_addr().unwrap(), false).unwrap();
    let at = transport.address().expect("bound");
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config_text = config(listener.local_addr().unwrap(), &json!({}));
    let mut value: Value = serde_json::from_str(&config_text).unwrap();
    value["settings"]["limits"]["peers"] = json!(true);
    value["settings"]["balancers"] = json!(2);
    config_text = value.to_string();
    let (mut driver, sender) =
        Driver::new(&Config::parse("config", &config_text, |_| None).unwrap(), Clock::start());
    driver.set_gossip_transport(transport.clone());
    let counts = driver.figures();
    tokio::spawn(driver.run());
    let deliver = move |bytes| sender.send(Message::Input(Input::GossipReceived(bytes)));
    tokio::spawn(transport.clone().receive(deliver));
    for junk in [&b""[..], b"x", &[0; 10], &[1; 10], &[7; 256], &[7; 1_400]] {
        loopback.send_to(junk, at).unwrap();
    }
    eventually("all dropped", || counts.messages_dropped() == 6).await;
    // A message of 257 bytes is over the maximum length and is not sent at all.
    transport.publish(&[1; 257]);
    transport.publish(&[1; 10]);
    let mut received = [0; 300];
    assert_eq!(loopback.recv(&mut received).unwrap(), 10);
}

#[test]
fn an_unreadable_list_entry_is_skipped_and_a_long_list_is_accepted() {
    let good = |id: u32| {
        let id = format!("s-{id:08x}");
        json!({"id": id, "host_port": "127.0.0.1:1", "locality": "a", "flavor": "prefill", "cell": 0, "phase": "up"})
    };
    let mut members: Vec<Value> = (0..1_000).map(good).collect();
    let bad = [
        json!(null),
        json!(7),
        json!({"id": 3}),
        json!({"id": "x", "host_port": "y", "phase": "up", "size": "z"}),
    ];
    members.splice(5..5, bad);
    let list: Listing =
        serde_json::from_value(json!({"revision": 4, "complete": true, "members": members})).unwrap();
    assert_eq!((list.revision, list.members.len()), (4, 1_000));
    assert_eq!(entries(&list, &Names::default()).len(), 1_000);
}
