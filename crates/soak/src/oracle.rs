//! The verdict on a play, by its ledger alone.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::ledger::{Class, Entry, Final, Micros, Seen};
use crate::plan::{Kind, Plan};
use crate::servers::EVENTS;

const MS: Micros = 1_000;
/// Every time limit is this much longer on sockets (the protocol page), with as much again for the ledger's own lag.
const SLACK: Micros = 100 * MS;
/// A final answer may come so long after the client's time.
const LATE_ANSWER: Micros = 500 * MS;
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING: Micros = 100 * MS;
/// What is held is let go of within the settings' time and this.
const HELD_MORE: Micros = 300 * MS;
/// A server may be told of so much more time than is left.
const TOLD_MORE: Micros = 150 * MS;
/// An event reaches its client within this.
const EVENT: Micros = 300 * MS;
/// A dispatcher that is held up, by the plan, is excused for so long after.
const RECOVERY: Micros = 500 * MS;
/// A change counts as told so long after a watch fell silent.
const SILENT_WATCH: Micros = 6_000 * MS;

/// What the settings of a play say.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// New work to a server ends so long after its drain was told.
    pub stop_sending: Micros,
    /// What is held is let go of within this.
    pub release_within: Micros,
    /// Servers know a repeat of a `note` for so long.
    pub window: Micros,
}

/// The figures that a play's settings have.
pub const LIMITS: Limits = Limits { stop_sending: 1_000 * MS, release_within: 500 * MS, window: 400 * MS };

/// A rule, in the field's terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A request that was read got no final answer within its time.
    Dropped,
    /// A request ran more often than its class allows.
    RunTwice,
    /// Work went to a server after its drain.
    SentToDraining,
    /// An attempt began after its client had left.
    SentAfterClientLeft,
    /// A state was held for too long with nothing out for it.
    Held,
    /// A server was told of more time than is left.
    DeadlineTold,
    /// An event came late, or a stream that its server ended did not come to its end.
    Stream,
    /// A client that stopped in the middle of a request got neither an error nor a close in time.
    HalfRequest,
    /// A process was not ready in time.
    NotReady,
    /// A process ended by itself, or did not end when told.
    Exit,
    /// A process held more after the play than before.
    Leak,
}

impl Rule {
    /// All of them.
    pub const ALL: [Self; 11] = [
        Self::Dropped,
        Self::RunTwice,
        Self::SentToDraining,
        Self::SentAfterClientLeft,
        Self::Held,
        Self::DeadlineTold,
        Self::Stream,
        Self::HalfRequest,
        Self::NotReady,
        Self::Exit,
        Self::Leak,
    ];
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Break {
    /// Which.
    pub rule: Rule,
    /// When (us since the start).
    pub at: Micros,
    /// The request, where there is one.
    pub id: u64,
    /// What was seen.
    pub what: String,
}

/// How often something was seen in a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that were asked.
    pub asked: usize,
    /// Of these, served.
    pub served: usize,
    /// Refused.
    pub refused: usize,
    /// Failed.
    pub failed: usize,
    /// Attempts that arrived at servers.
    pub attempts: usize,
}

/// A request with all that the ledger has of it.
struct Story<'a> {
    id: u64,
    dispatcher: usize,
    class: Class,
    asked: Micros,
    deadline: Micros,
    fresh: bool,
    entries: Vec<&'a Entry>,
}

/// Times in which a dispatcher was killed or held up as planned.
struct Excuses {
    by_dispatcher: BTreeMap<usize, Vec<(Micros, Micros, bool)>>,
    /// Times in which all accepts of a dispatcher's process fail, by the plan.
    no_accepts: Vec<(usize, Micros, Micros)>,
}

impl Excuses {
    fn of(plan: &Plan, entries: &[Entry]) -> Self {
        let mut by_dispatcher: BTreeMap<usize, Vec<_>> = BTreeMap::new();
        let mut no_accepts = Vec::new();
        let mut started = BTreeSet::new();
        for entry in entries {
            match entry.seen {
                Seen::Excused { dispatcher, until, killed } => {
                    by_dispatcher.entry(dispatcher).or_default().push((entry.at, until, killed));
                }
                Seen::Started { dispatcher } => {
                    let rules = plan.shim(dispatcher, started.insert(dispatcher));
                    // The times of a rule are since the process was started.
                    let since = |time: Micros| entry.at + time * MS;
                    let spans = rules.split(';').filter_map(all_accepts_fail);
                    no_accepts.extend(spans.map(|(from, to)| (dispatcher, since(from), since(to))));
                }
                _ => {}
            }
        }
        Self { by_dispatcher, no_accepts }
    }

