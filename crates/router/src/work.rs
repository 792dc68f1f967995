//! Estimates of the work of an attempt, in tokens.

use crate::interface::RequestInfo;
use crate::records::Stage;
use crate::routing_state::RoutingState;

/// Fixed work of each read, in tokens. It scales with the duration of a server's step.
pub(crate) const READ_OVERHEAD_TOKENS: f64 = 512.0;
/// Fixed work of each fetch of a state, in tokens.
pub(crate) const WRITE_OVERHEAD_TOKENS: f64 = 2_048.0;

/// The estimated cost of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WorkEstimate {
    /// Memory that the attempt takes at the server, in tokens.
    pub(crate) memory_tokens: u64,
    /// Server time until the read is done or the first token comes, in tokens.
    pub(crate) work_tokens: f64,
    /// All work of the attempt at a server that has nothing in its cache, in tokens.
    pub(crate) server_tokens: f64,
}

/// Estimates the work of one stage of a request at a server that has `cached_tokens` of its prompt in its
/// cache.
pub(crate) fn estimate(
    state: &RoutingState,
    info: &RequestInfo,
    stage: Stage,
    cached_tokens: u64,
) -> WorkEstimate {
    let unread_tokens = info.prompt_tokens - cached_tokens;
    let read_tokens = unread_tokens as f64 + READ_OVERHEAD_TOKENS;
    let answer_tokens = answer_tokens(state, info);
    let total_tokens = info.prompt_tokens + answer_tokens;
    let (memory_tokens, work_tokens, server_tokens) = match stage {
        Stage::Read => (unread_tokens, read_tokens, info.prompt_tokens),
        Stage::Write => (total_tokens, info.prompt_tokens as f64 + WRITE_OVERHEAD_TOKENS, answer_tokens),
        Stage::ReadAndWrite => (total_tokens, read_tokens, total_tokens),
    };
    WorkEstimate { memory_tokens, work_tokens, server_tokens: server_tokens as f64 }
}

/// Expected length of an answer in tokens: by the client's hint, else half of the maximum that it allows.
fn answer_tokens(state: &RoutingState, info: &RequestInfo) -> u64 {
    let token_objective_us = state.class(info.class).map_or(0, |class| class.token_interval_objective);
    match info.hint {
        Some(hint_us) if token_objective_us > 0 => hint_us / token_objective_us,
        _ => info.max_tokens / 2,
    }
}
