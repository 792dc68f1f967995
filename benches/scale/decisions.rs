//! Cost of the decisions alone: one dispatcher's share of the requests, in virtual time on one core, with the real
//! time of each call of the router measured.

use std::collections::BTreeMap;
use std::process::Command;
use std::time::{Duration, Instant};

use dewladder_router::interface::*;
use dewladder_router::{tag, Load, LoadUpdate};
use dewladder_scale::options::{self, OptionsError};
use dewladder_scale::results::{Decider, DecisionSample};
use dewladder_scale::shape;
use hdrhistogram::Histogram;
use pico_args::Arguments;
use rand_core::{RngCore as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;

use crate::{oracle, Failure};

const SECOND: Micros = 1_000_000;
/// Requests a second of one dispatcher: 22,000 over 510 dispatchers.
const REQUESTS_PER_SECOND: u64 = 43;
/// Requests that are simulated before the measurement by default (20 s), so that the router's estimates and rates
/// are as in operation.
const WARM_UP_REQUESTS: u64 = REQUESTS_PER_SECOND * 20;
/// Duration of a read.
const READ_US: Micros = 300_000;
/// Time until a write begins to stream.
const WRITE_US: Micros = 120_000;
/// Duration of a stream.
const STREAM_US: Micros = 8 * SECOND;
/// Long enough that servers in slow start stay in it for the whole workload.
const SLOW_START_WINDOW_US: Micros = 100_000 * SECOND;
/// Longest real time of one sample. A sample that reaches it has the requests measured until then, and at least 50.
const MAX_SAMPLE_TIME: Duration = Duration::from_secs(40);

/// The router, or the full scan that it is compared with: the test oracle, which compares all servers in each
/// decision.
trait EventHandler {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl EventHandler for dewladder_router::Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }
}

impl EventHandler for oracle::Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }
}

/// The size of a simulated deployment and of the sample.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub decider: Decider,
    pub servers: u32,
    /// Share of the servers that are in slow start (percent).
    pub slow_start_percent: u32,
    pub dispatchers: u32,
    pub classes: u32,
    /// Requests to measure.
    pub requests: u64,
    /// Requests before the measurement.
    pub warm_up: u64,
}

/// A scheduled event in virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    /// A timer that the router started expires.
    TimerFires(TimerToken),
    /// A prompt has been read.
    ReadEnds(InFlight),
    /// An answer begins to stream.
    StreamStarts(InFlight),
    /// An answer is complete.
    StreamEnds(InFlight),
    RequestArrives,
}

/// An attempt that was sent and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    id: RequestId,
    attempt: u32,
    server: ServerId,
    sent_at: Micros,
}

/// The requests of one dispatcher in virtual time. The router's processing time is measured on the real clock.
pub struct Workload {
    router: Box<dyn EventHandler>,
    size: Size,
    /// Requests a second.
    rate: u64,
    /// Load updates that the router has sent to other dispatchers.
    published: u64,
    now: Micros,
    /// Steps by time and sequence number.
    schedule: BTreeMap<(Micros, u64), Step>,
    /// Number of scheduled steps, which keeps steps at the same time in the order in which they were scheduled.
    sequence: u64,
    /// Number of requests that have arrived.
    arrived: u64,
    rng: Pcg64Mcg,
    /// Time that the router has spent on each open request so far.
    decision_times: BTreeMap<RequestId, Duration>,
    /// Number of attempts of each open request so far.
    attempts: BTreeMap<RequestId, u32>,
    /// Number of measured requests that were served.
    served: u64,
    /// Time that the router spent on each measured request that is complete.
    request_times_ns: Histogram<u64>,
    /// Time that the router spent on each measured sweep: a periodic timer.
    sweep_times_ns: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn micros(nanos: f64) -> f64 {
    nanos / 1_000.0
}

impl Workload {
    fn new(size: Size) -> Self {
        Self::with(size, REQUESTS_PER_SECOND, |_| {})
    }

    /// A workload with another request rate (requests a second) and with settings adjusted by `adjust`.
    pub fn with(size: Size, rate: u64, adjust: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = shape::settings(size.dispatchers, size.classes, SLOW_START_WINDOW_US);
        adjust(&mut settings);
        let now = 1_000 * SECOND;
        let router: Box<dyn EventHandler> = match size.decider {
            Decider::Indexed => Box::new(dewladder_router::Router::new(settings, 7, now)),
            Decider::FullScan => Box::new(oracle::Router::new(settings, 7, now)),
        };
        let mut workload = Self {
            router,
            size,
            rate,
            published: 0,
            now,
            schedule: BTreeMap::new(),
            sequence: 0,
            arrived: 0,
            rng: Pcg64Mcg::seed_from_u64(11),
            decision_times: BTreeMap::new(),
            attempts: BTreeMap::new(),
            served: 0,
            request_times_ns: histogram(),
            sweep_times_ns: histogram(),
        };
        workload.send_list();
        workload.schedule(now, Step::RequestArrives);
        workload
    }

