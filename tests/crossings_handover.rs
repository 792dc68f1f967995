//! Handover of held state from a reader to a writer. Whichever events cross (happen at nearly the same time, in
//! either order), the state that a read left is taken by a writer or released within the maximum hold time of the
//! settings, and a release never affects the state of a later read.

mod scripted_servers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dewladder::edge::core::{AttemptResult, Core, Effect as CoreEffect, IdClaim, Input};
use dewladder::interface::*;
use dewladder_test_peers::{body, chunk, event, plain, platform};
use proptest::prelude::*;
use scripted_servers::*;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// Sum of `domain.release_within_s` (500 ms), the 300 ms that tests over sockets are allowed in addition, and the
/// tolerance of 50 ms on each time limit.
const MAX_OBSERVED_HOLD_TIME: Duration = Duration::from_millis(850);
/// Time to wait for a message that must not be sent, or for a change to take effect.
const SETTLE_TIME: Duration = Duration::from_millis(150);

/// Leaves the settings of [`TestBed::start`] as they are.
fn default_settings(_: &mut Value) {}

/// Sets a latency objective of 2 s for all classes, so that on a busy machine no attempt times out in tests about
/// other things.
fn long_attempt_timeouts(config_json: &mut Value) {
    for class in config_json["settings"]["lanes"].as_array_mut().unwrap() {
        class["aim_s"] = json!(2.0);
    }
}

/// Allows a connect to take 2 s, which is longer than state may be held.
fn slow_connect(config_json: &mut Value) {
    long_attempt_timeouts(config_json);
    config_json["settings"]["limits"]["connect_timeout_s"] = json!(2.0);
}

/// Waits for the answer to a request; panics after 8 s.
async fn answer(requested: JoinHandle<String>) -> String {
    timeout(Duration::from_secs(8), requested).await.expect("an answer").unwrap()
}

/// Sends a request on a connection that the test can drop, as a client that disconnects.
async fn client(bed: &TestBed, id: &str, class: &str) -> TcpStream {
    let mut client = TcpStream::connect(bed.platform).await.unwrap();
    client.write_all(platform(id, class, "2.9").as_bytes()).await.unwrap();
    client
}

/// Waits for a release of this request and returns it; requests received before it are rejected. Panics if no
/// release is received within the time that state may be held, counted from `since`.
async fn wait_for_release(bed: &mut TestBed, id: &str, since: Instant) -> ReceivedMessage {
    loop {
        let left = (since + MAX_OBSERVED_HOLD_TIME).saturating_duration_since(Instant::now());
        let Some(received) = bed.next_within(left).await else {
            panic!("state of {id} is held for over {MAX_OBSERVED_HOLD_TIME:?}")
        };
        if received.what == format!("DELETE {id}") {
            return received;
        }
        received.reply(&rejection(503)).await;
    }
}

// ---- Ends of a read ----

