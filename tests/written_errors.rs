//! Error responses of both fronts, byte for byte: status, headers and body of each.

mod golden_file;
mod stand_in;

use std::fmt::Write as _;

use axum::body::Body;
use axum::http::{HeaderMap, Response, StatusCode};
use dewladder::edge::clients::error_response::{json_response, not_admitted, set_request_id, ErrorResponse};
use dewladder::interface::RequestId;
use dewladder_idempotency::{Admission, DeferReason, RejectReason};
use golden_file::assert_golden;
use http_body_util::BodyExt as _;
use serde_json::json;
use stand_in::*;
use tokio::time::Duration;

/// The text of a response: its status, its headers in order and its body.
async fn response_text(response: Response<Body>) -> String {
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a body in memory").to_bytes();
    let mut text = format!("  {}\n", head.status);
    for (name, value) in &head.headers {
        writeln!(text, "  {name}: {}", value.to_str().expect("plain text")).expect("a string");
    }
    text + "  " + std::str::from_utf8(&body).expect("UTF-8") + "\n"
}

#[tokio::test]
async fn each_error_of_the_chat_api_has_its_status_headers_and_body() {
    let mut text = String::new();
    let field = |status: StatusCode| ErrorResponse {
        param: Some("n".to_owned()),
        ..ErrorResponse::new(status, "code", "what")
    };
    let errors = [
        ("a bad request", field(StatusCode::BAD_REQUEST)),
        ("unauthorized", field(StatusCode::UNAUTHORIZED)),
        ("too many", field(StatusCode::TOO_MANY_REQUESTS)),
        ("a server's", field(StatusCode::BAD_GATEWAY)),
        ("refused, 0 us", ErrorResponse::refused(0)),
        ("refused, 1 us", ErrorResponse::refused(1)),
        ("refused, 1.5 s", ErrorResponse::refused(1_500_000)),
        ("failed", ErrorResponse::failed(false)),
        ("failed, never again", ErrorResponse::failed(true)),
        ("Mismatch", not_admitted(Admission::KeyReused)),
        ("Never Answered", not_admitted(Admission::Reject(RejectReason::AlreadyAnswered))),
        ("Never MayHaveRun", not_admitted(Admission::Reject(RejectReason::MayHaveExecuted))),
        ("Never JustStarted", not_admitted(Admission::Reject(RejectReason::RecentStart))),
        (
            "Later Budget",
            not_admitted(Admission::Defer { retry_after_us: 2_000_001, reason: DeferReason::RetryBudget }),
        ),
        ("Later Full", not_admitted(Admission::Defer { retry_after_us: 999, reason: DeferReason::Capacity })),
        (
            "Later Readers",
            not_admitted(Admission::Defer {
                retry_after_us: 30_000_000,
                reason: DeferReason::TooManyReaders,
            }),
        ),
        ("Unrecorded", not_admitted(Admission::RunUnrecorded)),
    ];
    for (title, error) in errors {
        text += &format!("{title}\n{}", response_text(error.into_response()).await);
    }
    let refused = dewladder_chat::parse_body(b"[", 4).expect_err("no JSON");
    text += &format!("unreadable\n{}", response_text(ErrorResponse::from(refused).into_response()).await);
    let whole = json_response(StatusCode::OK, bytes::Bytes::from(json!({"a": 1}).to_string()));
    text += &format!("an answer\n{}", response_text(whole).await);
    let mut headers = HeaderMap::new();
    set_request_id(&mut headers, RequestId(0xff));
    writeln!(text, "{headers:?}").expect("a string");
    assert_golden("chat_errors.txt", &text);
}

/// An answer as received, with the values of `date`, `x-request-id` and `retry-after`, which differ from run to run,
/// masked.
fn mask_varying_headers(answer: &str) -> String {
    let mut text = String::new();
    for line in answer.split("\r\n") {
        match line.split_once(": ") {
            Some((name @ ("date" | "x-request-id" | "retry-after"), _)) => writeln!(text, "  {name}: [*]"),
            _ => writeln!(text, "  {line}"),
        }
        .expect("a string");
    }
    text
}

