//! When servers last answered anything. Where most of them have fallen silent together, a call that any server takes goes
//! first to those that have answered lately.

use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;

/// Servers that are remembered, those that answered last.
const MAX_SERVERS: NonZeroUsize = NonZeroUsize::new(1_024).expect("above 0");
/// Answers that are less old than this are alike: they say that the server ran just now.
const JUST_NOW: Duration = Duration::from_millis(300);
/// An older answer than this says nothing any more.
const RECENT: Duration = Duration::from_secs(3);

/// How long ago a server answered, as far as that matters. Those that are to be preferred come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Answered {
    JustNow,
    Recently,
    Not,
}

/// By the servers' addresses. See the [module](self).
#[derive(Clone, Debug)]
pub struct LastAnswers(Arc<Mutex<LruCache<String, Instant>>>);

impl Default for LastAnswers {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(LruCache::new(MAX_SERVERS))))
    }
}

impl LastAnswers {
    fn table(&self) -> MutexGuard<'_, LruCache<String, Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A server has answered just now.
    pub fn record(&self, address: &str) {
        let (mut table, now) = (self.table(), Instant::now());
        match table.get_mut(address) {
            Some(at) => *at = now,
            None => drop(table.put(address.to_owned(), now)),
        }
    }

    /// Sorts addresses so that servers that have answered lately come first; their order is kept otherwise.
    pub fn sort(&self, addresses: &mut [&String]) {
        let (table, now) = (self.table(), Instant::now());
        addresses.sort_by_cached_key(|address| match table.peek(address.as_str()) {
            Some(&at) if now < at + JUST_NOW => Answered::JustNow,
            Some(&at) if now < at + RECENT => Answered::Recently,
            _ => Answered::Not,
        });
    }
}
