//! The table `[cluster]` of the fronts' settings file, and its conversion into checked settings.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use dewladder_membership::codec::{Codec, ShortKey};
use dewladder_membership::{Address, MemberId, Settings};
use dewladder_replica as replica;
use serde::Deserialize;
use thiserror::Error;

use crate::edge::cluster::TICK;
use crate::interface::Micros;

/// The table `[cluster]`; `deploy/fronts.toml` documents each key. Times are in seconds.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Table {
    /// Whether this instance takes part in a cluster. If false, it neither binds a socket nor sends anything.
    pub enabled: bool,
    /// This instance's name; if empty, the configuration's name is used.
    pub name: String,
    /// The cluster's name. Messages of other clusters are rejected.
    pub cluster: String,
    /// The UDP address that this instance listens on.
    pub listen: SocketAddrV4,
    /// The address at which other instances reach this one, if it differs from `listen`.
    pub advertise: Option<SocketAddrV4>,
    /// The HMAC key in hexadecimal, the same at all instances.
    pub key: String,
    /// Addresses of running instances through which this one joins; any one that answers suffices.
    pub seeds: Vec<SocketAddrV4>,
    /// [`Settings::probe_interval`].
    pub probe_every_s: f64,
    /// [`Settings::probe_timeout`].
    pub probe_timeout_s: f64,
    /// [`Settings::indirect_probes`].
    #[serde(rename = "indirect")]
    pub indirect_probes: usize,
    /// [`Settings::suspicion_multiplier`].
    #[serde(rename = "suspicion")]
    pub suspicion_multiplier: f64,
    /// [`Settings::max_suspicion_multiplier`].
    #[serde(rename = "suspicion_most")]
    pub max_suspicion_multiplier: f64,
    /// [`Settings::confirmations`].
    pub confirmations: usize,
    /// [`Settings::retransmit_multiplier`].
    #[serde(rename = "retransmit")]
    pub retransmit_multiplier: usize,
    /// [`Settings::sync_interval`].
    pub sync_every_s: f64,
    /// [`Settings::dead_retention`].
    pub forget_after_s: f64,
    /// The table `[cluster.replica]`: replicated records of requests that must not run twice.
    pub replica: ReplicaTable,
}

/// The table `[cluster.replica]`; `deploy/fronts.toml` documents each key. Times are in seconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReplicaTable {
    /// Whether records are replicated. If false, each instance knows its own requests only.
    pub enabled: bool,
    /// The names of all instances that hold records, whether they run or not. The list is the same at all of them.
    pub members: Vec<String>,
    /// The number of copies of each record.
    pub copies: usize,
    /// How many copies must exist before a request is sent on.
    pub quorum: usize,
    /// How long a record is kept after its last change ([`replica::Settings::retention`]).
    pub window_s: f64,
    /// [`replica::Settings::settle_time`].
    pub settle_s: f64,
    /// The maximum number of records that this instance holds.
    #[serde(rename = "most_records")]
    pub max_records: usize,
    /// The maximum number of records that this instance keeps for holders that are down (hinted handoff).
    #[serde(rename = "most_hints")]
    pub max_hints: usize,
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
            max_records: 100_000,
            max_hints: 20_000,
        }
    }
}

impl ReplicaTable {
    /// Validates the table, and converts it into the settings of the instance with this name.
    fn check(&self, name: &str) -> Result<replica::Settings, TableError> {
        let settings = replica::Settings {
            own_id: MemberId::of(name),
            incarnation: 0,
            members: self.members.iter().map(|name| MemberId::of(name)).collect(),
            copies: self.copies,
            quorum: self.quorum,
            retention: micros(self.window_s),
            max_records: self.max_records,
            max_hints: self.max_hints,
            settle_time: micros(self.settle_s),
            retry_after: RETRY_AFTER,
            compare_interval: COMPARE_INTERVAL,
        };
        settings.check()?;
        Ok(settings)
    }
}

/// [`replica::Settings::retry_after`]: how long to wait for another instance's answer before sending again.
const RETRY_AFTER: Micros = 100_000;
/// [`replica::Settings::compare_interval`]: how often copies are compared with another holder.
const COMPARE_INTERVAL: Micros = 500_000;
/// Replaces port 0 in the check of the settings: the system picks the actual port when the socket is bound.
const PLACEHOLDER_PORT: u16 = u16::MAX;

/// Converts seconds to microseconds. A number that is no valid duration becomes 0, which the settings' check rejects
/// with the key's name.
fn micros(seconds: f64) -> Micros {
    Duration::try_from_secs_f64(seconds).map_or(0, crate::edge::clock::micros)
}

fn seconds(time: Micros) -> f64 {
    time as f64 / 1e6
}

