//! A front's decisions put together: what is kept, and which module takes which event. The types that come in and go out are
//! in `src/interface.rs`.
//!
//! Reading order, along a request's life: [`Router::handle`] takes an event; `admission.rs` takes or refuses a new request and
//! finds its next step, by `overload.rs`; `placement.rs` and `writers.rs` choose a server, by `load.rs` and `health.rs`;
//! `attempts.rs` guards the rules for every send, with `slow_start.rs`, and takes what comes back; `server_list.rs` has the
//! list and the sweep. Tables are in `src/tables.rs`, records in `src/state.rs`, what is asked of all servers in
//! `src/fleet.rs`, plain arithmetic in `src/figures.rs`.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use lru::LruCache;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::attempts::WRITE_OVERHEAD;
use crate::end_reason::EndReasons;
use crate::figures::{Pace, Rate};
use crate::fleet::{Fleet, FleetTimes};
use crate::gossip::LoadGossip;
use crate::health::{PACE_HALF_LIFE, RATE_TIME};
use crate::interface::{Action, CellId, Event, Key, Micros, RequestId, Settings};
use crate::list_backoff::ListBackoff;
use crate::placement::FIRST_GUESS_TOKENS;
use crate::server_list::SWEEP;
use crate::state::{Cell, Request, StageFigures};

/// A front's decisions. See the [module](self) for a reading order.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) now: Micros,
    pub(crate) fleet: Fleet,
    pub(crate) shortest_aim: f64,
    pub(crate) requests: HashMap<RequestId, Request>, // looked up, never iterated
    pub(crate) parked: BTreeSet<RequestId>,           // their state waits for a writer
    pub(crate) stages: [StageFigures; 3],
    pub(crate) far_pace: Pace, // of fetches that leave the reader's cell
    pub(crate) call_rate: Rate,
    pub(crate) calls_lately: Rate, // over the time that beginnings are judged by
    pub(crate) beginnings: LruCache<Key, Rate>, // calls a second with each shared beginning
    pub(crate) cells: BTreeMap<CellId, Cell>,
    pub(crate) list_backoff: ListBackoff,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) sweeping: bool,
    pub(crate) gossip: LoadGossip,
    pub(crate) end_reasons: EndReasons, // of the event that was taken last
    pub(crate) part: f64,               // of this front that this process is, while another takes over
}

impl Router {
    /// A front that has just started.
    #[must_use]
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let guess = settings.shortest_aim() / FIRST_GUESS_TOKENS;
        let cold_for = settings.cold_for;
        let times = FleetTimes { cold_for, queued_half_life: PACE_HALF_LIFE, rate_time: RATE_TIME };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            fleet: Fleet::new(times, now),
            shortest_aim: settings.shortest_aim(),
            requests: HashMap::new(),
            parked: BTreeSet::new(),
            stages: [(); 3].map(|()| StageFigures::new(guess, WRITE_OVERHEAD)),
            far_pace: Pace::default(),
            call_rate: Rate::default(),
            calls_lately: Rate::default(),
            beginnings: LruCache::unbounded(),
            cells: BTreeMap::new(),
            list_backoff: ListBackoff::default(),
            ask_at: settings.must_subscribe.then_some(now),
            sweeping: false,
            gossip: LoadGossip::new(&settings),
            settings,
            end_reasons: EndReasons::new(),
            part: 1.0,
        }
    }

    /// Takes an event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.end_reasons.clear();
        self.fleet.advance(now);
        if !self.sweeping {
            self.sweeping = true;
            self.sweep(out);
        }
        match event {
            Event::Roster { how, entries } => self.apply_list(how, entries),
            Event::Call(call) => self.call(call, out),
            Event::Begun { id, attempt, taken } => self.begun(id, attempt, taken),
            Event::Ended(ended) => self.ended(ended, out),
            Event::Hangup(id) => self.hangup(id, out),
            Event::Due(SWEEP) => self.sweep(out),
            Event::Heard(bytes) => self.gossip.hear(&bytes, now),
            Event::Retuned { settings, heirs } => self.retune(*settings, &heirs),
            Event::TakenOver(handover) => self.takes_over(*handover),
            Event::Part(part) => self.part = part,
            Event::Due(_) | Event::Ignored => {}
        }
        self.gossip.tell(now, out);
    }

    /// Why requests were answered by the event that was taken last.
    #[must_use]
    pub fn end_reasons(&self) -> &EndReasons {
        &self.end_reasons
    }

    /// New settings: what is known of servers for a class goes on under its new number.
    fn retune(&mut self, settings: Settings, heirs: &BTreeMap<u32, u32>) {
        self.fleet.renumber(heirs, &settings.classes);
        self.gossip.retune(&settings);
        self.fleet.set_cold_for(settings.cold_for);
        self.shortest_aim = settings.shortest_aim();
        self.settings = settings;
    }
}
