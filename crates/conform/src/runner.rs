//! Runs cases against an address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use crate::cases::{Case, Expect, Step};
use crate::grammar;

/// An answer must have come whole within this.
const ANSWERED: Duration = Duration::from_secs(15);
/// An answer holds this many bytes at most.
const MOST: usize = 8 << 20;

/// What is tested.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where it listens: on loopback.
    pub address: SocketAddr,
    /// The key that is sent, if any.
    pub key: Option<String>,
    /// A second tenant's key: without one, cases that need it are errors.
    pub other_key: Option<String>,
    /// A model whose requests may repeat, and one whose requests run once.
    pub model: String,
    /// The one whose requests run once.
    pub once: String,
    /// Makes this run's keys and texts its own.
    pub nonce: String,
}

/// What a case came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Came {
    /// All was as expected.
    Passed,
    /// Something was not.
    Failed(String),
    /// It could not be tried.
    Error(String),
}

/// A case and what it came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The case's name.
    pub name: String,
    /// What it came to.
    pub came: Came,
}

struct Answer {
    status: u16,
    headers: BTreeMap<String, String>,
    body: String,
}

/// Runs these cases, one after the other.
pub async fn run(target: &Target, cases: &[Case]) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for case in cases {
        let came = one(target, case).await;
        outcomes.push(Outcome { name: case.name.clone(), came });
    }
    outcomes
}

async fn one(target: &Target, case: &Case) -> Came {
    let steps = case.steps();
    if steps.is_empty() || steps.iter().any(|step| step.expect.status == 0) {
        return Came::Error("the case expects nothing".to_owned());
    }
    let mut words = BTreeMap::from([
        ("model".to_owned(), target.model.clone()),
        ("once".to_owned(), target.once.clone()),
        ("nonce".to_owned(), format!("{}-{}", target.nonce, case.name.replace('/', "-"))),
        ("key".to_owned(), target.key.clone().unwrap_or_default()),
    ]);
    if let Some(other) = &target.other_key {
        words.insert("other_key".to_owned(), other.clone());
    }
    let mut bodies: Vec<String> = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        let request = match text(target, step, &words) {
            Ok(request) => request,
            Err(what) => return Came::Error(format!("step {at}: {what}")),
        };
        let answer = match ask(target.address, &request).await {
            Ok(answer) => answer,
            Err(what) => return Came::Error(format!("step {at}: {what}")),
        };
        if let Err(what) = held(&step.expect, &answer, &bodies, &words) {
            return Came::Failed(format!("step {at}: {what}"));
        }
        for (name, pointer) in &step.capture {
            let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            match value.pointer(pointer).and_then(Value::as_str) {
                Some(value) => drop(words.insert(name.clone(), value.to_owned())),
                None => return Came::Failed(format!("step {at}: there is no text at {pointer}")),
            }
        }
        bodies.push(answer.body);
    }
    Came::Passed
}

fn fill(text: &str, words: &BTreeMap<String, String>) -> Result<String, String> {
    let mut text = text.to_owned();
    for (name, value) in words {
        text = text.replace(&format!("{{{name}}}"), value);
    }
    if text.contains("{other_key}") {
        return Err("a second tenant's key is needed".to_owned());
    }
    Ok(text)
}

fn base(name: &str, target: &Target) -> Result<(&'static str, Value), String> {
    match name {
        "chat" => Ok((
            "/v1/chat/completions",
            json!({"model": target.model, "messages": [{"role": "user", "content": "Is a kiln free on Friday?"}]}),
        )),
        "completion" => Ok(("/v1/completions", json!({"model": target.model, "prompt": "A glaze firing"}))),
        "response" => {
            Ok(("/v1/responses", json!({"model": target.model, "input": "Is a kiln free on Friday?"})))
        }
        other => Err(format!("there is no base '{other}'")),
    }
}

fn merge(into: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else { return };
    for (name, value) in patch {
        match value {
            Value::Object(_) if into[name].is_object() => merge(&mut into[name], value),
            _ => into[name] = value.clone(),
        }
    }
}

fn text(target: &Target, step: &Step, words: &BTreeMap<String, String>) -> Result<Vec<u8>, String> {
    let mut path = step.path.clone().unwrap_or_else(|| "/v1/chat/completions".to_owned());
    let mut body = Vec::new();
    if let Some(name) = &step.base {
        let (at, mut value) = base(name, target)?;
        if let Some(set) = &step.set {
            let patch: Value =
                serde_json::from_str(&fill(set, words)?).map_err(|error| format!("set: {error}"))?;
            merge(&mut value, &patch);
        }
        path = step.path.clone().unwrap_or_else(|| at.to_owned());
        body = value.to_string().into_bytes();
    }
    if let Some(raw) = &step.raw {
        body = fill(raw, words)?.into_bytes();
    }
    if let Some(hex) = &step.hex {
        let byte = |at| u8::from_str_radix(hex.get(at..at + 2)?, 16).ok();
        body = (0..hex.len()).step_by(2).map(byte).collect::<Option<_>>().ok_or("hex: no bytes")?;
    }
    let method = step.method.as_deref().unwrap_or(if body.is_empty() { "GET" } else { "POST" });
    let mut headers = BTreeMap::from([("host".to_owned(), "localhost".to_owned())]);
    if let Some(key) = &target.key {
        headers.insert("authorization".to_owned(), format!("Bearer {key}"));
    }
    if !body.is_empty() {
        headers.insert("content-type".to_owned(), "application/json".to_owned());
        headers.insert("content-length".to_owned(), body.len().to_string());
    }
    headers.insert("connection".to_owned(), "close".to_owned());
    for (name, value) in &step.headers {
        headers.insert(name.to_ascii_lowercase(), fill(value, words)?);
    }
    let mut request = format!("{method} {} HTTP/1.1\r\n", fill(&path, words)?).into_bytes();
    for (name, value) in headers.iter().filter(|(_, value)| !value.is_empty()) {
        request.extend(format!("{name}: {value}\r\n").bytes());
    }
    request.extend(b"\r\n");
    request.extend(body);
    Ok(request)
}

