//! A small form of the run at the target size: tens of hollow replicas and dispatchers, and two real dispatchers.
//! The tests assert counts and no times.

use std::path::{Path, PathBuf};

use dewladder_scale::results::{RunEvent, RunSample};
use dewladder_scale::run::{run, LimitError, Programs, Report, RunError, RunOptions};

fn options() -> RunOptions {
    RunOptions {
        servers: 60,
        dispatchers: 30,
        real: 2,
        seconds: 6,
        requests: 20,
        classes: 4,
        events: 12,
        event_ms: 10,
        descriptors: 1_024,
        memory_mb: 192,
        event: RunEvent::None,
    }
}

/// The dispatcher's program is in the same directory as that of the hollow processes, as a build of the whole
/// workspace puts both there.
fn programs() -> Programs {
    let hollow = PathBuf::from(env!("CARGO_BIN_EXE_dewladder-scale"));
    let dispatcher = hollow.with_file_name("dewladder");
    assert!(dispatcher.exists(), "build the workspace first: {} is not there", dispatcher.display());
    let scratch = Path::new(env!("CARGO_TARGET_TMPDIR")).to_owned();
    Programs {
        dispatcher: format!("exec '{}' serve", dispatcher.display()),
        folder: scratch.clone(),
        hollow,
        scratch,
    }
}

/// Checks what every run has to guarantee: each request ends exactly once, no at-most-once request runs twice, no
/// server gets calls over its slow-start budget, and no state stays held.
fn check_report(options: RunOptions, report: &Report) {
    assert_eq!(report.samples.len(), options.real as usize);
    let sent = u64::from(options.requests) * options.seconds;
    for RunSample { ends, datagrams_in, .. } in &report.samples {
        assert_eq!(ends.total(), sent, "each request ends exactly once: {ends:?}");
        assert_eq!(ends.unanswered, 0, "{ends:?}");
        assert!(datagrams_in.is_finite());
    }
    assert_eq!(report.replicas.ran_twice, 0, "an at-most-once request ran twice");
    assert_eq!(report.replicas.over_budget, 0, "a call over a slow-start budget");
    assert_eq!(report.replicas.held, 0, "the state of a request is still held");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn real_dispatchers_among_hollow_ones_end_every_request_once() {
    let report = run(options(), &programs(), |_| {}).await.expect("a run");
    check_report(options(), &report);
    let served: u64 = report.samples.iter().map(|sample| sample.ends.served).sum();
    assert!(served * 10 >= 9 * 2 * 120, "{:?}", report.samples);
    assert_eq!(report.replicas.writes, served, "each served answer was started exactly once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_returns_in_slow_start_gets_no_more_calls_than_its_budget() {
    let options = RunOptions { event: RunEvent::Zone, seconds: 12, ..options() };
    let report = run(options, &programs(), |_| {}).await.expect("a run");
    check_report(options, &report);
    assert!(
        report.replicas.cold_calls > 0,
        "no server in slow start was called, so the budget was not tested"
    );
}

#[tokio::test]
async fn a_run_over_the_limits_of_the_machine_is_rejected_before_anything_starts() {
    let rejected = |options: RunOptions| async move {
        let no_programs =
            Programs { dispatcher: "false".to_owned(), hollow: PathBuf::from("/nowhere"), ..programs() };
        match run(options, &no_programs, |_| {}).await {
            Err(RunError::Limit(error)) => error,
            other => panic!("{other:?}"),
        }
    };
    let processes = rejected(RunOptions { real: 200, dispatchers: 200, ..options() }).await;
    assert!(matches!(processes, LimitError::Processes { required: 203 }), "{processes}");
    let memory = rejected(RunOptions { memory_mb: 1 << 40, ..options() }).await;
    assert!(matches!(memory, LimitError::Memory { .. }), "{memory}");
    let open_descriptors = rejected(RunOptions { descriptors: u32::MAX, ..options() }).await;
    assert!(matches!(open_descriptors, LimitError::Descriptors { .. }), "{open_descriptors}");
    assert!(open_descriptors.to_string().starts_with("--servers, --real: "), "{open_descriptors}");
}
