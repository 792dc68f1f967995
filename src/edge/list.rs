//! The watch that follows the list of servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper::Request;
use log::{debug, info, warn};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;
use tokio::time::{timeout_at, Instant};

use crate::edge::connections::{plain_client, Plain};
use crate::edge::driver::{DriverHandle, Message};
use crate::edge::listing::{entries, Answer, Listing};
use crate::edge::settings::Config;
use crate::interface::{ListUpdateKind, Micros};
use dewladder_router::ListBackoff;

/// The agent is asked to answer after this at the latest. What it has to tell counts as told 6 s after the watch fell
/// silent, or 2 s after that wait is over, so a short one bounds how long a silent agent goes unnoticed.
const HOLD: Duration = Duration::from_secs(4);
/// An answer that is this late will not come: the watch is broken and is opened anew after a short pause.
const SILENT: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(100);
/// An agent that was silent is asked for what it has at once, and given up soon: what it gets as discovery returns counts
/// as told from that moment, and a call that was lost before must not stand in the way. Each third call waits for longer,
/// for an agent that is slow.
const SILENT_STILL: Duration = Duration::from_millis(300);
const PATIENT: u32 = 3;
/// Where the list is one service for all dispatchers, calls wait there in turn: one that is given up early has
/// still cost it, and calls are to be few.
const HOLD_SHARED: Duration = Duration::from_secs(20);
const SILENT_STILL_SHARED: Duration = Duration::from_millis(2_500);
/// Whatever else is allowed after calls that failed, a change counts as told 6 s after discovery could be reached: a
/// lost call, the wait after it and the next call's turn have to fit in (us).
pub const LONGEST_WAIT: Micros = 2_400_000;
/// The list's own row of random numbers.
const SALT: u64 = 0x6c69_7374;
const MOST_BYTES: usize = 4 << 20;

/// Follows the list for ever, at the address that `discovery` holds. Another address is turned to at once: the
/// call that is open at the old one is dropped with its connection, and as versions of the list are the old
/// agent's own, the whole list is asked for.
pub async fn watch(config: Config, mut discovery: watch::Receiver<SocketAddr>, to: DriverHandle) {
    // A shared service is spared the whole list where changes since the one that is known will do.
    let mut since = Some(config.known.revision)
        .filter(|_| config.settings.must_subscribe && !config.known.members.is_empty());
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            // Where nobody can name another address any more, the last one is followed for good.
            Ok(()) = discovery.changed() => info!("list: asked for anew, at {}", *discovery.borrow()),
            () = follow(&config, address, since.take(), &to) => {}
        }
    }
}

/// Follows the list at one address: the whole list first, unless a version is known, then a watch that is
/// called again at once after every answer. While the agent is silent the old list stands and the agent is asked again.
async fn follow(config: &Config, address: SocketAddr, mut revision: Option<u64>, to: &DriverHandle) {
    let (dispatchers, max_list_age) = (config.settings.dispatcher_count, config.settings.max_list_age);
    let shared = config.settings.must_subscribe;
    let (hold, still) = if shared { (HOLD_SHARED, SILENT_STILL_SHARED) } else { (HOLD, SILENT_STILL) };
    let mut asking = ListBackoff::within(LONGEST_WAIT);
    let mut lots = Pcg64Mcg::seed_from_u64(config.seed ^ SALT);
    let client: Plain<Empty<Bytes>> = plain_client(config, 1);
    let base = format!("http://{address}/registry/instances");
    let (mut silent, mut older, mut calls) = (false, false, 0u32);
    loop {
        let hold = if silent { Duration::ZERO } else { hold };
        calls = calls.wrapping_add(1);
        let late = match (shared, silent) {
            (true, true) => still,
            (true, false) if revision.is_none() => still,
            (false, true) if !calls.is_multiple_of(PATIENT) => still,
            _ => SILENT,
        };
        let uri = match revision {
            None => base.clone(),
            Some(from) => format!("{base}?from={from}&hold_ms={}", hold.as_millis()),
        };
        let wait = if revision.is_some() { hold } else { Duration::ZERO };
        let answer = ask(&client, &uri, Instant::now() + wait + late).await;
        match answer.and_then(|listing| newer(listing, revision)) {
            Ok(listing) => {
                if std::mem::take(&mut silent) {
                    info!("list: the agent answers again");
                }
                asking.answered();
                older = false;
                revision = Some(listing.revision);
                let how = if listing.complete { ListUpdateKind::Full } else { ListUpdateKind::Patch };
                if listing.complete || !listing.members.is_empty() {
                    let entries = entries(&listing, &config.names);
                    info!("list: revision {}, {how:?} of {}", listing.revision, entries.len());
                    to.send(Message::EndpointsUpdated { how, entries });
                }
            }
            Err(what) => {
                debug!("list: {uri}: {what}");
                if what == OLDER && std::mem::replace(&mut older, true) {
                    revision = None;
                }
                let first = !std::mem::replace(&mut silent, true);
                if first {
                    warn!("list: no answer from the agent ({what}); the old list stands");
                }
                // The agent on this machine costs nobody anything; what all share must not be worn down by it. A
                // watch that has just fallen silent is opened anew at once: its time is nearly over.
                let wait = match shared && !first {
                    true => Duration::from_micros(asking.failed(dispatchers, max_list_age, lots.next_u64())),
                    false => PAUSE,
                };
                tokio::time::sleep(wait).await;
            }
        }
    }
}

const OLDER: &str = "an older list than the one that is known";

/// The answer, if it is no older than the list that is known. After two in a row that are, the whole list is asked for,
/// and taken whatever its revision: then the agent has begun anew itself.
fn newer(listing: Listing, known: Option<u64>) -> Result<Listing, String> {
    if known.is_some_and(|known| listing.revision < known) {
        return Err(OLDER.to_owned());
    }
    Ok(listing)
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
        let answer = serde_json::from_slice::<Answer>(&body).map_err(|error| error.to_string())?;
        answer.listing().map_err(str::to_owned)
    };
    timeout_at(until, answer).await.unwrap_or_else(|_| Err("silence".to_owned()))
}
