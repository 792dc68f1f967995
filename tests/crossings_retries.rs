//! Retries and the connections that they use, when two events cross (happen at nearly the same time, in either
//! order). An at-most-once request is retried only if the previous attempt provably never ran, and an answer is
//! never taken for the answer to another request. In the settings of these tests, class `book` is at-most-once and
//! `ask` idempotent.

mod scripted_servers;

use std::time::Duration;

use dewladder_test_peers::{body, event, plain, platform};
use scripted_servers::*;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Time to wait for a message that must not be sent. The dispatcher decides within microseconds, so this is ample.
const SETTLE_TIME: Duration = Duration::from_millis(150);
/// Tolerance on each time limit (s): the platform's protocol allows 50 ms over sockets.
const TOLERANCE_S: f64 = 0.05;

/// Sets a latency objective of 2 s for all classes, so that on a busy machine no attempt times out in tests about
/// other things.
fn long_attempt_timeouts(value: &mut Value) {
    for class in value["settings"]["lanes"].as_array_mut().unwrap() {
        class["aim_s"] = json!(2.0);
    }
}

/// Waits for the answer to a request; panics after 8 s.
async fn answer(request: tokio::task::JoinHandle<String>) -> String {
    timeout(Duration::from_secs(8), request).await.expect("an answer").unwrap()
}

/// Answers the read of a request at server 0, and returns the message that a writer receives next.
async fn complete_read(bed: &mut TestBed, id: &str) -> ReceivedMessage {
    let reading = bed.expect(&format!("POST {id}")).await;
    assert_eq!(reading.server, 0);
    reading.reply(&read_answer()).await;
    let writing = bed.expect(&format!("POST {id}")).await;
    assert_ne!(writing.server, 0);
    writing
}

/// Number of attempts of request `id` among the messages.
fn posts(all: &[ReceivedMessage], id: &str) -> usize {
    all.iter().filter(|request| request.what == format!("POST {id}")).count()
}

// ---- Proof that an attempt never ran ----

/// A refused connection proves that the attempt never ran, so the at-most-once request is sent to the other writer.
#[tokio::test]
async fn after_a_refused_connect_an_at_most_once_request_is_sent_to_the_other_writer() {
    let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
    bed.kill(2).await;
    for at in 0..8 {
        let id = format!("0{at}");
        let request = bed.start_request(&id, "book", "2.9");
        let writing = complete_read(&mut bed, &id).await;
        assert_eq!(writing.server, 1);
        writing.reply(&stream(at)).await;
        let answer = answer(request).await;
        assert!(status(&answer) == 200 && body(&answer).1, "{answer}");
    }
}

/// The connection is closed, regularly or with a reset, right after the last byte of an at-most-once request,
/// before or within the head of the answer. The attempt may have run, so it is not retried.
#[tokio::test]
async fn a_connection_closed_after_the_last_byte_does_not_prove_that_the_attempt_never_ran() {
    for with_reset in [true, false] {
        for partial_answer in ["", "HTTP/1.1 503 X\r\nX-Turned-", STREAM_HEAD] {
            let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
            let request = bed.start_request("01", "book", "2.9");
            let writing = complete_read(&mut bed, "01").await;
            writing.reply(partial_answer).await;
            writing.connection.close(with_reset).await;
            let answer = answer(request).await;
            let later = bed.all_within(SETTLE_TIME).await;
            assert_eq!(
                (status(&answer), posts(&later, "01")),
                (502, 0),
                "{with_reset} {partial_answer:?}: {later:?}"
            );
        }
    }
}

/// A rejecting status proves that the attempt never ran only together with the header `X-Turned-Away: 1`.
#[tokio::test]
async fn only_the_rejection_header_proves_that_an_attempt_never_ran() {
    for code in [503, 504, 410] {
        let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
        let request = bed.start_request("01", "book", "2.9");
        complete_read(&mut bed, "01").await.reply(&rejection(code)).await;
        let mut next = bed.next_post().await;
        if code == 410 {
            assert_eq!((next.server, next.what.as_str()), (0, "POST 01"), "read anew");
            next.reply(&read_answer()).await;
            next = bed.next_post().await;
        }
        assert_eq!(next.what, "POST 01");
        next.reply(&stream(1)).await;
        assert_eq!(status(&answer(request).await), 200, "{code}");

        for header in ["", "X-Turned-Away: 0\r\n"] {
            let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
            let request = bed.start_request("01", "book", "2.9");
            complete_read(&mut bed, "01").await.reply(&plain(code, header, "")).await;
            let answer = answer(request).await;
            let later = bed.all_within(SETTLE_TIME).await;
            assert_eq!((status(&answer), posts(&later, "01")), (502, 0), "{code} {header}: {later:?}");
        }
    }
}

