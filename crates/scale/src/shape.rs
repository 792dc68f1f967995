//! The layout of the simulated fleet: roles, cells and zones of its servers, and the settings of its dispatchers.

use std::collections::BTreeMap;

use dewladder_router::interface::{
    CellId, Class, DedupGroup, Effect, Health, Kind, Micros, Role, ServerEntry, ServerId, Settings, ZoneId,
};

/// Servers in a cell; consecutive server numbers share one.
pub const SERVERS_PER_CELL: u32 = 20;
/// Servers in a cell that are readers (45%), those with the lowest numbers.
pub const READERS_PER_CELL: u32 = 9;
/// Number of zones.
pub const ZONES: u32 = 5;

/// Whether the server with this number is a reader; otherwise it is a writer.
#[must_use]
pub fn reads(server: u32) -> bool {
    server % SERVERS_PER_CELL < READERS_PER_CELL
}

/// The zone of a server: each cell lies in one zone, and consecutive cells in consecutive zones.
#[must_use]
pub fn zone(server: u32) -> u32 {
    server / SERVERS_PER_CELL % ZONES
}

/// A server's entry in the list; `started` is when it last started (us), `None` if it is not in slow start.
#[must_use]
pub fn entry(server: u32, started: Option<Micros>) -> ServerEntry {
    ServerEntry {
        server: ServerId(server),
        zone: ZoneId(zone(server)),
        cell: CellId(server / SERVERS_PER_CELL),
        weight: 1.0,
        started,
        health: Health::Ready,
        kind: u32::from(!reads(server)),
    }
}

/// The class with this number; every fourth class, from number 0 on, is at-most-once.
fn class(number: u32) -> Class {
    Class {
        name: format!("class {number}"),
        default_timeout: 5_000_000,
        max_attempts: 5,
        retired: false,
        latency_objective: 610_000,
        latency_objective_per_1000_tokens: 40_000,
        token_interval_objective: 32_000,
        effect: if number.is_multiple_of(4) { Effect::AtMostOnce } else { Effect::Idempotent },
        dedup_group: DedupGroup::All,
        dedup_window: 5_000_000,
        priority_weight: 2.0,
    }
}

/// Settings of one of `dispatchers` dispatchers with `classes` classes; slow start lasts `slow_start_window` (us).
#[must_use]
pub fn settings(dispatchers: u32, classes: u32, slow_start_window: Micros) -> Settings {
    let kind = |role| Kind { role, memory_tokens: 2_000_000 };
    Settings {
        dispatcher_count: dispatchers,
        zone: ZoneId(0),
        classes: (0..classes).map(|number| (number, class(number))).collect::<BTreeMap<_, _>>(),
        kinds: vec![kind(Role::Reader), kind(Role::Writer)],
        must_subscribe: false,
        max_list_age: 10_000_000,
        may_cancel: true,
        gossip_allowed: true,
        gossip_price: 0.0025,
        writers_can_read: false,
        max_retry_after: 1_000_000,
        max_hold_time: 500_000,
        min_batch_interval: 2_000,
        weight_is_size: true,
        slow_start_min_share: 0.26,
        slow_start_window,
        memory_field: Some(0),
        overload_multiple: 2.5,
        overload_window: 1_000_000,
    }
}
