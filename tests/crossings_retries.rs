//! Further attempts, and the connections that they go over: where two events cross, a class that must not run twice
//! is sent again only with proof that it never ran, and no answer is taken for another request's.

mod servers_bed;

use std::time::Duration;

use dewladder_test_peers::{body, event, plain, platform};
use serde_json::{json, Value};
use servers_bed::*;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// Long enough for what would wrongly be sent to come: the dispatcher decides within microseconds.
const SOON: Duration = Duration::from_millis(150);
/// Room that the rules on sockets give each time limit.
const ROOM: f64 = 0.05;

/// Attempts are given up late, so that a busy machine gives none up where that is not at stake.
fn patient(told: &mut Value) {
    for lane in told["settings"]["lanes"].as_array_mut().unwrap() {
        lane["aim_s"] = json!(2.0);
    }
}

/// The answer of a request that is waited for; one that never comes fails the test.
async fn answer(asked: tokio::task::JoinHandle<String>) -> String {
    timeout(Duration::from_secs(8), asked).await.expect("an answer").unwrap()
}

/// Has the reader read a request, and returns what then comes to a writer.
async fn read_then(bed: &mut Bed, id: &str) -> Asked {
    let reading = bed.expect(&format!("POST {id}")).await;
    assert_eq!(reading.server, 0);
    reading.says(&read()).await;
    let writing = bed.expect(&format!("POST {id}")).await;
    assert_ne!(writing.server, 0);
    writing
}

fn posts(all: &[Asked], id: &str) -> usize {
    all.iter().filter(|asked| asked.what == format!("POST {id}")).count()
}

// ---- Proof that an attempt never ran ----

/// A refused connect crosses nothing: it proves that the attempt never ran, so a booking goes to the other writer.
#[tokio::test]
async fn a_refused_connect_is_proof_and_a_booking_goes_on_to_the_other_writer() {
    let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
    bed.dies(2).await;
    for at in 0..8 {
        let id = format!("0{at}");
        let asked = bed.asks(&id, "book", "2.9");
        let writing = read_then(&mut bed, &id).await;
        assert_eq!(writing.server, 1);
        writing.says(&stream(at)).await;
        let answer = answer(asked).await;
        assert!(status(&answer) == 200 && body(&answer).1, "{answer}");
    }
}

/// The connection ends right after the last byte of a booking, in good order or by a reset, before or within the head
/// of an answer: it may have run, and no writer is asked again.
#[tokio::test]
async fn an_end_right_after_the_last_byte_is_no_proof() {
    for with_reset in [true, false] {
        for begun in ["", "HTTP/1.1 503 X\r\nX-Turned-", STREAM] {
            let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
            let asked = bed.asks("01", "book", "2.9");
            let writing = read_then(&mut bed, "01").await;
            writing.says(begun).await;
            writing.line.closes(with_reset).await;
            let answer = answer(asked).await;
            let later = bed.all_within(SOON).await;
            assert_eq!((status(&answer), posts(&later, "01")), (502, 0), "{with_reset} {begun:?}: {later:?}");
        }
    }
}

/// Turned away is proof with its header, and no proof without it.
#[tokio::test]
async fn only_the_header_makes_a_status_proof_that_a_booking_never_ran() {
    for code in [503, 504, 410] {
        let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
        let asked = bed.asks("01", "book", "2.9");
        read_then(&mut bed, "01").await.says(&turned_away(code)).await;
        let mut next = bed.post().await;
        if code == 410 {
            assert_eq!((next.server, next.what.as_str()), (0, "POST 01"), "read anew");
            next.says(&read()).await;
            next = bed.post().await;
        }
        assert_eq!(next.what, "POST 01");
        next.says(&stream(1)).await;
        assert_eq!(status(&answer(asked).await), 200, "{code}");

        for header in ["", "X-Turned-Away: 0\r\n"] {
            let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
            let asked = bed.asks("01", "book", "2.9");
            read_then(&mut bed, "01").await.says(&plain(code, header, "")).await;
            let answer = answer(asked).await;
            let later = bed.all_within(SOON).await;
            assert_eq!((status(&answer), posts(&later, "01")), (502, 0), "{code} {header}: {later:?}");
        }
    }
}

