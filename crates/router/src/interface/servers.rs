//! The list of servers, and their load reports.

use super::{CellId, Micros, ServerId, ZoneId};

/// A server's state as the list tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Ready,
    /// Completes its work; nothing new may be sent.
    Terminating,
    /// Taken away.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its size against others of its role.
    pub weight: f64,
    /// When it last started, on the dispatcher's clock (us); `None` means long ago.
    pub started: Option<Micros>,
    /// Its state.
    pub health: Health,
    /// Its kind, by number.
    pub kind: u32,
}

/// How a list update is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only changed entries.
    Patch,
    /// The whole list; what is not in it has gone.
    Full,
    /// The whole list as this dispatcher last had it.
    StaleCopy,
    /// A call failed; the old list stands.
    Failed,
}

/// The number of fields that a load report may have (`x0` to `x3`).
pub const REPORT_FIELDS: usize = 4;

/// A server's load report, as sent: the value of `xN` at `values[N]`. What each field means differs from
/// site to site; the settings say it (`domain.report_xN`), and the router reads it there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Values by field number; `None` where a field is absent, `-` or no number.
    pub values: [Option<f64>; REPORT_FIELDS],
}

impl Report {
    /// Sets a field by its name on the wire, `x0` to `x3`; other names are not load figures and are left.
    pub fn set(&mut self, name: &str, value: Option<f64>) {
        if let Some(at) = report_field(name) {
            self.values[at] = value;
        }
    }
}

/// The number of a report field named `xN`, where N is under [`REPORT_FIELDS`].
#[must_use]
pub fn report_field(name: &str) -> Option<usize> {
    let at: usize = name.strip_prefix('x')?.parse().ok()?;
    (at < REPORT_FIELDS).then_some(at)
}
