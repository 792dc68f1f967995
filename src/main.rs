//! The command line, and the start and end of the dispatcher.

#![forbid(unsafe_code)]

mod conform;
mod demo;

use std::process::ExitCode;

use dewladder::edge::clients::chat;
use dewladder::edge::dispatcher::Dispatcher;
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

fn run(mut arguments: Arguments) -> Result<(), String> {
    let command = arguments.subcommand().map_err(|error| error.to_string())?;
    match command.as_deref() {
        Some("serve") => {
            let (path, config, fronts) = config(arguments)?;
            runtime()?.block_on(serve(path, config, &fronts))
        }
        Some("demo") => match arguments.finish().first() {
            None => runtime()?.block_on(demo::run()),
            Some(unknown) => Err(format!("demo takes no arguments: {}", unknown.to_string_lossy())),
        },
        Some("conform") => {
            runtime()?.block_on(conform::conform(arguments)).map_err(|error| error.to_string())
        }
        Some("check-config") => {
            let (_, config, fronts) = config(arguments)?;
            fronts.chat.as_ref().map_or(Ok(()), |chat| chat::check(chat, &config))?;
            if let Some(cluster) = fronts.cluster.as_ref().filter(|cluster| cluster.enabled) {
                cluster.check(&config.name).map_err(|error| error.to_string())?;
            }
            println!("{} on {}: the configuration can be used", config.name, config.listen);
            Ok(())
        }
        Some("version") => {
            println!("dewladder {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        None | Some("help") => {
            println!("{HELP}");
            Ok(())
        }
        Some(other) => Err(format!("'{other}' is no command; 'dewladder help' lists them")),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let build = || tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = outlast("runtime", transient::START, is_transient, build);
    runtime.map_err(|error| format!("can't start the runtime: {error}"))
}

fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// The configuration's path, the configuration and the fronts that the arguments name.
fn config(mut arguments: Arguments) -> Result<(String, Config, Fronts), String> {
    let mut option = |name| -> Result<Option<String>, String> {
        arguments.opt_value_from_str(name).map_err(|error| error.to_string())
    };
    let (path, fronts) = (option("--config")?, option("--fronts")?);
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("{} is not known; 'dewladder help' lists what is", unknown.to_string_lossy()));
    }
    let path = path.or_else(|| environment("ROUTER_CONFIG"));
    let path = path.ok_or("no configuration: give --config or set ROUTER_CONFIG")?;
    let passes = ConfigError::is_transient;
    let read = || Config::read(&path, environment);
    let config =
        outlast("configuration", transient::START, passes, read).map_err(|error| error.to_string())?;
    let read = || Fronts::read(fronts.as_deref().unwrap_or(FRONTS), fronts.is_some());
    let fronts = outlast("fronts", transient::START, passes, read);
    Ok((path, config, fronts.map_err(|error| error.to_string())?))
}

async fn serve(path: String, config: Config, fronts: &Fronts) -> Result<(), String> {
    let told = |kind| signal(kind).map_err(|error| error.to_string());
    let mut term = told(SignalKind::terminate())?;
    // In place before anything listens: without it, SIGHUP would end the program.
    let mut hangup = told(SignalKind::hangup())?;
    let (tell, discovery) = watch::channel(config.discovery);
    let dispatcher = Dispatcher::bind(config, fronts)?;
    let mut retuning = dispatcher.retuning(tell);
    tokio::spawn(async move {
        while hangup.recv().await.is_some() {
            retuning.read_again_soon(&path, environment).await;
        }
    });
    dispatcher
        .run(discovery, async move {
            term.recv().await;
        })
        .await
}
