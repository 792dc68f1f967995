//! Reloads the configuration file while the dispatcher runs: the file is read, checked, and applied as a whole or not
//! at all.

use std::net::SocketAddr;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::driver::{DriverHandle, Message};
use crate::edge::settings::{Config, ConfigError, ReloadedConfig};
use crate::edge::stats::Figures;
use crate::edge::transient;

/// How long reading the file is retried while it fails with a transient error. Short, as clients soon rely on the new
/// settings.
const READ_RETRY_TIME: Duration = Duration::from_secs(1);

/// Applies reloaded settings to a running dispatcher.
pub struct ConfigReloader {
    config: Config,
    driver: DriverHandle,
    figures: Figures,
    discovery: watch::Sender<SocketAddr>,
}

impl ConfigReloader {
    /// Creates a reloader for a dispatcher that runs with `config`. The address of the discovery agent is published
    /// on `discovery` after each reload.
    #[must_use]
    pub fn new(
        config: Config,
        driver: DriverHandle,
        figures: Figures,
        discovery: watch::Sender<SocketAddr>,
    ) -> Self {
        Self { config, driver, figures, discovery }
    }

    /// Reloads the file at `path` once. A file that can't be read or used is logged and counted, and changes nothing.
    pub fn reload(&mut self, path: &str, environment: impl Fn(&str) -> Option<String>) {
        match self.config.read_again(path, environment) {
            Ok(reloaded) => self.take_over(reloaded),
            Err(error) => self.reject(&error),
        }
    }

    /// Like [`reload`](Self::reload), but retries for up to [`READ_RETRY_TIME`] while reading fails with a transient
    /// error.
    pub async fn reload_with_retries(&mut self, path: &str, environment: impl Fn(&str) -> Option<String>) {
        let retry_until = Instant::now() + READ_RETRY_TIME;
        loop {
            match self.config.read_again(path, &environment) {
                Ok(reloaded) => return self.take_over(reloaded),
                Err(error) if error.is_transient() && Instant::now() < retry_until => {
                    tokio::time::sleep(transient::RETRY_INTERVAL).await;
                }
                Err(error) => return self.reject(&error),
            }
        }
    }

    fn take_over(&mut self, reloaded: ReloadedConfig) {
        let names: Vec<&str> = reloaded.settings.current().map(|class| class.name.as_str()).collect();
        let (discovery, classes) = (reloaded.discovery, names.join(", "));
        info!(discovery:% = discovery, classes = classes.as_str(); "configuration: taken over");
        if !reloaded.needs_restart.is_empty() {
            let settings = reloaded.needs_restart.join("; ");
            warn!(settings = settings.as_str(); "configuration: some changes need a restart");
        }
        self.config.apply(&reloaded);
        self.driver.send(Message::SettingsReloaded(Box::new(reloaded.settings)));
        self.discovery.send_replace(discovery);
        self.figures.record().reloads += 1;
    }

    fn reject(&self, error: &ConfigError) {
        warn!(reason:% = error; "configuration: not taken over, the old one stands");
        self.figures.record().reload_errors += 1;
    }
}
