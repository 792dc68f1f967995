//! What each role needs at the target, reckoned from the samples, against what it may have.

use crate::results::{
    DataPathSample, Decider, DecisionSample, GossipSample, ListSample, ListTold, MembershipEvent,
    MembershipSample, Results, RunEvent, RunSample,
};
use crate::target;

/// A sweep comes so often a second.
const SWEEPS: f64 = 25.0;
/// Headers of UDP and IPv4 (bytes).
const HEADERS: f64 = 28.0;
const UPDATE: f64 = 5.0;
/// Of the servers of an ordinary day, so many of a hundred are taken to be in slow start.
const COLD_PERCENT: u32 = 10;

/// How a need is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    /// A sample was taken at the target's size.
    Measured,
    /// From samples of smaller sizes, by this factor.
    Extrapolated,
    /// On paper.
    Reckoned,
}

/// Whether `run` of the deploy file has what makes a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    On,
    Off,
    /// The program had it before the index.
    Before,
}

/// One need of one role.
#[derive(Clone, Debug)]
struct Need {
    role: &'static str,
    what: &'static str,
    need: f64,
    /// What it may have, if anything says so.
    budget: Option<f64>,
    unit: Unit,
    known: Known,
    arithmetic: String,
    mechanism: &'static str,
    standing: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    Core,
    Bytes,
    BytesASecond,
    Descriptors,
    ASecond,
}

impl Unit {
    fn text(self, amount: f64) -> String {
        match self {
            Self::Core => format!("{:.3}% of a core", amount * 100.0),
            Self::Bytes => format!("{:.1} MB", amount / 1e6),
            Self::BytesASecond => format!("{:.2} KB/s", amount / 1e3),
            Self::Descriptors => format!("{amount:.0}"),
            Self::ASecond => format!("{amount:.2} a second"),
        }
    }
}

impl Need {
    fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.need / budget)
    }

    fn row(&self) -> String {
        let budget = self.budget.map_or("none told".to_owned(), |budget| self.unit.text(budget));
        let ratio = self.ratio().map_or("-".to_owned(), |ratio| format!("{ratio:.3}"));
        let known = match self.known {
            Known::Measured => "measured",
            Known::Extrapolated => "extrapolated",
            Known::Reckoned => "reckoned",
        };
        let standing = match self.standing {
            Standing::On => "",
            Standing::Off => " (off in `run`)",
            Standing::Before => " (before the index)",
        };
        format!(
            "| {} | {}{standing} | {} | {budget} | {ratio} | {known}: {} | {} |\n",
            self.role,
            self.what,
            self.unit.text(self.need),
            self.arithmetic,
            self.mechanism
        )
    }
}

/// The slope and the start of a line through the points, by least squares.
fn line(points: &[(f64, f64)]) -> Option<(f64, f64)> {
    let count = points.len() as f64;
    let (x, y) =
        (points.iter().map(|p| p.0).sum::<f64>() / count, points.iter().map(|p| p.1).sum::<f64>() / count);
    let across: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let along: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    (points.len() > 1 && along > 0.0).then(|| (across / along, y - across / along * x))
}

fn decisions(results: &Results, decider: Decider) -> Option<&DecisionSample> {
    let samples = &results.decisions.as_ref()?.samples;
    samples.iter().find(|sample| {
        sample.decider == decider
            && f64::from(sample.servers) == target::REPLICAS
            && sample.cold_percent == COLD_PERCENT
    })
}

fn gossip(results: &Results) -> Option<&GossipSample> {
    let samples = &results.gossip.as_ref()?.samples;
    samples.iter().find(|sample| f64::from(sample.dispatchers) == target::DISPATCHERS)
}

fn list(results: &Results, told: ListTold) -> Option<&ListSample> {
    let samples = &results.list.as_ref()?.samples;
    samples.iter().find(|sample| sample.told == told && f64::from(sample.servers) == target::REPLICAS)
}

fn membership(results: &Results) -> Option<&MembershipSample> {
    let samples = &results.membership.as_ref()?.samples;
    let at_target = |sample: &&MembershipSample| {
        sample.event == MembershipEvent::Death && f64::from(sample.members) == target::DISPATCHERS
    };
    samples.iter().find(at_target)
}

fn target_run(results: &Results) -> Option<&RunSample> {
    let samples = &results.run.as_ref()?.samples;
    let at_target = |sample: &&RunSample| {
        f64::from(sample.servers) == target::REPLICAS
            && f64::from(sample.dispatchers) == target::DISPATCHERS
            && sample.event == RunEvent::None
    };
    samples.iter().find(at_target)
}

fn last_data_path(results: &Results) -> Option<&DataPathSample> {
    results.data_path.as_ref()?.samples.last()
}