    fn is_in_slow_start(&self, server: u32) -> bool {
        // The factor spreads these servers evenly over cells and roles.
        u64::from(server) * 37 % 100 < u64::from(self.size.slow_start_percent)
    }

    fn entries(&self) -> Vec<ServerEntry> {
        let started = |server| self.is_in_slow_start(server).then_some(999 * SECOND);
        (0..self.size.servers).map(|server| shape::entry(server, started(server))).collect()
    }

    /// Hands the whole list to the router; the time that it took.
    fn send_list(&mut self) -> Duration {
        let event = Event::EndpointsUpdated { kind: ListUpdateKind::Full, entries: self.entries() };
        self.handle_event(event, None)
    }

    fn schedule(&mut self, at: Micros, step: Step) {
        self.sequence += 1;
        self.schedule.insert((at, self.sequence), step);
    }

    /// Hands an event to the router and executes its actions. The time that the router took, which is also added to
    /// that of the given request.
    fn handle_event(&mut self, event: Event, request: Option<RequestId>) -> Duration {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.router.handle(self.now, event, &mut actions);
        let took = start.elapsed();
        if let Some(id) = request {
            *self.decision_times.entry(id).or_default() += took;
        }
        for action in actions {
            match action {
                Action::Assign { id, server, .. } => {
                    self.start_attempt(id, server);
                    self.handle_event(Event::AttemptWritten(id), None);
                }
                Action::StartTimer { delay, token } => {
                    self.schedule(self.now + delay, Step::TimerFires(token));
                }
                Action::Reject { id, .. } | Action::Fail(id) => self.complete(id, false),
                Action::PublishGossip(_) => self.published += 1,
                _ => {}
            }
        }
        took
    }

    fn start_attempt(&mut self, id: RequestId, server: ServerId) {
        let number = self.attempts.entry(id).or_default();
        let attempt = std::mem::replace(number, *number + 1);
        let in_flight = InFlight { id, attempt, server, sent_at: self.now };
        if shape::reads(server.0) {
            self.schedule(self.now + READ_US, Step::ReadEnds(in_flight));
        } else {
            self.schedule(self.now + WRITE_US, Step::StreamStarts(in_flight));
        }
    }

    /// Ends a request, and records its time if it belongs to the measurement.
    fn complete(&mut self, id: RequestId, served: bool) {
        self.attempts.remove(&id);
        let Some(spent) = self.decision_times.remove(&id) else { return };
        if id.0 > self.size.warm_up {
            self.served += u64::from(served);
            self.request_times_ns
                .record(spent.as_nanos() as u64)
                .expect("the histogram resizes automatically");
        }
    }

    fn arrive(&mut self) {
        self.arrived += 1;
        let id = RequestId(self.arrived);
        let draw = self.rng.next_u64();
        // A turn of one of 4,000 sessions. Two in three sessions share one of 200 prefixes, the first ones most
        // often.
        let session = draw % 4_000;
        let shared = (draw >> 32) % 200 * ((draw >> 40) % 200) / 200;
        let has_shared_prefix = !session.is_multiple_of(3);
        let info = RequestInfo {
            id,
            class: session as u32 % self.size.classes,
            session: Some(Key(session)),
            shared: has_shared_prefix.then_some(Key(1 << 40 | shared)),
            shared_tokens: if has_shared_prefix { 1_500 } else { 0 },
            prompt_tokens: 2_000 + (draw >> 20) % 6_000,
            max_tokens: 500,
            hint: None,
            not_after: self.now + 5 * SECOND,
        };
        self.handle_event(Event::RequestArrived(info), Some(id));
        let gap = SECOND / self.rate;
        let next = self.now + gap / 2 + self.rng.next_u64() % gap;
        self.schedule(next, Step::RequestArrives);
    }

    fn finish_attempt(&mut self, in_flight: InFlight, outcome: Outcome) {
        let finished = AttemptFinished {
            id: in_flight.id,
            attempt: in_flight.attempt,
            server: in_flight.server,
            elapsed: self.now - in_flight.sent_at,
            outcome,
            held_state: HeldStateAfter::of_arrived(outcome),
            cached_tokens: 3_000,
            completes_request: outcome == Outcome::Served,
            report: None,
        };
        self.handle_event(Event::AttemptFinished(finished), Some(in_flight.id));
    }

