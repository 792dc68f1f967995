//! Shutdowns of dispatcher processes by series of signals, and kills of processes that still run at the earliest time
//! at which the platform may kill them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use super::{Dispatcher, RELOAD_INTERVAL};
use crate::event_log::Observation;
use crate::plan::SignalSeries;
use crate::process::{ExitError, Process};

/// The platform counts longer deadlines as this.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// The platform kills a process this long after the longest deadline, counted from the request to end.
const GRACE_PERIOD: Duration = Duration::from_millis(700);
/// How long a process stays paused by SIGSTOP when it is sent SIGTERM meanwhile.
const STOPPED_FOR: Duration = Duration::from_millis(150);
/// A process that is told to end at its start has run for less than this (ms), so it is not ready yet.
const MAX_UNREADY_MS: u64 = 100;

impl Dispatcher {
    /// Waits for the end of processes that were just sent SIGTERM, and kills those that still run at the earliest time
    /// at which the platform may do so.
    pub(super) async fn kill_at_earliest(&self, processes: Vec<Process>) {
        let (signaled_at, dispatcher) = (self.event_log.now(), self.index);
        self.log(Observation::ShutdownRequested { dispatcher });
        let deadline = Duration::from_millis(self.plan.deadline_ms).min(MAX_DEADLINE);
        let kill_at = Instant::now() + deadline + GRACE_PERIOD;
        for mut process in processes {
            let remaining = kill_at.saturating_duration_since(Instant::now());
            let exited = process.exits_within(remaining).await;
            let was_expected_to_run = self.is_expected_to_run(process.id);
            self.expect_exit(process.id);
            match exited {
                Err(ExitError::Timeout(_)) => {
                    process.kill().await;
                    self.log(Observation::KilledInShutdown { dispatcher, signaled_at });
                }
                Err(error) if was_expected_to_run => self.log_bad_exit(error.to_string()),
                _ => {}
            }
        }
    }

    /// Sends a series of signals that shuts the processes down, and starts a new process.
    pub(super) async fn signal_series(&self, series: SignalSeries) {
        let _lifecycle = self.lifecycle.lock().await;
        let mut old = self.take_processes().await;
        if series == SignalSeries::TermAtStart {
            self.shut_down(std::mem::take(&mut old)).await;
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
        self.await_exit(old).await;
        self.start().await;
    }

    /// Starts a process without shim rules and lets it run for less than [`MAX_UNREADY_MS`].
    async fn start_unready(&self) -> Option<Process> {
        let start_number = self.start_count.fetch_add(1, Ordering::Relaxed);
        let log_file = self.folder.join(format!("log-{start_number}"));
        let process = self.launch.start("", &log_file).ok()?;
        self.expected_running().push(process.id);
        sleep(Duration::from_millis(self.event_log.now() % MAX_UNREADY_MS)).await;
        Some(process)
    }
}
