//! The outcome of a case for each kind of wrong answer, compared byte for byte with golden files. A scripted front
//! sends the answers.

mod golden_file;

use dewladder_conform::{cases, run, Case, CaseResult, Target};
use golden_file::assert_golden;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// Runs one case, whose steps receive these answers in order, and returns its outcome as one line.
async fn run_against_script(case: &str, answers: &[String]) -> String {
    let case: Case = toml::from_str(case).expect("a case");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let answers = answers.to_vec();
    let front = tokio::spawn(async move {
        for answer in answers {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = vec![0; 64 << 10];
            let length = stream.read(&mut request).await.expect("a request");
            assert!(length > 0, "the connection closed without a request");
            stream.write_all(answer.as_bytes()).await.expect("an answer");
        }
    });
    let target = Target {
        address,
        key: Some("key".to_owned()),
        other_key: None,
        model: "kiln-ask".to_owned(),
        at_most_once_model: "kiln-book".to_owned(),
        nonce: "nonce".to_owned(),
    };
    let reports = run(&target, &[case]).await;
    front.abort();
    match &reports[0].result {
        CaseResult::Passed => "passed".to_owned(),
        CaseResult::Failed(description) => format!("failed: {description}"),
        CaseResult::NotRun(description) => format!("error: {description}"),
    }
}

