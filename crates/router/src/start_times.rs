//! Start times of servers, put on this process's own clock.
//!
//! The list tells them by discovery's clock. This process's clock is the machine's wall clock as it stood
//! at the start, which may be off by an hour; slow start goes by spans of real time, so what the list tells
//! is held against when it was told:
//!
//! - no server has started in the future: the newest start time shows by how much this clock is behind at
//!   the least;
//! - a server that is first listed after the first list, or under a new start time, has started lately:
//!   one whose age can't be believed is taken to have started just now. That spares it for longer than it
//!   needs at worst.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{Health, ListUpdateKind, Micros, ServerEntry, ServerId};

/// Clocks of machines that are kept in step differ by less (us).
const MAX_CLOCK_SKEW_US: Micros = 1_000_000;
/// A start is listed no later than this (us). Scales with the register's lag. Harm: after a longer outage of
/// discovery, servers that started within it are spared anew.
const MAX_LISTING_DELAY_US: Micros = 10_000_000;
/// Servers that have gone whose start times are kept: they come under new ids all day.
const MAX_GONE_SERVERS: usize = 1_024;

/// A start time by discovery's clock, and on this process's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StartTime {
    listed: Micros,
    local: Micros,
}

/// Start times of the servers that were listed. See the [module](self).
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<ServerId, StartTime>,
    /// Servers that were last listed as gone, the longest ago first.
    gone: VecDeque<ServerId>,
    /// By so much discovery's clock is ahead of this process's (us).
    discovery_ahead_us: Micros,
    /// Discovery has answered: servers that are new from now on have lately started.
    has_list: bool,
}

impl StartTimes {
    /// Puts the start times of entries that are listed now on this process's clock. What is known of a server
    /// stays while it is listed under the same start time.
    pub fn localize(&mut self, now: Micros, kind: ListUpdateKind, entries: &mut [ServerEntry]) {
        let newest = entries.iter().filter_map(|entry| entry.started).max().unwrap_or(0);
        if newest > now + self.discovery_ahead_us + MAX_CLOCK_SKEW_US {
            self.discovery_ahead_us = newest - now;
        }
        if kind == ListUpdateKind::Full {
            self.retain_listed(entries);
        }
        for entry in entries.iter_mut() {
            if entry.health == Health::Gone {
                self.record_gone(entry.server);
            } else if let Some(listed) = entry.started {
                entry.started = Some(self.local_start(entry.server, listed, now));
            }
        }
        self.has_list |= matches!(kind, ListUpdateKind::Full | ListUpdateKind::Patch);
    }

    fn retain_listed(&mut self, entries: &[ServerEntry]) {
        let mut listed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        listed.sort_unstable();
        self.known.retain(|server, _| listed.binary_search(server).is_ok());
    }

    /// A server that comes back under the start time that it had is not taken for a new one.
    fn record_gone(&mut self, server: ServerId) {
        self.gone.push_back(server);
        if self.gone.len() > MAX_GONE_SERVERS {
            if let Some(longest) = self.gone.pop_front() {
                self.known.remove(&longest);
            }
        }
    }

    fn local_start(&mut self, server: ServerId, listed: Micros, now: Micros) -> Micros {
        if let Some(known) = self.known.get(&server).filter(|known| known.listed == listed) {
            return known.local;
        }
        let aligned = listed.saturating_sub(self.discovery_ahead_us).min(now);
        let is_implausible = self.has_list && now - aligned > MAX_LISTING_DELAY_US;
        let local = if is_implausible { now } else { aligned };
        self.known.insert(server, StartTime { listed, local });
        local
    }
}
