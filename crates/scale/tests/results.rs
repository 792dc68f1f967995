//! Results are read as they were written; a file that can't be used is rejected with an error that names its path.

use std::path::{Path, PathBuf};

use dewladder_scale::results::{Part, Results, ResultsError, RunEvent, RunSample, VERSION};

fn sample() -> RunSample {
    RunSample {
        servers: 40,
        dispatchers: 20,
        real: 2,
        event: RunEvent::Zone,
        seconds: 6,
        number: 1,
        ends: Default::default(),
        processor: 0.1,
        memory: 1,
        descriptors: 2,
        datagrams_out: 0.5,
        datagrams_in: 9.5,
        first_attempt_p50: 0.4,
        first_attempt_p99: 1.5,
        over_budget: 0,
        ran_twice: 0,
    }
}

fn results(commit: &str) -> Results {
    let part = Part { commit: commit.to_owned(), cores: 6, samples: vec![sample()] };
    Results { run: Some(part), ..Results::empty() }
}

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

#[test]
fn results_are_read_as_they_were_written() {
    let path = scratch("whole.json");
    results("0123456789").write(&path).expect("written");
    assert_eq!(Results::read(&path).expect("read"), results("0123456789"));
}

#[test]
fn a_file_truncated_anywhere_is_rejected_with_its_path() {
    let path = scratch("cut.json");
    results("0123456789").write(&path).expect("written");
    let text = std::fs::read_to_string(&path).expect("read");
    for length in (0..text.trim_end().len()).step_by(7) {
        let rejected = Results::parse(&path, &text[..length]);
        let error = rejected.expect_err("the file is truncated").to_string();
        assert!(error.starts_with(&path.display().to_string()), "{error}");
    }
}

#[test]
fn another_version_and_a_part_without_a_commit_are_rejected_with_the_path() {
    let path = scratch("other.json");
    Results { version: VERSION + 1, ..results("0123456789") }.write(&path).expect("written");
    let error = Results::read(&path).expect_err("another version");
    assert!(matches!(error, ResultsError::Version { found, .. } if found == VERSION + 1), "{error}");
    assert!(error.to_string().starts_with(&path.display().to_string()));
    results("").write(&path).expect("written");
    let error = Results::read(&path).expect_err("no commit");
    assert!(matches!(error, ResultsError::NoCommit { part: "run", .. }), "{error}");
    assert!(error.to_string().starts_with(&path.display().to_string()));
    let text = serde_json::to_string(&results("0123456789"))
        .expect("text")
        .replace("\"commit\":\"0123456789\",", "");
    let error = Results::parse(&path, &text).expect_err("no commit field");
    assert!(matches!(error, ResultsError::NoCommit { part: "run", .. }), "{error}");
    let error = Results::read(&scratch("absent.json")).expect_err("no such file");
    assert!(error.to_string().contains("absent.json"), "{error}");
}