async fn ask(to: SocketAddr, request: &[u8]) -> Result<Answer, String> {
    let until = Instant::now() + ANSWERED;
    let answered = async {
        let mut stream = TcpStream::connect(to).await.map_err(|error| format!("can't connect: {error}"))?;
        stream.write_all(request).await.map_err(|error| format!("can't send: {error}"))?;
        let mut read = Vec::new();
        while stream.read_buf(&mut read).await.map_err(|error| format!("the answer broke off: {error}"))? > 0
        {
            if read.len() > MOST {
                return Err("the answer does not end".to_owned());
            }
        }
        Ok(read)
    };
    let read = timeout_at(until, answered).await.map_err(|_| "no answer in time".to_owned())??;
    parse(&read)
}

fn parse(read: &[u8]) -> Result<Answer, String> {
    let text = String::from_utf8_lossy(read);
    let (head, body) = text.split_once("\r\n\r\n").ok_or("no whole head came")?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).and_then(|code| code.parse().ok());
    let status = status.ok_or("the answer has no status")?;
    let pair = |line: &str| {
        line.split_once(':').map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers: BTreeMap<String, String> = lines.filter_map(pair).collect();
    let chunked = headers.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    let body = if chunked { unchunk(body.as_bytes())? } else { body.to_owned() };
    if let Some(length) = headers.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        if body.len() != length {
            return Err(format!("{} bytes of {length} came", body.len()));
        }
    }
    Ok(Answer { status, headers, body })
}

fn unchunk(mut rest: &[u8]) -> Result<String, String> {
    let mut whole = Vec::new();
    loop {
        let line =
            rest.windows(2).position(|window| window == b"\r\n").ok_or("the last chunk did not come")?;
        let length =
            std::str::from_utf8(&rest[..line]).ok().and_then(|text| usize::from_str_radix(text, 16).ok());
        let length = length.ok_or("a chunk without a length")?;
        if length == 0 {
            return Ok(String::from_utf8_lossy(&whole).into_owned());
        }
        let piece = rest.get(line + 2..line + 2 + length).ok_or("a chunk that is not whole")?;
        whole.extend_from_slice(piece);
        rest = rest.get(line + 4 + length..).ok_or("a chunk that is not whole")?;
    }
}

fn held(
    expect: &Expect,
    answer: &Answer,
    before: &[String],
    words: &BTreeMap<String, String>,
) -> Result<(), String> {
    let say =
        |what: &str, is: &dyn std::fmt::Display| Err(format!("{what} is {is}: {}", short(&answer.body)));
    if answer.status != expect.status {
        return say(&format!("status {} expected, it", expect.status), &answer.status);
    }
    for (name, wanted) in &expect.headers {
        let found = answer.headers.get(&name.to_ascii_lowercase()).map(String::as_str);
        let good = match wanted.as_str() {
            "" => found.is_none(),
            "*" => found.is_some_and(|value| !value.is_empty()),
            wanted => found == Some(wanted),
        };
        if !good {
            return Err(format!("header {name} is {found:?}, not '{wanted}'"));
        }
    }
    let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    if answer.status >= 400 {
        let error = &value["error"];
        let texts =
            error["message"].as_str().is_some_and(|text| !text.is_empty()) && error["type"].is_string();
        if !texts || error.get("param").is_none() || error.get("code").is_none() {
            return Err(format!("the error is not in the published envelope: {}", short(&answer.body)));
        }
    }
    if let Some(code) = expect.code.as_ref().filter(|code| value["error"]["code"] != **code) {
        return say(&format!("code {code} expected, it"), &value["error"]["code"]);
    }
    if let Some(param) = expect.param.as_ref().filter(|param| value["error"]["param"] != **param) {
        return say(&format!("param {param} expected, it"), &value["error"]["param"]);
    }
    for (pointer, wanted) in &expect.json {
        let found = value.pointer(pointer).unwrap_or(&Value::Null);
        let wanted = match wanted {
            Value::String(text) => Value::String(fill(text, words)?),
            other => other.clone(),
        };
        if (wanted == "*" && found.is_null()) || (wanted != "*" && *found != wanted) {
            return Err(format!("{pointer} is {found}, not {wanted}"));
        }
    }
    if let Some(kind) = &expect.grammar {
        let stream =
            answer.headers.get("content-type").is_some_and(|kind| kind.starts_with("text/event-stream"));
        if !stream {
            return Err("the answer is no stream of events".to_owned());
        }
        grammar::check(kind, &answer.body, expect.choices.unwrap_or(1), expect.usage)
            .map_err(|what| format!("{what}: {}", short(&answer.body)))?;
    }
    if let Some(at) = expect.same_as {
        let same = before.get(at).is_some_and(|before| *before == answer.body);
        if !same {
            return Err(format!("the answer is not that of step {at}: {}", short(&answer.body)));
        }
    }
    Ok(())
}

fn short(body: &str) -> String {
    let text: String = body.chars().take(300).collect();
    text.replace('\n', " ")
}
