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
    /// How long the server has for an answer (us).
    pub(crate) timeout_us: Micros,
    /// The least time without an answer that says something about the server (us).
    pub(crate) telling_wait_us: Micros,
    /// Tokens of the server's memory that the attempt takes.
    pub(crate) memory_tokens: u64,
    /// Estimated work until the read is done or the first token comes, in tokens.
    pub(crate) work_tokens: f64,
    /// Work that was believed to be queued at the server when the attempt was sent (us).
    pub(crate) expected_queueing_us: f64,
    /// Number of the request's class.
    pub(crate) class: u32,
    /// The prefix that the server was believed to have cached; `None` for a write, and if there was none.
    pub(crate) expected_prefix: Option<CachedPrefix>,
    /// The first token has come.
    pub(crate) is_streaming: bool,
    /// The attempt fetches a state from a reader in another cell.
    pub(crate) crosses_cells: bool,
}

/// A state that has been read and is held by its reader until a writer fetches it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldState {
    pub(crate) reader: ServerId,
    /// Start of the current hold time: the end of the read, or of the last attempt that reached a server.
    pub(crate) since: Micros,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Micros,
}

/// An open request. It is removed once it is completed and has no attempt in flight.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub(crate) info: RequestInfo,
    /// Number of attempts sent.
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<Attempt>,
    /// The final answer has been given, or the client has disconnected.
    pub(crate) is_completed: bool,
    pub(crate) held_state: Option<HeldState>,
    /// The earliest attempt that may have run.
    pub(crate) may_have_run: Option<PossibleRun>,
    /// Servers at which attempts have failed, one entry for each failure.
    pub(crate) failed_at: Vec<ServerId>,
}

impl RequestState {
    /// A request that has just arrived.
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