/// The connection of a read breaks at different points of the answer, and no writer takes the state: it is released.
#[tokio::test]
async fn state_is_released_after_the_connection_of_the_read_broke() {
    for (reply, with_reset) in [
        ("HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{\"ca", true),
        ("HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{\"ca", false),
        ("HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"c", true),
        ("HTTP/1.1 202 X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", false),
        ("HTTP/1.1 202 X\r\nConnection: close\r\n\r\n{}", false),
        ("HTTP/1.1 20", true),
        ("", true),
        ("", false),
    ] {
        let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
        let mut requested = bed.start_request("01", "book", "2.0");
        let reading = bed.expect("POST 01").await;
        reading.reply(reply).await;
        sleep(Duration::from_millis(5)).await; // lets the answer arrive first: a reset discards unread bytes
        reading.connection.close(with_reset).await;
        let (mut held, mut is_released) = (Some(Instant::now()), false);
        let answered = loop {
            tokio::select! {
                answer = &mut requested => break answer.unwrap(),
                received = bed.next() => match (received.what.as_str(), received.server) {
                    ("POST 01", 0) => {
                        received.reply(&read_answer()).await;
                        held = Some(Instant::now());
                    }
                    ("POST 01", _) => received.reply(&rejection(503)).await,
                    _ => {
                        is_released |= held.is_some_and(|held| received.received > held);
                        received.reply(&plain(204, "", "")).await;
                    }
                },
            }
        };
        assert!(matches!(status(&answered), 502 | 503), "{reply:?}: {answered}");
        if !is_released {
            wait_for_release(&mut bed, "01", Instant::now()).await;
        }
    }
}

/// The client disconnects as the read ends, in either order, with an answered or a broken read. No attempt is sent
/// later than 100 ms after that, and the state that may be held is released.
#[tokio::test]
async fn state_is_released_if_the_client_disconnects_as_the_read_ends() {
    for disconnects_first in [true, false] {
        for is_reset in [true, false] {
            let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
            let client = client(&bed, "01", "book").await;
            let reading = bed.expect("POST 01").await;
            if disconnects_first {
                drop(client);
                if is_reset {
                    reading.connection.close(true).await;
                } else {
                    reading.reply(&read_answer()).await;
                }
            } else {
                if is_reset {
                    reading.connection.close(true).await;
                } else {
                    reading.reply(&read_answer()).await;
                }
                drop(client);
            }
            let left = Instant::now();
            let mut is_released = false;
            for received in bed.all_within(Duration::from_millis(500)).await {
                let late = received.received.saturating_duration_since(left);
                let posted = received.what.starts_with("POST");
                assert!(
                    !posted || late < Duration::from_millis(100),
                    "{disconnects_first} {is_reset}: {received:?} {late:?}"
                );
                is_released |= received.what == "DELETE 01";
            }
            assert!(is_released, "{disconnects_first} {is_reset}: no release received");
        }
    }
}

/// A read may complete just as it is abandoned. Another reader then reads the prompt; when the request fails, the
/// state that either reader may hold is released.
#[tokio::test]
async fn state_of_an_abandoned_read_is_released_when_the_request_fails() {
    let mut bed = TestBed::start(&[READER, READER, WRITER], default_settings).await;
    let requested = bed.start_request("01", "book", "2.9");
    let first = bed.expect("POST 01").await;
    // The reader does not answer until the attempt times out; its answer then crosses the close of the connection.
    first.connection.ended().await;
    first.reply(&read_answer()).await;
    bed.expect("DELETE 01").await.reply(&plain(204, "", "")).await;
    let second = bed.expect("POST 01").await;
    assert_ne!(second.server, first.server, "the retry uses the other reader");
    second.reply(&read_answer()).await;
    let writing = bed.expect("POST 01").await;
    writing.reply(&plain(500, "", "no")).await;
    let end = Instant::now();
    assert_eq!(status(&answer(requested).await), 502);
    let mut requested = BTreeSet::new();
    while let Some(received) =
        bed.next_within((end + MAX_OBSERVED_HOLD_TIME).saturating_duration_since(Instant::now())).await
    {
        assert_eq!(received.what, "DELETE 01");
        requested.insert(received.server);
        received.reply(&plain(204, "", "")).await;
    }
    assert!(!requested.is_empty(), "no server received a release");
}

/// A server may notice the close of an abandoned attempt only after the release that follows, because the two use
/// different connections. A reader may complete its read in between, and a writer keeps the state for an attempt
/// until it notices the close. The release is therefore repeated; if the attempt was answered, one release is
/// enough.
#[tokio::test]
async fn a_final_release_is_repeated_after_an_attempt_was_abandoned() {
    for abandoned_server in [Some(READER), Some(WRITER), None] {
        let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
        let client = client(&bed, "01", "book").await;
        let reading = bed.expect("POST 01").await;
        if abandoned_server != Some(READER) {
            reading.reply(&read_answer()).await;
            let writing = bed.expect("POST 01").await; // the writer has received the attempt
            if abandoned_server.is_none() {
                writing.reply(&plain(500, "", "no")).await;
            }
        }
        drop(client);
        let release = wait_for_release(&mut bed, "01", Instant::now()).await;
        release.reply(&plain(204, "", "")).await;
        let again = bed.next_within(MAX_OBSERVED_HOLD_TIME).await.map(|received| received.what);
        let expected = abandoned_server.map(|_| "DELETE 01".to_owned());
        assert_eq!(again, expected, "abandoned at: {abandoned_server:?}");
    }
}

// ---- Writers that do not take the state ----

/// No connection to the only writer can be established: the state is released in time, counted from the end of the
/// read.
#[tokio::test]
async fn state_is_released_in_time_if_no_writer_can_be_connected_to() {
    for class in ["ask", "book"] {
        let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
        bed.block_connections(1).await;
        let _requested = bed.start_request("01", class, "2.9");
        let reading = bed.expect("POST 01").await;
        reading.reply(&read_answer()).await;
        wait_for_release(&mut bed, "01", Instant::now()).await;
    }
}

/// As the test above, with settings that let a connect take longer than state may be held: the hold time continues
/// while connects are pending.
#[tokio::test]
async fn state_is_released_in_time_during_a_slow_connect() {
    let mut bed = TestBed::start(&[READER, WRITER], slow_connect).await;
    bed.block_connections(1).await;
    let _requested = bed.start_request("01", "book", "2.9");
    let reading = bed.expect("POST 01").await;
    reading.reply(&read_answer()).await;
    wait_for_release(&mut bed, "01", Instant::now()).await;
}

/// A writer is cut off after it accepted the connection, so that the last byte of the request never reaches it
/// (here its machine takes only the first part of a long request). An attempt counts only once its last byte is
/// received, so the hold time continues.
#[tokio::test]
async fn state_is_released_in_time_if_the_writer_does_not_take_the_whole_request() {
    let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
    bed.stop_reading(1);
    let filler = "a".repeat(250_000);
    let text = platform("01", "book", "2.9")
        .replace("Content-Length: 15", &format!("Content-Length: {}", 15 + filler.len() + 7))
        .replace("{\"stream\":true}", &format!("{{\"stream\":true,\"m\":\"{filler}\"}}"));
    let to = bed.platform;
    let _requested = tokio::spawn(async move { dewladder_test_peers::until_close(to, &text).await });
    let reading = bed.expect("POST 01").await;
    reading.reply(&read_answer()).await;
    wait_for_release(&mut bed, "01", Instant::now()).await;
}

/// The machine of a writer is cut off while a connection to it is open. The connection becomes unresponsive
/// without an error, although the operating system took and acknowledged all bytes, and no new one can be
/// established. An attempt sent over the open connection has not reached the server process.
#[tokio::test]
async fn state_is_released_in_time_if_the_machine_of_the_writer_is_cut_off() {
    for class in ["ask", "book"] {
        let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
        let first = bed.start_request("01", class, "2.9");
        bed.expect("POST 01").await.reply(&read_answer()).await;
        bed.expect("POST 01").await.reply(&stream(1)).await;
        assert_eq!(status(&answer(first).await), 200);
        sleep(SETTLE_TIME).await; // by then its connections can be reused
        bed.block_connections(1).await;
        let _requested = bed.start_request("02", class, "2.9");
        let reading = bed.expect("POST 02").await;
        reading.reply(&read_answer()).await;
        let since = Instant::now();
        loop {
            let left = (since + MAX_OBSERVED_HOLD_TIME).saturating_duration_since(Instant::now());
            let Some(received) = bed.next_within(left).await else {
                panic!("{class}: held for over {MAX_OBSERVED_HOLD_TIME:?}")
            };
            if received.what == "DELETE 02" {
                break;
            }
            assert_eq!(
                received.server, 1,
                "{class}: only the writer, over the open connection, may receive anything else"
            );
        }
    }
}

/// Open connections become unresponsive without an error, while new ones work. An attempt that takes the held
/// state, or a release, is received by a server in time.
#[tokio::test]
async fn held_state_does_not_wait_for_an_unresponsive_open_connection() {
    for class in ["ask", "book"] {
        let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
        let first = bed.start_request("01", class, "2.9");
        bed.expect("POST 01").await.reply(&read_answer()).await;
        bed.expect("POST 01").await.reply(&stream(1)).await;
        assert_eq!(status(&answer(first).await), 200);
        sleep(SETTLE_TIME).await; // by then its connections can be reused
        bed.ignore_open_connections(1);
        let _requested = bed.start_request("02", class, "2.9");
        bed.expect("POST 02").await.reply(&read_answer()).await;
        let received = bed.next_within(MAX_OBSERVED_HOLD_TIME).await;
        assert!(
            received.is_some(),
            "{class}: no attempt and no release received in {MAX_OBSERVED_HOLD_TIME:?}"
        );
    }
}

/// Attempts that no machine acknowledges count as not received. The hold time continues from the end of the read,
/// however many writers are tried, and the state is released once it has passed.
#[test]
fn unacknowledged_sends_do_not_extend_the_hold_time() {
    let mut core = Core::new(settings([Effect::Idempotent; 3]), 3, SECOND, 24);
    let entries = (0..SERVERS).map(|server| entry(server, Health::Ready)).collect();
    let mut now = SECOND;
    core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    let request_info = RequestInfo {
        id: ID,
        class: 0,
        session: Some(Key(1)),
        shared: None,
        shared_tokens: 0,
        prompt_tokens: 1_000,
        max_tokens: 100,
        hint: None,
        not_after: now + 4 * SECOND,
    };
    let mut effects = core.step(
        now,
        Input::RequestArrived { info: request_info, received_at: now, id_claim: IdClaim::Exclusive },
    );
    let (mut read_at, mut unacknowledged) = (None, 0);
    while now < 4 * SECOND {
        let mut next = Vec::new();
        for effect in std::mem::take(&mut effects) {
            match effect {
                CoreEffect::Send { id, attempt, reads: true, .. } => {
                    now += 10_000;
                    read_at = Some(now);
                    next.extend(
                        core.step(now, Input::AttemptFinished { id, attempt, result: Outcome::Read.into() }),
                    );
                }
                CoreEffect::Send { id, attempt, begin_by, .. } => {
                    assert!(begin_by <= read_at.expect("a read") + MAX_HOLD_TIME, "at {now}: {begin_by}");
                    now += 120_000;
                    unacknowledged += 1;
                    let ending = Outcome::Unacknowledged.into();
                    next.extend(core.step(now, Input::AttemptFinished { id, attempt, result: ending }));
                }
                CoreEffect::ReleaseHeldState { .. } => {
                    let held = now - read_at.expect("a read");
                    assert!(unacknowledged > 1, "only one writer was tried");
                    assert!(held <= MAX_HOLD_TIME + 130_000, "held for {held} us");
                    return;
                }
                _ => {}
            }
        }
        if next.is_empty() {
            now = core.next_due().expect("the sweep").max(now);
            next = core.step(now, Input::Tick);
        }
        effects = next;
    }
    panic!("the state was never released");
}

/// The only writer starts draining while the read is in flight. Nothing new is sent to it, and the state is
/// released in time.
#[tokio::test]
async fn state_is_released_in_time_if_the_only_writer_is_draining() {
    let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
    let requested = bed.start_request("01", "book", "2.9");
    let reading = bed.expect("POST 01").await;
    bed.set_draining(&[1]);
    sleep(Duration::from_millis(100)).await; // by then the dispatcher has received the new list
    reading.reply(&read_answer()).await;
    let received = wait_for_release(&mut bed, "01", Instant::now()).await;
    received.reply(&plain(204, "", "")).await;
    assert_eq!(status(&answer(requested).await), 503, "it never ran");
    assert!(
        bed.connections_of(1).is_empty() || received.server == 1,
        "nothing is sent to the draining writer"
    );
}

/// A writer starts draining just as the read ends, in either order. The request is sent to a writer only once.
#[tokio::test]
async fn a_drain_that_crosses_the_end_of_the_read_leaves_no_state_held() {
    for drain_first in [true, false] {
        let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
        let requested = bed.start_request("01", "book", "2.9");
        let reading = bed.expect("POST 01").await;
        if drain_first {
            bed.set_draining(&[1]);
            reading.reply(&read_answer()).await;
        } else {
            reading.reply(&read_answer()).await;
            bed.set_draining(&[1]);
        }
        let writing = bed.expect("POST 01").await;
        writing.reply(&stream(1)).await;
        assert_eq!(status(&answer(requested).await), 200);
        let later = bed.all_within(SETTLE_TIME).await;
        assert!(later.iter().all(|received| received.what.starts_with("DELETE")), "{later:?}");
    }
}

/// The only writer answers that it found no state (410), and after the prompt was read again no connection to it
/// can be established. The state of the second read is released in time.
#[tokio::test]
async fn a_no_state_answer_followed_by_a_failed_connect_leaves_no_state_held() {
    let many_attempts = |config_json: &mut Value| {
        long_attempt_timeouts(config_json);
        config_json["settings"]["limits"]["max_attempts"] = json!(20);
    };
    let mut bed = TestBed::start(&[READER, WRITER], many_attempts).await;
    let _requested = bed.start_request("01", "book", "2.9");
    bed.expect("POST 01").await.reply(&read_answer()).await;
    let writing = bed.expect("POST 01").await;
    writing.reply(&rejection(410)).await;
    writing.connection.close(false).await;
    bed.block_connections(1).await;
    let second = bed.next_post().await;
    assert_eq!((second.server, second.what.as_str()), (0, "POST 01"), "the prompt is read again");
    // Answers the releases of the first read's state before the second read ends.
    for received in bed.all_within(SETTLE_TIME).await {
        received.reply(&plain(204, "", "")).await;
    }
    for received in bed.all_within(SETTLE_TIME).await {
        received.reply(&plain(204, "", "")).await;
    }
    second.reply(&read_answer()).await;
    wait_for_release(&mut bed, "01", Instant::now()).await;
}

// ---- Releases ----

/// A release fails at the holder of the state in different ways. It is then sent to another server in time.
#[tokio::test]
async fn a_release_that_fails_at_the_holder_is_sent_to_another_server() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum ReleaseFailure {
        Reset,
        Close,
        NoAnswer,
        Status(u16),
        Killed,
    }
    let mut failures = Vec::new();
    for how in [
        ReleaseFailure::Reset,
        ReleaseFailure::Close,
        ReleaseFailure::NoAnswer,
        ReleaseFailure::Killed,
        ReleaseFailure::Status(503),
        ReleaseFailure::Status(500),
        ReleaseFailure::Status(404),
    ] {
        let mut bed = TestBed::start(&[READER, WRITER, WRITER], long_attempt_timeouts).await;
        let requested = bed.start_request("01", "book", "2.9");
        bed.expect("POST 01").await.reply(&read_answer()).await;
        let writing = bed.expect("POST 01").await;
        if how == ReleaseFailure::Killed {
            bed.kill(0).await;
        }
        writing.reply(&plain(500, "", "no")).await;
        let end = Instant::now();
        assert_eq!(status(&answer(requested).await), 502);
        let mut at = None;
        while let Some(received) =
            bed.next_within((end + MAX_OBSERVED_HOLD_TIME).saturating_duration_since(Instant::now())).await
        {
            assert_eq!(received.what, "DELETE 01");
            if received.server != 0 {
                at = Some(received.server);
                received.reply(&plain(204, "", "")).await;
                break;
            }
            match how {
                ReleaseFailure::Reset => received.connection.close(true).await,
                ReleaseFailure::Close => received.connection.close(false).await,
                ReleaseFailure::Status(503) => received.reply(&rejection(503)).await,
                ReleaseFailure::Status(code) => received.reply(&plain(code, "", "")).await,
                ReleaseFailure::NoAnswer | ReleaseFailure::Killed => {}
            }
        }
        failures.extend(at.is_none().then_some(how));
    }
    assert!(failures.is_empty(), "no other server received the release after {failures:?} at the holder");
}

