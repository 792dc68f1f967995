//! Compares the idempotency store at 10^5 and 10^6 keys with a baseline, a `HashMap` with a sorted set of expiry
//! times: time per operation and memory per key. Run with `cargo bench -p dewladder-idempotency`.

use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::time::Instant;

use dewladder_idempotency::{
    Admission, Fingerprint, Fingerprinter, IdempotencyStore, IncomingRequest, Micros, Outcome, Policy,
    RequestIdentity, RetryBudgetPolicy,
};

/// For how long both stores remember a key.
const RETENTION_US: Micros = 600_000_000;
const ANSWER: &[u8] = &[b'x'; 256];

/// A reproducible pseudo-random number for each index (splitmix64).
fn pseudo_random(index: u64) -> u64 {
    let mixed = (index.wrapping_add(1)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}

fn fingerprint_of(index: u64) -> Fingerprint {
    Fingerprint([pseudo_random(2 * index), pseudo_random(2 * index + 1)])
}

/// The baseline: a store without limits, readers or retry budgets.
#[derive(Default)]
struct BaselineStore {
    /// For each key: fingerprint of the body, expiry time and answer.
    entries: HashMap<Fingerprint, (Fingerprint, Micros, Vec<u8>)>,
    due: BTreeSet<(Micros, Fingerprint)>,
}

impl BaselineStore {
    /// Forgets expired keys, and adds `key` if it is new. Returns whether it is a repeat with the same body.
    fn admit_key(&mut self, now: Micros, key: Fingerprint, body: Fingerprint) -> bool {
        while let Some(&(due, key)) = self.due.first().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, key));
            self.entries.remove(&key);
        }
        if let Some((known_body, _, _)) = self.entries.get(&key) {
            return *known_body == body;
        }
        self.due.insert((now + RETENTION_US, key));
        self.entries.insert(key, (body, now + RETENTION_US, Vec::new()));
        false
    }

    fn answer(&mut self, key: Fingerprint, answer: &[u8]) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.2 = answer.to_vec();
        }
    }
}

/// The resident memory of this process, from `/proc` (bytes).
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4_096
}

/// Prints one row of the table. `fill`, `repeat` and `churn` are the seconds that all operations of a phase took.
fn print_row(label: &str, keys: u64, fill: f64, repeat: f64, churn: f64, bytes: usize) {
    let ns_per_key = |seconds: f64| seconds * 1e9 / keys as f64;
    println!(
        "{label:<28} {keys:>9} {:>10.0} {:>10.0} {:>10.0} {:>10}",
        ns_per_key(fill),
        ns_per_key(repeat),
        ns_per_key(churn),
        bytes / keys as usize
    );
}

fn main() {
    // `cargo test` runs benchmarks without `--bench`, only to check that they build.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, variant, keys, answer, ..] = &arguments[..] {
        if let (Ok(keys), Ok(answer)) = (keys.parse(), answer.parse()) {
            return if variant == "store" { store(keys, answer) } else { baseline(keys, answer) };
        }
    }
    println!(
        "{:<28} {:>9} {:>10} {:>10} {:>10} {:>10}",
        "", "keys", "new ns", "repeat ns", "churn ns", "bytes/key"
    );
    let program = std::env::current_exe().expect("the path of this program");
    for keys in ["100000", "1000000"] {
        for answer in ["0", "256"] {
            for variant in ["store", "baseline"] {
                // Each run has its own process, so that memory freed by one run does not lower the figure of the
                // next.
                let run =
                    std::process::Command::new(&program).args([variant, keys, answer, "--bench"]).status();
                assert!(run.is_ok_and(|status| status.success()), "{variant} at {keys} keys");
            }
        }
    }
    let body = vec![b'a'; 16 << 10];
    let fingerprinter = Fingerprinter::new(b"a secret");
    let start = Instant::now();
    for _ in 0..10_000 {
        black_box(fingerprinter.fingerprint("body", &[&body]));
    }
    println!("fingerprint of a 16 KiB body: {:.1} us", start.elapsed().as_secs_f64() * 100.0);
}

