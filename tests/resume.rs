//! Streams that break off at the writer, on sockets: the stream of an `ask` request is resumed on another server as one
//! text; that of a `book` request ends with exactly one error and the request is not retried.

mod stand_in;

use std::time::Duration;

use serde_json::Value;
use stand_in::*;

/// Turns on resume, with at most three resumptions of an answer.
const RESUME_ON: &str = "[chat.resume]\nenabled = true\nmost = 3\n";

fn shape() -> Shape {
    let (read, pause) = (Duration::from_millis(1), Duration::from_millis(1));
    Shape { events: 8, read, pause, ..Shape::default() }
}

/// The content of all events of a stream.
fn streamed_content(text: &str) -> String {
    let events = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
    let values = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    values.filter_map(|chunk| chunk["choices"][0]["delta"]["content"].as_str().map(str::to_owned)).collect()
}

/// The content of a complete answer.
fn complete_content() -> String {
    (0..8).map(|at| format!("w{at} ")).collect()
}

fn error_count(text: &str) -> usize {
    text.matches("\"error\"").count()
}

/// The stream breaks at each event boundary, and at two of them in one answer, for streamed and assembled responses.
#[tokio::test]
async fn an_ask_request_whose_stream_breaks_anywhere_is_resumed_as_one_text_without_a_gap() {
    let site = FleetSite::start(shape(), RESUME_ON).await;
    for at in 0..8 {
        for faults in [vec![Fault::Cuts(at)], vec![Fault::Cuts(at), Fault::Cuts(1)], vec![Fault::Stalls(at)]]
        {
            if at == 0 && faults != [Fault::Cuts(0)] {
                continue;
            }
            site.fleet.script(faults.clone());
            let prompt = format!("ask-{at}-{faults:?}");
            let answer = until_close(site.chat, &chat_request("kiln-ask", &prompt, true, "")).await;
            let (text, ended) = body(&answer);
            assert_eq!(
                (streamed_content(&text), error_count(&text), ended),
                (complete_content(), 0, true),
                "{prompt}: {text}"
            );
            assert!(text.ends_with("data: [DONE]\n\n"));
            site.fleet.script(faults);
            let answer = until_close(site.chat, &chat_request("kiln-ask", &prompt, false, "")).await;
            assert!(
                answer.contains(&format!("\"content\":\"{}\"", complete_content())),
                "{prompt}: {answer}"
            );
        }
    }
}

#[tokio::test]
async fn a_book_request_whose_stream_breaks_anywhere_ends_with_one_error_and_is_not_retried() {
    let site = FleetSite::start(shape(), RESUME_ON).await;
    for at in 1..8 {
        for fault in [Fault::Cuts(at), Fault::Stalls(at)] {
            site.fleet.script([fault]);
            let prompt = format!("book-{at}-{fault:?}");
            let (text, _) =
                body(&until_close(site.chat, &chat_request("kiln-book", &prompt, true, "")).await);
            assert_eq!((error_count(&text), site.fleet.runs_of(&prompt)), (1, 1), "{prompt}: {text}");
            assert!(complete_content().starts_with(&streamed_content(&text)) && !text.contains("[DONE]"));
        }
    }
}

/// Servers recognize a repeat by its id, within a group and a window; the rest of an answer is sent under a new one. A
/// request of such a class ran a second time in another zone.
#[tokio::test]
async fn a_request_whose_repeats_servers_recognize_is_not_resumed_under_a_new_id() {
    let site = FleetSite::with_settings(shape(), "", RESUME_ON, |config| {
        let class = &mut config["settings"]["lanes"][0];
        class["effect"] = "deduplicated".into();
        class["group"] = "zone".into();
        class["dedup_window_s"] = 0.001.into();
    })
    .await;
    for at in 1..8 {
        site.fleet.script([Fault::Cuts(at)]);
        let prompt = format!("deduplicated-{at}");
        let (text, _) = body(&until_close(site.chat, &chat_request("kiln-ask", &prompt, true, "")).await);
        assert_eq!((error_count(&text), site.fleet.runs_of(&prompt)), (1, 1), "{prompt}: {text}");
    }
}

