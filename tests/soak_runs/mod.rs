//! Runs drawn plans of the soak with the built program, a few at once.

use std::ops::RangeInclusive;
use std::path::PathBuf;

use dewladder_soak::harness::{run_plan, Options};
use dewladder_soak::oracle::{check, counts, LIMITS};
use dewladder_soak::plan::Plan;
use tokio::task::JoinSet;

const PROCESSES: usize = 2;
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
pub async fn run_all(
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