/// A writer gives an answer that only a reader may give. It is unknown what the writer did, so an at-most-once
/// request may have run and is not retried.
#[tokio::test]
async fn a_writer_that_answers_like_a_reader_may_have_run_the_attempt() {
    let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
    let request = bed.start_request("01", "book", "2.9");
    complete_read(&mut bed, "01").await.reply(&read_answer()).await;
    let later = bed.all_within(SETTLE_TIME).await;
    assert_eq!(posts(&later, "01"), 0, "retried without proof that the attempt never ran: {later:?}");
    assert_eq!(status(&answer(request).await), 502);
}

/// As the test above, with a mixed server, which was sent the request to answer it and not only to read it.
#[tokio::test]
async fn a_mixed_server_that_answers_like_a_reader_may_have_run_the_attempt() {
    let mut bed = TestBed::start(&[MIXED, MIXED], long_attempt_timeouts).await;
    let request = bed.start_request("01", "book", "2.9");
    bed.expect("POST 01").await.reply(&read_answer()).await;
    let later = bed.all_within(SETTLE_TIME).await;
    assert_eq!(posts(&later, "01"), 0, "retried without proof that the attempt never ran: {later:?}");
    assert_eq!(status(&answer(request).await), 502);
}

/// A reader gives an answer that only a writer may give. No writer wrote it, so it is not relayed to the client.
#[tokio::test]
async fn a_stream_from_a_reader_is_not_relayed_to_the_client() {
    for class in ["ask", "book"] {
        let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
        let mut request = bed.start_request("01", class, "0.6");
        let answer = loop {
            tokio::select! {
                answer = &mut request => break answer.unwrap(),
                received = bed.next() => match received.server {
                    _ if received.what.starts_with("DELETE") => received.reply(&plain(204, "", "")).await,
                    0 => received.reply(&stream(7)).await,
                    _ => received.reply(&stream(1)).await,
                },
            }
        };
        assert!(!answer.contains(&event(7)), "{class}: {answer}");
    }
}

// ---- A second answer on a kept connection ----

/// Time at which a server sends its second answer to one request.
#[derive(Clone, Copy, Debug)]
enum SecondAnswerTime {
    /// Right after the last byte of the next request was received.
    AfterNextRequest,
    /// 5 ms after the first answer, while the connection is idle.
    WhileIdle,
    /// 5 ms after the first answer, when the next request may already be in flight.
    DuringNextRequest,
}
const SECOND_ANSWER_TIMES: [SecondAnswerTime; 3] =
    [SecondAnswerTime::WhileIdle, SecondAnswerTime::AfterNextRequest, SecondAnswerTime::DuringNextRequest];

