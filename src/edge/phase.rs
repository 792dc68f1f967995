//! How far the program has come, from its start to its end.

/// How far the program has come. Later phases are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It does not listen yet.
    Joining,
    /// It serves.
    Serving,
    /// It has been told to end: it serves on, but asks clients to leave with every answer.
    Leaving,
    /// The same, but another process takes new connections: the listener is closed.
    Yielding,
    /// Idle connections are closed and no new ones taken.
    Closing,
}
