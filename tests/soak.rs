//! Short soaks, with stopped servers and with replaced processes: drawn plans are run with the built program, and the
//! oracle checks what clients, servers and agents observed. Processes get series of signals and are killed in their
//! shutdown as early as the platform may kill them, while clients keep sending on their open connections. The long soak is
//! started by hand: `dewladder-soak --stopped`, `dewladder-soak --replaced`.

mod soak_runs;

use std::ops::RangeInclusive;

use dewladder_soak::plan::Plan;
use soak_runs::run_all;

const SEEDS: RangeInclusive<u64> = 1..=12;
/// Seeds of the plans with replaced processes; all of their faults occur in them.
const REPLACED_SEEDS: RangeInclusive<u64> = 1..=8;
const RUN_SECONDS: u64 = 10;

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