    fn start_stream(&mut self, in_flight: InFlight) {
        let InFlight { id, attempt, sent_at, .. } = in_flight;
        let elapsed = self.now - sent_at;
        self.handle_event(Event::FirstToken { id, attempt, elapsed }, Some(id));
        self.schedule(self.now + STREAM_US, Step::StreamEnds(in_flight));
    }

    fn fire_timer(&mut self, token: TimerToken) {
        let took = self.handle_event(Event::TimerFired(token), None);
        if self.arrived > self.size.warm_up {
            self.sweep_times_ns.record(took.as_nanos() as u64).expect("the histogram resizes automatically");
        }
    }

    fn step(&mut self) {
        let Some(((at, _), step)) = self.schedule.pop_first() else { return };
        self.now = at;
        match step {
            Step::TimerFires(token) => self.fire_timer(token),
            Step::RequestArrives => self.arrive(),
            Step::ReadEnds(in_flight) => self.finish_attempt(in_flight, Outcome::Read),
            Step::StreamStarts(in_flight) => self.start_stream(in_flight),
            Step::StreamEnds(in_flight) => {
                self.finish_attempt(in_flight, Outcome::Served);
                self.complete(in_flight.id, true);
            }
        }
    }

    /// Executes steps until this number of requests have arrived.
    pub fn run_until_arrived(&mut self, requests: u64) {
        while self.arrived < requests {
            self.step();
        }
    }

    /// Number of load updates that the router has sent to other dispatchers.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// Mean time that the router takes for `count` events (us).
    fn mean_time_us(&mut self, count: u32, mut event: impl FnMut(&mut Self, u32) -> Event) -> f64 {
        let mut total = Duration::ZERO;
        for at in 0..count {
            self.now += 1_000;
            let event = event(self, at);
            total += self.handle_event(event, None);
        }
        micros(total.as_nanos() as f64 / f64::from(count))
    }

    /// Mean time to take in a list with one changed entry (us).
    fn changed_entry(&mut self) -> f64 {
        self.mean_time_us(100, |workload, at| {
            let server = at / 2 % workload.size.servers;
            let mut entry = shape::entry(server, workload.is_in_slow_start(server).then_some(999 * SECOND));
            entry.health = if at.is_multiple_of(2) { Health::Terminating } else { Health::Ready };
            Event::EndpointsUpdated { kind: ListUpdateKind::Patch, entries: vec![entry] }
        })
    }

    /// Mean time to take in a load update from another dispatcher (us).
    fn received_update(&mut self) -> f64 {
        self.mean_time_us(2_000, |workload, at| {
            let server = tag(ServerId(at * 7 % workload.size.servers));
            let load = Load::Queued(u64::from(at % 300) * 1_000);
            Event::GossipReceived(LoadUpdate { server, load, at: workload.now }.to_bytes().to_vec())
        })
    }
}

/// Resident memory of this process (bytes), for pages of 4 KiB.
pub fn resident_memory() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the statistics of this process");
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).expect("resident pages") * 4_096
}

/// Runs one workload and measures it.
fn sample(size: Size) -> DecisionSample {
    let before = resident_memory();
    let mut workload = Workload::new(size);
    let end = size.warm_up + size.requests;
    let start = Instant::now();
    while workload.arrived < end
        && (start.elapsed() < MAX_SAMPLE_TIME || workload.request_times_ns.len() < 50)
    {
        workload.step();
    }
    // Lets open requests finish; otherwise the last ones that arrived would be missing from the measurement.
    let last = workload.now + 10 * SECOND;
    while workload.schedule.first_key_value().is_some_and(|((at, _), _)| *at < last)
        && start.elapsed() < MAX_SAMPLE_TIME
    {
        workload.step();
    }
    let memory = resident_memory().saturating_sub(before);
    let list_count = 5;
    let whole: Duration = (0..list_count).map(|_| workload.send_list()).sum();
    DecisionSample {
        decider: size.decider,
        servers: size.servers,
        slow_start_percent: size.slow_start_percent,
        dispatchers: size.dispatchers,
        classes: size.classes,
        requests: workload.request_times_ns.len(),
        served: workload.served,
        request_mean: micros(workload.request_times_ns.mean()),
        request_p99: micros(workload.request_times_ns.value_at_quantile(0.99) as f64),
        request_worst: micros(workload.request_times_ns.max() as f64),
        sweep_mean: micros(workload.sweep_times_ns.mean()),
        whole_list: micros(whole.as_nanos() as f64 / f64::from(list_count)),
        changed_entry: workload.changed_entry(),
        update_received: workload.received_update(),
        memory,
    }
}

/// The values of `--decider` in the part `decisions`.
const DECIDERS: [(&str, &[Decider]); 3] = [
    ("both", &[Decider::FullScan, Decider::Indexed]),
    ("indexed", &[Decider::Indexed]),
    ("full-scan", &[Decider::FullScan]),
];

