//! The memory of a dispatcher stays bounded, however many sessions, shared prefixes, servers, classes and gossip
//! updates it has seen.

mod common;

use std::collections::BTreeMap;
use std::sync::Mutex;

use common::SECOND as S;
use dewladder_router::interface::*;
use dewladder_router::{tag, Load, LoadUpdate, Router};
use serde_json::Value;

/// Memory is measured for the whole process, so only one test may run at a time.
static ONE_TEST_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Resident memory of the process (MB).
fn resident_mb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages: f64 = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .expect("the second field is the number of resident pages");
    pages * 4_096.0 / 1e6
}

/// A router and its current time.
struct Dispatcher {
    router: Router,
    now: Micros,
}

impl Dispatcher {
    fn new(entries: Vec<ServerEntry>) -> Self {
        let mut settings = common::settings();
        settings.gossip_allowed = true;
        let mut dispatcher = Self { router: Router::new(settings, 7, 1_000 * S), now: 1_000 * S };
        dispatcher.handle_event(Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        dispatcher
    }

    /// Passes an event to the router and returns its actions.
    fn handle_event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request and serves both of its stages in 1 ms each, unless the router rejects it.
    fn serve_request(&mut self, info: RequestInfo) {
        let id = info.id;
        let mut actions = self.handle_event(Event::RequestArrived(info));
        for attempt in 0..2 {
            let assigned = actions.iter().find_map(|action| match action {
                Action::Assign { server, .. } => Some(*server),
                _ => None,
            });
            let Some(server) = assigned else { return };
            self.now += 1_000;
            let reads = server.0 < 10;
            if !reads {
                self.handle_event(Event::FirstToken { id, attempt, elapsed: 1_000 });
            }
            let outcome = if reads { Outcome::Read } else { Outcome::Served };
            let (elapsed, cached_tokens, completes_request, report) = (1_000, 0, !reads, None);
            actions = self.handle_event(Event::AttemptFinished(AttemptFinished {
                id,
                attempt,
                server,
                elapsed,
                outcome,
                held_state: HeldStateAfter::of_arrived(outcome),
                cached_tokens,
                completes_request,
                report,
            }));
        }
    }

    fn export_state(&self) -> Value {
        serde_json::to_value(self.router.export_state()).expect("the exported state can be serialized")
    }
}

/// With 100,000 sessions and shared prefixes that occur only once each, the memory used for them must stop growing:
/// growing memory counts as a cost.
#[test]
fn memory_stops_growing_with_sessions_and_shared_prefixes_seen_once() {
    let _one_at_a_time = ONE_TEST_AT_A_TIME.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let mut baseline_mb = 0.0;
    for id in 1..=100_000u64 {
        if id == 20_000 {
            baseline_mb = resident_mb();
        }
        let (session, shared) = (Some(Key(id)), Some(Key(1 << 40 | id)));
        dispatcher.serve_request(RequestInfo {
            session,
            shared,
            shared_tokens: 300,
            ..common::request_info(id, dispatcher.now)
        });
        if id.is_multiple_of(20) {
            dispatcher.handle_event(Event::TimerFired(TimerToken(1)));
        }
    }
    let growth_mb = resident_mb() - baseline_mb;
    assert!(growth_mb < 6.0, "memory grew by {growth_mb} MB over 80,000 sessions");
    let exported = dispatcher.export_state();
    let prefix_count: usize = exported["servers"]
        .as_array()
        .expect("servers")
        .iter()
        .map(|server| server["prefixes"].as_array().map_or(0, Vec::len))
        .sum();
    assert!(
        prefix_count <= 20_000
            && exported["beginnings"].as_array().is_some_and(|prefixes| prefixes.len() <= 1_000)
    );
}

/// A prefix is believed to be cached for one minute. With sessions that arrive at a slow, steady rate, expired
/// entries must be removed, rather than stay until the prefix table of each server is full.
#[test]
fn expired_prefix_entries_are_removed() {
    let _one_at_a_time = ONE_TEST_AT_A_TIME.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    for id in 1..=3_000u64 {
        dispatcher.now += 200_000;
        dispatcher.serve_request(RequestInfo {
            session: Some(Key(id)),
            ..common::request_info(id, dispatcher.now)
        });
    }
    let exported = dispatcher.export_state();
    let servers = exported["servers"].as_array().expect("servers");
    let prefix_count: usize =
        servers.iter().map(|server| server["prefixes"].as_array().map_or(0, Vec::len)).sum();
    // 300 are valid: five requests per second for one minute. The rest are entries that expired since the last
    // request to the same server, which is when expired entries are removed.
    assert!(prefix_count < 400, "{prefix_count} entries are kept, of which 300 are valid");
}

/// Servers are replaced by servers with new ids again and again. Each of them gets attempts, fails some, and is the
/// subject of gossip. Servers that are no longer listed must be removed, with everything that was stored about them.
#[test]
fn servers_that_leave_the_list_are_removed_with_all_their_state() {
    let _one_at_a_time = ONE_TEST_AT_A_TIME.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let (mut baseline_mb, mut id) = (0.0, 0);
    for round in 0..3_000u32 {
        if round == 600 {
            baseline_mb = resident_mb();
        }
        // Each round replaces one reader and one writer. The new ones are in a cell of their own.
        let move_to_new_cell =
            |entry: &mut ServerEntry| (entry.cell, entry.zone) = (CellId(round), ZoneId(round % 3));
        let mut entries: Vec<ServerEntry> = common::fleet(false).into_iter().skip(1).collect();
        for kind in 0..2 {
            let mut entry = common::entry(1_000 + 2 * round + kind, kind);
            move_to_new_cell(&mut entry);
            entries.push(entry);
        }
        let added = entries.iter().filter(|entry| entry.server.0 >= 1_000).cloned();
        let removed = (0..2).filter(|_| round > 0).map(|kind| ServerEntry {
            health: Health::Gone,
            ..common::entry(1_000 + 2 * (round - 1) + kind, kind)
        });
        let patch =
            Event::EndpointsUpdated { kind: ListUpdateKind::Patch, entries: removed.chain(added).collect() };
        let full_list = Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries };
        dispatcher.handle_event(if round.is_multiple_of(2) { full_list } else { patch });
        for index in 0..6 {
            id += 1;
            dispatcher.now += 50_000;
            let now = dispatcher.now;
            let actions = dispatcher.handle_event(Event::RequestArrived(RequestInfo {
                class: index % 4,
                ..common::request_info(id, now)
            }));
            let assigned = actions.iter().find_map(|action| match action {
                Action::Assign { server, .. } => Some(*server),
                _ => None,
            });
            let Some(server) = assigned else { continue };
            let load = Load::Queued(900_000);
            let update = LoadUpdate { server: tag(server), load, at: now };
            dispatcher.handle_event(Event::GossipReceived(update.to_bytes().to_vec()));
            let (outcome, id) = (Outcome::ConnectFailed, RequestId(id));
            let (attempt, elapsed, cached_tokens, completes_request, report) = (0, 500, 0, true, None);
            dispatcher.handle_event(Event::AttemptFinished(AttemptFinished {
                id,
                attempt,
                server,
                elapsed,
                outcome,
                held_state: HeldStateAfter::of_arrived(outcome),
                cached_tokens,
                completes_request,
                report,
            }));
        }
    }
    let growth_mb = resident_mb() - baseline_mb;
    assert!(growth_mb < 4.0, "memory grew by {growth_mb} MB over 4,800 servers");
    let server_count = dispatcher.export_state()["servers"].as_array().map_or(0, Vec::len);
    assert!(server_count <= 11, "the router has state for {server_count} servers");
}

