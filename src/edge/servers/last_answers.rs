//! The time of the last answer of each server, whatever the answer was. A call that any server can handle is sent
//! first to the servers that answered most recently, because most of the others may have stopped answering at the
//! same time.

use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lru::LruCache;
use tokio::time::Instant;

/// Maximum number of servers in the table; the one whose answer is the oldest is evicted first.
const MAX_SERVERS: NonZeroUsize = NonZeroUsize::new(1_024).expect("above 0");
/// Answers younger than this rank the same: each shows that the server is running now.
const JUST_NOW: Duration = Duration::from_millis(300);
/// An answer older than this says nothing about the server.
const RECENT: Duration = Duration::from_secs(3);

/// The age class of the last answer of a server. Preferred servers sort first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AnswerAge {
    JustNow,
    Recently,
    LongAgoOrNever,
}

/// The time of the last answer of each server, by address. Clones share one table. See the [module](self).
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

    /// Records that a server has answered now.
    pub fn record(&self, address: &str) {
        let (mut table, now) = (self.table(), Instant::now());
        match table.get_mut(address) {
            Some(at) => *at = now,
            None => drop(table.put(address.to_owned(), now)),
        }
    }

    /// Sorts addresses by the age class of their last answers, the most recent first. Addresses of one class
    /// keep their order.
    pub fn sort_by_recency(&self, addresses: &mut [&String]) {
        let (table, now) = (self.table(), Instant::now());
        addresses.sort_by_cached_key(|address| match table.peek(address.as_str()) {
            Some(&at) if now < at + JUST_NOW => AnswerAge::JustNow,
            Some(&at) if now < at + RECENT => AnswerAge::Recently,
            _ => AnswerAge::LongAgoOrNever,
        });
    }
}
