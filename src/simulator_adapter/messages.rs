//! Parsing of single messages.

use std::collections::HashMap;

use base64::Engine as _;
use dewladder_router::interface::{
    AttemptFinished, CellId, Event, Health, HeldStateAfter, Key, Outcome, Report, RequestInfo, ServerEntry,
    ServerId, Settings, TimerToken, ZoneId,
};
use dewladder_router::settings::{from_key_values, SettingsError};

use crate::simulator_adapter::fields::Fields;
use crate::simulator_adapter::{Message, WireError};

/// Parses an entry of the server list, after its leading `m`.
pub(super) fn list_entry(fields: &mut Fields) -> Result<ServerEntry, WireError> {
    Ok(ServerEntry {
        server: ServerId(fields.number("engine")?),
        zone: ZoneId(fields.number("region_part")?),
        cell: CellId(fields.optional("pack")?.unwrap_or(0)),
        weight: fields.optional("rating")?.unwrap_or(1.0),
        started: fields.optional_time("start_time_s")?.filter(|&at| at > 0),
        health: match fields.word("health")? {
            "Ready" => Health::Ready,
            "Terminating" => Health::Terminating,
            "Gone" => Health::Gone,
            other => return Err(fields.malformed("health", &format!("unknown state '{other}'"))),
        },
        kind: fields.optional("type")?.unwrap_or(0),
    })
}

/// Parses the rest of a message of the kind `word`. Kinds that the router does not use become [`Event::Ignored`].
pub(super) fn message(word: &str, fields: &mut Fields) -> Result<Message, WireError> {
    let event = match word {
        "born" => {
            let seed = fields.number("seed")?;
            return Ok(Message::Started { seed, settings: Box::new(settings(fields)?) });
        }
        "down" => return Ok(Message::Killed),
        "call" => Event::RequestArrived(request(fields)?),
        "report_back" => attempt_finished(fields)?,
        "ack_first" => {
            let id = fields.request_id("rid")?;
            let attempt = fields.number("hop")?;
            fields.word("engine")?;
            Event::FirstToken { id, attempt, elapsed: fields.time("time_taken_s")? }
        }
        "hangup" => Event::ClientDisconnected(fields.request_id("rid")?),
        "due" => Event::TimerFired(timer_token(fields.word("key_back")?)),
        "checked" => {
            fields.number::<u32>("verdict")?;
            fields.time("time_taken_s")?;
            fields.number::<u32>("engine")?;
            report(fields)?;
            Event::Ignored
        }
        "inbox" => {
            fields.number::<u32>("sender")?;
            let text = fields.optional::<String>("bytes")?.unwrap_or_default();
            let text = text.trim_start_matches('-');
            let decoded = base64::engine::general_purpose::STANDARD.decode(text);
            Event::GossipReceived(
                decoded.map_err(|error| fields.malformed("bytes", &format!("not base64: {error}")))?,
            )
        }
        "seat_news" => {
            fields.request_id("rid")?;
            fields.number::<u32>("hop")?;
            fields.number::<u32>("engine")?;
            fields.number::<u32>("kind")?;
            Event::Ignored
        }
        other => return Err(fields.malformed("message", &format!("unknown message '{other}'"))),
    };
    Ok(Message::Event(event))
}

/// Parses a client's request. The hint of the answer's length (`weight_hint_s`) counts only if bit 0 of `flags` is set.
fn request(fields: &mut Fields) -> Result<RequestInfo, WireError> {
    let id = fields.request_id("rid")?;
    let class = fields.number("tier_class")?;
    fields.optional::<u32>("user_group")?;
    let session = fields.optional::<String>("chat")?.map(|text| Key::from_text(&text));
    let not_after = fields.time("not_after_s")?;
    let hint = fields.optional_time("weight_hint_s")?;
    let shared = fields.optional::<String>("system_prompt")?.map(|text| Key::from_text(&text));
    let prompt_tokens = fields.optional("n_prompt")?.unwrap_or(0);
    let shared_tokens = fields.optional("prefix_tokens")?.unwrap_or(0);
    let max_tokens = fields.optional("max_tokens")?.unwrap_or(0);
    let flags: u32 = fields.optional("flags")?.unwrap_or(0);
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

/// Parses the end of an attempt. `detail` holds the number of cached tokens after a success; after a rejection, 1 means
/// that the server does not hold the state, rather than that it is at capacity.
fn attempt_finished(fields: &mut Fields) -> Result<Event, WireError> {
    let id = fields.request_id("rid")?;
    let elapsed = fields.time("time_taken_s")?;
    let attempt = fields.number("hop")?;
    let detail: u64 = fields.optional("detail")?.unwrap_or(0);
    let outcome = outcome(fields.number("verdict")?, detail == 1);
    let completes_request = fields.optional::<u8>("last")?.unwrap_or(0) != 0;
    let server = ServerId(fields.number("engine")?);
    let cached_tokens = if matches!(outcome, Outcome::Served | Outcome::Read) { detail } else { 0 };
    Ok(Event::AttemptFinished(AttemptFinished {
        id,
        attempt,
        server,
        elapsed,
        outcome,
        held_state: HeldStateAfter::of_arrived(outcome),
        cached_tokens,
        completes_request,
        report: report(fields)?,
    }))
}

/// Maps an outcome's code on the wire; codes that this version does not know become [`Outcome::Unknown`].
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

/// Parses a load report: `name:value` pairs separated by commas, `-` for an absent value. Unknown names are skipped.
fn report(fields: &mut Fields) -> Result<Option<Report>, WireError> {
    let Some(text) = fields.optional::<String>("report")? else {
        return Ok(None);
    };
    let mut report = Report::default();
    for pair in text.split(',') {
        let Some((name, value)) = pair.split_once(':') else {
            return Err(fields.malformed("report", &format!("'{pair}' is not a name:value pair")));
        };
        if value == "-" {
            continue;
        }
        let value: f64 =
            value.parse().map_err(|_| fields.malformed("report", &format!("'{value}' is not a number")))?;
        report.set(name, Some(value));
    }
    Ok(Some(report))
}

/// Parses a timer token. Text that this adapter did not write becomes a token that the router never issues.
fn timer_token(text: &str) -> TimerToken {
    TimerToken(u64::from_str_radix(text, 16).unwrap_or(u64::MAX))
}

/// Parses the settings: the remaining fields of the line, each a `path=value` pair.
fn settings(fields: &mut Fields) -> Result<Settings, WireError> {
    let mut values = HashMap::new();
    while let Some(pair) = fields.next() {
        let Some((path, value)) = pair.split_once('=') else {
            return Err(fields.malformed("settings", &format!("'{pair}' is not a path=value pair")));
        };
        values.insert(path, value);
    }
    let to_wire_error = |error: SettingsError| WireError::Malformed {
        line: fields.line,
        field: format!("settings {}", error.path),
        reason: error.problem.to_string(),
    };
    from_key_values(values).map_err(to_wire_error)
}
