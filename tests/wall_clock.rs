//! Slow start with a wrong local clock. Start times of servers are given by the clock of discovery; the dispatcher's
//! own wall clock may differ from it by an hour, in either direction.

use dewladder::edge::core::{Core, Effect as CoreEffect, IdClaim, Input};
use dewladder::interface::*;
use dewladder_router::settings::from_key_values;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The correct time at the start of each test.
const NOW: Micros = 100 * HOUR;
const REQUEST_INTERVAL: Micros = 20_000;
/// How long requests are sent, if a test doesn't say otherwise.
const REQUESTS_DURATION: Micros = 10 * SECOND;

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

/// Returns a list entry of a server; servers from 10 on are writers, the others are readers.
fn entry(server: u32, started: Option<Micros>) -> ServerEntry {
    let (zone, cell) = (ZoneId(0), CellId(0));
    let kind = u32::from(server >= 10);
    ServerEntry { server: ServerId(server), zone, cell, weight: 1.0, started, health: Health::Ready, kind }
}

/// Two readers and two writers without a start time, which count as warm.
fn old_servers() -> Vec<ServerEntry> {
    [1, 2, 10, 11].map(|server| entry(server, None)).into()
}

/// Sends requests from `from` on, in the local clock's time; each attempt succeeds after 1 ms. Returns the servers of
/// all attempts, in order, and the number of rejected requests.
fn send_requests(core: &mut Core, from: Micros, length: Micros) -> (Vec<ServerId>, usize) {
    let (mut sent, mut refused, mut now) = (Vec::new(), 0, from);
    // Session keys don't depend on the clock: the choice of a server depends on the session, so runs with different
    // clocks are comparable.
    let mut number = length;
    while now < from + length {
        now += REQUEST_INTERVAL;
        number += 1;
        let request = RequestInfo {
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
        let mut effects = core.step(
            now,
            Input::RequestArrived { info: request, received_at: now, id_claim: IdClaim::Exclusive },
        );
        effects.extend(core.step(now, Input::Tick));
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    CoreEffect::Send { id, attempt, server, reads, .. } => {
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
                    CoreEffect::Reject { .. } => refused += 1,
                    _ => {}
                }
            }
            effects = next;
        }
    }
    (sent, refused)
}

/// Returns the number of attempts at a reader that has just started while the other readers drain, as a patch of the
/// open watch says, with the local clock wrong by `clock_offset`.
fn sent_to_a_cold_reader(clock_offset: i64) -> usize {
    let now = NOW.checked_add_signed(clock_offset).unwrap();
    let mut core = Core::new(settings(), 1, now, 500);
    core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries: old_servers() });
    send_requests(&mut core, now, REQUESTS_DURATION);
    let updated_at = now + REQUESTS_DURATION + SECOND;
    let started = NOW + REQUESTS_DURATION; // by the clock of discovery: one second before the update
    let draining = |server| ServerEntry { health: Health::Terminating, ..entry(server, None) };
    let entries = vec![entry(3, Some(started)), draining(1), draining(2)];
    core.step(updated_at, Input::EndpointsUpdated { kind: ListUpdateKind::Patch, entries });
    let (sent, _) = send_requests(&mut core, updated_at, 2 * SECOND);
    sent.into_iter().filter(|server| *server == ServerId(3)).count()
}

/// A reader that started one second ago is in slow start also if the local clock is an hour ahead or behind.
#[test]
fn slow_start_applies_with_a_wrong_local_clock() {
    let correct = sent_to_a_cold_reader(0);
    let (ahead, behind) = (sent_to_a_cold_reader(HOUR as i64), sent_to_a_cold_reader(-(HOUR as i64)));
    assert!(correct * 2 < 100, "{correct} of 100 requests go to a cold server");
    assert!(
        ahead <= correct,
        "{ahead} attempts with the clock an hour ahead, {correct} with the correct one"
    );
    assert!(
        behind <= correct,
        "{behind} attempts with the clock an hour behind, {correct} with the correct one"
    );
}

/// A process starts with its clock an hour behind: servers that started within that hour must not count as cold.
#[test]
fn warm_servers_get_requests_with_the_local_clock_behind() {
    let send_requests_with_offset = |clock_offset: Micros| {
        let now = NOW - clock_offset;
        let mut core = Core::new(settings(), 1, now, 500);
        let started_half_an_hour_ago = |server| entry(server, Some(NOW - 1_800 * SECOND));
        let mut entries = [1, 2, 10, 11].map(started_half_an_hour_ago).to_vec();
        entries.push(entry(3, Some(NOW - SECOND)));
        core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
        let (sent, refused) = send_requests(&mut core, now, REQUESTS_DURATION);
        (sent.iter().filter(|server| server.0 == 10 || server.0 == 11).count(), refused)
    };
    let (correct, behind) = (send_requests_with_offset(0), send_requests_with_offset(HOUR));
    assert!(
        behind.0 * 10 >= correct.0 * 9,
        "{behind:?} served and rejected with the clock behind, {correct:?} with the correct one"
    );
    assert_eq!(correct.1, 0);
}

/// A server that starts after the process becomes warm at the end of its slow start, although the local clock was
/// behind when the process started.
#[test]
fn slow_start_ends_in_time_with_the_local_clock_behind() {
    let now = NOW - HOUR;
    let mut core = Core::new(settings(), 1, now, 500);
    core.step(now, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries: old_servers() });
    send_requests(&mut core, now, REQUESTS_DURATION);
    let updated_at = now + REQUESTS_DURATION + SECOND;
    let entries = [entry(3, Some(NOW + REQUESTS_DURATION)), entry(1, None)];
    let gone = ServerEntry { health: Health::Gone, ..entry(1, None) };
    core.step(
        updated_at,
        Input::EndpointsUpdated { kind: ListUpdateKind::Patch, entries: vec![entries[0].clone(), gone] },
    );
    let (sent, _) = send_requests(&mut core, updated_at + 15 * SECOND, 5 * SECOND);
    let (third, second) = (3, 2);
    let count = |server: u32| sent.iter().filter(|one| one.0 == server).count();
    assert!(
        count(third) * 3 > count(second),
        "{} attempts at the warmed server, {} at the other",
        count(third),
        count(second)
    );
}
