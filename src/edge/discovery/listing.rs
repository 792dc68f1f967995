//! The list of servers in the discovery agent's format, and its translation to the router's types.

use log::warn;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::interface::{CellId, Health, Key, ServerEntry, ServerId, ZoneId};

/// The configured names of zones and kinds of servers. Their indices are the numbers that the router uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The names of zones, matched with `locality` of an entry.
    pub zones: Vec<String>,
    /// The names of kinds of servers, matched with `flavor` of an entry.
    pub kinds: Vec<String>,
}

/// The list of servers, or the changes since an earlier revision.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// The revision of the list. A later list has a higher one.
    #[serde(default)]
    pub revision: u64,
    /// Whether this is the whole list, rather than only the changed entries.
    #[serde(default)]
    pub complete: bool,
    /// The entries. Those that can't be parsed are left out.
    #[serde(default, deserialize_with = "readable")]
    pub members: Vec<Member>,
}

/// The body of the agent's answer. Unlike in the list of a configuration file, `revision` and `members` are required.
#[derive(Debug, Deserialize)]
pub struct Answer {
    revision: u64,
    #[serde(default)]
    complete: bool,
    members: Vec<Value>,
}

/// None of the entries of an answer can be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no entry of members can be read")]
pub struct NoReadableEntry;

impl Answer {
    /// Converts the answer to a list. An entry of which only the `id` can be read counts as removed: it may announce
    /// that the server is draining, and would not be sent again.
    ///
    /// # Errors
    /// The answer has entries, but none can be parsed. Among changes, an entry with an `id` is enough.
    pub fn listing(self) -> Result<Listing, NoReadableEntry> {
        let Self { revision, complete, members: entries } = self;
        let mut members = Vec::with_capacity(entries.len());
        let mut is_usable = entries.is_empty();
        for (number, entry) in entries.iter().enumerate() {
            match Member::deserialize(entry) {
                Ok(member) if member.health().is_some() => {
                    is_usable = true;
                    members.push(member);
                }
                read => {
                    let reason = read.map_or_else(|error| error.to_string(), |member| member.phase);
                    warn!(entry = number, reason = reason.as_str();
                        "discovery: entry of members not readable; nothing is sent to that server");
                    let removed_entry = entry["id"].as_str().map(Member::removed);
                    // If an answer with only such changes were an error, the agent would send them again and again,
                    // and they would never be acted on.
                    is_usable |= !complete && removed_entry.is_some();
                    members.extend(removed_entry);
                }
            }
        }
        if !is_usable {
            return Err(NoReadableEntry);
        }
        Ok(Listing { revision, complete, members })
    }
}

/// An entry of the list: a server.
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

/// Deserializes the entries one by one: one that can't be parsed must not make the whole list unusable.
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
    /// An entry that marks a server as removed.
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

    /// The health that the phase stands for; `None` for an unknown phase.
    fn health(&self) -> Option<Health> {
        match self.phase.as_str() {
            "up" => Some(Health::Ready),
            "draining" => Some(Health::Terminating),
            "removed" => Some(Health::Gone),
            _ => None,
        }
    }

    /// The router's entry for this server, and the server's address; `None` for an unknown phase. A zone or kind
    /// without a configured name is parsed as a number, or else is `u32::MAX`.
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

/// The router's number for a server id. It depends on the id alone, so that all dispatchers use the same one. In the
/// protocol's form of an id (a letter, a dash and eight hex digits) the digits are the number; any other id is
/// hashed.
#[must_use]
pub fn server_id(id: &str) -> ServerId {
    let digits = id.split_once('-').filter(|(kind, digits)| kind.len() == 1 && digits.len() == 8);
    let number = digits.and_then(|(_, digits)| u32::from_str_radix(digits, 16).ok());
    ServerId(number.unwrap_or_else(|| {
        let hash = Key::from_text(id).0;
        (hash ^ (hash >> 32)) as u32
    }))
}

/// The router's entries for a list, each with the server's address. Entries in an unknown phase are left out.
#[must_use]
pub fn entries(listing: &Listing, names: &Names) -> Vec<(ServerEntry, String)> {
    listing.members.iter().filter_map(|member| member.entry(names)).collect()
}
