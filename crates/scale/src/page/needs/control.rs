//! Needs of a dispatcher's control: its decisions, and its communication with agents and other dispatchers.

use super::samples::{self, SLOW_START_PERCENT};
use super::{Activation, Evidence, Need, Unit, CONTROL};
use crate::results::{Decider, DecisionSample, ListChange, Results};
use crate::target;

/// Sweeps of the router a second, one every 40 ms.
const SWEEPS_PER_SECOND: f64 = 25.0;
/// Headers of UDP and IPv4 (bytes).
const HEADER_BYTES: f64 = 28.0;
/// Size of a load update without headers (bytes).
const UPDATE_BYTES: f64 = 5.0;

fn processor_need(
    name: &'static str,
    share_of_core: f64,
    arithmetic: String,
    mechanism: &'static str,
) -> Need {
    Need {
        role: CONTROL,
        name,
        amount: share_of_core,
        budget: Some(target::CONTROL_CPU_SHARE),
        unit: Unit::Core,
        evidence: Evidence::Measured,
        arithmetic,
        mechanism,
        activation: Activation::On,
    }
}

/// Needs of processor time.
pub(super) fn processor(results: &Results) -> Vec<Need> {
    let Some(indexed) = samples::decisions(results, Decider::Indexed) else { return Vec::new() };
    let mut needs = vec![server_selection(
        indexed,
        "incremental index over the server set, rendezvous hashing: `crates/router/src/fleet.rs`, `ranking.rs`",
    )];
    if let Some(full_scan) = samples::decisions(results, Decider::FullScan) {
        let need = server_selection(full_scan, "a scan of all servers for each rule");
        needs.push(Need { activation: Activation::BeforeIndex, ..need });
    }
    needs.extend(real_process(results));
    needs.extend(updates_received(results, indexed));
    needs.push(list_changes(indexed));
    needs.extend(configurations(results));
    needs.extend(membership(results));
    needs
}

fn server_selection(sample: &DecisionSample, mechanism: &'static str) -> Need {
    let requests = target::requests_per_dispatcher();
    processor_need(
        "processor, choosing servers",
        (sample.request_mean * requests + sample.sweep_mean * SWEEPS_PER_SECOND) / 1e6,
        format!(
            "{:.1} us a request x {requests:.1} + {:.1} us a sweep x {SWEEPS_PER_SECOND:.0} ({SLOW_START_PERCENT}% in slow start)",
            sample.request_mean, sample.sweep_mean
        ),
        mechanism,
    )
}

/// Cost of control as a whole: the difference between a run at the target size and one with the same load in front
/// of 100 replicas without other dispatchers.
fn real_process(results: &Results) -> Option<Need> {
    let (run, baseline) = (samples::run(results)?, samples::last_data_path(results)?);
    Some(processor_need(
        "processor, a real process at the target beyond the same load before 100 replicas alone",
        (run.processor - baseline.processor).max(0.0),
        format!(
            "{:.1}% of a core - {:.1}%, both with 43 requests a second",
            run.processor * 100.0,
            baseline.processor * 100.0
        ),
        "all of the above, with datagrams taken in and connections opened",
    ))
}

fn updates_received(results: &Results, decisions: &DecisionSample) -> Option<Need> {
    let gossip = samples::gossip(results)?;
    Some(processor_need(
        "processor, load updates heard (decisions alone)",
        decisions.update_received * gossip.heard / 1e6,
        format!("{:.2} us an update x {:.0} a second", decisions.update_received, gossip.heard),
        "gossip by broadcast: `crates/router/src/gossip.rs`",
    ))
}

/// Counts two changed entries for each restarted or replaced server.
fn list_changes(decisions: &DecisionSample) -> Need {
    processor_need(
        "processor, changes of the list (decisions alone)",
        decisions.changed_entry * 2.0 * target::RESTARTS_PER_DAY / target::SECONDS_PER_DAY / 1e6,
        format!("{:.1} us an entry x 2 x {:.0} a day", decisions.changed_entry, target::RESTARTS_PER_DAY),
        "watch with deltas: `src/edge/discovery.rs`",
    )
}

