//! The command line of the fault soak.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::ExitCode;

use dewladder_soak::bed::{play, Options};
use dewladder_soak::oracle::{counts, judge, Break, Counts, Rule, LIMITS};
use dewladder_soak::plan::Plan;
use dewladder_soak::shrink::shrink;
use pico_args::Arguments;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::JoinSet;

const HELP: &str = "dewladder-soak: real processes of the dispatcher under drawn, overlapping troubles

usage: dewladder-soak [options]

  --seeds A..B        plans to draw and play (1..10), both included
  --processes N       dispatchers of a play (12)
  --seconds N         length of a play (20)
  --parallel N        plays at once (4)
  --plan FILE         play this plan instead
  --failed FILE       seeds that failed once, one a line: played first, and added to
  --shrink            drop troubles of a plan that breaks a rule, one at a time, while the break stays
  --program FILE      the dispatcher (target/release/dewladder)
  --log LEVEL         RUST_LOG of the processes (info)
  --shim FILE         the fault shim (target/release/libdewladder_fault_shim.so); \"none\" plays without it
  --folder DIR        logs, traces and plans (target/soak)";

struct Settings {
    seeds: RangeInclusive<u64>,
    processes: usize,
    seconds: u64,
    parallel: usize,
    plan: Option<PathBuf>,
    failed: Option<PathBuf>,
    shrink: bool,
    options: Options,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(what) => {
            eprintln!("dewladder-soak: {what}");
            ExitCode::from(2)
        }
    }
}

fn range(text: &str) -> Result<RangeInclusive<u64>, String> {
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let number = |text: &str| text.parse::<u64>().map_err(|error| format!("--seeds: '{text}': {error}"));
    Ok(number(from)?..=number(to)?)
}

fn settings(mut arguments: Arguments) -> Result<Settings, String> {
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds").map_err(|error| error.to_string())?;
    let mut number = |name: &'static str, absent: u64| -> Result<u64, String> {
        Ok(arguments.opt_value_from_str(name).map_err(|error| error.to_string())?.unwrap_or(absent))
    };
    let (processes, seconds) = (number("--processes", 12)?, number("--seconds", 20)?);
    let parallel = number("--parallel", 4)?;
    let mut path = |name: &'static str| -> Result<Option<PathBuf>, String> {
        arguments.opt_value_from_str(name).map_err(|error| error.to_string())
    };
    let (plan, failed, log) = (path("--plan")?, path("--failed")?, path("--log")?);
    let program = path("--program")?.unwrap_or_else(|| "target/release/dewladder".into());
    let shim = path("--shim")?.unwrap_or_else(|| "target/release/libdewladder_fault_shim.so".into());
    let folder = path("--folder")?.unwrap_or_else(|| "target/soak".into());
    let shrink = arguments.contains("--shrink");
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("{} is not known; --help lists what is", unknown.to_string_lossy()));
    }
    let absolute =
        |path: PathBuf| std::path::absolute(&path).map_err(|error| format!("{}: {error}", path.display()));
    let existing = |path: PathBuf| match path.exists() {
        true => absolute(path),
        false => Err(format!("{} is not there; build it first", path.display())),
    };
    let log = log.map(|level| ("RUST_LOG".to_owned(), level.to_string_lossy().into_owned()));
    let environment = log.into_iter().collect();
    let shim = (shim.as_os_str() != "none").then(|| existing(shim)).transpose()?;
    let options = Options { program: existing(program)?, shim, folder: absolute(folder)?, environment };
    let seeds = seeds.as_deref().map_or(Ok(1..=10), range)?;
    let parallel = parallel.max(1) as usize;
    Ok(Settings {
        seeds,
        processes: processes.max(1) as usize,
        seconds,
        parallel,
        plan,
        failed,
        shrink,
        options,
    })
}

fn run() -> Result<bool, String> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        println!("{HELP}");
        return Ok(true);
    }
    let settings = settings(arguments)?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(async {
        tokio::select! {
            done = soak(settings) => done,
            // What is dropped with the runtime ends the processes of all plays.
            told = told_to_end() => Err(told.map_or_else(|error| error.to_string(), |()| "told to end".to_owned())),
        }
    })
}

