//! The command line: messages and exit codes for valid and invalid configurations, signals, and the commands `demo`
//! and `conform`.

mod stand_in;

use std::io::{BufRead as _, BufReader};
use std::process::{Command, Output, Stdio};

use dewladder::edge::discovery::listing::{entries, server_id, Listing, Names};
use dewladder::interface::ServerId;
use serde_json::json;
use stand_in::eventually;
use tokio::io::AsyncBufReadExt as _;

/// Runs a command of the program on files with the given contents, in a folder named after the test. With `None`
/// there is no configuration file.
fn run(test: &str, command: &str, config: Option<&str>, fronts: &str) -> Output {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).unwrap();
    let (config_path, fronts_path) = (folder.join("config.json"), folder.join("fronts.toml"));
    let _ = std::fs::remove_file(&config_path);
    if let Some(config) = config {
        std::fs::write(&config_path, config).unwrap();
    }
    std::fs::write(&fronts_path, fronts).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args([command, "--config"]).arg(config_path).arg("--fronts").arg(fronts_path);
    program.env_clear().output().unwrap()
}

#[test]
fn an_invalid_configuration_is_reported_on_one_line_and_prevents_the_start() {
    let good = stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({}));
    let fronts = stand_in::FRONTS;
    for (index, (config, fronts, expected)) in [
        (None, fronts, "can't read"),
        (Some("{"), fronts, "EOF"),
        (Some("[]"), fronts, "invalid"),
        (Some("{\"listen\":\"127.0.0.1:0\",\"settings\":{}}"), fronts, "at least one class (lanes)"),
        (Some(good.replace("\"listen\":\"127.0.0.1:0\",", "").as_str()), fronts, "ROUTER_LISTEN"),
        (
            Some(good.replace("at_most_once", "at_a_guess").as_str()),
            fronts,
            "'at_a_guess' is not a valid effect",
        ),
        (Some(&good), "[chat", "line 1"),
        (Some(&good), "[chat]\nlisten = 5", "line 2"),
        (
            Some(&good),
            &fronts.replace("\"book\"", "\"cook\""),
            "the platform's configuration has no class named 'cook'",
        ),
        (Some(&good), &format!("{fronts}[chat.repeats]\nwindow_s = -1.0\n"), "chat.repeats.window_s"),
        (Some(&good), &format!("{fronts}[chat.repeats]\nmost_entries = 0\n"), "chat.repeats.most_entries"),
        (
            Some(&good),
            &format!("{fronts}[chat.repeats]\nretry_headers = [\"a b\"]\n"),
            "retry_headers: 'a b'",
        ),
        (Some(&good), &format!("{fronts}[chat.repeats]\nlinger = 1.0\n"), "unknown field `linger`"),
        (
            Some(&good),
            &format!("{fronts}[chat.resume]\nmode = \"guess\"\n"),
            "chat.resume.mode: must be 'continue' or 'restart', got 'guess'",
        ),
        (Some(&good), &fronts.replace("most_open = 2", "keepalive_s = -1.0"), "chat.keepalive_s"),
    ]
    .into_iter()
    .enumerate()
    {
        for command in ["check-config", "serve"] {
            let output = run(&format!("bad-{index}-{command}"), command, config, fronts);
            let text = String::from_utf8(output.stderr).unwrap();
            assert_eq!((output.status.code(), text.lines().count()), (Some(1), 1), "{index} {text}");
            assert!(text.starts_with("dewladder: ") && text.contains(expected), "{index} {text}");
        }
    }
}

#[test]
fn a_valid_configuration_passes_the_check_and_the_shipped_fronts_are_disabled() {
    let good = stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({}));
    let output = run("good", "check-config", Some(&good), stand_in::FRONTS);
    assert_eq!((output.status.code(), output.stderr.len()), (Some(0), 0));
    let shipped =
        dewladder::edge::settings::Fronts::parse("fronts", include_str!("../deploy/fronts.toml")).unwrap();
    assert!(!shipped.chat.unwrap().enabled && !shipped.agent_check.unwrap().enabled);
}

#[test]
fn a_server_id_of_any_format_always_maps_to_the_same_number() {
    assert_eq!(server_id("s-5be2a07c"), ServerId(0x5be2_a07c));
    assert_eq!(server_id("kiln-box-7"), server_id("kiln-box-7"));
    assert_ne!(server_id("kiln-box-7"), server_id("kiln-box-8"));
    let listing = json!({"revision": 7, "complete": true, "a_field_of_tomorrow": 1, "members": [
        {"id": "s-00000001", "host_port": "127.0.0.1:1", "locality": "b", "flavor": "w", "cell": 3, "phase": "up",
            "size": 1.5, "up_since_ms": 12},
        {"id": "s-00000002", "host_port": "127.0.0.1:2", "phase": "molten"}]});
    let listing: Listing = serde_json::from_value(listing).unwrap();
    let names = Names { zones: vec!["a".into(), "b".into()], kinds: vec!["r".into(), "w".into()] };
    let entries = entries(&listing, &names);
    let [(entry, address)] = &entries[..] else { panic!("a server in an unknown phase is left out") };
    assert_eq!(
        (entry.zone.0, entry.kind, entry.started, address.as_str()),
        (1, 1, Some(12_000), "127.0.0.1:1")
    );
}

