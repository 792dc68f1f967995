//! The simulator's wire: lines of text, parts set apart by tabs. The only place that knows its words.

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::str::FromStr;

use base64::Engine as _;
use thiserror::Error;

use dewladder_router::interface::{
    Action, AttemptFinished, CellId, Event, Health, Key, ListUpdateKind, Micros, Outcome, Report, RequestId,
    RequestInfo, ServerEntry, ServerId, Settings, TimerToken, ZoneId,
};
use dewladder_router::pairs::{from_pairs, micros, SettingsError};

/// What is wrong with the input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line or one of its values can't be read.
    #[error("line {line}: {field}: {what}")]
    Malformed {
        /// The line, counted from 1.
        line: u64,
        /// The value at fault.
        field: String,
        /// What is wrong with it.
        what: String,
    },
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
}

/// What a batch tells one front.
#[derive(Debug, PartialEq)]
pub enum Message {
    /// It starts.
    Born {
        /// For its random numbers.
        seed: u64,
        /// What it is told at start.
        settings: Box<Settings>,
    },
    /// It has been killed.
    Down,
    /// Something has happened.
    Event(Event),
}

/// One batch of messages.
#[derive(Debug, Default, PartialEq)]
pub struct Batch {
    /// The clock.
    pub now: Micros,
    /// The batch's number, given back as it came.
    pub number: String,
    /// Messages with the front that each is for.
    pub messages: Vec<(u32, Message)>,
}

/// Reads batches.
#[derive(Debug)]
pub struct BatchReader<R> {
    input: R,
    line_number: u64,
    line: String,
}

impl<R: BufRead> BatchReader<R> {
    /// Reads from `input`.
    pub fn new(input: R) -> Self {
        Self { input, line_number: 0, line: String::new() }
    }

    /// Reads the next batch into `batch`; `false` at the end of input.
    ///
    /// # Errors
    /// A malformed line, or input that can't be read or ends within a batch.
    pub fn read(&mut self, batch: &mut Batch) -> Result<bool, WireError> {
        batch.messages.clear();
        if !self.next_line()? {
            return Ok(false);
        }
        let mut parts = Parts::new(&self.line, self.line_number);
        if parts.word("message")? != "round" {
            return Err(parts.bad("message", "a batch starts with 'round'"));
        }
        batch.now = parts.time("clock")?;
        batch.number = parts.word("serial")?.to_owned();
        loop {
            if !self.next_line()? {
                return Err(Parts::new("", self.line_number).bad("message", "input ends within a batch"));
            }
            let mut parts = Parts::new(&self.line, self.line_number);
            let word = parts.word("message")?;
            if word == "your_turn" {
                return Ok(true);
            }
            let front = parts.number("front")?;
            if word == "roster_change" {
                let event = self.roster()?;
                batch.messages.push((front, Message::Event(event)));
            } else {
                let message = message(word, &mut parts)?;
                batch.messages.push((front, message));
            }
        }
    }

    fn next_line(&mut self) -> Result<bool, WireError> {
        loop {
            self.line.clear();
            self.line_number += 1;
            match self.input.read_line(&mut self.line) {
                Ok(0) => return Ok(false),
                Ok(_) => {}
                Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                    return Err(Parts::new("", self.line_number).bad("text", "not valid UTF-8"));
                }
                Err(error) => return Err(error.into()),
            }
            while self.line.ends_with(['\n', '\r']) {
                self.line.pop();
            }
            if !self.line.is_empty() {
                return Ok(true);
            }
        }
    }

    fn roster(&mut self) -> Result<Event, WireError> {
        let mut parts = Parts::new(&self.line, self.line_number);
        parts.word("message")?;
        parts.word("front")?;
        parts.number::<u64>("revision")?;
        let how = match parts.word("how")? {
            "patch" => ListUpdateKind::Patch,
            "whole" => ListUpdateKind::Full,
            "stale_copy" => ListUpdateKind::StaleCopy,
            "broken" => ListUpdateKind::Failed,
            other => return Err(parts.bad("how", &format!("unknown kind of list '{other}'"))),
        };
        let count: usize = parts.maybe("items")?.unwrap_or(0);
        let mut entries = Vec::new();
        for _ in 0..count {
            if !self.next_line()? {
                return Err(Parts::new("", self.line_number).bad("items", "fewer entries than announced"));
            }
            let mut parts = Parts::new(&self.line, self.line_number);
            if parts.word("entry")? != "m" {
                return Err(parts.bad("items", "fewer entries than announced"));
            }
            entries.push(entry(&mut parts)?);
        }
        Ok(Event::EndpointsUpdated { how, entries })
    }
}

