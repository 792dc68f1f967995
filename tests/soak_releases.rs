//! A short soak with releases of servers of limited capacity, in a program of its own: its traffic would slow other soaks
//! down. The long one is started by hand: `dewladder-soak --released`.

mod soak_runs;

use std::ops::RangeInclusive;

use dewladder_soak::plan::Plan;
use soak_runs::run_all;

const SEEDS: RangeInclusive<u64> = 1..=8;
/// Long enough for a release.
const RUN_SECONDS: u64 = 20;

/// Servers that start one after the other in a release, again and again or under a burst are not overloaded, judged by
/// what they got and by the least capacity that the settings promise.
#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_releases_of_servers_break_no_rule() {
    run_all(Plan::draw_released, SEEDS, RUN_SECONDS, "soak-released").await;
}