/// No server answers a release for a while. The release is retried until one does.
#[tokio::test]
async fn a_release_that_no_server_answers_is_retried() {
    let mut bed = TestBed::start(&[READER, WRITER], long_attempt_timeouts).await;
    let requested = bed.start_request("01", "book", "2.9");
    bed.expect("POST 01").await.reply(&read_answer()).await;
    bed.expect("POST 01").await.reply(&plain(500, "", "no")).await;
    assert_eq!(status(&answer(requested).await), 502);
    for _ in 0..8 {
        bed.expect("DELETE 01").await;
    }
    bed.expect("DELETE 01").await.reply(&plain(204, "", "")).await;
}

/// A writer finds no state, and the reader that should hold it does not answer the release. The prompt is read
/// again; a release that is still being retried must not release the state of the new read.
#[tokio::test]
async fn a_late_release_does_not_release_the_state_of_a_newer_read() {
    for readers in [&[READER, WRITER][..], &[READER, READER, WRITER]] {
        let mut bed = TestBed::start(readers, long_attempt_timeouts).await;
        let requested = bed.start_request("01", "book", "2.9");
        bed.expect("POST 01").await.reply(&read_answer()).await;
        bed.expect("POST 01").await.reply(&rejection(410)).await;
        // The release is sent before the new read; no server answers it.
        let mut second = bed.expect("DELETE 01").await;
        while second.what == "DELETE 01" {
            second = bed.next().await;
        }
        assert_eq!(second.what, "POST 01");
        assert!(second.server + 1 < readers.len(), "a reader reads the prompt again");
        second.reply(&read_answer()).await;
        let second_read_at = Instant::now();
        let mut late = Vec::new();
        let mut writing = None;
        for received in bed.all_within(Duration::from_millis(400)).await {
            match received.what.as_str() {
                // Without the guard, releases are retried during the whole 400 ms.
                "DELETE 01" if received.received > second_read_at => {
                    late.push((received.server, received.received - second_read_at));
                }
                "DELETE 01" => {}
                _ => writing = Some(received),
            }
        }
        writing.expect("the request is sent to the writer").reply(&stream(1)).await;
        assert_eq!(status(&answer(requested).await), 200);
        assert!(late.is_empty(), "{} servers: released after the new read: {late:?}", readers.len());
    }
}

