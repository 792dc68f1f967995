//! Whether a server has been heard from over connections that were open at some time. A connection to a machine that is
//! cut off says nothing of it: the system goes on taking bytes, and where something between acknowledges them not even
//! `TCP_USER_TIMEOUT` runs out. What comes over any of its open connections proves that the machine can be reached.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// When something last came over a connection.
#[derive(Debug)]
struct Heard {
    opened: Instant,
    last: Mutex<Instant>,
}

impl Heard {
    fn last(&self) -> MutexGuard<'_, Instant> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type ByAddress = HashMap<String, Vec<Arc<Heard>>>;

/// The open connections to all servers, by address.
#[derive(Clone, Debug, Default)]
pub struct Liveness(Arc<Mutex<ByAddress>>);

impl Liveness {
    fn all(&self) -> MutexGuard<'_, ByAddress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection to that address is open, for as long as the result is kept.
    #[must_use]
    pub fn opened(&self, address: &str) -> OpenConnection {
        let now = Instant::now();
        let heard = Arc::new(Heard { opened: now, last: Mutex::new(now) });
        self.all().entry(address.to_owned()).or_default().push(heard.clone());
        OpenConnection { heard, address: address.to_owned(), of: self.clone() }
    }

    /// Whether something has come from that address since `then`, over a connection that was open then.
    #[must_use]
    pub fn heard_since(&self, address: &str, then: Instant) -> bool {
        let all = self.all();
        let mut open = all.get(address).into_iter().flatten();
        open.any(|heard| heard.opened <= then && *heard.last() > then)
    }
}

/// A connection while it is open.
#[derive(Debug)]
pub struct OpenConnection {
    heard: Arc<Heard>,
    address: String,
    of: Liveness,
}

impl OpenConnection {
    /// Something has come over it.
    pub fn hears(&self) {
        *self.heard.last() = Instant::now();
    }
}

impl Drop for OpenConnection {
    /// Nothing is remembered of addresses to which no connection is open: servers come under new ones all day.
    fn drop(&mut self) {
        let mut all = self.of.all();
        let Some(open) = all.get_mut(&self.address) else { return };
        open.retain(|one| !Arc::ptr_eq(one, &self.heard));
        if open.is_empty() {
            all.remove(&self.address);
        }
    }
}
