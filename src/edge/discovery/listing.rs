//! The list of servers in the discovery agent's form, and what its words stand for.

use log::warn;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::interface::{CellId, Health, Key, ServerEntry, ServerId, ZoneId};

/// What the list's words stand for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zones by number.
    pub zones: Vec<String>,
    /// Kinds of servers by number.
    pub kinds: Vec<String>,
}

/// The list, or what has changed in it, as the agent tells it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// The list's version.
    #[serde(default)]
    pub revision: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// The entries; one that can't be read is left out.
    #[serde(default, deserialize_with = "readable")]
    pub members: Vec<Member>,
}

/// The agent's answer: unlike a list that a file holds, it says of itself what it is, or is not used.
#[derive(Debug, Deserialize)]
pub struct Answer {
    revision: u64,
    #[serde(default)]
    complete: bool,
    members: Vec<Value>,
}

/// An answer whose entries can't be read, one and all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no entry of members can be read")]
pub struct NoReadableEntry;

impl Answer {
    /// The list. An entry that names its server but can't be read otherwise is taken as one that takes no work: it may
    /// be the word of a drain, which would not be told again.
    ///
    /// # Errors
    /// Entries of which none can be read are no list.
    pub fn listing(self) -> Result<Listing, NoReadableEntry> {
        let Self { revision, complete, members: entries } = self;
        let mut members = Vec::with_capacity(entries.len());
        let mut is_readable = entries.is_empty();
        for (number, entry) in entries.iter().enumerate() {
            match Member::deserialize(entry) {
                Ok(member) if member.health().is_some() => {
                    is_readable = true;
                    members.push(member);
                }
                read => {
                    let reason = read.map_or_else(|error| error.to_string(), |member| member.phase);
                    warn!(entry = number, reason = reason.as_str();
                        "discovery: entry of members not readable; nothing is sent to that server");
                    let named = entry["id"].as_str().map(Member::removed);
                    // A change in such an entry alone would be told over and over, and never acted on.
                    is_readable |= !complete && named.is_some();
                    members.extend(named);
                }
            }
        }
        if !is_readable {
            return Err(NoReadableEntry);
        }
        Ok(Listing { revision, complete, members })
    }
}

/// A server as the agent names it.
#[derive(Clone, Debug, Deserialize)]
pub struct Member {
    id: String,
    host_port: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

/// Guards the list: one entry that can't be read must not cost all the others.
fn readable<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Member>, D::Error> {
    let entries = Vec::<Value>::deserialize(input)?;
    let mut members = Vec::with_capacity(entries.len());
    for (number, entry) in entries.into_iter().enumerate() {
        match Member::deserialize(entry) {
            Ok(member) => members.push(member),
            Err(error) => {
                warn!(entry = number, reason:% = error; "discovery: entry of members not readable; left out");
            }
        }
    }
    Ok(members)
}

fn default_size() -> f64 {
    1.0
}

impl Member {
    fn removed(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            host_port: String::new(),
            locality: String::new(),
            flavor: String::new(),
            cell: 0,
            phase: "removed".to_owned(),
            size: 1.0,
            up_since_ms: 0,
        }
    }

    fn health(&self) -> Option<Health> {
        match self.phase.as_str() {
            "up" => Some(Health::Ready),
            "draining" => Some(Health::Terminating),
            "removed" => Some(Health::Gone),
            _ => None,
        }
    }

    /// The entry for the decisions, and the address; `None` if its phase is not known.
    fn entry(&self, names: &Names) -> Option<(ServerEntry, String)> {
        let number = |list: &[String], name: &str| {
            let at = list.iter().position(|known| known == name);
            at.map_or_else(|| name.parse().unwrap_or(u32::MAX), |at| at as u32)
        };
        let entry = ServerEntry {
            server: server_id(&self.id),
            zone: ZoneId(number(&names.zones, &self.locality)),
            cell: CellId(self.cell),
            weight: self.size,
            started: Some(self.up_since_ms.saturating_mul(1_000)).filter(|&at| at > 0),
            health: self.health()?,
            kind: number(&names.kinds, &self.flavor),
        };
        Some((entry, self.host_port.clone()))
    }
}

/// A server's number, from its id's text alone: the same at every dispatcher. Of an id in the protocol's form, a letter, a
/// dash and eight hex digits, the digits are the number; any other text is hashed as a whole.
#[must_use]
pub fn server_id(id: &str) -> ServerId {
    let digits = id.split_once('-').filter(|(kind, digits)| kind.len() == 1 && digits.len() == 8);
    let number = digits.and_then(|(_, digits)| u32::from_str_radix(digits, 16).ok());
    ServerId(number.unwrap_or_else(|| {
        let hash = Key::from_text(id).0;
        (hash ^ (hash >> 32)) as u32
    }))
}

/// The entries of a listing with their addresses; one in an unknown phase is left out.
#[must_use]
pub fn entries(listing: &Listing, names: &Names) -> Vec<(ServerEntry, String)> {
    listing.members.iter().filter_map(|member| member.entry(names)).collect()
}
