//! Requests that clients repeat, on sockets: nothing that must not run twice does, and every retry is told what
//! became of the first.

mod stand_in;
mod trials;

use std::time::Duration;

use serde_json::Value;
use stand_in::*;

const ON: &str = "enabled = true\nafter_start_s = 0.0\n";

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

fn head(answer: &str, name: &str) -> Option<String> {
    field(answer.split("\r\n\r\n").next().unwrap(), name)
}

fn code(answer: &str) -> String {
    let body: Value = serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    body["error"]["code"].as_str().unwrap_or_default().to_owned()
}

fn slow() -> Shape {
    Shape { events: 6, pause: Duration::from_millis(30), ..Shape::default() }
}

#[tokio::test]
async fn whatever_connections_are_lost_no_booking_runs_twice_and_every_retry_learns_its_outcome() {
    for linger in [0.0, 10.0] {
        let site = trials::site(Some(linger)).await;
        let came = trials::run(site.chat, &site.fleet, 600, 7).await;
        assert_eq!((came.trials, came.doubled, came.unclear), (600, 0, 0), "linger {linger}: {came:?}");
        assert!(came.never_ran <= came.asked_back + came.refused_for_good, "{came:?}");
        assert!(came.answered > 150, "requests lost within their head run with the retry: {came:?}");
        if linger > 0.0 {
            assert_eq!((came.refused_for_good, came.answered + came.asked_back), (0, 600), "{came:?}");
        }
    }
}

/// What the test above would count if nothing were known of repeats.
#[tokio::test]
async fn without_idempotency_the_same_trials_run_bookings_twice() {
    let site = trials::site(None).await;
    let came = trials::run(site.chat, &site.fleet, 200, 7).await;
    assert!(came.doubled > 20, "{came:?}");
}

#[tokio::test]
async fn a_repeat_joins_the_open_request_and_is_given_it_from_the_first_event() {
    let site = FleetSite::start(slow(), ON).await;
    let text = booking("kiln-book", "one", true, "Idempotency-Key: k1\r\n");
    let (first, second) = tokio::join!(until_close(site.chat, &text), async {
        tokio::time::sleep(Duration::from_millis(90)).await;
        until_close(site.chat, &text).await
    });
    assert_eq!(body(&first), body(&second));
    assert!(body(&first).1 && body(&first).0.contains("w5 ") && !body(&first).0.contains("X-Pressure"));
    assert_eq!(
        (head(&first, "idempotent-replayed"), head(&second, "idempotent-replayed")),
        (None, Some("true".into()))
    );
    assert_eq!(head(&first, "x-request-id"), head(&second, "x-request-id"));
    let kept = until_close(site.chat, &text).await;
    assert_eq!((body(&kept), site.fleet.started().len()), (body(&first), 1));
}

