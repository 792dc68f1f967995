//! What the dispatcher costs at sizes that no machine here holds.
//!
//! `cargo bench --bench scale -- decisions [--servers N,N] [--cold P,P] [--dispatchers N,N] [--classes N,N]` and the
//! other parts take samples into `docs/capacity.json` (`--out`); `-- page` renders `docs/CAPACITY.md` from it.
#![allow(dead_code)] // of the full scan, which is compared with here and not changed

#[allow(clippy::wrong_self_convention)] // public types of the crate, private here
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

const PARTS: [&str; 8] =
    ["decisions", "membership", "gossip", "list", "data-path", "configuration", "run", "page"];
/// Where samples are kept.
const RESULTS: &str = "docs/capacity.json";

type Failure = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let result = match arguments.subcommand().ok().flatten().as_deref() {
        Some("decisions") => decisions::command(arguments),
        Some("one-decision-sample") => decisions::one(arguments),
        Some("membership") => membership::command(arguments),
        Some("gossip") => gossip_samples::command(arguments),
        Some("list") => list::command(arguments),
        Some("one-list-sample") => list::one(arguments),
        Some("data-path") => fleet::data_path(arguments),
        Some("configuration") => configuration::command(arguments),
        Some("run") => fleet::command(arguments),
        Some("hollow-replicas") => fleet::hollow_replicas(arguments),
        Some("hollow-dispatchers") => fleet::hollow_dispatchers(arguments),
        Some("page") => page::command(arguments),
        Some(other) => Err(format!("{other}: not known here").into()),
        None => {
            println!("scale: nothing to do; a part has to be named: {}", PARTS.join(", "));
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

/// The repository's folder.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The file by `--out`, from the repository's folder on.
fn out(arguments: &mut Arguments) -> Result<PathBuf, Failure> {
    Ok(root().join(options::text(arguments, "--out", RESULTS)?))
}

/// Samples of a part, taken at the commit that is checked out; `+` marks one that is changed.
fn part<T>(samples: Vec<T>) -> Result<Part<T>, Failure> {
    let git = |words: &[&str]| -> Result<String, Failure> {
        let output = Command::new("git").args(words).current_dir(root()).output()?;
        Ok(String::from_utf8(output.stdout)?.trim().to_owned())
    };
    let commit = git(&["rev-parse", "--short=10", "HEAD"])?;
    if commit.is_empty() {
        return Err("the commit is not known: samples can't be recorded".into());
    }
    let changed = git(&["status", "--porcelain", "--untracked-files=no", "--", "src", "crates", "benches"])?;
    let commit = if changed.is_empty() { commit } else { commit + "+" };
    Ok(Part { commit, cores: std::thread::available_parallelism()?.get(), samples })
}

/// Puts a part into the file, beside the others that are there.
fn record(path: &Path, put: impl FnOnce(&mut Results)) -> Result<(), Failure> {
    let mut results = if path.exists() { Results::read(path)? } else { Results::empty() };
    put(&mut results);
    results.write(path)?;
    println!("recorded in {}", path.display());
    Ok(())
}