fn entry(parts: &mut Parts) -> Result<ServerEntry, WireError> {
    Ok(ServerEntry {
        server: ServerId(parts.number("engine")?),
        zone: ZoneId(parts.number("region_part")?),
        cell: CellId(parts.maybe("pack")?.unwrap_or(0)),
        weight: parts.maybe("rating")?.unwrap_or(1.0),
        started: parts.maybe_time("start_time_s")?.filter(|&at| at > 0),
        health: match parts.word("health")? {
            "Ready" => Health::Ready,
            "Terminating" => Health::Terminating,
            "Gone" => Health::Gone,
            other => return Err(parts.bad("health", &format!("unknown state '{other}'"))),
        },
        kind: parts.maybe("type")?.unwrap_or(0),
    })
}

fn message(word: &str, parts: &mut Parts) -> Result<Message, WireError> {
    let event = match word {
        "born" => {
            let seed = parts.number("seed")?;
            return Ok(Message::Born { seed, settings: Box::new(settings(parts)?) });
        }
        "down" => return Ok(Message::Down),
        "call" => Event::RequestArrived(call(parts)?),
        "report_back" => ended(parts)?,
        "ack_first" => {
            let id = parts.request("rid")?;
            let attempt = parts.number("hop")?;
            parts.word("engine")?;
            Event::FirstToken { id, attempt, taken: parts.time("time_taken_s")? }
        }
        "hangup" => Event::ClientDisconnected(parts.request("rid")?),
        "due" => Event::TimerFired(timer(parts.word("key_back")?)),
        "checked" => {
            parts.number::<u32>("verdict")?;
            parts.time("time_taken_s")?;
            parts.number::<u32>("engine")?;
            report(parts)?;
            Event::Ignored
        }
        "inbox" => {
            parts.number::<u32>("sender")?;
            let text = parts.maybe::<String>("bytes")?.unwrap_or_default();
            let text = text.trim_start_matches('-');
            let decoded = base64::engine::general_purpose::STANDARD.decode(text);
            Event::GossipReceived(
                decoded.map_err(|error| parts.bad("bytes", &format!("not base64: {error}")))?,
            )
        }
        "seat_news" => {
            parts.request("rid")?;
            parts.number::<u32>("hop")?;
            parts.number::<u32>("engine")?;
            parts.number::<u32>("kind")?;
            Event::Ignored
        }
        other => return Err(parts.bad("message", &format!("unknown message '{other}'"))),
    };
    Ok(Message::Event(event))
}

fn call(parts: &mut Parts) -> Result<RequestInfo, WireError> {
    let id = parts.request("rid")?;
    let class = parts.number("tier_class")?;
    parts.maybe::<u32>("user_group")?;
    let session = parts.maybe::<String>("chat")?.map(|text| Key::from_text(&text));
    let not_after = parts.time("not_after_s")?;
    let hint = parts.maybe_time("weight_hint_s")?;
    let shared = parts.maybe::<String>("system_prompt")?.map(|text| Key::from_text(&text));
    let prompt_tokens = parts.maybe("n_prompt")?.unwrap_or(0);
    let shared_tokens = parts.maybe("prefix_tokens")?.unwrap_or(0);
    let max_tokens = parts.maybe("max_tokens")?.unwrap_or(0);
    let flags: u32 = parts.maybe("flags")?.unwrap_or(0);
    Ok(RequestInfo {
        id,
        class,
        session,
        shared,
        shared_tokens,
        prompt_tokens,
        max_tokens,
        hint: hint.filter(|_| flags & 1 != 0),
        not_after,
    })
}

fn ended(parts: &mut Parts) -> Result<Event, WireError> {
    let id = parts.request("rid")?;
    let taken = parts.time("time_taken_s")?;
    let attempt = parts.number("hop")?;
    let detail: u64 = parts.maybe("detail")?.unwrap_or(0);
    let outcome = outcome(parts.number("verdict")?, detail == 1);
    let last = parts.maybe::<u8>("last")?.unwrap_or(0) != 0;
    let server = ServerId(parts.number("engine")?);
    let cached_tokens = if matches!(outcome, Outcome::Served | Outcome::Read) { detail } else { 0 };
    Ok(Event::AttemptFinished(AttemptFinished {
        id,
        attempt,
        server,
        taken,
        outcome,
        cached_tokens,
        last,
        report: report(parts)?,
    }))
}

fn outcome(code: u32, no_state: bool) -> Outcome {
    match code {
        1 => Outcome::Served,
        2 => Outcome::Error,
        3 if no_state => Outcome::NoState,
        3 => Outcome::Full,
        4 => Outcome::Timeout,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        77 => Outcome::Read,
        _ => Outcome::Unknown,
    }
}

fn report(parts: &mut Parts) -> Result<Option<Report>, WireError> {
    let Some(text) = parts.maybe::<String>("report")? else {
        return Ok(None);
    };
    let mut report = Report::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(parts.bad("report", &format!("'{pair}' is no name:value pair")));
        };
        if value == "-" {
            continue;
        }
        let value: f64 =
            value.parse().map_err(|_| parts.bad("report", &format!("'{value}' is no number")))?;
        report.set(name, Some(value));
    }
    Ok(Some(report))
}