fn configurations(results: &Results) -> Option<Need> {
    let sample = results.configuration.as_ref()?.samples.last()?;
    Some(processor_need(
        "processor, configurations taken over",
        (sample.read + sample.taken_over) * target::CONFIG_CHANGES_PER_DAY / target::SECONDS_PER_DAY / 1e6,
        format!(
            "({:.0} + {:.0}) us x {:.0} a day, {} classes",
            sample.read,
            sample.taken_over,
            target::CONFIG_CHANGES_PER_DAY,
            sample.classes
        ),
        "whole file read again at SIGHUP: `src/edge/settings.rs`",
    ))
}

fn membership(results: &Results) -> Option<Need> {
    let sample = samples::membership(results)?;
    let need = processor_need(
        "processor, membership",
        sample.processor / 1e6,
        format!("{:.1} us a member and second", sample.processor),
        "SWIM with Lifeguard: `crates/membership`",
    );
    Some(Need { activation: Activation::Off, ..need })
}

/// Need of memory.
pub(super) fn memory(results: &Results) -> Option<Need> {
    let decisions = samples::decisions(results, Decider::Indexed)?;
    let list = samples::list(results, ListChange::Whole)?;
    Some(Need {
        role: CONTROL,
        name: "memory, servers and beliefs",
        amount: (decisions.memory + list.memory) as f64,
        budget: Some(target::CONTROL_MEMORY_BYTES),
        unit: Unit::Bytes,
        evidence: Evidence::Measured,
        arithmetic: format!(
            "{:.1} MB decisions + {:.1} MB list",
            decisions.memory as f64 / 1e6,
            list.memory as f64 / 1e6
        ),
        mechanism:
            "bounded LRU tables, expiry after 60 s: `crates/router/src/prefix_table.rs`, `prefix_holders.rs`",
        activation: Activation::On,
    })
}

fn bytes_need(
    name: &'static str,
    bytes_per_second: f64,
    arithmetic: String,
    mechanism: &'static str,
) -> Need {
    Need {
        role: CONTROL,
        name,
        amount: bytes_per_second,
        budget: Some(target::CONTROL_BYTES_PER_SECOND),
        unit: Unit::BytesPerSecond,
        evidence: Evidence::Measured,
        arithmetic,
        mechanism,
        activation: Activation::On,
    }
}

/// Needs of network traffic.
pub(super) fn bytes(results: &Results) -> Vec<Need> {
    let needs =
        [update_bytes(results), update_bytes_in_run(results), membership_bytes(results), list_bytes(results)];
    needs.into_iter().flatten().collect()
}

fn update_bytes(results: &Results) -> Option<Need> {
    let sample = samples::gossip(results)?;
    Some(bytes_need(
        "bytes, load updates heard",
        sample.bytes_received,
        format!(
            "{:.3} updates a request x {:.0} requests x {:.0} others x {:.0} bytes",
            sample.updates_per_request,
            sample.requests,
            target::DISPATCHERS - 1.0,
            UPDATE_BYTES + HEADER_BYTES
        ),
        "gossip by broadcast, one update a datagram, bounded by price alone: `crates/router/src/gossip.rs`",
    ))
}

fn update_bytes_in_run(results: &Results) -> Option<Need> {
    let run = samples::run(results)?;
    let datagram_bytes = UPDATE_BYTES + HEADER_BYTES;
    Some(bytes_need(
        "bytes, load updates heard in the run",
        run.datagrams_in * datagram_bytes,
        format!("{:.0} datagrams a second x {datagram_bytes:.0} bytes", run.datagrams_in),
        "the same, as real processes told",
    ))
}

fn membership_bytes(results: &Results) -> Option<Need> {
    let sample = samples::membership(results)?;
    let need = bytes_need(
        "bytes, membership sent",
        sample.bytes,
        format!("{:.1} datagrams a second, headers counted", sample.messages),
        "SWIM with Lifeguard: `crates/membership`",
    );
    Some(Need { activation: Activation::Off, ..need })
}

/// Counts the bytes of each replacement 1.5 times, because a server drains before it is replaced.
fn list_bytes(results: &Results) -> Option<Need> {
    let replaced = samples::list(results, ListChange::Replaced)?;
    let need = bytes_need(
        "bytes, changes of the list",
        replaced.bytes as f64 * 1.5 * target::RESTARTS_PER_DAY / target::SECONDS_PER_DAY,
        format!("{} bytes x 1.5 (a drain first) x {:.0} a day", replaced.bytes, target::RESTARTS_PER_DAY),
        "watch with deltas: `src/edge/discovery.rs`",
    );
    Some(Need { evidence: Evidence::Computed, ..need })
}
