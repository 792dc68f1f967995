//! The format of the files that the two processes of a hot restart exchange, compared byte for byte. Upgrades and
//! downgrades mix an earlier version and this one, so each has to read what the other has written.

mod golden_file;
mod stand_in;

use std::fs::{File, OpenOptions};
use std::os::unix::fs::FileExt as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use dewladder::edge::clients::connection_limits::ConnectionLimits;
use dewladder::edge::clients::memory_budget::MemoryBudget;
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

/// A handover file as written by an earlier version.
const EARLIER_HANDOVER: &str = include_str!("golden/hot-restart-handover.json");

/// Returns an empty folder under the target folder.
fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

/// Locks a lock file and writes an announcement, as a process of an earlier version does. The lock is held until the
/// file is dropped.
fn lock_as_earlier_version(folder: &Path, name: &str, line: &str) -> File {
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(name))
        .unwrap();
    file.lock().unwrap();
    write_announcement(&file, line);
    file
}

/// Writes an announcement to a lock file: generation, stage, limit share (of 1,024) and acknowledged peer, padded with
/// spaces to 63 characters, and a newline.
fn write_announcement(file: &File, line: &str) {
    file.write_all_at(format!("{line:<63}\n").as_bytes(), 0).unwrap();
}

/// Starts a driver and its hot restart task in this process on a folder of hot restart files.
fn start(folder: &Path) -> DriverHandle {
    let mut config: Value =
        serde_json::from_str(&stand_in::config("127.0.0.1:9".parse().unwrap(), &json!({}))).unwrap();
    config["listen"] = json!("127.0.0.1:9");
    let config = Config::parse("config.json", &config.to_string(), |_| None).unwrap();
    let clock = Clock::start();
    let hot_restart = HotRestartTask::start(&config, folder.to_str().unwrap(), clock);
    let (driver, sender) = Driver::new(&config, clock);
    let figures = driver.figures();
    let connection_limits =
        ConnectionLimits::new(config.max_client_connections(), MemoryBudget::new(config.client_memory()));
    let (phase, phases) = watch::channel(Phase::Serving);
    let (seen, _) = watch::channel(None);
    let to_driver = sender.clone();
    tokio::spawn(driver.run());
    tokio::spawn(async move {
        hot_restart.run(config, connection_limits, to_driver, figures, phases, seen).await;
        drop(phase);
    });
    sender
}

/// Waits for up to 8 s until a condition holds.
async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let holding = async {
        while !holds() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(Duration::from_secs(8), holding).await.is_ok(), "not within 8 s: {what}");
}

/// Returns the driver's learned state, as it would be written to the handover file.
async fn learned_state(sender: &DriverHandle) -> Value {
    let (ask, answer) = oneshot::channel();
    sender.send(Message::ExportState(ask));
    serde_json::to_value(*answer.await.unwrap()).unwrap()
}

#[tokio::test]
async fn the_first_process_writes_announcements_and_handover_in_the_earlier_format() {
    let folder = empty_folder("hot-restart-writes");
    let _sender = start(&folder);
    let line = || std::fs::read_to_string(folder.join(FIRST_LOCK)).unwrap_or_default();
    eventually("the first process serves alone", || line() == format!("{:<63}\n", "2 serving 960 0")).await;
    let second = lock_as_earlier_version(&folder, SECOND_LOCK, "5 joining 64 2");
    eventually("the first process gives up half", || line() == format!("{:<63}\n", "2 serving 512 5")).await;
    let handover = folder.join(HANDOVER);
    eventually("the handover file is written", || handover.exists()).await;
    let text = std::fs::read_to_string(&handover).unwrap();
    let written: Value = serde_json::from_str(&text).unwrap();
    let (clock, at) = (written["clock"].as_u64().unwrap(), written["learnt"]["at"].as_u64().unwrap());
    assert!(clock > 0 && at > 0);
    let text = text
        .replace(&format!("\"clock\":{clock}"), "\"clock\":0")
        .replace(&format!("\"at\":{at}"), "\"at\":0");
    assert_golden("hot-restart-empty-handover.json", &text);
    write_announcement(&second, "5 leaving 64 2");
    eventually("the first process keeps its half", || line() == format!("{:<63}\n", "2 serving 512 5")).await;
}

#[tokio::test]
async fn the_second_process_imports_the_handover_of_an_earlier_version() {
    let folder = empty_folder("hot-restart-reads");
    let _first = lock_as_earlier_version(&folder, FIRST_LOCK, "2 serving 512 0");
    let handover = folder.join(HANDOVER);
    std::fs::write(&handover, EARLIER_HANDOVER.trim_end()).unwrap();
    let sender = start(&folder);
    let line = || std::fs::read_to_string(folder.join(SECOND_LOCK)).unwrap_or_default();
    eventually("the second process announces", || line().ends_with('\n') && line().contains(" 2 ")).await;
    assert!(line().starts_with("5 "), "{}", line());
    eventually("the second process has removed the handover file", || !handover.exists()).await;
    let earlier: Value = serde_json::from_str(EARLIER_HANDOVER).unwrap();
    let now = learned_state(&sender).await;
    for field in ["call_rate", "calls_lately", "stages", "beginnings"] {
        assert_eq!(now[field], earlier["learnt"][field], "{field}");
    }
}
