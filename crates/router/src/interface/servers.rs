//! Entries of the list of servers, and the load reports that servers send.

use super::{CellId, Micros, ServerId, ZoneId};

/// A server's state according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Accepts new work.
    Ready,
    /// Draining: it completes the work that it has and must not be sent anything new.
    Terminating,
    /// Removed from the list.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server that the entry describes.
    pub server: ServerId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The cell (rack) that it runs in.
    pub cell: CellId,
    /// Its size relative to other servers of its role.
    pub weight: f64,
    /// When it last started, on the dispatcher's clock (us). `None` means too long ago for slow start.
    pub started: Option<Micros>,
    /// Whether it accepts work, drains or is gone.
    pub health: Health,
    /// The number of its kind, an index into [`Settings::kinds`](super::Settings::kinds). A server of an
    /// unknown kind counts as mixed.
    pub kind: u32,
}

/// What the entries of a list update stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// Only the entries that changed.
    Patch,
    /// The whole list; servers that it does not contain are gone.
    Full,
    /// The whole list as this dispatcher last received it, used when no newer one is available.
    StaleCopy,
    /// A call for the list failed; the previous list stays in use.
    Failed,
}

/// Number of fields in a load report, named `x0` to `x3` on the wire.
pub const REPORT_FIELDS: usize = 4;

/// A server's load report: `values[N]` is the value of field `xN`. What a field means depends on the site and
/// is set by `domain.report_xN`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Values by field number; `None` if a field is absent, `-` or not a number.
    pub values: [Option<f64>; REPORT_FIELDS],
}

impl Report {
    /// Sets a field by its name on the wire, `x0` to `x3`. Other names are ignored.
    pub fn set(&mut self, name: &str, value: Option<f64>) {
        if let Some(index) = report_field(name) {
            self.values[index] = value;
        }
    }
}

/// The index of the report field with a name `xN`; `None` for any other name, or if N is not below
/// [`REPORT_FIELDS`].
#[must_use]
pub fn report_field(name: &str) -> Option<usize> {
    let index: usize = name.strip_prefix('x')?.parse().ok()?;
    (index < REPORT_FIELDS).then_some(index)
}
