//! The records of requests that run, in files that processes of one dispatcher share. No test here starts a process: one that is
//! being started would hold the locks of this one for a moment.

use std::path::PathBuf;
use std::time::Duration;

use dewladder::edge::hot_restart::run_records::{NotRecorded, RunRecords};
use dewladder_replica::RecordId;
use tokio::time::Instant;

fn records_folder(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("records-{name}"));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[tokio::test(start_paused = true)]
async fn records_count_in_other_processes_until_they_are_removed_or_expire() {
    let (folder, listen) = (records_folder("runs"), "127.0.0.1:80".parse().unwrap());
    let retention = Duration::from_secs(600);
    let process = |started| RunRecords::new(&folder, listen, started, retention);
    let id = |key| RecordId::of("tenant", key);
    let (mut one, mut other) = (process(1), process(2));
    let begin = |records: &mut RunRecords, slot, key| records.begin(slot, id(key), Instant::now());
    assert_eq!(begin(&mut one, 3, "a"), Ok(()));
    assert_eq!(begin(&mut one, 3, "a"), Ok(()), "the own records are the store's business");
    assert_eq!(begin(&mut other, 0, "a"), Err(NotRecorded::RunsElsewhere));
    assert_eq!(begin(&mut other, 0, "b"), Ok(()), "the refused record is gone");
    assert_eq!(begin(&mut one, 4, "b"), Err(NotRecorded::RunsElsewhere));
    one.remove(3);
    assert_eq!(begin(&mut other, 1, "a"), Ok(()), "a request that never ran may run elsewhere");
    drop(other);
    assert_eq!(begin(&mut one, 5, "a"), Err(NotRecorded::RunsElsewhere), "after the end of the process");
    let mut third = process(3);
    assert_eq!(begin(&mut third, 0, "b"), Err(NotRecorded::RunsElsewhere), "in one that started after it");
    tokio::time::advance(retention + Duration::from_secs(1)).await;
    assert_eq!(begin(&mut third, 0, "b"), Ok(()), "expired");
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(begin(&mut process(4), 0, "c"), Err(NotRecorded::Unknown));
}

/// Review case 10: a process that had not looked for others since its start dropped the records of one that ended later too early.
#[tokio::test(start_paused = true)]
async fn records_count_from_the_end_of_their_process() {
    let (folder, listen) = (records_folder("runs-end"), "127.0.0.1:80".parse().unwrap());
    let retention = Duration::from_secs(10);
    let id = |key| RecordId::of("tenant", key);
    let mut old = RunRecords::new(&folder, listen, 1, retention);
    let mut new = RunRecords::new(&folder, listen, 2, retention);
    tokio::time::advance(Duration::from_secs(8)).await;
    assert_eq!(old.begin(0, id("a"), Instant::now()), Ok(()));
    drop(old);
    new.refresh(Instant::now());
    tokio::time::advance(Duration::from_secs(9)).await;
    assert_eq!(new.begin(0, id("a"), Instant::now()), Err(NotRecorded::RunsElsewhere));
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(new.begin(0, id("a"), Instant::now()), Ok(()), "expired");
}

#[tokio::test(start_paused = true)]
async fn a_first_try_is_recorded_whatever_others_have_recorded() {
    let (folder, listen) = (records_folder("runs-first"), "127.0.0.1:80".parse().unwrap());
    let process = |started| RunRecords::new(&folder, listen, started, Duration::from_secs(10));
    let (mut one, mut other) = (process(1), process(2));
    let id = RecordId::of("tenant", "a");
    assert!(!one.may_be_known_elsewhere(id, Instant::now()));
    assert_eq!((one.begin_first(0, id), other.begin_first(0, id)), (Ok(()), Ok(())));
    assert!(one.may_be_known_elsewhere(id, Instant::now()));
    assert_eq!(one.begin(1, id, Instant::now()), Err(NotRecorded::RunsElsewhere));
    std::fs::remove_dir_all(&folder).unwrap();
    assert!(one.may_be_known_elsewhere(id, Instant::now()));
    assert_eq!(process(3).begin_first(0, id), Err(NotRecorded::Unknown));
}