#[test]
fn sigterm_shuts_the_program_down_cleanly() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join("end.json");
    std::fs::write(&path, stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({}))).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["serve", "--config"]).arg(&path).env_clear().current_dir(folder).stderr(Stdio::piped());
    let mut child = program.spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.contains("n0: serving on")), "the program logs that it serves");
    let result = Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap();
    assert!(result.success());
    let rest: Vec<String> = lines.collect();
    assert!(
        rest.last()
            .unwrap()
            .ends_with("dispatcher: shutdown complete; no request is open and no release is in flight"),
        "{rest:?}"
    );
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

/// Guards against a fault of an earlier version, which SIGHUP terminated. After SIGHUP, a valid configuration with
/// another agent takes effect immediately: the dispatcher closes its open call to the old agent and requests the full
/// list from the new one. An invalid file changes nothing. After several reloads in a row, the last one applies.
#[tokio::test]
async fn sighup_reloads_the_configuration_without_ending_the_program() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("again.json");
    let list = |revision: u32| json!({"revision": revision, "complete": true, "members": []});
    let (old, new) = (stand_in::Agent::start(list(7)).await, stand_in::Agent::start(list(3)).await);
    let text = |agent: &stand_in::Agent| stand_in::config(agent.address, &json!({}));
    std::fs::write(&path, text(&old)).unwrap();
    let mut program = tokio::process::Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["serve", "--config"]).arg(&path).env_clear().current_dir(env!("CARGO_TARGET_TMPDIR"));
    let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
    let id = child.id().unwrap().to_string();
    let send_signal =
        |signal: &str| assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    let watch_call = |revision: u32| format!("/registry/instances?from={revision}&hold_ms=4000");
    let full_list_call = "/registry/instances".to_owned();
    eventually("the old agent is watched", || old.log() == [full_list_call.clone(), watch_call(7)]).await;

    let mut lines = tokio::io::BufReader::new(child.stderr.take().unwrap()).lines();
    std::fs::write(&path, "{").unwrap();
    send_signal("-HUP");
    while let Some(line) = lines.next_line().await.unwrap() {
        if line.contains("configuration: not taken over, the old one stands") {
            break;
        }
    }
    assert_eq!(old.log().len(), 2, "the open call to the agent continues");

    std::fs::write(&path, text(&new)).unwrap();
    send_signal("-HUP");
    eventually("the new agent is watched", || new.log() == [full_list_call.clone(), watch_call(3)]).await;
    eventually("the call to the old agent is closed", || old.log().last().unwrap() == "closed").await;

    for agent in [&old, &new, &old] {
        std::fs::write(&path, text(agent)).unwrap();
        send_signal("-HUP");
    }
    eventually("the agent of the last configuration is watched", || old.log().last() == Some(&watch_call(7)))
        .await;
    eventually("the call to the other agent is closed", || new.log().last().unwrap() == "closed").await;
    send_signal("-TERM");
    assert_eq!(child.wait().await.unwrap().code(), Some(0));
}

/// A user's first run: the URL and address that `demo` prints work as printed, and SIGINT (Ctrl-C) shuts it down
/// cleanly.
#[test]
fn the_demo_serves_both_fronts_until_sigint() {
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    let mut child =
        program.arg("demo").env_clear().stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
    let text: Vec<String> = lines.take_while(|line| !line.contains("Ctrl-C")).collect();
    let url = text.iter().find_map(|line| line.split("--url ").nth(1)).unwrap().split(' ').next().unwrap();
    let conform = |arguments: &[&str]| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
        let models = ["--model", "kiln-ask", "--once", "kiln-book"];
        let output = program.arg("conform").args(models).args(arguments).env_clear().output().unwrap();
        (
            output.status.code(),
            String::from_utf8(output.stdout).unwrap(),
            String::from_utf8(output.stderr).unwrap(),
        )
    };
    let result = conform(&["--url", url, "--key", "key-of-clay", "--only", "answer/stream"]);
    assert_eq!(
        (result.0, result.1.trim()),
        (Some(0), "3 passed, 0 failed, 0 could not be tried, of 3"),
        "{result:?}"
    );
    let result = conform(&["--url", url, "--key", "not-a-key", "--only", "answer/whole"]);
    assert!(
        result.0 == Some(1) && result.1.contains("FAILED") && result.2.contains("1 of 1 cases"),
        "{result:?}"
    );
    let result = conform(&["--url", "http://192.0.2.1:80", "--only", "answer/whole"]);
    assert!(result.0 == Some(1) && result.2.contains("only addresses on loopback"), "{result:?}");
    let result = conform(&["--url", url, "--only", "no-such-case"]);
    assert!(result.0 == Some(1) && result.2.contains("no case's name"), "{result:?}");
    let platform = text.iter().find_map(|line| line.strip_prefix("  the platform's front   ")).unwrap();
    let mut stream = std::net::TcpStream::connect(platform.trim()).unwrap();
    std::io::Write::write_all(&mut stream, stand_in::platform("9b1f03aa5c7e2d41", "ask", "5").as_bytes())
        .unwrap();
    let mut answer = String::new();
    std::io::Read::read_to_string(&mut stream, &mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("[DONE]"), "{answer}");
    assert!(Command::new("kill").args(["-INT", &child.id().to_string()]).status().unwrap().success());
    let rest: Vec<String> =
        BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok).collect();
    assert!(
        rest.last()
            .unwrap()
            .ends_with("dispatcher: shutdown complete; no request is open and no release is in flight"),
        "{rest:?}"
    );
    assert_eq!(child.wait().unwrap().code(), Some(0));
}
