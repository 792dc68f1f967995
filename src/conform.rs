//! `dewladder conform`: the conformance suite against any front on loopback.

use std::io;
use std::net::{SocketAddr, ToSocketAddrs as _};
use std::time::{SystemTime, UNIX_EPOCH};

use dewladder_conform::{cases, run, CaseReport, CaseResult, CasesError, Target};
use pico_args::Arguments;

/// Why the suite was not run, or that not all cases passed. `Display` writes one plain line.
#[derive(Debug, thiserror::Error)]
pub enum ConformError {
    /// An argument that can't be read.
    #[error(transparent)]
    Argument(#[from] pico_args::Error),
    /// An argument that the command does not have.
    #[error("{0} is not known; 'dewladder help' lists what is")]
    UnknownArgument(String),
    /// An argument that must be given: what it is, and how to give it.
    #[error("no {what}: give {how}")]
    MissingArgument {
        /// What is missing.
        what: &'static str,
        /// How to give it.
        how: &'static str,
    },
    /// A URL that can't be used.
    #[error("--url '{url}': {reason}")]
    Url {
        /// The URL as given.
        url: String,
        /// What is wrong with it.
        reason: UrlError,
    },
    /// The cases can't be read.
    #[error(transparent)]
    Cases(#[from] CasesError),
    /// No case has this in its name.
    #[error("--only: no case's name holds '{0}'")]
    NoSuchCase(String),
    /// Some cases did not pass.
    #[error("{not_passed} of {all} cases did not pass")]
    NotPassed {
        /// Cases that failed or could not be run.
        not_passed: usize,
        /// All cases.
        all: usize,
    },
}

/// What is wrong with a URL.
#[derive(Debug, thiserror::Error)]
pub enum UrlError {
    /// Another scheme, or none.
    #[error("it must begin with http://")]
    Scheme,
    /// Its host can't be resolved.
    #[error(transparent)]
    Host(#[from] io::Error),
    /// Its host has no address.
    #[error("it names no address")]
    NoAddress,
    /// An address elsewhere.
    #[error("only addresses on loopback are tried")]
    NotLoopback,
}

/// What the arguments ask for.
struct Options {
    target: Target,
    /// Only cases with this in their names.
    only: Option<String>,
    /// Cases that passed are printed too.
    verbose: bool,
    /// Also cases that ask servers to fail.
    faults: bool,
}

/// Runs the cases that the arguments name, and prints a table.
///
/// # Errors
/// Arguments that can't be used, or how many cases did not pass.
pub async fn conform(arguments: Arguments) -> Result<(), ConformError> {
    let options = Options::parse(arguments)?;
    let mut cases = cases()?;
    cases.retain(|case| options.faults || !case.faults);
    if let Some(only) = options.only {
        cases.retain(|case| case.name.contains(&only));
        if cases.is_empty() {
            return Err(ConformError::NoSuchCase(only));
        }
    }
    let reports = run(&options.target, &cases).await;
    print_reports(&reports, options.verbose)
}

impl Options {
    fn parse(mut arguments: Arguments) -> Result<Self, ConformError> {
        let mut option = |name: &'static str| arguments.opt_value_from_str::<_, String>(name);
        let (url, key, other_key) = (option("--url")?, option("--key")?, option("--other-key")?);
        let (model, once, only) = (option("--model")?, option("--once")?, option("--only")?);
        let (verbose, faults) = (arguments.contains("--verbose"), arguments.contains("--faults"));
        if let Some(unknown) = arguments.finish().first() {
            return Err(ConformError::UnknownArgument(unknown.to_string_lossy().into_owned()));
        }
        let missing = |what, how| ConformError::MissingArgument { what, how };
        let url = url.ok_or(missing("front", "--url http://ADDRESS:PORT"))?;
        // Names of models are each front's own.
        let model = model.ok_or(missing("model", "--model, one whose requests may be repeated"))?;
        let once = once.ok_or(missing("model", "--once, one whose requests must not run twice"))?;
        let nonce = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let address = loopback_address(&url).map_err(|reason| ConformError::Url { url, reason })?;
        let target = Target { address, key, other_key, model, once, nonce: format!("{nonce:x}") };
        Ok(Self { target, only, verbose, faults })
    }
}

fn print_reports(reports: &[CaseReport], verbose: bool) -> Result<(), ConformError> {
    let (mut passed, mut failed, mut not_run) = (0, 0, 0);
    for CaseReport { name, result } in reports {
        let (word, detail) = match result {
            CaseResult::Passed => {
                passed += 1;
                ("ok", "")
            }
            CaseResult::Failed(detail) => {
                failed += 1;
                ("FAILED", detail.as_str())
            }
            CaseResult::NotRun(detail) => {
                not_run += 1;
                ("ERROR", detail.as_str())
            }
        };
        if verbose || *result != CaseResult::Passed {
            println!("{word:<7} {name:<44} {detail}");
        }
    }
    let all = reports.len();
    println!("{passed} passed, {failed} failed, {not_run} could not be tried, of {all}");
    match failed + not_run {
        0 => Ok(()),
        not_passed => Err(ConformError::NotPassed { not_passed, all }),
    }
}

/// The address that a URL names: on loopback only.
fn loopback_address(url: &str) -> Result<SocketAddr, UrlError> {
    let rest = url.strip_prefix("http://").ok_or(UrlError::Scheme)?;
    let mut addresses = rest.trim_end_matches('/').to_socket_addrs()?;
    let address = addresses.next().ok_or(UrlError::NoAddress)?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(UrlError::NotLoopback)
    }
}