fn control_processor(results: &Results, needs: &mut Vec<Need>) {
    let role = "dispatcher, control";
    let core = |what, need, arithmetic, mechanism| Need {
        role,
        what,
        need,
        budget: Some(target::CONTROL_PROCESSOR),
        unit: Unit::Core,
        known: Known::Measured,
        arithmetic,
        mechanism,
        standing: Standing::On,
    };
    let Some(sample) = decisions(results, Decider::Indexed) else { return };
    let requests = target::requests_of_one();
    let choosing =
        |sample: &DecisionSample| (sample.request_mean * requests + sample.sweep_mean * SWEEPS) / 1e6;
    let arithmetic = |sample: &DecisionSample| {
        format!(
            "{:.1} us a request x {requests:.1} + {:.1} us a sweep x {SWEEPS:.0} ({COLD_PERCENT}% in slow start)",
            sample.request_mean, sample.sweep_mean
        )
    };
    needs.push(core(
        "processor, choosing servers",
        choosing(sample),
        arithmetic(sample),
        "incremental index over the server set, rendezvous hashing: `crates/router/src/fleet.rs`, `ranking.rs`",
    ));
    if let Some(before) = decisions(results, Decider::FullScan) {
        let need = core(
            "processor, choosing servers",
            choosing(before),
            arithmetic(before),
            "a scan of all servers for each rule",
        );
        needs.push(Need { standing: Standing::Before, ..need });
    }
    if let Some((run, alone)) = target_run(results).zip(last_data_path(results)) {
        needs.push(core(
            "processor, a real process at the target beyond the same load before 100 replicas alone",
            (run.processor - alone.processor).max(0.0),
            format!(
                "{:.1}% of a core - {:.1}%, both with 43 requests a second",
                run.processor * 100.0,
                alone.processor * 100.0
            ),
            "all of the above, with datagrams taken in and connections opened",
        ));
    }
    if let Some(told) = gossip(results) {
        needs.push(core(
            "processor, load updates heard (decisions alone)",
            sample.update_heard * told.heard / 1e6,
            format!("{:.2} us an update x {:.0} a second", sample.update_heard, told.heard),
            "gossip by broadcast: `crates/router/src/gossip.rs`",
        ));
    }
    needs.push(core(
        "processor, changes of the list (decisions alone)",
        sample.changed_entry * 2.0 * target::RESTARTS / target::DAY / 1e6,
        format!("{:.1} us an entry x 2 x {:.0} a day", sample.changed_entry, target::RESTARTS),
        "watch with deltas: `src/edge/list.rs`",
    ));
    let part = results.configuration.as_ref().and_then(|part| part.samples.last());
    if let Some(sample) = part {
        needs.push(core(
            "processor, configurations taken over",
            (sample.read + sample.taken_over) * target::CHANGES / target::DAY / 1e6,
            format!(
                "({:.0} + {:.0}) us x {:.0} a day, {} classes",
                sample.read,
                sample.taken_over,
                target::CHANGES,
                sample.classes
            ),
            "whole file read again at SIGHUP: `src/edge/settings.rs`",
        ));
    }
    if let Some(sample) = membership(results) {
        let need = core(
            "processor, membership",
            sample.processor / 1e6,
            format!("{:.1} us a member and second", sample.processor),
            "SWIM with Lifeguard: `crates/membership`",
        );
        needs.push(Need { standing: Standing::Off, ..need });
    }
}

fn control_memory(results: &Results, needs: &mut Vec<Need>) {
    let (Some(sample), Some(whole)) = (decisions(results, Decider::Indexed), list(results, ListTold::Whole))
    else {
        return;
    };
    needs.push(Need {
        role: "dispatcher, control",
        what: "memory, servers and beliefs",
        need: (sample.memory + whole.memory) as f64,
        budget: Some(target::CONTROL_MEMORY),
        unit: Unit::Bytes,
        known: Known::Measured,
        arithmetic: format!(
            "{:.1} MB decisions + {:.1} MB list",
            sample.memory as f64 / 1e6,
            whole.memory as f64 / 1e6
        ),
        mechanism: "bounded LRU tables, expiry after 60 s: `crates/router/src/tables.rs`, `holders.rs`",
        standing: Standing::On,
    });
}