/// Lets a server (0: the reader, 1: the writer) answer one request twice, then sends another request. Returns an
/// error that describes how the dispatcher handled the second request wrongly, and otherwise whether that request
/// was sent early enough to cross the second answer.
async fn try_second_answer(
    repeating_server: usize,
    first: &str,
    second: &str,
    when: SecondAnswerTime,
) -> Result<bool, String> {
    let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
    let request = bed.start_request("01", "book", "2.9");
    let reading = bed.expect("POST 01").await;
    reading
        .reply(if repeating_server == 0 { first } else { "HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}" })
        .await;
    let writing = bed.expect("POST 01").await;
    let streamed = stream(1);
    writing.reply(if repeating_server == 1 { first } else { &streamed }).await;
    let old = [reading.connection, writing.connection][repeating_server].clone();
    let delayed_answer = {
        let (old, second) = (old.clone(), second.to_owned());
        async move {
            sleep(Duration::from_millis(5)).await;
            old.reply(&second).await;
        }
    };
    let delayed_answer =
        matches!(when, SecondAnswerTime::DuringNextRequest).then(|| tokio::spawn(delayed_answer));
    assert_eq!(status(&answer(request).await), 200);
    match when {
        SecondAnswerTime::WhileIdle => {
            sleep(Duration::from_millis(5)).await;
            old.reply(second).await;
        }
        // By then the connection is idle again.
        SecondAnswerTime::AfterNextRequest => sleep(Duration::from_millis(3)).await,
        SecondAnswerTime::DuringNextRequest => {}
    }
    let request = bed.start_request("02", "book", "2.9");
    let mut current = bed.expect("POST 02").await;
    if repeating_server == 1 {
        current.reply(&read_answer()).await;
        current = bed.expect("POST 02").await;
    }
    // If the machine stalls, the next request is sent after the time in which the dispatcher expects a second
    // answer, and it uses the same connection.
    if current.connection.is_same(&old) {
        return Ok(false);
    }
    match (when, delayed_answer) {
        (SecondAnswerTime::AfterNextRequest, _) => old.reply(second).await,
        (_, Some(delayed_answer)) => delayed_answer.await.unwrap(),
        _ => {}
    }
    // Longer than the dispatcher avoids a server after a rejection.
    let end = Instant::now() + Duration::from_millis(300);
    while let Some(received) = bed.next_within(end.saturating_duration_since(Instant::now())).await {
        if received.what.starts_with("DELETE") {
            received.reply(&plain(204, "", "")).await;
            continue;
        }
        if received.server == 1 || repeating_server == 1 {
            let at = ["reader", "writer"][received.server];
            return Err(format!(
                "{when:?}: the {at} received {} though the current attempt was not answered",
                received.what
            ));
        }
        sleep(Duration::from_millis(3)).await; // a close of the connection has been reported by then
        if !current.connection.ended_before(received.received) {
            return Err(format!("{when:?}: the reader received a second copy while the first was in flight"));
        }
        current = received;
    }
    current.reply(&if repeating_server == 0 { read_answer() } else { stream(2) }).await;
    if repeating_server == 0 {
        if let Some(writing) = bed.next_within(Duration::from_secs(1)).await {
            writing.reply(&stream(2)).await;
        }
    }
    let answer = answer(request).await;
    match status(&answer) {
        200 if body(&answer).0.starts_with(&event(2)) => Ok(true),
        502 => Ok(true),
        _ => Err(format!("{when:?}: the client received {answer:?}")),
    }
}

