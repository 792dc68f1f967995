//! What a run gives: a sample of each real dispatcher, from what was seen while load lasted.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::client::Tally;
use super::process::Usage;
use super::Run;
use crate::hollow::{GossipLedger, ReplicaLedger};
use crate::results::RunSample;

/// What a run gives.
#[derive(Clone, Debug)]
pub struct Report {
    /// A sample of each real dispatcher.
    pub samples: Vec<RunSample>,
    /// What the replicas have seen.
    pub replicas: ReplicaLedger,
    /// What went between dispatchers.
    pub gossip: GossipLedger,
    /// Events relayed a second by each real one, as its clients got them.
    pub events: f64,
    /// Streams open at each real one, on average.
    pub streams: f64,
}

/// What was seen while load lasted.
pub(super) struct Observed {
    pub(super) gossip_before: GossipLedger,
    pub(super) gossip_after: GossipLedger,
    /// Processor time of each real dispatcher once the first streams had ended, where that came to be.
    pub(super) usage_before: Vec<Option<Usage>>,
    pub(super) usage_after: Vec<Usage>,
    /// How long the load was steady.
    pub(super) steady_for: Duration,
}

/// Load gossip of one real dispatcher.
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
    /// The report of the run.
    pub(super) fn report(&self, observed: &Observed, ledger: ReplicaLedger) -> Report {
        let tallies: Vec<Tally> = self.clients.iter().map(|clients| clients.tally()).collect();
        let mut samples = Vec::new();
        for (at, tally) in tallies.iter().enumerate() {
            samples.push(self.sample(at, tally, observed, &ledger));
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

    /// The sample of a real dispatcher, by its position.
    fn sample(&self, at: usize, tally: &Tally, observed: &Observed, ledger: &ReplicaLedger) -> RunSample {
        let (options, real) = (&self.options, &self.real[at]);
        let (before, after) = (observed.usage_before[at], &observed.usage_after[at]);
        let times = first_attempts(tally, ledger);
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
            processor: before.map_or(0.0, |before| after.share_since(&before)),
            memory: real.max_memory_bytes,
            descriptors: real.max_descriptors,
            datagrams_out: datagrams.sent as f64 / seconds,
            datagrams_in: datagrams.received as f64 / seconds,
            first_attempt_p50: times.value_at_quantile(0.5) as f64 / 1_000.0,
            first_attempt_p99: times.value_at_quantile(0.99) as f64 / 1_000.0,
            over_budget: ledger.over_budget,
            ran_twice: ledger.ran_twice,
        }
    }
}

/// From each request's last byte to its first attempt's (us).
fn first_attempts(tally: &Tally, ledger: &ReplicaLedger) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits");
    for (id, sent) in &tally.sent {
        if let Some(came) = ledger.first_came.get(id) {
            times.record(came.saturating_sub(*sent)).expect("it grows");
        }
    }
    times
}
