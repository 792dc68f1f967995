//! The command line of the fault soak.

use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use pico_args::Arguments;
use thiserror::Error;

use crate::harness::Options;

/// The text that `--help` prints, with the defaults in parentheses.
pub const HELP: &str = "dewladder-soak: runs real dispatcher processes under random, overlapping faults

usage: dewladder-soak [options]

  --seeds A..B        seeds of the plans to draw and run, both included (1..10)
  --stopped           draw plans of stalled servers, series of signals and early kills instead
  --replaced          draw plans of upgrades, restarts and early kills under long streams, and of large bodies, instead
  --released          draw plans of releases of servers of limited capacity, with bursts and restart loops, instead
  --peers             draw plans of endless streams, slow servers, agents and clients, and clients without time, instead
  --repeated          draw plans of ids that come again after their end, and of words that clients share, instead
  --processes N       dispatchers in each run (12)
  --seconds N         length of each run (20)
  --parallel N        runs at the same time (4)
  --plan FILE         run this plan (JSON) instead of drawing plans
  --failed FILE       seeds that failed before, one a line: they run first, and new failures are added
  --shrink            drop the faults of a plan that violates a rule, one at a time, while it still does
  --program FILE      the dispatcher's executable (target/release/dewladder)
  --log LEVEL         RUST_LOG of the dispatcher processes (info)
  --shim FILE         the fault shim (target/release/libdewladder_fault_shim.so); \"none\" runs without it
  --folder DIR        output directory for logs, traces and plans (target/soak)";

const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=10;
const DEFAULT_PROCESSES: u64 = 12;
const DEFAULT_SECONDS: u64 = 20;
const DEFAULT_PARALLEL: u64 = 4;
const DEFAULT_PROGRAM: &str = "target/release/dewladder";
const DEFAULT_SHIM: &str = "target/release/libdewladder_fault_shim.so";
const DEFAULT_FOLDER: &str = "target/soak";
/// The value of `--shim` that loads no fault shim.
const NO_SHIM: &str = "none";

/// The parsed command line: which plans are run, and how.
#[derive(Debug)]
pub struct Settings {
    /// Seeds of the plans to draw, both ends included.
    pub seeds: RangeInclusive<u64>,
    /// Whether plans are drawn by [`Plan::draw_stopped`](crate::plan::Plan::draw_stopped) (stalled servers, series of
    /// signals, early kills) instead of [`Plan::draw`](crate::plan::Plan::draw).
    pub stopped: bool,
    /// Whether plans are drawn by [`Plan::draw_replaced`](crate::plan::Plan::draw_replaced) (upgrades, restarts and
    /// early kills under long streams, large bodies).
    pub replaced: bool,
    /// Whether plans are drawn by [`Plan::draw_released`](crate::plan::Plan::draw_released) (releases of servers of
    /// limited capacity) instead of [`Plan::draw`](crate::plan::Plan::draw).
    pub released: bool,
    /// Whether plans are drawn by [`Plan::draw_peers`](crate::plan::Plan::draw_peers) (endless streams, slow peers of every
    /// role, clients without time left) instead of [`Plan::draw`](crate::plan::Plan::draw).
    pub peers: bool,
    /// Whether plans are drawn by [`Plan::draw_repeated`](crate::plan::Plan::draw_repeated) (ids after their end, shared
    /// words) instead of [`Plan::draw`](crate::plan::Plan::draw).
    pub repeated: bool,
    /// Number of dispatchers in each run, at least 1.
    pub processes: usize,
    /// Length of each run in seconds.
    pub seconds: u64,
    /// Number of runs at the same time, at least 1.
    pub parallel: usize,
    /// JSON file with the only plan to run; `None` draws plans from the seeds.
    pub plan: Option<PathBuf>,
    /// File of seeds that failed before ([`crate::failed_seeds`]); `None` keeps no such file.
    pub failed_seeds: Option<PathBuf>,
    /// Whether plans that violate a rule are shrunk after all runs ([`crate::shrink`]).
    pub shrink: bool,
    /// Executables, output directory and environment, the same for each run.
    pub harness: Options,
}

/// Why a command line was rejected. Displays as one line.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// The value of an option is missing or can't be parsed.
    #[error(transparent)]
    Value(#[from] pico_args::Error),
    /// A seed of `--seeds` is not a number.
    #[error("--seeds: '{text}': {source}")]
    Seed {
        /// The text of the seed.
        text: String,
        /// Why it can't be parsed.
        source: ParseIntError,
    },
    /// An unknown option or a surplus argument.
    #[error("{0} is not known; --help lists what is")]
    Unknown(String),
    /// A path can't be made absolute.
    #[error("{}: {source}", path.display())]
    Path {
        /// The path as given.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The dispatcher's executable or the fault shim does not exist.
    #[error("{} is not there; build it first", .0.display())]
    NotBuilt(PathBuf),
}

impl Settings {
    /// Parses a command line that does not contain the program's name.
    ///
    /// # Errors
    /// The first option that is unknown or has an invalid value.
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
        let replaced = arguments.contains("--replaced");
        let released = arguments.contains("--released");
        let peers = arguments.contains("--peers");
        let repeated = arguments.contains("--repeated");
        if let Some(unknown) = arguments.finish().first() {
            return Err(OptionsError::Unknown(unknown.to_string_lossy().into_owned()));
        }
        let shim = if shim.as_os_str() == NO_SHIM { None } else { Some(absolute_existing(shim)?) };
        let log_level = log.map(|level| ("RUST_LOG".to_owned(), level.to_string_lossy().into_owned()));
        let harness = Options {
            program: absolute_existing(program)?,
            shim,
            folder: absolute(folder)?,
            environment: log_level.into_iter().collect(),
        };
        Ok(Self {
            seeds: seeds.as_deref().map_or(Ok(DEFAULT_SEEDS), seed_range)?,
            stopped,
            replaced,
            released,
            peers,
            repeated,
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

/// Parses `A..B`, both included, or a single seed.
fn seed_range(text: &str) -> Result<RangeInclusive<u64>, OptionsError> {
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let parse_seed = |text: &str| {
        text.parse::<u64>().map_err(|source| OptionsError::Seed { text: text.to_owned(), source })
    };
    Ok(parse_seed(from)?..=parse_seed(to)?)
}

/// Makes a path absolute, as dispatchers are started in another directory.
fn absolute(path: PathBuf) -> Result<PathBuf, OptionsError> {
    std::path::absolute(&path).map_err(|source| OptionsError::Path { path, source })
}

/// Makes a path absolute if the file exists.
fn absolute_existing(path: PathBuf) -> Result<PathBuf, OptionsError> {
    if path.exists() {
        absolute(path)
    } else {
        Err(OptionsError::NotBuilt(path))
    }
}
