//! The files by which two processes of one dispatcher know each other, held byte for byte: an earlier version and this
//! one change places both ways, so that each has to read what the other has written.

mod golden_file;
mod stand_in;

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dewladder::edge::clients::connection_limits::ConnectionLimits;
use dewladder::edge::clock::Clock;
use dewladder::edge::driver::{Driver, DriverHandle, Message};
use dewladder::edge::hot_restart::HotRestartTask;
use dewladder::edge::phase::Phase;
use dewladder::edge::settings::Config;
use golden_file::assert_golden;
use serde_json::{json, Value};
use tokio::sync::{oneshot, watch};
use tokio::time::{sleep, timeout};

const FIRST_LOCK: &str = "dewladder-127.0.0.1-9.seat0";
const SECOND_LOCK: &str = "dewladder-127.0.0.1-9.seat1";
const HANDOVER: &str = "dewladder-127.0.0.1-9.handover";

/// A hand-over as an earlier version wrote it.
const WRITTEN_EARLIER: &str = include_str!("golden/hot-restart-handover.json");

fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Holds a lock file as a process of an earlier version does.
fn hold(folder: &Path, name: &str, line: &str) -> File {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(name))
        .unwrap();
    file.lock().unwrap();
    announce(&file, line);
    file
}

fn announce(file: &File, line: &str) {
    file.write_all_at(format!("{line:<63}\n").as_bytes(), 0).unwrap();
}

/// The process under test, running over such a folder.
fn start(folder: &Path) -> DriverHandle {
    let mut config: Value =
        serde_json::from_str(&stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({}))).unwrap();
    config["listen"] = json!("127.0.0.1:9");
    let config = Config::parse("config.json", &config.to_string(), |_| None).unwrap();
    let clock = Clock::start();
    let companion = HotRestartTask::start(&config, folder.to_str().unwrap(), clock);
    let (driver, sender) = Driver::new(&config, clock);
    let figures = driver.figures();
    let room = ConnectionLimits::new(config.max_client_connections());
    let (phase, phases) = watch::channel(Phase::Serving);
    let (seen, _) = watch::channel(None);
    let to_driver = sender.clone();
    tokio::spawn(driver.run());
    tokio::spawn(async move {
        companion.run(config, room, to_driver, figures, phases, seen).await;
        drop(phase);
    });
    sender
}

async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let holding = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(Duration::from_secs(8), holding).await.is_ok(), "never: {what}");
}

/// What the process has learnt by now, as it would be handed over.
async fn learned(sender: &DriverHandle) -> Value {
    let (ask, answer) = oneshot::channel();
    sender.send(Message::ExportState(ask));
    serde_json::to_value(*answer.await.unwrap()).unwrap()
}

#[tokio::test]
async fn the_first_process_announces_itself_and_hands_over_in_the_form_of_earlier_versions() {
    let folder = empty_folder("hot-restart-writes");
    let _sender = start(&folder);
    let line = || std::fs::read_to_string(folder.join(FIRST_LOCK)).unwrap_or_default();
    eventually("it serves alone", || line() == format!("{:<63}\n", "2 serving 960 0")).await;
    let second = hold(&folder, SECOND_LOCK, "5 joining 64 2");
    eventually("it gives up half", || line() == format!("{:<63}\n", "2 serving 512 5")).await;
    let handover = folder.join(HANDOVER);
    eventually("it hands over", || handover.exists()).await;
    let text = std::fs::read_to_string(&handover).unwrap();
    let written: Value = serde_json::from_str(&text).unwrap();
    let (clock, at) = (written["clock"].as_u64().unwrap(), written["learnt"]["at"].as_u64().unwrap());
    assert!(clock > 0 && at > 0);
    let text = text
        .replace(&format!("\"clock\":{clock}"), "\"clock\":0")
        .replace(&format!("\"at\":{at}"), "\"at\":0");
    assert_golden("hot-restart-empty-handover.json", &text);
    announce(&second, "5 leaving 64 2");
    eventually("it goes on with its part", || line() == format!("{:<63}\n", "2 serving 512 5")).await;
}

#[tokio::test]
async fn the_second_process_takes_over_what_an_earlier_version_has_written() {
    let folder = empty_folder("hot-restart-reads");
    let _first = hold(&folder, FIRST_LOCK, "2 serving 512 0");
    let handover = folder.join(HANDOVER);
    std::fs::write(&handover, WRITTEN_EARLIER.trim_end()).unwrap();
    let sender = start(&folder);
    let line = || std::fs::read_to_string(folder.join(SECOND_LOCK)).unwrap_or_default();
    eventually("it announces itself", || line().ends_with('\n') && line().contains(" 2 ")).await;
    assert!(line().starts_with("5 "), "{}", line());
    eventually("it has taken the file", || !handover.exists()).await;
    let earlier: Value = serde_json::from_str(WRITTEN_EARLIER).unwrap();
    let now = learned(&sender).await;
    for field in ["call_rate", "calls_lately", "stages", "beginnings"] {
        assert_eq!(now[field], earlier["learnt"][field], "{field}");
    }
}
