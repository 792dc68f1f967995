//! The command line, and the start and end of the dispatcher.

#![forbid(unsafe_code)]

use std::process::ExitCode;
use std::time::Duration;

use dewladder::edge::clients::listener::{self, Bounds, Phase};
use dewladder::edge::clients::platform;
use dewladder::edge::clock::Clock;
use dewladder::edge::driver::{Driver, Message};
use dewladder::edge::list;
use dewladder::edge::settings::Config;
use dewladder::interface::ListKind;
use log::{error, info};
use pico_args::Arguments;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

const HELP: &str = "dewladder: a dispatcher for two-stage language-model servers

usage: dewladder <command> [options]

  serve [--config FILE]         serve clients until told to end (SIGTERM)
  check-config [--config FILE]  say whether a configuration can be used
  version                       print the version
  help                          print this text

FILE is $ROUTER_CONFIG where it is not given. $RUST_LOG sets what is logged (info by default).";

/// After SIGTERM new connections go on coming for up to 0.4 s; only then is nobody turned away by closing.
const LEAVE: Duration = Duration::from_millis(600);
const LOOK: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
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
            let config = config(arguments)?;
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.map_err(|error| format!("can't start the runtime: {error}"))?.block_on(serve(config))
        }
        Some("check-config") => {
            let config = config(arguments)?;
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

fn config(mut arguments: Arguments) -> Result<Config, String> {
    let path: Option<String> = arguments.opt_value_from_str("--config").map_err(|error| error.to_string())?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(format!("{} is not known; 'dewladder help' lists what is", unknown.to_string_lossy()));
    }
    let environment = |name: &str| std::env::var(name).ok();
    let path = path.or_else(|| environment("ROUTER_CONFIG"));
    let path = path.ok_or("no configuration: give --config or set ROUTER_CONFIG")?;
    Config::read(&path, environment).map_err(|error| error.to_string())
}

async fn serve(config: Config) -> Result<(), String> {
    let clock = Clock::start();
    let mut term = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let listener = listener::listen(config.listen)
        .map_err(|error| format!("can't listen on {}: {error}", config.listen))?;
    let (driver, to_driver) = Driver::new(&config, clock);
    let held = driver.held();
    let known = list::entries(&config.known, &config.names);
    info!("{}: serving on {}, {} servers known", config.name, config.listen, known.len());
    to_driver.send(Message::Listed { how: ListKind::StaleCopy, entries: known });
    let driver = tokio::spawn(driver.run());
    let watching = tokio::spawn(list::watch(config.clone(), to_driver.clone()));
    let (phase, phases) = watch::channel(Phase::Serving);
    let front = platform::front(&config, clock, to_driver);
    let bounds = Bounds::new(config.most_clients());
    let front = tokio::spawn(listener::serve(listener, front, bounds, phases));
    tokio::select! {
        _ = term.recv() => {}
        ended = driver => return Err(format!("the driver ended: {ended:?}")),
        ended = watching => return Err(format!("the watch of the list ended: {ended:?}")),
    }
    info!("told to end: clients are asked to leave");
    phase.send_replace(Phase::Leaving);
    tokio::time::sleep(LEAVE).await;
    phase.send_replace(Phase::Closing);
    if let Err(panic) = front.await {
        error!("the front ended badly: {panic}");
    }
    while !held.nothing() {
        tokio::time::sleep(LOOK).await;
    }
    info!("nothing is held any more: ending");
    Ok(())
}
