//! A short soak with stopped servers: drawn plans are run with the built program, and the oracle checks what clients,
//! servers and agents observed. Processes get series of signals and are killed in their shutdown as early as the
//! platform may kill them, while clients keep sending on their open connections. The long soak is started by hand:
//! `dewladder-soak --stopped`.

use std::path::PathBuf;

use dewladder_soak::harness::{run_plan, Options};
use dewladder_soak::oracle::{check, counts, LIMITS};
use dewladder_soak::plan::Plan;
use tokio::task::JoinSet;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
const PROCESSES: usize = 2;
const RUN_SECONDS: u64 = 10;
/// Plans that run at once; each has some ten tasks and two or three processes.
const PARALLEL_RUNS: usize = 4;

/// Runs the plan of a seed and returns the violations that the oracle finds.
async fn violations(seed: u64) -> Vec<String> {
    let plan = Plan::draw_stopped(seed, PROCESSES, RUN_SECONDS);
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_dewladder")),
        shim: None,
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak"),
        environment: Vec::new(),
    };
    let entries = run_plan(&plan, &options).await.unwrap();
    let counts = counts(&entries);
    assert!(counts.asked > 100 && counts.served > 20, "seed {seed}: {counts:?}");
    let violations = check(&plan, &entries, &LIMITS);
    violations.iter().map(|violation| format!("seed {seed}: {violation:?}")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_stopped_servers_break_no_rule() {
    let (mut seeds, mut running, mut broken) = (SEEDS, JoinSet::new(), Vec::new());
    loop {
        while running.len() < PARALLEL_RUNS {
            let Some(seed) = seeds.next() else { break };
            running.spawn(violations(seed));
        }
        let Some(finished) = running.join_next().await else { break };
        broken.extend(finished.unwrap());
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
