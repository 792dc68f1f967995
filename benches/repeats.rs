//! Bookings whose clients lose their connection and retry, against a dispatcher without deduplication, with it, and
//! with a linger time in addition, for which requests go on after their client has disconnected. Counts how many
//! bookings run twice, and what the retries receive. `cargo bench --bench repeats`.

#[path = "../tests/stand_in/mod.rs"]
mod stand_in;
#[path = "../tests/trials/mod.rs"]
mod trials;

use std::time::Instant;

/// Number of bookings in each configuration.
const TRIALS: usize = 2_400;

fn main() {
    // `cargo test` also runs benchmarks, without `--bench`: then it only has to build.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!("{TRIALS} bookings each; 6 events an answer, 24 clients at once, two readers and two writers");
    println!(
        "{:<24} {:>8} {:>9} {:>9} {:>10} {:>10} {:>10} {:>8} {:>8}",
        "", "doubled", "never ran", "answered", "for good", "had it all", "come back", "unclear", "seconds"
    );
    for (configuration, linger) in
        [("no deduplication", None), ("deduplication", Some(0.0)), ("and linger of 10 s", Some(10.0))]
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let start = Instant::now();
        let counts = runtime.block_on(async {
            let site = trials::site(linger).await;
            trials::run(site.chat, &site.fleet, TRIALS, 20_261_201).await
        });
        println!(
            "{configuration:<24} {:>8} {:>9} {:>9} {:>10} {:>10} {:>10} {:>8} {:>8.1}",
            counts.ran_more_than_once,
            counts.never_ran,
            counts.answered,
            counts.retry_forbidden,
            counts.forbidden_after_whole_answer,
            counts.retry_later,
            counts.unexpected,
            start.elapsed().as_secs_f64()
        );
    }
}
