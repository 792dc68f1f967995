//! Keeps the list of servers up to date with the discovery agent.
//!
//! The whole list is fetched first; long polls then wait for changes. While the agent does not answer, the last list
//! stays in use and the call is retried: at short intervals if the agent runs on this machine, with a randomized
//! backoff if it is a service shared by all dispatchers.

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

/// The longest time that the agent may hold a long poll open. A dispatcher is expected to know a change 6 s after the
/// agent stopped answering, or 2 s after the end of the poll, so a short poll limits how long an unresponsive agent
/// goes unnoticed.
const HOLD: Duration = Duration::from_secs(4);
/// Time limit for an answer, beyond the hold time of a long poll. After that the call has failed, and is repeated
/// after a short pause.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between a failed call and the next one, where no backoff applies.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time limit for an answer of an agent on this machine after a failed call, when it is asked to answer at once.
/// Short: once discovery is available again, the dispatcher is expected to know its changes from that moment, and
/// waiting for a call that was lost before would delay them.
const RETRY_CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// After a failure, each third call to an agent on this machine has the full [`CALL_TIMEOUT`], in case it is slow
/// rather than unavailable.
const LONG_CALL_INTERVAL: u32 = 3;
/// Like [`HOLD`], for a service shared by all dispatchers. It queues calls, and a call that is abandoned early still
/// costs it time: calls should be few, so both limits are longer.
const SHARED_HOLD: Duration = Duration::from_secs(20);
/// Time limit for an answer of a shared service that is asked to answer at once: for the whole list, or after a
/// failed call.
const SHARED_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The longest backoff between calls to a shared service (us). A dispatcher is expected to know a change 6 s after
/// discovery became available again: a lost call, the wait after it and the next call's time in the queue have to fit
/// into that.
pub const MAX_BACKOFF: Micros = 2_400_000;
/// Gives this task a random sequence of its own: all generators are derived from one seed.
const SEED_SALT: u64 = 0x6c69_7374;

/// Follows the list at the address in `discovery`; never returns. When the address changes, the open call is dropped
/// with its connection, and the whole list is requested from the new address, because revisions are only comparable
/// within one agent.
pub async fn watch(config: Config, mut discovery: watch::Receiver<SocketAddr>, driver: DriverHandle) {
    // To save a shared service work, only the changes since the known revision are requested.
    let can_resume = config.settings.must_subscribe && !config.known.members.is_empty();
    let mut revision = can_resume.then_some(config.known.revision);
    loop {
        let address = *discovery.borrow_and_update();
        tokio::select! {
            // If the sender has been dropped, this branch is disabled and the last address stays.
            Ok(()) = discovery.changed() => {
                info!(address:% = *discovery.borrow(); "discovery: address changed; requesting the whole list");
            }
            () = follow(&config, address, revision.take(), &driver) => {}
        }
    }
}

/// Follows the list at one address; never returns. Requests the whole list first, unless `revision` is known, and
/// then polls for changes, again as soon as each answer arrives.
async fn follow(config: &Config, address: SocketAddr, revision: Option<u64>, driver: &DriverHandle) {
    let mut agent = Agent::new(config, address, revision);
    loop {
        match agent.call().await {
            Ok(listing) => {
                if let Some(update) = agent.record_answer(&listing, config) {
                    driver.send(update);
                }
            }
            Err(error) => {
                let pause = agent.record_failure(&error);
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// The discovery agent at one address, and the state of the calls to it.
struct Agent {
    client: Client,
    /// Whether it is a service shared by all dispatchers, rather than an agent on this machine.
    is_shared: bool,
    dispatchers: u32,
    /// Each dispatcher must ask for the list at least this often (us); 0 if the settings set no limit.
    max_list_age: Micros,
    /// The revision of the last list received; `None` if the whole list has to be requested.
    revision: Option<u64>,
    /// Whether the last call failed.
    last_call_failed: bool,
    /// Whether the last answer that was received had an older revision than the known list.
    last_answer_was_older: bool,
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
            last_call_failed: false,
            last_answer_was_older: false,
            calls: 0,
            backoff: ListBackoff::within(MAX_BACKOFF),
            random: Pcg64Mcg::seed_from_u64(config.seed ^ SEED_SALT),
        }
    }

    /// Requests the changes since the known revision, or the whole list if none is known.
    async fn call(&mut self) -> Result<Listing, CallError> {
        self.calls = self.calls.wrapping_add(1);
        let hold = self.hold();
        let poll_time = if self.revision.is_some() { hold } else { Duration::ZERO };
        let until = Instant::now() + poll_time + self.call_timeout();
        let listing = self.client.list(self.revision, hold, until).await?;
        if self.revision.is_some_and(|known| listing.revision < known) {
            return Err(CallError::OlderRevision);
        }
        Ok(listing)
    }

    /// How long the agent may hold a long poll open while nothing changes.
    fn hold(&self) -> Duration {
        match (self.last_call_failed, self.is_shared) {
            (true, _) => Duration::ZERO,
            (false, true) => SHARED_HOLD,
            (false, false) => HOLD,
        }
    }

    /// Time limit for an answer, in addition to the hold time of a long poll.
    fn call_timeout(&self) -> Duration {
        match (self.is_shared, self.last_call_failed) {
            (true, true) => SHARED_CALL_TIMEOUT,
            (true, false) if self.revision.is_none() => SHARED_CALL_TIMEOUT,
            (false, true) if !self.calls.is_multiple_of(LONG_CALL_INTERVAL) => RETRY_CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        }
    }

    /// Records an answer. Returns the message for the driver, or `None` if nothing has changed.
    fn record_answer(&mut self, listing: &Listing, config: &Config) -> Option<Message> {
        if std::mem::take(&mut self.last_call_failed) {
            info!("discovery: the agent answers again");
        }
        self.backoff.answered();
        self.last_answer_was_older = false;
        self.revision = Some(listing.revision);
        if !listing.complete && listing.members.is_empty() {
            return None;
        }
        let kind = if listing.complete { ListUpdateKind::Full } else { ListUpdateKind::Patch };
        let entries = entries(listing, &config.names);
        info!(revision = listing.revision, kind:? = kind, entries = entries.len(); "discovery: list updated");
        Some(Message::EndpointsUpdated { kind, entries })
    }

    /// Records a failed call, and returns how long to wait before the next one. Two answers in a row with an older
    /// revision than the known one mean that the agent was restarted: the whole list is then requested, and accepted
    /// with any revision.
    fn record_failure(&mut self, error: &CallError) -> Duration {
        debug!(revision:? = self.revision, reason:% = error; "discovery: call failed");
        if matches!(error, CallError::OlderRevision)
            && std::mem::replace(&mut self.last_answer_was_older, true)
        {
            self.revision = None;
        }
        let is_first_failure = !std::mem::replace(&mut self.last_call_failed, true);
        if is_first_failure {
            warn!(reason:% = error; "discovery: call to the agent failed; the last known list stays in use");
        }
        // Only a shared service must be protected from frequent retries. The first failure is retried soon even
        // there: a failed long poll has used up most of the time within which a change must be received.
        if self.is_shared && !is_first_failure {
            let draw = self.random.next_u64();
            return Duration::from_micros(self.backoff.failed(self.dispatchers, self.max_list_age, draw));
        }
        RETRY_PAUSE
    }
}