/// The number of resumptions is bounded: when all servers break off, the stream ends with one error. With resume off,
/// it ends so at the first break.
#[tokio::test]
async fn the_number_of_resumptions_is_bounded() {
    let site = FleetSite::start(shape(), RESUME_ON).await;
    site.fleet.script([Fault::Cuts(1); 20]);
    let (text, _) = body(&until_close(site.chat, &chat_request("kiln-ask", "bounded", true, "")).await);
    assert_eq!((streamed_content(&text).as_str(), error_count(&text)), ("w0 w1 w2 w3 ", 1), "{text}");
    assert_eq!(site.fleet.runs_of("bounded"), 4);
    let off = FleetSite::start(shape(), "").await;
    off.fleet.script([Fault::Cuts(3)]);
    let (text, _) = body(&until_close(off.chat, &chat_request("kiln-ask", "off", true, "")).await);
    assert_eq!((error_count(&text), off.fleet.runs_of("off")), (1, 1), "{text}");
}

/// With servers that restart an answer from its first word, content that the client already has is not sent again.
#[tokio::test]
async fn no_word_is_sent_twice_when_servers_restart_answers() {
    let site = FleetSite::start(shape(), "[chat.resume]\nenabled = true\nmode = \"restart\"\n").await;
    for at in 1..8 {
        site.fleet.script([Fault::Cuts(at)]);
        let (text, _) = body(&until_close(site.chat, &chat_request("kiln-ask", "anew", true, "")).await);
        assert_eq!((streamed_content(&text), error_count(&text)), (complete_content(), 0), "{at}: {text}");
    }
}

/// Each choice of a request is resumed by itself, and the stream of a `/v1/responses` request is completed too.
#[tokio::test]
async fn choices_and_responses_are_resumed_too() {
    let site = FleetSite::start(shape(), RESUME_ON).await;
    site.fleet.script([Fault::Cuts(2), Fault::None, Fault::Cuts(5)]);
    let request =
        r#"{"model":"kiln-ask","n":3,"stream":true,"messages":[{"role":"user","content":"three"}]}"#;
    let (text, _) = body(&until_close(site.chat, &post(request, "key-of-clay")).await);
    assert_eq!(error_count(&text), 0, "{text}");
    for choice in 0..3 {
        let of_choice = |event: &&str| event.contains(&format!("\"index\":{choice},"));
        let events: Vec<&str> = text.split("\n\n").filter(of_choice).collect();
        assert_eq!(streamed_content(&events.join("\n\n")), complete_content(), "choice {choice}");
    }
    site.fleet.script([Fault::Cuts(3)]);
    let request = r#"{"model":"kiln-ask","stream":true,"input":"go on"}"#;
    let text = post(request, "key-of-clay").replace("/v1/chat/completions", "/v1/responses");
    let (text, _) = body(&until_close(site.chat, &text).await);
    assert!(
        text.contains("event: response.completed")
            && text.contains(&format!("\"text\":\"{}\"", complete_content())),
        "{text}"
    );
    eventually("no state stays held", || site.fleet.held_states() == 0).await;
}

/// A client that disconnects while the rest of its answer is being requested leaves no held state.
#[tokio::test]
async fn a_client_that_disconnects_during_a_resumption_leaves_no_state_held() {
    let shape = Shape { read: Duration::from_millis(120), ..shape() };
    let site = FleetSite::start(shape, RESUME_ON).await;
    site.fleet.script([Fault::Cuts(2)]);
    talk(site.chat, &chat_request("kiln-ask", "leaves", true, ""), |read| read.contains("w1 ")).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    eventually("the held state is released", || site.fleet.held_states() == 0).await;
    assert_eq!(site.fleet.runs_of("leaves"), 1);
}

/// An event without a choice once ended the dispatcher's task. Events of any shape must do no harm.
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
    for resume in [RESUME_ON, ""] {
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