/// The options of one sample.
fn size(arguments: &mut Arguments) -> Result<Size, OptionsError> {
    Ok(Size {
        decider: options::one_of(
            arguments,
            "--decider",
            &[("indexed", Decider::Indexed), ("full-scan", Decider::FullScan)],
        )?,
        servers: options::number(arguments, "--servers", 100, 2..=20_000)?,
        slow_start_percent: options::number(arguments, "--cold", 0, 0..=100)?,
        dispatchers: options::number(arguments, "--dispatchers", 510, 1..=100_000)?,
        classes: options::number(arguments, "--classes", 4, 1..=1_000)?,
        requests: options::number(arguments, "--requests", 2_000, 10..=1_000_000)?,
        warm_up: options::number(arguments, "--warm-up", WARM_UP_REQUESTS, 0..=1_000_000)?,
    })
}

/// Prints one sample as JSON on standard output. Each sample is taken in a separate process, so that its memory can
/// be measured.
pub fn print_sample(mut arguments: Arguments) -> Result<(), Failure> {
    let size = size(&mut arguments)?;
    options::end(arguments)?;
    println!("{}", serde_json::to_string(&sample(size))?);
    Ok(())
}

/// Takes one sample in a separate process.
fn sample_in_process(size: Size) -> Result<DecisionSample, Failure> {
    let decider = if size.decider == Decider::Indexed { "indexed" } else { "full-scan" };
    let numbers = [
        ("--servers", u64::from(size.servers)),
        ("--cold", size.slow_start_percent.into()),
        ("--dispatchers", size.dispatchers.into()),
        ("--classes", size.classes.into()),
        ("--requests", size.requests),
        ("--warm-up", size.warm_up),
    ];
    let mut command = Command::new(std::env::current_exe()?);
    command.args(["one-decision-sample", "--decider", decider]);
    for (option, number) in numbers {
        command.arg(option).arg(number.to_string());
    }
    let output = command.output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned().into());
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// The part `decisions`: measures each number of servers with each share of servers in slow start, then, for the
/// largest number of servers, each further number of dispatchers and of classes. Records the samples.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let deciders = options::one_of(&mut arguments, "--decider", &DECIDERS)?;
    let servers = options::numbers(&mut arguments, "--servers", "100,400,1000,2900", 2..=20_000u32)?;
    let cold = options::numbers(&mut arguments, "--cold", "0,10,20,100", 0..=100u32)?;
    let dispatchers = options::numbers(&mut arguments, "--dispatchers", "510,18,60,200", 1..=100_000u32)?;
    let classes = options::numbers(&mut arguments, "--classes", "4,21", 1..=1_000u32)?;
    let requests = options::number(&mut arguments, "--requests", 2_000, 10..=1_000_000)?;
    let warm_up = options::number(&mut arguments, "--warm-up", WARM_UP_REQUESTS, 0..=1_000_000)?;
    options::end(arguments)?;
    let (max_servers, first) = (servers[servers.len() - 1], (dispatchers[0], classes[0]));
    let mut sizes: Vec<(u32, u32, u32, u32)> = Vec::new();
    for &servers in &servers {
        sizes.extend(cold.iter().map(|&cold| (servers, cold, first.0, first.1)));
    }
    sizes.extend(dispatchers.iter().skip(1).map(|&dispatchers| (max_servers, 0, dispatchers, first.1)));
    sizes.extend(classes.iter().skip(1).map(|&classes| (max_servers, 0, first.0, classes)));
    let mut samples = Vec::new();
    for (servers, slow_start_percent, dispatchers, classes) in sizes {
        for &decider in deciders {
            let size = Size { decider, servers, slow_start_percent, dispatchers, classes, requests, warm_up };
            let sample = sample_in_process(size)?;
            print(&sample);
            samples.push(sample);
        }
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.decisions = Some(part))
}

fn print(sample: &DecisionSample) {
    let DecisionSample { decider, servers, slow_start_percent, dispatchers, classes, .. } = sample;
    println!(
        "{decider:?} {servers} servers, {slow_start_percent}% in slow start, {dispatchers} dispatchers, {classes} classes: {:.1} us \
         a request (p99 {:.1}, worst {:.1}; {} of {} served), sweep {:.1}, list {:.0}, entry {:.0}, update {:.2} us, {:.1} MB",
        sample.request_mean,
        sample.request_p99,
        sample.request_worst,
        sample.served,
        sample.requests,
        sample.sweep_mean,
        sample.whole_list,
        sample.changed_entry,
        sample.update_received,
        sample.memory as f64 / 1e6,
    );
}
