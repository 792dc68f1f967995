//! What is learnt of servers, in tables: prefixes sent to one, whether it answers at all, and what a cold
//! one can still take. They hold decisions; the modules that `router.rs` names ask them.

use lru::LruCache;

use crate::interface::{Call, Key, Micros};

/// How long a sent prefix is believed to be kept (us), as the design page has it, and keys remembered for
/// each reader; scales with sessions that one reader sees within that time.
pub(crate) const PREFIX_EXPIRY: Micros = 60_000_000;
pub(crate) const PREFIX_KEYS: usize = 4_096;
const STRIKES_TO_REST: u32 = 2; // in a row, of one class
const LONGEST_REST: Micros = 3_200_000; // doubled up to this with each failed trial (us)

/// Prefixes sent to one server: session -> last prompt length, shared beginning -> told length.
#[derive(Debug)]
pub(crate) struct PrefixTable {
    pub(crate) sent: LruCache<Key, (u64, Micros)>,
    pub(crate) distrusted: Micros, // entries made at or before this time are not believed
    lies: usize,
}

impl PrefixTable {
    pub(crate) fn new() -> Self {
        Self { sent: LruCache::unbounded(), distrusted: 0, lies: 0 } // room is paid for as it fills
    }

    /// The longer known match, at most the prompt, and when its entry was made.
    pub(crate) fn longest(&self, call: &Call, now: Micros) -> Option<(u64, Micros)> {
        let known = |key: Option<Key>| {
            let &(tokens, made) = self.sent.peek(&key?)?;
            let fresh = made + PREFIX_EXPIRY > now && made > self.distrusted;
            fresh.then_some((tokens.min(call.prompt_tokens), made))
        };
        known(call.session).max(known(call.shared)).filter(|&(tokens, _)| tokens > 0)
    }

    /// Takes down what a server is sent now; the keys that had to make room for it, or have run out.
    pub(crate) fn record(&mut self, call: &Call, now: Micros) -> Vec<Key> {
        let shared = call.shared.map(|key| (key, call.shared_tokens.min(call.prompt_tokens)));
        for (key, tokens) in call.session.map(|key| (key, call.prompt_tokens)).into_iter().chain(shared) {
            self.sent.put(key, (tokens, now));
        }
        let over = now.saturating_sub(PREFIX_EXPIRY);
        let mut dropped = Vec::new();
        while self.sent.len() > PREFIX_KEYS || self.sent.peek_lru().is_some_and(|(_, sent)| sent.1 <= over) {
            dropped.extend(self.sent.pop_lru().map(|(key, _)| key));
        }
        dropped
    }

    /// A broken promise: entries as old as that one are not believed any more (a server that drops its least
    /// recently used text); a second in a row: nothing sent before that read is (it has forgotten all).
    pub(crate) fn judge(&mut self, kept: bool, made: Micros, sent: Micros) {
        self.lies = if kept { 0 } else { self.lies + 1 };
        let until = [0, made, sent.saturating_sub(1)][self.lies.min(2)];
        self.distrusted = self.distrusted.max(until);
    }
}

/// Whether a server answers at all. Two strikes in a row put it to rest; then one request at a time tries it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standing {
    strikes: u32,
    rests: u32,
    rest_until: Micros,
}

impl Standing {
    pub(crate) fn takes_work(&self, now: Micros, idle: bool) -> bool {
        self.strikes < STRIKES_TO_REST || (now >= self.rest_until && idle)
    }

    pub(crate) fn strike(&mut self, now: Micros, first: Micros, lot: u64) {
        self.strikes += 1;
        if self.strikes >= STRIKES_TO_REST && now >= self.rest_until {
            let rest = (first << self.rests.min(8)).min(LONGEST_REST.max(first));
            self.rest_until = now + rest + lot % (rest / 4);
            self.rests += 1;
        }
    }
}

/// This front's part of what a cold server can take. `debt` is what it was sent, less what has been earned
/// since: a leaky bucket one window deep. It starts at a random level: fronts must not all send at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ColdBudget {
    debt: f64,
    since: Micros,
}

impl ColdBudget {
    /// One that has `debt` at once.
    pub(crate) fn owing(debt: f64, since: Micros) -> Self {
        Self { debt, since }
    }

    pub(crate) fn debt(&self, permit: f64, now: Micros, window: Micros) -> f64 {
        (self.debt - (now - self.since) as f64 / window.max(1) as f64 * permit).max(0.0)
    }

    pub(crate) fn allows(&self, permit: f64, now: Micros, window: Micros) -> bool {
        self.debt(permit, now, window) + 1.0 <= permit.max(1.0)
    }

    pub(crate) fn spend(&mut self, permit: f64, now: Micros, window: Micros) {
        (self.debt, self.since) = (self.debt(permit, now, window) + 1.0, now);
    }
}
