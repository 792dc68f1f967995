//! How processes of a dispatcher are told to end by series of signals, and killed where they still run.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::{Dispatcher, RELOAD_INTERVAL};
use crate::event_log::Observation;
use crate::plan::SignalSeries;
use crate::process::{EndError, Process};

/// The platform counts deadlines as this at most, and kills so long after the longest one.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// A process that is stopped as it is told to end goes on after this.
const STOPPED_FOR: Duration = Duration::from_millis(150);
/// A process that is told to end at its start has run for less than this (ms).
const MAX_UNREADY_MS: u64 = 100;

impl Dispatcher {
    /// Kills those that still run at the earliest time at which the platform may do so.
    pub(super) async fn kill_at_earliest(&self, processes: Vec<Process>) {
        let (signaled_at, dispatcher) = (self.event_log.now(), self.number);
        self.log(Observation::EndRequested { dispatcher });
        let deadline = Duration::from_millis(self.plan.deadline_ms).min(MAX_DEADLINE);
        let kill_at = Instant::now() + deadline + GRACE_PERIOD;
        for mut process in processes {
            let left = kill_at.saturating_duration_since(Instant::now());
            let ended = process.ends_within(left).await;
            let was_to_run = self.is_to_run(process.id);
            self.forget(process.id);
            match ended {
                Err(EndError::Timeout(_)) => {
                    process.kill().await;
                    self.log(Observation::KilledAtEnd { dispatcher, signaled_at });
                }
                Err(error) if was_to_run => self.log_bad_exit(error.to_string()),
                _ => {}
            }
        }
    }

    /// Sends a series of signals by which processes are told to end, and starts a new one.
    pub(super) async fn signal_series(&self, series: SignalSeries) {
        let _lifecycle = self.lifecycle.lock().await;
        let mut old = self.take_processes().await;
        if series == SignalSeries::TermAtStart {
            self.end(std::mem::take(&mut old)).await;
            old.extend(self.start_unready().await);
        }
        let signal_all = |signal: &str| old.iter().for_each(|process| process.signal(signal));
        match series {
            SignalSeries::HupHupTerm => {
                signal_all("-HUP");
                signal_all("-HUP");
            }
            SignalSeries::StopTermCont => {
                self.log_outage(self.event_log.now() + STOPPED_FOR.as_micros() as u64, false);
                signal_all("-STOP");
            }
            SignalSeries::TermTerm | SignalSeries::TermHup | SignalSeries::TermAtStart => {}
        }
        signal_all("-TERM");
        match series {
            SignalSeries::TermTerm => signal_all("-TERM"),
            SignalSeries::TermHup => {
                sleep(RELOAD_INTERVAL).await;
                signal_all("-HUP");
            }
            SignalSeries::StopTermCont => {
                sleep(STOPPED_FOR).await;
                signal_all("-CONT");
            }
            SignalSeries::HupHupTerm | SignalSeries::TermAtStart => {}
        }
        self.await_end(old).await;
        self.start().await;
    }

    /// Starts a process and lets it run for a moment, less than it needs to be ready.
    async fn start_unready(&self) -> Option<Process> {
        let count = self.starts.fetch_add(1, Ordering::Relaxed);
        let log_file = self.folder.join(format!("log-{count}"));
        let process = self.launch.start("", &log_file).ok()?;
        self.running().push(process.id);
        sleep(Duration::from_millis(self.event_log.now() % MAX_UNREADY_MS)).await;
        Some(process)
    }
}
