//! Requests that clients repeat, on sockets: no at-most-once request runs twice, and every retry learns the outcome of
//! the first request.

mod stand_in;
mod trials;

use std::time::Duration;

use serde_json::Value;
use stand_in::*;

/// Turns on idempotency, without the time after a start in which repeats are rejected.
const IDEMPOTENCY_ON: &str = "enabled = true\nafter_start_s = 0.0\n";

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

fn response_header(answer: &str, name: &str) -> Option<String> {
    field(answer.split("\r\n\r\n").next().unwrap(), name)
}

fn error_code(answer: &str) -> String {
    let body: Value = serde_json::from_str(answer.split_once("\r\n\r\n").unwrap().1).unwrap();
    body["error"]["code"].as_str().unwrap_or_default().to_owned()
}

fn slow() -> Shape {
    Shape { events: 6, pause: Duration::from_millis(30), ..Shape::default() }
}

#[tokio::test]
async fn no_book_request_runs_twice_and_every_retry_learns_its_outcome_after_any_disconnect() {
    for linger in [0.0, 10.0] {
        let site = trials::site(Some(linger)).await;
        let counts = trials::run(site.chat, &site.fleet, 600, 7).await;
        assert_eq!(
            (counts.trials, counts.ran_more_than_once, counts.unexpected),
            (600, 0, 0),
            "linger {linger}: {counts:?}"
        );
        assert!(counts.never_ran <= counts.retry_later + counts.retry_forbidden, "{counts:?}");
        assert!(counts.answered > 150, "requests cut while they were sent run with the retry: {counts:?}");
        if linger > 0.0 {
            // Every client that had not read its whole answer gets it, and so does every one with a key.
            let had_it = counts.forbidden_after_whole_answer;
            assert_eq!(
                (counts.retry_forbidden - had_it, counts.answered + counts.retry_later + had_it),
                (0, 600),
                "{counts:?}"
            );
        }
    }
}

/// The counterpart of the test above with idempotency off: it shows that the trials do cause repeated runs.
#[tokio::test]
async fn without_idempotency_the_same_trials_run_book_requests_twice() {
    let site = trials::site(None).await;
    let counts = trials::run(site.chat, &site.fleet, 200, 7).await;
    assert!(counts.ran_more_than_once > 20, "{counts:?}");
}

#[tokio::test]
async fn a_repeat_joins_the_request_in_flight_and_gets_its_stream_from_the_first_event() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    let text = chat_request("kiln-book", "one", true, "Idempotency-Key: k1\r\n");
    let (first, second) = tokio::join!(until_close(site.chat, &text), async {
        tokio::time::sleep(Duration::from_millis(90)).await;
        until_close(site.chat, &text).await
    });
    assert_eq!(body(&first), body(&second));
    assert!(body(&first).1 && body(&first).0.contains("w5 ") && !body(&first).0.contains("X-Pressure"));
    assert_eq!(
        (response_header(&first, "idempotent-replayed"), response_header(&second, "idempotent-replayed")),
        (None, Some("true".into()))
    );
    assert_eq!(response_header(&first, "x-request-id"), response_header(&second, "x-request-id"));
    let kept = until_close(site.chat, &text).await;
    assert_eq!((body(&kept), site.fleet.started().len()), (body(&first), 1));
}

