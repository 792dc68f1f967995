//! Readers and writers whose processes are stopped (SIGSTOP) at each moment between a connect and the end of an answer,
//! and are resumed, killed or left stopped. Their machines still accept connections and bytes. States must not be held
//! for too long, at-most-once requests must not run twice, and a writer that is only slow must still answer.

mod server_processes;

use std::time::Duration;

use server_processes::{Layout, ServerProcess, Site, Step, DEDUP_WINDOW, MAX_HOLD_TIME};
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

const CLASSES: [&str; 3] = ["ask", "book", "note"];
const ID: &str = "00000000000000a1";
/// Latency objectives in seconds: one below and one above the time for which a state may be held.
const OBJECTIVES_S: [f64; 2] = [0.3, 2.0];
/// Stopped servers are resumed or killed this long after the request is sent.
const STOP_DURATION: Duration = Duration::from_millis(700);
/// Wait after the answer, by the end of which every held state must have been released.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// What happens to stopped servers after `STOP_DURATION`.
#[derive(Clone, Copy, Debug)]
enum AfterStop {
    Resume,
    Kill,
    StayStopped,
}

impl AfterStop {
    const ALL: [Self; 3] = [Self::Resume, Self::Kill, Self::StayStopped];

    async fn apply(self, servers: &[ServerProcess]) {
        sleep(STOP_DURATION).await;
        for server in servers {
            match self {
                Self::Resume => server.signal("-CONT").await,
                Self::Kill => server.signal("-KILL").await,
                Self::StayStopped => {}
            }
        }
    }
}

/// One request while servers are stopped.
#[derive(Clone, Debug)]
struct Scenario {
    class: &'static str,
    objective_s: f64,
    after_stop: AfterStop,
    /// How many readers and writers are stopped before the request.
    stopped_readers: usize,
    stopped_writers: usize,
    /// The moments at which running servers stop themselves; `None` for never.
    readers_stop: Option<&'static str>,
    writers_stop: Option<&'static str>,
}

impl Scenario {
    /// Returns a name for the files of the scenario and for failure messages.
    fn name(&self) -> String {
        let Self { class, objective_s, after_stop, stopped_readers, stopped_writers, .. } = self;
        let moments = format!("{:?}-{:?}", self.readers_stop, self.writers_stop);
        let moments: String = moments.chars().filter(|letter| !"()\"".contains(*letter)).collect();
        format!("{class}-{objective_s}-{after_stop:?}-{stopped_readers}-{stopped_writers}-{moments}")
    }

    /// Sends the request and checks hold times, the number of runs and the log.
    async fn run(self) {
        let name = self.name();
        let Self { class, objective_s, after_stop, readers_stop, writers_stop, .. } = self;
        let layout = Layout { readers: 2, readers_stop, writers_stop, objective_s, ..Layout::default() };
        let site = Site::start(&name, &layout).await;
        Site::stop(&site.readers[..self.stopped_readers]).await;
        Site::stop(&site.writers[..self.stopped_writers]).await;
        let end_stops = async {
            after_stop.apply(&site.readers).await;
            after_stop.apply(&site.writers).await;
        };
        let (answer, ()) = tokio::join!(site.request(ID, class, "2.500"), end_stops);
        assert!(!answer.is_empty(), "{name}: closed without an answer");
        sleep(SETTLE_TIME).await;
        let ledger = site.ledger();
        let held = ledger.longest_held(ID, Instant::now());
        assert!(held <= MAX_HOLD_TIME, "{name}: held for {held:?}; {:#?} {:#?}", *ledger, site.log());
        let runs = ledger.count(ID, Step::Fetched);
        assert!(class != "book" || runs <= 1, "{name}: {runs} writers started it; {:#?}", *ledger);
        // Servers drop repeats of a `note` only within the deduplication window.
        let between = ledger.time_between(ID, Step::Fetched);
        assert!(
            class != "note" || between <= DEDUP_WINDOW,
            "{name}: repeated after {between:?}: {:#?} {:#?}",
            *ledger,
            site.log()
        );
        assert!(site.log().iter().all(|line| !line.contains("rule broken")), "{name}: {:#?}", site.log());
    }
}

/// Runs all scenarios concurrently.
async fn run_all(scenarios: Vec<Scenario>) {
    let mut running: JoinSet<()> = scenarios.into_iter().map(Scenario::run).collect();
    while let Some(finished) = running.join_next().await {
        finished.unwrap();
    }
}

/// Returns a scenario in which no server stops.
fn scenario(class: &'static str, objective_s: f64, after_stop: AfterStop) -> Scenario {
    let (stopped_readers, stopped_writers) = (0, 0);
    let (readers_stop, writers_stop) = (None, None);
    Scenario { class, objective_s, after_stop, stopped_readers, stopped_writers, readers_stop, writers_stop }
}

