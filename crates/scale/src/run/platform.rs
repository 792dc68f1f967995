//! The platform of a run: its list of servers, and the configuration of each real dispatcher.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::process::Addresses;
use super::RunOptions;
use crate::shape;

pub(super) const COLD_FROM: f64 = 0.26;
pub(super) const COLD_S: u64 = 14;
pub(super) const FALL_MULTIPLE: f64 = 2.5;
pub(super) const FALL_WINDOW_S: u64 = 1;
/// Requests of each fourth class may run once only.
const RUNS_ONCE_EVERY: u32 = 4;

/// A server's id as the list tells it, as a number.
pub(super) fn server_id(server: u32) -> u32 {
    server + 1
}

/// The name of a class.
pub(super) fn class_name(class: u32) -> String {
    format!("class{class}")
}

/// Whether requests of a class may run once only.
pub(super) fn runs_once(class: u32) -> bool {
    class % RUNS_ONCE_EVERY == RUNS_ONCE_EVERY - 1
}

fn zone_name(zone: u32) -> String {
    format!("zone{zone}")
}

fn member(server: u32, address: SocketAddr, up_since_ms: u64) -> Value {
    let kind = if shape::reads(server) { "prefill" } else { "decode" };
    json!({"id": format!("s-{:08x}", server_id(server)), "host_port": address.to_string(),
        "locality": zone_name(shape::zone(server)), "flavor": kind, "cell": server / shape::CELL,
        "phase": "up", "size": 1.0, "up_since_ms": up_since_ms})
}

/// The list of servers as discovery has it.
#[derive(Debug)]
pub(super) struct List {
    addresses: Vec<SocketAddr>,
    /// When each last started (ms, Unix time); 0 for long ago.
    started: Vec<u64>,
    revision: u64,
}

impl List {
    pub(super) fn new(addresses: Vec<SocketAddr>) -> Self {
        let started = vec![0; addresses.len()];
        Self { addresses, started, revision: 1 }
    }

    pub(super) fn whole(&self) -> Value {
        self.except(|_| false)
    }

    fn except(&self, is_left_out: impl Fn(u32) -> bool) -> Value {
        let all = (0..).zip(self.addresses.iter().zip(&self.started));
        let listed = all.filter(|(server, _)| !is_left_out(*server));
        let members: Vec<Value> =
            listed.map(|(server, (address, started))| member(server, *address, *started)).collect();
        json!({"revision": self.revision, "complete": true, "members": members})
    }

    /// A zone has gone.
    pub(super) fn without(&mut self, zone: u32) -> Value {
        self.revision += 1;
        self.except(|server| shape::zone(server) == zone)
    }

    /// All are there, and a zone has just started.
    pub(super) fn restarted(&mut self, zone: u32) -> Value {
        self.revision += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        for (server, started) in (0..).zip(&mut self.started) {
            if shape::zone(server) == zone {
                *started = now;
            }
        }
        self.whole()
    }
}

/// The configuration of a real dispatcher.
pub(super) fn config(
    options: &RunOptions,
    number: u32,
    own: &Addresses,
    agent: SocketAddr,
    peers_all: SocketAddr,
    list: &List,
) -> Value {
    let class = |class: u32| {
        let effect = if runs_once(class) { "at_most_once" } else { "idempotent" };
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
        "rules": {"cold_from": COLD_FROM, "cold_s": COLD_S, "fall_multiple": FALL_MULTIPLE,
            "fall_s": FALL_WINDOW_S, "must_ask_in_s": 10.0, "stop_sending_within_s": 0.25},
    });
    json!({
        "name": format!("n{number}"), "listen": own.listen, "discovery": agent,
        "peer_listen": own.peers, "peers_all": peers_all, "seed": format!("{:016x}", 0x5ca1_e000 + u64::from(number)),
        "limits": {"cores": 1.0, "memory_mb": options.memory_mb, "sockets": options.descriptors},
        "known": list.whole(), "settings": settings,
    })
}