    /// When connections that are opened at that time can be accepted: no program answers before that.
    fn accepts_from(&self, dispatcher: usize, at: Micros) -> Micros {
        let spans =
            self.no_accepts.iter().filter(|(of, from, to)| *of == dispatcher && *from <= at && at < *to);
        spans.map(|(_, _, to)| *to).max().unwrap_or(at)
    }

    /// Whether a kill, or any excuse, lies within a span.
    fn within(&self, dispatcher: usize, from: Micros, to: Micros, kills_only: bool) -> bool {
        let all = self.by_dispatcher.get(&dispatcher).into_iter().flatten();
        let mut ours = all.filter(|(_, _, killed)| *killed || !kills_only);
        ours.any(|&(at, until, _)| at <= to && until + RECOVERY >= from)
    }
}

/// From when to when (ms) all accepts fail by a rule of the fault shim, if it has them do so.
fn all_accepts_fail(rule: &str) -> Option<(u64, u64)> {
    let (_, times) = rule.strip_prefix("accept:")?.split_once('@')?;
    let (from, to) = times.strip_suffix("%1000")?.split_once('-')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}

/// Counts what became of the requests of a play.
#[must_use]
pub fn counts(entries: &[Entry]) -> Counts {
    let mut counts = Counts::default();
    for entry in entries {
        match entry.seen {
            Seen::Asked { .. } => counts.asked += 1,
            Seen::Ended(Final::Served) => counts.served += 1,
            Seen::Ended(Final::Refused) => counts.refused += 1,
            Seen::Ended(Final::Failed) => counts.failed += 1,
            Seen::AttemptArrived { .. } => counts.attempts += 1,
            _ => {}
        }
    }
    counts
}

/// All broken rules of a play, by time.
#[must_use]
pub fn judge(plan: &Plan, entries: &[Entry], limits: &Limits) -> Vec<Break> {
    let excuses = Excuses::of(plan, entries);
    let mut by_id: BTreeMap<u64, Vec<&Entry>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| entry.id != 0) {
        by_id.entry(entry.id).or_default().push(entry);
    }
    let mut breaks = Vec::new();
    for (id, entries) in by_id {
        let asked = entries.iter().find_map(|entry| match entry.seen {
            Seen::Asked { dispatcher, class, waits, fresh } => {
                Some((entry.at, dispatcher, class, waits, fresh))
            }
            _ => None,
        });
        let Some((asked, dispatcher, class, waits, fresh)) = asked else { continue };
        let story = Story { id, dispatcher, class, asked, deadline: asked + waits, fresh, entries };
        story.answered(plan, &excuses, &mut breaks);
        story.runs(limits, &mut breaks);
        story.left(&excuses, &mut breaks);
        story.held(&excuses, limits, &mut breaks);
        story.told(&excuses, &mut breaks);
        story.streamed(plan, &excuses, &mut breaks);
        story.drained(plan, &excuses, limits, &mut breaks);
    }
    for entry in entries {
        let (rule, dispatcher, what) = match &entry.seen {
            Seen::BadExit { dispatcher, what } => (Rule::Exit, dispatcher, what.clone()),
            Seen::Leak { dispatcher, what } => (Rule::Leak, dispatcher, what.clone()),
            Seen::HalfRequestIgnored { dispatcher, began } => {
                let accepted = excuses.accepts_from(*dispatcher, *began);
                if accepted > *began || excuses.within(*dispatcher, *began, entry.at, false) {
                    continue;
                }
                (
                    Rule::HalfRequest,
                    dispatcher,
                    "a request that stopped in its middle is not ended".to_owned(),
                )
            }
            _ => continue,
        };
        let rule = if what.starts_with("not ready") { Rule::NotReady } else { rule };
        breaks.push(Break { rule, at: entry.at, id: 0, what: format!("dispatcher {dispatcher}: {what}") });
    }
    breaks.sort_by_key(|broken| broken.at);
    breaks
}

