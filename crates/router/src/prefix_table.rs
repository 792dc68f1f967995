//! The prompt prefixes that one server is believed to keep in its cache: what it was sent lately, less what
//! its answers have disproved.

use lru::LruCache;

use crate::interface::{Key, Micros, RequestInfo};

/// How long a sent prefix is believed to be kept (us), as the design page has it.
pub(crate) const PREFIX_EXPIRY_US: Micros = 60_000_000;
/// Keys remembered for each server; scales with sessions that one reader sees within the expiry.
pub(crate) const PREFIX_KEYS: usize = 4_096;
/// Answers in a row without the expected prefix after which the server counts as emptied.
const MAX_MISSES: usize = 2;

/// A prefix that a server was sent. Ordered by its length first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CachedPrefix {
    /// Length in tokens.
    pub(crate) tokens: u64,
    /// When it was sent last.
    pub(crate) sent_at: Micros,
}

/// Prefixes sent to one server: of a session, the length of its last prompt; of a shared prefix, the length
/// that requests tell.
#[derive(Debug)]
pub(crate) struct PrefixTable {
    pub(crate) sent: LruCache<Key, CachedPrefix>,
    /// Entries made at or before this time are not believed.
    pub(crate) invalid_until: Micros,
    consecutive_misses: usize,
}

impl PrefixTable {
    /// An empty one. Its memory grows as it fills.
    pub(crate) fn new() -> Self {
        Self { sent: LruCache::unbounded(), invalid_until: 0, consecutive_misses: 0 }
    }

    /// The longest prefix of the request that is believed to be there, at most the prompt.
    pub(crate) fn longest_match(&self, info: &RequestInfo, now: Micros) -> Option<CachedPrefix> {
        let believed = |key: Option<Key>| {
            let &CachedPrefix { tokens, sent_at } = self.sent.peek(&key?)?;
            let valid = sent_at + PREFIX_EXPIRY_US > now && sent_at > self.invalid_until;
            valid.then_some(CachedPrefix { tokens: tokens.min(info.prompt_tokens), sent_at })
        };
        believed(info.session).max(believed(info.shared)).filter(|prefix| prefix.tokens > 0)
    }

    /// Records what a server is sent now. Returns the keys that had to make room for it or have expired.
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

    /// Takes what an answer shows of the prefix that was expected there (`expected`), for an attempt sent at
    /// `attempt_sent_at`. After one miss, entries as old as that one are not believed any more: the server
    /// drops its least recently used text. After a second one in a row, nothing sent before that attempt is:
    /// it was emptied.
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
