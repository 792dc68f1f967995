//! Checks the bookings of the chat front: none runs more often than clients book, and no client is given the answer to another
//! client's booking.

use std::collections::{BTreeMap, BTreeSet};

use super::{Rule, Violation};
use crate::event_log::{LogEntry, Micros, Observation};

/// The bookings with the same words.
#[derive(Default)]
struct Bookings {
    /// The clients that sent one.
    clients: BTreeSet<u64>,
    /// How many a writer began to run.
    runs: usize,
}

/// All violations by bookings.
pub(super) fn check(entries: &[LogEntry]) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut by_words: BTreeMap<&str, Bookings> = BTreeMap::new();
    let mut client_of_run: BTreeMap<u64, u64> = BTreeMap::new();
    let mut started_runs: BTreeSet<u64> = BTreeSet::new();
    for entry in entries {
        match &entry.observation {
            Observation::BookingSent { client, words } => {
                by_words.entry(words).or_default().clients.insert(*client);
            }
            Observation::BookingRan { words } => {
                let bookings = by_words.entry(words).or_default();
                bookings.runs += 1;
                let is_first_of_id = started_runs.insert(entry.id);
                if !is_first_of_id || bookings.runs > bookings.clients.len() {
                    let what =
                        format!("{} runs of '{words}' of {} clients", bookings.runs, bookings.clients.len());
                    violations.push(violation(Rule::RunTwice, entry.at, entry.id, what));
                }
            }
            Observation::BookingAnswered { client, run } => {
                let owner = *client_of_run.entry(*run).or_insert(*client);
                if owner != *client {
                    let what =
                        format!("client {client} was given the answer to the booking of client {owner}");
                    violations.push(violation(Rule::ForeignAnswer, entry.at, *run, what));
                }
            }
            _ => {}
        }
    }
    violations
}

fn violation(rule: Rule, at: Micros, id: u64, what: String) -> Violation {
    Violation { rule, at, id, what }
}