impl Story<'_> {
    fn breaks(&self, rule: Rule, at: Micros, what: impl Into<String>) -> Break {
        let what = format!("dispatcher {}, {}: {}", self.dispatcher, self.class.name(), what.into());
        Break { rule, at, id: self.id, what }
    }

    fn first(&self, is: impl Fn(&Seen) -> bool) -> Option<Micros> {
        self.entries.iter().find(|entry| is(&entry.seen)).map(|entry| entry.at)
    }

    fn answered(&self, plan: &Plan, excuses: &Excuses, breaks: &mut Vec<Break>) {
        let left = self.first(|seen| *seen == Seen::Left);
        let ended = self.entries.iter().find_map(|entry| match entry.seen {
            Seen::Ended(how) => Some((entry.at, how)),
            _ => None,
        });
        let over = ended.map(|(at, _)| at).or(left).unwrap_or(Micros::MAX);
        let begun = self.first(|seen| matches!(seen, Seen::EventCame(0))).unwrap_or(over);
        let by = self.deadline.max(self.accepted_by(excuses)) + LATE_ANSWER + SLACK;
        if excuses.within(self.dispatcher, self.asked, over.min(by), false) {
            return;
        }
        match ended {
            Some((at, Final::Closed)) => {
                let read = self.first(|seen| matches!(seen, Seen::AttemptBegan { .. }));
                let unread = read.is_none() && self.is_crowded_out(plan, at);
                if (self.fresh || read.is_some()) && !unread {
                    breaks.push(self.breaks(
                        Rule::Dropped,
                        at,
                        "the connection was closed without an answer",
                    ));
                }
            }
            Some((at, _)) if begun.min(at) > by => {
                let late = (begun.min(at) - self.deadline) / MS;
                breaks.push(self.breaks(
                    Rule::Dropped,
                    at,
                    format!("the answer came {late} ms after its time"),
                ));
            }
            None if left.is_none_or(|left| left > by) => {
                breaks.push(self.breaks(Rule::Dropped, by, "no answer came"));
            }
            _ => {}
        }
    }

    /// By when a request on a new connection could be read at the latest: it waits where accepts fail, one and all.
    fn accepted_by(&self, excuses: &Excuses) -> Micros {
        if self.fresh {
            excuses.accepts_from(self.dispatcher, self.asked)
        } else {
            self.asked
        }
    }

    /// Whether idle clients fill the descriptors: then new connections may be shut unread.
    fn is_crowded_out(&self, plan: &Plan, at: Micros) -> bool {
        plan.holds(
            at / MS,
            |kind| matches!(kind, Kind::Idlers { dispatcher, .. } if *dispatcher == self.dispatcher),
        )
    }

    fn runs(&self, limits: &Limits, breaks: &mut Vec<Break>) {
        if self.class == Class::Ask {
            return;
        }
        // The first attempt at a writer that was not turned away, and every one after it.
        let mut first: Option<Micros> = None;
        for (at, entry) in self.entries.iter().enumerate() {
            let Seen::AttemptArrived { server, reads: false, .. } = entry.seen else { continue };
            let later = &self.entries[at..];
            let turned_away = later.iter().any(|after| after.seen == Seen::TurnedAway { server });
            if let Some(first) = first {
                let age = entry.at - first;
                if self.class == Class::Book || age > limits.window + SLACK {
                    let what =
                        format!("sent to writer {server} again, {} ms after it may have run", age / MS);
                    breaks.push(self.breaks(Rule::RunTwice, entry.at, what));
                }
            }
            if !turned_away {
                first.get_or_insert(entry.at);
            }
        }
        let runs = self.entries.iter().filter(|entry| matches!(entry.seen, Seen::WriteBegan { .. })).count();
        if runs > 1 && self.class == Class::Book {
            breaks.push(self.breaks(Rule::RunTwice, self.asked, format!("{runs} writers began it")));
        }
    }

    fn left(&self, excuses: &Excuses, breaks: &mut Vec<Break>) {
        let Some(left) = self.first(|seen| *seen == Seen::Left) else { return };
        for entry in &self.entries {
            let Seen::AttemptBegan { server } = entry.seen else { continue };
            let late = entry.at.saturating_sub(left);
            if late > AFTER_LEAVING + SLACK && !excuses.within(self.dispatcher, left, entry.at, false) {
                let what =
                    format!("an attempt at server {server} began {} ms after the client left", late / MS);
                breaks.push(self.breaks(Rule::SentAfterClientLeft, entry.at, what));
            }
        }
    }

    fn held(&self, excuses: &Excuses, limits: &Limits, breaks: &mut Vec<Break>) {
        let most = limits.release_within + HELD_MORE + SLACK;
        let (mut out, mut idle_since): (usize, Option<Micros>) = (0, None);
        let mut is_held = false;
        let check = |since: Option<Micros>, at: Micros, breaks: &mut Vec<Break>| {
            let Some(since) = since.filter(|since| at > since + most) else { return };
            if !excuses.within(self.dispatcher, since, at, false) {
                let what = format!("a state was held for {} ms with nothing out", (at - since) / MS);
                breaks.push(self.breaks(Rule::Held, since + most, what));
            }
        };
        for entry in &self.entries {
            if is_held && out == 0 {
                check(idle_since, entry.at, breaks);
            }
            match entry.seen {
                Seen::ReadEnded { .. } => is_held = true,
                Seen::WriteBegan { .. } | Seen::Released => is_held = false,
                Seen::AttemptArrived { .. } => out += 1,
                Seen::AttemptOver { .. } => out = out.saturating_sub(1),
                _ => continue,
            }
            let waits = is_held && out == 0;
            idle_since = if waits { idle_since.or(Some(entry.at)) } else { None };
        }
        if is_held && out == 0 {
            check(idle_since, Micros::MAX / 2, breaks);
        }
    }

    fn told(&self, excuses: &Excuses, breaks: &mut Vec<Break>) {
        for entry in &self.entries {
            let Seen::AttemptArrived { server, told: Some(told), .. } = entry.seen else { continue };
            let left = self.deadline.saturating_sub(entry.at);
            if told > left + TOLD_MORE + SLACK
                && !excuses.within(self.dispatcher, self.asked, entry.at, false)
            {
                let what = format!("server {server} was told {} ms with {} ms left", told / MS, left / MS);
                breaks.push(self.breaks(Rule::DeadlineTold, entry.at, what));
            }
        }
    }

    fn streamed(&self, plan: &Plan, excuses: &Excuses, breaks: &mut Vec<Break>) {
        let time =
            |is: &dyn Fn(&Seen) -> bool| self.entries.iter().rfind(|entry| is(&entry.seen)).map(|at| at.at);
        let over = self.entries.last().map_or(self.asked, |entry| entry.at);
        if excuses.within(self.dispatcher, self.asked, over, false) {
            return;
        }
        let slow = plan.troubles.iter().any(|trouble| {
            matches!(&trouble.kind, Kind::Shim { rule, .. }
            | Kind::ShimLater { rule, .. } if rule.starts_with("monotonic"))
        });
        for event in 0..EVENTS {
            let written = time(&|seen| *seen == Seen::EventWritten(event));
            let came = time(&|seen| *seen == Seen::EventCame(event));
            let (Some(written), Some(came)) = (written, came) else { continue };
            let late = came.saturating_sub(written);
            if late > EVENT + SLACK && !slow {
                breaks.push(self.breaks(
                    Rule::Stream,
                    came,
                    format!("event {event} came {} ms late", late / MS),
                ));
                return;
            }
        }
        let ended = self.entries.iter().any(|entry| matches!(entry.seen, Seen::StreamEnded { .. }));
        let cut = self.first(|seen| *seen == Seen::Ended(Final::Cut));
        if let (true, Some(at)) = (ended, cut) {
            breaks.push(self.breaks(
                Rule::Stream,
                at,
                "its server ended the stream, and the client's was cut",
            ));
        }
    }

    fn drained(&self, plan: &Plan, excuses: &Excuses, limits: &Limits, breaks: &mut Vec<Break>) {
        for entry in &self.entries {
            let Seen::AttemptBegan { server } = entry.seen else { continue };
            let drains = plan
                .troubles
                .iter()
                .filter(|trouble| matches!(trouble.kind, Kind::Drain { server: of } if of == server));
            let Some(drained) = drains.map(|trouble| trouble.from_ms * MS).min() else { continue };
            let told = self.told_at(plan, drained, entry.at);
            let by = told + limits.stop_sending + SLACK;
            if entry.at > by && !excuses.within(self.dispatcher, told, entry.at, false) {
                let late = (entry.at - told) / MS;
                let what = format!("sent to server {server} {late} ms after its drain was told");
                breaks.push(self.breaks(Rule::SentToDraining, entry.at, what));
            }
        }
    }

    /// When the drain at a time counts as told to this dispatcher. An agent that is down learns nothing; a process that
    /// starts while it is can't know, so the end of every outage up to the attempt counts.
    fn told_at(&self, plan: &Plan, drained: Micros, now: Micros) -> Micros {
        let mut told = drained;
        for trouble in &plan.troubles {
            let (from, to) = (trouble.from_ms * MS, trouble.to_ms * MS);
            match trouble.kind {
                Kind::AgentDown { dispatcher }
                    if dispatcher == self.dispatcher && from <= now && to > drained =>
                {
                    told = told.max(to);
                }
                Kind::WatchSilent { dispatcher }
                    if dispatcher == self.dispatcher && (from..from + SILENT_WATCH).contains(&drained) =>
                {
                    told = told.max(from + SILENT_WATCH);
                }
                _ => {}
            }
        }
        told
    }
}
