//! Estimates of the work of an attempt, in tokens.

use crate::interface::RequestInfo;
use crate::records::Stage;
use crate::routing_state::RoutingState;

/// Tokens' worth of fixed work in each read. Scales with the servers' time for a step.
pub(crate) const READ_OVERHEAD_TOKENS: f64 = 512.0;
/// And in each fetch of a state.
pub(crate) const WRITE_OVERHEAD_TOKENS: f64 = 2_048.0;

/// What an attempt is likely to take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkEstimate {
    /// Of the server's memory, in tokens.
    pub(crate) memory_tokens: u64,
    /// Of its time until the read or first token, in tokens.
    pub(crate) work_tokens: f64,
}

/// The work of a stage of a request at a server that keeps so many tokens of its prompt.
pub(crate) fn estimate(
    state: &RoutingState,
    info: &RequestInfo,
    stage: Stage,
    cached_tokens: u64,
) -> WorkEstimate {
    let unread_tokens = info.prompt_tokens - cached_tokens;
    let read_tokens = unread_tokens as f64 + READ_OVERHEAD_TOKENS;
    let whole_tokens = info.prompt_tokens + answer_tokens(state, info);
    let (memory_tokens, work_tokens) = match stage {
        Stage::Read => (unread_tokens, read_tokens),
        Stage::Write => (whole_tokens, info.prompt_tokens as f64 + WRITE_OVERHEAD_TOKENS),
        Stage::ReadAndWrite => (whole_tokens, read_tokens),
    };
    WorkEstimate { memory_tokens, work_tokens }
}

/// The likely length of an answer in tokens: as the client hints, else half of what it allows.
fn answer_tokens(state: &RoutingState, info: &RequestInfo) -> u64 {
    let token_objective_us = state.class(info.class).map_or(0, |class| class.token_interval_objective);
    match info.hint {
        Some(hint_us) if token_objective_us > 0 => hint_us / token_objective_us,
        _ => info.max_tokens / 2,
    }
}
