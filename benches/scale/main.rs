//! Resources that a dispatcher needs in deployments too large for one test machine: decisions, membership, load
//! gossip, server lists, the data path and configurations, measured separately or with simulated peers.
//!
//! `cargo bench --bench scale -- PART [OPTIONS]` measures one part, for example `decisions [--servers N,N] [--cold
//! P,P] [--dispatchers N,N] [--classes N,N]`, and records the samples in `docs/capacity.json` (or the file of
//! `--out`). `-- page` renders `docs/CAPACITY.md` from that file.
#![allow(dead_code)] // of the router's modules and the full scan included below, this program uses only a part

#[allow(clippy::wrong_self_convention)] // the lint exempts public types, which these are in the router crate only
#[path = "../../crates/router/src/gossip.rs"]
mod gossip;
#[path = "../../crates/router/src/list_backoff.rs"]
mod list_backoff;
#[path = "../../crates/router/src/outlier_state.rs"]
mod outlier_state;
#[path = "../../crates/router/src/prefix_table.rs"]
mod prefix_table;
#[path = "../../crates/router/src/records/mod.rs"]
mod records;
#[path = "../../crates/router/src/slow_start_budget.rs"]
mod slow_start_budget;
#[path = "../../crates/router/src/statistics.rs"]
mod statistics;

#[path = "../../crates/router/tests/full_scan/oracle/mod.rs"]
mod oracle;

mod configuration;
mod decisions;
mod fleet;
mod gossip_samples;
mod list;
mod membership;
mod page;

use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use dewladder_router::interface;
use dewladder_scale::options;
use dewladder_scale::results::{Part, Results};
use pico_args::Arguments;

/// The subcommands that a user can name; the others are started by this program itself.
const PARTS: [&str; 8] =
    ["decisions", "membership", "gossip", "list", "data-path", "configuration", "run", "page"];
/// Default file for the recorded samples.
const RESULTS: &str = "docs/capacity.json";

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let result = match arguments.subcommand().ok().flatten().as_deref() {
        Some("decisions") => decisions::command(arguments),
        Some("one-decision-sample") => decisions::print_sample(arguments),
        Some("membership") => membership::command(arguments),
        Some("gossip") => gossip_samples::command(arguments),
        Some("list") => list::command(arguments),
        Some("one-list-sample") => list::print_sample(arguments),
        Some("data-path") => fleet::data_path(arguments),
        Some("configuration") => configuration::command(arguments),
        Some("run") => fleet::command(arguments),
        Some("hollow-replicas") => fleet::hollow_replicas(arguments),
        Some("hollow-dispatchers") => fleet::hollow_dispatchers(arguments),
        Some("page") => page::command(arguments),
        Some(other) => Err(format!("unknown part '{other}'").into()),
        None => {
            println!("scale: nothing to do; name a part: {}", PARTS.join(", "));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The root folder of the repository.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Path of the file with the recorded samples: the option `--out`, relative to the root folder.
fn out(arguments: &mut Arguments) -> Result<PathBuf, Failure> {
    Ok(root().join(options::text(arguments, "--out", RESULTS)?))
}

/// The samples of a part, with the commit that is checked out, followed by `+` if tracked sources differ from it.
fn part<T>(samples: Vec<T>) -> Result<Part<T>, Failure> {
    let git = |words: &[&str]| -> Result<String, Failure> {
        let output = Command::new("git").args(words).current_dir(root()).output()?;
        Ok(String::from_utf8(output.stdout)?.trim().to_owned())
    };
    let commit = git(&["rev-parse", "--short=10", "HEAD"])?;
    if commit.is_empty() {
        return Err("can't record samples: the current commit is unknown".into());
    }
    let changes = git(&["status", "--porcelain", "--untracked-files=no", "--", "src", "crates", "benches"])?;
    let commit = if changes.is_empty() { commit } else { commit + "+" };
    Ok(Part { commit, cores: std::thread::available_parallelism()?.get(), samples })
}

/// Updates one part in the file of results; the other parts stay.
fn record(path: &Path, update: impl FnOnce(&mut Results)) -> Result<(), Failure> {
    let mut results = if path.exists() { Results::read(path)? } else { Results::empty() };
    update(&mut results);
    results.write(path)?;
    println!("recorded in {}", path.display());
    Ok(())
}