fn control_bytes(results: &Results, needs: &mut Vec<Need>) {
    let bytes = |what, need, known, arithmetic, mechanism, standing| Need {
        role: "dispatcher, control",
        what,
        need,
        budget: Some(target::CONTROL_BYTES),
        unit: Unit::BytesASecond,
        known,
        arithmetic,
        mechanism,
        standing,
    };
    if let Some(told) = gossip(results) {
        needs.push(bytes(
            "bytes, load updates heard",
            told.bytes_heard,
            Known::Measured,
            format!(
                "{:.3} updates a request x {:.0} requests x {:.0} others x {:.0} bytes",
                told.told_for_each_request,
                told.requests,
                target::DISPATCHERS - 1.0,
                UPDATE + HEADERS
            ),
            "gossip by broadcast, one update a datagram, bounded by price alone: `crates/router/src/gossip.rs`",
            Standing::On,
        ));
    }
    if let Some(run) = target_run(results) {
        needs.push(bytes(
            "bytes, load updates heard in the run",
            run.datagrams_in * (UPDATE + HEADERS),
            Known::Measured,
            format!("{:.0} datagrams a second x {:.0} bytes", run.datagrams_in, UPDATE + HEADERS),
            "the same, as real processes told",
            Standing::On,
        ));
    }
    if let Some(sample) = membership(results) {
        needs.push(bytes(
            "bytes, membership sent",
            sample.bytes,
            Known::Measured,
            format!("{:.1} datagrams a second, headers counted", sample.messages),
            "SWIM with Lifeguard: `crates/membership`",
            Standing::Off,
        ));
    }
    if let Some(replaced) = list(results, ListTold::Replaced) {
        needs.push(bytes(
            "bytes, changes of the list",
            replaced.bytes as f64 * 1.5 * target::RESTARTS / target::DAY,
            Known::Reckoned,
            format!("{} bytes x 1.5 (a drain first) x {:.0} a day", replaced.bytes, target::RESTARTS),
            "watch with deltas: `src/edge/list.rs`",
            Standing::On,
        ));
    }
}

fn data_path(results: &Results, needs: &mut Vec<Need>) {
    let Some(samples) = results.data_path.as_ref().map(|part| &part.samples) else { return };
    let points = |y: &dyn Fn(&DataPathSample) -> f64,
                  x: &dyn Fn(&DataPathSample) -> f64|
     -> Vec<(f64, f64)> { samples.iter().map(|sample| (x(sample), y(sample))).collect() };
    let role = "dispatcher, data path";
    let events = target::events_of_one();
    if let Some((slope, start)) = line(&points(&|s| s.processor, &|s| s.events)) {
        needs.push(Need {
            role,
            what: "processor, relay and requests",
            need: start + slope * events,
            budget: Some(1.0),
            unit: Unit::Core,
            known: Known::Extrapolated,
            arithmetic: format!(
                "{:.2}% of a core at {:.0} requests a second + {:.1} us an event x {events:.0} events a second; budget: one core, as there is one thread",
                start * 100.0,
                samples[0].requests,
                slope * 1e6
            ),
            mechanism: "one event loop on one thread: `src/edge/servers.rs` (`Relay`), hyper",
            standing: Standing::On,
        });
    }
    if let Some((slope, start)) = line(&points(&|s| s.memory as f64, &|s| s.streams)) {
        needs.push(Need {
            role,
            what: "memory, open streams",
            need: start + slope * target::STREAMS,
            budget: None,
            unit: Unit::Bytes,
            known: Known::Extrapolated,
            arithmetic: format!(
                "{:.1} MB + {:.1} KB a stream x {:.0}",
                start / 1e6,
                slope / 1e3,
                target::STREAMS
            ),
            mechanism: "bounded buffers: `src/edge/clients/listener.rs`",
            standing: Standing::On,
        });
    }
    if let Some((slope, start)) = line(&points(&|s| s.descriptors as f64, &|s| s.streams)) {
        let need = (start + slope * target::STREAMS).max(3.0 * target::STREAMS);
        needs.push(Need {
            role,
            what: "descriptors, so that all streams find room",
            need,
            budget: Some(1_024.0),
            unit: Unit::Descriptors,
            known: Known::Reckoned,
            arithmetic: format!(
                "{start:.0} + {slope:.1} a stream x {:.0}, three for each open request as `Config::max_open_requests` reserves; 1,024 is the least that limits have given so far",
                target::STREAMS
            ),
            mechanism: "a third of the descriptors for open requests: `src/edge/settings.rs`",
            standing: Standing::On,
        });
    }
}

