//! `dewladder conform`: the conformance suite against any front on loopback.

use std::net::{SocketAddr, ToSocketAddrs as _};
use std::time::{SystemTime, UNIX_EPOCH};

use dewladder_conform::{cases, run, Came, Target};
use pico_args::Arguments;

/// Runs the cases that the arguments name, and prints a table.
///
/// # Errors
/// One plain line: arguments that can't be used, or how many cases did not pass.
pub async fn conform(mut arguments: Arguments) -> Result<(), String> {
    let mut option = |name: &'static str| -> Result<Option<String>, String> {
        arguments.opt_value_from_str(name).map_err(|error| error.to_string())
    };
    let (url, key, other_key) = (option("--url")?, option("--key")?, option("--other-key")?);
    let (model, once, only) = (option("--model")?, option("--once")?, option("--only")?);
    let (all, faults) = (arguments.contains("--verbose"), arguments.contains("--faults"));
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("{} is not known; 'dewladder help' lists what is", unknown.to_string_lossy()));
    }
    let url = url.ok_or("no front: give --url http://ADDRESS:PORT")?;
    // Names of models are each front's own.
    let model = model.ok_or("no model: give --model, one whose requests may be repeated")?;
    let once = once.ok_or("no model: give --once, one whose requests must not run twice")?;
    let nonce = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos());
    let target = Target { address: address(&url)?, key, other_key, model, once, nonce: format!("{nonce:x}") };
    let mut cases = cases()?;
    cases.retain(|case| faults || !case.faults);
    if let Some(only) = only {
        cases.retain(|case| case.name.contains(&only));
        if cases.is_empty() {
            return Err(format!("--only: no case's name holds '{only}'"));
        }
    }
    let (mut passed, mut failed, mut errors) = (0, 0, 0);
    for outcome in run(&target, &cases).await {
        let (word, what) = match outcome.came {
            Came::Passed => {
                passed += 1;
                ("ok", String::new())
            }
            Came::Failed(what) => {
                failed += 1;
                ("FAILED", what)
            }
            Came::Error(what) => {
                errors += 1;
                ("ERROR", what)
            }
        };
        if all || word != "ok" {
            println!("{word:<7} {:<44} {what}", outcome.name);
        }
    }
    println!("{passed} passed, {failed} failed, {errors} could not be tried, of {}", cases.len());
    if failed + errors == 0 {
        Ok(())
    } else {
        Err(format!("{} of {} cases did not pass", failed + errors, cases.len()))
    }
}

/// The address that a URL names: on loopback only.
fn address(url: &str) -> Result<SocketAddr, String> {
    let bad = |what: &str| format!("--url '{url}': {what}");
    let rest = url.strip_prefix("http://").ok_or_else(|| bad("it must begin with http://"))?;
    let host = rest.trim_end_matches('/');
    let mut found = host.to_socket_addrs().map_err(|error| bad(&error.to_string()))?;
    let address = found.next().ok_or_else(|| bad("it names no address"))?;
    if address.ip().is_loopback() {
        Ok(address)
    } else {
        Err(bad("only addresses on loopback are tried"))
    }
}
