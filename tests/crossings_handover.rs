//! From a reader to a writer: what a read has left is taken or let go within the settings' time, whatever crosses, and
//! nothing lets go of what another read has left since.

mod servers_bed;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dewladder::edge::core::{AttemptResult, Core, Effect as Asks, Input};
use dewladder::interface::*;
use dewladder_test_peers::{body, chunk, event, plain, platform};
use proptest::prelude::*;
use serde_json::{json, Value};
use servers_bed::*;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// `domain.release_within_s`, the 300 ms that sockets have more, and the 50 ms that each time limit has.
const HELD_AT_MOST: Duration = Duration::from_millis(850);
const SOON: Duration = Duration::from_millis(150);

fn unchanged(_: &mut Value) {}

/// Attempts are given up late, so that a busy machine gives none up where that is not at stake.
fn patient(told: &mut Value) {
    for lane in told["settings"]["lanes"].as_array_mut().unwrap() {
        lane["aim_s"] = json!(2.0);
    }
}

fn slow_to_connect(told: &mut Value) {
    patient(told);
    told["settings"]["limits"]["connect_timeout_s"] = json!(2.0);
}

async fn answer(asked: JoinHandle<String>) -> String {
    timeout(Duration::from_secs(8), asked).await.expect("an answer").unwrap()
}

/// A client that can leave.
async fn client(bed: &Bed, id: &str, lane: &str) -> TcpStream {
    let mut client = TcpStream::connect(bed.platform).await.unwrap();
    client.write_all(platform(id, lane, "2.9").as_bytes()).await.unwrap();
    client
}

/// Waits for a release that comes within the time that a state may be held, and says at which server. Requests that
/// come before it are turned away.
async fn released(bed: &mut Bed, id: &str, since: Instant) -> Asked {
    loop {
        let left = (since + HELD_AT_MOST).saturating_duration_since(Instant::now());
        let Some(came) = bed.within(left).await else { panic!("{id} is held for over {HELD_AT_MOST:?}") };
        if came.what == format!("DELETE {id}") {
            return came;
        }
        came.says(&turned_away(503)).await;
    }
}

// ---- How a read ends ----

