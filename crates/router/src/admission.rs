//! Admission: what becomes of a new request, and the next step of one that has no attempt out.

use rand_core::RngCore;

use crate::end_reason::EndReason;
use crate::figures::{mix, unit, Rate};
use crate::health::RATE_TIME;
use crate::interface::{Action, Call, DedupGroup, Effect, Key, Micros, RequestId, Role};
use crate::router::Router;
use crate::server_list::SWEEP_EVERY;
use crate::state::{Reach, Request, Stage};
use crate::tables::PREFIX_KEYS;

impl Router {
    pub(crate) fn call(&mut self, call: Call, out: &mut Vec<Action>) {
        let id = call.id;
        if self.requests.contains_key(&id) {
            return;
        }
        self.call_rate.add(1.0, self.now, RATE_TIME);
        let time = self.share_time();
        self.calls_lately.add(1.0, self.now, time);
        self.gossip.earn();
        if let Some(key) = call.shared {
            self.beginnings.get_or_insert_mut(key, Rate::default).add(1.0, self.now, time);
            if self.beginnings.len() > PREFIX_KEYS {
                self.beginnings.pop_lru();
            }
        }
        self.requests.insert(id, Request::new(call));
        self.route(id, out);
    }

    /// The next step of a request that has no attempt out: on to a writer, to a mixed server, to a reader,
    /// else whole to whatever can do it, else an answer at once.
    pub(crate) fn route(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(reason) = self.ends_now(request) {
            return self.answer(id, reason, out);
        }
        let &Call { not_after, class, session, .. } = &request.call;
        if let Some((reader, since)) = request.state {
            match self.pick_writer(id, reader) {
                Some(writer) if self.now < since + self.settings.release_within => {
                    return self.send(id, writer, Stage::Write, out);
                }
                None if self.may_hold(since, not_after) => {
                    self.parked.insert(id);
                    return;
                }
                _ => return self.answer(id, EndReason::NoWriter, out),
            }
        }
        let lot = unit(self.rng.next_u64());
        let jammed =
            self.is_overloaded(class, Stage::Read, lot) || self.is_overloaded(class, Stage::Write, lot);
        if (jammed || self.takes_mixed_share(class, session)) && !self.is_overloaded(class, Stage::Whole, lot)
        {
            if let Some(mixed) = self.pick_by_match(id, Role::Mixed, true) {
                return self.send(id, mixed, Stage::Whole, out);
            }
        }
        if jammed {
            return self.answer(id, EndReason::Overloaded, out);
        }
        if let Some(reader) = self.pick_by_match(id, Role::Reader, false) {
            return self.send(id, reader, Stage::Read, out);
        }
        let in_need = 1 + usize::from(self.settings.writers_read);
        for role in [Role::Mixed, Role::Writer].into_iter().take(in_need) {
            if let Some(engine) = self.pick_by_match(id, role, false) {
                return self.send(id, engine, Stage::Whole, out);
            }
        }
        self.answer(id, EndReason::NoServerReady, out);
    }

    /// Why a request that has no attempt out can have no further one, if that is so.
    fn ends_now(&self, request: &Request) -> Option<EndReason> {
        let checks = [
            (request.call.not_after <= self.now, EndReason::Deadline),
            (self.attempts_spent(request), EndReason::AttemptsSpent),
            (self.fleet.is_empty(), EndReason::NoServers),
            (self.reach_without_repeat(request) == Reach::Nowhere, EndReason::MayNotRepeat),
        ];
        checks.into_iter().find(|(holds, _)| *holds).map(|(_, reason)| reason)
    }

    pub(crate) fn may_hold(&self, since: Micros, not_after: Micros) -> bool {
        let next = self.now + SWEEP_EVERY + 4 * self.settings.resolution + 10_000;
        next < not_after.min(since + self.settings.release_within)
    }

    /// Mixed servers take their share of sessions: by count of machines, each session always alike.
    pub(crate) fn takes_mixed_share(&mut self, class: u32, session: Option<Key>) -> bool {
        let resting = |role| self.fleet.struck(role).filter(|e| !self.is_healthy(e, class)).count();
        let count = |role| (self.fleet.ready_count(role) - resting(role)) as f64;
        let mixed = count(Role::Mixed);
        let share = mixed / (mixed + count(Role::Reader) + count(Role::Writer)).max(1.0);
        let lot = session.map_or_else(|| self.rng.next_u64(), |Key(key)| mix(key));
        unit(lot) < share
    }

    /// Ends a request at once: refused where a new try is harmless, else failed. Lets go of its state.
    pub(crate) fn answer(&mut self, id: RequestId, reason: EndReason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.end_reasons.push((id, reason));
        let class = self.settings.classes.get(&request.call.class);
        let harmless = request.ran.is_none()
            || class.is_none_or(|class| match class.effect {
                Effect::Idempotent => true,
                Effect::Deduplicated => class.group == DedupGroup::All,
                Effect::AtMostOnce => false,
            });
        if harmless && request.call.not_after > self.now {
            let spread = self.rng.next_u64() % (self.settings.max_retry_after / 2).max(1);
            out.push(Action::Refuse { id, retry_in: self.settings.max_retry_after / 2 + spread });
        } else {
            out.push(Action::GiveUp(id));
        }
        request.over = true;
        self.close(id, out);
    }
}
