//! Needs of the roles other than dispatchers: replicas, discovery, and the machines reserved for control.

use super::{samples, Activation, Evidence, Need, Unit};
use crate::results::{ListChange, ListSample, Results};
use crate::target;

const READER: &str = "replica, reader";
const WRITER: &str = "replica, writer";
const POOL_MECHANISM: &str =
    "pool of kept connections, 0.6 x 4 / 510 of the keep-alive of 30 s: `src/edge/connections.rs`";
/// Assumed duration of a read (s).
const READ_DURATION_S: f64 = 0.3;
/// How long a dispatcher keeps an idle connection to a server: 0.6 x 4 / 510 of the keep-alive of 30 s (s).
const IDLE_LIFETIME_S: f64 = 0.141;

/// A need without a budget that was calculated.
fn computed(
    role: &'static str,
    name: &'static str,
    amount: f64,
    unit: Unit,
    arithmetic: String,
    mechanism: &'static str,
) -> Need {
    Need {
        role,
        name,
        amount,
        budget: None,
        unit,
        evidence: Evidence::Computed,
        arithmetic,
        mechanism,
        activation: Activation::On,
    }
}

/// Needs of one reader and of one writer.
pub(super) fn replicas() -> Vec<Need> {
    let mut needs = readers(target::REPLICAS * target::READER_SHARE);
    needs.extend(writers(target::REPLICAS - target::REPLICAS * target::READER_SHARE));
    needs
}

/// Needs of one of `count` readers.
fn readers(count: f64) -> Vec<Need> {
    let reads = target::REQUESTS_PER_SECOND / count;
    vec![
        computed(
            READER,
            "reads, each on a new connection",
            reads,
            Unit::PerSecond,
            format!("{:.0} requests a second over {count:.0}; a pair of dispatcher and reader meets each {:.0} s, so that a kept connection is seldom used again", target::REQUESTS_PER_SECOND, target::DISPATCHERS / reads),
            POOL_MECHANISM,
        ),
        computed(
            READER,
            "connections open",
            reads * (READ_DURATION_S + IDLE_LIFETIME_S),
            Unit::Descriptors,
            format!("{reads:.1} a second x ({READ_DURATION_S} s of reading + {IDLE_LIFETIME_S} s kept)"),
            POOL_MECHANISM,
        ),
    ]
}

/// Needs of one of `count` writers.
fn writers(count: f64) -> Vec<Need> {
    let answers = target::REQUESTS_PER_SECOND / count;
    let stream_s = target::STREAMS_PER_DISPATCHER / target::requests_per_dispatcher();
    vec![
        computed(
            WRITER,
            "answers, each on a new connection",
            answers,
            Unit::PerSecond,
            format!("{:.0} requests a second over {count:.0}", target::REQUESTS_PER_SECOND),
            POOL_MECHANISM,
        ),
        computed(
            WRITER,
            "connections open",
            answers * (stream_s + IDLE_LIFETIME_S),
            Unit::Descriptors,
            format!("{answers:.1} a second x ({stream_s:.1} s of stream + {IDLE_LIFETIME_S} s kept)"),
            POOL_MECHANISM,
        ),
        computed(
            WRITER,
            "prompt memory handed over to it",
            target::PROMPT_STATE_BYTES_PER_SECOND / count,
            Unit::BytesPerSecond,
            format!(
                "{:.0} GB a second over {count:.0}, in the reader's cell where that has room",
                target::PROMPT_STATE_BYTES_PER_SECOND / 1e9
            ),
            "cells: a writer beside the reader, `crates/router/src/writers.rs`",
        ),
    ]
}

/// Needs of all discovery agents together.
pub(super) fn discovery(results: &Results) -> Vec<Need> {
    let mut needs = Vec::new();
    if let Some(whole) = samples::list(results, ListChange::Whole) {
        let name = "all dispatchers start at once";
        needs.push(all_agents(name, whole, target::DISPATCHERS, "dispatchers"));
    }
    if let Some(zone) = samples::list(results, ListChange::Zone) {
        needs.push(all_agents("a zone lost and back", zone, target::DISPATCHERS, "dispatchers"));
    }
    if let Some(replaced) = samples::list(results, ListChange::Replaced) {
        let times = target::DISPATCHERS * target::RESTARTS_PER_DAY;
        needs.push(all_agents("a day's replacements", replaced, times, "changes heard"));
    }
    needs
}

fn all_agents(name: &'static str, sample: &ListSample, times: f64, per: &str) -> Need {
    computed(
        "discovery, all agents together",
        name,
        sample.bytes as f64 * times,
        Unit::Bytes,
        format!("{} bytes x {times:.0} {per}", sample.bytes),
        "an agent on each dispatcher's machine, watched: `src/edge/discovery.rs`",
    )
}

/// Need of machines that are reserved for control.
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