/// A writer answers as only a reader may: what it has done is not known, so a booking that it got may have run, and
/// nobody is asked again.
#[tokio::test]
async fn a_writer_that_answers_as_a_reader_may_have_run_what_it_was_sent() {
    let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
    let asked = bed.asks("01", "book", "2.9");
    read_then(&mut bed, "01").await.says(&read()).await;
    let later = bed.all_within(SOON).await;
    assert_eq!(posts(&later, "01"), 0, "sent again with no proof: {later:?}");
    assert_eq!(status(&answer(asked).await), 502);
}

/// The same of a server that does both: it is to answer, not to read only.
#[tokio::test]
async fn a_mixed_server_that_answers_as_a_reader_may_have_run_what_it_was_sent() {
    let mut bed = Bed::start(&[MIXED, MIXED], patient).await;
    let asked = bed.asks("01", "book", "2.9");
    bed.expect("POST 01").await.says(&read()).await;
    let later = bed.all_within(SOON).await;
    assert_eq!(posts(&later, "01"), 0, "sent again with no proof: {later:?}");
    assert_eq!(status(&answer(asked).await), 502);
}

/// A reader answers as only a writer may: nothing was written for the request, so no client gets it as its answer.
#[tokio::test]
async fn a_stream_that_comes_from_a_reader_is_no_answer() {
    for lane in ["ask", "book"] {
        let mut bed = Bed::start(&[READER, WRITER], patient).await;
        let mut asked = bed.asks("01", lane, "0.6");
        let answer = loop {
            tokio::select! {
                answer = &mut asked => break answer.unwrap(),
                came = bed.next() => match came.server {
                    _ if came.what.starts_with("DELETE") => came.says(&plain(204, "", "")).await,
                    0 => came.says(&stream(7)).await,
                    _ => came.says(&stream(1)).await,
                },
            }
        };
        assert!(!answer.contains(&event(7)), "{lane}: {answer}");
    }
}

// ---- A second answer on a kept connection ----

#[derive(Clone, Copy, Debug)]
enum Late {
    /// Right after the last byte of the next request.
    BehindTheNext,
    /// 5 ms after the first answer, while the connection lies idle.
    OnTheIdle,
    /// 5 ms after the first answer, while the next request may be out.
    Beside,
}
const LATES: [Late; 3] = [Late::OnTheIdle, Late::BehindTheNext, Late::Beside];

