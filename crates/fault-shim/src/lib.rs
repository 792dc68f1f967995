//! A library that tests load into a process (`LD_PRELOAD`). It stands in for functions of the C library and, as the
//! environment variable [`PLAN`] says, has them fail with an errno, take only a part of the bytes, or tell a wall clock
//! that has stepped. Without a plan it changes nothing. Never part of the program itself.
//!
//! The plan is a list of rules separated by `;`, see [`rule`].

mod calls;
pub mod rule;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use rule::{Call, Effect, Rule};

/// The environment variable that holds the plan.
pub const PLAN: &str = "FAULT_SHIM_PLAN";
/// The environment variable that names a file; each injected fault is appended to it as a line.
pub const TRACE: &str = "FAULT_SHIM_TRACE";

const MICROS_PER_MILLI: u64 = 1_000;

struct State {
    rules: Vec<Rule>,
    started: u64,
    /// The descriptor of the trace file, or -1.
    trace: i32,
    lots: AtomicU64,
    /// When a hold last began (ms since the start).
    held_at: AtomicU64,
}

/// Holds are this far apart (ms): several in a row would make one that is longer than any that is asked for.
const HOLDS_APART: u64 = 1_000;

fn state() -> &'static State {
    static STATE: OnceLock<State> = OnceLock::new();
    STATE.get_or_init(|| {
        let plan = std::env::var(PLAN).unwrap_or_default();
        let rules = plan
            .split(';')
            .filter(|text| !text.is_empty())
            .map(|text| text.parse().unwrap_or_else(|error| panic!("{PLAN}: '{text}': {error}")));
        let rules = rules.collect();
        let trace = std::env::var(TRACE).map_or(-1, |path| calls::open_trace(&path));
        State {
            rules,
            started: calls::monotonic_micros(),
            trace,
            lots: AtomicU64::new(1),
            held_at: AtomicU64::new(0),
        }
    })
}

impl State {
    /// Whether a hold may begin now; it is taken to begin then.
    fn may_hold(&self, now: u64) -> bool {
        let last = self.held_at.load(Ordering::Relaxed);
        let far = last == 0 || now >= last + HOLDS_APART;
        far && self.held_at.compare_exchange(last, now.max(1), Ordering::Relaxed, Ordering::Relaxed).is_ok()
    }
}

/// A number of a fixed sequence (SplitMix64): the same plan makes the same draws in the same order.
fn draw(lots: &AtomicU64) -> u64 {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut value = lots.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// What the plan has for a call that is made now, if anything.
fn fault(call: Call) -> Option<Effect> {
    let state = state();
    if state.rules.is_empty() {
        return None;
    }
    let now = calls::monotonic_micros().saturating_sub(state.started) / MICROS_PER_MILLI;
    let rule = state
        .rules
        .iter()
        .find(|rule| rule.call == call && rule.holds(now) && rule.hits(draw(&state.lots)))?;
    if matches!(rule.effect, Effect::Hold(_)) && !state.may_hold(now) {
        return None;
    }
    calls::trace(state.trace, &format!("{now} {call:?} {:?}\n", rule.effect));
    Some(rule.effect)
}

/// By how much the wall clock differs from the machine's now (ms).
fn wall_clock_step() -> i64 {
    let state = state();
    let now = calls::monotonic_micros().saturating_sub(state.started) / MICROS_PER_MILLI;
    let steps = state.rules.iter().filter(|rule| rule.holds(now)).filter_map(|rule| match rule.effect {
        Effect::Step(milliseconds) if rule.call == Call::WallClock => Some(milliseconds),
        _ => None,
    });
    steps.sum()
}