#[tokio::test]
async fn a_joiner_that_leaves_does_not_end_the_first_and_the_last_that_leaves_does() {
    let site = FleetSite::start(slow(), ON).await;
    let text = booking("kiln-book", "one", true, "Idempotency-Key: k1\r\n");
    let (first, _) = tokio::join!(until_close(site.chat, &text), async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        talk(site.chat, &text, |read| read.contains("w0 ")).await
    });
    assert!(body(&first).0.contains("w5 ") && body(&first).1);
    let text = booking("kiln-book", "two", true, "Idempotency-Key: k2\r\n");
    talk(site.chat, &text, |read| read.contains("w0 ")).await;
    eventually("let go", || {
        site.fleet.started().iter().any(|begun| begun.body.contains("two") && !begun.complete)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let again = until_close(site.chat, &text).await;
    assert_eq!((status(&again), code(&again)), (409, "may_have_run".into()));
    assert_eq!(head(&again, "x-should-retry"), Some("false".into()));
    assert_eq!(site.fleet.runs_of("two"), 1);
}

/// A booking whose client left before anything was sent to a writer provably never ran: its repeat does.
#[tokio::test]
async fn a_repeat_runs_where_the_first_was_canceled_before_it_was_sent() {
    let shape = Shape { read: Duration::from_millis(150), ..Shape::default() };
    let site = FleetSite::start(shape, ON).await;
    let text = booking("kiln-book", "one", false, "Idempotency-Key: k1\r\n");
    let left = talk(site.chat, &text, |_| true).await;
    assert_eq!(left, "");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let again = until_close(site.chat, &text).await;
    assert_eq!((status(&again), site.fleet.runs_of("one")), (200, 1), "{again}");
    eventually("nothing stays held", || site.fleet.held_states() == 0).await;
}

#[tokio::test]
async fn a_key_with_another_body_is_an_error_and_tenants_do_not_share_keys() {
    let site = FleetSite::start(Shape::default(), ON).await;
    let text = |what: &str| booking("kiln-book", what, false, "Idempotency-Key: k1\r\n");
    let first = until_close(site.chat, &text("one")).await;
    assert_eq!(status(&first), 200);
    let other = until_close(site.chat, &text("two")).await;
    assert_eq!((status(&other), code(&other)), (422, "idempotency_key_reused".into()));
    assert!(other.contains("\"param\":\"Idempotency-Key\""));
    let of_jars = text("two").replace("key-of-clay", "key-of-jars");
    assert_eq!(status(&until_close(site.chat, &of_jars).await), 200);
    assert_eq!((site.fleet.runs_of("one"), site.fleet.runs_of("two")), (1, 1));
    for bad in
        ["Idempotency-Key: \r\n", "Idempotency-Key: a b\r\n", "Idempotency-Key: a\r\nIdempotency-Key: a\r\n"]
    {
        let answer = until_close(site.chat, &booking("kiln-book", "one", false, bad)).await;
        assert_eq!((status(&answer), answer.contains("Idempotency-Key")), (400, true), "{answer}");
    }
}

/// The failure itself is told to each repeat, and the booking is not tried again.
#[tokio::test]
async fn a_booking_that_may_have_run_is_refused_for_good_and_one_that_never_ran_is_not() {
    let site = FleetSite::start(Shape::default(), ON).await;
    for (at, fault) in
        [Fault::Fails, Fault::Vanishes, Fault::Cuts(2), Fault::Stalls(2)].into_iter().enumerate()
    {
        site.fleet.script([fault]);
        let what = format!("fault-{at}");
        let text = booking("kiln-book", &what, false, &format!("Idempotency-Key: {what}\r\n"));
        let first = until_close(site.chat, &text).await;
        assert!(matches!(status(&first), 502 | 504), "{fault:?}: {first}");
        let again = until_close(site.chat, &text).await;
        assert_eq!(
            (status(&again), head(&again, "x-should-retry")),
            (409, Some("false".into())),
            "{fault:?}"
        );
        assert_eq!(site.fleet.runs_of(&what), 1);
    }
    site.fleet.script([Fault::TurnsAway; 5]);
    let text = booking("kiln-book", "busy", false, "Idempotency-Key: busy\r\n");
    let first = until_close(site.chat, &text).await;
    assert!(status(&first) == 200 || head(&first, "retry-after").is_some(), "{first}");
    site.fleet.script([]);
    // The writers that failed before rest for a while: the client comes back when it is told to.
    let mut again = first;
    for _ in 0..20 {
        if status(&again) == 200 {
            break;
        }
        let wait: u64 = head(&again, "retry-after-ms").expect("when to come back").parse().unwrap();
        tokio::time::sleep(Duration::from_millis(wait)).await;
        again = until_close(site.chat, &text).await;
    }
    assert_eq!((status(&again), site.fleet.runs_of("busy")), (200, 1), "{again}");
}

/// An `ask` may run again: its repeat does, where the answer was cut.
#[tokio::test]
async fn an_ask_whose_stream_was_cut_is_run_again_for_its_repeat() {
    let site = FleetSite::start(Shape::default(), ON).await;
    site.fleet.script([Fault::Cuts(2)]);
    let text = booking("kiln-ask", "one", true, "Idempotency-Key: k1\r\n");
    let first = until_close(site.chat, &text).await;
    assert!(body(&first).0.contains("stream_cut"));
    let again = until_close(site.chat, &text).await;
    assert!(body(&again).0.contains("w5 ") && body(&again).0.contains("[DONE]"), "{again}");
    assert_eq!(site.fleet.runs_of("one"), 2);
}

/// Just started, the dispatcher can't know what ran before; and a full store forgets no booking.
#[tokio::test]
async fn a_repeated_booking_is_refused_after_a_start_and_a_new_one_where_the_store_is_full() {
    let site = FleetSite::start(
        Shape::default(),
        "enabled = true\nafter_start_s = 60.0\nmost_entries = 2\ntenant_percent = 100.0\n",
    )
    .await;
    let text = booking("kiln-book", "one", false, "x-stainless-retry-count: 1\r\n");
    let answer = until_close(site.chat, &text).await;
    assert_eq!((status(&answer), head(&answer, "x-should-retry")), (409, Some("false".into())));
    for (at, expected) in [200, 200, 503].into_iter().enumerate() {
        let what = format!("full-{at}");
        let text = booking("kiln-book", &what, false, &format!("Idempotency-Key: {what}\r\n"));
        let answer = until_close(site.chat, &text).await;
        assert_eq!((status(&answer), site.fleet.runs_of(&what)), (expected, usize::from(expected == 200)));
        assert_eq!(head(&answer, "retry-after").is_some(), expected == 503);
    }
    let ask = booking("kiln-ask", "asked", false, "Idempotency-Key: asked\r\n");
    assert_eq!(status(&until_close(site.chat, &ask).await), 200, "an ask goes through unrecorded");
}

#[tokio::test]
async fn retries_beyond_the_budget_are_asked_back_at_different_times() {
    let lines = "budget_most_saved = 2\nbudget_per_s = 0.0\nbudget_percent = 0.0\nmost_retry_in_s = 20.0\n";
    let site = FleetSite::start(Shape::default(), &format!("{ON}{lines}")).await;
    let mut back = Vec::new();
    for at in 0..20 {
        let text = booking("kiln-ask", &format!("ask-{at}"), false, "x-stainless-retry-count: 1\r\n");
        let answer = until_close(site.chat, &text).await;
        if status(&answer) == 429 {
            assert_eq!(code(&answer), "retry_budget_exceeded");
            back.push(head(&answer, "retry-after-ms").unwrap().parse::<u64>().unwrap());
        }
    }
    assert_eq!(back.len(), 18);
    back.sort_unstable();
    back.dedup();
    assert!(back.len() > 12 && back[0] >= 1_000 && back.last() <= Some(&20_000), "{back:?}");
}
