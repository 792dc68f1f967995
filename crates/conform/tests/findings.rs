//! What a case says of each wrong answer, byte for byte, against a front that answers by script.

mod golden_file;

use dewladder_conform::{cases, run, Case, CaseResult, Target};
use golden_file::assert_golden;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Runs one case whose steps are answered with these bytes, in order; what it came to, as one line.
async fn finding(case: &str, answers: &[String]) -> String {
    let case: Case = toml::from_str(case).expect("a case");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answers = answers.to_vec();
    let front = tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = vec![0; 64 << 10];
            let length = stream.read(&mut request).await.expect("a request");
            assert!(length > 0, "a request comes");
            stream.write_all(answer.as_bytes()).await.expect("an answer");
        }
    });
    let target = Target {
        address,
        key: Some("key".to_owned()),
        other_key: None,
        model: "kiln-ask".to_owned(),
        once: "kiln-book".to_owned(),
        nonce: "nonce".to_owned(),
    };
    let reports = run(&target, &[case]).await;
    front.abort();
    match &reports[0].result {
        CaseResult::Passed => "passed".to_owned(),
        CaseResult::Failed(what) => format!("failed: {what}"),
        CaseResult::NotRun(what) => format!("error: {what}"),
    }
}

fn whole(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

fn stream(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{body}")
}

fn data(events: &[&str]) -> String {
    events.iter().map(|event| format!("data: {event}\n\n")).collect()
}

/// A chunk of the chat API with these fields set.
fn chunk(choices: &str) -> String {
    format!(r#"{{"id":"i","model":"m","created":1,"object":"chat.completion.chunk","choices":{choices}}}"#)
}

fn choice(index: u8, delta: &str, finish: &str) -> String {
    format!(r#"[{{"index":{index},"delta":{delta},"finish_reason":{finish}}}]"#)
}

#[tokio::test]
async fn each_wrong_answer_is_told_in_these_words() {
    let error = r#"{"error":{"message":"m","type":"t","param":"n","code":"c"}}"#;
    let expect = |expect: &str| format!("name = \"a/b\"\nbase = \"chat\"\nexpect = {{ {expect} }}\n");
    let mut text = String::new();
    for (what, case, answer) in [
        ("passed", expect("status = 200"), whole(200, "", "{}")),
        ("nothing expected", "name = \"a/b\"\n".to_owned(), whole(200, "", "{}")),
        ("status", expect("status = 200"), whole(500, "", error)),
        ("code", expect("status = 400, code = \"x\""), whole(400, "", error)),
        ("param", expect("status = 400, param = \"x\""), whole(400, "", error)),
        ("no envelope", expect("status = 400"), whole(400, "", "{\"error\": {}}")),
        ("no envelope, no JSON", expect("status = 400"), whole(400, "", "a\nb")),
        ("no header", expect("status = 200, headers = { x-a = \"*\" }"), whole(200, "", "{}")),
        ("another header", expect("status = 200, headers = { x-a = \"b\" }"), whole(200, "X-A: c\r\n", "{}")),
        (
            "a header too many",
            expect("status = 200, headers = { x-a = \"\" }"),
            whole(200, "x-a: c\r\n", "{}"),
        ),
        ("JSON", expect("status = 200, json = { \"/a\" = 2 }"), whole(200, "", "{\"a\":1}")),
        ("no JSON there", expect("status = 200, json = { \"/a\" = \"*\" }"), whole(200, "", "{}")),
        (
            "JSON filled in",
            expect("status = 200, json = { \"/a\" = \"{model}\" }"),
            whole(200, "", "{\"a\":\"x\"}"),
        ),
        ("no stream", expect("status = 200, grammar = \"chat\""), whole(200, "", "{}")),
        ("no grammar", expect("status = 200, grammar = \"kiln\""), stream("")),
        ("same as a step that is not there", expect("status = 200, same_as = 3"), whole(200, "", "{}")),
        ("capture", expect("status = 200") + "capture = { id = \"/id\" }\n", whole(200, "", "{}")),
        (
            "no such base",
            "name = \"a/b\"\nbase = \"kiln\"\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        (
            "a patch that is no JSON",
            "name = \"a/b\"\nbase = \"chat\"\nset = '{'\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        (
            "another tenant",
            "name = \"a/b\"\nraw = \"{other_key}\"\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        ("hex", "name = \"a/b\"\nhex = \"0g\"\nexpect = { status = 200 }\n".to_owned(), String::new()),
        ("no answer", expect("status = 200"), " ".to_owned()),
        ("no status", expect("status = 200"), "HTTP\r\n\r\n".to_owned()),
        ("too short", expect("status = 200"), whole(200, "", "{}").replace("length: 2", "length: 9")),
        (
            "chunk without a length",
            expect("status = 200"),
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\n".to_owned(),
        ),
        (
            "chunk that is not whole",
            expect("status = 200"),
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nx\r\n".to_owned(),
        ),
        (
            "no last chunk",
            expect("status = 200"),
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n".to_owned(),
        ),
    ] {
        text += &format!("{what}\n  {}\n", finding(&case, &[answer]).await);
    }
    let steps =
        "name = \"a/b\"\n[[step]]\nbase = \"chat\"\nexpect = { status = 200 }\n[[step]]\nbase = \"chat\"\n\
                 expect = { status = 200, same_as = 0 }\n";
    let answers = [whole(200, "", "{\"a\":1}"), whole(200, "", "{\"a\":2}")];
    text += &format!("another body than before\n  {}\n", finding(steps, &answers).await);
    assert_golden("findings.txt", &text);
}

fn chat_streams() -> Vec<(&'static str, &'static str, String)> {
    let first = chunk(&choice(0, r#"{"role":"assistant","content":"a"}"#, "null"));
    let last = chunk(&choice(0, "{}", "\"stop\""));
    let usage = chunk("[]").replace("\"choices\"", "\"usage\":{\"total_tokens\":3},\"choices\"");
    let error = r#"{"error":{"message":"m","type":"server_error","code":"c"}}"#;
    vec![
        ("good", "chat", data(&[&first, &last, "[DONE]"])),
        ("empty", "chat", String::new()),
        ("only a blank line", "chat", "\n\n".to_owned()),
        ("not a line of an event", "chat", "kiln\n\n".to_owned()),
        ("no JSON", "chat", data(&["{", "[DONE]"])),
        ("no [DONE]", "chat", data(&[&first, &last])),
        ("[DONE] twice", "chat", data(&[&first, "[DONE]", "[DONE]"])),
        ("an error", "chat", data(&[error, "[DONE]"])),
        ("another object", "chat", data(&[&first.replace("chat.completion.chunk", "kiln"), "[DONE]"])),
        ("created", "chat", data(&[&first.replace(":1,", ":null,"), "[DONE]"])),
        ("no id", "chat", data(&[&first.replace("\"i\"", "1"), "[DONE]"])),
        ("an id that changes", "chat", data(&[&first, &last.replace("\"i\"", "\"j\""), "[DONE]"])),
        ("no choices", "chat", data(&[&chunk("1"), "[DONE]"])),
        ("usage of nothing", "chat", data(&[&first, &last, &chunk("[]"), "[DONE]"])),
        ("usage too early", "chat", data(&[&first, &usage, &last, "[DONE]"])),
        ("usage not asked for", "chat", data(&[&first, &last, &usage, "[DONE]"])),
        (
            "usage beside a choice",
            "chat",
            data(&[&first.replace("\"choices\"", "\"usage\":{},\"choices\""), "[DONE]"]),
        ),
        ("no index", "chat", data(&[&first.replace("\"index\":0,", ""), "[DONE]"])),
        ("another choice", "chat", data(&[&first.replace("\"index\":0", "\"index\":1"), "[DONE]"])),
        ("no delta", "chat", data(&[&first.replace("delta", "kiln"), "[DONE]"])),
        ("no role", "chat", data(&[&first.replace("assistant", "kiln"), "[DONE]"])),
        ("role twice", "chat", data(&[&first, &first, "[DONE]"])),
        ("goes on after its end", "chat", data(&[&first, &last, &last, "[DONE]"])),
        ("no finish_reason", "chat", data(&[&first, "[DONE]"])),
        (
            "no text",
            "completion",
            data(&[&first.replace("chat.completion.chunk", "text_completion"), "[DONE]"]),
        ),
        ("too few choices", "chat", data(&["[DONE]"])),
        ("cut", "cut", data(&[&first, error])),
        ("cut of nothing", "cut", data(&[error])),
        ("cut without an error", "cut", data(&[&first, &first])),
        ("cut after [DONE]", "cut", data(&["[DONE]", error])),
        ("cut with two errors", "cut", data(&[error, error])),
        ("cut with an end", "cut", data(&[&last, error])),
    ]
}

/// Events of a response: `(type, further fields)`.
fn typed(events: &[(&str, &str)]) -> String {
    let event = |(at, (kind, fields)): (usize, &(&str, &str))| {
        let comma = if fields.is_empty() { "" } else { "," };
        format!("event: {kind}\ndata: {{\"type\":\"{kind}\",\"sequence_number\":{at}{comma}{fields}}}\n\n")
    };
    events.iter().enumerate().map(event).collect()
}

fn response_streams() -> Vec<(&'static str, &'static str, String)> {
    let created = ("response.created", "");
    let progress = ("response.in_progress", "");
    let added = ("response.output_item.added", r#""item":{"id":"x"}"#);
    let delta = ("response.output_text.delta", r#""item_id":"x","delta":"a""#);
    let text = ("response.output_text.done", r#""item_id":"x","text":"a""#);
    let done = ("response.output_item.done", r#""item":{"id":"x"}"#);
    let end = (
        "response.completed",
        r#""response":{"status":"completed","output":[1],"usage":{"total_tokens":1}}"#,
    );
    let failed = ("response.failed", r#""response":{"status":"failed","error":{"message":"m"}}"#);
    let good = [created, progress, added, delta, text, done, end];
    let with = |at: usize, event: (&'static str, &'static str)| {
        let mut events = good;
        events[at] = event;
        typed(&events)
    };
    vec![
        ("good", "response", typed(&good)),
        ("empty", "response", "\n\n".to_owned()),
        ("no type", "response", "data: {}\n\n".to_owned()),
        ("another name", "response", typed(&good).replace("event: response.created", "event: kiln")),
        ("another number", "response", typed(&good).replace("number\":3", "number\":4")),
        ("no end", "response", typed(&good[..6])),
        ("an end in the middle", "response", with(3, end)),
        ("another first", "response", with(0, progress)),
        ("another second", "response", with(1, created)),
        (
            "a delta of no item",
            "response",
            with(3, ("response.output_text.delta", r#""item_id":"y","delta":"a""#)),
        ),
        (
            "a delta of no text",
            "response",
            with(3, ("response.output_text.delta", r#""item_id":"x","delta":1"#)),
        ),
        ("another text", "response", with(4, ("response.output_text.done", r#""item_id":"x","text":"b""#))),
        (
            "other arguments",
            "response",
            with(4, ("response.function_call_arguments.done", r#""item_id":"x","arguments":"b""#)),
        ),
        ("the end of no item", "response", with(5, ("response.output_item.done", r#""item":{"id":"y"}"#))),
        ("an item without an end", "response", with(5, text)),
        ("another output", "response", typed(&good).replace("[1]", "[1,2]")),
        ("another status", "response", typed(&good).replace("\"completed\",\"out", "\"kiln\",\"out")),
        ("no usage", "response", typed(&good).replace("total_tokens\":1", "total_tokens\":null")),
        ("too few", "response", typed(&[created, progress, end])),
        ("cut", "cut-response", typed(&[created, failed])),
        ("cut of nothing", "cut-response", "\n\n".to_owned()),
        (
            "cut with another number",
            "cut-response",
            typed(&[created, failed]).replace("number\":1", "number\":7"),
        ),
        ("cut after its end", "cut-response", typed(&[created, end, failed])),
        ("cut without failure", "cut-response", typed(&[created, progress])),
    ]
}

#[tokio::test]
async fn each_stream_that_breaks_its_grammar_is_told_in_these_words() {
    let mut text = String::new();
    for (what, grammar, body) in chat_streams().into_iter().chain(response_streams()) {
        let case = format!(
            "name = \"a/b\"\nbase = \"chat\"\nexpect = {{ status = 200, grammar = \"{grammar}\" }}\n"
        );
        text += &format!("{grammar}: {what}\n  {}\n", finding(&case, &[stream(&body)]).await);
    }
    assert_golden("grammar.txt", &text);
}

#[test]
fn the_names_of_all_cases_stay() {
    let all = cases().expect("cases that can be read");
    let names: String = all.iter().map(|case| format!("{} {}\n", case.name, case.steps().len())).collect();
    assert_golden("names.txt", &names);
}