#[tokio::test]
async fn a_request_is_canceled_only_when_its_last_client_leaves() {
    let site = FleetSite::start(slow(), IDEMPOTENCY_ON).await;
    let text = chat_request("kiln-book", "one", true, "Idempotency-Key: k1\r\n");
    let (first, _) = tokio::join!(until_close(site.chat, &text), async {
        tokio::time::sleep(Duration::from_millis(40)).await;
        talk(site.chat, &text, |read| read.contains("w0 ")).await
    });
    assert!(body(&first).0.contains("w5 ") && body(&first).1);
    let text = chat_request("kiln-book", "two", true, "Idempotency-Key: k2\r\n");
    talk(site.chat, &text, |read| read.contains("w0 ")).await;
    eventually("the writer's stream is cut", || {
        site.fleet.started().iter().any(|begun| begun.body.contains("two") && !begun.complete)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let again = until_close(site.chat, &text).await;
    assert_eq!((status(&again), error_code(&again)), (409, "may_have_run".into()));
    assert_eq!(response_header(&again, "x-should-retry"), Some("false".into()));
    assert_eq!(site.fleet.runs_of("two"), 1);
}

/// A `book` request whose client left before anything was sent to a writer provably never ran, so its repeat runs.
#[tokio::test]
async fn a_repeat_runs_if_the_first_request_was_canceled_before_it_was_sent() {
    let shape = Shape { read: Duration::from_millis(150), ..Shape::default() };
    let site = FleetSite::start(shape, IDEMPOTENCY_ON).await;
    let text = chat_request("kiln-book", "one", false, "Idempotency-Key: k1\r\n");
    let left = talk(site.chat, &text, |_| true).await;
    assert_eq!(left, "");
    tokio::time::sleep(Duration::from_millis(50)).await;
    let again = until_close(site.chat, &text).await;
    assert_eq!((status(&again), site.fleet.runs_of("one")), (200, 1), "{again}");
    eventually("no state stays held", || site.fleet.held_states() == 0).await;
}

#[tokio::test]
async fn a_key_with_another_body_is_an_error_and_tenants_do_not_share_keys() {
    let site = FleetSite::start(Shape::default(), IDEMPOTENCY_ON).await;
    let text = |what: &str| chat_request("kiln-book", what, false, "Idempotency-Key: k1\r\n");
    let first = until_close(site.chat, &text("one")).await;
    assert_eq!(status(&first), 200);
    let other = until_close(site.chat, &text("two")).await;
    assert_eq!((status(&other), error_code(&other)), (422, "idempotency_key_reused".into()));
    assert!(other.contains("\"param\":\"Idempotency-Key\""));
    let of_jars = text("two").replace("key-of-clay", "key-of-jars");
    assert_eq!(status(&until_close(site.chat, &of_jars).await), 200);
    assert_eq!((site.fleet.runs_of("one"), site.fleet.runs_of("two")), (1, 1));
    for bad in
        ["Idempotency-Key: \r\n", "Idempotency-Key: a b\r\n", "Idempotency-Key: a\r\nIdempotency-Key: a\r\n"]
    {
        let answer = until_close(site.chat, &chat_request("kiln-book", "one", false, bad)).await;
        assert_eq!((status(&answer), answer.contains("Idempotency-Key")), (400, true), "{answer}");
    }
}

/// Each repeat of a `book` request that may have run is answered with the failure, and the request is not retried.
#[tokio::test]
async fn a_repeated_book_request_is_rejected_if_the_first_may_have_run_and_served_if_it_never_ran() {
    let site = FleetSite::start(Shape::default(), IDEMPOTENCY_ON).await;
    for (at, fault) in
        [Fault::Fails, Fault::Vanishes, Fault::Cuts(2), Fault::Stalls(2)].into_iter().enumerate()
    {
        site.fleet.script([fault]);
        let what = format!("fault-{at}");
        let text = chat_request("kiln-book", &what, false, &format!("Idempotency-Key: {what}\r\n"));
        let first = until_close(site.chat, &text).await;
        assert!(matches!(status(&first), 502 | 504), "{fault:?}: {first}");
        let again = until_close(site.chat, &text).await;
        assert_eq!(
            (status(&again), response_header(&again, "x-should-retry")),
            (409, Some("false".into())),
            "{fault:?}"
        );
        assert_eq!(site.fleet.runs_of(&what), 1);
    }
    site.fleet.script([Fault::TurnsAway; 5]);
    let text = chat_request("kiln-book", "busy", false, "Idempotency-Key: busy\r\n");
    let first = until_close(site.chat, &text).await;
    assert!(status(&first) == 200 || response_header(&first, "retry-after").is_some(), "{first}");
    site.fleet.script([]);
    // The writers that failed before are ejected for a while: the client retries when it is told to.
    let mut again = first;
    for _ in 0..20 {
        if status(&again) == 200 {
            break;
        }
        let wait: u64 =
            response_header(&again, "retry-after-ms").expect("a time for the retry").parse().unwrap();
        tokio::time::sleep(Duration::from_millis(wait)).await;
        again = until_close(site.chat, &text).await;
    }
    assert_eq!((status(&again), site.fleet.runs_of("busy")), (200, 1), "{again}");
}

/// An `ask` request may run more than once: its repeat runs again where the first answer was cut.
#[tokio::test]
async fn a_repeat_of_an_ask_request_whose_stream_was_cut_runs_again() {
    let site = FleetSite::start(Shape::default(), IDEMPOTENCY_ON).await;
    site.fleet.script([Fault::Cuts(2)]);
    let text = chat_request("kiln-ask", "one", true, "Idempotency-Key: k1\r\n");
    let first = until_close(site.chat, &text).await;
    assert!(body(&first).0.contains("stream_cut"));
    let again = until_close(site.chat, &text).await;
    assert!(body(&again).0.contains("w5 ") && body(&again).0.contains("[DONE]"), "{again}");
    assert_eq!(site.fleet.runs_of("one"), 2);
}

/// Servers drop repeats of a deduplicated class by their ids. A repeat of a client's request goes out under a new id, so that a
/// keyed one took effect a second time.
#[tokio::test]
async fn a_repeat_of_a_deduplicated_request_does_not_run_under_a_new_id() {
    let site = FleetSite::with_settings(Shape::default(), "", IDEMPOTENCY_ON, |config| {
        let class = &mut config["settings"]["lanes"][0];
        class["effect"] = "deduplicated".into();
        class["group"] = "zone".into();
        class["dedup_window_s"] = 0.5.into();
    })
    .await;
    for (what, headers) in
        [("keyed", "Idempotency-Key: k1\r\n"), ("counted", "x-stainless-retry-count: 1\r\n")]
    {
        site.fleet.script([Fault::Cuts(2)]);
        let first_headers = headers.replace("count: 1", "count: 0");
        let first = until_close(site.chat, &chat_request("kiln-ask", what, true, &first_headers)).await;
        assert!(body(&first).0.contains("stream_cut"), "{what}: {first}");
        let again = until_close(site.chat, &chat_request("kiln-ask", what, true, headers)).await;
        assert_eq!((status(&again), error_code(&again)), (409, "may_have_run".into()), "{what}");
        assert_eq!(site.fleet.runs_of(what), 1, "{what}");
    }
}

/// A dispatcher that has just started can't know which requests ran before, and a full store of idempotency records
/// evicts no record of a `book` request.
#[tokio::test]
async fn a_repeated_book_request_is_rejected_after_a_start_and_a_new_one_when_the_store_is_full() {
    let site = FleetSite::start(
        Shape::default(),
        "enabled = true\nafter_start_s = 60.0\nmost_entries = 2\ntenant_percent = 100.0\n",
    )
    .await;
    let text = chat_request("kiln-book", "one", false, "x-stainless-retry-count: 1\r\n");
    let answer = until_close(site.chat, &text).await;
    assert_eq!((status(&answer), response_header(&answer, "x-should-retry")), (409, Some("false".into())));
    for (at, expected) in [200, 200, 503].into_iter().enumerate() {
        let what = format!("full-{at}");
        let text = chat_request("kiln-book", &what, false, &format!("Idempotency-Key: {what}\r\n"));
        let answer = until_close(site.chat, &text).await;
        assert_eq!((status(&answer), site.fleet.runs_of(&what)), (expected, usize::from(expected == 200)));
        assert_eq!(response_header(&answer, "retry-after").is_some(), expected == 503);
    }
    let ask = chat_request("kiln-ask", "asked", false, "Idempotency-Key: asked\r\n");
    assert_eq!(status(&until_close(site.chat, &ask).await), 200, "an ask request is served unrecorded");
}

#[tokio::test]
async fn retries_over_the_budget_are_deferred_by_different_delays() {
    let lines = "budget_most_saved = 2\nbudget_per_s = 0.0\nbudget_percent = 0.0\nmost_retry_in_s = 20.0\n";
    let site = FleetSite::start(Shape::default(), &format!("{IDEMPOTENCY_ON}{lines}")).await;
    let mut retry_delays = Vec::new();
    for at in 0..20 {
        let text = chat_request("kiln-ask", &format!("ask-{at}"), false, "x-stainless-retry-count: 1\r\n");
        let answer = until_close(site.chat, &text).await;
        if status(&answer) == 429 {
            assert_eq!(error_code(&answer), "retry_budget_exceeded");
            retry_delays.push(response_header(&answer, "retry-after-ms").unwrap().parse::<u64>().unwrap());
        }
    }
    assert_eq!(retry_delays.len(), 18);
    retry_delays.sort_unstable();
    retry_delays.dedup();
    assert!(
        retry_delays.len() > 12 && retry_delays[0] >= 1_000 && retry_delays.last() <= Some(&20_000),
        "{retry_delays:?}"
    );
}
