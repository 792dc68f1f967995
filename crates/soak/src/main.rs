//! The fault soak as a program; see the library.

use std::process::ExitCode;

use dewladder_soak::campaign::{self, CampaignError};
use dewladder_soak::options::{OptionsError, Settings, HELP};
use pico_args::Arguments;
use thiserror::Error;
use tokio::signal::unix::{signal, SignalKind};

/// The exit code where the soak itself failed.
const EXIT_ERROR: u8 = 2;

/// Why the soak itself failed.
#[derive(Debug, Error)]
enum SoakError {
    #[error(transparent)]
    Options(#[from] OptionsError),
    #[error(transparent)]
    Campaign(#[from] CampaignError),
    #[error(transparent)]
    System(#[from] std::io::Error),
    #[error("told to end")]
    ToldToEnd,
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

/// Whether no rule was violated.
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
            // What is dropped with the runtime ends the processes of all plays.
            told = told_to_end() => Err(told.map_or_else(SoakError::System, |()| SoakError::ToldToEnd)),
        }
    })
}

/// Waits for SIGINT or SIGTERM.
async fn told_to_end() -> std::io::Result<()> {
    let (mut interrupt, mut term) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = term.recv() => {}
    }
    Ok(())
}