/// A server gives two answers to one request, the second late. Says what is wrong with what becomes of the next one;
/// whether that one came in time for them to cross.
async fn second_answer(of: usize, first: &str, second: &str, when: Late) -> Result<bool, String> {
    let mut bed = Bed::start(&[READER, WRITER], patient).await;
    let asked = bed.asks("01", "book", "2.9");
    let reading = bed.expect("POST 01").await;
    reading.says(if of == 0 { first } else { "HTTP/1.1 202 X\r\nContent-Length: 2\r\n\r\n{}" }).await;
    let writing = bed.expect("POST 01").await;
    let streamed = stream(1);
    writing.says(if of == 1 { first } else { &streamed }).await;
    let old = [reading.line, writing.line][of].clone();
    let beside = {
        let (old, second) = (old.clone(), second.to_owned());
        async move {
            sleep(Duration::from_millis(5)).await;
            old.says(&second).await;
        }
    };
    let beside = matches!(when, Late::Beside).then(|| tokio::spawn(beside));
    assert_eq!(status(&answer(asked).await), 200);
    match when {
        Late::OnTheIdle => {
            sleep(Duration::from_millis(5)).await;
            old.says(second).await;
        }
        // The connection is back among those that lie idle by then.
        Late::BehindTheNext => sleep(Duration::from_millis(3)).await,
        Late::Beside => {}
    }
    let asked = bed.asks("02", "book", "2.9");
    let mut current = bed.expect("POST 02").await;
    if of == 1 {
        current.says(&read()).await;
        current = bed.expect("POST 02").await;
    }
    // On a machine that stands still for a while the next request comes after the time in which a second answer may.
    if current.line.is(&old) {
        return Ok(false);
    }
    match (when, beside) {
        (Late::BehindTheNext, _) => old.says(second).await,
        (_, Some(beside)) => beside.await.unwrap(),
        _ => {}
    }
    // Longer than a server that turned away is passed over.
    let end = Instant::now() + Duration::from_millis(300);
    while let Some(came) = bed.within(end.saturating_duration_since(Instant::now())).await {
        if came.what.starts_with("DELETE") {
            came.says(&plain(204, "", "")).await;
            continue;
        }
        if came.server == 1 || of == 1 {
            let at = ["reader", "writer"][came.server];
            return Err(format!("{when:?}: the {at} got {} though nothing had answered it", came.what));
        }
        sleep(Duration::from_millis(3)).await; // the end, if there was one, has been told by then
        if !current.line.ended_before(came.came) {
            return Err(format!("{when:?}: a second copy at the reader beside one that is out"));
        }
        current = came;
    }
    current.says(&if of == 0 { read() } else { stream(2) }).await;
    if of == 0 {
        if let Some(writing) = bed.within(Duration::from_secs(1)).await {
            writing.says(&stream(2)).await;
        }
    }
    let answer = answer(asked).await;
    match status(&answer) {
        200 if body(&answer).0.starts_with(&event(2)) => Ok(true),
        502 => Ok(true),
        _ => Err(format!("{when:?}: the client was answered {answer:?}")),
    }
}

