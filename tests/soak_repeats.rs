//! A short soak of ids that come again after their requests have ended, and of words that clients of the chat front share, beside
//! upgrades, restarts, kills and refusals. The long soak is started by hand: `dewladder-soak --repeated`.

mod soak_runs;

use std::ops::RangeInclusive;

use dewladder_soak::plan::Plan;
use soak_runs::run_all;

const SEEDS: RangeInclusive<u64> = 1..=12;
const RUN_SECONDS: u64 = 10;

/// Review cases 6 and 8: an id that came again ran a second time, and a client was given another client's answer.
#[tokio::test(flavor = "multi_thread")]
async fn drawn_plans_with_ids_and_words_that_come_again_break_no_rule() {
    run_all(Plan::draw_repeated, SEEDS, RUN_SECONDS, "soak-repeats").await;
}
