//! A campaign: runs plans, several at the same time, and prints the results.

use std::collections::BTreeMap;
use std::path::PathBuf;

use thiserror::Error;
use tokio::task::{JoinError, JoinSet};

use crate::failed_seeds;
use crate::harness::{run_plan, Options, RunError};
use crate::options::Settings;
use crate::oracle::{check, counts, slow_start_use, Counts, Rule, SlowStartUse, Violation, LIMITS};
use crate::plan::Plan;
use crate::shrink::shrink;

/// Why a campaign could not be completed. Displays as one line.
#[derive(Debug, Error)]
pub enum CampaignError {
    /// The plan can't be read, or the file of failed seeds can't be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file does not contain a valid plan.
    #[error(transparent)]
    Plan(#[from] serde_json::Error),
    /// A plan could not be run.
    #[error(transparent)]
    Run(#[from] RunError),
    /// The task of a run panicked.
    #[error(transparent)]
    Task(#[from] JoinError),
}

/// Result of one run.
struct RunResult {
    counts: Counts,
    violations: Vec<Violation>,
    /// What servers in slow start got; `None` in plans without slow start.
    slow_start: Option<SlowStartUse>,
}

/// Sums over all runs so far.
#[derive(Default)]
struct Totals {
    runs: usize,
    faults: usize,
    counts: Counts,
    violations: BTreeMap<Rule, usize>,
    /// Plans that violated a rule, with their violations.
    failed: Vec<(Plan, Vec<Violation>)>,
}

/// Runs all plans of the settings, and adds and shrinks those that failed as the settings ask. Returns whether no plan
/// violated a rule.
///
/// # Errors
/// A plan that could not be read or run, or a file of failed seeds that could not be written.
pub async fn run(settings: &Settings) -> Result<bool, CampaignError> {
    let totals = run_all(plans(settings)?, settings).await?;
    totals.print();
    if let Some(path) = &settings.failed_seeds {
        let seeds: Vec<u64> = totals.failed.iter().map(|(plan, _)| plan.seed).collect();
        failed_seeds::add(path, &seeds)
            .map_err(|source| CampaignError::File { path: path.clone(), source })?;
    }
    if settings.shrink {
        for (plan, violations) in &totals.failed {
            shrink_and_print(plan, violations[0].rule, &settings.harness).await;
        }
    }
    Ok(totals.failed.is_empty())
}

/// The plans to run: the one given by `--plan`, or else those of the seeds that failed before, then those of the range.
fn plans(settings: &Settings) -> Result<Vec<Plan>, CampaignError> {
    if let Some(path) = &settings.plan {
        let text = std::fs::read_to_string(path)
            .map_err(|source| CampaignError::File { path: path.clone(), source })?;
        return Ok(vec![serde_json::from_str(&text)?]);
    }
    let failed = settings.failed_seeds.as_ref().and_then(|path| std::fs::read_to_string(path).ok());
    let mut seeds = failed_seeds::parse(&failed.unwrap_or_default());
    let others: Vec<u64> = settings.seeds.clone().filter(|seed| !seeds.contains(seed)).collect();
    seeds.extend(others);
    let draw = match settings {
        Settings { repeated: true, .. } => Plan::draw_repeated,
        Settings { peers: true, .. } => Plan::draw_peers,
        Settings { released: true, .. } => Plan::draw_released,
        Settings { replaced: true, .. } => Plan::draw_replaced,
        Settings { stopped: true, .. } => Plan::draw_stopped,
        Settings { .. } => Plan::draw,
    };
    Ok(seeds.into_iter().map(|seed| draw(seed, settings.processes, settings.seconds)).collect())
}

async fn run_all(plans: Vec<Plan>, settings: &Settings) -> Result<Totals, CampaignError> {
    let mut pending = plans.into_iter();
    let mut running = JoinSet::new();
    let mut totals = Totals::default();
    loop {
        while running.len() < settings.parallel {
            let Some(plan) = pending.next() else { break };
            let options = settings.harness.clone();
            running.spawn(async move {
                let result = run_and_check(&plan, &options).await;
                (plan, result)
            });
        }
        let Some(finished) = running.join_next().await else { return Ok(totals) };
        let (plan, result) = finished?;
        let result = result?;
        result.print(&plan);
        totals.add(plan, result);
    }
}

async fn run_and_check(plan: &Plan, options: &Options) -> Result<RunResult, RunError> {
    let entries = run_plan(plan, options).await?;
    let (counts, violations) = (counts(&entries), check(plan, &entries, &LIMITS));
    Ok(RunResult { counts, violations, slow_start: slow_start_use(plan, &entries) })
}

async fn shrink_and_print(plan: &Plan, rule: Rule, options: &Options) {
    let smallest = shrink(plan, rule, |plan| async move {
        // A plan that can't be run counts as one without a violation.
        run_and_check(&plan, options).await.map(|result| result.violations).unwrap_or_default()
    });
    let smallest = smallest.await;
    println!("seed {} shrunk: {}", plan.seed, serde_json::to_string(&smallest).unwrap_or_default());
}

impl RunResult {
    fn print(&self, plan: &Plan) {
        println!(
            "seed {}: {} requests, {} served, {} violations",
            plan.seed,
            self.counts.asked,
            self.counts.served,
            self.violations.len()
        );
        if let Some(SlowStartUse { arrived, allowed, busiest }) = self.slow_start {
            println!("  slow start: {arrived:.0} of {allowed:.0} requests of mean work, busiest window {busiest:.2}");
        }
        for violation in &self.violations {
            let Violation { rule, at, id, what } = violation;
            println!("  {:.3} s {rule:?} {id:016x}: {what}", *at as f64 / 1e6);
        }
        if !self.violations.is_empty() {
            println!("  {}", serde_json::to_string(plan).unwrap_or_default());
        }
    }
}

impl Totals {
    fn add(&mut self, plan: Plan, result: RunResult) {
        let RunResult { counts, violations, .. } = result;
        self.runs += 1;
        self.faults += plan.faults.len();
        self.counts.asked += counts.asked;
        self.counts.served += counts.served;
        self.counts.refused += counts.refused;
        self.counts.failed += counts.failed;
        self.counts.attempts += counts.attempts;
        for violation in &violations {
            *self.violations.entry(violation.rule).or_default() += 1;
        }
        if !violations.is_empty() {
            self.failed.push((plan, violations));
        }
    }

    fn print(&self) {
        let counts = &self.counts;
        println!(
            "{} plans, {} faults, {} requests: {} served, {} refused, {} failed; {} attempts; \
            {} plans violated a rule: {:?}",
            self.runs,
            self.faults,
            counts.asked,
            counts.served,
            counts.refused,
            counts.failed,
            counts.attempts,
            self.failed.len(),
            self.violations
        );
    }
}
