//! The command line of the fault soak.

use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use pico_args::Arguments;
use thiserror::Error;

use crate::harness::Options;

/// What `--help` prints.
pub const HELP: &str = "dewladder-soak: real processes of the dispatcher under drawn, overlapping troubles

usage: dewladder-soak [options]

  --seeds A..B        plans to draw and play (1..10), both included
  --stopped            draw plans of servers that stand still, series of signals and early kills instead
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

const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=10;
const DEFAULT_PROCESSES: u64 = 12;
const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_PARALLEL: u64 = 4;
const DEFAULT_PROGRAM: &str = "target/release/dewladder";
const DEFAULT_SHIM: &str = "target/release/libdewladder_fault_shim.so";
const DEFAULT_FOLDER: &str = "target/soak";
/// The value of `--shim` by which none is loaded.
const NO_SHIM: &str = "none";

/// Which plans are played, and how.
#[derive(Debug)]
pub struct Settings {
    /// Seeds of the plans to draw.
    pub seeds: RangeInclusive<u64>,
    /// Whether plans of servers that stand still are drawn instead of the others.
    pub stopped: bool,
    /// Dispatchers of a play.
    pub processes: usize,
    /// The length of a play (s).
    pub seconds: u64,
    /// Plays at once.
    pub parallel: usize,
    /// A file with the plan to play instead.
    pub plan: Option<PathBuf>,
    /// The file of seeds that failed once.
    pub failed_seeds: Option<PathBuf>,
    /// Whether plans that violate a rule are shrunk.
    pub shrink: bool,
    /// What each play needs.
    pub harness: Options,
}

/// Why a command line can't be used: one plain line.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// An option without its value, or with one that can't be read.
    #[error(transparent)]
    Value(#[from] pico_args::Error),
    /// A seed that is no number.
    #[error("--seeds: '{text}': {source}")]
    Seed {
        /// What was given.
        text: String,
        /// Why it can't be read.
        source: ParseIntError,
    },
    /// Something that is no option.
    #[error("{0} is not known; --help lists what is")]
    Unknown(String),
    /// A path that can't be made absolute.
    #[error("{}: {source}", path.display())]
    Path {
        /// The path.
        path: PathBuf,
        /// What the system says.
        source: std::io::Error,
    },
    /// A file that has not been built.
    #[error("{} is not there; build it first", .0.display())]
    NotBuilt(PathBuf),
}

impl Settings {
    /// Reads a command line, without the program's name.
    ///
    /// # Errors
    /// The first option that can't be used.
    pub fn read(mut arguments: Arguments) -> Result<Self, OptionsError> {
        let seeds: Option<String> = arguments.opt_value_from_str("--seeds")?;
        let processes = arguments.opt_value_from_str("--processes")?.unwrap_or(DEFAULT_PROCESSES);
        let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(DEFAULT_SECONDS);
        let parallel = arguments.opt_value_from_str("--parallel")?.unwrap_or(DEFAULT_PARALLEL);
        let plan = arguments.opt_value_from_str("--plan")?;
        let failed_seeds = arguments.opt_value_from_str("--failed")?;
        let log: Option<PathBuf> = arguments.opt_value_from_str("--log")?;
        let program = arguments.opt_value_from_str("--program")?.unwrap_or_else(|| DEFAULT_PROGRAM.into());
        let shim: PathBuf = arguments.opt_value_from_str("--shim")?.unwrap_or_else(|| DEFAULT_SHIM.into());
        let folder = arguments.opt_value_from_str("--folder")?.unwrap_or_else(|| DEFAULT_FOLDER.into());
        let shrink = arguments.contains("--shrink");
        let stopped = arguments.contains("--stopped");
        if let Some(unknown) = arguments.finish().first() {
            return Err(OptionsError::Unknown(unknown.to_string_lossy().into_owned()));
        }
        let shim = if shim.as_os_str() == NO_SHIM { None } else { Some(existing(shim)?) };
        let log_level = log.map(|level| ("RUST_LOG".to_owned(), level.to_string_lossy().into_owned()));
        let harness = Options {
            program: existing(program)?,
            shim,
            folder: absolute(folder)?,
            environment: log_level.into_iter().collect(),
        };
        Ok(Self {
            seeds: seeds.as_deref().map_or(Ok(DEFAULT_SEEDS), seed_range)?,
            stopped,
            processes: processes.max(1) as usize,
            seconds,
            parallel: parallel.max(1) as usize,
            plan,
            failed_seeds,
            shrink,
            harness,
        })
    }
}

/// `A..B`, both included, or one seed.
fn seed_range(text: &str) -> Result<RangeInclusive<u64>, OptionsError> {
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let seed = |text: &str| {
        text.parse::<u64>().map_err(|source| OptionsError::Seed { text: text.to_owned(), source })
    };
    Ok(seed(from)?..=seed(to)?)
}

fn absolute(path: PathBuf) -> Result<PathBuf, OptionsError> {
    std::path::absolute(&path).map_err(|source| OptionsError::Path { path, source })
}

fn existing(path: PathBuf) -> Result<PathBuf, OptionsError> {
    if path.exists() {
        absolute(path)
    } else {
        Err(OptionsError::NotBuilt(path))
    }
}
