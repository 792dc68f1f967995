//! The command line: runs the dispatcher, checks its configuration files, and starts the demo and the conformance
//! suite.

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
use dewladder::edge::transient::{self, is_transient, retry_transient};
use pico_args::Arguments;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

const HELP: &str = "dewladder: a dispatcher for two-stage language-model servers

usage: dewladder <command> [options]

  serve [--config FILE] [--fronts FILE]         serve clients until SIGTERM;
                                                SIGHUP reloads the configuration
  check-config [--config FILE] [--fronts FILE]  check the configuration without serving
  demo                                          serve simulated servers on loopback, with all fronts
  conform --url URL --model M --once M          run the conformance suite against a chat front on loopback
          [--key K] [--other-key K] [--only T]  (--model: its requests may run twice; --once: they must not)
          [--verbose] [--faults]                (--faults: also cases that ask simulated servers to fail)
  version                                       print the version
  help                                          print this text

Without --config, the platform's configuration is read from the file that $ROUTER_CONFIG names. Without --fronts,
the other fronts are turned on by deploy/fronts.toml. $RUST_LOG sets the log level (info by default).";

/// The file that turns on fronts other than the platform's, if `--fronts` names no other.
const DEFAULT_FRONTS_PATH: &str = "deploy/fronts.toml";

fn main() -> ExitCode {
    // With whole seconds the logs of a hundred dispatchers could not be put in order.
    let mut logger = env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"));
    logger.format_timestamp_millis().init();
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewladder: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Why a command failed. The text is one line, which is printed after `dewladder: `.
type CommandError = Box<dyn Error>;

/// Runs the command that the arguments name.
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
        Some(other) => Err(format!("'{other}' is no command; 'dewladder help' lists the commands").into()),
    }
}

/// Starts the runtime, which uses the main thread only.
fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = retry_transient("runtime", transient::STARTUP_RETRY_TIME, is_transient, build);
    runtime.map_err(|error: io::Error| format!("can't start the runtime: {error}").into())
}

/// The value of an environment variable; `None` if it is not set or not Unicode.
fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The configuration files of the commands `serve` and `check-config`.
struct Files {
    /// The path of the configuration, which is read again at SIGHUP.
    config_path: String,
    /// The platform's configuration.
    config: Config,
    /// The settings of the other fronts and of the cluster.
    fronts: Fronts,
}

/// Reads the files that the arguments name. Defaults are `ROUTER_CONFIG` and [`DEFAULT_FRONTS_PATH`].
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
    let config = retry_transient("configuration", transient::STARTUP_RETRY_TIME, is_transient, read_config)?;
    let read_fronts =
        || Fronts::read(fronts_path.as_deref().unwrap_or(DEFAULT_FRONTS_PATH), fronts_path.is_some());
    let fronts = retry_transient("fronts", transient::STARTUP_RETRY_TIME, is_transient, read_fronts)?;
    Ok(Files { config_path, config, fronts })
}

/// Checks what reading the files does not: the settings of the fronts against the configuration.
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

/// Runs the dispatcher until SIGTERM. SIGHUP reloads the configuration; SIGUSR1 writes the open requests to the log.
async fn serve(files: Files) -> Result<(), CommandError> {
    let Files { config_path, config, fronts } = files;
    let mut term = signal(SignalKind::terminate())?;
    // Installed before any socket listens: without a handler, SIGHUP would end the program.
    let mut hangup = signal(SignalKind::hangup())?;
    let (discovery_sender, discovery) = watch::channel(config.discovery);
    let dispatcher = Dispatcher::bind(config, &fronts)?;
    let mut reloader = dispatcher.config_reloader(discovery_sender);
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            reloader.reload_with_retries(&config_path, environment).await;
        }
    });
    let mut log_signal = signal(SignalKind::user_defined1())?;
    let driver = dispatcher.driver();
    tokio::spawn(async move {
        while log_signal.recv().await.is_some() {
            driver.send(Message::LogRequests);
        }
    });
    let shutdown = async move {
        term.recv().await;
    };
    dispatcher.run(discovery, shutdown).await?;
    Ok(())
}
