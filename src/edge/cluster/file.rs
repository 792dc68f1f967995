//! The table `[cluster]` of the operator's file: whether instances talk, where, and with which times.

use std::net::SocketAddrV4;

use dewladder_membership::codec::Codec;
use dewladder_membership::{Address, MemberId, Settings};
use dewladder_replica as replica;
use serde::Deserialize;

use crate::edge::cluster::TICK;
use crate::interface::Micros;

/// See `deploy/fronts.toml` for each field. Times are in seconds.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Table {
    /// Off, nothing is listened on and nothing is sent.
    pub enabled: bool,
    /// This instance's name; empty, the configuration's is taken.
    pub name: String,
    /// The cluster's name: messages of others are not taken.
    pub cluster: String,
    /// Where messages arrive (UDP).
    pub listen: SocketAddrV4,
    /// Where others reach it, if that is elsewhere.
    pub advertise: Option<SocketAddrV4>,
    /// In hexadecimal, the same at all instances.
    pub key: String,
    /// Where to join: any that run.
    pub seeds: Vec<SocketAddrV4>,
    /// See [`Settings`]; so are the following.
    pub probe_every_s: f64,
    /// Of a direct probe.
    pub probe_timeout_s: f64,
    /// Others that are asked to probe.
    pub indirect: usize,
    /// Least time to refute, in probe times.
    pub suspicion: f64,
    /// The most over the least.
    pub suspicion_most: f64,
    /// Others that must find the same for the least.
    pub confirmations: usize,
    /// How often news are sent.
    pub retransmit: usize,
    /// Exchange of whole states.
    pub sync_every_s: f64,
    /// Dead members are remembered for so long.
    pub forget_after_s: f64,
    /// What instances know together of requests that must not run twice.
    pub replica: ReplicaTable,
}

/// See `deploy/fronts.toml` for each field. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicaTable {
    /// Off, each instance knows its own requests only.
    pub enabled: bool,
    /// Names of all instances that hold records, whether they run or not; the same at all.
    pub members: Vec<String>,
    /// Each record lies at so many.
    pub copies: usize,
    /// So many must hold it before its request is sent on.
    pub quorum: usize,
    /// For how long what was done is known.
    pub window_s: f64,
    /// How long an offer, and a start, wait.
    pub settle_s: f64,
    /// Records held at most.
    pub most_records: usize,
    /// Records kept for others that are away, at most.
    pub most_hints: usize,
}

impl Default for ReplicaTable {
    fn default() -> Self {
        Self {
            enabled: false,
            members: Vec::new(),
            copies: 3,
            quorum: 2,
            window_s: 600.0,
            settle_s: 2.0,
            most_records: 100_000,
            most_hints: 20_000,
        }
    }
}

impl ReplicaTable {
    fn check(&self, name: &str) -> Result<replica::Settings, String> {
        let settings = replica::Settings {
            own_id: MemberId::of(name),
            incarnation: 0,
            members: self.members.iter().map(|name| MemberId::of(name)).collect(),
            copies: self.copies,
            quorum: self.quorum,
            retention: micros(self.window_s),
            max_records: self.most_records,
            max_hints: self.most_hints,
            settle_time: micros(self.settle_s),
            retry_after: AGAIN_AFTER,
            compare_interval: COMPARE_EVERY,
        };
        settings.check().map_err(|error| format!("cluster.replica.{error}"))?;
        Ok(settings)
    }
}

/// What another instance has not answered is sent again after this, and copies are compared this often (us).
const AGAIN_AFTER: Micros = 100_000;
const COMPARE_EVERY: Micros = 500_000;

/// What is no time comes to 0, which is refused by the field's name.
fn micros(seconds: f64) -> Micros {
    std::time::Duration::try_from_secs_f64(seconds).map_or(0, crate::edge::clock::micros)
}

/// What the tables come to.
#[derive(Debug)]
pub struct Checked {
    /// Seals and opens messages.
    pub codec: Codec,
    /// Of membership.
    pub settings: Settings,
    /// Of what is known together, where that is on.
    pub replica: Option<replica::Settings>,
}

impl std::fmt::Debug for Table {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Without the key.
        to.debug_struct("Table")
            .field("enabled", &self.enabled)
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

impl Default for Table {
    fn default() -> Self {
        let usual = Settings::default();
        let seconds = |time: Micros| time as f64 / 1e6;
        Self {
            enabled: false,
            name: String::new(),
            cluster: "dewladder".to_owned(),
            listen: SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, usual.address.port),
            advertise: None,
            key: String::new(),
            seeds: Vec::new(),
            probe_every_s: seconds(usual.probe_interval),
            probe_timeout_s: seconds(usual.probe_timeout),
            indirect: usual.indirect_probes,
            suspicion: usual.suspicion_multiplier,
            suspicion_most: usual.max_suspicion_multiplier,
            confirmations: usual.confirmations,
            retransmit: usual.retransmit_multiplier,
            sync_every_s: seconds(usual.sync_interval),
            forget_after_s: seconds(usual.dead_retention),
            replica: ReplicaTable::default(),
        }
    }
}

impl Table {
    /// Checks all of it, as an instance of that name would run with it.
    ///
    /// # Errors
    /// One plain line that names the field.
    pub fn check(&self, name: &str) -> Result<Checked, String> {
        let key = hex::decode(&self.key).map_err(|error| format!("cluster.key: not hexadecimal: {error}"))?;
        if self.cluster.is_empty() {
            return Err("cluster.cluster: a cluster has a name".to_owned());
        }
        let codec = Codec::new(&self.cluster, &key).map_err(|error| format!("cluster.key: {error}"))?;
        // The port that the system picks for port 0 is not known yet.
        let reached = self.advertise.unwrap_or_else(|| {
            let port = if self.listen.port() == 0 { u16::MAX } else { self.listen.port() };
            SocketAddrV4::new(*self.listen.ip(), port)
        });
        if reached.ip().is_unspecified() {
            return Err(format!("cluster.advertise: others can't reach {}", reached.ip()));
        }
        let settings = Settings {
            name: if self.name.is_empty() { name.to_owned() } else { self.name.clone() },
            address: place(reached),
            incarnation: 0,
            seeds: self.seeds.iter().copied().map(place).collect(),
            probe_interval: micros(self.probe_every_s),
            probe_timeout: micros(self.probe_timeout_s),
            indirect_probes: self.indirect,
            suspicion_multiplier: self.suspicion,
            max_suspicion_multiplier: self.suspicion_most,
            confirmations: self.confirmations,
            retransmit_multiplier: self.retransmit,
            sync_interval: micros(self.sync_every_s),
            dead_retention: micros(self.forget_after_s),
            tick_interval: crate::edge::clock::micros(TICK),
        };
        settings.check().map_err(|error| format!("cluster.{error}"))?;
        let replica = Some(&self.replica).filter(|table| table.enabled);
        let replica = replica.map(|table| table.check(&settings.name)).transpose()?;
        Ok(Checked { codec, settings, replica })
    }
}

/// An address as messages have it.
#[must_use]
pub fn place(at: SocketAddrV4) -> Address {
    Address { ip: at.ip().octets(), port: at.port() }
}