/// An answer with `Content-Length`; `headers` are complete header lines.
fn plain(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// An answer whose body is an event stream that ends when the connection closes.
fn stream(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{body}")
}

/// Events without a name, one for each string.
fn data(events: &[&str]) -> String {
    events.iter().map(|event| format!("data: {event}\n\n")).collect()
}

/// A chunk of the chat API with this JSON as its `choices`.
fn chunk(choices: &str) -> String {
    format!(r#"{{"id":"i","model":"m","created":1,"object":"chat.completion.chunk","choices":{choices}}}"#)
}

/// The `choices` of a chunk: one choice with these JSON values.
fn choice(index: u8, delta: &str, finish: &str) -> String {
    format!(r#"[{{"index":{index},"delta":{delta},"finish_reason":{finish}}}]"#)
}

#[tokio::test]
async fn every_mismatch_has_its_golden_text() {
    let error = r#"{"error":{"message":"m","type":"t","param":"n","code":"c"}}"#;
    let expect = |expect: &str| format!("name = \"a/b\"\nbase = \"chat\"\nexpect = {{ {expect} }}\n");
    let mut text = String::new();
    for (description, case, answer) in [
        ("passed", expect("status = 200"), plain(200, "", "{}")),
        ("no expected status", "name = \"a/b\"\n".to_owned(), plain(200, "", "{}")),
        ("status", expect("status = 200"), plain(500, "", error)),
        ("code", expect("status = 400, code = \"x\""), plain(400, "", error)),
        ("param", expect("status = 400, param = \"x\""), plain(400, "", error)),
        ("incomplete error", expect("status = 400"), plain(400, "", "{\"error\": {}}")),
        ("error that is not JSON", expect("status = 400"), plain(400, "", "a\nb")),
        ("missing header", expect("status = 200, headers = { x-a = \"*\" }"), plain(200, "", "{}")),
        (
            "wrong header value",
            expect("status = 200, headers = { x-a = \"b\" }"),
            plain(200, "X-A: c\r\n", "{}"),
        ),
        (
            "header that must be absent",
            expect("status = 200, headers = { x-a = \"\" }"),
            plain(200, "x-a: c\r\n", "{}"),
        ),
        ("wrong JSON value", expect("status = 200, json = { \"/a\" = 2 }"), plain(200, "", "{\"a\":1}")),
        ("missing JSON value", expect("status = 200, json = { \"/a\" = \"*\" }"), plain(200, "", "{}")),
        (
            "JSON value from a variable",
            expect("status = 200, json = { \"/a\" = \"{model}\" }"),
            plain(200, "", "{\"a\":\"x\"}"),
        ),
        ("not an event stream", expect("status = 200, grammar = \"chat\""), plain(200, "", "{}")),
        ("unknown grammar", expect("status = 200, grammar = \"kiln\""), stream("")),
        ("same_as of a step that is missing", expect("status = 200, same_as = 3"), plain(200, "", "{}")),
        ("nothing to capture", expect("status = 200") + "capture = { id = \"/id\" }\n", plain(200, "", "{}")),
        (
            "unknown base",
            "name = \"a/b\"\nbase = \"kiln\"\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        (
            "set that is not JSON",
            "name = \"a/b\"\nbase = \"chat\"\nset = '{'\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        (
            "no key of a second tenant",
            "name = \"a/b\"\nraw = \"{other_key}\"\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        (
            "invalid hex",
            "name = \"a/b\"\nhex = \"0g\"\nexpect = { status = 200 }\n".to_owned(),
            String::new(),
        ),
        ("incomplete head", expect("status = 200"), " ".to_owned()),
        ("no status", expect("status = 200"), "HTTP\r\n\r\n".to_owned()),
        (
            "body shorter than content-length",
            expect("status = 200"),
            plain(200, "", "{}").replace("length: 2", "length: 9"),
        ),
        (
            "chunk without a length",
            expect("status = 200"),
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nx\r\n".to_owned(),
        ),
        (
            "chunk shorter than its length",
            expect("status = 200"),
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nx\r\n".to_owned(),
        ),
        (
            "no last chunk",
            expect("status = 200"),
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n".to_owned(),
        ),
    ] {
        text += &format!("{description}\n  {}\n", run_against_script(&case, &[answer]).await);
    }
    let steps =
        "name = \"a/b\"\n[[step]]\nbase = \"chat\"\nexpect = { status = 200 }\n[[step]]\nbase = \"chat\"\n\
                 expect = { status = 200, same_as = 0 }\n";
    let answers = [plain(200, "", "{\"a\":1}"), plain(200, "", "{\"a\":2}")];
    text +=
        &format!("body that differs from the earlier one\n  {}\n", run_against_script(steps, &answers).await);
    assert_golden("findings.txt", &text);
}

/// `(description, grammar, body)` of streams of chunks.
fn chat_streams() -> Vec<(&'static str, &'static str, String)> {
    let first = chunk(&choice(0, r#"{"role":"assistant","content":"a"}"#, "null"));
    let last = chunk(&choice(0, "{}", "\"stop\""));
    let usage = chunk("[]").replace("\"choices\"", "\"usage\":{\"total_tokens\":3},\"choices\"");
    let error = r#"{"error":{"message":"m","type":"server_error","code":"c"}}"#;
    vec![
        ("good", "chat", data(&[&first, &last, "[DONE]"])),
        ("empty", "chat", String::new()),
        ("only a blank line", "chat", "\n\n".to_owned()),
        ("invalid line of an event", "chat", "kiln\n\n".to_owned()),
        ("data that is not JSON", "chat", data(&["{", "[DONE]"])),
        ("no [DONE]", "chat", data(&[&first, &last])),
        ("[DONE] twice", "chat", data(&[&first, "[DONE]", "[DONE]"])),
        ("error event", "chat", data(&[error, "[DONE]"])),
        ("wrong object", "chat", data(&[&first.replace("chat.completion.chunk", "kiln"), "[DONE]"])),
        ("invalid created", "chat", data(&[&first.replace(":1,", ":null,"), "[DONE]"])),
        ("no id", "chat", data(&[&first.replace("\"i\"", "1"), "[DONE]"])),
        ("an id that changes", "chat", data(&[&first, &last.replace("\"i\"", "\"j\""), "[DONE]"])),
        ("no choices", "chat", data(&[&chunk("1"), "[DONE]"])),
        ("usage chunk without usage", "chat", data(&[&first, &last, &chunk("[]"), "[DONE]"])),
        ("usage chunk before the last choice ends", "chat", data(&[&first, &usage, &last, "[DONE]"])),
        ("unexpected usage chunk", "chat", data(&[&first, &last, &usage, "[DONE]"])),
        (
            "usage in a chunk with choices",
            "chat",
            data(&[&first.replace("\"choices\"", "\"usage\":{},\"choices\""), "[DONE]"]),
        ),
        ("no index", "chat", data(&[&first.replace("\"index\":0,", ""), "[DONE]"])),
        ("index out of range", "chat", data(&[&first.replace("\"index\":0", "\"index\":1"), "[DONE]"])),
        ("no delta", "chat", data(&[&first.replace("delta", "kiln"), "[DONE]"])),
        ("wrong role", "chat", data(&[&first.replace("assistant", "kiln"), "[DONE]"])),
        ("role twice", "chat", data(&[&first, &first, "[DONE]"])),
        ("choice continues after finish_reason", "chat", data(&[&first, &last, &last, "[DONE]"])),
        ("no finish_reason", "chat", data(&[&first, "[DONE]"])),
        (
            "no text",
            "completion",
            data(&[&first.replace("chat.completion.chunk", "text_completion"), "[DONE]"]),
        ),
        ("too few choices", "chat", data(&["[DONE]"])),
        ("cut", "cut", data(&[&first, error])),
        ("cut without a chunk", "cut", data(&[error])),
        ("cut without an error", "cut", data(&[&first, &first])),
        ("cut after [DONE]", "cut", data(&["[DONE]", error])),
        ("cut with two errors", "cut", data(&[error, error])),
        ("cut with finish_reason", "cut", data(&[&last, error])),
    ]
}

/// Numbered events of the Responses API, from `(type, further fields)`.
fn numbered_events(events: &[(&str, &str)]) -> String {
    let event = |(at, (kind, fields)): (usize, &(&str, &str))| {
        let comma = if fields.is_empty() { "" } else { "," };
        format!("event: {kind}\ndata: {{\"type\":\"{kind}\",\"sequence_number\":{at}{comma}{fields}}}\n\n")
    };
    events.iter().enumerate().map(event).collect()
}

/// `(description, grammar, body)` of streams of the Responses API.
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
    let good_with = |at: usize, event: (&'static str, &'static str)| {
        let mut events = good;
        events[at] = event;
        numbered_events(&events)
    };
    vec![
        ("good", "response", numbered_events(&good)),
        ("empty", "response", "\n\n".to_owned()),
        ("no type", "response", "data: {}\n\n".to_owned()),
        (
            "event name differs from type",
            "response",
            numbered_events(&good).replace("event: response.created", "event: kiln"),
        ),
        ("wrong sequence_number", "response", numbered_events(&good).replace("number\":3", "number\":4")),
        ("no final event", "response", numbered_events(&good[..6])),
        ("final event in the middle", "response", good_with(3, end)),
        ("wrong first event", "response", good_with(0, progress)),
        ("wrong second event", "response", good_with(1, created)),
        (
            "delta for an unknown item",
            "response",
            good_with(3, ("response.output_text.delta", r#""item_id":"y","delta":"a""#)),
        ),
        (
            "delta that is not a string",
            "response",
            good_with(3, ("response.output_text.delta", r#""item_id":"x","delta":1"#)),
        ),
        (
            "text differs from its deltas",
            "response",
            good_with(4, ("response.output_text.done", r#""item_id":"x","text":"b""#)),
        ),
        (
            "arguments differ from their deltas",
            "response",
            good_with(4, ("response.function_call_arguments.done", r#""item_id":"x","arguments":"b""#)),
        ),
        (
            "done for an unknown item",
            "response",
            good_with(5, ("response.output_item.done", r#""item":{"id":"y"}"#)),
        ),
        ("item without done", "response", good_with(5, text)),
        ("wrong number of output items", "response", numbered_events(&good).replace("[1]", "[1,2]")),
        ("wrong status", "response", numbered_events(&good).replace("\"completed\",\"out", "\"kiln\",\"out")),
        ("no usage", "response", numbered_events(&good).replace("total_tokens\":1", "total_tokens\":null")),
        ("too few events", "response", numbered_events(&[created, progress, end])),
        ("cut", "cut-response", numbered_events(&[created, failed])),
        ("cut without an event", "cut-response", "\n\n".to_owned()),
        (
            "cut with a wrong sequence_number",
            "cut-response",
            numbered_events(&[created, failed]).replace("number\":1", "number\":7"),
        ),
        ("cut after response.completed", "cut-response", numbered_events(&[created, end, failed])),
        ("cut without response.failed", "cut-response", numbered_events(&[created, progress])),
    ]
}

#[tokio::test]
async fn every_violation_has_its_golden_text() {
    let mut text = String::new();
    for (description, grammar, body) in chat_streams().into_iter().chain(response_streams()) {
        let case = format!(
            "name = \"a/b\"\nbase = \"chat\"\nexpect = {{ status = 200, grammar = \"{grammar}\" }}\n"
        );
        text +=
            &format!("{grammar}: {description}\n  {}\n", run_against_script(&case, &[stream(&body)]).await);
    }
    assert_golden("grammar.txt", &text);
}

#[test]
fn case_names_and_step_counts_match_the_golden_file() {
    let all = cases().expect("cases that can be read");
    let names: String = all.iter().map(|case| format!("{} {}\n", case.name, case.steps().len())).collect();
    assert_golden("names.txt", &names);
}
