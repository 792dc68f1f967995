//! Trials with forced disconnects, without knowledge of repeats, with it, and with a time to linger: how many bookings
//! run twice, and what the retries get. `cargo bench --bench repeats`.

#[path = "../tests/stand_in/mod.rs"]
mod stand_in;
#[path = "../tests/trials/mod.rs"]
mod trials;

use std::time::Instant;

const TRIALS: usize = 2_400;

fn main() {
    // Under `cargo test` a benchmark is only to show that it builds.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!("{TRIALS} bookings each; 6 events an answer, 24 clients at once, two readers and two writers");
    println!(
        "{:<24} {:>8} {:>9} {:>9} {:>10} {:>10} {:>8} {:>8}",
        "", "doubled", "never ran", "answered", "for good", "come back", "unclear", "seconds"
    );
    for (what, linger) in [("no ledger", None), ("ledger", Some(0.0)), ("ledger, linger 10 s", Some(10.0))] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let start = Instant::now();
        let came = runtime.block_on(async {
            let site = trials::site(linger).await;
            trials::run(site.chat, &site.fleet, TRIALS, 20_261_201).await
        });
        println!(
            "{what:<24} {:>8} {:>9} {:>9} {:>10} {:>10} {:>8} {:>8.1}",
            came.ran_more_than_once,
            came.never_ran,
            came.answered,
            came.retry_forbidden,
            came.retry_later,
            came.unexpected,
            start.elapsed().as_secs_f64()
        );
    }
}
