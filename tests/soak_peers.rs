//! A short soak of peers of every role that send for ever, are slow, or leave no time, beside series of signals, upgrades,
//! crowds and early kills. The long soak is started by hand: `dewladder-soak --peers`.

mod soak_runs;

use std::ops::RangeInclusive;

use dewladder_soak::plan::Plan;
use soak_runs::run_all;

const SEEDS: RangeInclusive<u64> = 1..=12;
const RUN_SECONDS: u64 = 8;

#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_endless_and_slow_peers_break_no_rule() {
    run_all(Plan::draw_peers, SEEDS, RUN_SECONDS, "soak-peers").await;
}
