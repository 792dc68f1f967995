//! An open request and its attempts.

use crate::interface::{Micros, RequestInfo, ServerId};
use crate::prefix_table::CachedPrefix;
use crate::records::Stage;

/// One send of a request to a server.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    /// Counted from 0 for each request.
    pub(crate) number: u32,
    pub(crate) server: ServerId,
    pub(crate) stage: Stage,
    pub(crate) sent_at: Micros,
    /// Tokens of the server's memory that it takes.
    pub(crate) memory_tokens: u64,
    /// Estimated work until its read or first token, in tokens.
    pub(crate) work_tokens: f64,
    /// Work that was believed to wait at the server when it was sent (us).
    pub(crate) expected_queueing_us: f64,
    /// The request's class.
    pub(crate) class: u32,
    /// The prefix that was believed to be cached there, for attempts that read.
    pub(crate) expected_prefix: Option<CachedPrefix>,
    /// Its first token has come.
    pub(crate) is_streaming: bool,
    /// The state has to leave its reader's cell for it.
    pub(crate) crosses_cells: bool,
}

/// A state that has been read and waits at its reader for a writer to fetch it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldState {
    pub(crate) reader: ServerId,
    /// Since when it has waited without an attempt in flight.
    pub(crate) since: Micros,
}

/// An attempt that may have taken effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Micros,
}

/// An open request. It is removed once it is completed and nothing is in flight.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) info: RequestInfo,
    /// Attempts that have been sent.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    /// The final answer has been given, or the client has left.
    pub(crate) is_completed: bool,
    pub(crate) held_state: Option<HeldState>,
    /// The earliest attempt that may have taken effect.
    pub(crate) may_have_run: Option<PossibleRun>,
    /// Servers at which it has failed, one for each failure.
    pub(crate) failed_at: Vec<ServerId>,
}

impl RequestState {
    /// One that has just come in.
    pub(crate) fn new(info: RequestInfo) -> Self {
        Self {
            info,
            attempts: 0,
            in_flight: None,
            is_completed: false,
            held_state: None,
            may_have_run: None,
            failed_at: Vec::new(),
        }
    }
}
