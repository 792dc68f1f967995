//! Retries that a client library counts, without a key, on sockets: they name words, which several clients may use. Guards
//! against review case 8: a client whose booking had been refused was given the answer of another client's.

mod stand_in;

use std::net::SocketAddr;
use std::time::Duration;

use stand_in::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Bookings go on for a while after their client has lost its connection.
const IDEMPOTENCY_ON: &str = "enabled = true\nafter_start_s = 0.0\nlinger_s = 10.0\n";
const WORDS: &str = "the-next-free-firing";

fn slow() -> Shape {
    Shape { events: 6, pause: Duration::from_millis(30), ..Shape::default() }
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

fn booking(retry_count: u32, headers: &str) -> String {
    chat_request(
        "kiln-book",
        WORDS,
        true,
        &format!("x-stainless-retry-count: {retry_count}\r\nUser-Agent: app\r\n{headers}"),
    )
}

/// Sends a booking on a connection that stays open, and reads its whole answer.
async fn read_all_and_stay(at: SocketAddr, text: String) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(text.replace("Connection: close\r\n", "").as_bytes()).await.unwrap();
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n0\r\n\r\n") {
        assert!(stream.read_buf(&mut read).await.unwrap() > 0);
    }
    (stream, String::from_utf8(read).unwrap())
}

/// Asserts that a retry was told that the booking may have run, and whether it may come again.
fn assert_unclear(answer: &str, may_come_again: bool) {
    assert_eq!(status(answer), 409, "{answer}");
    assert_eq!(answer.contains("x-should-retry: false"), !may_come_again, "{answer}");
    assert_eq!(answer.contains("retry-after:"), may_come_again, "{answer}");
    assert!(!answer.contains("w0 "), "{answer}");
}

#[tokio::test]
async fn a_refused_booking_is_not_given_the_answer_of_another_client() {
    for stays_connected in [false, true] {
        let site = FleetSite::start(Shape::default(), IDEMPOTENCY_ON).await;
        let (connection, first) = read_all_and_stay(site.chat, booking(0, "")).await;
        assert_eq!(status(&first), 200, "{first}");
        let connection = Some(connection).filter(|_| stays_connected);
        site.fleet.script([Fault::TurnsAway; 5]);
        let refused = until_close(site.chat, &booking(0, "")).await;
        assert_eq!(status(&refused), 503, "{refused}");
        site.fleet.script([]);
        tokio::time::sleep(Duration::from_millis(50)).await;
        let retry = until_close(site.chat, &booking(1, "")).await;
        assert_unclear(&retry, stays_connected);
        assert_eq!(site.fleet.runs_of(WORDS), 1);
        drop(connection);
    }
}

/// The first try never came, and another client has booked, or books, with the same words.
#[tokio::test]
async fn a_retry_whose_first_try_never_came_is_not_given_the_answer_of_another_client() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    let first = tokio::spawn(read_all_and_stay(site.chat, booking(0, "")));
    eventually("the first booking runs", || site.fleet.runs_of(WORDS) == 1).await;
    let retry = until_close(site.chat, &booking(1, "")).await;
    let (connection, first) = first.await.unwrap();
    assert!(first.contains("w5 "), "{first}");
    assert_unclear(&retry, true);
    drop(connection);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for retry_count in 2..4 {
        assert_unclear(&until_close(site.chat, &booking(retry_count, "")).await, false);
    }
    assert_eq!(site.fleet.runs_of(WORDS), 1);
}

/// A link that dies while the answer comes, or with a part of it unread, is seen; the retry gets its own answer.
#[tokio::test]
async fn a_client_that_lost_its_link_is_given_its_own_answer() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    talk(site.chat, &booking(0, ""), |read| read.contains("w1 ")).await;
    let retry = until_close(site.chat, &booking(1, "")).await;
    assert!(status(&retry) == 200 && body(&retry).0.contains("w5 ") && body(&retry).1, "{retry}");
    assert_eq!(site.fleet.runs_of(WORDS), 1);

    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    let mut stream = TcpStream::connect(site.chat).await.unwrap();
    stream.write_all(booking(0, "").as_bytes()).await.unwrap();
    stream.read_exact(&mut [0; 10]).await.unwrap();
    eventually("the booking has ended", || site.fleet.started().iter().any(|begun| begun.complete)).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(stream); // with most of the answer unread, which resets the connection
    let retry = until_close(site.chat, &booking(1, "")).await;
    assert!(status(&retry) == 200 && body(&retry).0.contains("w5 ") && body(&retry).1, "{retry}");
    assert_eq!(site.fleet.runs_of(WORDS), 1);
}

/// A library sends the same headers with each of its tries.
#[tokio::test]
async fn the_answer_that_a_client_lost_is_not_given_to_another_library() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    talk(site.chat, &booking(0, "x-stainless-os: Linux\r\n"), |read| read.contains("w1 ")).await;
    let other = until_close(site.chat, &booking(1, "x-stainless-os: MacOS\r\n")).await;
    assert_unclear(&other, false);
    let own = "x-stainless-os: Linux\r\nx-stainless-read-timeout: 60\r\n";
    let retry = until_close(site.chat, &booking(1, own)).await;
    assert!(status(&retry) == 200 && body(&retry).0.contains("w5 "), "{retry}");
    assert_eq!(site.fleet.runs_of(WORDS), 1);
}

/// At most one of two retries can be that of the client that lost its link.
#[tokio::test]
async fn two_retries_at_once_are_not_both_given_the_answer() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    talk(site.chat, &booking(0, ""), |read| read.contains("w1 ")).await;
    let retry = booking(1, "");
    let (one, other) = tokio::join!(until_close(site.chat, &retry), until_close(site.chat, &retry));
    let mut statuses = [status(&one), status(&other)];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{one}\n{other}");
    assert_eq!(site.fleet.runs_of(WORDS), 1);
}
