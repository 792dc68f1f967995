//! Short soaks, with stopped servers, with replaced processes and with releases of servers: drawn plans are run with the built program, and the
//! oracle checks what clients, servers and agents observed. Processes get series of signals and are killed in their
//! shutdown as early as the platform may kill them, while clients keep sending on their open connections. The long soak is
//! started by hand: `dewladder-soak --stopped`, `dewladder-soak --replaced`, `dewladder-soak --released`.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use dewladder_soak::harness::{run_plan, Options};
use dewladder_soak::oracle::{check, counts, LIMITS};
use dewladder_soak::plan::Plan;
use tokio::task::JoinSet;

const SEEDS: RangeInclusive<u64> = 1..=12;
/// Seeds of the plans with replaced processes; all of their faults occur in them.
const REPLACED_SEEDS: RangeInclusive<u64> = 1..=8;
/// Seeds of the plans with releases, and the length of their runs: long enough for a release.
const RELEASED_SEEDS: RangeInclusive<u64> = 1..=8;
const RELEASED_RUN_SECONDS: u64 = 20;
const PROCESSES: usize = 2;
const RUN_SECONDS: u64 = 10;
/// Plans that run at once; each has some ten tasks and two or three processes.
const PARALLEL_RUNS: usize = 4;

/// Returns the path of the fault shim, which is built into the folder of the test programs.
fn shim() -> PathBuf {
    let shim = std::env::current_exe().unwrap().with_file_name("libdewladder_fault_shim.so");
    assert!(shim.exists(), "{} does not exist, although the tests depend on it", shim.display());
    shim
}

/// Runs a plan and returns the violations that the oracle finds.
async fn violations(plan: Plan, folder: &'static str) -> Vec<String> {
    let seed = plan.seed;
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_dewladder")),
        shim: Some(shim()),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder),
        environment: Vec::new(),
    };
    let entries = run_plan(&plan, &options).await.unwrap();
    let counts = counts(&entries);
    assert!(counts.asked > 100 && counts.served > 20, "seed {seed}: {counts:?}");
    let violations = check(&plan, &entries, &LIMITS);
    violations.iter().map(|violation| format!("seed {seed}: {violation:?}")).collect()
}

/// Runs the plans of all seeds, a few at once, and checks that none violates a rule.
async fn run_all(
    draw: fn(u64, usize, u64) -> Plan,
    mut seeds: RangeInclusive<u64>,
    seconds: u64,
    folder: &'static str,
) {
    let (mut running, mut broken) = (JoinSet::new(), Vec::new());
    loop {
        while running.len() < PARALLEL_RUNS {
            let Some(seed) = seeds.next() else { break };
            running.spawn(violations(draw(seed, PROCESSES, seconds), folder));
        }
        let Some(finished) = running.join_next().await else { break };
        broken.extend(finished.unwrap());
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_stopped_servers_break_no_rule() {
    run_all(Plan::draw_stopped, SEEDS, RUN_SECONDS, "soak").await;
}

/// Upgrades while bad clients repeat open ids, restarts with an early kill while clients write slowly, and floods of large
/// bodies: none of these was drawn before a review found a fault in each. Beside each end of a process a client connects all
/// the time, and the process is held up as it closes its listener.
#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_replaced_processes_break_no_rule() {
    run_all(Plan::draw_replaced, REPLACED_SEEDS, RUN_SECONDS, "soak-replaced").await;
}

/// Servers that start one after the other in a release, again and again or under a burst are not overloaded, judged by
/// what they got and by the least capacity that the settings promise.
#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_releases_of_servers_break_no_rule() {
    run_all(Plan::draw_released, RELEASED_SEEDS, RELEASED_RUN_SECONDS, "soak-released").await;
}