/// Why a table is invalid. The message is one line that names the invalid key of the table.
#[derive(Debug, Error)]
pub enum TableError {
    /// `key`, the HMAC key, is not hexadecimal.
    #[error("cluster.key: must be hexadecimal: {0}")]
    KeyNotHexadecimal(#[from] hex::FromHexError),
    /// `key`, the HMAC key, is too short.
    #[error("cluster.key: {0}")]
    ShortKey(#[from] ShortKey),
    /// The cluster's name is empty.
    #[error("cluster.cluster: must not be empty")]
    NoClusterName,
    /// The advertised address is the unspecified one, at which other instances can't reach this one.
    #[error(
        "cluster.advertise: must be an address that others can reach, got {0} (defaults to cluster.listen)"
    )]
    Unreachable(Ipv4Addr),
    /// A membership setting is invalid.
    #[error("cluster.{0}")]
    Membership(#[from] dewladder_membership::InvalidSettings),
    /// A replication setting is invalid.
    #[error("cluster.replica.{0}")]
    Replica(#[from] replica::InvalidSettings),
}

/// The validated settings of an instance.
#[derive(Debug)]
pub struct CheckedSettings {
    /// The codec of membership's datagrams, with the cluster's name and key.
    pub codec: Codec,
    /// The membership settings.
    pub membership: Settings,
    /// The replica's settings; `None` if replication is disabled.
    pub replica: Option<replica::Settings>,
}

impl std::fmt::Debug for Table {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the secret key, so that it doesn't get into logs.
        formatter
            .debug_struct("Table")
            .field("enabled", &self.enabled)
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

impl Default for Table {
    fn default() -> Self {
        let default = Settings::default();
        Self {
            enabled: false,
            name: String::new(),
            cluster: "dewladder".to_owned(),
            listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, default.address.port),
            advertise: None,
            key: String::new(),
            seeds: Vec::new(),
            probe_every_s: seconds(default.probe_interval),
            probe_timeout_s: seconds(default.probe_timeout),
            indirect_probes: default.indirect_probes,
            suspicion_multiplier: default.suspicion_multiplier,
            max_suspicion_multiplier: default.max_suspicion_multiplier,
            confirmations: default.confirmations,
            retransmit_multiplier: default.retransmit_multiplier,
            sync_every_s: seconds(default.sync_interval),
            forget_after_s: seconds(default.dead_retention),
            replica: ReplicaTable::default(),
        }
    }
}

impl Table {
    /// Validates the table, and converts it into the settings of an instance. `name` is the configuration's name,
    /// which is used if the table's own is empty.
    ///
    /// # Errors
    /// The first key that is invalid.
    pub fn check(&self, name: &str) -> Result<CheckedSettings, TableError> {
        let key = hex::decode(&self.key)?;
        if self.cluster.is_empty() {
            return Err(TableError::NoClusterName);
        }
        let codec = Codec::new(&self.cluster, &key)?;
        let advertised = self.advertised();
        if advertised.ip().is_unspecified() {
            return Err(TableError::Unreachable(*advertised.ip()));
        }
        let membership = self.membership_settings(name, advertised);
        membership.check()?;
        let replica = match self.replica.enabled {
            true => Some(self.replica.check(&membership.name)?),
            false => None,
        };
        Ok(CheckedSettings { codec, membership, replica })
    }

    /// The address at which other instances reach this one, with a placeholder for a port that the system will pick.
    fn advertised(&self) -> SocketAddrV4 {
        let mut address = self.advertise.unwrap_or(self.listen);
        if self.advertise.is_none() && address.port() == 0 {
            address.set_port(PLACEHOLDER_PORT);
        }
        address
    }

    fn membership_settings(&self, name: &str, advertised: SocketAddrV4) -> Settings {
        Settings {
            name: if self.name.is_empty() { name.to_owned() } else { self.name.clone() },
            address: member_address(advertised),
            incarnation: 0,
            seeds: self.seeds.iter().copied().map(member_address).collect(),
            probe_interval: micros(self.probe_every_s),
            probe_timeout: micros(self.probe_timeout_s),
            indirect_probes: self.indirect_probes,
            suspicion_multiplier: self.suspicion_multiplier,
            max_suspicion_multiplier: self.max_suspicion_multiplier,
            confirmations: self.confirmations,
            retransmit_multiplier: self.retransmit_multiplier,
            sync_interval: micros(self.sync_every_s),
            dead_retention: micros(self.forget_after_s),
            tick_interval: crate::edge::clock::micros(TICK),
        }
    }
}

/// Converts a socket address to the form that messages carry.
#[must_use]
pub fn member_address(address: SocketAddrV4) -> Address {
    Address { ip: address.ip().octets(), port: address.port() }
}
