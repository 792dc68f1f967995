//! What a front that ends hands over to the one that takes its place on the same machine: the text that it believes
//! servers to keep, and how fast they were. Without it the new one has only homes and first guesses to go by.

use serde::{Deserialize, Serialize};

use crate::figures::{Pace, Rate};
use crate::interface::{EngineId, Key, Micros};
use crate::router::Router;
use crate::tables::PREFIX_KEYS;

/// Newest beliefs that are handed over, over all servers; at some 46 bytes each under 1 MB as text.
const MOST_PREFIXES: usize = 20_000;
/// Beginnings that are handed over, those last heard of.
const MOST_BEGINNINGS: usize = 1_000;

/// See the [module](self).
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    at: Micros,
    call_rate: Rate,
    /// Absent from versions that judged beginnings over the time of `call_rate`: their beginnings are left.
    #[serde(default)]
    calls_lately: Rate,
    stages: Vec<StageLearnt>,
    servers: Vec<ServerLearnt>,
    beginnings: Vec<(u64, Rate)>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StageLearnt {
    usual: f64,
    best: f64,
    typical: f64,
    under_way: Rate,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServerLearnt {
    id: u32,
    /// The life of the server that this is about: another one keeps nothing.
    started: Option<Micros>,
    pace: [Pace; 3],
    carried: Rate,
    distrusted: Micros,
    /// Key, tokens, when it was sent; the oldest first.
    prefixes: Vec<(u64, u64, Micros)>,
}

impl Handover {
    /// The same as told by a clock that is ahead by so much (us).
    #[must_use]
    pub fn shifted(mut self, ahead: i64) -> Self {
        let shift = |at: &mut Micros| *at = at.saturating_add_signed(ahead);
        shift(&mut self.at);
        let rates = [&mut self.call_rate, &mut self.calls_lately].into_iter();
        let stages = self.stages.iter_mut().map(|stage| &mut stage.under_way);
        let beginnings = self.beginnings.iter_mut().map(|(_, rate)| rate);
        rates.chain(stages).chain(beginnings).for_each(|rate| rate.shift(ahead));
        for server in &mut self.servers {
            server.started.iter_mut().for_each(shift);
            server.pace.iter_mut().for_each(|pace| pace.shift(ahead));
            server.carried.shift(ahead);
            shift(&mut server.distrusted);
            server.prefixes.iter_mut().for_each(|(.., made)| shift(made));
        }
        self
    }
}

impl Router {
    /// What is learnt by now.
    #[must_use]
    pub fn hands_over(&self) -> Handover {
        let mut made: Vec<Micros> = self
            .fleet
            .values()
            .flat_map(|engine| engine.prefixes.sent.iter().map(|(_, sent)| sent.1))
            .collect();
        made.sort_unstable();
        let since = made.len().checked_sub(MOST_PREFIXES).map_or(0, |at| made[at]);
        let stage = |stage: &crate::state::StageFigures| StageLearnt {
            usual: stage.usual,
            best: stage.best,
            typical: stage.typical,
            under_way: stage.under_way.clone(),
        };
        let server = |engine: &crate::state::Engine| ServerLearnt {
            id: engine.entry.engine.0,
            started: engine.entry.started,
            pace: engine.seen.pace.clone(),
            carried: engine.seen.carried.clone(),
            distrusted: engine.prefixes.distrusted,
            // The table tells the newest first.
            prefixes: (engine.prefixes.sent.iter().rev())
                .filter(|(_, sent)| sent.1 >= since)
                .map(|(key, sent)| (key.0, sent.0, sent.1))
                .collect(),
        };
        let beginnings = self.beginnings.iter().take(MOST_BEGINNINGS);
        Handover {
            at: self.now,
            call_rate: self.call_rate.clone(),
            calls_lately: self.calls_lately.clone(),
            stages: self.stages.iter().map(stage).collect(),
            servers: self.fleet.values().map(server).collect(),
            beginnings: beginnings.map(|(key, rate)| (key.0, rate.clone())).collect(),
        }
    }

    /// Takes what another has learnt, where this one has learnt nothing newer by itself. What is of the future, or not
    /// even a number, is not taken: clocks of one machine agree.
    pub fn takes_over(&mut self, handover: Handover) {
        let now = self.now;
        if handover.at > now || handover.stages.len() != self.stages.len() {
            return;
        }
        if self.call_rate.is_new() && handover.call_rate.is_sound(now) {
            self.call_rate = handover.call_rate;
        }
        for (stage, learnt) in self.stages.iter_mut().zip(handover.stages) {
            let fine = [learnt.usual, learnt.best, learnt.typical].into_iter().all(sound);
            if stage.under_way.is_new() && fine && learnt.under_way.is_sound(now) {
                (stage.usual, stage.best, stage.typical) = (learnt.usual, learnt.best, learnt.typical);
                stage.under_way = learnt.under_way;
            }
        }
        let judged = self.calls_lately.is_new() && handover.calls_lately.is_sound(now);
        let beginnings = if judged && !handover.calls_lately.is_new() {
            self.calls_lately = handover.calls_lately;
            handover.beginnings
        } else {
            Vec::new()
        };
        for (key, rate) in beginnings.into_iter().rev() {
            if rate.is_sound(now) && self.beginnings.len() < MOST_BEGINNINGS {
                self.beginnings.get_or_insert(Key(key), || rate);
            }
        }
        for learnt in handover.servers {
            self.takes_over_server(learnt);
        }
    }

    fn takes_over_server(&mut self, learnt: ServerLearnt) {
        let (id, now) = (EngineId(learnt.id), self.now);
        if self.fleet.get(id).is_none_or(|engine| engine.entry.started != learnt.started) {
            return;
        }
        self.fleet.change(id, |engine| {
            for (own, learnt) in engine.seen.pace.iter_mut().zip(learnt.pace) {
                if own.known.is_none() && learnt.known.is_some_and(|(pace, at)| sound(pace) && at <= now) {
                    *own = learnt;
                }
            }
            if engine.seen.carried.is_new() && learnt.carried.is_sound(now) {
                engine.seen.carried = learnt.carried;
            }
            engine.prefixes.distrusted = engine.prefixes.distrusted.max(learnt.distrusted.min(now));
        });
        let texts = learnt.prefixes.into_iter().map(|(key, tokens, made)| (Key(key), tokens, made));
        self.fleet.believes(id, &texts.collect::<Vec<_>>(), PREFIX_KEYS);
    }
}

fn sound(value: f64) -> bool {
    value.is_finite() && value > 0.0
}
