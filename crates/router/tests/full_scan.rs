//! Compares the router, which decides by an index of servers, with an oracle that decides by a full scan. Both receive
//! the same events. After each event all actions must be equal, and the index must agree with a recount.
#![allow(dead_code)] // the oracle uses only a part of the router's records

#[allow(clippy::wrong_self_convention)] // public types of the crate, private here
#[path = "../src/gossip.rs"]
mod gossip;
#[path = "../src/list_backoff.rs"]
mod list_backoff;
#[path = "../src/outlier_state.rs"]
mod outlier_state;
#[path = "../src/prefix_table.rs"]
mod prefix_table;
#[path = "../src/records/mod.rs"]
mod records;
#[path = "../src/slow_start_budget.rs"]
mod slow_start_budget;
#[path = "../src/statistics.rs"]
mod statistics;

#[path = "common/decision_hash.rs"]
mod decision_hash;
#[path = "full_scan/oracle/mod.rs"]
mod oracle;

#[path = "full_scan/pair.rs"]
mod pair;

use dewladder_router::interface;
use pair::{entry, settings, Pair, SECOND};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 160,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Requests, failures, draining servers, restarts, slow start, reloads of the settings and gossip, in random
    /// order.
    #[test]
    fn the_router_decides_as_a_full_scan_does(
        servers in 4u32..60,
        dispatchers in 1u32..30,
        mixed in any::<bool>(),
        every_message_arrives in any::<bool>(),
        seed in any::<u64>(),
        steps in prop::collection::vec((0u8..50, any::<u32>()), 50..400),
    ) {
        let entries = (0..servers).map(|id| entry(id, mixed)).collect();
        let mut pair = Pair::new(settings(dispatchers), entries, seed);
        pair.every_message_arrives = every_message_arrives;
        for (choice, draw) in steps {
            pair.step(choice, draw);
        }
        pair.pass(8 * SECOND);
    }
}

/// A larger fleet under load for minutes, in which cached prefixes expire, rates decay and servers in slow start
/// become warm.
#[test]
fn the_router_decides_as_a_full_scan_does_over_minutes_of_load() {
    let entries = (0..300).map(|id| entry(id, false)).collect();
    let mut pair = Pair::new(settings(12), entries, 77);
    let mut draw = 1u32;
    for step in 0..6_000u32 {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let choice = match step % 1_000 {
            300 => 43, // restart a zone
            500 => 38, // restart a server
            700 => 42, // remove servers
            _ => [0, 13, 14, 5, 15, 32, 16, 17, 26][step as usize % 9],
        };
        pair.step(choice, draw >> 3);
    }
}

/// Hashes of every decision and the order of decisions, for 1,500 random steps of each fleet. A change of the code
/// that is not meant to change decisions must leave the hashes as they are.
#[test]
fn seeded_steps_lead_to_the_recorded_decisions() {
    let recorded = [
        6077008158924895144,
        17060973782935824052,
        3923323393827440787,
        614730927696370374,
        1535075509049613142,
        14850343499488511044,
    ];
    let decided = [(5, 1), (12, 3), (23, 8), (40, 30), (60, 12), (90, 4)].map(|(servers, dispatchers)| {
        let entries = (0..servers).map(|id| entry(id, servers % 2 == 0)).collect();
        let mut pair = Pair::new(settings(dispatchers), entries, u64::from(servers));
        let mut draw = servers;
        for _ in 0..1_500 {
            draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            pair.step((draw >> 24) as u8 % 50, draw.rotate_left(9));
        }
        pair.pass(8 * SECOND);
        pair.decisions.value()
    });
    assert_eq!(decided, recorded);
}