/// A server that leaves the list while an attempt is in flight there is removed with the first list after the attempt
/// has ended.
#[test]
fn a_delisted_server_is_removed_after_its_last_attempt_ends() {
    let _one_at_a_time = ONE_TEST_AT_A_TIME.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let now = dispatcher.now;
    let actions = dispatcher.handle_event(Event::RequestArrived(common::request_info(1, now)));
    let Some(Action::Assign { server, .. }) =
        actions.iter().find(|action| matches!(action, Action::Assign { .. }))
    else {
        panic!("the request must be sent to a server");
    };
    let entries: Vec<ServerEntry> =
        common::fleet(false).into_iter().filter(|entry| entry.server != *server).collect();
    let full_list = || Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries: entries.clone() };
    let server_count =
        |dispatcher: &Dispatcher| dispatcher.export_state()["servers"].as_array().map_or(0, Vec::len);
    dispatcher.handle_event(full_list());
    assert_eq!(server_count(&dispatcher), 8, "an attempt is still in flight at the delisted server");
    let (id, server, outcome, completes_request) = (RequestId(1), *server, Outcome::Reset, true);
    dispatcher.handle_event(Event::AttemptFinished(AttemptFinished {
        id,
        attempt: 0,
        server,
        elapsed: 9,
        outcome,
        held_state: HeldStateAfter::of_arrived(outcome),
        cached_tokens: 0,
        completes_request,
        report: None,
    }));
    dispatcher.handle_event(full_list());
    assert_eq!(server_count(&dispatcher), 7);
}

/// Every reload of the settings replaces the classes. What is stored about servers for a class must be removed
/// together with the class.
#[test]
fn memory_does_not_grow_with_the_number_of_classes_replaced() {
    let _one_at_a_time = ONE_TEST_AT_A_TIME.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let mut baseline_mb = 0.0;
    for round in 0..20_000u32 {
        if round == 2_000 {
            baseline_mb = resident_mb();
        }
        let mut settings = common::settings();
        settings.classes = BTreeMap::from([(round, common::class(Effect::Idempotent, DedupGroup::All))]);
        dispatcher.handle_event(Event::SettingsReloaded {
            settings: Box::new(settings),
            class_renumbering: BTreeMap::new(),
        });
        let (id, now) = (u64::from(round) + 1, dispatcher.now);
        let actions = dispatcher.handle_event(Event::RequestArrived(RequestInfo {
            class: round,
            ..common::request_info(id, now)
        }));
        if let Some(Action::Assign { server, .. }) =
            actions.iter().find(|action| matches!(action, Action::Assign { .. }))
        {
            let (id, server, outcome) = (RequestId(id), *server, Outcome::Reset);
            let (attempt, elapsed, cached_tokens, completes_request, report) = (0, 9, 0, true, None);
            dispatcher.handle_event(Event::AttemptFinished(AttemptFinished {
                id,
                attempt,
                server,
                elapsed,
                outcome,
                held_state: HeldStateAfter::of_arrived(outcome),
                cached_tokens,
                completes_request,
                report,
            }));
        }
        dispatcher.now += 10_000;
    }
    let growth_mb = resident_mb() - baseline_mb;
    assert!(growth_mb < 4.0, "memory grew by {growth_mb} MB over 18,000 classes");
}