/// The client disconnects, or its deadline passes, while the state waits for a connection to a writer. The state is
/// released in time.
#[tokio::test]
async fn state_that_waits_for_a_connect_is_released_in_time_when_the_request_ends() {
    for disconnects in [true, false] {
        let mut bed = TestBed::start(&[READER, WRITER], slow_connect).await;
        bed.block_connections(1).await;
        let (client, remaining) = (client(&bed, "01", "book").await, bed.start_request("02", "book", "0.3"));
        let mut ids = BTreeSet::new();
        for _ in 0..2 {
            let reading = bed.next().await;
            ids.insert(reading.what.clone());
            reading.reply(&read_answer()).await;
        }
        assert_eq!(ids.len(), 2);
        let id = if disconnects { "01" } else { "02" };
        if disconnects {
            sleep(Duration::from_millis(50)).await; // by then the connect is pending
            drop(client);
            wait_for_release(&mut bed, id, Instant::now()).await;
        } else {
            assert_ne!(status(&answer(remaining).await), 200);
            wait_for_release(&mut bed, id, Instant::now()).await;
        }
    }
}

/// With the first event, servers release all state of the request themselves. The stream continues to its end, no
/// further attempt is sent, and this holds even if two readers may hold state.
#[tokio::test]
async fn nothing_more_is_sent_after_the_first_event() {
    let mut bed = TestBed::start(&[READER, READER, WRITER], default_settings).await;
    let requested = bed.start_request("01", "book", "2.9");
    let first = bed.expect("POST 01").await;
    first.connection.ended().await; // the attempt timed out; the other reader reads next
    bed.expect("DELETE 01").await.reply(&plain(204, "", "")).await;
    bed.expect("POST 01").await.reply(&read_answer()).await;
    let writing = bed.expect("POST 01").await;
    writing.reply(&format!("{STREAM_HEAD}{}", chunk(&event(1)))).await;
    let later = bed.all_within(Duration::from_millis(200)).await;
    assert!(later.iter().all(|received| !received.what.starts_with("POST")), "{later:?}");
    writing.reply("0\r\n\r\n").await;
    let answer = answer(requested).await;
    assert_eq!((status(&answer), body(&answer)), (200, (event(1), true)));
}

