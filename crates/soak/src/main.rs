//! Command-line program of the fault soak. It exits with 0 if no plan violated a rule, 1 if one did, and 2 if the soak
//! itself failed.

use std::process::ExitCode;

use dewladder_soak::campaign::{self, CampaignError};
use dewladder_soak::options::{OptionsError, Settings, HELP};
use pico_args::Arguments;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};

/// Exit code if the soak itself failed, as opposed to a plan that violated a rule.
const EXIT_ERROR: u8 = 2;

/// Reasons for which the soak itself fails.
#[derive(Debug, Error)]
enum SoakError {
    #[error(transparent)]
    Options(#[from] OptionsError),
    #[error(transparent)]
    Campaign(#[from] CampaignError),
    #[error(transparent)]
    System(#[from] std::io::Error),
    #[error("told to end")]
    Interrupted,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("dewladder-soak: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs the campaign that the command line asks for. Returns whether no plan violated a rule.
fn run() -> Result<bool, SoakError> {
    let mut arguments = Arguments::from_env();
    if arguments.contains("--help") {
        println!("{HELP}");
        return Ok(true);
    }
    let settings = Settings::read(arguments)?;
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(async {
        tokio::select! {
            done = campaign::run(&settings) => Ok(done?),
            // Dropping the runtime drops the dispatcher processes of all runs, which kills them.
            waited = interrupt_or_term() => Err(waited.map_or_else(SoakError::System, |()| SoakError::Interrupted)),
        }
    })
}

/// Completes on SIGINT or SIGTERM.
async fn interrupt_or_term() -> std::io::Result<()> {
    let (mut interrupt, mut term) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = term.recv() => {}
    }
    Ok(())
}
