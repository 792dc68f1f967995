//! Answers whose server breaks off, on sockets: an `ask` goes on elsewhere as one text, a `book` ends with exactly
//! one error and is not sent again.

mod stand_in;

use std::time::Duration;

use serde_json::Value;
use stand_in::*;

const ON: &str = "[chat.resume]\nenabled = true\nmost = 3\n";

fn shape() -> Shape {
    let (read, pause) = (Duration::from_millis(1), Duration::from_millis(1));
    Shape { events: 8, read, pause, ..Shape::default() }
}

fn said(text: &str) -> String {
    let events = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let values = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    values.filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned)).collect()
}

fn whole() -> String {
    (0..8).map(|at| format!("w{at} ")).collect()
}

fn errors(text: &str) -> usize {
    text.matches("\"error\"").count()
}

/// At every event boundary, and at two of them in one answer, streamed or put together.
#[tokio::test]
async fn an_ask_whose_server_breaks_off_anywhere_is_resumed_as_one_text_without_a_gap() {
    let site = FleetSite::start(shape(), ON).await;
    for at in 0..8 {
        for faults in [vec![Fault::Cuts(at)], vec![Fault::Cuts(at), Fault::Cuts(1)], vec![Fault::Stalls(at)]]
        {
            if at == 0 && faults != [Fault::Cuts(0)] {
                continue;
            }
            site.fleet.script(faults.clone());
            let what = format!("ask-{at}-{faults:?}");
            let answer = until_close(site.chat, &booking("kiln-ask", &what, true, "")).await;
            let (text, ended) = body(&answer);
            assert_eq!((said(&text), errors(&text), ended), (whole(), 0, true), "{what}: {text}");
            assert!(text.ends_with("data: [DONE]\n\n"));
            site.fleet.script(faults);
            let answer = until_close(site.chat, &booking("kiln-ask", &what, false, "")).await;
            assert!(answer.contains(&format!("\"content\":\"{}\"", whole())), "{what}: {answer}");
        }
    }
}

#[tokio::test]
async fn a_book_whose_server_breaks_off_anywhere_ends_with_one_error_and_is_not_sent_again() {
    let site = FleetSite::start(shape(), ON).await;
    for at in 1..8 {
        for fault in [Fault::Cuts(at), Fault::Stalls(at)] {
            site.fleet.script([fault]);
            let what = format!("book-{at}-{fault:?}");
            let (text, _) = body(&until_close(site.chat, &booking("kiln-book", &what, true, "")).await);
            assert_eq!((errors(&text), site.fleet.runs_of(&what)), (1, 1), "{what}: {text}");
            assert!(whole().starts_with(&said(&text)) && !text.contains("[DONE]"));
        }
    }
}

/// Bounded in number: servers that all break off end it with one error; and off, as where the settings say so.
#[tokio::test]
async fn an_ask_is_resumed_within_bounds_only() {
    let site = FleetSite::start(shape(), ON).await;
    site.fleet.script([Fault::Cuts(1); 20]);
    let (text, _) = body(&until_close(site.chat, &booking("kiln-ask", "bounded", true, "")).await);
    assert_eq!((said(&text).as_str(), errors(&text)), ("w0 w1 w2 w3 ", 1), "{text}");
    assert_eq!(site.fleet.runs_of("bounded"), 4);
    let off = FleetSite::start(shape(), "").await;
    off.fleet.script([Fault::Cuts(3)]);
    let (text, _) = body(&until_close(off.chat, &booking("kiln-ask", "off", true, "")).await);
    assert_eq!((errors(&text), off.fleet.runs_of("off")), (1, 1), "{text}");
}

/// Servers that begin anew: what the client has had is not told again.
#[tokio::test]
async fn where_servers_restart_answers_no_word_is_sent_twice() {
    let site = FleetSite::start(shape(), "[chat.resume]\nenabled = true\nmode = \"restart\"\n").await;
    for at in 1..8 {
        site.fleet.script([Fault::Cuts(at)]);
        let (text, _) = body(&until_close(site.chat, &booking("kiln-ask", "anew", true, "")).await);
        assert_eq!((said(&text), errors(&text)), (whole(), 0), "{at}: {text}");
    }
}