// ---- All orders of events, at the reducer ----

const SECOND: Micros = 1_000_000;
/// Longest time that state may be held (`max_hold_time` of the settings).
const MAX_HOLD_TIME: Micros = SECOND / 2;
/// Time within which the driver stops a cancelled attempt.
const MAX_STOP_TIME: Micros = 30_000;

/// Settings with three classes, which have these effects, and readers, writers and mixed servers.
fn settings(effects: [Effect; 3]) -> Settings {
    let class = |(at, effect): (u32, Effect)| {
        let class = Class {
            name: format!("{at}"),
            default_timeout: 3 * SECOND,
            max_attempts: 5,
            retired: false,
            latency_objective: SECOND / 2,
            latency_objective_per_1000_tokens: 0,
            token_interval_objective: 0,
            effect,
            dedup_group: DedupGroup::All,
            dedup_window: SECOND,
            priority_weight: 1.0,
        };
        (at, class)
    };
    let kind = |role| Kind { role, memory_tokens: 100_000 };
    Settings {
        dispatcher_count: 2,
        zone: ZoneId(0),
        classes: (0..).zip(effects).map(class).collect(),
        kinds: vec![kind(Role::Reader), kind(Role::Writer), kind(Role::Mixed)],
        must_subscribe: false,
        max_list_age: 0,
        may_cancel: true,
        gossip_allowed: false,
        gossip_price: 0.0,
        writers_can_read: false,
        max_retry_after: SECOND,
        max_hold_time: MAX_HOLD_TIME,
        min_batch_interval: 2_000,
        weight_is_size: true,
        slow_start_min_share: 0.3,
        slow_start_window: 10 * SECOND,
        memory_field: Some(0),
        overload_multiple: 2.5,
        overload_window: SECOND,
    }
}

