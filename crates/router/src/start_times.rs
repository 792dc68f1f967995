//! Start times of servers, converted to this process's clock.
//!
//! The list gives them by discovery's clock. This process's clock continues the wall clock of its machine as
//! read at the start of the process, which may be off by an hour. Slow start depends on true durations, so
//! start times are checked against the time at which they were listed:
//!
//! - No server starts in the future, so the newest start time gives a lower bound for how far this clock is
//!   behind.
//! - A server that is first listed after the first list, or under a new start time, has recently started. If
//!   its age is not plausible, it is taken to have started now. At worst it stays in slow start longer than
//!   necessary.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{Health, ListUpdateKind, Micros, ServerEntry, ServerId};

/// Synchronized clocks of machines differ by less than this (us).
const MAX_CLOCK_SKEW_US: Micros = 1_000_000;
/// Longest time from a server's start until it is listed (us). It scales with the lag of the server registry.
/// Known drawback: after a longer outage of discovery, servers that started during the outage begin slow
/// start again.
const MAX_LISTING_DELAY_US: Micros = 10_000_000;
/// Most servers that are gone and whose start times are kept. Without a limit the number would grow all day,
/// as servers come back under new ids.
const MAX_GONE_SERVERS: usize = 1_024;

/// A start time by discovery's clock (`listed`) and by this process's clock (`local`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StartTime {
    listed: Micros,
    local: Micros,
}

/// Start times of the listed servers. See the [module](self).
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    known: BTreeMap<ServerId, StartTime>,
    /// Servers that were listed as gone, the earliest first.
    gone: VecDeque<ServerId>,
    /// How far discovery's clock is ahead of this process's clock (us), as a lower bound.
    discovery_ahead_us: Micros,
    /// Whether discovery has answered. A server that is first listed after that has recently started.
    has_list: bool,
}

impl StartTimes {
    /// Converts the start times of `entries`, which are listed at `now`, to this process's clock. A server
    /// keeps its converted time as long as it is listed under the same start time.
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

    /// Keeps the start time of a server that is gone, so that one that comes back under the same start time
    /// does not count as new.
    fn record_gone(&mut self, server: ServerId) {
        self.gone.push_back(server);
        if self.gone.len() > MAX_GONE_SERVERS {
            if let Some(earliest) = self.gone.pop_front() {
                self.known.remove(&earliest);
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
