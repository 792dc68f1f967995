//! Start times of servers on this process's own clock.
//!
//! The list tells them by discovery's clock. This process's clock is the machine's wall clock as it stood
//! at the start, which may be off by an hour; slow start goes by spans of real time, so what the list tells
//! is held against when it was told:
//!
//! - no server has started in the future: the newest start time shows by how much this clock is behind at
//!   the least;
//! - a server that is first heard of after the first list, or under a new start time, has started lately:
//!   one whose age can't be believed is taken to have started just now. That spares it for longer than it
//!   needs at worst.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{Health, ListUpdateKind, Micros, ServerEntry, ServerId};

/// Clocks of machines that are kept in step differ by less (us).
const SKEW: Micros = 1_000_000;
/// A start is told no later than this (us). Scales with the register's lag. Harm: after a longer outage of
/// discovery, servers that started within it are spared anew.
const TOLD_WITHIN: Micros = 10_000_000;
/// Servers that have gone whose start times are kept: they come under new ids all day.
const MOST_GONE: usize = 1_024;

/// A start time as it was told, and on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    told: Micros,
    own: Micros,
}

/// Start times of the servers that were told of. See the [module](self).
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<ServerId, Start>,
    /// Those that were told to have gone, the last ones.
    gone: VecDeque<ServerId>,
    /// By so much discovery's clock is ahead of this process's.
    ahead: Micros,
    /// Discovery has answered.
    listed: bool,
}

impl StartTimes {
    /// Puts the start times of entries that are told now on this process's clock. What is known of a server
    /// stays while it is told of under the same start time.
    pub fn localize(&mut self, now: Micros, how: ListUpdateKind, entries: &mut [ServerEntry]) {
        let newest = entries.iter().filter_map(|entry| entry.started).max().unwrap_or(0);
        if newest > now + self.ahead + SKEW {
            self.ahead = newest - now;
        }
        if how == ListUpdateKind::Full {
            let listed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
            self.keep_only(listed);
        }
        for entry in entries.iter_mut() {
            if entry.health == Health::Gone {
                self.has_gone(entry.server);
            } else {
                entry.started = entry.started.map(|told| self.start_of(entry.server, told, now).own);
            }
        }
        self.listed |= matches!(how, ListUpdateKind::Full | ListUpdateKind::Patch);
    }

    fn keep_only(&mut self, mut listed: Vec<ServerId>) {
        listed.sort_unstable();
        self.known.retain(|server, _| listed.binary_search(server).is_ok());
    }

    /// A server that comes back under the start time that it had is not taken for a new one.
    fn has_gone(&mut self, server: ServerId) {
        self.gone.push_back(server);
        if self.gone.len() > MOST_GONE {
            self.gone.pop_front().and_then(|longest| self.known.remove(&longest));
        }
    }

    fn start_of(&mut self, server: ServerId, told: Micros, now: Micros) -> Start {
        if let Some(known) = self.known.get(&server).filter(|known| known.told == told) {
            return *known;
        }
        let aligned = told.saturating_sub(self.ahead).min(now);
        let is_late = self.listed && now - aligned > TOLD_WITHIN;
        let start = Start { told, own: if is_late { now } else { aligned } };
        self.known.insert(server, start);
        start
    }
}