const EFFECTS: [Effect; 3] = [Effect::Idempotent, Effect::AtMostOnce, Effect::Deduplicated];
const SERVERS: u32 = 7;

fn entry(server: u32, health: Health) -> ServerEntry {
    let (zone, cell) = (ZoneId(0), CellId(0));
    ServerEntry { server: ServerId(server), zone, cell, weight: 1.0, started: None, health, kind: server % 3 }
}

/// An attempt in flight.
#[derive(Debug)]
struct AttemptInFlight {
    number: u32,
    server: ServerId,
    sent: Micros,
    /// Time at which the reducer cancelled it; `None` before that.
    cancelled_at: Option<Micros>,
    stream_started: bool,
    /// Whether a running server process has received the attempt. A stalled process has not, although its machine
    /// took all bytes.
    arrived: bool,
}

/// Model of one request, as its client and its servers see it.
struct RequestModel {
    core: Core,
    now: Micros,
    effect: Effect,
    not_after: Micros,
    ready: BTreeMap<ServerId, bool>,
    in_flight: Option<AttemptInFlight>,
    /// Time at which the first attempt that may have run was sent.
    ran: Option<Micros>,
    held: BTreeSet<ServerId>,
    /// Servers that ever held state of the request, or may have.
    ever_held: BTreeSet<ServerId>,
    /// Time since which state is held while no running server has an attempt.
    held_since: Option<Micros>,
    /// Unanswered releases: the time at which the answer is reported, and the number.
    releases: Vec<(Micros, u64)>,
    /// State of the random generator that decides which attempts arrive and when releases are answered.
    random_state: u64,
    answers: u32,
    client_left: bool,
    streaming: bool,
    evicted: bool,
}

const ID: RequestId = RequestId(1);

impl RequestModel {
    fn reads(server: ServerId) -> bool {
        server.0.is_multiple_of(3)
    }

    fn next_random(&mut self) -> u64 {
        self.random_state =
            self.random_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.random_state >> 33
    }

