//! Start times of servers come from the clock that discovery goes by; this process's own may be off by an hour.

use dewladder::edge::core::{Core, Effect as Asks, Input};
use dewladder::interface::*;
use dewladder_router::settings::from_key_values;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The true time, in all tests.
const NOW: Micros = 100 * HOUR;
/// Calls come so often, for so long.
const EVERY: Micros = 20_000;
const FOR: Micros = 10 * SECOND;

fn settings() -> Settings {
    let pairs = [
        ("lanes.count", "1"),
        ("lanes.0.give_up_s", "4"),
        ("lanes.0.aim_s", "1"),
        ("limits.max_attempts", "5"),
        ("limits.max_retry_after_s", "1"),
        ("limits.cancel", "true"),
        ("kinds", "prefill,decode"),
        ("domain.role_by_kind", "read,write"),
        ("domain.kind_memory_tokens", "100000,100000"),
        ("domain.release_within_s", "0.5"),
        ("rules.cold_from", "0.26"),
        ("rules.cold_s", "14"),
        ("rules.fall_multiple", "2.5"),
        ("rules.fall_s", "1.5"),
        ("resolution_s", "0.002"),
    ];
    from_key_values(pairs.into_iter().collect()).unwrap()
}

fn entry(server: u32, started: Option<Micros>) -> ServerEntry {
    let (zone, cell) = (ZoneId(0), CellId(0));
    let kind = u32::from(server >= 10);
    ServerEntry { server: ServerId(server), zone, cell, weight: 1.0, started, health: Health::Ready, kind }
}

/// Two readers and two writers that have run for long.
fn old_servers() -> Vec<ServerEntry> {
    [1, 2, 10, 11].map(|server| entry(server, None)).into()
}

/// Plays calls from `from` on the process's own clock, each served at once; attempts at each server, and refusals.
fn serves(core: &mut Core, from: Micros, length: Micros) -> (Vec<ServerId>, usize) {
    let (mut sent, mut refused, mut now) = (Vec::new(), 0, from);
    // Alike whatever the clock says: where a call goes depends on its conversation.
    let mut number = length;
    while now < from + length {
        now += EVERY;
        number += 1;
        let call = RequestInfo {
            id: RequestId(number),
            class: 0,
            session: Some(Key(number)),
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 1_000,
            max_tokens: 100,
            hint: None,
            not_after: now + 4 * SECOND,
        };
        let mut effects = core.step(now, Input::RequestArrived(call));
        effects.extend(core.step(now, Input::Tick));
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Asks::Send { id, attempt, server, reads, .. } => {
                        sent.push(server);
                        let outcome = if reads { Outcome::Read } else { Outcome::Served };
                        if !reads {
                            next.extend(core.step(now, Input::StreamStarted { id, attempt }));
                        }
                        next.extend(core.step(
                            now + 1_000,
                            Input::AttemptFinished { id, attempt, result: outcome.into() },
                        ));
                    }
                    Asks::Reject { .. } => refused += 1,
                    _ => {}
                }
            }
            effects = next;
        }
    }
    (sent, refused)
}

/// Attempts at a reader that has just started as the others drain, told by a watch that was open, with the own clock off
/// by `off`.
fn sent_to_a_cold_reader(off: i64) -> usize {
    let now = NOW.checked_add_signed(off).unwrap();
    let mut core = Core::new(settings(), 1, now, 500);
    core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries: old_servers() });
    serves(&mut core, now, FOR);
    let told = now + FOR + SECOND;
    let started = NOW + FOR; // by discovery's clock, a second before
    let drains = |server| ServerEntry { health: Health::Terminating, ..entry(server, None) };
    let entries = vec![entry(3, Some(started)), drains(1), drains(2)];
    core.step(told, Input::EndpointsUpdated { kind: ListUpdateKind::Patch, entries });
    let (sent, _) = serves(&mut core, told, 2 * SECOND);
    sent.into_iter().filter(|server| *server == ServerId(3)).count()
}

#[test]
fn a_cold_server_is_spared_though_the_own_clock_is_ahead() {
    let right = sent_to_a_cold_reader(0);
    let (ahead, behind) = (sent_to_a_cold_reader(HOUR as i64), sent_to_a_cold_reader(-(HOUR as i64)));
    assert!(right * 2 < 100, "{right} of 100 go to a cold server");
    assert!(ahead <= right, "{ahead} attempts with the clock an hour ahead, {right} with the right one");
    assert!(behind <= right, "{behind} attempts with the clock an hour behind, {right} with the right one");
}

/// A process starts with its clock an hour behind: servers that started within that hour are no colder for it.
#[test]
fn warm_servers_serve_though_the_own_clock_is_behind() {
    let serves_with = |off: Micros| {
        let now = NOW - off;
        let mut core = Core::new(settings(), 1, now, 500);
        let minutes_ago = |server| entry(server, Some(NOW - 1_800 * SECOND));
        let mut entries = [1, 2, 10, 11].map(minutes_ago).to_vec();
        entries.push(entry(3, Some(NOW - SECOND)));
        core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        let (sent, refused) = serves(&mut core, now, FOR);
        (sent.iter().filter(|server| server.0 == 10 || server.0 == 11).count(), refused)
    };
    let (right, behind) = (serves_with(0), serves_with(HOUR));
    assert!(
        behind.0 * 10 >= right.0 * 9,
        "{behind:?} served and refused with the clock behind, {right:?} with the right one"
    );
    assert_eq!(right.1, 0);
}

/// Nor later: what is warm by then stays so, whatever the clock said at the start.
#[test]
fn a_cold_server_becomes_warm_in_its_time_though_the_own_clock_is_behind() {
    let now = NOW - HOUR;
    let mut core = Core::new(settings(), 1, now, 500);
    core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries: old_servers() });
    serves(&mut core, now, FOR);
    let told = now + FOR + SECOND;
    let entries = [entry(3, Some(NOW + FOR)), entry(1, None)];
    let gone = ServerEntry { health: Health::Gone, ..entry(1, None) };
    core.step(
        told,
        Input::EndpointsUpdated { kind: ListUpdateKind::Patch, entries: vec![entries[0].clone(), gone] },
    );
    let (sent, _) = serves(&mut core, told + 15 * SECOND, 5 * SECOND);
    let (third, second) = (3, 2);
    let count = |server: u32| sent.iter().filter(|one| one.0 == server).count();
    assert!(
        count(third) * 3 > count(second),
        "{} to the warmed one, {} to the other",
        count(third),
        count(second)
    );
}
