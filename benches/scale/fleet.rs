//! Runs with real dispatchers in a deployment whose servers (replicas) and other dispatchers are hollow: each kind is
//! simulated by one process that only speaks the protocols. Also measures the cost of the data path in such runs.

use std::path::PathBuf;

use dewladder_scale::hollow;
use dewladder_scale::options::{self, OptionsError};
use dewladder_scale::results::{DataPathSample, RunEvent, RunSample};
use dewladder_scale::run::{run, run_command, Programs, Report, RunOptions};
use pico_args::Arguments;

use crate::{root, Failure};

/// The values of `--event`: what happens during a run.
const EVENTS: [(&str, RunEvent); 2] = [("none", RunEvent::None), ("zone", RunEvent::Zone)];

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    Ok(tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?)
}

/// The programs to start: the dispatcher with the command of the deploy file, and this program for the hollow
/// servers and dispatchers.
fn programs() -> Result<Programs, Failure> {
    let scratch = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let dispatcher = run_command(&root().join("deploy/balancer.toml"))?;
    Ok(Programs { dispatcher, folder: root().to_owned(), hollow: std::env::current_exe()?, scratch })
}

/// The options of a run; there can't be more real dispatchers than dispatchers.
fn run_options(arguments: &mut Arguments) -> Result<RunOptions, OptionsError> {
    let options = RunOptions {
        servers: options::number(arguments, "--servers", 100, 20..=20_000)?,
        dispatchers: options::number(arguments, "--dispatchers", 18, 1..=10_000)?,
        real: options::number(arguments, "--real", 2, 1..=90)?,
        seconds: options::number(arguments, "--seconds", 30, 3..=3_600)?,
        requests: options::number(arguments, "--requests", 43, 1..=2_000)?,
        classes: options::number(arguments, "--classes", 4, 1..=1_000)?,
        events: options::number(arguments, "--events", 250, 1..=100_000)?,
        event_ms: options::number(arguments, "--event-ms", 32, 1..=10_000)?,
        descriptors: options::number(arguments, "--descriptors", 2_048, 64..=100_000)?,
        memory_mb: options::number(arguments, "--memory-mb", 256, 16..=8_192)?,
        event: options::one_of(arguments, "--event", &EVENTS)?,
    };
    if options.real > options.dispatchers {
        let reason = format!("{} of {} dispatchers", options.real, options.dispatchers);
        return Err(OptionsError::Conflict { option: "--real", reason });
    }
    Ok(options)
}

/// Executes one run and prints its progress.
fn execute(options: RunOptions) -> Result<Report, Failure> {
    let programs = programs()?;
    Ok(runtime()?.block_on(run(options, &programs, |text| println!("{text}")))?)
}

fn print(report: &Report) {
    for sample in &report.samples {
        let RunSample { number, ends, processor, memory, descriptors, .. } = sample;
        println!(
            "dispatcher {number}: {:.1}% of a core, {:.1} MB, {descriptors} descriptors, datagrams {:.1} out {:.0} in a second, \
             first attempt {:.2} ms (p99 {:.2}); {} served, {} refused, {} failed, {} cut, {} unanswered",
            processor * 100.0,
            *memory as f64 / 1e6,
            sample.datagrams_out,
            sample.datagrams_in,
            sample.first_attempt_p50,
            sample.first_attempt_p99,
            ends.served,
            ends.refused,
            ends.failed,
            ends.cut,
            ends.unanswered
        );
    }
    let replicas = &report.replicas;
    println!(
        "replicas: {} reads, {} writes, {} calls to servers in slow start of which {} over their budget, \
         {} at-most-once requests that ran twice, {} states still held; {} connections, {} open at once, {} at one; datagrams lost {}; {:.0} events a second and \
         {:.0} streams open at each dispatcher",
        replicas.reads,
        replicas.writes,
        replicas.cold_calls,
        replicas.over_budget,
        replicas.ran_twice,
        replicas.held,
        replicas.connections,
        replicas.most_connections,
        replicas.most_at_one,
        report.gossip.lost,
        report.events,
        report.streams
    );
}

/// The part `run`: executes one run and adds its samples to the recorded ones, in place of those with the same
/// numbers of servers and dispatchers and the same event.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let options = run_options(&mut arguments)?;
    options::end(arguments)?;
    let report = execute(options)?;
    print(&report);
    let part = crate::part(report.samples)?;
    crate::record(&out, |results| {
        let is_replaced = |sample: &RunSample| {
            (sample.servers, sample.dispatchers, sample.event)
                == (options.servers, options.dispatchers, options.event)
        };
        let mut samples: Vec<RunSample> = Vec::new();
        // Samples of another commit were taken with another program, and are dropped.
        if let Some(before) = results.run.take().filter(|before| before.commit == part.commit) {
            samples.extend(before.samples.into_iter().filter(|sample| !is_replaced(sample)));
        }
        samples.extend(part.samples);
        results.run = Some(dewladder_scale::results::Part { samples, ..part });
    })
}

/// The part `data-path`: one real dispatcher with 100 servers at a constant request rate, in one run for each
/// number of events per stream.
pub fn data_path(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let events = options::numbers(&mut arguments, "--events", "1,31,63,125,250", 1..=10_000u32)?;
    let seconds = options::number(&mut arguments, "--seconds", 30, 5..=3_600)?;
    options::end(arguments)?;
    let mut samples = Vec::new();
    for events in events {
        let options = RunOptions {
            servers: 100,
            dispatchers: 1,
            real: 1,
            seconds,
            requests: 43,
            classes: 4,
            events,
            event_ms: 32,
            descriptors: 2_048,
            memory_mb: 256,
            event: RunEvent::None,
        };
        let report = execute(options)?;
        print(&report);
        let sample = &report.samples[0];
        samples.push(DataPathSample {
            streams: report.streams,
            events: report.events,
            requests: f64::from(options.requests),
            processor: sample.processor,
            memory: sample.memory,
            descriptors: sample.descriptors,
        });
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.data_path = Some(part))
}

/// Serves all hollow servers in this process; a run starts it.
pub fn hollow_replicas(mut arguments: Arguments) -> Result<(), Failure> {
    let options: String = arguments.free_from_str()?;
    Ok(runtime()?.block_on(hollow::serve_replicas(&options))?)
}

/// Serves all hollow dispatchers in this process; a run starts it.
pub fn hollow_dispatchers(mut arguments: Arguments) -> Result<(), Failure> {
    let options: String = arguments.free_from_str()?;
    Ok(runtime()?.block_on(hollow::serve_dispatchers(&options))?)
}
