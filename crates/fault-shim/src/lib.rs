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
    started_us: u64,
    /// The descriptor of the trace file, or -1.
    trace: i32,
    draws: AtomicU64,
    /// When a hold last began, since the start; 0 for never.
    held_at_ms: AtomicU64,
}

/// The least time between two holds: several in a row would make one that is longer than any that is asked for.
const HOLD_INTERVAL_MS: u64 = 1_000;

fn state() -> &'static State {
    static STATE: OnceLock<State> = OnceLock::new();
    STATE.get_or_init(|| {
        let plan = std::env::var(PLAN).unwrap_or_default();
        let mut rules = Vec::new();
        for text in plan.split(';').filter(|text| !text.is_empty()) {
            rules.push(text.parse().unwrap_or_else(|error| panic!("{PLAN}: '{text}': {error}")));
        }
        let trace = std::env::var(TRACE).map_or(-1, |path| calls::open_trace(&path));
        State {
            rules,
            started_us: calls::monotonic_micros(),
            trace,
            draws: AtomicU64::new(1),
            held_at_ms: AtomicU64::new(0),
        }
    })
}

impl State {
    /// Whether a hold may begin now; it is taken to begin then.
    fn may_hold(&self, now_ms: u64) -> bool {
        let last_ms = self.held_at_ms.load(Ordering::Relaxed);
        if last_ms != 0 && now_ms < last_ms + HOLD_INTERVAL_MS {
            return false;
        }
        let (order, held_at_ms) = (Ordering::Relaxed, now_ms.max(1));
        self.held_at_ms.compare_exchange(last_ms, held_at_ms, order, order).is_ok()
    }
}

/// A number of a fixed sequence (SplitMix64): the same plan makes the same draws in the same order.
fn draw(draws: &AtomicU64) -> u64 {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut value = draws.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
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
    let now_ms = calls::monotonic_micros().saturating_sub(state.started_us) / MICROS_PER_MILLI;
    let rule = state
        .rules
        .iter()
        .find(|rule| rule.call == call && rule.is_in_force(now_ms) && rule.hits(draw(&state.draws)))?;
    if matches!(rule.effect, Effect::Hold(_)) && !state.may_hold(now_ms) {
        return None;
    }
    calls::trace(state.trace, &format!("{now_ms} {call:?} {:?}\n", rule.effect));
    Some(rule.effect)
}

/// By how much the wall clock differs from the machine's now (ms).
fn wall_clock_step() -> i64 {
    let state = state();
    let now_ms = calls::monotonic_micros().saturating_sub(state.started_us) / MICROS_PER_MILLI;
    let steps =
        state.rules.iter().filter(|rule| rule.is_in_force(now_ms)).filter_map(|rule| match rule.effect {
            Effect::Step(milliseconds) if rule.call == Call::WallClock => Some(milliseconds),
            _ => None,
        });
    steps.sum()
}
