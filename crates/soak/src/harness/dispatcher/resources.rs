//! Comparison of the resources that processes hold with what they may hold.

use std::sync::atomic::Ordering;

use tokio::time::sleep_until;

use super::Dispatcher;
use crate::event_log::Observation;
use crate::plan::{Fault, FaultKind};
use crate::process::{Process, ResourceUsage};

/// Descriptors that a process may hold after the run in addition to those when it was ready: kept connections to
/// servers.
const MAX_EXTRA_DESCRIPTORS: usize = 40;

impl Dispatcher {
    /// Resource usage of the most recently started process.
    pub(in crate::harness) async fn resource_usage(&self) -> Option<ResourceUsage> {
        self.processes.lock().await.last().and_then(Process::resource_usage)
    }

    /// Logs a leak for each resource of which the most recently started process holds more than allowed, and for each
    /// violated invariant (`.guard_broken.`) in its statistics. `before` is the usage of the first process when it
    /// was ready; it is compared only if no other process was started since.
    pub(in crate::harness) async fn compare_resources(&self, before: Option<ResourceUsage>) {
        let processes = self.processes.lock().await;
        let Some(process) = processes.last() else { return };
        if !self.is_paused_by_plan() {
            let stats = process.stats().await.unwrap_or_default();
            for line in stats.lines().filter(|line| line.contains(".guard_broken.") && !line.contains(":0|"))
            {
                self.log_leak(format!("reported by the process itself: {line}"));
            }
        }
        let Some(after) = process.resource_usage() else { return };
        self.check_peak_memory(after);
        let is_first_process = self.start_count.load(Ordering::Relaxed) == 1;
        let Some(before) = before.filter(|_| is_first_process) else { return };
        if after.descriptors > before.descriptors + MAX_EXTRA_DESCRIPTORS {
            self.log_leak(format!("{} descriptors, {} at the start", after.descriptors, before.descriptors));
        }
        if after.threads != before.threads {
            self.log_leak(format!("{} threads, {} at the start", after.threads, before.threads));
        }
    }

    /// Logs a leak if a process has held more memory than its limit.
    fn check_peak_memory(&self, usage: ResourceUsage) {
        if usage.peak_kib > self.plan.memory_mb * 1_024 {
            self.log_leak(format!("{} KiB of memory at its peak", usage.peak_kib));
        }
    }

    /// Checks the memory of all processes at a time (ms since the start of the run).
    pub(super) async fn check_memory_at(&self, at_ms: u64) {
        sleep_until(self.event_log.instant(at_ms)).await;
        for process in self.processes.lock().await.iter() {
            if let Some(usage) = process.resource_usage() {
                self.check_peak_memory(usage);
            }
        }
    }

    /// Whether the plan pauses this dispatcher's process: then the process is late with everything that was in flight,
    /// which the oracle excuses too.
    fn is_paused_by_plan(&self) -> bool {
        let is_pause =
            |fault: &Fault| matches!(fault.kind, FaultKind::Stop { dispatcher } if dispatcher == self.index);
        self.plan.faults.iter().any(is_pause)
    }

    fn log_leak(&self, what: String) {
        self.log(Observation::Leak { dispatcher: self.index, what });
    }
}
