//! Attempts: the guard that every send passes, the send itself, its time-out, and what comes back.

use crate::end_reason::EndReason;
use crate::health::{PACE_WEIGHT, RATE_TIME};
use crate::interface::{
    Action, Call, DedupGroup, Effect, Ended, EngineId, Health, Micros, Outcome, RequestId,
};
use crate::router::Router;
use crate::state::{Attempt, Engine, Reach, Request, Stage};

pub(crate) const KEPT_SHARE: f64 = 0.5; // of what the record promised: less is a broken promise
/// Tokens' worth of fixed effort in each read and in each fetch. Scales with the servers' time for a step.
pub(crate) const READ_OVERHEAD: f64 = 512.0;
pub(crate) const WRITE_OVERHEAD: f64 = 2_048.0;
/// An attempt's first time-out: so many times what its like usually takes, and the shortest aim at the least,
/// so that a short pause does not set off repeats.
pub(crate) const PATIENCE_MULTIPLE: f64 = 4.0;
/// Times the patience for a state that leaves its cell: repeats move it anew.
pub(crate) const FAR_PATIENCE: Micros = 3;

impl Router {
    /// Whether the rules allow this send now: (1) the request is not over; (2) nothing else is out and no
    /// effect can happen twice; (3) the list has the server as ready; (4) a cold server's budget allows it.
    pub(crate) fn allowed(&self, request: &Request, engine: &Engine) -> bool {
        let open = !request.over && request.out.is_none() && request.call.not_after > self.now;
        open && engine.entry.health == Health::Ready
            && self.reach_without_repeat(request).has(engine)
            && self.cold_allows(engine.role, engine.entry.started, &engine.cold)
    }

    pub(crate) fn attempts_spent(&self, request: &Request) -> bool {
        let class = self.settings.classes.get(&request.call.class);
        class.is_some_and(|class| request.attempts >= class.max_attempts)
    }

    /// Where the request may be sent to without a second effect.
    pub(crate) fn reach_without_repeat(&self, request: &Request) -> Reach {
        let Some((first, sent)) = request.ran else { return Reach::Everywhere };
        let class = self.settings.classes.get(&request.call.class);
        let first = self.fleet.get(first).map(|first| &first.entry);
        let Some(class) = class else { return Reach::Nowhere };
        match (class.effect, class.group, first) {
            (Effect::Idempotent, ..) => Reach::Everywhere,
            (Effect::AtMostOnce, ..) | (_, _, None) => Reach::Nowhere,
            _ if self.now + 2 * self.settings.resolution >= sent + class.dedup_window => Reach::Nowhere,
            (Effect::Deduplicated, DedupGroup::All, _) => Reach::Everywhere,
            (Effect::Deduplicated, DedupGroup::Zone, Some(first)) => Reach::Zone(first.zone),
            (Effect::Deduplicated, DedupGroup::Cell, Some(first)) => Reach::Cell(first.cell),
        }
    }

    pub(crate) fn send(&mut self, id: RequestId, to: EngineId, stage: Stage, out: &mut Vec<Action>) {
        let (Some(request), Some(engine)) = (self.requests.get(&id), self.fleet.get(to)) else { return };
        if !self.allowed(request, engine) || self.attempts_spent(request) {
            return self.answer(id, EndReason::NotAllowed, out);
        }
        let call = &request.call;
        let held = engine.prefixes.longest(call, self.now);
        let unread = call.prompt_tokens - held.map_or(0, |(tokens, _)| tokens);
        let answer = self.answer_tokens(call);
        let (tokens, effort) = match stage {
            Stage::Read => (unread, unread as f64 + READ_OVERHEAD),
            Stage::Write => (call.prompt_tokens + answer, call.prompt_tokens as f64 + WRITE_OVERHEAD),
            Stage::Whole => (call.prompt_tokens + answer, unread as f64 + READ_OVERHEAD),
        };
        let reader = request.state.and_then(|(reader, _)| self.fleet.get(reader));
        let far = reader.is_some_and(|reader| reader.entry.cell != engine.entry.cell);
        let aim =
            self.settings.classes.get(&call.class).map_or(0.0, |class| class.aim_for(call.prompt_tokens));
        let patience = self.patience(engine, stage, effort, request.failed.len(), aim);
        let patience = (patience * if far { FAR_PATIENCE } else { 1 }).min(call.not_after - self.now).max(1);
        let permit = self.cold_permit(engine.role, engine.entry.started);
        let expected = self.gossip.believed(to, self.now);
        if stage != Stage::Write {
            self.gossip.sent(to, effort * self.stages[stage as usize].best);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (now, window) = (self.now, self.settings.fall_window);
        let (number, engine, sent, class, begun) = (request.attempts, to, now, request.call.class, false);
        let promised = held.filter(|_| stage != Stage::Write);
        let attempt =
            Attempt { number, engine, stage, sent, tokens, effort, expected, class, promised, begun, far };
        self.fleet.change(to, |engine| {
            if let Some(permit) = permit {
                engine.cold.spend(permit, now, window);
            }
            engine.takes(id, &attempt);
        });
        if stage != Stage::Write {
            self.fleet.sent(to, &request.call);
        }
        request.attempts += 1;
        request.out = Some(attempt);
        self.parked.remove(&id);
        out.push(Action::Assign { id, engine: to, patience });
    }

    /// How long an attempt may take: a multiple of what its like usually takes behind what waits there, more
    /// with each failure, so that a jam of the whole pool ends in waiting and not in ever more repeats.
    pub(crate) fn patience(
        &self,
        engine: &Engine,
        stage: Stage,
        effort: f64,
        failures: usize,
        aim: f64,
    ) -> Micros {
        let usual = self.stages[stage as usize].usual;
        let told = self.gossip.believed(engine.entry.engine, self.now);
        let waits = told.max(usual * engine.waiting_effort[stage as usize]);
        let patience = (PATIENCE_MULTIPLE * (usual * effort + waits)).max(aim.max(self.shortest_aim));
        (patience * f64::from(1u32 << failures.min(6))) as Micros
    }

    pub(crate) fn answer_tokens(&self, call: &Call) -> u64 {
        let token_aim = self.settings.classes.get(&call.class).map_or(0, |class| class.token_aim);
        match call.hint {
            Some(hint) if token_aim > 0 => hint / token_aim,
            _ => call.max_tokens / 2,
        }
    }

    pub(crate) fn begun(&mut self, id: RequestId, number: u32, taken: Micros) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let out = request.out.as_mut().filter(|out| out.number == number && !out.begun);
        let Some(attempt) = out else { return };
        attempt.begun = true;
        request.state = None;
        let attempt = attempt.clone();
        self.stop_waiting(id, &attempt);
        self.record_success(&attempt, taken);
    }

