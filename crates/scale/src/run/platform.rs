//! What the platform provides to the dispatchers of a run: the list of servers, and the configuration of each real
//! dispatcher.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::process::Addresses;
use super::RunOptions;
use crate::shape;

/// Share of its capacity that a server has as it starts (`rules.cold_from`).
pub(super) const SLOW_START_MIN_SHARE: f64 = 0.26;
/// Duration of slow start (`rules.cold_s`).
pub(super) const SLOW_START_WINDOW_S: u64 = 14;
/// Multiple of its current capacity above which a server in slow start is overloaded (`rules.fall_multiple`).
pub(super) const OVERLOAD_MULTIPLE: f64 = 2.5;
/// Time over which load is compared with that multiple (`rules.fall_s`).
pub(super) const OVERLOAD_WINDOW_S: u64 = 1;
/// Every fourth class is at-most-once, the others are idempotent.
const AT_MOST_ONCE_EVERY: u32 = 4;

/// The number in a server's id in the list, which is one more than its number in the fleet.
pub(super) fn server_id(server: u32) -> u32 {
    server + 1
}

/// The name of a class in the configuration and in requests.
pub(super) fn class_name(class: u32) -> String {
    format!("class{class}")
}

/// Whether requests of a class are at-most-once.
pub(super) fn is_at_most_once(class: u32) -> bool {
    class % AT_MOST_ONCE_EVERY == AT_MOST_ONCE_EVERY - 1
}

fn zone_name(zone: u32) -> String {
    format!("zone{zone}")
}

/// A server's entry in the list of the discovery agent.
fn member(server: u32, address: SocketAddr, up_since_ms: u64) -> Value {
    let kind = if shape::reads(server) { "prefill" } else { "decode" };
    json!({"id": format!("s-{:08x}", server_id(server)), "host_port": address.to_string(),
        "locality": zone_name(shape::zone(server)), "flavor": kind, "cell": server / shape::SERVERS_PER_CELL,
        "phase": "up", "size": 1.0, "up_since_ms": up_since_ms})
}

/// The list of servers, in the form of the discovery agent's answers. Each change of the list increments its
/// revision.
#[derive(Debug)]
pub(super) struct List {
    addresses: Vec<SocketAddr>,
    /// When each server last started (ms, Unix time), 0 for a server that has long been running.
    started_ms: Vec<u64>,
    revision: u64,
}

impl List {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        let started_ms = vec![0; addresses.len()];
        Self { addresses, started_ms, revision: 1 }
    }

    /// The list of all servers.
    pub(super) fn full(&self) -> Value {
        self.list_excluding(|_| false)
    }

    /// The list of all servers but the excluded ones.
    fn list_excluding(&self, is_excluded: impl Fn(u32) -> bool) -> Value {
        let all = (0..).zip(self.addresses.iter().zip(&self.started_ms));
        let listed = all.filter(|(server, _)| !is_excluded(*server));
        let members: Vec<Value> =
            listed.map(|(server, (address, started_ms))| member(server, *address, *started_ms)).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }

    /// A new revision of the list without the servers of a zone.
    pub(super) fn without_zone(&mut self, zone: u32) -> Value {
        self.revision += 1;
        self.list_excluding(|server| shape::zone(server) == zone)
    }

    /// A new revision of the list with all servers, those of a zone as just started.
    pub(super) fn with_zone_restarted(&mut self, zone: u32) -> Value {
        self.revision += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        for (server, started_ms) in (0..).zip(&mut self.started_ms) {
            if shape::zone(server) == zone {
                *started_ms = now;
            }
        }
        self.full()
    }
}

/// The configuration of a real dispatcher, which sends its load gossip to `all_peers`.
pub(super) fn config(
    options: &RunOptions,
    number: u32,
    own: &Addresses,
    agent: SocketAddr,
    all_peers: SocketAddr,
    list: &List,
) -> Value {
    let class = |class: u32| {
        let effect = if is_at_most_once(class) { "at_most_once" } else { "idempotent" };
        json!({"name": class_name(class), "aim_s": 0.61, "give_up_s": 5.0, "effect": effect, "group": "all",
            "worth": 2.0, "streaming": true})
    };
    let classes: Vec<Value> = (0..options.classes).map(class).collect();
    let zones: Vec<String> = (0..shape::ZONES).map(zone_name).collect();
    let settings = json!({
        "balancers": options.dispatchers, "locality": number % shape::ZONES, "failure_domains": zones,
        "kinds": ["prefill", "decode"], "my_number": number, "lanes": classes, "resolution_s": 0.002,
        "domain": {"role_by_kind": ["read", "write"], "kind_memory_tokens": [2_000_000, 2_000_000],
            "release_within_s": 0.5, "resume": false, "token_aim_s": [0.032, 0.032]},
        "limits": {"cancel": true, "connect_timeout_s": 0.25, "keepalive_s": 30.0, "max_attempts": 5,
            "max_retry_after_s": 1.0, "peers": true},
        "prices": {"peer": 0.0025},
        "rules": {"cold_from": SLOW_START_MIN_SHARE, "cold_s": SLOW_START_WINDOW_S, "fall_multiple": OVERLOAD_MULTIPLE,
            "fall_s": OVERLOAD_WINDOW_S, "must_ask_in_s": 10.0, "stop_sending_within_s": 0.25},
    });
    json!({
        "name": format!("n{number}"), "listen": own.listen, "discovery": agent,
        "peer_listen": own.peers, "peers_all": all_peers, "seed": format!("{:016x}", 0x5ca1_e000 + u64::from(number)),
        "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.descriptors},
        "known": list.full(), "settings": settings,
    })
}
