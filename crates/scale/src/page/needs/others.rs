//! What roles need other than dispatchers: replicas, discovery, and machines of control.

use super::{samples, Activation, Evidence, Need, Unit};
use crate::results::{ListChange, ListSample, Results};
use crate::target;

const READER: &str = "replica, reader";
const WRITER: &str = "replica, writer";
const POOL: &str =
    "pool of kept connections, 0.6 x 4 / 510 of the keep-alive of 30 s: `src/edge/connections.rs`";
/// A read takes so long (s).
const READING_S: f64 = 0.3;
/// A connection is kept for so long after its use (s).
const KEPT_S: f64 = 0.141;

fn computed(
    role: &'static str,
    what: &'static str,
    amount: f64,
    unit: Unit,
    arithmetic: String,
    mechanism: &'static str,
) -> Need {
    Need {
        role,
        what,
        amount,
        budget: None,
        unit,
        evidence: Evidence::Computed,
        arithmetic,
        mechanism,
        activation: Activation::On,
    }
}

/// Needs of replicas.
pub(super) fn replicas() -> Vec<Need> {
    let mut needs = readers(target::REPLICAS * target::READERS);
    needs.extend(writers(target::REPLICAS - target::REPLICAS * target::READERS));
    needs
}

fn readers(count: f64) -> Vec<Need> {
    let reads = target::REQUESTS / count;
    vec![
        computed(
            READER,
            "reads, each on a new connection",
            reads,
            Unit::PerSecond,
            format!("{:.0} requests a second over {count:.0}; a pair of dispatcher and reader meets each {:.0} s, so that a kept connection is seldom used again", target::REQUESTS, target::DISPATCHERS / reads),
            POOL,
        ),
        computed(
            READER,
            "connections open",
            reads * (READING_S + KEPT_S),
            Unit::Descriptors,
            format!("{reads:.1} a second x ({READING_S} s of reading + {KEPT_S} s kept)"),
            POOL,
        ),
    ]
}

fn writers(count: f64) -> Vec<Need> {
    let answers = target::REQUESTS / count;
    let stream_s = target::STREAMS / target::requests_of_one();
    vec![
        computed(
            WRITER,
            "answers, each on a new connection",
            answers,
            Unit::PerSecond,
            format!("{:.0} requests a second over {count:.0}", target::REQUESTS),
            POOL,
        ),
        computed(
            WRITER,
            "connections open",
            answers * (stream_s + KEPT_S),
            Unit::Descriptors,
            format!("{answers:.1} a second x ({stream_s:.1} s of stream + {KEPT_S} s kept)"),
            POOL,
        ),
        computed(
            WRITER,
            "prompt memory handed over to it",
            target::HANDED_OVER / count,
            Unit::BytesPerSecond,
            format!(
                "{:.0} GB a second over {count:.0}, in the reader's cell where that has room",
                target::HANDED_OVER / 1e9
            ),
            "cells: a writer beside the reader, `crates/router/src/writers.rs`",
        ),
    ]
}

/// Needs of all agents of discovery together.
pub(super) fn discovery(results: &Results) -> Vec<Need> {
    let mut needs = Vec::new();
    if let Some(whole) = samples::list(results, ListChange::Whole) {
        let what = "all dispatchers start at once";
        needs.push(all_agents(what, whole, target::DISPATCHERS, "dispatchers"));
    }
    if let Some(zone) = samples::list(results, ListChange::Zone) {
        needs.push(all_agents("a zone lost and back", zone, target::DISPATCHERS, "dispatchers"));
    }
    if let Some(replaced) = samples::list(results, ListChange::Replaced) {
        let times = target::DISPATCHERS * target::RESTARTS;
        needs.push(all_agents("a day's replacements", replaced, times, "changes heard"));
    }
    needs
}

fn all_agents(what: &'static str, sample: &ListSample, times: f64, per: &str) -> Need {
    computed(
        "discovery, all agents together",
        what,
        sample.bytes as f64 * times,
        Unit::Bytes,
        format!("{} bytes x {times:.0} {per}", sample.bytes),
        "an agent on each dispatcher's machine, watched: `src/edge/discovery.rs`",
    )
}

/// Machines set aside for control.
pub(super) fn control_machines() -> Need {
    let need = computed(
        "control machines",
        "machines that the program uses",
        0.0,
        Unit::Descriptors,
        "nothing of this program runs there".to_owned(),
        "None",
    );
    Need { budget: Some(target::CONTROL_MACHINES), ..need }
}
