//! The list of servers in the discovery agent's form, and what its words stand for.

use log::warn;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::interface::{CellId, EngineId, Entry, Health, Key, ZoneId};

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
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: u64,
}

/// Guards the list: one entry that can't be read must not cost all the others.
fn readable<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Member>, D::Error> {
    let all = Vec::<Value>::deserialize(input)?;
    let read = |(at, entry)| match Member::deserialize(entry) {
        Ok(member) => Some(member),
        Err(error) => {
            warn!("list: members.{at} can't be read and is left out: {error}");
            None
        }
    };
    Ok(all.into_iter().enumerate().filter_map(read).collect())
}

fn one() -> f64 {
    1.0
}

impl Member {
    /// The entry for the decisions, and the address; `None` if its phase is not known.
    fn entry(&self, names: &Names) -> Option<(Entry, String)> {
        let number = |list: &[String], name: &str| {
            let at = list.iter().position(|known| known == name);
            at.map_or_else(|| name.parse().unwrap_or(u32::MAX), |at| at as u32)
        };
        let entry = Entry {
            engine: engine(&self.id),
            zone: ZoneId(number(&names.zones, &self.locality)),
            cell: CellId(self.cell),
            weight: self.size,
            started: Some(self.up_since_ms * 1_000).filter(|&at| at > 0),
            health: match self.phase.as_str() {
                "up" => Health::Ready,
                "draining" => Health::Terminating,
                "removed" => Health::Gone,
                _ => return None,
            },
            kind: number(&names.kinds, &self.flavor),
        };
        Some((entry, self.host_port.clone()))
    }
}

/// A server's number, from its id's text alone: the same at every dispatcher. The eight hex digits that ids
/// end with are the number; any other text is hashed.
#[must_use]
pub fn engine(id: &str) -> EngineId {
    let digits = id.rsplit('-').next().filter(|digits| digits.len() == 8);
    let number = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok());
    EngineId(number.unwrap_or_else(|| {
        let hash = Key::from_text(id).0;
        (hash ^ (hash >> 32)) as u32
    }))
}

/// The entries of a listing with their addresses; one in an unknown phase is left out.
#[must_use]
pub fn entries(listing: &Listing, names: &Names) -> Vec<(Entry, String)> {
    listing.members.iter().filter_map(|member| member.entry(names)).collect()
}