async fn second_answers(of: usize, first: &str, second: &str) {
    let mut wrong = Vec::new();
    for when in LATES {
        let mut forced = false;
        for _ in 0..20 {
            match second_answer(of, first, second, when).await {
                Ok(crossed) => forced = crossed,
                Err(what) => wrong.push(what),
            }
            if forced || !wrong.is_empty() {
                break;
            }
        }
        assert!(forced || !wrong.is_empty(), "{when:?}: it was not forced in 20 tries");
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// A reader says twice that it has read: the second word is not that it has read the next request too.
#[tokio::test]
async fn a_second_word_of_a_read_is_not_of_the_next_request() {
    second_answers(0, &read(), &read()).await;
}

/// A reader says that it has read, then that it has nothing: the next read goes on and is not sent twice.
#[tokio::test]
async fn a_late_word_of_no_state_is_not_of_the_next_read() {
    second_answers(0, &read(), &turned_away(410)).await;
}

/// A writer turns away what it has answered: no proof that the next booking there never ran.
#[tokio::test]
async fn a_late_refusal_behind_a_stream_is_no_proof_for_the_next_booking() {
    second_answers(1, &stream(1), &turned_away(503)).await;
}

/// A writer answers twice: the second stream is not the next client's.
#[tokio::test]
async fn a_second_stream_is_not_the_next_clients_answer() {
    second_answers(1, &stream(1), &stream(7)).await;
}

/// A writer says late that there was no state: no proof that the next booking there never ran.
#[tokio::test]
async fn a_late_word_of_no_state_is_no_proof_for_the_next_booking() {
    second_answers(1, &stream(1), &turned_away(410)).await;
}

// ---- Time running out ----

fn with_window(told: &mut Value) {
    let settings = &mut told["settings"];
    settings["lanes"].as_array_mut().unwrap().push(json!({"name": "once", "aim_s": 2.0, "give_up_s": 5.0,
        "effect": "deduplicated", "group": "all", "dedup_window_s": 0.7, "worth": 2.0}));
    settings["limits"]["connect_timeout_s"] = json!(4.0);
    settings["domain"]["release_within_s"] = json!(4.0);
}

/// Repeats are dropped for a time. That time runs out while the connection of the second attempt comes up: nothing of
/// it may be written then.
#[tokio::test]
async fn a_repeat_whose_window_runs_out_while_its_connection_comes_up_is_not_written() {
    let mut bed = Bed::start(&[READER, WRITER], with_window).await;
    let asked = bed.asks("01", "once", "3.0");
    let first = read_then(&mut bed, "01").await;
    bed.shuts(1).await;
    first.line.closes(true).await;
    sleep(Duration::from_millis(300)).await; // the system has tried to connect by now, and tries again after 1 s
    bed.opens(1);
    let window = first.came + Duration::from_millis(700);
    while let Some(came) = bed.within(Duration::from_millis(2_500)).await {
        let late = came.came.saturating_duration_since(window);
        assert!(came.server != 1 || late.is_zero(), "{} written {late:?} after the window", came.what);
        came.says(&plain(204, "", "")).await;
    }
    assert_ne!(status(&answer(asked).await), 200);
}

/// The same with a window that holds: the repeat is sent, so that the test above has something to forbid.
#[tokio::test]
async fn a_repeat_whose_window_holds_is_sent_once_its_connection_is_up() {
    let long = |told: &mut Value| {
        with_window(told);
        told["settings"]["lanes"][2]["dedup_window_s"] = json!(4.0);
    };
    let mut bed = Bed::start(&[READER, WRITER], long).await;
    let asked = bed.asks("01", "once", "3.0");
    let first = read_then(&mut bed, "01").await;
    bed.shuts(1).await;
    first.line.closes(true).await;
    sleep(Duration::from_millis(300)).await;
    bed.opens(1);
    bed.expect("POST 01").await.says(&stream(1)).await;
    assert_eq!(status(&answer(asked).await), 200);
}

/// The first event comes about when the deadline passes: there is one final answer, either way, and the booking is
/// out once.
#[tokio::test]
async fn the_first_event_at_the_deadline_makes_one_answer() {
    for offset in [-6, -4, -3, -2, -1, 0, 1, 2, 4] {
        let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
        let start = Instant::now();
        let asked = bed.asks("01", "book", "0.6");
        let writing = read_then(&mut bed, "01").await;
        let at = start + Duration::from_millis(600u64.saturating_add_signed(offset));
        tokio::time::sleep_until(at).await;
        writing.says(&stream(1)).await;
        let answer = answer(asked).await;
        let later = bed.all_within(Duration::from_millis(30)).await;
        assert_eq!((answer.matches("HTTP/1.1").count(), posts(&later, "01")), (1, 0), "{offset}: {answer}");
        match status(&answer) {
            200 => assert!(body(&answer).1 && body(&answer).0.starts_with(&event(1)), "{answer}"),
            502 => assert!(!answer.contains("data:"), "{answer}"),
            other => panic!("{offset}: {other}"),
        }
    }
}

/// A connection comes up after its attempt was called off: nothing is written on it, and it does not stay.
#[tokio::test]
async fn a_connection_that_comes_up_after_the_call_off_carries_nothing() {
    let slow = |told: &mut Value| told["settings"]["limits"]["connect_timeout_s"] = json!(4.0);
    let mut bed = Bed::start(&[READER, WRITER], slow).await;
    bed.shuts(1).await;
    let asked = bed.asks("01", "book", "0.4");
    bed.expect("POST 01").await.says(&read()).await;
    assert_ne!(status(&answer(asked).await), 200);
    bed.opens(1);
    // The system's next try comes a second after its first.
    let later = bed.all_within(Duration::from_millis(1_400)).await;
    assert_eq!(posts(&later, "01"), 0, "{later:?}");
    for line in bed.lines_of(1) {
        let carried = String::from_utf8_lossy(&line.bytes.lock().unwrap()).into_owned();
        assert!(!carried.contains("POST"), "{carried}");
        assert!(line.has_ended() || carried.contains("DELETE"), "left open with nothing on it");
    }
}

/// The time that a server is told is what is left when the request is written, not when it was handed on.
#[tokio::test]
async fn the_time_told_is_what_is_left_once_the_connection_is_up() {
    let slow = |told: &mut Value| {
        told["settings"]["limits"]["connect_timeout_s"] = json!(4.0);
        told["settings"]["lanes"][1]["aim_s"] = json!(4.0);
    };
    let mut bed = Bed::start(&[READER, WRITER], slow).await;
    bed.shuts(0).await;
    let start = Instant::now();
    let asked = bed.asks("01", "book", "3.0");
    sleep(Duration::from_millis(200)).await; // the first try to connect has been dropped by now
    bed.opens(0);
    let reading = bed.expect("POST 01").await;
    let left = 3.0 - (reading.came - start).as_secs_f64();
    let told: f64 = reading.field("x-remaining").unwrap().parse().unwrap();
    assert!(left < 2.9, "it came late, or nothing is tried: {left}");
    assert!(told <= left + ROOM, "told {told}, left {left:.3}");
    asked.abort();
}

/// Further attempts tell what is left of the client's time, whatever ended the one before.
#[tokio::test]
async fn further_attempts_tell_the_time_that_is_left() {
    let mut bed = Bed::start(&[READER, READER, WRITER], |_| {}).await;
    let start = Instant::now();
    let asked = bed.asks("01", "ask", "2.0");
    let mut attempts = 0;
    while let Some(came) = bed.within(Duration::from_millis(1_000)).await {
        if came.what != "POST 01" {
            came.says(&plain(204, "", "")).await;
            continue;
        }
        attempts += 1;
        let left = 2.0 - (came.came - start).as_secs_f64();
        let told: f64 = came.field("x-remaining").unwrap().parse().unwrap();
        assert!(told <= left + ROOM, "attempt {attempts}: told {told}, left {left:.3}");
        match attempts {
            1 => {} // silent: it is given up in time
            2 => came.line.closes(true).await,
            _ if came.server == 2 => came.says(&stream(1)).await,
            _ => came.says(&read()).await,
        }
    }
    assert!(attempts >= 4, "{attempts}");
    assert_eq!(status(&answer(asked).await), 200);
}

// ---- Answers that never end, and clients that leave ----

/// Turned away, but the body of that answer never ends: what the head proves is told at once, and the connection does
/// not stay.
#[tokio::test]
async fn a_refusal_whose_body_never_ends_is_proof_at_once_and_its_connection_goes() {
    let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
    let asked = bed.asks("01", "book", "2.9");
    let first = read_then(&mut bed, "01").await;
    first.says("HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 10\r\n\r\n12").await;
    let second = bed.expect("POST 01").await;
    second.says(&stream(1)).await;
    assert_eq!(status(&answer(asked).await), 200);
    first.line.ended().await;
}

/// A read whose answer never ends is given up in time: the client is answered by the deadline.
#[tokio::test]
async fn a_read_whose_answer_never_ends_is_given_up_in_time() {
    let mut bed = Bed::start(&[READER, WRITER], patient).await;
    let start = Instant::now();
    let asked = bed.asks("01", "book", "0.7");
    let mut asked = asked;
    let answer = loop {
        tokio::select! {
            answer = &mut asked => break answer.unwrap(),
            came = bed.next() => match came.what.as_str() {
                "POST 01" if came.server == 0 => came.says("HTTP/1.1 202 X\r\nContent-Length: 20\r\n\r\n{").await,
                "POST 01" => panic!("nothing was read to its end"),
                _ => came.says(&plain(204, "", "")).await,
            },
        }
    };
    assert!(matches!(status(&answer), 502 | 503), "{answer}");
    assert!(start.elapsed().as_secs_f64() < 0.7 + ROOM, "{:?}", start.elapsed());
}

/// The client leaves as the first event of its answer comes, in either order: nothing more is sent, and the attempt's
/// connection is closed.
#[tokio::test]
async fn a_client_that_leaves_as_its_answer_begins_ends_the_attempt() {
    for leaves_first in [true, false] {
        let mut bed = Bed::start(&[READER, WRITER, WRITER], patient).await;
        let mut client = TcpStream::connect(bed.platform).await.unwrap();
        client.write_all(platform("01", "ask", "2.9").as_bytes()).await.unwrap();
        let writing = read_then(&mut bed, "01").await;
        let begun = format!("{STREAM}{}", dewladder_test_peers::chunk(&event(1)));
        if leaves_first {
            drop(client);
            writing.says(&begun).await;
        } else {
            writing.says(&begun).await;
            drop(client);
        }
        writing.line.ended().await;
        let later = bed.all_within(SOON).await;
        assert_eq!(posts(&later, "01"), 0, "{leaves_first}: {later:?}");
    }
}

// ---- Idle connections to servers ----

/// A server closes a connection that lies idle, in good order or by a reset, before the next request: that one goes
/// over a new connection, once.
#[tokio::test]
async fn a_connection_that_was_closed_while_idle_is_not_written_to() {
    for with_reset in [true, false] {
        for lane in ["book", "ask"] {
            let mut bed = Bed::start(&[READER, WRITER], patient).await;
            let asked = bed.asks("01", lane, "2.9");
            let writing = read_then(&mut bed, "01").await;
            writing.says(&stream(1)).await;
            assert_eq!(status(&answer(asked).await), 200);
            for line in [bed.lines_of(0), bed.lines_of(1)].concat() {
                line.closes(with_reset).await;
            }
            sleep(Duration::from_millis(20)).await; // what was sent has come: it is the same machine
            let asked = bed.asks("02", lane, "2.9");
            read_then(&mut bed, "02").await.says(&stream(2)).await;
            assert_eq!(status(&answer(asked).await), 200, "{with_reset} {lane}");
            assert_eq!([bed.lines_of(0).len(), bed.lines_of(1).len()], [2, 2]);
        }
    }
}

/// A server closes a kept connection as a request comes over it. A booking may have run: it fails and is not sent
/// again. What may be repeated is, on a new connection, and is answered. The server does both steps: from a reader on, no
/// kept connection is taken.
#[tokio::test]
async fn a_kept_connection_that_closes_over_a_request_repeats_only_what_may_repeat() {
    for with_reset in [true, false] {
        for (lane, repeats) in [("book", false), ("ask", true)] {
            let mut bed = Bed::start(&[MIXED], patient).await;
            let asked = bed.asks("01", lane, "2.9");
            bed.expect("POST 01").await.says(&stream(1)).await;
            assert_eq!(status(&answer(asked).await), 200);
            sleep(Duration::from_millis(120)).await; // longer than a second answer may be late: it takes requests again
            let asked = bed.asks("02", lane, "2.9");
            let kept = bed.expect("POST 02").await;
            assert_eq!(bed.lines_of(0).len(), 1, "the kept connection");
            kept.line.closes(with_reset).await;
            if repeats {
                bed.expect("POST 02").await.says(&stream(2)).await;
            }
            let answer = answer(asked).await;
            let later = bed.all_within(SOON).await;
            let expected = (if repeats { 200 } else { 502 }, 0);
            assert_eq!((status(&answer), posts(&later, "02")), expected, "{with_reset} {lane}");
        }
    }
}

/// Our own expiry against our next request: about when an idle connection's time is over, a request takes it or a new
/// one, comes once and is answered; after the server's own limit none takes it.
#[tokio::test]
async fn about_when_an_idle_connection_expires_a_request_comes_once() {
    let short = |told: &mut Value| told["settings"]["limits"]["keepalive_s"] = json!(0.2);
    for idle in [110, 116, 118, 119, 120, 121, 122, 124, 130, 200, 300] {
        let mut bed = Bed::start(&[READER, WRITER], short).await;
        let asked = bed.asks("01", "book", "2.9");
        let writing = read_then(&mut bed, "01").await;
        writing.says(&stream(1)).await;
        assert_eq!(status(&answer(asked).await), 200);
        sleep(Duration::from_millis(idle)).await;
        let asked = bed.asks("02", "book", "2.9");
        read_then(&mut bed, "02").await.says(&stream(2)).await;
        let answer = answer(asked).await;
        assert!(status(&answer) == 200 && body(&answer).0.starts_with(&event(2)), "{idle}: {answer}");
        if idle >= 200 {
            assert_eq!([bed.lines_of(0).len(), bed.lines_of(1).len()], [2, 2], "{idle}");
        }
    }
}
