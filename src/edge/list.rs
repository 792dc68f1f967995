//! The watch that follows the list of servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::Request;
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{plain_client, Plain};
use crate::edge::driver::{Message, Sender};
use crate::edge::listing::{entries, Listing};
use crate::edge::settings::Config;
use crate::interface::ListKind;

/// The agent is asked to answer after this at the latest. What it has to tell counts as told 2 s after that
/// wait is over, so a short one bounds how long a silent agent goes unnoticed.
const HOLD: Duration = Duration::from_secs(4);
/// The agent answers at once: one that is this late is silent, and is asked anew.
const SILENT: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(100);
const MOST_BYTES: usize = 4 << 20;

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
