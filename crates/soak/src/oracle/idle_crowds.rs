//! Crowds of idle clients: times in which a dispatcher could not keep every connection open, because idle clients held
//! most of the connections that it may have.

use std::collections::BTreeMap;

use super::TOLERANCE;
use crate::event_log::{LogEntry, Micros, Observation};
use crate::plan::DEFAULT_SOCKETS;

/// Idle connections from which on a dispatcher may lack room for others. It needs half of its sockets for servers.
const MIN_CROWD: usize = DEFAULT_SOCKETS / 4;

/// A crowd: from when to when at least [`MIN_CROWD`] idle clients were connected.
struct Crowd {
    from: Micros,
    to: Micros,
}

/// The crowds that clients observed, by dispatcher.
pub(super) struct IdleCrowds(BTreeMap<usize, Vec<Crowd>>);

impl IdleCrowds {
    /// Finds the crowds in a log that is ordered by time.
    pub(super) fn new(entries: &[LogEntry]) -> Self {
        let mut connected: BTreeMap<usize, usize> = BTreeMap::new();
        let mut crowds: BTreeMap<usize, Vec<Crowd>> = BTreeMap::new();
        for entry in entries {
            match entry.observation {
                Observation::IdleClientConnected { dispatcher } => {
                    let count = connected.entry(dispatcher).or_default();
                    *count += 1;
                    if *count == MIN_CROWD {
                        let crowd = Crowd { from: entry.at, to: Micros::MAX };
                        crowds.entry(dispatcher).or_default().push(crowd);
                    }
                }
                Observation::IdleClientEnded { dispatcher } => {
                    let count = connected.entry(dispatcher).or_default();
                    if *count == MIN_CROWD {
                        let crowd = crowds.get_mut(&dispatcher).and_then(|crowds| crowds.last_mut());
                        crowd.into_iter().for_each(|crowd| crowd.to = entry.at);
                    }
                    *count = count.saturating_sub(1);
                }
                _ => {}
            }
        }
        Self(crowds)
    }

    /// Whether a dispatcher had a crowd at any time in a span. It may learn of a crowd's end a little later.
    pub(super) fn any_within(&self, dispatcher: usize, from: Micros, to: Micros) -> bool {
        let mut crowds = self.0.get(&dispatcher).into_iter().flatten();
        crowds.any(|crowd| crowd.from <= to && crowd.to.saturating_add(TOLERANCE) >= from)
    }
}
