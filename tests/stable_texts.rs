//! Texts that other programs read, compared byte for byte with golden files: names of statistics, answers of the admin
//! address and of the agent check, error messages about settings.

mod golden_file;
mod stand_in;

use std::fmt::Write as _;

use dewladder::edge::balancers::Health;
use dewladder::edge::phase::Phase;
use dewladder::edge::settings::{Config, Fronts};
use dewladder::edge::stats::{End, Figures, Record};
use golden_file::assert_golden;
use serde_json::{json, Value};
use tokio::sync::watch;

#[test]
fn statistics_keep_their_names_and_order() {
    let mut record = Record::default();
    record.know("ask");
    record.know("book");
    record.taken("ask");
    record.ended("ask", End::Completed);
    record.taken("book");
    record.members = 3;
    record.members_unavailable = 1;
    record.sent_whole = 7;
    record.reloads = 2;
    record.reload_errors = 1;
    assert_golden("stats.txt", &record.lines());
}

#[test]
fn readiness_and_agent_check_keep_their_texts_in_every_phase() {
    let mut text = String::new();
    for phase in [Phase::Joining, Phase::Serving, Phase::Leaving, Phase::Yielding, Phase::Closing] {
        for serves in [false, true] {
            for open in [0, 3, 9] {
                let figures = Figures::default();
                figures.record().serves = serves;
                figures.record().open = open;
                let (_phase, phases) = watch::channel(phase);
                let health = Health::new(figures, phases, 8);
                writeln!(
                    text,
                    "{serves} {open}: {:?} {:?}",
                    health.ready().map_err(|why| why.to_string()),
                    health.agent_check_line()
                )
                .unwrap();
            }
        }
    }
    assert_golden("readiness.txt", &text);
}

/// A valid configuration, in which a test makes one place invalid.
fn valid_config() -> Value {
    let text = stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({"members": []}));
    serde_json::from_str(&text).unwrap()
}

/// Sets the value at a JSON pointer; `None` removes it.
fn set_or_remove(config: &mut Value, pointer: &str, value: Option<Value>) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let parent = config.pointer_mut(parent).unwrap_or_else(|| panic!("no {pointer}"));
    match (parent, value) {
        (Value::Object(fields), Some(value)) => {
            fields.insert(key.to_owned(), value);
        }
        (Value::Object(fields), None) => {
            fields.remove(key);
        }
        (Value::Array(items), Some(value)) => items[key.parse::<usize>().unwrap()] = value,
        (Value::Array(items), None) => {
            items.remove(key.parse().unwrap());
        }
        (other, _) => panic!("{pointer}: {other}"),
    }
}

#[test]
fn settings_errors_keep_their_texts() {
    let mut cases = Vec::new();
    for pointer in
        ["/listen", "/settings", "/settings/lanes", "/settings/kinds", "/settings/limits/max_attempts"]
    {
        cases.push((pointer, None));
        for value in [json!(null), json!(-1), json!("x"), json!([]), json!({}), json!([1, "a,b"])] {
            cases.push((pointer, Some(value)));
        }
    }
    let values =
        [json!(0), json!(-1.5), json!(1e9), json!("x"), json!(true), json!([1]), json!({"a": 1}), json!("")];
    for pointer in [
        "/discovery",
        "/admin_addr",
        "/limits/memory_mb",
        "/limits/sockets",
        "/settings/locality",
        "/settings/balancers",
        "/settings/failure_domains",
        "/settings/resolution_s",
        "/settings/limits/cancel",
        "/settings/limits/keepalive_s",
        "/settings/limits/connect_timeout_s",
        "/settings/limits/max_retry_after_s",
        "/settings/domain/resume",
        "/settings/domain/local_read",
        "/settings/domain/release_within_s",
        "/settings/domain/role_by_kind",
        "/settings/domain/kind_memory_tokens",
        "/settings/rules",
        "/settings/lanes/0/name",
        "/settings/lanes/0/effect",
        "/settings/lanes/0/aim_s",
        "/settings/lanes/0/give_up_s",
        "/settings/lanes/0/worth",
        "/settings/lanes/1/name",
        "/settings/lanes/1/group",
        "/settings/lanes/1/window_s",
    ] {
        cases.push((pointer, None));
        cases.extend(values.iter().map(|value| (pointer, Some(value.clone()))));
    }
    let mut text = String::new();
    for (pointer, value) in cases {
        let mut config = valid_config();
        let (parent, _) = pointer.rsplit_once('/').unwrap();
        if config.pointer(parent).is_none() {
            set_or_remove(&mut config, parent, Some(json!({})));
        }
        let value_text = value.as_ref().map_or("nothing".to_owned(), Value::to_string);
        if value.is_some() || config.pointer(pointer).is_some() {
            set_or_remove(&mut config, pointer, value);
        }
        let result = match Config::parse("config.json", &config.to_string(), |_| None) {
            Ok(_) => "can be used".to_owned(),
            Err(error) => error.to_string(),
        };
        writeln!(text, "{pointer} {value_text}: {result}").unwrap();
    }
    assert_golden("config-messages.txt", &text);
}