/// Requests to the chat front, each with its title in the golden file.
fn chat_requests() -> Vec<(&'static str, String)> {
    let head = |first: &str, headers: &str| {
        format!("{first} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-clay\r\n{headers}Connection: close\r\n\r\n")
    };
    let with_body = |headers: &str, body: &str| {
        let first = format!("{headers}Content-Length: {}\r\n", body.len());
        head("POST /v1/chat/completions", &first) + body
    };
    let good = r#"{"model":"kiln-ask","messages":[{"role":"user","content":"a"}]}"#;
    let response =
        |body: &str| head("POST /v1/responses", &format!("Content-Length: {}\r\n", body.len())) + body;
    let origin = "Origin: https://clay.example\r\n";
    vec![
        ("no such path", head("GET /v1/kilns", "")),
        ("no such path below responses", head("GET /v1/responses/a/b", "")),
        ("GET where POST belongs", head("GET /v1/chat/completions", "")),
        ("PUT of a response", head("PUT /v1/responses/a", "")),
        ("OPTIONS without an origin", head("OPTIONS /v1/models", "")),
        ("OPTIONS of a browser app", head("OPTIONS /v1/responses/a", origin)),
        ("an error for a browser app", head("GET /v1/kilns", origin)),
        (
            "OPTIONS of an app that is not let in",
            head("OPTIONS /v1/models", "Origin: https://jars.example\r\n"),
        ),
        ("an unknown key", post(good, "key-of-nobody")),
        ("no key", "GET /v1/models HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".to_owned()),
        ("another media type", with_body("Content-Type: text/plain\r\n", good)),
        ("too long", head("POST /v1/chat/completions", "Content-Length: 300000\r\n")),
        (
            "two lengths",
            head("POST /v1/chat/completions", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
        ),
        ("no JSON", with_body("", "{")),
        ("a field at fault", with_body("", r#"{"model":"kiln-ask","messages":[{"role":"chef"}]}"#)),
        ("an unknown model", with_body("", &good.replace("kiln-ask", "kiln"))),
        ("two choices of what runs once", with_body("", &good.replace("kiln-ask\"", "kiln-book\",\"n\":2"))),
        ("two prompts of what runs once", {
            let body = r#"{"model":"kiln-book","prompt":["a","b"]}"#;
            head("POST /v1/completions", &format!("Content-Length: {}\r\n", body.len())) + body
        }),
        ("two keys", with_body("Idempotency-Key: a\r\nIdempotency-Key: b\r\n", good)),
        ("a key with a blank", with_body("Idempotency-Key: a b\r\n", good)),
        ("a key that is too long", with_body(&format!("Idempotency-Key: {}\r\n", "a".repeat(256)), good)),
        (
            "a previous response that is not kept",
            response(r#"{"model":"kiln-ask","input":"a","previous_response_id":"r"}"#),
        ),
        ("a response that is not kept", head("GET /v1/responses/resp_1", "")),
        ("a response to be forgotten", head("DELETE /v1/responses/resp_1", "")),
        ("the models", head("GET /v1/models", "")),
        ("a model", head("GET /v1/models/kiln-ask", "")),
        ("an unknown model by its path", head("GET /v1/models/kiln", "")),
    ]
}

#[tokio::test]
async fn each_rejected_request_to_the_chat_front_has_its_golden_answer() {
    let origins = "origins = [\"https://clay.example\"]\n";
    let site = FleetSite::with_chat(Shape::default(), origins, "enabled = true\nafter_start_s = 0.0\n").await;
    let mut text = String::new();
    for (title, request) in chat_requests() {
        text += &format!("{title}\n{}", mask_varying_headers(&until_close(site.chat, &request).await));
    }
    let key = "Idempotency-Key: k1\r\n";
    until_close(site.chat, &chat_request("kiln-book", "first", false, key)).await;
    let reused = until_close(site.chat, &chat_request("kiln-book", "other", false, key)).await;
    text += &format!("a key of another body\n{}", mask_varying_headers(&reused));
    for (title, model, fault) in [
        ("an answer that breaks off", "kiln-ask", Fault::Cuts(2)),
        ("a booking that breaks off", "kiln-book", Fault::Cuts(2)),
        ("a booking that fails", "kiln-book", Fault::Fails),
    ] {
        // Each case has a site of its own, since servers that failed are ejected for a while.
        let site = FleetSite::start(Shape::default(), "enabled = true\nafter_start_s = 0.0\n").await;
        site.fleet.script([fault]);
        let answer = until_close(site.chat, &chat_request(model, title, false, "")).await;
        text += &format!("{title}\n{}", mask_varying_headers(&answer));
    }
    assert_golden("chat_front.txt", &text);
}

/// Requests to the platform front, each with its title in the golden file.
fn platform_requests() -> Vec<(&'static str, String)> {
    let head = |headers: &str| {
        format!("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: 2\r\nConnection: close\r\n\r\n{{}}")
    };
    let good = "X-Txn: a1\r\nX-Lane: ask\r\n";
    vec![
        ("no X-Txn", head("")),
        ("two X-Txn", head("X-Txn: a\r\nX-Txn: b\r\nX-Lane: ask\r\n")),
        ("two X-Labels", head("X-Txn: a\r\nX-Lane: ask\r\nX-Labels: a=1\r\nX-Labels: b=2\r\n")),
        ("an empty X-Txn", head("X-Txn: \r\nX-Lane: ask\r\n")),
        ("X-Txn with a slash", head("X-Txn: a/b\r\nX-Lane: ask\r\n")),
        ("X-Txn that is too long", head(&format!("X-Txn: {}\r\nX-Lane: ask\r\n", "a".repeat(65)))),
        ("no X-Lane", head("X-Txn: a1\r\n")),
        ("an unknown X-Lane", head("X-Txn: a1\r\nX-Lane: cook\r\n")),
        ("X-Remaining that is no number", head(&format!("{good}X-Remaining: soon\r\n"))),
        ("X-Remaining below 0", head(&format!("{good}X-Remaining: -1\r\n"))),
        ("X-Remaining beyond an hour", head(&format!("{good}X-Remaining: 3601\r\n"))),
        ("X-Labels with a length that is none", head(&format!("{good}X-Labels: prompt_len=x\r\n"))),
        ("X-Labels with a length that is too great", head(&format!("{good}X-Labels: max_out=1048577\r\n"))),
        ("no JSON", head(good).replace("{}", "{ ")),
        ("too long", head(good).replace("Content-Length: 2", "Content-Length: 300000")),
        ("two lengths", head(&format!("{good}Transfer-Encoding: chunked\r\n"))),
        ("another path", head(good).replace("completions", "kilns")),
        ("GET", head(good).replace("POST", "GET")),
        ("no HTTP", "KILN\r\n\r\n".to_owned()),
    ]
}

#[tokio::test]
async fn each_rejected_request_to_the_platform_front_has_its_golden_answer() {
    let site = Site::start(Behavior::Read, Behavior::Nothing).await;
    let mut text = String::new();
    for (title, request) in platform_requests() {
        text += &format!("{title}\n{}", mask_varying_headers(&until_close(site.platform, &request).await));
    }
    let (front, open) = (site.platform, platform("one", "ask", "20"));
    let first = tokio::spawn({
        let open = open.clone();
        async move { until_close(front, &open).await }
    });
    eventually("the writer has the first request", || !site.writer.log().is_empty()).await;
    text += &format!("an X-Txn that is open\n{}", mask_varying_headers(&until_close(front, &open).await));
    first.abort();
    let draining = FleetSite::start(Shape::default(), "").await;
    draining.fleet.drain(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let refused = until_close(draining.platform, &platform("two", "ask", "2")).await;
    text += &format!("refused\n{}", mask_varying_headers(&refused));
    let failing = Site::start(Behavior::Read, Behavior::Fail).await;
    let failed = until_close(failing.platform, &platform("three", "book", "2")).await;
    text += &format!("failed\n{}", mask_varying_headers(&failed));
    assert_golden("platform_front.txt", &text);
}
