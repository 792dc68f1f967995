//! A library that tests load into a process with `LD_PRELOAD`. It replaces functions of the C library and injects
//! faults into them: they fail with an errno, transfer only a part of the bytes, return late, or report a wall
//! clock that has stepped. Without a plan it changes nothing. The dispatcher does not link it.
//!
//! The environment variable [`PLAN`] holds the plan, a list of rules separated by `;`, see [`rule`].

mod calls;
pub mod rule;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

use rule::{Call, Effect, Rule};

/// The environment variable that holds the plan.
pub const PLAN: &str = "FAULT_SHIM_PLAN";
/// The environment variable with the path of the trace file, to which each injected fault is appended as a line:
/// the time since the process started (ms), the call and the effect.
pub const TRACE: &str = "FAULT_SHIM_TRACE";

const MICROS_PER_MILLI: u64 = 1_000;

/// The plan of this process and the progress of its execution.
struct State {
    rules: Vec<Rule>,
    /// Time of the first replaced call, on the monotonic clock.
    started_us: u64,
    /// The descriptor of the trace file, or -1.
    trace: i32,
    /// State of the random number generator.
    generator: AtomicU64,
    /// When the last hold began, since `started_us`; 0 if there was none.
    hold_start_ms: AtomicU64,
}

/// The minimum time between the starts of two holds. Several holds in a row would add up to a longer one than any
/// rule asks for.
const MIN_HOLD_INTERVAL_MS: u64 = 1_000;

/// The state, created at the first replaced call. Panics if the plan is invalid.
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
            generator: AtomicU64::new(1),
            hold_start_ms: AtomicU64::new(0),
        }
    })
}

impl State {
    /// Whether a hold may begin now. If so, it is recorded as begun.
    fn try_begin_hold(&self, now_ms: u64) -> bool {
        let last_ms = self.hold_start_ms.load(Ordering::Relaxed);
        if last_ms != 0 && now_ms < last_ms + MIN_HOLD_INTERVAL_MS {
            return false;
        }
        let (order, hold_start_ms) = (Ordering::Relaxed, now_ms.max(1));
        self.hold_start_ms.compare_exchange(last_ms, hold_start_ms, order, order).is_ok()
    }
}

/// The next number of a fixed pseudorandom sequence (SplitMix64), so that each process with the same plan draws the
/// same numbers in the same order.
fn draw(generator: &AtomicU64) -> u64 {
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut value = generator.fetch_add(INCREMENT, Ordering::Relaxed).wrapping_add(INCREMENT);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The effect that the plan has on a call made now, from the first matching rule; `None` if no rule matches. Each
/// effect is traced.
fn fault(call: Call) -> Option<Effect> {
    let state = state();
    if state.rules.is_empty() {
        return None;
    }
    let now_ms = calls::monotonic_micros().saturating_sub(state.started_us) / MICROS_PER_MILLI;
    let rule = state
        .rules
        .iter()
        .find(|rule| rule.call == call && rule.is_in_force(now_ms) && rule.hits(draw(&state.generator)))?;
    if matches!(rule.effect, Effect::Hold(_)) && !state.try_begin_hold(now_ms) {
        return None;
    }
    calls::trace(state.trace, &format!("{now_ms} {call:?} {:?}\n", rule.effect));
    Some(rule.effect)
}

/// The current offset of the wall clock from the system's (ms): the sum of all steps in force.
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