    /// Whether a running server has received the attempt in flight.
    fn is_with_server(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.arrived)
    }

    /// Whether a running server has received an attempt that waits for the held state.
    fn is_awaited(&self) -> bool {
        self.in_flight.as_ref().is_some_and(|in_flight| in_flight.arrived && !Self::reads(in_flight.server))
    }

    /// Feeds an input to the reducer and checks its effects.
    fn feed(&mut self, input: Input) {
        for effect in self.core.step(self.now, input) {
            self.check(effect);
        }
    }

    /// Checks an effect against the model and applies it.
    fn check(&mut self, effect: CoreEffect) {
        match effect {
            CoreEffect::Send { attempt, server, attempt_deadline, .. } => {
                assert!(!self.client_left && self.answers == 0, "sent after the request was completed");
                assert!(self.in_flight.is_none(), "sent while another attempt is in flight");
                assert!(self.ready[&server], "sent to a server that is not up");
                assert!(self.now < attempt_deadline && attempt_deadline <= self.not_after);
                match (self.effect, self.ran) {
                    (Effect::AtMostOnce, Some(_)) => panic!("a second effect"),
                    (Effect::Deduplicated, Some(ran)) => assert!(self.now < ran + SECOND, "after the window"),
                    _ => {}
                }
                let arrived = !self.next_random().is_multiple_of(3);
                self.in_flight = Some(AttemptInFlight {
                    number: attempt,
                    server,
                    sent: self.now,
                    cancelled_at: None,
                    stream_started: false,
                    arrived,
                });
                self.update_held_since();
            }
            CoreEffect::CancelAttempt { attempt, .. } => {
                let in_flight = self
                    .in_flight
                    .as_mut()
                    .filter(|in_flight| in_flight.number == attempt)
                    .expect("a cancelled attempt is in flight");
                assert!(
                    in_flight.cancelled_at.is_none() && !(in_flight.stream_started && self.streaming),
                    "cancelled twice, or while its stream is relayed"
                );
                in_flight.cancelled_at = Some(self.now);
            }
            CoreEffect::Relay { attempt, .. } => {
                assert!(
                    self.in_flight.as_ref().is_some_and(
                        |in_flight| in_flight.number == attempt && in_flight.cancelled_at.is_none()
                    )
                );
                self.answered();
                self.streaming = true;
                (self.held, self.held_since) = (BTreeSet::new(), None);
                self.ran = self.ran.or(self.in_flight.as_ref().map(|in_flight| in_flight.sent));
            }
            CoreEffect::Reject { .. } => {
                assert!(
                    self.ran.is_none() || self.effect != Effect::AtMostOnce,
                    "rejected though it may have run"
                );
                self.answered();
            }
            CoreEffect::Fail { .. } => self.answered(),
            CoreEffect::ReleaseHeldState { holders, number, .. } => {
                let reads = self.in_flight.as_ref().is_some_and(|in_flight| Self::reads(in_flight.server));
                assert!(!reads, "a release would release the state of the read in flight");
                let holders: BTreeSet<_> = holders.into_iter().collect();
                assert!(holders.is_superset(&self.held) && holders.is_subset(&self.ever_held));
                // The state that an attempt waits for stays held.
                if !self.is_awaited() {
                    (self.held, self.held_since) = (BTreeSet::new(), None);
                }
                let answered_after = [1_000, 8_000, 60_000, 400_000][self.next_random() as usize % 4];
                self.releases.push((self.now + answered_after, number));
            }
            CoreEffect::Evict { .. } => {
                assert!(
                    self.in_flight.is_none()
                        && self.held.is_empty()
                        && (self.answers == 1 || self.client_left)
                );
                self.evicted = true;
            }
            _ => {}
        }
    }

    /// Records the final answer to the client.
    fn answered(&mut self) {
        self.answers += 1;
        assert_eq!(self.answers, 1, "a second answer");
        assert!(!self.client_left, "an answer to a client that has disconnected");
        assert!(self.now <= self.not_after + 8_000 + MAX_STOP_TIME, "a late answer");
    }

    /// Records in the model how the attempt in flight ended, before the reducer is told.
    fn ends(&mut self, outcome: Outcome) -> AttemptInFlight {
        let in_flight = self.in_flight.take().expect("an attempt is in flight");
        if Self::reads(in_flight.server) && (outcome == Outcome::Read || outcome.may_have_run()) {
            self.held.insert(in_flight.server);
            self.ever_held.insert(in_flight.server);
        }
        if !Self::reads(in_flight.server) && outcome.may_have_run() {
            self.ran = self.ran.or(Some(in_flight.sent));
        }
        self.streaming &= !in_flight.stream_started;
        in_flight
    }

    /// Starts or stops the measurement of the hold time.
    fn update_held_since(&mut self) {
        let is_idle = !self.is_with_server() && !self.held.is_empty();
        self.held_since = if is_idle { self.held_since.or(Some(self.now)) } else { None };
    }

    /// Ends the attempt in flight by itself, without a cancellation.
    fn finish_attempt(&mut self, outcome: Outcome) {
        let in_flight = self.ends(outcome);
        let ending = AttemptResult { cached_tokens: 9, ..outcome.into() };
        self.update_held_since();
        self.feed(Input::AttemptFinished { id: ID, attempt: in_flight.number, result: ending });
    }

    /// Reports that the cancelled attempt has stopped; `written` if its last byte may have been written.
    fn report_stop(&mut self, written: bool) {
        let in_flight = self.ends(if written { Outcome::Timeout } else { Outcome::NotSent });
        self.update_held_since();
        self.feed(Input::AttemptStopped { id: ID, attempt: in_flight.number, written });
    }

    /// Advances the time, with the timers of the reducer, confirmations of stops and answers to releases that fall
    /// due.
    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let stop_due = self
                .in_flight
                .as_ref()
                .and_then(|in_flight| in_flight.cancelled_at)
                .map(|at| at + MAX_STOP_TIME);
            self.releases.sort_unstable();
            let answered = self.releases.first().map(|&(at, _)| at);
            let due = self.core.next_due().into_iter().chain(stop_due).chain(answered).min();
            let Some(due) = due.filter(|&due| due <= end) else { break };
            self.now = due.max(self.now);
            if stop_due.is_some_and(|at| at <= self.now) {
                self.report_stop(self.is_with_server() || self.now.is_multiple_of(2));
            }
            if answered.is_some_and(|at| at <= self.now) {
                let (_, number) = self.releases.remove(0);
                self.feed(Input::ReleaseFinished { id: ID, number, answered: true });
            }
            self.feed(Input::Tick);
            let held = self.held_since.map_or(0, |since| self.now - since);
            assert!(held <= MAX_HOLD_TIME + 50_000, "held for {held} us with no attempt in flight");
        }
        self.now = end;
    }

    /// Applies the event that `what` selects; `draw` chooses its details.
    fn step(&mut self, what: u8, draw: u32) {
        let in_flight = self
            .in_flight
            .as_ref()
            .map(|in_flight| (in_flight.server, in_flight.cancelled_at.is_some(), in_flight.stream_started));
        match (what, in_flight) {
            // The stream starts. If the attempt was cancelled, the driver drops the stream and reports the stop
            // instead.
            (0 | 1, Some((server, false, false))) if !Self::reads(server) && self.is_with_server() => {
                let number = self.in_flight.as_mut().map(|in_flight| {
                    in_flight.stream_started = true;
                    in_flight.number
                });
                self.feed(Input::StreamStarted { id: ID, attempt: number.unwrap_or(0) });
            }
            (2..=5, Some((server, _, stream_started))) => {
                let ends = match (Self::reads(server), stream_started) {
                    (_, false) if !self.is_with_server() => {
                        &[Outcome::ConnectFailed, Outcome::Reset, Outcome::Unacknowledged][..]
                    }
                    (_, true) => &[Outcome::Served, Outcome::Reset, Outcome::Timeout][..],
                    (true, _) => {
                        &[Outcome::Read, Outcome::Read, Outcome::Full, Outcome::Reset, Outcome::Error]
                    }
                    (false, _) => &[
                        Outcome::NoState,
                        Outcome::Full,
                        Outcome::Reset,
                        Outcome::Error,
                        Outcome::Unacknowledged,
                    ],
                };
                self.finish_attempt(ends[draw as usize % ends.len()]);
            }
            (6 | 7, Some((_, true, _))) => self.report_stop(self.is_with_server() || draw.is_multiple_of(2)),
            (8, _) if !self.client_left => {
                self.client_left = true;
                if self.streaming {
                    self.in_flight = None; // the stream is dropped with the client's connection
                    self.streaming = false;
                }
                self.update_held_since();
                self.feed(Input::ClientDisconnected(ID));
            }
            (9..=11, _) => {
                let server = draw % SERVERS;
                let health = [Health::Ready, Health::Terminating, Health::Gone][what as usize - 9];
                self.ready.insert(ServerId(server), health == Health::Ready);
                self.feed(Input::EndpointsUpdated {
                    kind: ListUpdateKind::Patch,
                    entries: vec![entry(server, health)],
                });
            }
            // Settings reload: the request keeps the class that it arrived with, even if the class of that name
            // changes.
            (12, _) => {
                let mut effects = EFFECTS;
                effects.rotate_left(draw as usize % 3);
                self.feed(Input::SettingsReloaded(Box::new(settings(effects))));
            }
            // A stalled server process continues.
            (15, Some((_, _, _))) => {
                self.in_flight.as_mut().expect("an attempt is in flight").arrived = true;
                self.update_held_since();
            }
            (13, _) => {
                let left = self.not_after.saturating_sub(self.now);
                self.advance(left);
            }
            _ => self.advance(u64::from(draw % 400) * 1_000),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Drains, the client's disconnect, answers, stops with and without a written byte, the deadline and new
    /// settings, in any order: at most one answer, no second effect, nothing sent after the end, and all held
    /// state released.
    #[test]
    fn in_every_order_of_events_there_is_one_answer_no_second_effect_and_no_state_stays_held(
        class in 0u32..3,
        seed in any::<u64>(),
        steps in prop::collection::vec((0u8..16, any::<u32>()), 1..40),
    ) {
        let core = Core::new(settings(EFFECTS), seed, SECOND, 24);
        let not_after = 4 * SECOND;
        let mut model = RequestModel {
            core,
            now: SECOND,
            effect: EFFECTS[class as usize],
            not_after,
            ready: (0..SERVERS).map(|server| (ServerId(server), true)).collect(),
            in_flight: None,
            ran: None,
            held: BTreeSet::new(),
            ever_held: BTreeSet::new(),
            held_since: None,
            releases: Vec::new(),
            random_state: seed,
            answers: 0,
            client_left: false,
            streaming: false,
            evicted: false,
        };
        let entries = (0..SERVERS).map(|server| entry(server, Health::Ready)).collect();
        model.feed(Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        model.feed(Input::RequestArrived { info: RequestInfo {
            id: ID,
            class,
            session: Some(Key(u64::from(class))),
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 1_000,
            max_tokens: 100,
            hint: None,
            not_after,
        }, received_at: model.now, id_claim: IdClaim::Exclusive });
        for (what, draw) in steps {
            model.step(what, draw);
        }
        // The attempt in flight ends. A stream that has started has no deadline, so its client disconnects.
        let left = model.not_after.saturating_sub(model.now) + SECOND;
        if model.streaming {
            model.step(8, 0);
        }
        model.advance(left);
        prop_assert!(model.in_flight.is_none(), "an attempt never stopped");
        model.advance(SECOND);
        prop_assert!(model.evicted && model.held.is_empty(), "the request was not evicted, or state is still held");
        prop_assert!(model.answers == 1 || model.client_left, "no answer");
        prop_assert_eq!(model.core.open(), 0);
    }
}
