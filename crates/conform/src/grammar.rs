//! What the events of a stream must look like, each kind by its published order.

use std::collections::BTreeMap;

use serde_json::Value;

/// An event: its name, if it has one, and its data.
#[derive(Debug, PartialEq)]
struct Event {
    name: Option<String>,
    data: String,
}

fn events(body: &str) -> Result<Vec<Event>, String> {
    let mut events = Vec::new();
    if !body.ends_with("\n\n") {
        return Err("the stream does not end with a blank line".to_owned());
    }
    for block in body.split("\n\n").filter(|block| !block.is_empty()) {
        let mut event = Event { name: None, data: String::new() };
        let mut comment = true;
        for line in block.lines() {
            match line.split_once(':') {
                Some(("", _)) => continue,
                Some(("data", rest)) => event.data.push_str(rest.strip_prefix(' ').unwrap_or(rest)),
                Some(("event", rest)) => event.name = Some(rest.trim().to_owned()),
                Some(("id" | "retry", _)) => {}
                _ => return Err(format!("'{line}' is no line of an event")),
            }
            comment = false;
        }
        if !comment {
            events.push(event);
        }
    }
    Ok(events)
}

fn json(event: &Event) -> Result<Value, String> {
    serde_json::from_str(&event.data).map_err(|error| format!("an event is no JSON: {error}: {}", event.data))
}

fn must(holds: bool, what: impl FnOnce() -> String) -> Result<(), String> {
    if holds {
        Ok(())
    } else {
        Err(what())
    }
}

/// Holds a stream against a grammar.
///
/// # Errors
/// The first thing that is not as published.
pub(crate) fn check(kind: &str, body: &str, choices: usize, usage: bool) -> Result<(), String> {
    match kind {
        "chat" => chunks(body, "chat.completion.chunk", choices, usage),
        "completion" => chunks(body, "text_completion", choices, usage),
        "response" => typed(body),
        "cut" => cut(body),
        "cut-response" => cut_response(body),
        other => Err(format!("there is no grammar '{other}'")),
    }
}

/// A stream that breaks off: events, then exactly one error, and nothing that looks like an end.
fn cut(body: &str) -> Result<(), String> {
    let events = events(body)?;
    let (last, before) = events.split_last().ok_or("the stream is empty")?;
    must(!before.is_empty(), || "nothing came before the error".to_owned())?;
    for event in before {
        must(event.data != "[DONE]", || "[DONE] in a stream that broke off".to_owned())?;
        let chunk = json(event)?;
        must(chunk["error"].is_null(), || "more than one error".to_owned())?;
        let finish = &chunk["choices"][0]["finish_reason"];
        must(finish.is_null(), || format!("an answer that broke off has finish_reason {finish}"))?;
    }
    let error = &json(last)?["error"];
    let told = error["message"].is_string() && error["type"] == "server_error" && error["code"].is_string();
    must(told, || format!("the last event is no error: {}", last.data))
}

fn cut_response(body: &str) -> Result<(), String> {
    let events = events(body)?;
    let (last, before) = events.split_last().ok_or("the stream is empty")?;
    for (at, event) in events.iter().enumerate() {
        let number = &json(event)?["sequence_number"];
        must(*number == at, || format!("event {at} has number {number}"))?;
    }
    let ends = |event: &Event| event.name.as_deref().is_some_and(|name| name == "response.completed");
    must(!before.iter().any(ends), || "completed, and yet it goes on".to_owned())?;
    let response = &json(last)?["response"];
    let told = response["status"] == "failed" && response["error"]["message"].is_string();
    must(told && last.name.as_deref() == Some("response.failed"), || format!("the last event: {}", last.data))
}