/// One, two or all three writers are stopped before the request.
#[tokio::test(flavor = "multi_thread")]
async fn writers_stopped_before_the_request() {
    let mut scenarios = Vec::new();
    for (index, class) in CLASSES.into_iter().enumerate() {
        for (inner_index, stopped_writers) in [1, 2, 3].into_iter().enumerate() {
            let (objective_s, after_stop) =
                (OBJECTIVES_S[(index + inner_index) % 2], AfterStop::ALL[(index + inner_index) % 3]);
            scenarios.push(Scenario { stopped_writers, ..scenario(class, objective_s, after_stop) });
        }
    }
    run_all(scenarios).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn writers_that_stop_at_each_moment_of_an_exchange() {
    let mut scenarios = Vec::new();
    for (index, moment) in ["accepted", "received", "answering", "answered"].into_iter().enumerate() {
        for (inner_index, class) in CLASSES.into_iter().enumerate() {
            let (objective_s, after_stop) =
                (OBJECTIVES_S[(index + inner_index) % 2], AfterStop::ALL[(index + inner_index) % 3]);
            scenarios
                .push(Scenario { writers_stop: Some(moment), ..scenario(class, objective_s, after_stop) });
        }
    }
    run_all(scenarios).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn readers_stopped_before_the_request_or_at_each_moment_of_an_exchange() {
    let mut scenarios = Vec::new();
    let moments = [None, Some("accepted"), Some("received"), Some("answering"), Some("answered")];
    for (index, readers_stop) in moments.into_iter().enumerate() {
        for (inner_index, class) in CLASSES.into_iter().enumerate() {
            let (objective_s, after_stop) =
                (OBJECTIVES_S[(index + inner_index) % 2], AfterStop::ALL[(index + inner_index) % 3]);
            let stopped_readers = usize::from(readers_stop.is_none()) * (1 + inner_index % 2);
            scenarios.push(Scenario {
                stopped_readers,
                readers_stop,
                ..scenario(class, objective_s, after_stop)
            });
        }
    }
    run_all(scenarios).await;
}

/// One of two readers and two of three writers are stopped: the running servers receive the release.
#[tokio::test(flavor = "multi_thread")]
async fn readers_and_writers_stopped_before_the_request() {
    let mut scenarios = Vec::new();
    for class in CLASSES {
        for objective_s in OBJECTIVES_S {
            let stopped = Scenario {
                stopped_readers: 1,
                stopped_writers: 2,
                ..scenario(class, objective_s, AfterStop::Resume)
            };
            scenarios.push(stopped);
        }
    }
    run_all(scenarios).await;
}

/// A running writer that needs longer than a state may be held still answers, and the prompt is read only once: the
/// reader keeps the state for the writer that has the attempt, although the dispatcher has requested the release.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_writer_answers_from_the_state_after_one_read() {
    for class in CLASSES {
        let write_time = Duration::from_millis(1_100);
        let layout = Layout { write_time, ..Layout::default() };
        let site = Site::start(&format!("slow-{class}"), &layout).await;
        let answer = site.request(ID, class, "2.500").await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{class}: {answer}");
        let ledger = site.ledger();
        let counts = [Step::Read, Step::WriterReceived, Step::Fetched, Step::NoState]
            .map(|step| ledger.count(ID, step));
        assert_eq!(counts, [1, 1, 1, 0], "{class}: {:#?}", *ledger);
        assert!(ledger.count(ID, Step::ReleaseReceived) > 0, "{class}: no release was requested");
    }
}

/// A writer stops after it has received the request. The state is released while the attempt is at that writer; after
/// the attempt times out, the prompt is read again, and another writer answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_at_a_writer_that_stopped_is_read_again_and_served_by_another_writer() {
    let layout = Layout {
        writers: 2,
        writers_stop: Some("received"),
        stopping_writers: 1,
        objective_s: 0.6,
        ..Layout::default()
    };
    let site = Site::start("kept", &layout).await;
    for index in 0..40 {
        let id = format!("{index:016x}");
        let answer = site.request(&id, "ask", "2.900").await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        let ledger = site.ledger();
        if ledger.count(&id, Step::WriterReceived) < 2 {
            continue; // the request went to the running writer
        }
        let counts = [Step::Read, Step::Fetched, Step::NoState].map(|step| ledger.count(&id, step));
        assert_eq!(counts, [2, 1, 0], "{:#?}", *ledger);
        assert!(ledger.longest_held(&id, Instant::now()) <= MAX_HOLD_TIME, "{:#?}", *ledger);
        return;
    }
    panic!("no request went to the stopped writer");
}
