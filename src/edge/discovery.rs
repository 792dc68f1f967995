//! The watch that follows the list of servers at the discovery agent.
//!
//! The list is fetched whole, and changes of it are waited for by long polls. While the agent does not answer the old list
//! stands, and the agent is asked again: at short intervals where it runs on this machine, with a randomized backoff where
//! it is one service for all dispatchers.

mod client;
pub mod listing;

use std::net::SocketAddr;
use std::time::Duration;

use log::{debug, info, warn};
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::discovery::client::{CallError, Client};
use crate::edge::discovery::listing::{entries, Listing};
use crate::edge::driver::{DriverHandle, Message};
use crate::edge::settings::Config;
use crate::interface::{ListUpdateKind, Micros};
use dewladder_router::ListBackoff;

/// The agent is asked to answer after this at the latest. What it has to tell counts as told 6 s after the watch fell
/// silent, or 2 s after that wait is over, so a short one bounds how long a silent agent goes unnoticed.
const HOLD: Duration = Duration::from_secs(4);
/// An answer that is this late will not come: the watch is broken and is opened anew after a short pause.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(100);
/// An agent that was silent is asked for what it has at once, and given up soon: what it gets as discovery returns counts
/// as told from that moment, and a call that was lost before must not stand in the way.
const SILENT_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Each third call waits for longer, for an agent that is slow.
const LONG_CALL_EACH: u32 = 3;
/// Where the list is one service for all dispatchers, calls wait there in turn: one that is given up early has
/// still cost it, and calls are to be few.
const SHARED_HOLD: Duration = Duration::from_secs(20);
const SHARED_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Whatever else is allowed after calls that failed, a change counts as told 6 s after discovery could be reached: a
/// lost call, the wait after it and the next call's turn have to fit in (us).
pub const LONGEST_WAIT: Micros = 2_400_000;
/// The watch's own row of random numbers.
const SALT: u64 = 0x6c69_7374;

/// Follows the list for ever, at the address that `discovery` holds. Another address is turned to at once: the call that
/// is open at the old one is dropped with its connection, and as versions of the list are the old agent's own, the whole
/// list is asked for.
pub async fn watch(config: Config, mut discovery: watch::Receiver<SocketAddr>, driver: DriverHandle) {
    // A shared service is spared the whole list where changes since the one that is known will do.
    let can_resume = config.settings.must_subscribe && !config.known.members.is_empty();
    let mut revision = can_resume.then_some(config.known.revision);
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            // Where nobody can name another address any more, the last one is followed for good.
            Ok(()) = discovery.changed() => {
                info!(address:% = *discovery.borrow(); "discovery: address changed; the whole list is asked for");
            }
            () = follow(&config, address, revision.take(), &driver) => {}
        }
    }
}

/// Follows the list at one address: the whole list first, unless a version is known, then a watch that is called again at
/// once after every answer.
async fn follow(config: &Config, address: SocketAddr, revision: Option<u64>, driver: &DriverHandle) {
    let mut agent = Agent::new(config, address, revision);
    loop {
        match agent.call().await {
            Ok(listing) => {
                if let Some(update) = agent.accept(&listing, config) {
                    driver.send(update);
                }
            }
            Err(error) => {
                let pause = agent.fail(&error);
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// The agent at one address, as its calls have gone.
struct Agent {
    client: Client,
    /// It is one service for all dispatchers, not an agent on this machine.
    is_shared: bool,
    dispatchers: u32,
    /// How often each dispatcher has to ask at the least (us).
    max_list_age: Micros,
    /// The version of the list that is known.
    revision: Option<u64>,
    /// The last call failed.
    is_silent: bool,
    /// The last answer was older than the list that is known.
    was_older: bool,
    calls: u32,
    backoff: ListBackoff,
    random: Pcg64Mcg,
}

impl Agent {
    fn new(config: &Config, address: SocketAddr, revision: Option<u64>) -> Self {
        Self {
            client: Client::new(config, address),
            is_shared: config.settings.must_subscribe,
            dispatchers: config.settings.dispatcher_count,
            max_list_age: config.settings.max_list_age,
            revision,
            is_silent: false,
            was_older: false,
            calls: 0,
            backoff: ListBackoff::within(LONGEST_WAIT),
            random: Pcg64Mcg::seed_from_u64(config.seed ^ SALT),
        }
    }

    /// Asks for changes since the version that is known, or for the whole list.
    async fn call(&mut self) -> Result<Listing, CallError> {
        self.calls = self.calls.wrapping_add(1);
        let hold = self.hold();
        let wait = if self.revision.is_some() { hold } else { Duration::ZERO };
        let until = Instant::now() + wait + self.call_timeout();
        let listing = self.client.list(self.revision, hold, until).await?;
        if self.revision.is_some_and(|known| listing.revision < known) {
            return Err(CallError::Older);
        }
        Ok(listing)
    }

    /// How long the agent may wait for a change.
    fn hold(&self) -> Duration {
        match (self.is_silent, self.is_shared) {
            (true, _) => Duration::ZERO,
            (false, true) => SHARED_HOLD,
            (false, false) => HOLD,
        }
    }

    /// How long an answer may take beyond that.
    fn call_timeout(&self) -> Duration {
        match (self.is_shared, self.is_silent) {
            (true, true) => SHARED_CALL_TIMEOUT,
            (true, false) if self.revision.is_none() => SHARED_CALL_TIMEOUT,
            (false, true) if !self.calls.is_multiple_of(LONG_CALL_EACH) => SILENT_CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        }
    }

    /// Takes an answer; what the driver is to be told of it, if anything has changed.
    fn accept(&mut self, listing: &Listing, config: &Config) -> Option<Message> {
        if std::mem::take(&mut self.is_silent) {
            info!("discovery: the agent answers again");
        }
        self.backoff.answered();
        self.was_older = false;
        self.revision = Some(listing.revision);
        if !listing.complete && listing.members.is_empty() {
            return None;
        }
        let how = if listing.complete { ListUpdateKind::Full } else { ListUpdateKind::Patch };
        let entries = entries(listing, &config.names);
        info!(revision = listing.revision, kind:? = how, entries = entries.len(); "discovery: list updated");
        Some(Message::EndpointsUpdated { how, entries })
    }

    /// Notes a call that failed; how long to wait before the next one. After two answers in a row that are older than the
    /// list that is known, the whole list is asked for, and taken whatever its version: then the agent has begun anew.
    fn fail(&mut self, error: &CallError) -> Duration {
        debug!(revision:? = self.revision, reason:% = error; "discovery: call failed");
        if matches!(error, CallError::Older) && std::mem::replace(&mut self.was_older, true) {
            self.revision = None;
        }
        let is_first = !std::mem::replace(&mut self.is_silent, true);
        if is_first {
            warn!(reason:% = error; "discovery: no answer from the agent; the old list stands");
        }
        // The agent on this machine costs nobody anything; what all share must not be worn down by it. A watch that has
        // just fallen silent is opened anew at once: its time is nearly over.
        if self.is_shared && !is_first {
            let draw = self.random.next_u64();
            return Duration::from_micros(self.backoff.failed(self.dispatchers, self.max_list_age, draw));
        }
        PAUSE
    }
}
