//! Releases of the state that servers hold for requests. Each runs in its own task until a server has answered
//! it, or its time is over.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::edge::core::{Input, CLOSE_PROPAGATION_TIME};
use crate::edge::driver::addresses::Addresses;
use crate::edge::driver::handle::DriverHandle;
use crate::edge::driver::messages::Message;
use crate::edge::servers::{Servers, UnansweredReleases, BEFORE_READ_TIMEOUT};
use crate::edge::stats::Figures;
use crate::interface::{RequestId, ServerId};

/// Number of other servers that a release is sent to if the holder does not answer.
const FALLBACK_SERVERS: usize = 8;
/// The fallback servers are those of this many candidates that answered last.
const FALLBACK_CANDIDATES: usize = 64;

/// The release of the state that one server holds for an open request.
struct Release {
    holder: ServerId,
    /// The task that sends the release; `None` once it was aborted, so that the holder is asked again by the
    /// next release.
    task: Option<JoinHandle<()>>,
    /// Closed once a server has answered, or the task has ended.
    unanswered: watch::Receiver<()>,
}

/// The properties of a release that the reducer has requested.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReleaseRequest {
    pub(super) id: RequestId,
    /// The number under which the end of the release is reported to the reducer.
    pub(super) number: u64,
    /// Whether the release is sent a second time after [`CLOSE_PROPAGATION_TIME`].
    pub(super) again: bool,
    /// Whether the release is aborted after [`BEFORE_READ_TIMEOUT`], as a read waits for it.
    pub(super) before_read: bool,
}

/// The releases in flight, by request id. See the [module](self).
pub(super) struct Releases {
    servers: Servers,
    driver: DriverHandle,
    figures: Figures,
    by_request: HashMap<RequestId, Vec<Release>>,
}

impl Releases {
    pub(super) fn new(servers: Servers, driver: DriverHandle, figures: Figures) -> Self {
        Self { servers, driver, figures, by_request: HashMap::new() }
    }

    /// The releases of a request that no server has answered yet.
    pub(super) fn unanswered(&self, id: RequestId) -> UnansweredReleases {
        let releases = self.by_request.get(&id).into_iter().flatten();
        UnansweredReleases::new(releases.map(|release| release.unanswered.clone()).collect())
    }

    /// Forgets the releases of a completed request. Their tasks run on until they end by themselves.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.by_request.remove(&id);
    }

    /// Aborts the releases of a request because new state is held for it. A release frees all state that is
    /// held for a request, so one still in flight would free the new state too. The holders that have not
    /// answered are asked again together with the new holder.
    pub(super) fn abort(&mut self, id: RequestId) {
        let Some(releases) = self.by_request.get_mut(&id) else { return };
        releases.retain(|release| release.task.as_ref().is_none_or(|task| !task.is_finished()));
        for release in releases {
            if let Some(task) = release.task.take() {
                task.abort();
            }
        }
    }

    /// Sends a release to each holder, and a second time if `again` is set. If a holder does not answer, the
    /// release is sent to other servers, any of which can free the state. `transaction` is the request id in
    /// the form that servers know.
    pub(super) fn start(
        &mut self,
        request: ReleaseRequest,
        transaction: &str,
        holders: &[ServerId],
        addresses: &Addresses,
    ) {
        let id = request.id;
        if request.before_read {
            self.abort(id); // their holders are added to those of this release
        }
        let releases = self.by_request.entry(id).or_default();
        let mut holders = holders.to_vec();
        holders
            .extend(releases.iter().filter(|release| release.task.is_none()).map(|release| release.holder));
        releases.retain(|release| release.task.is_some());
        holders.sort_unstable();
        holders.dedup();
        let mut fallbacks = addresses.ready_except(&holders, id, FALLBACK_CANDIDATES);
        self.servers.last_answers().sort_by_recency(&mut fallbacks);
        fallbacks.truncate(FALLBACK_SERVERS);
        for holder in holders {
            let holder_address = addresses.get(holder);
            let targets: Vec<String> = holder_address.into_iter().chain(fallbacks.clone()).cloned().collect();
            let release = self.spawn(request, holder, transaction.to_owned(), targets);
            self.by_request.entry(id).or_default().push(release);
        }
    }

    /// Spawns the task that sends a release to the target servers, the holder first.
    fn spawn(
        &self,
        request: ReleaseRequest,
        holder: ServerId,
        transaction: String,
        targets: Vec<String>,
    ) -> Release {
        let ReleaseRequest { id, number, again, before_read } = request;
        let (servers, driver) = (self.servers.clone(), self.driver.clone());
        let counted = CountedRelease::new(self.figures.clone());
        let (pending_answer, unanswered) = watch::channel(());
        let task = tokio::spawn(async move {
            let answer = servers.release(&transaction, &targets);
            let answered = match before_read {
                true => timeout(BEFORE_READ_TIMEOUT, answer).await.unwrap_or(false),
                false => answer.await,
            };
            drop(pending_answer);
            driver.send(Message::Input(Input::ReleaseFinished { id, number, answered }));
            if again {
                sleep(Duration::from_micros(CLOSE_PROPAGATION_TIME)).await;
                servers.release(&transaction, &targets).await;
            }
            drop(counted);
        });
        Release { holder, task: Some(task), unanswered }
    }
}

/// Counts a release in flight in the figures until it is dropped.
struct CountedRelease(Figures);

impl CountedRelease {
    fn new(figures: Figures) -> Self {
        figures.record().releases += 1;
        Self(figures)
    }
}

impl Drop for CountedRelease {
    fn drop(&mut self) {
        self.0.record().releases -= 1;
    }
}
