//! The phases of the process, from start to shutdown.

/// A phase of the process. Later phases compare greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not listening yet: another process of this dispatcher is serving, and this one waits for a share of its limits.
    Joining,
    /// Serving requests.
    Serving,
    /// Told to shut down: still serving, but every response asks the client to close its connection.
    Leaving,
    /// Like [`Phase::Leaving`], but another process of this dispatcher accepts new connections: the listener is closed.
    Yielding,
    /// Idle connections are closed and no new ones are accepted.
    Closing,
    /// The process may soon be killed: requests that are still being received are refused.
    Ending,
}