/// The time at which a key arrives. All arrive within half of the retention time, so that all are remembered at the
/// end.
fn time(index: u64, keys: u64) -> Micros {
    index * (RETENTION_US / 2) / keys
}

/// The part of a row's label that names the length of kept answers.
fn answer_label(answer: &[u8]) -> String {
    if answer.is_empty() {
        String::new()
    } else {
        format!(", {} B kept", answer.len())
    }
}

/// Measures the idempotency store: new keys, repeats, and new keys while old ones expire.
fn store(keys: u64, answer: usize) {
    let answer = &ANSWER[..answer];
    let before = resident_bytes();
    let policy = Policy {
        max_entries: keys as usize + 1,
        max_bytes: usize::MAX / 2,
        retention_us: RETENTION_US,
        tenant_permille: 1_000,
        retry_budget: RetryBudgetPolicy::default(),
        ..Policy::default()
    };
    let mut store = IdempotencyStore::new(policy, 0);
    let request = |index: u64| IncomingRequest {
        tenant: 1,
        at_most_once: true,
        identity: Some(RequestIdentity::Key(fingerprint_of(index))),
        body: fingerprint_of(index ^ 1 << 40),
        is_retry: false,
    };
    let start = Instant::now();
    let run = |store: &mut IdempotencyStore, now: Micros, index: u64| {
        if let Admission::Run(id) = store.admit(now, &request(index), index) {
            if !answer.is_empty() {
                store.stream_started(now, id);
                store.record(now, id, answer);
            }
            store.finish(now, id, Outcome::Completed);
            store.reader_left(now, id);
            store.effects().for_each(drop);
        }
    };
    for index in 0..keys {
        run(&mut store, time(index, keys), index);
    }
    let fill = start.elapsed().as_secs_f64();
    let bytes = resident_bytes().saturating_sub(before);
    let start = Instant::now();
    for index in 0..keys {
        let admission = store.admit(RETENTION_US / 2, &request(pseudo_random(index) % keys), index);
        if let Admission::Join(id) = black_box(admission) {
            store.reader_left(RETENTION_US / 2, id);
        }
    }
    let repeat = start.elapsed().as_secs_f64();
    let start = Instant::now();
    for index in 0..keys {
        run(&mut store, RETENTION_US + time(index, keys), keys + index); // each new key expires an old one
    }
    let churn = start.elapsed().as_secs_f64();
    print_row(&format!("IdempotencyStore{}", answer_label(answer)), keys, fill, repeat, churn, bytes);
}

/// Measures the baseline with the same operations.
fn baseline(keys: u64, answer: usize) {
    let answer = &ANSWER[..answer];

    let before = resident_bytes();
    let mut baseline = BaselineStore::default();
    let start = Instant::now();
    for index in 0..keys {
        baseline.admit_key(time(index, keys), fingerprint_of(index), fingerprint_of(index ^ 1 << 40));
        baseline.answer(fingerprint_of(index), answer);
    }
    let fill = start.elapsed().as_secs_f64();
    let bytes = resident_bytes().saturating_sub(before);
    let start = Instant::now();
    for index in 0..keys {
        let index = pseudo_random(index) % keys;
        black_box(baseline.admit_key(
            RETENTION_US / 2,
            fingerprint_of(index),
            fingerprint_of(index ^ 1 << 40),
        ));
    }
    let repeat = start.elapsed().as_secs_f64();
    let start = Instant::now();
    for index in keys..2 * keys {
        baseline.admit_key(
            RETENTION_US + time(index - keys, keys),
            fingerprint_of(index),
            fingerprint_of(index ^ 1 << 40),
        );
        baseline.answer(fingerprint_of(index), answer);
    }
    let churn = start.elapsed().as_secs_f64();
    print_row(&format!("HashMap + BTreeSet{}", answer_label(answer)), keys, fill, repeat, churn, bytes);
}
