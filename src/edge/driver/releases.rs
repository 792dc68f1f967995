//! Releases of what servers hold for requests: each runs in a task of its own until a server has taken it.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::edge::core::{Input, CLOSE_SEEN};
use crate::edge::driver::addresses::Addresses;
use crate::edge::driver::handle::DriverHandle;
use crate::edge::driver::messages::Message;
use crate::edge::servers::{Servers, UnansweredReleases, BEFORE_READ};
use crate::edge::stats::Figures;
use crate::interface::{RequestId, ServerId};

/// Servers that a release turns to where the holders don't answer.
const FALLBACK_SERVERS: usize = 8;
/// They are the ones of so many that answered last.
const FALLBACK_CANDIDATES: usize = 64;

/// A server that holds something for a request that goes on.
struct Release {
    holder: ServerId,
    /// The task that asks for the release; without one, the holder is still to be asked.
    task: Option<JoinHandle<()>>,
    /// Closed once a server has answered, or the task has ended.
    unanswered: watch::Receiver<()>,
}

/// A release that is asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReleaseRequest {
    pub(super) id: RequestId,
    /// The number by which its end is told.
    pub(super) number: u64,
    /// Once more after [`CLOSE_SEEN`].
    pub(super) again: bool,
    /// It is given up after [`BEFORE_READ`].
    pub(super) before_read: bool,
}

/// Releases under way, by request. See the [module](self).
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

    /// The releases of a request that are not answered yet.
    pub(super) fn unanswered(&self, id: RequestId) -> UnansweredReleases {
        let releases = self.by_request.get(&id).into_iter().flatten();
        UnansweredReleases::new(releases.map(|release| release.unanswered.clone()).collect())
    }

    /// A request is completed: its releases end by themselves.
    pub(super) fn forget(&mut self, id: RequestId) {
        self.by_request.remove(&id);
    }

    /// Aborts the releases for a request as something new is held for it: a release lets go of all that is held for a
    /// request, and one that is still under way would let go of that too. Holders that have not answered are asked again
    /// together with the new one.
    pub(super) fn abort(&mut self, id: RequestId) {
        let Some(releases) = self.by_request.get_mut(&id) else { return };
        releases.retain(|release| release.task.as_ref().is_none_or(|task| !task.is_finished()));
        for release in releases {
            if let Some(task) = release.task.take() {
                task.abort();
            }
        }
    }

    /// Asks each holder, and once more where `again` says so; where it does not answer, any other server takes the call.
    /// `transaction` is the request's id as servers know it.
    pub(super) fn start(
        &mut self,
        request: ReleaseRequest,
        transaction: &str,
        holders: &[ServerId],
        addresses: &Addresses,
    ) {
        let id = request.id;
        if request.before_read {
            self.abort(id); // what is still under way is asked for together with this one
        }
        let releases = self.by_request.entry(id).or_default();
        let mut holders = holders.to_vec();
        holders
            .extend(releases.iter().filter(|release| release.task.is_none()).map(|release| release.holder));
        releases.retain(|release| release.task.is_some());
        holders.sort_unstable();
        holders.dedup();
        let mut fallbacks = addresses.ready_but(&holders, id, FALLBACK_CANDIDATES);
        self.servers.last_answers().sort(&mut fallbacks);
        fallbacks.truncate(FALLBACK_SERVERS);
        for holder in holders {
            let first = addresses.get(holder);
            let asked: Vec<String> = first.into_iter().chain(fallbacks.clone()).cloned().collect();
            let release = self.spawn(request, holder, transaction.to_owned(), asked);
            self.by_request.entry(id).or_default().push(release);
        }
    }

    /// Starts the task that asks these servers, the holder first.
    fn spawn(
        &self,
        request: ReleaseRequest,
        holder: ServerId,
        transaction: String,
        asked: Vec<String>,
    ) -> Release {
        let ReleaseRequest { id, number, again, before_read } = request;
        let (servers, driver) = (self.servers.clone(), self.driver.clone());
        let counted = CountedRelease::new(self.figures.clone());
        let (until_answered, unanswered) = watch::channel(());
        let task = tokio::spawn(async move {
            let asking = servers.release(&transaction, &asked);
            let answered = match before_read {
                true => timeout(BEFORE_READ, asking).await.unwrap_or(false),
                false => asking.await,
            };
            drop(until_answered);
            driver.send(Message::Input(Input::ReleaseFinished { id, number, answered }));
            if again {
                sleep(Duration::from_micros(CLOSE_SEEN)).await;
                servers.release(&transaction, &asked).await;
            }
            drop(counted);
        });
        Release { holder, task: Some(task), unanswered }
    }
}

/// A release under way, as the figures count it until it is dropped.
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
