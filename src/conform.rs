//! `dewladder conform`: runs the conformance suite against a chat front on loopback and prints the results.

use std::io;
use std::net::{SocketAddr, ToSocketAddrs as _};
use std::time::{SystemTime, UNIX_EPOCH};

use dewladder_conform::{cases, run, CaseReport, CaseResult, CasesError, Target};
use pico_args::Arguments;

/// Why the suite was not run, or that not all cases passed. The `Display` text is one line.
#[derive(Debug, thiserror::Error)]
pub enum ConformError {
    /// An argument could not be parsed.
    #[error(transparent)]
    Argument(#[from] pico_args::Error),
    /// The command has no such argument.
    #[error("{0} is not known; 'dewladder help' lists what is")]
    UnknownArgument(String),
    /// A required argument is missing.
    #[error("no {what}: give {how}")]
    MissingArgument {
        /// What the argument names.
        what: &'static str,
        /// The argument, with a placeholder or description of its value.
        how: &'static str,
    },
    /// The URL can't be used.
    #[error("--url '{url}': {reason}")]
    Url {
        /// The URL as given.
        url: String,
        /// What is wrong with it.
        reason: UrlError,
    },
    /// The files with the cases could not be read or parsed.
    #[error(transparent)]
    Cases(#[from] CasesError),
    /// No case's name contains the text given with `--only`.
    #[error("--only: no case's name contains '{0}'")]
    NoSuchCase(String),
    /// Some cases did not pass.
    #[error("{not_passed} of {all} cases did not pass")]
    NotPassed {
        /// Number of cases that failed or could not be run.
        not_passed: usize,
        /// Number of all cases.
        all: usize,
    },
}

/// Why a URL can't be used.
#[derive(Debug, thiserror::Error)]
pub enum UrlError {
    /// The URL has no scheme or one other than `http`.
    #[error("it must begin with http://")]
    Scheme,
    /// The host could not be resolved.
    #[error(transparent)]
    Host(#[from] io::Error),
    /// The host was resolved, but to no address.
    #[error("the host has no address")]
    NoAddress,
    /// The address is not on loopback. The suite is not run against other machines.
    #[error("only addresses on loopback are tried")]
    NotLoopback,
}

/// The parsed arguments of the command.
struct Options {
    /// The front under test, and the models and keys to use.
    target: Target,
    /// Run only cases whose names contain this text.
    only: Option<String>,
    /// Also print cases that passed.
    verbose: bool,
    /// Also run cases that make servers fail, which only simulated servers can do on request.
    faults: bool,
}

/// Runs the cases that the arguments select, and prints a table of the results.
///
/// # Errors
/// The arguments or the cases can't be used, or some cases did not pass.
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
    /// Parses the arguments. Each call makes a new nonce, so that idempotency keys differ from those of earlier runs.
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
        // There are no defaults: each front names its own models.
        let model = model.ok_or(missing("model", "--model, one whose requests may be repeated"))?;
        let once = once.ok_or(missing("model", "--once, one whose requests must not run twice"))?;
        let nonce = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
        let address = loopback_address(&url).map_err(|reason| ConformError::Url { url, reason })?;
        let target =
            Target { address, key, other_key, model, at_most_once_model: once, nonce: format!("{nonce:x}") };
        Ok(Self { target, only, verbose, faults })
    }
}

/// Prints the cases that did not pass, or all of them, and the totals.
///
/// # Errors
/// How many cases did not pass, if any.
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

/// The address of a URL, which must be on loopback.
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
