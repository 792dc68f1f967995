//! New settings while the dispatcher runs: the configuration file is read again, checked, and taken over in one step.

use std::net::SocketAddr;
use std::time::Duration;

use log::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::edge::driver::{DriverHandle, Message};
use crate::edge::settings::{Config, ConfigError, ReloadedConfig};
use crate::edge::stats::Figures;
use crate::edge::transient;

/// A file that the system can't read just now is read again for so long: clients go by it soon.
const READ_RETRY: Duration = Duration::from_secs(1);

/// Takes over new settings while the dispatcher runs.
pub struct ConfigReloader {
    config: Config,
    driver: DriverHandle,
    figures: Figures,
    discovery: watch::Sender<SocketAddr>,
}

impl ConfigReloader {
    /// A reloader for a dispatcher that runs on `config`; `discovery` is told where the list is to be watched.
    #[must_use]
    pub fn new(
        config: Config,
        driver: DriverHandle,
        figures: Figures,
        discovery: watch::Sender<SocketAddr>,
    ) -> Self {
        Self { config, driver, figures, discovery }
    }

    /// Reads the file at `path` again and takes it over in one step; one that is broken changes nothing.
    pub fn reload(&mut self, path: &str, environment: impl Fn(&str) -> Option<String>) {
        match self.config.read_again(path, environment) {
            Ok(reloaded) => self.take_over(reloaded),
            Err(error) => self.reject(&error),
        }
    }

    /// The same, and a file that the system can't read just now is read again for a second.
    pub async fn reload_with_retries(&mut self, path: &str, environment: impl Fn(&str) -> Option<String>) {
        let until = Instant::now() + READ_RETRY;
        loop {
            match self.config.read_again(path, &environment) {
                Ok(reloaded) => return self.take_over(reloaded),
                Err(error) if error.is_transient() && Instant::now() < until => {
                    tokio::time::sleep(transient::PAUSE).await;
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
