//! The soak of servers that stand still, short: drawn plays of the program as it is started, judged by what its clients,
//! servers and agents saw. Processes get series of signals and are killed in their shutdown as early as the platform may do
//! so, while clients go on sending on their open connections. The long run is started by hand: `dewladder-soak --stopped`.

use std::path::PathBuf;

use dewladder_soak::harness::{run_plan, Options};
use dewladder_soak::oracle::{check, counts, LIMITS};
use dewladder_soak::plan::Plan;
use tokio::task::JoinSet;

const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
const PROCESSES: usize = 2;
const SECONDS: u64 = 10;
/// Plays at once: each has some ten tasks and two or three processes.
const AT_ONCE: usize = 4;

async fn violations(seed: u64) -> Vec<String> {
    let plan = Plan::draw_stopped(seed, PROCESSES, SECONDS);
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
async fn drawn_plays_of_servers_that_stand_still_break_no_rule() {
    let (mut seeds, mut playing, mut broken) = (SEEDS, JoinSet::new(), Vec::new());
    loop {
        while playing.len() < AT_ONCE {
            let Some(seed) = seeds.next() else { break };
            playing.spawn(violations(seed));
        }
        let Some(played) = playing.join_next().await else { break };
        broken.extend(played.unwrap());
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