/// A reader answers as its connection breaks, in every way, and no writer takes what it has read: it is let go.
#[tokio::test]
async fn what_was_read_as_the_connection_broke_is_let_go() {
    for (says, with_reset) in [
        ("HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{\"ca", true),
        ("HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{\"ca", false),
        ("HTTP/1.1 202 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"c", true),
        ("HTTP/1.1 202 X\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", false),
        ("HTTP/1.1 202 X\r\nConnection: close\r\n\r\n{}", false),
        ("HTTP/1.1 20", true),
        ("", true),
        ("", false),
    ] {
        let mut bed = Bed::start(&[READER, WRITER], patient).await;
        let mut asked = bed.asks("01", "book", "2.0");
        let reading = bed.expect("POST 01").await;
        reading.says(says).await;
        sleep(Duration::from_millis(5)).await; // it comes before the break: a reset takes what is not read yet
        reading.line.closes(with_reset).await;
        let (mut held, mut let_go) = (Some(Instant::now()), false);
        let answered = loop {
            tokio::select! {
                answer = &mut asked => break answer.unwrap(),
                came = bed.next() => match (came.what.as_str(), came.server) {
                    ("POST 01", 0) => {
                        came.says(&read()).await;
                        held = Some(Instant::now());
                    }
                    ("POST 01", _) => came.says(&turned_away(503)).await,
                    _ => {
                        let_go |= held.is_some_and(|held| came.came > held);
                        came.says(&plain(204, "", "")).await;
                    }
                },
            }
        };
        assert!(matches!(status(&answered), 502 | 503), "{says:?}: {answered}");
        if !let_go {
            released(&mut bed, "01", Instant::now()).await;
        }
    }
}

/// The client leaves as its read ends, in either order and however the read ends: no writer is asked later, and what
/// may have been read is let go.
#[tokio::test]
async fn what_is_read_as_the_client_leaves_is_let_go() {
    for leaves_first in [true, false] {
        for breaks in [true, false] {
            let mut bed = Bed::start(&[READER, WRITER], patient).await;
            let client = client(&bed, "01", "book").await;
            let reading = bed.expect("POST 01").await;
            if leaves_first {
                drop(client);
                if breaks {
                    reading.line.closes(true).await;
                } else {
                    reading.says(&read()).await;
                }
            } else {
                if breaks {
                    reading.line.closes(true).await;
                } else {
                    reading.says(&read()).await;
                }
                drop(client);
            }
            let left = Instant::now();
            let mut let_go = false;
            for came in bed.all_within(Duration::from_millis(500)).await {
                let late = came.came.saturating_duration_since(left);
                let posted = came.what.starts_with("POST");
                assert!(
                    !posted || late < Duration::from_millis(100),
                    "{leaves_first} {breaks}: {came:?} {late:?}"
                );
                let_go |= came.what == "DELETE 01";
            }
            assert!(let_go, "{leaves_first} {breaks}: nothing was let go");
        }
    }
}

/// A read that was given up may have ended well just then. Another reader reads anew; when the request fails, what
/// either has left is let go.
#[tokio::test]
async fn what_a_given_up_read_may_have_left_is_let_go_at_the_end() {
    let mut bed = Bed::start(&[READER, READER, WRITER], unchanged).await;
    let asked = bed.asks("01", "book", "2.9");
    let first = bed.expect("POST 01").await;
    // Silent for longer than its patience; then its answer crosses the closing.
    first.line.ended().await;
    first.says(&read()).await;
    bed.expect("DELETE 01").await.says(&plain(204, "", "")).await;
    let second = bed.expect("POST 01").await;
    assert_ne!(second.server, first.server, "the other is asked");
    second.says(&read()).await;
    let writing = bed.expect("POST 01").await;
    writing.says(&plain(500, "", "no")).await;
    let end = Instant::now();
    assert_eq!(status(&answer(asked).await), 502);
    let mut asked = BTreeSet::new();
    while let Some(came) = bed.within((end + HELD_AT_MOST).saturating_duration_since(Instant::now())).await {
        assert_eq!(came.what, "DELETE 01");
        asked.insert(came.server);
        came.says(&plain(204, "", "")).await;
    }
    assert!(!asked.is_empty(), "nobody was asked to let go");
}

/// A reader ends its read just before it sees that the attempt was given up, and after the release that follows has been
/// handled elsewhere: what it left then is let go of by a second release. So it is with a writer, which keeps the state for
/// an attempt until it sees its close. What has been answered needs one only.
#[tokio::test]
async fn what_a_read_leaves_that_ends_between_its_close_and_its_release_is_let_go() {
    for given_up in [Some(READER), Some(WRITER), None] {
        let mut bed = Bed::start(&[READER, WRITER], patient).await;
        let client = client(&bed, "01", "book").await;
        let reading = bed.expect("POST 01").await;
        if given_up != Some(READER) {
            reading.says(&read()).await;
            let writing = bed.expect("POST 01").await; // the writer has it
            if given_up.is_none() {
                writing.says(&plain(500, "", "no")).await;
            }
        }
        drop(client);
        let release = released(&mut bed, "01", Instant::now()).await;
        release.says(&plain(204, "", "")).await;
        let again = bed.within(HELD_AT_MOST).await.map(|came| came.what);
        let expected = given_up.map(|_| "DELETE 01".to_owned());
        assert_eq!(again, expected, "given up: {given_up:?}");
    }
}

// ---- A writer that does not take it ----

/// No connection to the only writer comes up: what was read is let go in time, counted from the read's end.
#[tokio::test]
async fn what_no_writer_can_be_reached_for_is_let_go_in_time() {
    for lane in ["ask", "book"] {
        let mut bed = Bed::start(&[READER, WRITER], patient).await;
        bed.shuts(1).await;
        let _asked = bed.asks("01", lane, "2.9");
        let reading = bed.expect("POST 01").await;
        reading.says(&read()).await;
        released(&mut bed, "01", Instant::now()).await;
    }
}

/// The same where the settings let a connect take longer than a state may be held: while connections fail to come up,
/// that time goes on running.
#[tokio::test]
async fn what_waits_for_a_slow_connect_is_let_go_in_time() {
    let mut bed = Bed::start(&[READER, WRITER], slow_to_connect).await;
    bed.shuts(1).await;
    let _asked = bed.asks("01", "book", "2.9");
    let reading = bed.expect("POST 01").await;
    reading.says(&read()).await;
    released(&mut bed, "01", Instant::now()).await;
}

/// A writer is cut off with its connection up: the request's last byte never reaches it (here: its machine takes no
/// more than the first part of a long one). A call counts only once its last byte has come, so the time goes on.
#[tokio::test]
async fn what_is_sent_into_a_silent_connection_is_let_go_in_time() {
    let mut bed = Bed::start(&[READER, WRITER], patient).await;
    bed.takes_little(1);
    let filler = "a".repeat(250_000);
    let text = platform("01", "book", "2.9")
        .replace("Content-Length: 15", &format!("Content-Length: {}", 15 + filler.len() + 7))
        .replace("{\"stream\":true}", &format!("{{\"stream\":true,\"m\":\"{filler}\"}}"));
    let to = bed.platform;
    let _asked = tokio::spawn(async move { dewladder_test_peers::until_close(to, &text).await });
    let reading = bed.expect("POST 01").await;
    reading.says(&read()).await;
    released(&mut bed, "01", Instant::now()).await;
}

/// A writer's machine is cut off while a connection to it is open: the connection stays silent with no error, though the
/// system has taken all bytes and acknowledged them, and a new one does not come up. What was sent has not arrived.
#[tokio::test]
async fn what_is_sent_over_an_open_connection_to_a_machine_that_is_cut_off_is_let_go_in_time() {
    for lane in ["ask", "book"] {
        let mut bed = Bed::start(&[READER, WRITER], patient).await;
        let first = bed.asks("01", lane, "2.9");
        bed.expect("POST 01").await.says(&read()).await;
        bed.expect("POST 01").await.says(&stream(1)).await;
        assert_eq!(status(&answer(first).await), 200);
        sleep(SOON).await; // its connections can be used again
        bed.shuts(1).await;
        let _asked = bed.asks("02", lane, "2.9");
        let reading = bed.expect("POST 02").await;
        reading.says(&read()).await;
        let since = Instant::now();
        loop {
            let left = (since + HELD_AT_MOST).saturating_duration_since(Instant::now());
            let Some(came) = bed.within(left).await else { panic!("{lane}: held for over {HELD_AT_MOST:?}") };
            if came.what == "DELETE 02" {
                break;
            }
            assert_eq!(
                came.server, 1,
                "{lane}: sent to the writer over the open connection, and never answered"
            );
        }
    }
}

/// Open connections fall silent with no error, and new ones come up: what is held reaches a server, or is let go, in time.
#[tokio::test]
async fn what_is_held_does_not_wait_for_an_open_connection_that_has_fallen_silent() {
    for lane in ["ask", "book"] {
        let mut bed = Bed::start(&[READER, WRITER], patient).await;
        let first = bed.asks("01", lane, "2.9");
        bed.expect("POST 01").await.says(&read()).await;
        bed.expect("POST 01").await.says(&stream(1)).await;
        assert_eq!(status(&answer(first).await), 200);
        sleep(SOON).await; // its connections can be used again
        bed.silences(1);
        let _asked = bed.asks("02", lane, "2.9");
        bed.expect("POST 02").await.says(&read()).await;
        let came = bed.within(HELD_AT_MOST).await;
        assert!(came.is_some(), "{lane}: neither sent nor let go of in {HELD_AT_MOST:?}");
    }
}

/// Sends that no machine acknowledges have not reached a server: the time that a state may be held goes on from the
/// read's end, however many writers are tried, and what was read is let go when it is over.
#[test]
fn the_time_of_what_is_held_goes_on_while_nothing_is_acknowledged() {
    let mut core = Core::new(settings([Effect::Idempotent; 3]), 3, SECOND, 24);
    let entries = (0..SERVERS).map(|server| entry(server, Health::Ready)).collect();
    let mut now = SECOND;
    core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    let call = RequestInfo {
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
    let mut effects = core.step(now, Input::RequestArrived(call));
    let (mut read_at, mut unacknowledged) = (None, 0);
    while now < 4 * SECOND {
        let mut next = Vec::new();
        for effect in std::mem::take(&mut effects) {
            match effect {
                Asks::Send { id, attempt, reads: true, .. } => {
                    now += 10_000;
                    read_at = Some(now);
                    next.extend(
                        core.step(now, Input::AttemptFinished { id, attempt, result: Outcome::Read.into() }),
                    );
                }
                Asks::Send { id, attempt, begin_by, .. } => {
                    assert!(begin_by <= read_at.expect("a read") + RELEASE, "at {now}: {begin_by}");
                    now += 120_000;
                    unacknowledged += 1;
                    let ending = Outcome::Unacknowledged.into();
                    next.extend(core.step(now, Input::AttemptFinished { id, attempt, result: ending }));
                }
                Asks::ReleaseHeldState { .. } => {
                    let held = now - read_at.expect("a read");
                    assert!(unacknowledged > 1, "one writer was tried");
                    assert!(held <= RELEASE + 130_000, "held for {held} us");
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
    panic!("never let go");
}

/// The only writer begins to drain between the read's end and the send, or while the read is out: nothing new is sent
/// to it then, and what was read is let go in time.
#[tokio::test]
async fn what_a_draining_writer_can_not_take_is_let_go_in_time() {
    let mut bed = Bed::start(&[READER, WRITER], patient).await;
    let asked = bed.asks("01", "book", "2.9");
    let reading = bed.expect("POST 01").await;
    bed.drains(&[1]);
    sleep(Duration::from_millis(100)).await; // the agent has told it
    reading.says(&read()).await;
    let came = released(&mut bed, "01", Instant::now()).await;
    came.says(&plain(204, "", "")).await;
    assert_eq!(status(&answer(asked).await), 503, "it never ran");
    assert!(bed.lines_of(1).is_empty() || came.server == 1, "nothing was sent to the one that drains");
}

/// Both at once: the writer drains as the read ends, with nothing between. Whatever is sent, it is sent once.
#[tokio::test]
async fn a_drain_that_crosses_the_reads_end_leaves_nothing_held() {
    for drain_first in [true, false] {
        let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
        let asked = bed.asks("01", "book", "2.9");
        let reading = bed.expect("POST 01").await;
        if drain_first {
            bed.drains(&[1]);
            reading.says(&read()).await;
        } else {
            reading.says(&read()).await;
            bed.drains(&[1]);
        }
        let writing = bed.expect("POST 01").await;
        writing.says(&stream(1)).await;
        assert_eq!(status(&answer(asked).await), 200);
        let later = bed.all_within(SOON).await;
        assert!(later.iter().all(|came| came.what.starts_with("DELETE")), "{later:?}");
    }
}

/// A writer that is drained, has no state, then none is reachable: each time what is held is let go in time, also where
/// the first says 410 and the second can't be connected to.
#[tokio::test]
async fn no_state_then_no_connection_leaves_nothing_held() {
    let many = |told: &mut Value| {
        patient(told);
        told["settings"]["limits"]["max_attempts"] = json!(20);
    };
    let mut bed = Bed::start(&[READER, WRITER], many).await;
    let _asked = bed.asks("01", "book", "2.9");
    bed.expect("POST 01").await.says(&read()).await;
    let writing = bed.expect("POST 01").await;
    writing.says(&turned_away(410)).await;
    writing.line.closes(false).await;
    bed.shuts(1).await;
    let second = bed.post().await;
    assert_eq!((second.server, second.what.as_str()), (0, "POST 01"), "read anew");
    // The release of what the first read left is over before the second has ended.
    for came in bed.all_within(SOON).await {
        came.says(&plain(204, "", "")).await;
    }
    for came in bed.all_within(SOON).await {
        came.says(&plain(204, "", "")).await;
    }
    second.says(&read()).await;
    released(&mut bed, "01", Instant::now()).await;
}

// ---- Releases ----

/// What was read is to be let go, and the holder's answer to that fails in every way: another server is asked in time.
#[tokio::test]
async fn a_release_that_fails_at_the_holder_is_asked_of_another_server() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Fails {
        Resets,
        Ends,
        IsSilent,
        Refuses(u16),
        IsDead,
    }
    let mut wrong = Vec::new();
    for how in [
        Fails::Resets,
        Fails::Ends,
        Fails::IsSilent,
        Fails::IsDead,
        Fails::Refuses(503),
        Fails::Refuses(500),
        Fails::Refuses(404),
    ] {
        let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
        let asked = bed.asks("01", "book", "2.9");
        bed.expect("POST 01").await.says(&read()).await;
        let writing = bed.expect("POST 01").await;
        if how == Fails::IsDead {
            bed.dies(0).await;
        }
        writing.says(&plain(500, "", "no")).await;
        let end = Instant::now();
        assert_eq!(status(&answer(asked).await), 502);
        let mut at = None;
        while let Some(came) =
            bed.within((end + HELD_AT_MOST).saturating_duration_since(Instant::now())).await
        {
            assert_eq!(came.what, "DELETE 01");
            if came.server != 0 {
                at = Some(came.server);
                came.says(&plain(204, "", "")).await;
                break;
            }
            match how {
                Fails::Resets => came.line.closes(true).await,
                Fails::Ends => came.line.closes(false).await,
                Fails::Refuses(503) => came.says(&turned_away(503)).await,
                Fails::Refuses(code) => came.says(&plain(code, "", "")).await,
                Fails::IsSilent | Fails::IsDead => {}
            }
        }
        wrong.extend(at.is_none().then_some(how));
    }
    assert!(wrong.is_empty(), "nobody else was asked where the holder {wrong:?}");
}

/// Nobody answers a release for a while: it is asked again until one does.
#[tokio::test]
async fn a_release_that_nobody_answers_is_asked_again() {
    let mut bed = Bed::start(&[READER, WRITER], patient).await;
    let asked = bed.asks("01", "book", "2.9");
    bed.expect("POST 01").await.says(&read()).await;
    bed.expect("POST 01").await.says(&plain(500, "", "no")).await;
    assert_eq!(status(&answer(asked).await), 502);
    for _ in 0..8 {
        bed.expect("DELETE 01").await;
    }
    bed.expect("DELETE 01").await.says(&plain(204, "", "")).await;
}

/// A writer has no state, and the reader that was to hold it is silent. The request is read anew; a release that is
/// still being asked for must not let go of what the new read has left.
#[tokio::test]
async fn a_release_that_is_late_lets_go_of_no_newer_read() {
    for readers in [&[READER, WRITER][..], &[READER, READER, WRITER]] {
        let mut bed = Bed::start(readers, patient).await;
        let asked = bed.asks("01", "book", "2.9");
        bed.expect("POST 01").await.says(&read()).await;
        bed.expect("POST 01").await.says(&turned_away(410)).await;
        // The release comes before the new read, and is not answered, whoever is asked.
        let mut second = bed.expect("DELETE 01").await;
        while second.what == "DELETE 01" {
            second = bed.next().await;
        }
        assert_eq!(second.what, "POST 01");
        assert!(second.server + 1 < readers.len(), "it is read anew");
        second.says(&read()).await;
        let made = Instant::now();
        let mut late = Vec::new();
        let mut writing = None;
        for came in bed.all_within(Duration::from_millis(400)).await {
            match came.what.as_str() {
                // Without the guard they go on for as long as this looks.
                "DELETE 01" if came.came > made => {
                    late.push((came.server, came.came - made));
                }
                "DELETE 01" => {}
                _ => writing = Some(came),
            }
        }
        writing.expect("it goes on to the writer").says(&stream(1)).await;
        assert_eq!(status(&answer(asked).await), 200);
        assert!(late.is_empty(), "{} servers: let go after the new read: {late:?}", readers.len());
    }
}

/// The client leaves, or its time runs out, while the state waits for a connection to a writer: it is let go in time.
#[tokio::test]
async fn what_waits_as_the_request_ends_is_let_go_in_time() {
    for leaves in [true, false] {
        let mut bed = Bed::start(&[READER, WRITER], slow_to_connect).await;
        bed.shuts(1).await;
        let (client, remaining) = (client(&bed, "01", "book").await, bed.asks("02", "book", "0.3"));
        let mut ids = BTreeSet::new();
        for _ in 0..2 {
            let reading = bed.next().await;
            ids.insert(reading.what.clone());
            reading.says(&read()).await;
        }
        assert_eq!(ids.len(), 2);
        let id = if leaves { "01" } else { "02" };
        if leaves {
            sleep(Duration::from_millis(50)).await; // the connect is under way
            drop(client);
            released(&mut bed, id, Instant::now()).await;
        } else {
            assert_ne!(status(&answer(remaining).await), 200);
            released(&mut bed, id, Instant::now()).await;
        }
    }
}

/// With the first event all that is held goes by itself: the stream goes on to its end, whatever a second reader has
/// left, and nothing else is sent for the request.
#[tokio::test]
async fn with_the_first_event_nothing_more_is_sent() {
    let mut bed = Bed::start(&[READER, READER, WRITER], unchanged).await;
    let asked = bed.asks("01", "book", "2.9");
    let first = bed.expect("POST 01").await;
    first.line.ended().await; // given up, and read at the other
    bed.expect("DELETE 01").await.says(&plain(204, "", "")).await;
    bed.expect("POST 01").await.says(&read()).await;
    let writing = bed.expect("POST 01").await;
    writing.says(&format!("{STREAM}{}", chunk(&event(1)))).await;
    let later = bed.all_within(Duration::from_millis(200)).await;
    assert!(later.iter().all(|came| !came.what.starts_with("POST")), "{later:?}");
    writing.says("0\r\n\r\n").await;
    let answer = answer(asked).await;
    assert_eq!((status(&answer), body(&answer)), (200, (event(1), true)));
}

// ---- All orders, at the reducer ----

const SECOND: Micros = 1_000_000;
const RELEASE: Micros = SECOND / 2;
/// A stop is carried out within so much.
const STOPS: Micros = 30_000;

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
        max_hold_time: RELEASE,
        min_batch_interval: 2_000,
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

/// An attempt that is out.
#[derive(Debug)]
struct Out {
    number: u32,
    server: ServerId,
    sent: Micros,
    /// When it was told to stop.
    stopping: Option<Micros>,
    begun: bool,
    /// A server that runs has it; one that stands still has not, though its machine took all bytes.
    arrived: bool,
}

/// One request, as its client and its servers see it.
struct Orders {
    core: Core,
    now: Micros,
    effect: Effect,
    not_after: Micros,
    ready: BTreeMap<ServerId, bool>,
    out: Option<Out>,
    /// The first attempt that may have run.
    ran: Option<Micros>,
    held: BTreeSet<ServerId>,
    /// All that was ever held, or may have been.
    ever_held: BTreeSet<ServerId>,
    /// Since when something is held with no attempt at a server that runs.
    held_since: Option<Micros>,
    /// Releases that are not answered yet: when that is told, and their numbers.
    releases: Vec<(Micros, u64)>,
    /// Draws whether attempts arrive, and when releases are answered.
    draws: u64,
    answers: u32,
    gone: bool,
    streaming: bool,
    forgotten: bool,
}

const ID: RequestId = RequestId(1);

impl Orders {
    fn reads(server: ServerId) -> bool {
        server.0.is_multiple_of(3)
    }

    fn draw(&mut self) -> u64 {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.draws >> 33
    }

    /// Whether an attempt is with a server that runs.
    fn is_with_server(&self) -> bool {
        self.out.as_ref().is_some_and(|out| out.arrived)
    }

    /// Whether a server that runs has an attempt that waits for what is held.
    fn is_awaited(&self) -> bool {
        self.out.as_ref().is_some_and(|out| out.arrived && !Self::reads(out.server))
    }

    fn tell(&mut self, input: Input) {
        for effect in self.core.step(self.now, input) {
            self.check(effect);
        }
    }

    fn check(&mut self, effect: Asks) {
        match effect {
            Asks::Send { attempt, server, attempt_deadline, .. } => {
                assert!(!self.gone && self.answers == 0, "sent after the end");
                assert!(self.out.is_none(), "a second copy beside one that is out");
                assert!(self.ready[&server], "sent to a server that is not up");
                assert!(self.now < attempt_deadline && attempt_deadline <= self.not_after);
                match (self.effect, self.ran) {
                    (Effect::AtMostOnce, Some(_)) => panic!("a second effect"),
                    (Effect::Deduplicated, Some(ran)) => assert!(self.now < ran + SECOND, "after the window"),
                    _ => {}
                }
                let arrived = !self.draw().is_multiple_of(3);
                self.out = Some(Out {
                    number: attempt,
                    server,
                    sent: self.now,
                    stopping: None,
                    begun: false,
                    arrived,
                });
                self.hold();
            }
            Asks::CancelAttempt { attempt, .. } => {
                let out = self.out.as_mut().filter(|out| out.number == attempt).expect("it is out");
                assert!(
                    out.stopping.is_none() && !(out.begun && self.streaming),
                    "stopped twice, or the client's own"
                );
                out.stopping = Some(self.now);
            }
            Asks::Relay { attempt, .. } => {
                assert!(self.out.as_ref().is_some_and(|out| out.number == attempt && out.stopping.is_none()));
                self.answered();
                self.streaming = true;
                (self.held, self.held_since) = (BTreeSet::new(), None);
                self.ran = self.ran.or(self.out.as_ref().map(|out| out.sent));
            }
            Asks::Reject { .. } => {
                assert!(
                    self.ran.is_none() || self.effect != Effect::AtMostOnce,
                    "refused though it may have run"
                );
                self.answered();
            }
            Asks::Fail { .. } => self.answered(),
            Asks::ReleaseHeldState { holders, number, .. } => {
                let reads = self.out.as_ref().is_some_and(|out| Self::reads(out.server));
                assert!(!reads, "a release would let go of what the read leaves that is out");
                let holders: BTreeSet<_> = holders.into_iter().collect();
                assert!(holders.is_superset(&self.held) && holders.is_subset(&self.ever_held));
                // What an attempt waits for stays.
                if !self.is_awaited() {
                    (self.held, self.held_since) = (BTreeSet::new(), None);
                }
                let answered_after = [1_000, 8_000, 60_000, 400_000][self.draw() as usize % 4];
                self.releases.push((self.now + answered_after, number));
            }
            Asks::Evict { .. } => {
                assert!(self.out.is_none() && self.held.is_empty() && (self.answers == 1 || self.gone));
                self.forgotten = true;
            }
            _ => {}
        }
    }

    fn answered(&mut self) {
        self.answers += 1;
        assert_eq!(self.answers, 1, "a second answer");
        assert!(!self.gone, "an answer to a client that has left");
        assert!(self.now <= self.not_after + 8_000 + STOPS, "a late answer");
    }

    /// Takes down how an attempt has ended, before the reducer is told.
    fn ends(&mut self, outcome: Outcome) -> Out {
        let out = self.out.take().expect("out");
        if Self::reads(out.server) && (outcome == Outcome::Read || outcome.may_have_run()) {
            self.held.insert(out.server);
            self.ever_held.insert(out.server);
        }
        if !Self::reads(out.server) && outcome.may_have_run() {
            self.ran = self.ran.or(Some(out.sent));
        }
        self.streaming &= !out.begun;
        out
    }

    fn hold(&mut self) {
        let is_idle = !self.is_with_server() && !self.held.is_empty();
        self.held_since = if is_idle { self.held_since.or(Some(self.now)) } else { None };
    }

    fn finishes(&mut self, outcome: Outcome) {
        let out = self.ends(outcome);
        let ending = AttemptResult { cached_tokens: 9, ..outcome.into() };
        self.hold();
        self.tell(Input::AttemptFinished { id: ID, attempt: out.number, result: ending });
    }

    fn has_stopped(&mut self, written: bool) {
        let out = self.ends(if written { Outcome::Timeout } else { Outcome::NotSent });
        self.hold();
        self.tell(Input::AttemptStopped { id: ID, attempt: out.number, written });
    }

    /// Time goes on; a stop is answered in time.
    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let stopped = self.out.as_ref().and_then(|out| out.stopping).map(|at| at + STOPS);
            self.releases.sort_unstable();
            let answered = self.releases.first().map(|&(at, _)| at);
            let due = self.core.next_due().into_iter().chain(stopped).chain(answered).min();
            let Some(due) = due.filter(|&due| due <= end) else { break };
            self.now = due.max(self.now);
            if stopped.is_some_and(|at| at <= self.now) {
                self.has_stopped(self.is_with_server() || self.now.is_multiple_of(2));
            }
            if answered.is_some_and(|at| at <= self.now) {
                let (_, number) = self.releases.remove(0);
                self.tell(Input::ReleaseFinished { id: ID, number, answered: true });
            }
            self.tell(Input::Tick);
            let held = self.held_since.map_or(0, |since| self.now - since);
            assert!(held <= RELEASE + 50_000, "held for {held} us with nothing out");
        }
        self.now = end;
    }

    fn step(&mut self, what: u8, lot: u32) {
        let out = self.out.as_ref().map(|out| (out.server, out.stopping.is_some(), out.begun));
        match (what, out) {
            // It begins; where it is being stopped, the driver drops the stream and says that it has stopped.
            (0 | 1, Some((server, false, false))) if !Self::reads(server) && self.is_with_server() => {
                let number = self.out.as_mut().map(|out| {
                    out.begun = true;
                    out.number
                });
                self.tell(Input::StreamStarted { id: ID, attempt: number.unwrap_or(0) });
            }
            (2..=5, Some((server, _, begun))) => {
                let ends = match (Self::reads(server), begun) {
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
                self.finishes(ends[lot as usize % ends.len()]);
            }
            (6 | 7, Some((_, true, _))) => self.has_stopped(self.is_with_server() || lot.is_multiple_of(2)),
            (8, _) if !self.gone => {
                self.gone = true;
                if self.streaming {
                    self.out = None; // its stream is dropped with the client's connection
                    self.streaming = false;
                }
                self.hold();
                self.tell(Input::ClientDisconnected(ID));
            }
            (9..=11, _) => {
                let server = lot % SERVERS;
                let health = [Health::Ready, Health::Terminating, Health::Gone][what as usize - 9];
                self.ready.insert(ServerId(server), health == Health::Ready);
                self.tell(Input::EndpointsUpdated {
                    kind: ListUpdateKind::Patch,
                    entries: vec![entry(server, health)],
                });
            }
            // The class that the request came with goes on for it, whatever is said of its name from now on.
            (12, _) => {
                let mut effects = EFFECTS;
                effects.rotate_left(lot as usize % 3);
                self.tell(Input::SettingsReloaded(Box::new(settings(effects))));
            }
            // A server that stood still goes on.
            (15, Some((_, _, _))) => {
                self.out.as_mut().expect("out").arrived = true;
                self.hold();
            }
            (13, _) => {
                let left = self.not_after.saturating_sub(self.now);
                self.pass(left);
            }
            _ => self.pass(u64::from(lot % 400) * 1_000),
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

    /// Drains, the client's leaving, answers, stops with and without a written byte, the deadline and new settings, in
    /// every order: one answer at most, no second effect, nothing sent after the end, and all that is held let go.
    #[test]
    fn in_every_order_there_is_one_answer_no_second_effect_and_nothing_stays_held(
        class in 0u32..3,
        seed in any::<u64>(),
        steps in prop::collection::vec((0u8..16, any::<u32>()), 1..40),
    ) {
        let core = Core::new(settings(EFFECTS), seed, SECOND, 24);
        let not_after = 4 * SECOND;
        let mut orders = Orders {
            core,
            now: SECOND,
            effect: EFFECTS[class as usize],
            not_after,
            ready: (0..SERVERS).map(|server| (ServerId(server), true)).collect(),
            out: None,
            ran: None,
            held: BTreeSet::new(),
            ever_held: BTreeSet::new(),
            held_since: None,
            releases: Vec::new(),
            draws: seed,
            answers: 0,
            gone: false,
            streaming: false,
            forgotten: false,
        };
        let entries = (0..SERVERS).map(|server| entry(server, Health::Ready)).collect();
        orders.tell(Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        orders.tell(Input::RequestArrived(RequestInfo {
            id: ID,
            class,
            session: Some(Key(u64::from(class))),
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 1_000,
            max_tokens: 100,
            hint: None,
            not_after,
        }));
        for (what, lot) in steps {
            orders.step(what, lot);
        }
        // What is out comes to an end; a stream that has begun has no deadline, and its client leaves.
        let left = orders.not_after.saturating_sub(orders.now) + SECOND;
        if orders.streaming {
            orders.step(8, 0);
        }
        orders.pass(left);
        prop_assert!(orders.out.is_none(), "never stopped");
        orders.pass(SECOND);
        prop_assert!(orders.forgotten && orders.held.is_empty(), "something stays");
        prop_assert!(orders.answers == 1 || orders.gone, "no answer");
        prop_assert_eq!(orders.core.open(), 0);
    }
}
