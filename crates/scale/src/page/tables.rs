//! Renders a table for each part of the results, one row per sample in the recorded order.

use crate::results::{
    Decider, DecisionSample, ListChange, MembershipEvent, Part, Results, RunEvent, RunSample,
};

const NOT_MEASURED: &str = "Not measured.\n";

/// The commit and the cores of a part, and the table of its samples; `header` and `row` give cells without outer
/// bars.
fn part<T>(part: &Option<Part<T>>, header: &str, row: impl Fn(&T) -> String) -> String {
    let Some(part) = part else { return NOT_MEASURED.to_owned() };
    let columns = header.split('|').count();
    let rows: String = part.samples.iter().map(|sample| format!("| {} |\n", row(sample))).collect();
    format!(
        "Commit {}, {} cores.\n\n| {header} |\n|{}\n{rows}",
        part.commit,
        part.cores,
        " --- |".repeat(columns)
    )
}

fn megabytes(bytes: u64) -> String {
    format!("{:.1}", bytes as f64 / 1e6)
}

/// Mean time of a request in the first sample with this number of servers and percentage in slow start; later
/// samples of the same size vary the number of dispatchers or classes.
fn request_at(samples: &[DecisionSample], decider: Decider, servers: u32, cold: u32) -> Option<f64> {
    let found = samples.iter().find(|sample| {
        (sample.decider, sample.servers, sample.slow_start_percent) == (decider, servers, cold)
    });
    found.map(|sample| sample.request_mean)
}

/// How the cost of a request grows from the smallest number of servers to the largest, and with 20% of them in slow
/// start.
fn cost_growth(results: &Results) -> String {
    let Some(samples) = results.decisions.as_ref().map(|part| &part.samples) else { return String::new() };
    let servers = samples.iter().map(|sample| sample.servers);
    let Some((fewest, most)) = servers.clone().min().zip(servers.max()) else { return String::new() };
    let line = |name: &str, decider| {
        let at = |servers, cold| request_at(samples, decider, servers, cold);
        let (few, many, cold) = (at(fewest, 0)?, at(most, 0)?, at(most, 20)?);
        Some(format!(
            "- {name}: a request at {most} servers costs {:.1} times one at {fewest}; at {most} with 20% in slow start, {:.2} times \
             one with none.\n",
            many / few,
            cold / many
        ))
    };
    let lines = [line("index", Decider::Indexed), line("full scan", Decider::FullScan)];
    let lines: String = lines.into_iter().flatten().collect();
    format!("{lines}\n")
}

pub(super) fn decisions(results: &Results) -> String {
    cost_growth(results) + &decision_table(results)
}

fn decision_table(results: &Results) -> String {
    let header = "program | servers | in slow start | dispatchers | classes | request, mean (us) | p99 | worst | sweep (us) | whole list (us) | changed entry (us) | update heard (us) | memory (MB) | served of measured";
    part(&results.decisions, header, |sample| {
        let program = match sample.decider {
            Decider::Indexed => "index",
            Decider::FullScan => "full scan",
        };
        format!(
            "{program} | {} | {}% | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} | {:.2} | {} | {} of {}",
            sample.servers,
            sample.slow_start_percent,
            sample.dispatchers,
            sample.classes,
            sample.request_mean,
            sample.request_p99,
            sample.request_worst,
            sample.sweep_mean,
            sample.whole_list,
            sample.changed_entry,
            sample.update_received,
            megabytes(sample.memory),
            sample.served,
            sample.requests
        )
    })
}

pub(super) fn membership(results: &Results) -> String {
    let header = "members | event | bytes (member, s) | datagrams (member, s) | processor (us a member and s) | known to all after (s) | played (s)";
    part(&results.membership, header, |sample| {
        let event = match sample.event {
            MembershipEvent::Death => "one dies",
            MembershipEvent::Cut => "cut into two regions, then healed",
        };
        let known =
            sample.known_after.map_or("not in the time played".to_owned(), |time| format!("{time:.1}"));
        format!(
            "{} | {event} | {:.0} | {:.1} | {:.1} | {known} | {:.0}",
            sample.members, sample.bytes, sample.messages, sample.processor, sample.played
        )
    })
}

pub(super) fn gossip(results: &Results) -> String {
    let header = "`prices.peer` | dispatchers | requests a second of each | updates a request | sent a second | heard a second | heard with headers (KB/s) | without (KB/s)";
    part(&results.gossip, header, |sample| {
        format!(
            "{} | {} | {} | {:.3} | {:.2} | {:.0} | {:.1} | {:.1}",
            sample.price,
            sample.dispatchers,
            sample.requests,
            sample.updates_per_request,
            sample.sent,
            sample.heard,
            sample.bytes_received / 1e3,
            sample.payload_received / 1e3
        )
    })
}

pub(super) fn list(results: &Results) -> String {
    let header = "servers | told | bytes | processor (us) | memory beyond before (MB)";
    part(&results.list, header, |sample| {
        let told = match sample.told {
            ListChange::Whole => "all of them, after a start",
            ListChange::Replaced => "one replaced",
            ListChange::Zone => "a zone gone, and back at once",
        };
        format!(
            "{} | {told} | {} | {:.0} | {}",
            sample.servers,
            sample.bytes,
            sample.processor,
            megabytes(sample.memory)
        )
    })
}

pub(super) fn data_path(results: &Results) -> String {
    let header = "requests a second | streams open | events a second | processor (% of a core) | memory (MB) | descriptors";
    part(&results.data_path, header, |sample| {
        format!(
            "{:.0} | {:.0} | {:.0} | {:.1} | {} | {}",
            sample.requests,
            sample.streams,
            sample.events,
            sample.processor * 100.0,
            megabytes(sample.memory),
            sample.descriptors
        )
    })
}

pub(super) fn configuration(results: &Results) -> String {
    let header = "servers in its list | classes | bytes | read and checked (us) | taken over (us)";
    part(&results.configuration, header, |sample| {
        format!(
            "{} | {} | {} | {:.0} | {:.0}",
            sample.servers, sample.classes, sample.bytes, sample.read, sample.taken_over
        )
    })
}

pub(super) fn run(results: &Results) -> String {
    let header = "servers | dispatchers (real) | event | load (s) | processor (% of a core) | memory (MB) | descriptors | datagrams out, in (a second) | first attempt p50, p99 (ms) | served, refused, failed, cut, unanswered | over budget | ran twice";
    part(&results.run, header, |sample: &RunSample| {
        let event = match sample.event {
            RunEvent::None => "none",
            RunEvent::Zone => "a zone lost, back cold",
        };
        let ends = &sample.ends;
        format!(
            "{} | {} ({}), number {} | {event} | {} | {:.1} | {} | {} | {:.1}, {:.0} | {:.2}, {:.2} | {}, {}, {}, {}, {} | {} | {}",
            sample.servers,
            sample.dispatchers,
            sample.real,
            sample.number,
            sample.seconds,
            sample.processor * 100.0,
            megabytes(sample.memory),
            sample.descriptors,
            sample.datagrams_out,
            sample.datagrams_in,
            sample.first_attempt_p50,
            sample.first_attempt_p99,
            ends.served,
            ends.refused,
            ends.failed,
            ends.cut,
            ends.unanswered,
            sample.over_budget,
            sample.ran_twice
        )
    })
}