fn replicas(needs: &mut Vec<Need>) {
    let reckoned = |role, what, need, unit, arithmetic, mechanism| Need {
        role,
        what,
        need,
        budget: None,
        unit,
        known: Known::Reckoned,
        arithmetic,
        mechanism,
        standing: Standing::On,
    };
    let readers = target::REPLICAS * target::READERS;
    let writers = target::REPLICAS - readers;
    let (read, written) = (target::REQUESTS / readers, target::REQUESTS / writers);
    let (read_for, kept_for) = (0.3, 0.141);
    let stream = target::STREAMS / target::requests_of_one();
    let pool = "pool of kept connections, 0.6 x 4 / 510 of the keep-alive of 30 s: `src/edge/connections.rs`";
    needs.push(reckoned(
        "replica, reader",
        "reads, each on a new connection",
        read,
        Unit::ASecond,
        format!("{:.0} requests a second over {readers:.0}; a pair of dispatcher and reader meets each {:.0} s, so that a kept connection is seldom used again", target::REQUESTS, target::DISPATCHERS / read),
        pool,
    ));
    needs.push(reckoned(
        "replica, reader",
        "connections open",
        read * (read_for + kept_for),
        Unit::Descriptors,
        format!("{read:.1} a second x ({read_for} s of reading + {kept_for} s kept)"),
        pool,
    ));
    needs.push(reckoned(
        "replica, writer",
        "answers, each on a new connection",
        written,
        Unit::ASecond,
        format!("{:.0} requests a second over {writers:.0}", target::REQUESTS),
        pool,
    ));
    needs.push(reckoned(
        "replica, writer",
        "connections open",
        written * (stream + kept_for),
        Unit::Descriptors,
        format!("{written:.1} a second x ({stream:.1} s of stream + {kept_for} s kept)"),
        pool,
    ));
    needs.push(reckoned(
        "replica, writer",
        "prompt memory handed over to it",
        target::HANDED_OVER / writers,
        Unit::BytesASecond,
        format!(
            "{:.0} GB a second over {writers:.0}, in the reader's cell where that has room",
            target::HANDED_OVER / 1e9
        ),
        "cells: a writer beside the reader, `crates/router/src/writers.rs`",
    ));
}

fn discovery(results: &Results, needs: &mut Vec<Need>) {
    let role = "discovery, all agents together";
    let all = |what, sample: &ListSample, times: f64, per: &str| Need {
        role,
        what,
        need: sample.bytes as f64 * times,
        budget: None,
        unit: Unit::Bytes,
        known: Known::Reckoned,
        arithmetic: format!("{} bytes x {times:.0} {per}", sample.bytes),
        mechanism: "an agent on each dispatcher's machine, watched: `src/edge/list.rs`",
        standing: Standing::On,
    };
    if let Some(whole) = list(results, ListTold::Whole) {
        needs.push(all("all dispatchers start at once", whole, target::DISPATCHERS, "dispatchers"));
    }
    if let Some(zone) = list(results, ListTold::Zone) {
        needs.push(all("a zone lost and back", zone, target::DISPATCHERS, "dispatchers"));
    }
    if let Some(replaced) = list(results, ListTold::Replaced) {
        let times = target::DISPATCHERS * target::RESTARTS;
        needs.push(all("a day's replacements", replaced, times, "changes heard"));
    }
}

fn control_machines(needs: &mut Vec<Need>) {
    needs.push(Need {
        role: "control machines",
        what: "machines that the program uses",
        need: 0.0,
        budget: Some(target::CONTROL_MACHINES),
        unit: Unit::Descriptors,
        known: Known::Reckoned,
        arithmetic: "nothing of this program runs there".to_owned(),
        mechanism: "None",
        standing: Standing::On,
    });
}

fn all(results: &Results) -> Vec<Need> {
    let mut needs = Vec::new();
    control_processor(results, &mut needs);
    control_memory(results, &mut needs);
    control_bytes(results, &mut needs);
    data_path(results, &mut needs);
    replicas(&mut needs);
    discovery(results, &mut needs);
    control_machines(&mut needs);
    needs
}

const HEADER: &str =
    "| role | need | at the target | budget | ratio | how it is known | mechanism and file |\n| --- | --- | --- | --- | --- | --- | --- |\n";

/// All needs, role by role.
pub(super) fn table(results: &Results) -> String {
    let rows: String = all(results).iter().map(Need::row).collect();
    format!("{HEADER}{rows}")
}

/// The needs that are turned on and over half of their budget, the highest ratio first.
pub(super) fn missing(results: &Results) -> String {
    let weighs =
        |need: &Need| need.standing != Standing::Before && need.ratio().is_some_and(|ratio| ratio > 0.5);
    let mut over: Vec<Need> = all(results).into_iter().filter(weighs).collect();
    over.sort_by(|a, b| b.ratio().unwrap_or(0.0).total_cmp(&a.ratio().unwrap_or(0.0)));
    if over.is_empty() {
        return "No need is over half of its budget.\n".to_owned();
    }
    let rows: String = over.iter().map(Need::row).collect();
    format!("{HEADER}{rows}")
}