fn chunks(body: &str, object: &str, choices: usize, usage: bool) -> Result<(), String> {
    let events = events(body)?;
    let (last, chunks) = events.split_last().ok_or("the stream is empty")?;
    must(last.data == "[DONE]", || format!("the last event is not [DONE]: {}", last.data))?;
    let mut finished: BTreeMap<usize, bool> = BTreeMap::new();
    let mut alike: Option<[Value; 3]> = None;
    let mut used = 0;
    for (at, event) in chunks.iter().enumerate() {
        must(event.data != "[DONE]", || "[DONE] comes before the end".to_owned())?;
        let chunk = json(event)?;
        must(chunk["error"].is_null(), || format!("an error: {}", chunk["error"]))?;
        must(chunk["object"] == object, || format!("object is {}", chunk["object"]))?;
        must(chunk["created"].is_u64(), || format!("created is {}", chunk["created"]))?;
        let names = [chunk["id"].clone(), chunk["model"].clone(), chunk["created"].clone()];
        must(names[0].is_string() && names[1].is_string(), || "id or model is no text".to_owned())?;
        let first = alike.get_or_insert_with(|| names.clone());
        must(*first == names, || "id, model or created change within the stream".to_owned())?;
        let found = chunk["choices"].as_array().ok_or("choices is no array")?;
        if found.is_empty() {
            used += 1;
            must(chunk["usage"]["total_tokens"].is_u64(), || "the usage event tells no usage".to_owned())?;
            must(at + 1 == chunks.len(), || "usage comes before the last choice's end".to_owned())?;
            continue;
        }
        must(chunk["usage"].is_null(), || "usage beside a choice".to_owned())?;
        for choice in found {
            let index = choice["index"].as_u64().ok_or("a choice without an index")? as usize;
            must(index < choices, || format!("choice {index} of {choices}"))?;
            let new = !finished.contains_key(&index);
            if object == "chat.completion.chunk" {
                must(choice["delta"].is_object(), || "a choice without a delta".to_owned())?;
                let role = &choice["delta"]["role"];
                must(!new || role == "assistant", || format!("the first delta's role is {role}"))?;
                must(new || role.is_null(), || "the role is told again".to_owned())?;
            } else {
                must(choice["text"].is_string(), || "a choice without a text".to_owned())?;
            }
            let over = finished.entry(index).or_default();
            must(!*over, || format!("choice {index} goes on after its end"))?;
            *over = !choice["finish_reason"].is_null();
        }
    }
    must(finished.len() == choices, || format!("{} of {choices} choices", finished.len()))?;
    must(finished.values().all(|over| *over), || "a choice without a finish_reason".to_owned())?;
    must(used == usize::from(usage), || format!("{used} usage events"))
}

fn typed(body: &str) -> Result<(), String> {
    let events = events(body)?;
    let mut texts: BTreeMap<String, String> = BTreeMap::new();
    let mut open: Vec<String> = Vec::new();
    let mut done = 0;
    for (at, event) in events.iter().enumerate() {
        let value = json(event)?;
        let kind = value["type"].as_str().ok_or("an event without a type")?;
        must(event.name.as_deref() == Some(kind), || format!("event: {:?} is of type {kind}", event.name))?;
        must(value["sequence_number"] == at, || {
            format!("event {at} has number {}", value["sequence_number"])
        })?;
        let last = matches!(kind, "response.completed" | "response.incomplete" | "response.failed");
        must(last == (at + 1 == events.len()), || format!("{kind} is event {at} of {}", events.len()))?;
        match at {
            0 => must(kind == "response.created", || format!("the first event is {kind}"))?,
            1 => must(kind == "response.in_progress", || format!("the second event is {kind}"))?,
            _ => {}
        }
        let item =
            value["item_id"].as_str().or_else(|| value["item"]["id"].as_str()).unwrap_or("").to_owned();
        match kind {
            "response.output_item.added" => open.push(item),
            "response.output_text.delta" | "response.function_call_arguments.delta" => {
                must(open.contains(&item), || format!("{kind} of an item that is not open"))?;
                let delta = value["delta"].as_str().ok_or("a delta that is no text")?;
                texts.entry(item).or_default().push_str(delta);
            }
            "response.output_text.done" => {
                let text = texts.get(&item).map_or("", String::as_str);
                must(value["text"] == text, || "the text is not that of its deltas".to_owned())?;
            }
            "response.function_call_arguments.done" => {
                let text = texts.get(&item).map_or("", String::as_str);
                must(value["arguments"] == text, || "arguments are not those of their deltas".to_owned())?;
            }
            "response.output_item.done" => {
                must(open.contains(&item), || "an item ends that is not open".to_owned())?;
                open.retain(|known| *known != item);
                done += 1;
            }
            "response.completed" | "response.incomplete" => {
                must(open.is_empty(), || "an item has not ended".to_owned())?;
                let output = value["response"]["output"].as_array().map_or(0, Vec::len);
                must(output == done && done > 0, || format!("{output} items told, {done} ended"))?;
                let status = value["response"]["status"].as_str().unwrap_or("");
                must(kind.ends_with(status) && !status.is_empty(), || {
                    format!("{kind} with status {status}")
                })?;
                let usage = &value["response"]["usage"]["total_tokens"];
                must(usage.is_u64(), || "no usage at the end".to_owned())?;
            }
            _ => {}
        }
    }
    must(events.len() > 4, || format!("{} events", events.len()))
}