/// A token that this codec did not write belongs to no timer; the router knows no such number.
fn timer(text: &str) -> TimerToken {
    TimerToken(u64::from_str_radix(text, 16).unwrap_or(u64::MAX))
}

fn settings(parts: &mut Parts) -> Result<Settings, WireError> {
    let mut values = HashMap::new();
    while let Some(pair) = parts.next() {
        let Some((path, value)) = pair.split_once('=') else {
            return Err(parts.bad("settings", &format!("'{pair}' is no path=value pair")));
        };
        values.insert(path, value);
    }
    let named = |error: SettingsError| WireError::Malformed {
        line: parts.line,
        field: format!("settings {}", error.path),
        what: error.what,
    };
    from_pairs(values).map_err(named)
}

/// A line's parts, taken one after the other; errors name the line and the part.
struct Parts<'a> {
    rest: std::str::Split<'a, char>,
    line: u64,
}

impl<'a> Parts<'a> {
    fn new(text: &'a str, line: u64) -> Self {
        Self { rest: text.split('\t'), line }
    }

    fn bad(&self, field: &str, what: &str) -> WireError {
        WireError::Malformed { line: self.line, field: field.to_owned(), what: what.to_owned() }
    }

    fn next(&mut self) -> Option<&'a str> {
        self.rest.next()
    }

    fn word(&mut self, field: &str) -> Result<&'a str, WireError> {
        self.next().filter(|text| !text.is_empty()).ok_or_else(|| self.bad(field, "missing"))
    }

    fn maybe<T: FromStr>(&mut self, field: &str) -> Result<Option<T>, WireError> {
        match self.next() {
            None | Some("-") => Ok(None),
            Some(text) => {
                text.parse().map(Some).map_err(|_| self.bad(field, &format!("can't read '{text}'")))
            }
        }
    }

    fn number<T: FromStr>(&mut self, field: &str) -> Result<T, WireError> {
        self.maybe(field)?.ok_or_else(|| self.bad(field, "missing"))
    }

    fn maybe_time(&mut self, field: &str) -> Result<Option<Micros>, WireError> {
        match self.next() {
            None | Some("-") => Ok(None),
            Some(text) => {
                micros(text).map(Some).ok_or_else(|| self.bad(field, &format!("'{text}' is no time")))
            }
        }
    }

    fn time(&mut self, field: &str) -> Result<Micros, WireError> {
        self.maybe_time(field)?.ok_or_else(|| self.bad(field, "missing"))
    }

    fn request(&mut self, field: &str) -> Result<RequestId, WireError> {
        let text = self.word(field)?;
        let id = u64::from_str_radix(text, 16).ok().filter(|_| text.len() == 16);
        id.map(RequestId).ok_or_else(|| self.bad(field, &format!("'{text}' is no request id")))
    }
}

/// Writes a reply: one line for each action, in order, and `end`.
///
/// # Errors
/// Output that can't be written.
pub fn write_reply<'a, W: Write>(
    out: &mut W,
    number: &str,
    actions: impl IntoIterator<Item = (u32, &'a Action)>,
) -> std::io::Result<()> {
    for (front, action) in actions {
        write_action(out, front, action)?;
    }
    writeln!(out, "end\t{number}")?;
    out.flush()
}

fn write_action<W: Write>(out: &mut W, front: u32, action: &Action) -> std::io::Result<()> {
    match action {
        Action::Assign { id, server, attempt_timeout } => {
            writeln!(out, "assign\t{front}\t{:016x}\t{}\t{}", id.0, server.0, seconds(*attempt_timeout))
        }
        Action::Reject { id, retry_in } => {
            writeln!(out, "not_now\t{front}\t{:016x}\t{}", id.0, seconds(*retry_in))
        }
        Action::Fail(id) => writeln!(out, "give_up\t{front}\t{:016x}", id.0),
        Action::CancelAttempt { id, attempt } => writeln!(out, "revoke\t{front}\t{:016x}\t{attempt}", id.0),
        Action::ReleaseHeldState(id) => writeln!(out, "let_go\t{front}\t{:016x}", id.0),
        Action::StartTimer { delay, token } => {
            writeln!(out, "defer\t{front}\t{}\t{:x}", seconds(*delay), token.0)
        }
        Action::PublishGossip(bytes) => {
            let text = base64::engine::general_purpose::STANDARD.encode(bytes);
            writeln!(out, "announce\t{front}\t*\t{text}")
        }
        Action::Subscribe => writeln!(out, "subscribe\t{front}\t1"),
    }
}

fn seconds(time: Micros) -> String {
    format!("{}.{:06}", time / 1_000_000, time % 1_000_000)
}