/// Choices of one request go on each by itself, and a response keeps its order of events.
#[tokio::test]
async fn choices_and_responses_are_resumed_too() {
    let site = FleetSite::start(shape(), ON).await;
    site.fleet.script([Fault::Cuts(2), Fault::None, Fault::Cuts(5)]);
    let request =
        r#"{"model":"kiln-ask","n":3,"stream":true,"messages":[{"role":"user","content":"three"}]}"#;
    let (text, _) = body(&until_close(site.chat, &post(request, "key-of-clay")).await);
    assert_eq!(errors(&text), 0, "{text}");
    for choice in 0..3 {
        let of_choice = |event: &&str| event.contains(&format!("\"index\":{choice},"));
        let events: Vec<&str> = text.split("\n\n").filter(of_choice).collect();
        assert_eq!(said(&events.join("\n\n")), whole(), "choice {choice}");
    }
    site.fleet.script([Fault::Cuts(3)]);
    let request = r#"{"model":"kiln-ask","stream":true,"input":"go on"}"#;
    let text = post(request, "key-of-clay").replace("/v1/chat/completions", "/v1/responses");
    let (text, _) = body(&until_close(site.chat, &text).await);
    assert!(
        text.contains("event: response.completed") && text.contains(&format!("\"text\":\"{}\"", whole())),
        "{text}"
    );
    eventually("nothing stays held", || site.fleet.held_states() == 0).await;
}

/// A client that leaves while the rest is asked for leaves nothing behind.
#[tokio::test]
async fn a_client_that_leaves_meanwhile_leaves_nothing_held() {
    let shape = Shape { read: Duration::from_millis(120), ..shape() };
    let site = FleetSite::start(shape, ON).await;
    site.fleet.script([Fault::Cuts(2)]);
    talk(site.chat, &booking("kiln-ask", "leaves", true, ""), |read| read.contains("w1 ")).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    eventually("let go", || site.fleet.held_states() == 0).await;
    assert_eq!(site.fleet.runs_of("leaves"), 1);
}

/// Seen here: an event with no choice in it ended the program's task. Events of any shape do no harm.
#[tokio::test]
async fn server_events_of_any_shape_break_nothing() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    const EVENTS: [&str; 6] = [
        "3",
        "\"text\"",
        "{\"choices\":3}",
        "{\"choices\":[7,{}]}",
        "{\"choices\":[{\"delta\":[1],\"finish_reason\":{}}],\"usage\":[]}",
        "{\"choices\":[{\"delta\":{\"content\":{},\"tool_calls\":[1,{\"index\":\"x\",\"function\":[]}]}}]}",
    ];
    for resume in [ON, ""] {
        let site =
            Site::with_fronts(Behavior::Read, Behavior::Nothing, 1_024, &format!("{FRONTS}{resume}")).await;
        let events: String = EVENTS.iter().map(|event| format!("data: {event}\n\n")).collect();
        let text = format!("{HEAD}{:x}\r\n{events}\r\n0\r\n\r\n", events.len());
        site.writer.set_behavior(Behavior::Raw(Box::leak(text.into_boxed_str())));
        for path in ["/v1/chat/completions", "/v1/completions", "/v1/responses"] {
            for stream in [true, false] {
                let input = match path {
                    "/v1/completions" => r#""prompt":"a""#,
                    "/v1/responses" => r#""input":"a""#,
                    _ => r#""messages":[{"role":"user","content":"a"}]"#,
                };
                let request = format!("{{\"model\":\"kiln-ask\",\"stream\":{stream},{input}}}");
                let answer = until_close(
                    site.chat,
                    &post(&request, "key-of-clay").replace("/v1/chat/completions", path),
                )
                .await;
                assert!(answer.starts_with("HTTP/1.1 200"), "{path} {stream}: {answer}");
            }
        }
    }
}
