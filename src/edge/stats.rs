//! The figures: one record of what became of requests, written where it happens, and views of it. Nothing here
//! does I/O; times do not matter.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::edge::guard::{Guard, Rule};
use crate::edge::transitions::Transitions;

/// How a request ended. Each ends once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served: its stream was passed on to its end.
    Completed,
    /// Refused with 429 or 503: trying again is harmless.
    Rejected,
    /// Answered with anything else, or its stream was cut.
    Failed,
    /// Its client went away before the end.
    Left,
}

/// What became of the requests of one class since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that were taken.
    pub taken: u64,
    /// Of these, served.
    pub completed: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients.
    pub left: u64,
}

impl Counts {
    /// Taken and not ended.
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

    /// What has been added since `before`.
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

/// The record. See the [module](self).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// By class. A class that is dropped stays: counters never go back.
    classes: BTreeMap<Arc<str>, Counts>,
    /// Attempts written whole to servers.
    pub sent_whole: u64,
    /// Servers in the list.
    pub members: usize,
    /// Servers of the list that are avoided now.
    pub members_unavailable: usize,
    /// Servers of the list that take work, as it says.
    pub members_ready: usize,
    /// They can serve a request together.
    pub serves: bool,
    /// Configurations taken over at SIGHUP.
    pub reloads: u64,
    /// Configurations turned down at SIGHUP.
    pub reload_errors: u64,
    /// Requests that the reducer has, with those that are over while an attempt is still out.
    pub open: usize,
    /// Releases under way.
    pub releases: usize,
    /// Messages of other dispatchers that were dropped.
    pub messages_dropped: u64,
    /// The refused sends and the violations that the guard has counted.
    pub guard: Guard,
    /// What became of attempts and requests, by reason.
    pub transitions: Transitions,
}

impl Record {
    /// Has a class counted from now on; it is there with zeros at once.
    pub fn know(&mut self, class: &str) {
        if !self.classes.contains_key(class) {
            self.classes.insert(class.into(), Counts::default());
        }
    }

    /// A request of a class that is known has been taken; one that is not known is not counted.
    pub fn taken(&mut self, class: &str) {
        if let Some(counts) = self.classes.get_mut(class) {
            counts.taken += 1;
        }
    }

    /// A request that had been taken has ended.
    pub fn ended(&mut self, class: &str, end: End) {
        if let Some(counts) = self.classes.get_mut(class) {
            counts.ended(end);
        }
    }

    /// All classes together.
    #[must_use]
    pub fn all(&self) -> Counts {
        let mut all = Counts::default();
        self.classes.values().for_each(|counts| all.add(counts));
        all
    }

    /// One class.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<Counts> {
        self.classes.get(name).copied()
    }

    /// The figures as the second address shows them, without the last line.
    #[must_use]
    pub fn lines(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64, kind: char| {
            let _ = writeln!(text, "edge_router.{name}:{value}|{kind}"); // a String takes all
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
        for (at, rule) in Rule::ALL.into_iter().enumerate() {
            line(&format!("guard_refused.{}", rule.name()), self.guard.refused()[at], 'c');
            line(&format!("guard_broken.{}", rule.name()), self.guard.violations()[at], 'c');
        }
        self.transitions.counts().for_each(|(name, count)| line(&name, count, 'c'));
        text
    }
}

/// A class's name as part of a figure's: whatever would break the form (a dot, a colon, a bar, spaces, ends of
/// lines, what is no ASCII) is written as `%` and two hex digits, so that no two names look alike.
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

/// The record, as all who write or show it share it.
#[derive(Clone, Debug, Default)]
pub struct Figures(Arc<Mutex<Record>>);

impl Figures {
    /// The record, to be held for a few additions only: the second address waits for it.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A front has answered a request by itself. Without a class that is known it is not counted.
    pub fn answered_by_front(&self, class: Option<&str>, end: End) {
        if let Some(class) = class {
            let mut record = self.record();
            record.taken(class);
            record.ended(class, end);
        }
    }

    /// Requests that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.record().open
    }

    /// Servers that take work, by the list.
    #[must_use]
    pub fn servers(&self) -> usize {
        self.record().members_ready
    }

    /// Whether they can serve a request together.
    #[must_use]
    pub fn serves(&self) -> bool {
        self.record().serves
    }

    /// Messages of other dispatchers that were no claim that can be used.
    #[must_use]
    pub fn messages_dropped(&self) -> u64 {
        self.record().messages_dropped
    }

    /// Whether neither a request is open nor a release under way.
    #[must_use]
    pub fn nothing_held(&self) -> bool {
        let record = self.record();
        record.open == 0 && record.releases == 0
    }
}
