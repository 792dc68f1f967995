//! The command line, and the start and end of the dispatcher.

#![forbid(unsafe_code)]

mod conform;
mod demo;

use std::error::Error;
use std::io;
use std::process::ExitCode;

use dewladder::edge::clients::chat;
use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::driver::Message;
use dewladder::edge::settings::{Config, ConfigError, Fronts};
use dewladder::edge::transient::{self, is_transient, outlast};
use pico_args::Arguments;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

const HELP: &str = "dewladder: a dispatcher for two-stage language-model servers

usage: dewladder <command> [options]

  serve [--config FILE] [--fronts FILE]         serve clients until told to end (SIGTERM);
                                                SIGHUP has the configuration read again
  check-config [--config FILE] [--fronts FILE]  say whether a configuration can be used
  demo                                          a first run: a stand-in fleet on loopback, both fronts
  conform --url URL --model M --once M          hold a chat front on loopback against the conformance suite
          [--key K] [--other-key K] [--only T]  (models: one that may repeat, one that runs once)
          [--verbose] [--faults]                 (--faults: with cases that ask stand-in servers to fail)
  version                                       print the version
  help                                          print this text

The platform's configuration is $ROUTER_CONFIG where it is not given; the fronts beside the platform's are
turned on by deploy/fronts.toml where no other file is given. $RUST_LOG sets what is logged (info by default).";

/// Turns on the fronts beside the platform's.
const FRONTS: &str = "deploy/fronts.toml";

fn main() -> ExitCode {
    // Whole seconds would not tell in which order a hundred dispatchers did what.
    let mut logger = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    logger.format_timestamp_millis().init();
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("dewladder: {what}");
            ExitCode::FAILURE
        }
    }
}

/// Why a command failed; one plain line, which is printed as it is.
type CommandError = Box<dyn Error>;

fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let command = arguments.subcommand()?;
    match command.as_deref() {
        Some("serve") => {
            let files = read_files(arguments)?;
            runtime()?.block_on(serve(files))
        }
        Some("demo") => match arguments.finish().first() {
            None => runtime()?.block_on(demo::run()),
            Some(unknown) => Err(format!("demo takes no arguments: {}", unknown.to_string_lossy()).into()),
        },
        Some("conform") => Ok(runtime()?.block_on(conform::conform(arguments))?),
        Some("check-config") => check_config(&read_files(arguments)?),
        Some("version") => {
            println!("dewladder {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        None | Some("help") => {
            println!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("'{other}' is no command; 'dewladder help' lists them").into()),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = outlast("runtime", transient::START, is_transient, build);
    runtime.map_err(|error: io::Error| format!("can't start the runtime: {error}").into())
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The files that a command goes by.
struct Files {
    /// Where the configuration was read, to be read there again.
    config_path: String,
    config: Config,
    fronts: Fronts,
}

/// Reads the files that the arguments name.
fn read_files(mut arguments: Arguments) -> Result<Files, CommandError> {
    let config_path: Option<String> = arguments.opt_value_from_str("--config")?;
    let fronts_path: Option<String> = arguments.opt_value_from_str("--fronts")?;
    if let Some(unknown) = arguments.finish().first() {
        let unknown = unknown.to_string_lossy();
        return Err(format!("{unknown} is not known; 'dewladder help' lists what is").into());
    }
    let config_path = config_path.or_else(|| environment("ROUTER_CONFIG"));
    let config_path = config_path.ok_or("no configuration: give --config or set ROUTER_CONFIG")?;
    let is_transient = ConfigError::is_transient;
    let read_config = || Config::read(&config_path, environment);
    let config = outlast("configuration", transient::START, is_transient, read_config)?;
    let read_fronts = || Fronts::read(fronts_path.as_deref().unwrap_or(FRONTS), fronts_path.is_some());
    let fronts = outlast("fronts", transient::START, is_transient, read_fronts)?;
    Ok(Files { config_path, config, fronts })
}

fn check_config(files: &Files) -> Result<(), CommandError> {
    let Files { config, fronts, .. } = files;
    if let Some(chat) = &fronts.chat {
        chat::check(chat, config)?;
    }
    if let Some(cluster) = fronts.cluster.as_ref().filter(|cluster| cluster.enabled) {
        cluster.check(&config.name)?;
    }
    println!("{} on {}: the configuration can be used", config.name, config.listen);
    Ok(())
}

async fn serve(files: Files) -> Result<(), CommandError> {
    let Files { config_path, config, fronts } = files;
    let mut term = signal(SignalKind::terminate())?;
    // In place before anything listens: without it, SIGHUP would end the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let (discovery_sender, discovery) = watch::channel(config.discovery);
    let dispatcher = Dispatcher::bind(config, &fronts)?;
    let mut reloader = dispatcher.config_reloader(discovery_sender);
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reloader.reload_with_retries(&config_path, environment).await;
        }
    });
    let mut user_signal = signal(SignalKind::user_defined1())?;
    let driver = dispatcher.driver();
    tokio::spawn(async move {
        while user_signal.recv().await.is_some() {
            driver.send(Message::LogRequests);
        }
    });
    let end = async move {
        term.recv().await;
    };
    dispatcher.run(discovery, end).await?;
    Ok(())
}
