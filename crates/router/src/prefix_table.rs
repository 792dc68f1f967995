//! The prompt prefixes that one server is believed to have in its cache: what it was recently sent, less what
//! its answers have disproved.

use lru::LruCache;

use crate::interface::{Key, Micros, RequestInfo};

/// How long a sent prefix is believed to stay cached (us). The design fixes this time at 60 s.
pub(crate) const PREFIX_EXPIRY_US: Micros = 60_000_000;
/// Keys remembered for each server. The number scales with the sessions that one reader sees within the
/// expiry.
pub(crate) const PREFIX_KEYS: usize = 4_096;
/// Consecutive answers without the expected prefix after which the server's cache is taken to be empty.
const MAX_MISSES: usize = 2;

/// A prefix that a server was sent. Ordered by length first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CachedPrefix {
    /// Length in tokens.
    pub(crate) tokens: u64,
    /// When it was last sent.
    pub(crate) sent_at: Micros,
}

/// Prefixes sent to one server. A session's entry has the length of its last prompt; a shared prefix has the
/// length given in the request.
#[derive(Debug)]
pub(crate) struct PrefixTable {
    pub(crate) sent: LruCache<Key, CachedPrefix>,
    /// Entries sent at or before this time are no longer believed.
    pub(crate) invalid_until: Micros,
    consecutive_misses: usize,
}

impl PrefixTable {
    /// An empty table. It allocates memory as it fills.
    pub(crate) fn new() -> Self {
        Self { sent: LruCache::unbounded(), invalid_until: 0, consecutive_misses: 0 }
    }

    /// The longest prefix of the request that the server is believed to have cached, at most the whole
    /// prompt.
    pub(crate) fn longest_match(&self, info: &RequestInfo, now: Micros) -> Option<CachedPrefix> {
        let believed = |key: Option<Key>| {
            let &CachedPrefix { tokens, sent_at } = self.sent.peek(&key?)?;
            let valid = sent_at + PREFIX_EXPIRY_US > now && sent_at > self.invalid_until;
            valid.then_some(CachedPrefix { tokens: tokens.min(info.prompt_tokens), sent_at })
        };
        believed(info.session).max(believed(info.shared)).filter(|prefix| prefix.tokens > 0)
    }

    /// Records the prefixes of a request that is sent to the server now. Returns the keys that were evicted
    /// or have expired.
    pub(crate) fn record(&mut self, info: &RequestInfo, now: Micros) -> Vec<Key> {
        let session = info.session.map(|key| (key, info.prompt_tokens));
        let shared = info.shared.map(|key| (key, info.shared_tokens.min(info.prompt_tokens)));
        for (key, tokens) in session.into_iter().chain(shared) {
            self.sent.put(key, CachedPrefix { tokens, sent_at: now });
        }
        let expired_at = now.saturating_sub(PREFIX_EXPIRY_US);
        let is_expired = |prefix: &CachedPrefix| prefix.sent_at <= expired_at;
        let mut dropped = Vec::new();
        while self.sent.len() > PREFIX_KEYS
            || self.sent.peek_lru().is_some_and(|(_, prefix)| is_expired(prefix))
        {
            dropped.extend(self.sent.pop_lru().map(|(key, _)| key));
        }
        dropped
    }

    /// Records whether an answer confirmed the expected prefix, for an attempt sent at `attempt_sent_at`.
    ///
    /// After one miss, entries as old as the expected one or older are no longer believed, since the server
    /// evicts its least recently used text. After a second consecutive miss, no entry from before the attempt
    /// is believed: the cache was emptied.
    pub(crate) fn record_lookup(&mut self, found: bool, expected: CachedPrefix, attempt_sent_at: Micros) {
        self.consecutive_misses = if found { 0 } else { self.consecutive_misses + 1 };
        let invalid_until = match self.consecutive_misses {
            0 => 0,
            misses if misses < MAX_MISSES => expected.sent_at,
            _ => attempt_sent_at.saturating_sub(1),
        };
        self.invalid_until = self.invalid_until.max(invalid_until);
    }
}