/// Lets a server answer one request twice, at each [`SecondAnswerTime`]. Repeats each case until the events
/// crossed, up to 20 times.
async fn check_second_answers(repeating_server: usize, first: &str, second: &str) {
    let mut failures = Vec::new();
    for when in SECOND_ANSWER_TIMES {
        let mut has_crossed = false;
        for _ in 0..20 {
            match try_second_answer(repeating_server, first, second, when).await {
                Ok(crossed) => has_crossed = crossed,
                Err(what) => failures.push(what),
            }
            if has_crossed || !failures.is_empty() {
                break;
            }
        }
        assert!(has_crossed || !failures.is_empty(), "{when:?}: the events did not cross in 20 tries");
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A reader answers twice that it has read. The second answer does not mean that it has read the next request.
#[tokio::test]
async fn a_second_read_answer_is_not_taken_for_that_of_the_next_request() {
    check_second_answers(0, &read_answer(), &read_answer()).await;
}

/// A reader answers that it has read, then that it has no state (410). The next read continues and is not sent twice.
#[tokio::test]
async fn a_late_no_state_answer_is_not_taken_for_that_of_the_next_read() {
    check_second_answers(0, &read_answer(), &rejection(410)).await;
}

/// A writer rejects a request that it has already answered. This does not prove that the next attempt there never
/// ran.
#[tokio::test]
async fn a_late_rejection_after_a_stream_does_not_apply_to_the_next_request() {
    check_second_answers(1, &stream(1), &rejection(503)).await;
}

/// A writer streams two answers. The second one is not relayed to the next client.
#[tokio::test]
async fn a_second_stream_is_not_relayed_to_the_next_client() {
    check_second_answers(1, &stream(1), &stream(7)).await;
}

/// A writer answers late that it found no state (410). This does not prove that the next attempt there never ran.
#[tokio::test]
async fn a_late_no_state_answer_does_not_apply_to_the_next_request() {
    check_second_answers(1, &stream(1), &rejection(410)).await;
}

// ---- Time limits ----

/// Adds the deduplicated class `once` with a window of 0.7 s, and allows 4 s for a connect and for held state.
fn with_dedup_class(value: &mut Value) {
    let settings = &mut value["settings"];
    settings["lanes"].as_array_mut().unwrap().push(json!({"name": "once", "aim_s": 2.0, "give_up_s": 5.0,
        "effect": "deduplicated", "group": "all", "dedup_window_s": 0.7, "worth": 2.0}));
    settings["limits"]["connect_timeout_s"] = json!(4.0);
    settings["domain"]["release_within_s"] = json!(4.0);
}

/// Servers drop repeats only within the deduplication window. The window ends while the second attempt is
/// connecting, so nothing of that attempt may be written.
#[tokio::test]
async fn a_retry_is_not_written_if_its_dedup_window_ends_while_it_connects() {
    let mut bed = TestBed::start(&[READER, WRITER], with_dedup_class).await;
    let request = bed.start_request("01", "once", "3.0");
    let first = complete_read(&mut bed, "01").await;
    bed.block_connections(1).await;
    first.connection.close(true).await;
    sleep(Duration::from_millis(300)).await; // the first SYN was dropped by now; it is sent again after 1 s
    bed.unblock_connections(1);
    let window = first.received + Duration::from_millis(700);
    while let Some(received) = bed.next_within(Duration::from_millis(2_500)).await {
        let late = received.received.saturating_duration_since(window);
        assert!(
            received.server != 1 || late.is_zero(),
            "{} written {late:?} after the window",
            received.what
        );
        received.reply(&plain(204, "", "")).await;
    }
    assert_ne!(status(&answer(request).await), 200);
}

/// As the test above, with a longer window: the retry is sent, which shows that the test above can fail.
#[tokio::test]
async fn a_retry_within_its_dedup_window_is_sent_once_it_is_connected() {
    let long_window = |value: &mut Value| {
        with_dedup_class(value);
        value["settings"]["lanes"][2]["dedup_window_s"] = json!(4.0);
    };
    let mut bed = TestBed::start(&[READER, WRITER], long_window).await;
    let request = bed.start_request("01", "once", "3.0");
    let first = complete_read(&mut bed, "01").await;
    bed.block_connections(1).await;
    first.connection.close(true).await;
    sleep(Duration::from_millis(300)).await;
    bed.unblock_connections(1);
    bed.expect("POST 01").await.reply(&stream(1)).await;
    assert_eq!(status(&answer(request).await), 200);
}

/// The first event is sent within a few ms of the deadline. In either order the client receives one final answer,
/// and the at-most-once request is sent only once.
#[tokio::test]
async fn a_first_event_around_the_deadline_leads_to_one_answer() {
    for offset in [-6, -4, -3, -2, -1, 0, 1, 2, 4] {
        let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
        let start = Instant::now();
        let request = bed.start_request("01", "book", "0.6");
        let writing = complete_read(&mut bed, "01").await;
        let at = start + Duration::from_millis(600u64.saturating_add_signed(offset));
        tokio::time::sleep_until(at).await;
        writing.reply(&stream(1)).await;
        let answer = answer(request).await;
        let later = bed.all_within(Duration::from_millis(30)).await;
        assert_eq!((answer.matches("HTTP/1.1").count(), posts(&later, "01")), (1, 0), "{offset}: {answer}");
        match status(&answer) {
            200 => assert!(body(&answer).1 && body(&answer).0.starts_with(&event(1)), "{answer}"),
            502 => assert!(!answer.contains("data:"), "{answer}"),
            other => panic!("{offset}: {other}"),
        }
    }
}

/// A connection is established after its attempt was cancelled. Nothing of the attempt is written on it, and it is
/// closed unless a release uses it.
#[tokio::test]
async fn a_connection_established_after_its_attempt_was_cancelled_carries_nothing() {
    let slow_connect = |value: &mut Value| value["settings"]["limits"]["connect_timeout_s"] = json!(4.0);
    let mut bed = TestBed::start(&[READER, WRITER], slow_connect).await;
    bed.block_connections(1).await;
    let request = bed.start_request("01", "book", "0.4");
    bed.expect("POST 01").await.reply(&read_answer()).await;
    assert_ne!(status(&answer(request).await), 200);
    bed.unblock_connections(1);
    // The operating system sends the second SYN 1 s after the first.
    let later = bed.all_within(Duration::from_millis(1_400)).await;
    assert_eq!(posts(&later, "01"), 0, "{later:?}");
    for connection in bed.connections_of(1) {
        let carried = String::from_utf8_lossy(&connection.bytes.lock().unwrap()).into_owned();
        assert!(!carried.contains("POST"), "{carried}");
        assert!(connection.has_ended() || carried.contains("DELETE"), "an unused connection stays open");
    }
}

/// The remaining time that a server is told is that at the time of writing the request, not of assigning it.
#[tokio::test]
async fn the_remaining_time_sent_to_a_server_is_computed_once_it_is_connected() {
    let slow_connect = |value: &mut Value| {
        value["settings"]["limits"]["connect_timeout_s"] = json!(4.0);
        value["settings"]["lanes"][1]["aim_s"] = json!(4.0);
    };
    let mut bed = TestBed::start(&[READER, WRITER], slow_connect).await;
    bed.block_connections(0).await;
    let start = Instant::now();
    let request = bed.start_request("01", "book", "3.0");
    sleep(Duration::from_millis(200)).await; // the first SYN has been dropped by now
    bed.unblock_connections(0);
    let reading = bed.expect("POST 01").await;
    let left = 3.0 - (reading.received - start).as_secs_f64();
    let value: f64 = reading.field("x-remaining").unwrap().parse().unwrap();
    assert!(left < 2.9, "the read must be sent late for this test: {left}");
    assert!(value <= left + TOLERANCE_S, "told {value}, left {left:.3}");
    request.abort();
}

/// Later attempts send what remains of the client's time, however the previous attempt ended.
#[tokio::test]
async fn later_attempts_send_the_remaining_time() {
    let mut bed = TestBed::start(&[READER, READER, WRITER], |_| {}).await;
    let start = Instant::now();
    let request = bed.start_request("01", "ask", "2.0");
    let mut attempts = 0;
    while let Some(received) = bed.next_within(Duration::from_millis(1_000)).await {
        if received.what != "POST 01" {
            received.reply(&plain(204, "", "")).await;
            continue;
        }
        attempts += 1;
        let left = 2.0 - (received.received - start).as_secs_f64();
        let value: f64 = received.field("x-remaining").unwrap().parse().unwrap();
        assert!(value <= left + TOLERANCE_S, "attempt {attempts}: told {value}, left {left:.3}");
        match attempts {
            1 => {} // no answer: the attempt times out
            2 => received.connection.close(true).await,
            _ if received.server == 2 => received.reply(&stream(1)).await,
            _ => received.reply(&read_answer()).await,
        }
    }
    assert!(attempts >= 4, "{attempts}");
    assert_eq!(status(&answer(request).await), 200);
}

// ---- Answers that never end, and clients that disconnect ----

/// The body of a rejecting answer never ends. The head alone proves that the attempt never ran, so the retry is
/// sent at once, and the connection is closed.
#[tokio::test]
async fn a_rejection_with_an_unfinished_body_counts_at_once_and_its_connection_is_closed() {
    let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
    let request = bed.start_request("01", "book", "2.9");
    let first = complete_read(&mut bed, "01").await;
    first.reply("HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 10\r\n\r\n12").await;
    let second = bed.expect("POST 01").await;
    second.reply(&stream(1)).await;
    assert_eq!(status(&answer(request).await), 200);
    first.connection.ended().await;
}

/// The answer to a read never ends. The read is abandoned in time for the client to be answered by the deadline.
#[tokio::test]
async fn a_read_with_an_unfinished_answer_is_abandoned_by_the_deadline() {
    let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
    let start = Instant::now();
    let request = bed.start_request("01", "book", "0.7");
    let mut request = request;
    let answer = loop {
        tokio::select! {
            answer = &mut request => break answer.unwrap(),
            received = bed.next() => match received.what.as_str() {
                "POST 01" if received.server == 0 =>
                    received.reply("HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{").await,
                "POST 01" => panic!("sent to a writer though no read was completed"),
                _ => received.reply(&plain(204, "", "")).await,
            },
        }
    };
    assert!(matches!(status(&answer), 502 | 503), "{answer}");
    assert!(start.elapsed().as_secs_f64() < 0.7 + TOLERANCE_S, "{:?}", start.elapsed());
}

/// The client disconnects as the first event of its answer arrives, in either order. Nothing more is sent, and the
/// connection of the attempt is closed.
#[tokio::test]
async fn a_client_that_disconnects_as_its_answer_starts_ends_the_attempt() {
    for disconnects_first in [true, false] {
        let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
        let mut client = TcpStream::connect(bed.platform).await.unwrap();
        client.write_all(platform("01", "ask", "2.9").as_bytes()).await.unwrap();
        let writing = complete_read(&mut bed, "01").await;
        let partial_answer = format!("{STREAM_HEAD}{}", dewladder_test_peers::chunk(&event(1)));
        if disconnects_first {
            drop(client);
            writing.reply(&partial_answer).await;
        } else {
            writing.reply(&partial_answer).await;
            drop(client);
        }
        writing.connection.ended().await;
        let later = bed.all_within(SETTLE_TIME).await;
        assert_eq!(posts(&later, "01"), 0, "{disconnects_first}: {later:?}");
    }
}

// ---- Idle connections to servers ----

/// A server closes an idle connection, regularly or with a reset, before the next request. That request is sent once,
/// over a new connection.
#[tokio::test]
async fn a_connection_that_the_server_closed_while_idle_is_not_reused() {
    for with_reset in [true, false] {
        for class in ["book", "ask"] {
            let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
            let request = bed.start_request("01", class, "2.9");
            let writing = complete_read(&mut bed, "01").await;
            writing.reply(&stream(1)).await;
            assert_eq!(status(&answer(request).await), 200);
            for connection in [bed.connections_of(0), bed.connections_of(1)].concat() {
                connection.close(with_reset).await;
            }
            sleep(Duration::from_millis(20)).await; // on loopback, the close has arrived by then
            let request = bed.start_request("02", class, "2.9");
            complete_read(&mut bed, "02").await.reply(&stream(2)).await;
            assert_eq!(status(&answer(request).await), 200, "{with_reset} {class}");
            assert_eq!([bed.connections_of(0).len(), bed.connections_of(1).len()], [2, 2]);
        }
    }
}

/// A server closes a kept connection when it receives a request over it. An at-most-once request may have run, so
/// it fails without a retry. An idempotent one is retried over a new connection and answered. The server is a
/// mixed one: an attempt at a writer after a read never uses a kept connection.
#[tokio::test]
async fn after_a_kept_connection_closes_under_a_request_only_an_idempotent_one_is_retried() {
    for with_reset in [true, false] {
        for (class, repeats) in [("book", false), ("ask", true)] {
            let mut bed = TestBed::start(&[MIXED], long_attempt_timeouts).await;
            let request = bed.start_request("01", class, "2.9");
            bed.expect("POST 01").await.reply(&stream(1)).await;
            assert_eq!(status(&answer(request).await), 200);
            sleep(Duration::from_millis(120)).await; // by then the connection is reused: no second answer is expected
            let request = bed.start_request("02", class, "2.9");
            let kept = bed.expect("POST 02").await;
            assert_eq!(bed.connections_of(0).len(), 1, "the kept connection is used");
            kept.connection.close(with_reset).await;
            if repeats {
                bed.expect("POST 02").await.reply(&stream(2)).await;
            }
            let answer = answer(request).await;
            let later = bed.all_within(SETTLE_TIME).await;
            let expected = (if repeats { 200 } else { 502 }, 0);
            assert_eq!((status(&answer), posts(&later, "02")), expected, "{with_reset} {class}");
        }
    }
}

/// The dispatcher's expiry of an idle connection crosses its next request. The request uses the old connection or
/// a new one, is sent once and is answered. Once the server's own idle limit (200 ms) has passed, the old one is
/// not used.
#[tokio::test]
async fn a_request_around_the_expiry_of_an_idle_connection_is_sent_once() {
    let short_keepalive = |value: &mut Value| value["settings"]["limits"]["keepalive_s"] = json!(0.2);
    for idle in [110, 116, 118, 119, 120, 121, 122, 124, 130, 200, 300] {
        let mut bed = TestBed::start(&[READER, WRITER], short_keepalive).await;
        let request = bed.start_request("01", "book", "2.9");
        let writing = complete_read(&mut bed, "01").await;
        writing.reply(&stream(1)).await;
        assert_eq!(status(&answer(request).await), 200);
        sleep(Duration::from_millis(idle)).await;
        let request = bed.start_request("02", "book", "2.9");
        complete_read(&mut bed, "02").await.reply(&stream(2)).await;
        let answer = answer(request).await;
        assert!(status(&answer) == 200 && body(&answer).0.starts_with(&event(2)), "{idle}: {answer}");
        if idle >= 200 {
            assert_eq!([bed.connections_of(0).len(), bed.connections_of(1).len()], [2, 2], "{idle}");
        }
    }
}
