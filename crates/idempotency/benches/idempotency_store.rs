//! The idempotency store at 10^5 and 10^6 keys against a plain `HashMap` with a sorted set of expiries: cost of an operation
//! and bytes a key, in one run. `cargo bench -p dewladder-idempotency`.

use std::collections::{BTreeSet, HashMap};
use std::hint::black_box;
use std::time::Instant;

use dewladder_idempotency::{
    Admission, Fingerprint, Fingerprinter, IdempotencyStore, IncomingRequest, Micros, Outcome, Policy,
    RequestIdentity, RetryBudgetPolicy,
};

const WINDOW: Micros = 600_000_000;
const ANSWER: &[u8] = &[b'x'; 256];

/// Numbers that look random and are the same each time (splitmix64).
fn number(at: u64) -> u64 {
    let mixed = (at.wrapping_add(1)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}

fn print(at: u64) -> Fingerprint {
    Fingerprint([number(2 * at), number(2 * at + 1)])
}

/// What a plain store would keep: no bounds, no readers, no budgets.
#[derive(Default)]
struct Plain {
    entries: HashMap<Fingerprint, (Fingerprint, Micros, Vec<u8>)>,
    due: BTreeSet<(Micros, Fingerprint)>,
}

impl Plain {
    fn offer(&mut self, now: Micros, key: Fingerprint, body: Fingerprint) -> bool {
        while let Some(&(due, key)) = self.due.first().filter(|(due, _)| *due <= now) {
            self.due.remove(&(due, key));
            self.entries.remove(&key);
        }
        if let Some((known, _, _)) = self.entries.get(&key) {
            return *known == body;
        }
        self.due.insert((now + WINDOW, key));
        self.entries.insert(key, (body, now + WINDOW, Vec::new()));
        false
    }

    fn answer(&mut self, key: Fingerprint, answer: &[u8]) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.2 = answer.to_vec();
        }
    }
}

/// Resident memory in bytes, as the system tells it.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4_096
}

fn row(what: &str, keys: u64, fill: f64, repeat: f64, turn: f64, bytes: usize) {
    let each = |seconds: f64| seconds * 1e9 / keys as f64;
    println!(
        "{what:<28} {keys:>9} {:>10.0} {:>10.0} {:>10.0} {:>10}",
        each(fill),
        each(repeat),
        each(turn),
        bytes / keys as usize
    );
}

fn main() {
    // Under `cargo test` a benchmark is only to show that it builds.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, which, keys, answer, ..] = &arguments[..] {
        if let (Ok(keys), Ok(answer)) = (keys.parse(), answer.parse()) {
            return if which == "ledger" { store(keys, answer) } else { plain(keys, answer) };
        }
    }
    println!(
        "{:<28} {:>9} {:>10} {:>10} {:>10} {:>10}",
        "", "keys", "new ns", "repeat ns", "turn ns", "bytes a key"
    );
    let program = std::env::current_exe().expect("this program");
    for keys in ["100000", "1000000"] {
        for answer in ["0", "256"] {
            for which in ["ledger", "plain"] {
                // A process each: what one has freed must not count as room of the next.
                let run =
                    std::process::Command::new(&program).args([which, keys, answer, "--bench"]).status();
                assert!(run.is_ok_and(|status| status.success()), "{which} at {keys} keys");
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

/// When each key comes: all within half a window, so that all are remembered at the end.
fn time(at: u64, keys: u64) -> Micros {
    at * (WINDOW / 2) / keys
}

fn kept(answer: &[u8]) -> String {
    if answer.is_empty() {
        String::new()
    } else {
        format!(", {} B kept", answer.len())
    }
}

fn store(keys: u64, answer: usize) {
    let answer = &ANSWER[..answer];
    let before = resident();
    let policy = Policy {
        max_entries: keys as usize + 1,
        max_bytes: usize::MAX / 2,
        retention_us: WINDOW,
        tenant_permille: 1_000,
        retry_budget: RetryBudgetPolicy::default(),
        ..Policy::default()
    };
    let mut store = IdempotencyStore::new(policy, 0);
    let request = |at: u64| IncomingRequest {
        tenant: 1,
        at_most_once: true,
        identity: Some(RequestIdentity::Key(print(at))),
        body: print(at ^ 1 << 40),
        is_retry: false,
    };
    let start = Instant::now();
    let run = |store: &mut IdempotencyStore, now: Micros, at: u64| {
        if let Admission::Run(id) = store.admit(now, &request(at), at) {
            if !answer.is_empty() {
                store.stream_started(now, id);
                store.record(now, id, answer);
            }
            store.finish(now, id, Outcome::Completed);
            store.reader_left(now, id);
            store.effects().for_each(drop);
        }
    };
    for at in 0..keys {
        run(&mut store, time(at, keys), at);
    }
    let fill = start.elapsed().as_secs_f64();
    let bytes = resident().saturating_sub(before);
    let start = Instant::now();
    for at in 0..keys {
        let admission = store.admit(WINDOW / 2, &request(number(at) % keys), at);
        if let Admission::Join(id) = black_box(admission) {
            store.reader_left(WINDOW / 2, id);
        }
    }
    let repeat = start.elapsed().as_secs_f64();
    let start = Instant::now();
    for at in 0..keys {
        run(&mut store, WINDOW + time(at, keys), keys + at); // one comes and one goes
    }
    let turn = start.elapsed().as_secs_f64();
    row(&format!("ledger{}", kept(answer)), keys, fill, repeat, turn, bytes);
}

fn plain(keys: u64, answer: usize) {
    let answer = &ANSWER[..answer];

    let before = resident();
    let mut plain = Plain::default();
    let start = Instant::now();
    for at in 0..keys {
        plain.offer(time(at, keys), print(at), print(at ^ 1 << 40));
        plain.answer(print(at), answer);
    }
    let fill = start.elapsed().as_secs_f64();
    let bytes = resident().saturating_sub(before);
    let start = Instant::now();
    for at in 0..keys {
        let at = number(at) % keys;
        black_box(plain.offer(WINDOW / 2, print(at), print(at ^ 1 << 40)));
    }
    let repeat = start.elapsed().as_secs_f64();
    let start = Instant::now();
    for at in keys..2 * keys {
        plain.offer(WINDOW + time(at - keys, keys), print(at), print(at ^ 1 << 40));
        plain.answer(print(at), answer);
    }
    let turn = start.elapsed().as_secs_f64();
    row(&format!("HashMap + BTreeSet{}", kept(answer)), keys, fill, repeat, turn, bytes);
}
