//! What a dispatcher remembers stays within bounds, however many sessions, beginnings, servers and messages come by.

mod common;

use std::collections::BTreeMap;
use std::sync::Mutex;

use common::SECOND as S;
use dewladder_router::interface::*;
use dewladder_router::{tag, Load, LoadUpdate, Router};
use serde_json::Value;

/// Memory is that of the whole process: one test at a time.
static ALONE: Mutex<()> = Mutex::new(());

/// Memory that the process holds (MB).
fn held() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("its own figures");
    let pages: f64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).expect("resident pages");
    pages * 4_096.0 / 1e6
}

struct Dispatcher {
    router: Router,
    now: Micros,
}

impl Dispatcher {
    fn new(entries: Vec<ServerEntry>) -> Self {
        let mut settings = common::settings();
        settings.peers = true;
        let mut dispatcher = Self { router: Router::new(settings, 7, 1_000 * S), now: 1_000 * S };
        dispatcher.tell(Event::EndpointsUpdated { how: ListUpdateKind::Full, entries });
        dispatcher
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    /// A request is read, written and served at once.
    fn serves(&mut self, info: RequestInfo) {
        let id = info.id;
        let mut out = self.tell(Event::RequestArrived(info));
        for attempt in 0..2 {
            let sent = out.iter().find_map(|action| match action {
                Action::Assign { server, .. } => Some(*server),
                _ => None,
            });
            let Some(server) = sent else { return };
            self.now += 1_000;
            let reads = server.0 < 10;
            if !reads {
                self.tell(Event::FirstToken { id, attempt, taken: 1_000 });
            }
            let outcome = if reads { Outcome::Read } else { Outcome::Served };
            let (taken, cached_tokens, last, report) = (1_000, 0, !reads, None);
            out = self.tell(Event::AttemptFinished(AttemptFinished {
                id,
                attempt,
                server,
                taken,
                outcome,
                held_state: HeldStateAfter::of_arrived(outcome),
                cached_tokens,
                last,
                report,
            }));
        }
    }

    fn export_state(&self) -> Value {
        serde_json::to_value(self.router.export_state()).expect("as text")
    }
}

/// Sessions and beginnings of which each comes once go by in their hundred thousands: what is kept of them stops
/// growing (memory that grows is priced).
#[test]
fn sessions_and_beginnings_that_never_come_again_do_not_add_up() {
    let _alone = ALONE.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let mut before = 0.0;
    for id in 1..=100_000u64 {
        if id == 20_000 {
            before = held();
        }
        let (session, shared) = (Some(Key(id)), Some(Key(1 << 40 | id)));
        dispatcher.serves(RequestInfo {
            session,
            shared,
            shared_tokens: 300,
            ..common::request_info(id, dispatcher.now)
        });
        if id.is_multiple_of(20) {
            dispatcher.tell(Event::TimerFired(TimerToken(1)));
        }
    }
    let grown = held() - before;
    assert!(grown < 6.0, "{grown} MB for 80,000 sessions");
    let learnt = dispatcher.export_state();
    let kept: usize = learnt["servers"]
        .as_array()
        .expect("servers")
        .iter()
        .map(|one| one["prefixes"].as_array().map_or(0, Vec::len))
        .sum();
    assert!(kept <= 20_000 && learnt["beginnings"].as_array().is_some_and(|all| all.len() <= 1_000));
}

/// A belief is of no use after a minute: sessions that come at a slow, steady rate must not go on filling the tables
/// until each server's is full.
#[test]
fn beliefs_that_have_run_out_are_let_go() {
    let _alone = ALONE.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    for id in 1..=3_000u64 {
        dispatcher.now += 200_000;
        dispatcher.serves(RequestInfo { session: Some(Key(id)), ..common::request_info(id, dispatcher.now) });
    }
    let learnt = dispatcher.export_state();
    let servers = learnt["servers"].as_array().expect("servers");
    let kept: usize = servers.iter().map(|one| one["prefixes"].as_array().map_or(0, Vec::len)).sum();
    // Five a second for a minute, and what each server has got since its last.
    assert!(kept < 400, "{kept} beliefs are kept, of which 300 still count");
}

/// Servers come under new ids all day, each with work, with failures and with word from other dispatchers: those that
/// the list names no more are forgotten, with all that was known of them.
#[test]
fn servers_that_come_and_go_are_forgotten_with_all_that_was_known_of_them() {
    let _alone = ALONE.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let (mut before, mut id) = (0.0, 0);
    for day in 0..3_000u32 {
        if day == 600 {
            before = held();
        }
        // One of the readers and one of the writers are others than before, in cells of their own.
        let fresh = |entry: &mut ServerEntry| (entry.cell, entry.zone) = (CellId(day), ZoneId(day % 3));
        let mut entries: Vec<ServerEntry> = common::fleet(false).into_iter().skip(1).collect();
        for kind in 0..2 {
            let mut entry = common::entry(1_000 + 2 * day + kind, kind);
            fresh(&mut entry);
            entries.push(entry);
        }
        let changes = entries.iter().filter(|entry| entry.server.0 >= 1_000).cloned();
        let gone = (0..2).filter(|_| day > 0).map(|kind| ServerEntry {
            health: Health::Gone,
            ..common::entry(1_000 + 2 * (day - 1) + kind, kind)
        });
        let patch =
            Event::EndpointsUpdated { how: ListUpdateKind::Patch, entries: gone.chain(changes).collect() };
        let whole = Event::EndpointsUpdated { how: ListUpdateKind::Full, entries };
        dispatcher.tell(if day.is_multiple_of(2) { whole } else { patch });
        for fails in 0..6 {
            id += 1;
            dispatcher.now += 50_000;
            let now = dispatcher.now;
            let out = dispatcher.tell(Event::RequestArrived(RequestInfo {
                class: fails % 4,
                ..common::request_info(id, now)
            }));
            let sent = out.iter().find_map(|action| match action {
                Action::Assign { server, .. } => Some(*server),
                _ => None,
            });
            let Some(server) = sent else { continue };
            let load = Load::Waits(900_000);
            let update = LoadUpdate { server: tag(server), load, at: now };
            dispatcher.tell(Event::GossipReceived(update.to_bytes().to_vec()));
            let (outcome, id) = (Outcome::ConnectFailed, RequestId(id));
            let (attempt, taken, cached_tokens, last, report) = (0, 500, 0, true, None);
            dispatcher.tell(Event::AttemptFinished(AttemptFinished {
                id,
                attempt,
                server,
                taken,
                outcome,
                held_state: HeldStateAfter::of_arrived(outcome),
                cached_tokens,
                last,
                report,
            }));
        }
    }
    let grown = held() - before;
    assert!(grown < 4.0, "{grown} MB for 4,800 servers");
    let known = dispatcher.export_state()["servers"].as_array().map_or(0, Vec::len);
    assert!(known <= 11, "{known} servers are known");
}

/// A server that the list names no more while work is out there is forgotten once that has ended and the list comes
/// again.
#[test]
fn a_server_that_goes_with_work_out_is_forgotten_after_it() {
    let _alone = ALONE.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let now = dispatcher.now;
    let out = dispatcher.tell(Event::RequestArrived(common::request_info(1, now)));
    let Some(Action::Assign { server, .. }) =
        out.iter().find(|action| matches!(action, Action::Assign { .. }))
    else {
        panic!("sent");
    };
    let entries: Vec<ServerEntry> =
        common::fleet(false).into_iter().filter(|entry| entry.server != *server).collect();
    let list = || Event::EndpointsUpdated { how: ListUpdateKind::Full, entries: entries.clone() };
    let known = |dispatcher: &Dispatcher| dispatcher.export_state()["servers"].as_array().map_or(0, Vec::len);
    dispatcher.tell(list());
    assert_eq!(known(&dispatcher), 8, "its work is out");
    let (id, server, outcome, last) = (RequestId(1), *server, Outcome::Reset, true);
    dispatcher.tell(Event::AttemptFinished(AttemptFinished {
        id,
        attempt: 0,
        server,
        taken: 9,
        outcome,
        held_state: HeldStateAfter::of_arrived(outcome),
        cached_tokens: 0,
        last,
        report: None,
    }));
    dispatcher.tell(list());
    assert_eq!(known(&dispatcher), 7);
}

/// Classes change with every new configuration: what is known of servers for those that are gone goes with them.
#[test]
fn classes_that_are_renamed_over_and_over_do_not_add_up() {
    let _alone = ALONE.lock();
    let mut dispatcher = Dispatcher::new(common::fleet(false));
    let mut before = 0.0;
    for round in 0..20_000u32 {
        if round == 2_000 {
            before = held();
        }
        let mut settings = common::settings();
        settings.classes = BTreeMap::from([(round, common::class(Effect::Idempotent, DedupGroup::All))]);
        dispatcher.tell(Event::SettingsReloaded {
            settings: Box::new(settings),
            class_renumbering: BTreeMap::new(),
        });
        let (id, now) = (u64::from(round) + 1, dispatcher.now);
        let out = dispatcher
            .tell(Event::RequestArrived(RequestInfo { class: round, ..common::request_info(id, now) }));
        if let Some(Action::Assign { server, .. }) =
            out.iter().find(|action| matches!(action, Action::Assign { .. }))
        {
            let (id, server, outcome) = (RequestId(id), *server, Outcome::Reset);
            let (attempt, taken, cached_tokens, last, report) = (0, 9, 0, true, None);
            dispatcher.tell(Event::AttemptFinished(AttemptFinished {
                id,
                attempt,
                server,
                taken,
                outcome,
                held_state: HeldStateAfter::of_arrived(outcome),
                cached_tokens,
                last,
                report,
            }));
        }
        dispatcher.now += 10_000;
    }
    let grown = held() - before;
    assert!(grown < 4.0, "{grown} MB for 18,000 classes");
}
