//! The list of servers: the discovery agent's form of it, and the watch that follows it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::Request;
use log::{info, warn};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{plain_client, Plain};
use crate::edge::driver::{Message, Sender};
use crate::edge::settings::{Config, Names};
use crate::interface::{CellId, EngineId, Entry, Health, Key, ListKind, ZoneId};

/// The agent is asked to answer after this at the latest. What it has to tell counts as told 2 s after that
/// wait is over, so a short one bounds how long a silent agent goes unnoticed.
const HOLD: Duration = Duration::from_secs(4);
/// The agent answers at once: one that is this late is silent, and is asked anew.
const SILENT: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(100);
const MOST_BYTES: usize = 4 << 20;

/// The list, or what has changed in it, as the agent tells it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Listing {
    /// The list's version.
    #[serde(default)]
    pub revision: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub complete: bool,
    /// The entries.
    #[serde(default)]
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

/// Follows the list for ever, at the address that `discovery` holds. Another address is turned to at once: the
/// call that is open at the old one is dropped with its connection, and as versions of the list are the old
/// agent's own, the whole list is asked for.
pub async fn watch(config: Config, mut discovery: watch::Receiver<SocketAddr>, to: Sender) {
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            // Where nobody can name another address any more, the last one is followed for good.
            Ok(()) = discovery.changed() => info!("list: asked for anew, at {}", *discovery.borrow()),
            () = follow(&config, address, &to) => {}
        }
    }
}

/// Follows the list at one address: the whole list first, then a watch that is called again at once after
/// every answer. While the agent is silent the old list stands and the agent is asked again.
async fn follow(config: &Config, address: SocketAddr, to: &Sender) {
    let client: Plain<Empty<Bytes>> = plain_client(config, 1);
    let base = format!("http://{address}/registry/instances");
    let mut revision = None;
    let mut silent = false;
    loop {
        let (uri, wait) = match revision {
            None => (base.clone(), Duration::ZERO),
            Some(from) => (format!("{base}?from={from}&hold_ms={}", HOLD.as_millis()), HOLD),
        };
        match ask(&client, &uri, Instant::now() + wait + SILENT).await {
            Ok(listing) => {
                if std::mem::take(&mut silent) {
                    info!("list: the agent answers again");
                }
                revision = Some(listing.revision);
                let how = if listing.complete { ListKind::Whole } else { ListKind::Patch };
                if listing.complete || !listing.members.is_empty() {
                    let entries = entries(&listing, &config.names);
                    info!("list: revision {}, {how:?} of {}", listing.revision, entries.len());
                    to.send(Message::Listed { how, entries });
                }
            }
            Err(what) => {
                if !std::mem::replace(&mut silent, true) {
                    warn!("list: no answer from the agent ({what}); the old list stands");
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn ask(client: &Plain<Empty<Bytes>>, uri: &str, until: Instant) -> Result<Listing, String> {
    let request = Request::get(uri).body(Empty::new()).map_err(|error| error.to_string())?;
    let answer = async {
        let response = client.request(request).await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MOST_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    };
    timeout_at(until, answer).await.unwrap_or_else(|_| Err("silence".to_owned()))
}
