//! A campaign: plays plans, several at once, and prints what became of them.

use std::collections::BTreeMap;
use std::path::PathBuf;

use thiserror::Error;
use tokio::task::{JoinError, JoinSet};

use crate::failed_seeds;
use crate::harness::{play, Options, PlayError};
use crate::options::Settings;
use crate::oracle::{check, counts, Counts, Rule, Violation, LIMITS};
use crate::plan::Plan;
use crate::shrink::shrink;

/// Why a campaign could not be played to its end: one plain line.
#[derive(Debug, Error)]
pub enum CampaignError {
    /// A file can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file has no plan.
    #[error(transparent)]
    Plan(#[from] serde_json::Error),
    /// A play could not be played.
    #[error(transparent)]
    Play(#[from] PlayError),
    /// A play's task failed.
    #[error(transparent)]
    Task(#[from] JoinError),
}

/// What became of a play.
struct PlayResult {
    counts: Counts,
    violations: Vec<Violation>,
}

/// All plays so far.
#[derive(Default)]
struct Totals {
    plays: usize,
    faults: usize,
    counts: Counts,
    violations: BTreeMap<Rule, usize>,
    /// Plans that violated a rule.
    failed: Vec<(Plan, Vec<Violation>)>,
}

/// Plays all plans of the settings; whether none violated a rule.
///
/// # Errors
/// A plan that could not be read or played, or a file of seeds that could not be written.
pub async fn run(settings: &Settings) -> Result<bool, CampaignError> {
    let totals = play_all(plans(settings)?, settings).await?;
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

/// The plans to play: the one that is named, or those that failed once and then the others.
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
    let draw = if settings.stopped { Plan::draw_stopped } else { Plan::draw };
    Ok(seeds.into_iter().map(|seed| draw(seed, settings.processes, settings.seconds)).collect())
}

async fn play_all(plans: Vec<Plan>, settings: &Settings) -> Result<Totals, CampaignError> {
    let mut waiting = plans.into_iter();
    let mut playing = JoinSet::new();
    let mut totals = Totals::default();
    loop {
        while playing.len() < settings.parallel {
            let Some(plan) = waiting.next() else { break };
            let options = settings.harness.clone();
            playing.spawn(async move {
                let result = play_and_check(&plan, &options).await;
                (plan, result)
            });
        }
        let Some(played) = playing.join_next().await else { return Ok(totals) };
        let (plan, result) = played?;
        let result = result?;
        result.print(&plan);
        totals.add(plan, result);
    }
}

async fn play_and_check(plan: &Plan, options: &Options) -> Result<PlayResult, PlayError> {
    let entries = play(plan, options).await?;
    Ok(PlayResult { counts: counts(&entries), violations: check(plan, &entries, &LIMITS) })
}

async fn shrink_and_print(plan: &Plan, rule: Rule, options: &Options) {
    let smallest = shrink(plan, rule, |plan| async move {
        // A plan that can't be played shows no violation.
        play_and_check(&plan, options).await.map(|result| result.violations).unwrap_or_default()
    });
    let smallest = smallest.await;
    println!("seed {} shrunk: {}", plan.seed, serde_json::to_string(&smallest).unwrap_or_default());
}

impl PlayResult {
    fn print(&self, plan: &Plan) {
        println!(
            "seed {}: {} requests, {} served, {} broken rules",
            plan.seed,
            self.counts.asked,
            self.counts.served,
            self.violations.len()
        );
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
    fn add(&mut self, plan: Plan, result: PlayResult) {
        let PlayResult { counts, violations } = result;
        self.plays += 1;
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
            "{} plans, {} troubles, {} requests: {} served, {} refused, {} failed; {} attempts; \
             {} plans broke a rule: {:?}",
            self.plays,
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
