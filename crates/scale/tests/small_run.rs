//! The small form of the run at size: tens of hollow replicas and dispatchers, two real processes. No times are asserted.

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

/// The dispatcher lies beside the program of the hollow ones: the workspace's tests build both.
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

fn holds(options: RunOptions, report: &Report) {
    assert_eq!(report.samples.len(), options.real as usize);
    let asked = u64::from(options.requests) * options.seconds;
    for RunSample { ends, datagrams_in, .. } in &report.samples {
        assert_eq!(ends.all(), asked, "each has its end, once: {ends:?}");
        assert_eq!(ends.unanswered, 0, "{ends:?}");
        assert!(datagrams_in.is_finite());
    }
    assert_eq!(report.replicas.ran_twice, 0, "a request that may run once only ran twice");
    assert_eq!(report.replicas.over_budget, 0, "a call beyond a slow-start budget");
    assert_eq!(report.replicas.held, 0, "a prompt's state is still held");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn real_dispatchers_among_hollow_ones_end_every_request_once() {
    let report = run(options(), &programs(), |_| {}).await.expect("a run");
    holds(options(), &report);
    let served: u64 = report.samples.iter().map(|sample| sample.ends.served).sum();
    assert!(served * 10 >= 9 * 2 * 120, "{:?}", report.samples);
    assert_eq!(report.replicas.writes, served, "each answer was begun once");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_zone_that_is_lost_and_comes_back_cold_gets_no_more_than_its_budget() {
    let options = RunOptions { event: RunEvent::Zone, seconds: 12, ..options() };
    let report = run(options, &programs(), |_| {}).await.expect("a run");
    holds(options, &report);
    assert!(report.replicas.cold_calls > 0, "no cold server was called: nothing was put to the test");
}

#[tokio::test]
async fn what_the_machine_can_not_hold_is_refused_before_anything_starts() {
    let refused = |options: RunOptions| async move {
        let nothing =
            Programs { dispatcher: "false".to_owned(), hollow: PathBuf::from("/nowhere"), ..programs() };
        match run(options, &nothing, |_| {}).await {
            Err(RunError::Limit(error)) => error,
            other => panic!("{other:?}"),
        }
    };
    let many = refused(RunOptions { real: 200, dispatchers: 200, ..options() }).await;
    assert!(matches!(many, LimitError::Processes { wanted: 203 }), "{many}");
    let large = refused(RunOptions { memory_mb: 1 << 40, ..options() }).await;
    assert!(matches!(large, LimitError::Memory { .. }), "{large}");
    let open = refused(RunOptions { descriptors: u32::MAX, ..options() }).await;
    assert!(matches!(open, LimitError::Descriptors { .. }), "{open}");
    assert!(open.to_string().starts_with("--servers, --real: "), "{open}");
}