    pub(crate) fn ended(&mut self, ended: Ended, out: &mut Vec<Action>) {
        let Ended { id, outcome, .. } = ended;
        self.fleet.reported(ended.engine, ended.report);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(mut attempt) = request.out.take_if(|out| out.number == ended.attempt) else { return };
        let prompt = request.call.prompt_tokens;
        request.over |= ended.last;
        let worked = matches!(outcome, Outcome::Read | Outcome::Served);
        match outcome {
            Outcome::Read => request.state = Some((attempt.engine, self.now)),
            // Also told where the reader is only cut off from that writer: the state may still be pinned.
            Outcome::NoState if request.state.take().is_some() => out.push(Action::LetGo(id)),
            // The time that a state may wait goes on running while connections fail to come up.
            Outcome::ConnectFailed | Outcome::Moot | Outcome::Unacknowledged => {}
            _ => request.state = request.state.map(|(reader, _)| (reader, self.now)),
        }
        if !worked {
            request.failed.push(attempt.engine);
        }
        if outcome.may_have_run() && attempt.stage != Stage::Read && request.ran.is_none() {
            request.ran = Some((attempt.engine, attempt.sent));
        }
        self.fleet.change(attempt.engine, |engine| {
            engine.tokens = engine.tokens.saturating_sub(attempt.tokens);
            if let Some((promised, made)) = attempt.promised.filter(|_| worked) {
                let kept = ended.kept_tokens as f64 >= KEPT_SHARE * promised as f64;
                engine.prefixes.judge(kept, made, attempt.sent);
            }
        });
        if !attempt.begun {
            self.stop_waiting(id, &attempt);
            if outcome == Outcome::Read {
                attempt.effort = prompt.saturating_sub(ended.kept_tokens) as f64 + READ_OVERHEAD;
            }
            if worked {
                self.record_success(&attempt, ended.taken);
            } else {
                self.record_failure(&attempt, outcome);
            }
        }
        if self.requests.get(&id).is_some_and(|request| request.over) {
            self.close(id, out);
        } else {
            self.route(id, out);
        }
    }

    pub(crate) fn stop_waiting(&mut self, id: RequestId, attempt: &Attempt) {
        let at = attempt.stage as usize;
        let waited = self.fleet.change(attempt.engine, |engine| engine.stops_waiting(id, attempt));
        if waited == Some(true) {
            let taken = (self.now - attempt.sent) as f64 / 1e6;
            let stage = &mut self.stages[at];
            stage.under_way.add(attempt.effort * taken, self.now, RATE_TIME);
            stage.typical += PACE_WEIGHT * (attempt.effort - stage.typical);
        }
    }

    /// The client has left: what is out is called off where that is allowed; a late read is let go then.
    pub(crate) fn hangup(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.over = true;
        let attempt = request.out.as_ref().filter(|out| self.settings.may_cancel && !out.begun);
        out.extend(attempt.map(|attempt| Action::Revoke { id, attempt: attempt.number }));
        self.close(id, out);
    }

    /// Forgets a request that is over and has nothing out; whatever may be held for it is let go.
    pub(crate) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.parked.remove(&id);
        if self.requests.get(&id).is_some_and(|request| request.over && request.out.is_none()) {
            let request = self.requests.remove(&id);
            if request.is_some_and(|request| request.state.is_some()) {
                out.push(Action::LetGo(id));
            }
        }
    }
}
