//! Metrics: one shared record of request outcomes and other counts, updated where the events happen, and its text
//! format. Nothing here does I/O or depends on time.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::edge::guard::{Guard, Rule};
use crate::edge::transitions::Transitions;

/// How a request ended. Each request has exactly one end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served: the client got the whole stream.
    Completed,
    /// Rejected with status 429 or 503: a retry is safe.
    Rejected,
    /// Answered with any other status, or the stream broke off.
    Failed,
    /// The client disconnected before the end.
    Left,
}

/// Numbers of requests by outcome since the start, of one class or of all classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that have arrived, with those still pending.
    pub taken: u64,
    /// Requests that ended with [`End::Completed`].
    pub completed: u64,
    /// Requests that ended with [`End::Rejected`].
    pub rejected: u64,
    /// Requests that ended with [`End::Failed`].
    pub failed: u64,
    /// Requests that ended with [`End::Left`].
    pub left: u64,
}

impl Counts {
    /// Requests that have arrived and not ended.
    #[must_use]
    pub fn pending(&self) -> u64 {
        self.taken - self.completed - self.rejected - self.failed - self.left
    }

    fn ended(&mut self, end: End) {
        let count = match end {
            End::Completed => &mut self.completed,
            End::Rejected => &mut self.rejected,
            End::Failed => &mut self.failed,
            End::Left => &mut self.left,
        };
        *count += 1;
    }

    fn add(&mut self, other: &Self) {
        self.taken += other.taken;
        self.completed += other.completed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.left += other.left;
    }

    /// The differences from the earlier counts `before`.
    #[must_use]
    pub fn since(&self, before: &Self) -> Self {
        Self {
            taken: self.taken - before.taken,
            completed: self.completed - before.completed,
            rejected: self.rejected - before.rejected,
            failed: self.failed - before.failed,
            left: self.left - before.left,
        }
    }
}

/// All metrics of the process. See the [module](self).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Counts by the name of the class. A class that was removed from the settings stays, as counters must never
    /// decrease.
    classes: BTreeMap<Arc<str>, Counts>,
    /// Attempts whose request was written completely to a server.
    pub sent_whole: u64,
    /// Servers in the list.
    pub members: usize,
    /// Servers in the list that the router avoids now. Updated at intervals.
    pub members_unavailable: usize,
    /// Servers that the list marks as ready for work.
    pub members_ready: usize,
    /// The ready servers of the list can together serve a request.
    pub serves: bool,
    /// Configurations that were applied after SIGHUP.
    pub reloads: u64,
    /// Configurations that were rejected after SIGHUP.
    pub reload_errors: u64,
    /// Requests in the reducer, including those that have ended while an attempt is still in flight.
    pub open: usize,
    /// Releases of held state that are in progress.
    pub releases: usize,
    /// Load gossip messages of other dispatchers that were dropped as invalid.
    pub messages_dropped: u64,
    /// The guard's counts of refused sends and rule violations.
    pub guard: Guard,
    /// Counts of the transitions of attempts and requests, by reason.
    pub transitions: Transitions,
}

impl Record {
    /// Adds a class with counts of zero, if it is not there yet. Requests of other classes are not counted.
    pub fn know(&mut self, class: &str) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.into(), Counts::default());
        }
    }

    /// Counts the arrival of a request, if its class is [known](Self::know).
    pub fn taken(&mut self, class: &str) {
        if let Some(counts) = self.classes.get_mut(class) {
            counts.taken += 1;
        }
    }

    /// Counts the end of a request that was counted by [`taken`](Self::taken).
    pub fn ended(&mut self, class: &str, end: End) {
        if let Some(counts) = self.classes.get_mut(class) {
            counts.ended(end);
        }
    }

    /// The sums over all classes.
    #[must_use]
    pub fn all(&self) -> Counts {
        let mut all = Counts::default();
        self.classes.values().for_each(|counts| all.add(counts));
        all
    }

    /// The counts of one class; `None` if it is not known.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<Counts> {
        self.classes.get(name).copied()
    }

    /// The metrics in the text format of the admin command `STATS`, without the line that ends the answer.
    #[must_use]
    pub fn lines(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "edge_router.{name}:{value}|{kind}"); // writing to a String can't fail
        };
        for (class, counts) in &self.classes {
            let class = escaped(class);
            line(&format!("completed.{class}"), counts.completed, 'c');
            line(&format!("rejected.{class}"), counts.rejected, 'c');
            line(&format!("failed.{class}"), counts.failed, 'c');
        }
        line("upstream_requests", self.sent_whole, 'c');
        line("config_reloads", self.reloads, 'c');
        line("config_reload_errors", self.reload_errors, 'c');
        line("pending", self.all().pending(), 'g');
        line("members", self.members as u64, 'g');
        line("members_unavailable", self.members_unavailable as u64, 'g');
        for (index, rule) in Rule::ALL.into_iter().enumerate() {
            line(&format!("guard_refused.{}", rule.name()), self.guard.refused()[index], 'c');
            line(&format!("guard_broken.{}", rule.name()), self.guard.violations()[index], 'c');
        }
        self.transitions.counts().for_each(|(name, count)| line(&name, count, 'c'));
        text
    }
}

/// Escapes the name of a class for use in the name of a metric. Bytes that would break the line format (dots, colons,
/// bars, whitespace, and all bytes that are not ASCII letters, digits, `_` or `-`) become `%` and two hex digits, so
/// that different names stay different.
fn escaped(name: &str) -> String {
    let mut text = String::new();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || matches!(byte, b'_' | b'-') {
            text.push(char::from(byte));
        } else {
            let _ = write!(text, "%{byte:02x}");
        }
    }
    text
}

/// A shared handle to the [`Record`].
#[derive(Clone, Debug, Default)]
pub struct Figures(Arc<Mutex<Record>>);

impl Figures {
    /// Locks the record. Hold the lock only briefly: the admin server waits for it.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the arrival and the end of a request that a front answered without passing it to the driver. Without a
    /// known class the request is not counted.
    pub fn answered_by_front(&self, class: Option<&str>, end: End) {
        if let Some(class) = class {
            let mut record = self.record();
            record.taken(class);
            record.ended(class, end);
        }
    }

    /// Number of requests in the reducer: [`Record::open`].
    #[must_use]
    pub fn open(&self) -> usize {
        self.record().open
    }

    /// Number of servers that the list marks as ready: [`Record::members_ready`].
    #[must_use]
    pub fn servers(&self) -> usize {
        self.record().members_ready
    }

    /// Whether the ready servers can together serve a request: [`Record::serves`].
    #[must_use]
    pub fn serves(&self) -> bool {
        self.record().serves
    }

    /// Number of load gossip messages dropped as invalid: [`Record::messages_dropped`].
    #[must_use]
    pub fn messages_dropped(&self) -> u64 {
        self.record().messages_dropped
    }

    /// Whether no request is open and no release is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let record = self.record();
        record.open == 0 && record.releases == 0
    }
}
