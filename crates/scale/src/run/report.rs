//! The report of a run: a sample for each real dispatcher, from what was observed during the load.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::client::Tally;
use super::process::Usage;
use super::Run;
use crate::hollow::{GossipLedger, ReplicaLedger};
use crate::results::RunSample;

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// One sample for each real dispatcher.
    pub samples: Vec<RunSample>,
    /// What the replicas counted during the run.
    pub replicas: ReplicaLedger,
    /// Load gossip datagrams during the run.
    pub gossip: GossipLedger,
    /// Events a second that the clients of one real dispatcher received under steady load, on average.
    pub events: f64,
    /// Requests open at one real dispatcher under steady load, on average.
    pub streams: f64,
}

/// What was observed from the start of the load to its end.
pub(super) struct Observed {
    pub(super) gossip_before: GossipLedger,
    pub(super) gossip_after: GossipLedger,
    /// Processor time of each real dispatcher at the beginning of the steady load, when the first streams have ended;
    /// `None` if there was no sample after it.
    pub(super) usage_before: Vec<Option<Usage>>,
    pub(super) usage_after: Vec<Usage>,
    /// Duration of the steady load.
    pub(super) steady_for: Duration,
}

/// Load gossip datagrams of one real dispatcher during the load.
struct Datagrams {
    sent: u64,
    received: u64,
}

impl Observed {
    fn datagrams(&self, number: usize) -> Datagrams {
        let (before, after) = (&self.gossip_before, &self.gossip_after);
        let sent = after.sent_by_real[number] - before.sent_by_real[number];
        let by_others: u64 = after.sent_by_real.iter().sum::<u64>() - after.sent_by_real[number];
        let received = after.sent_to_each - before.sent_to_each + by_others;
        Datagrams { sent, received }
    }
}

impl Run {
    /// Builds the report of the run.
    pub(super) fn report(&self, observed: &Observed, ledger: ReplicaLedger) -> Report {
        let tallies: Vec<Tally> = self.clients.iter().map(|clients| clients.tally()).collect();
        let mut samples = Vec::new();
        for (index, tally) in tallies.iter().enumerate() {
            samples.push(self.sample(index, tally, observed, &ledger));
        }
        let events: u64 = tallies.iter().map(|tally| tally.events_steady).sum();
        let open: f64 = tallies.iter().map(|tally| tally.mean_open).sum();
        let real = f64::from(self.options.real);
        let steady_s = observed.steady_for.as_secs_f64().max(1e-3);
        Report {
            samples,
            replicas: ledger,
            gossip: observed.gossip_after.clone(),
            events: events as f64 / (steady_s * real),
            streams: open / real,
        }
    }

    /// The sample of one real dispatcher, by its index in the run.
    fn sample(&self, index: usize, tally: &Tally, observed: &Observed, ledger: &ReplicaLedger) -> RunSample {
        let (options, real) = (&self.options, &self.real[index]);
        let (before, after) = (observed.usage_before[index], &observed.usage_after[index]);
        let delays = first_attempt_delays(tally, ledger);
        let seconds = options.seconds as f64;
        let datagrams = observed.datagrams(real.number as usize);
        RunSample {
            servers: options.servers,
            dispatchers: options.dispatchers,
            real: options.real,
            event: options.event,
            seconds: options.seconds,
            number: real.number,
            ends: tally.ends,
            processor: before.map_or(0.0, |before| after.core_share_since(&before)),
            memory: real.max_memory_bytes,
            descriptors: real.max_descriptors,
            datagrams_out: datagrams.sent as f64 / seconds,
            datagrams_in: datagrams.received as f64 / seconds,
            first_attempt_p50: delays.value_at_quantile(0.5) as f64 / 1_000.0,
            first_attempt_p99: delays.value_at_quantile(0.99) as f64 / 1_000.0,
            over_budget: ledger.over_budget,
            ran_twice: ledger.ran_twice,
        }
    }
}

/// Times from the last byte that a client sent of a request to the arrival of its first attempt at a server (us).
fn first_attempt_delays(tally: &Tally, ledger: &ReplicaLedger) -> Histogram<u64> {
    let mut delays = Histogram::new(3).expect("three significant digits are valid");
    for (id, sent) in &tally.sent {
        if let Some(arrived_at) = ledger.first_came.get(id) {
            delays.record(arrived_at.saturating_sub(*sent)).expect("the histogram resizes itself");
        }
    }
    delays
}