#[test]
fn reload_messages_keep_their_texts() {
    let mut base = valid_config();
    base["settings"]["limits"]["keepalive_s"] = json!(30.0);
    let config = Config::parse("config.json", &base.to_string(), |_| None).unwrap();
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("read-again.json");
    let mut text = String::new();
    let changes: [(&str, Option<Value>); 9] = [
        ("/name", Some(json!("other"))),
        ("/listen", Some(json!("127.0.0.1:7"))),
        ("/admin_addr", Some(json!("127.0.0.1:8"))),
        ("/limits", Some(json!({"memory_mb": 64, "sockets": 512}))),
        ("/settings/failure_domains", Some(json!(["x", "y", "z"]))),
        ("/settings/limits/keepalive_s", Some(json!(7.0))),
        ("/settings/limits/keepalive_s", None),
        ("/settings/limits/connect_timeout_s", Some(json!(0.125))),
        ("/settings/lanes/0/aim_s", Some(json!(0.75))),
    ];
    for (pointer, value) in changes {
        let mut changed = base.clone();
        set_or_remove(&mut changed, pointer, value);
        std::fs::write(&path, changed.to_string()).unwrap();
        let result = match config.read_again(path.to_str().unwrap(), |_| None) {
            Ok(read) => format!("{:?}", read.needs_restart),
            Err(error) => error.to_string().replace(path.to_str().unwrap(), "config.json"),
        };
        writeln!(text, "{pointer}: {result}").unwrap();
    }
    assert_golden("read-again-messages.txt", &text);
}

#[test]
fn front_settings_errors_keep_their_texts() {
    let config = Config::parse("config.json", &valid_config().to_string(), |_| None).unwrap();
    let mut text = String::new();
    for (table, lines) in [
        ("chat", "listen = 5"),
        ("chat", "keepalive_s = -1.0"),
        ("chat", "keepalive_s = 4000.0"),
        ("chat", "responses_percent = 51.0"),
        ("chat", "responses_tenant_percent = 101.0"),
        ("chat", "most_choices = 0"),
        ("chat", "nobody = 1"),
        ("chat.repeats", "window_s = 0.5"),
        ("chat.repeats", "after_start_s = -1.0"),
        ("chat.repeats", "linger_s = 1e9"),
        ("chat.repeats", "most_entries = 0"),
        ("chat.repeats", "most_entries = 10000001"),
        ("chat.repeats", "memory_percent = 60.0"),
        ("chat.repeats", "most_answer_kib = 0"),
        ("chat.repeats", "most_answer_kib = 1048577"),
        ("chat.repeats", "most_readers = 1001"),
        ("chat.repeats", "tenant_percent = 101.0"),
        ("chat.repeats", "budget_percent = -1.0"),
        ("chat.repeats", "budget_per_s = 1e6"),
        ("chat.repeats", "retry_in_s = 0.01"),
        ("chat.repeats", "most_retry_in_s = 0.5"),
        ("chat.repeats", "retry_headers = [\"a b\"]"),
        ("chat.repeats", "linger = 1.0"),
        ("chat.resume", "mode = \"guess\""),
        ("chat.resume", "within_s = 0.0"),
        ("chat.resume", "most = 101"),
        ("chat.resume", "most_text_kib = 1025"),
        ("chat.resume", "times = 1"),
        ("agent_check", "enabled = true"),
        ("agent_check", "listen = \"nowhere\""),
    ] {
        let head = if table.starts_with("chat") { "[chat]\nlisten = \"127.0.0.1:0\"\n" } else { "" };
        let head = if table == "chat" && lines.starts_with("listen") { "" } else { head };
        let table_line =
            if table == "chat" && !head.is_empty() { String::new() } else { format!("[{table}]\n") };
        let result = match Fronts::parse("fronts.toml", &format!("{head}{table_line}{lines}\n")) {
            Err(error) => error.to_string(),
            Ok(fronts) => fronts.chat.map_or("can be used".to_owned(), |chat| {
                let bounds = chat
                    .check_and_response_memory(&config.limits)
                    .map(|_| ())
                    .map_err(|error| error.to_string());
                let repeats =
                    chat.repeats.policy(&config.limits).map(|_| ()).map_err(|error| error.to_string());
                let resume = chat.resume.policy().map(|_| ()).map_err(|error| error.to_string());
                format!("{bounds:?} {repeats:?} {resume:?}")
            }),
        };
        writeln!(text, "{table} {lines}: {result}").unwrap();
    }
    assert_golden("fronts-messages.txt", &text);
}