/// Waits for SIGINT or SIGTERM.
async fn told_to_end() -> std::io::Result<()> {
    let (mut interrupt, mut term) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = term.recv() => {}
    }
    Ok(())
}

/// The plans to play: the one that is named, or those that failed once and then the others.
fn plans(settings: &Settings) -> Result<Vec<Plan>, String> {
    if let Some(path) = &settings.plan {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
        return Ok(vec![serde_json::from_str(&text).map_err(|error| error.to_string())?]);
    }
    let failed = settings.failed.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
    let mut seeds: Vec<u64> =
        failed.iter().flat_map(|text| text.lines()).filter_map(|line| line.parse().ok()).collect();
    seeds.extend(settings.seeds.clone().filter(|seed| !seeds.contains(seed)).collect::<Vec<_>>());
    Ok(seeds.into_iter().map(|seed| Plan::draw(seed, settings.processes, settings.seconds)).collect())
}

async fn verdict(plan: &Plan, options: &Options) -> Result<(Counts, Vec<Break>), String> {
    let entries = play(plan, options).await.map_err(|error| error.to_string())?;
    Ok((counts(&entries), judge(plan, &entries, &LIMITS)))
}

async fn soak(settings: Settings) -> Result<bool, String> {
    let mut waiting = plans(&settings)?.into_iter();
    let mut playing = JoinSet::new();
    let (mut plays, mut troubles, mut sum) = (0, 0, Counts::default());
    let mut broken: BTreeMap<Rule, usize> = BTreeMap::new();
    let mut failed = Vec::new();
    loop {
        while playing.len() < settings.parallel {
            let Some(plan) = waiting.next() else { break };
            let options = settings.options.clone();
            playing.spawn(async move {
                let verdict = verdict(&plan, &options).await;
                (plan, verdict)
            });
        }
        let Some(done) = playing.join_next().await else { break };
        let (plan, verdict) = done.map_err(|error| error.to_string())?;
        let (counts, breaks) = verdict?;
        plays += 1;
        troubles += plan.troubles.len();
        sum.asked += counts.asked;
        sum.served += counts.served;
        sum.refused += counts.refused;
        sum.failed += counts.failed;
        sum.attempts += counts.attempts;
        println!(
            "seed {}: {} requests, {} served, {} broken rules",
            plan.seed,
            counts.asked,
            counts.served,
            breaks.len()
        );
        for one in &breaks {
            *broken.entry(one.rule).or_default() += 1;
            println!("  {:.3} s {:?} {:016x}: {}", one.at as f64 / 1e6, one.rule, one.id, one.what);
        }
        if !breaks.is_empty() {
            println!("  {}", serde_json::to_string(&plan).unwrap_or_default());
            failed.push((plan, breaks));
        }
    }
    println!(
        "{plays} plans, {troubles} troubles, {} requests: {} served, {} refused, {} failed; {} attempts; {} plans broke a rule: {broken:?}",
        sum.asked, sum.served, sum.refused, sum.failed, sum.attempts, failed.len()
    );
    if let Some(path) = &settings.failed {
        note(path, &failed)?;
    }
    if settings.shrink {
        for (plan, breaks) in &failed {
            let options = &settings.options;
            let least = shrink(plan, breaks[0].rule, |plan| async move {
                verdict(&plan, options).await.map(|(_, breaks)| breaks).unwrap_or_default()
            });
            let least = least.await;
            println!("seed {} shrunk: {}", plan.seed, serde_json::to_string(&least).unwrap_or_default());
        }
    }
    Ok(failed.is_empty())
}

/// Adds the seeds that failed to the file of those that did so once.
fn note(path: &PathBuf, failed: &[(Plan, Vec<Break>)]) -> Result<(), String> {
    let known = std::fs::read_to_string(path).unwrap_or_default();
    let mut lines: Vec<String> = known.lines().map(str::to_owned).collect();
    for (plan, _) in failed {
        let line = plan.seed.to_string();
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    std::fs::write(path, lines.join("\n") + "\n").map_err(|error| format!("{}: {error}", path.display()))
}
