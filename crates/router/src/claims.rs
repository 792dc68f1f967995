//! What fronts tell one another of servers, where the settings allow it: how long work queues at one. A claim
//! is ten bytes, so that its price stays small however many hear it. One that is malformed, of another version
//! or late is not taken for anything.

use std::collections::BTreeMap;

use crate::interface::{Action, EngineId, Micros, Settings};

const VERSION: u8 = 1;
const BYTES: usize = 10;
/// Older claims tell of a queue that is another by now; a little ahead is how far clocks may differ (us).
const OLDEST: Micros = 1_500_000;
const AHEAD: Micros = 200_000;

/// A front's word that work queued at a server, as of a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// The server.
    pub engine: EngineId,
    /// For how long work queued there (us; whole milliseconds, 65.535 s at the most).
    pub queued: Micros,
    /// When that was seen (us; whole milliseconds).
    pub at: Micros,
}

impl Claim {
    /// As it is sent: version, server, queue in ms, time in ms (its lowest 16 bits), check.
    #[must_use]
    pub fn to_bytes(&self) -> [u8; BYTES] {
        let mut bytes = [0; BYTES];
        bytes[0] = VERSION;
        bytes[1..5].copy_from_slice(&self.engine.0.to_le_bytes());
        let queued = u16::try_from(self.queued / 1_000).unwrap_or(u16::MAX);
        bytes[5..7].copy_from_slice(&queued.to_le_bytes());
        bytes[7..9].copy_from_slice(&((self.at / 1_000) as u16).to_le_bytes());
        bytes[9] = check(&bytes);
        bytes
    }

    /// Reads one that has come at `now`; `None` for what is to be dropped.
    #[must_use]
    pub fn read(bytes: &[u8], now: Micros) -> Option<Self> {
        let bytes: &[u8; BYTES] = bytes.try_into().ok()?;
        if bytes[0] != VERSION || bytes[9] != check(bytes) {
            return None;
        }
        let engine = EngineId(u32::from_le_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]));
        let queued = Micros::from(u16::from_le_bytes([bytes[5], bytes[6]])) * 1_000;
        // The lowest bits of its time, against those of a moment that lies as far ahead as clocks may differ.
        let from = (now + AHEAD) / 1_000;
        let age = Micros::from((from as u16).wrapping_sub(u16::from_le_bytes([bytes[7], bytes[8]]))) * 1_000;
        let fresh = age <= OLDEST + AHEAD;
        fresh.then(|| Self { engine, queued, at: (from * 1_000).saturating_sub(age).min(now) })
    }
}

/// Differs wherever one bit does, and is not 0 for what holds nothing.
fn check(bytes: &[u8; BYTES]) -> u8 {
    bytes[..9].iter().fold(0xa5, |sum: u8, byte| sum.rotate_left(1) ^ byte)
}

/// What became of claims since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Told to the others.
    pub told: u64,
    /// Heard and taken.
    pub heard: u64,
    /// Heard and dropped: malformed, of another version, late, or of a server that the list does not have.
    pub dropped: u64,
}

/// News is what differs from what all believe by this share of the shortest aim, and twofold.
const NEWS_SHARE_OF_AIM: f64 = 0.15;
/// A believed queue shrinks by so much of the time that goes by: others go on sending there.
const FADES: f64 = 0.5;
/// For each call of its own, a front tells as much as costs this share of the result; so much is saved up.
const MAY_COST: f64 = 0.004;
const MOST_SAVED: f64 = 4.0;

/// What all fronts believe of queues at servers, and when to tell the others something new. A front that sees
/// few requests would find a buried or sluggish server at the price of one, and a hundred such fronts at the
/// price of each. What is believed only lowers preference, and fades.
#[derive(Debug)]
pub(crate) struct Hearsay {
    believed: BTreeMap<EngineId, (f64, Micros)>,
    seen: Vec<(EngineId, f64)>, // in this step (us)
    allowed: bool,
    step: f64,
    for_each_call: f64,
    saved: f64,
    counts: ClaimCounts,
}

impl Hearsay {
    pub(crate) fn new(settings: &Settings) -> Self {
        let heard_by = f64::from(settings.balancers.saturating_sub(1));
        let price = settings.peer_price * heard_by * BYTES as f64 / 256.0;
        Self {
            believed: BTreeMap::new(),
            seen: Vec::new(),
            allowed: settings.peers && settings.balancers > 1,
            step: NEWS_SHARE_OF_AIM * settings.shortest_aim(),
            for_each_call: (MAY_COST / price.max(f64::MIN_POSITIVE)).min(1.0),
            saved: MOST_SAVED,
            counts: ClaimCounts::default(),
        }
    }

    /// Takes new settings; what is believed and counted stays.
    pub(crate) fn retune(&mut self, settings: &Settings) {
        let Self { allowed, step, for_each_call, .. } = Self::new(settings);
        (self.allowed, self.step, self.for_each_call) = (allowed, step, for_each_call);
    }

    pub(crate) fn counts(&self) -> ClaimCounts {
        self.counts
    }

    /// A call has come in: it pays for some news.
    pub(crate) fn earn(&mut self) {
        self.saved = (self.saved + self.for_each_call).min(MOST_SAVED);
    }

    /// How long work is said to queue at a server (us).
    pub(crate) fn believed(&self, engine: EngineId, now: Micros) -> f64 {
        let Some(&(queued, at)) = self.believed.get(&engine) else { return 0.0 };
        (queued - FADES * now.saturating_sub(at) as f64).max(0.0)
    }

    /// This front has seen work queue at a server for so long (us).
    pub(crate) fn saw(&mut self, engine: EngineId, queued: f64) {
        if self.allowed {
            self.seen.push((engine, queued));
        }
    }

    /// Tells the others what of it is news.
    pub(crate) fn tell(&mut self, now: Micros, out: &mut Vec<Action>) {
        for (engine, queued) in std::mem::take(&mut self.seen) {
            let believed = self.believed(engine, now);
            let news = queued > 2.0 * believed + self.step || 2.0 * queued + self.step < believed;
            if news && self.saved >= 1.0 {
                self.saved -= 1.0;
                self.counts.told += 1;
                let claim = Claim { engine, queued: queued as Micros, at: now };
                self.take(claim);
                out.push(Action::Tell(claim.to_bytes().to_vec()));
            }
        }
    }

    /// Takes a message of another front, if it is a claim of a server that the list has.
    pub(crate) fn hear(&mut self, bytes: &[u8], now: Micros, listed: impl Fn(EngineId) -> bool) {
        match Claim::read(bytes, now).filter(|claim| self.allowed && listed(claim.engine)) {
            Some(claim) => {
                self.counts.heard += 1;
                self.take(claim);
            }
            None => self.counts.dropped += 1,
        }
    }

    fn take(&mut self, claim: Claim) {
        let newest = self.believed.entry(claim.engine).or_default();
        if newest.1 <= claim.at {
            *newest = (claim.queued as f64, claim.at);
        }
    }

    /// Forgets servers that have gone.
    pub(crate) fn keep(&mut self, listed: impl Fn(EngineId) -> bool) {
        self.believed.retain(|&engine, _| listed(engine));
    }
}
