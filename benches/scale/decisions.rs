//! Decisions alone, on one core: a dispatcher's share of requests in virtual time, each call of the router timed.

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
/// Requests a second of one dispatcher: 22,000 over 510.
const REQUESTS: u64 = 43;
/// Requests that are played before anything is measured, unless told otherwise: beliefs and rates are as in service then.
const WARM_UP: u64 = REQUESTS * 20;
const READ_TAKES: Micros = 300_000;
const WRITE_TAKES: Micros = 120_000;
const STREAM_TAKES: Micros = 8 * SECOND;
/// Servers in slow start stay so for the whole play.
const COLD_FOR: Micros = 100_000 * SECOND;
/// Longest time that one sample is played (s); requests measured until then count.
const MOST_TIME: Duration = Duration::from_secs(40);

trait Decides {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl Decides for dewladder_router::Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }
}

impl Decides for oracle::Router {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.handle(now, event, out);
    }
}

/// One size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub decider: Decider,
    pub servers: u32,
    pub cold_percent: u32,
    pub dispatchers: u32,
    pub classes: u32,
    pub requests: u64,
    pub warm_up: u64,
}

/// What happens next in virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(TimerToken),
    Ends(RequestId, u32, ServerId, Micros),
    Begins(RequestId, u32, ServerId, Micros),
    Streamed(RequestId, u32, ServerId, Micros),
    Arrives,
}

pub struct Play {
    router: Box<dyn Decides>,
    size: Size,
    /// Requests a second.
    rate: u64,
    told: u64,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    numbers: u64,
    asked: u64,
    lots: Pcg64Mcg,
    spent: BTreeMap<RequestId, Duration>,
    attempts: BTreeMap<RequestId, u32>,
    served: u64,
    whole: Histogram<u64>,
    sweeps: Histogram<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits")
}

fn micros(nanos: f64) -> f64 {
    nanos / 1_000.0
}

impl Play {
    fn new(size: Size) -> Self {
        Self::with(size, REQUESTS, |_| {})
    }

    /// One with so many requests a second, and settings changed by `tweak`.
    pub fn with(size: Size, rate: u64, tweak: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = shape::settings(size.dispatchers, size.classes, COLD_FOR);
        tweak(&mut settings);
        let now = 1_000 * SECOND;
        let router: Box<dyn Decides> = match size.decider {
            Decider::Indexed => Box::new(dewladder_router::Router::new(settings, 7, now)),
            Decider::FullScan => Box::new(oracle::Router::new(settings, 7, now)),
        };
        let mut play = Self {
            router,
            size,
            rate,
            told: 0,
            now,
            due: BTreeMap::new(),
            numbers: 0,
            asked: 0,
            lots: Pcg64Mcg::seed_from_u64(11),
            spent: BTreeMap::new(),
            attempts: BTreeMap::new(),
            served: 0,
            whole: histogram(),
            sweeps: histogram(),
        };
        play.list();
        play.plan(now, Due::Arrives);
        play
    }

    fn cold(&self, server: u32) -> bool {
        // Spread evenly over cells and roles.
        u64::from(server) * 37 % 100 < u64::from(self.size.cold_percent)
    }

    fn entries(&self) -> Vec<ServerEntry> {
        let started = |server| self.cold(server).then_some(999 * SECOND);
        (0..self.size.servers).map(|server| shape::entry(server, started(server))).collect()
    }

    fn list(&mut self) -> Duration {
        let event = Event::EndpointsUpdated { how: ListUpdateKind::Full, entries: self.entries() };
        self.tell(event, None)
    }

    fn plan(&mut self, at: Micros, due: Due) {
        self.numbers += 1;
        self.due.insert((at, self.numbers), due);
    }

    /// Tells the router and does as it says; how long it took.
    fn tell(&mut self, event: Event, of: Option<RequestId>) -> Duration {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.router.handle(self.now, event, &mut actions);
        let took = start.elapsed();
        if let Some(id) = of {
            *self.spent.entry(id).or_default() += took;
        }
        for action in actions {
            match action {
                Action::Assign { id, server, .. } => self.assigned(id, server),
                Action::StartTimer { delay, token } => self.plan(self.now + delay, Due::Timer(token)),
                Action::Reject { id, .. } | Action::Fail(id) => self.over(id, false),
                Action::PublishGossip(_) => self.told += 1,
                _ => {}
            }
        }
        took
    }

    fn assigned(&mut self, id: RequestId, server: ServerId) {
        let number = self.attempts.entry(id).or_default();
        let attempt = std::mem::replace(number, *number + 1);
        let sent = self.now;
        if shape::reads(server.0) {
            self.plan(sent + READ_TAKES, Due::Ends(id, attempt, server, sent));
        } else {
            self.plan(sent + WRITE_TAKES, Due::Begins(id, attempt, server, sent));
        }
    }

    fn over(&mut self, id: RequestId, served: bool) {
        self.attempts.remove(&id);
        let Some(spent) = self.spent.remove(&id) else { return };
        if id.0 > self.size.warm_up {
            self.served += u64::from(served);
            self.whole.record(spent.as_nanos() as u64).expect("it grows");
        }
    }

    fn arrives(&mut self) {
        self.asked += 1;
        let id = RequestId(self.asked);
        let lot = self.lots.next_u64();
        // Turns of some thousand sessions; two in three share one of 200 beginnings, the first ones the most.
        let session = lot % 4_000;
        let shared = (lot >> 32) % 200 * ((lot >> 40) % 200) / 200;
        let shares = !session.is_multiple_of(3);
        let call = RequestInfo {
            id,
            class: session as u32 % self.size.classes,
            session: Some(Key(session)),
            shared: shares.then_some(Key(1 << 40 | shared)),
            shared_tokens: if shares { 1_500 } else { 0 },
            prompt_tokens: 2_000 + (lot >> 20) % 6_000,
            max_tokens: 500,
            hint: None,
            not_after: self.now + 5 * SECOND,
        };
        self.tell(Event::RequestArrived(call), Some(id));
        let gap = SECOND / self.rate;
        let next = self.now + gap / 2 + self.lots.next_u64() % gap;
        self.plan(next, Due::Arrives);
    }

    fn ended(&mut self, id: RequestId, attempt: u32, server: ServerId, sent: Micros, outcome: Outcome) {
        let (taken, last) = (self.now - sent, outcome == Outcome::Served);
        let ended =
            AttemptFinished { id, attempt, server, taken, outcome, cached_tokens: 3_000, last, report: None };
        self.tell(Event::AttemptFinished(ended), Some(id));
    }

    fn step(&mut self) {
        let Some(((at, _), due)) = self.due.pop_first() else { return };
        self.now = at;
        match due {
            Due::Timer(token) => {
                let took = self.tell(Event::TimerFired(token), None);
                if self.asked > self.size.warm_up {
                    self.sweeps.record(took.as_nanos() as u64).expect("it grows");
                }
            }
            Due::Arrives => self.arrives(),
            Due::Ends(id, attempt, server, sent) => self.ended(id, attempt, server, sent, Outcome::Read),
            Due::Begins(id, attempt, server, sent) => {
                let taken = self.now - sent;
                self.tell(Event::FirstToken { id, attempt, taken }, Some(id));
                self.plan(self.now + STREAM_TAKES, Due::Streamed(id, attempt, server, sent));
            }
            Due::Streamed(id, attempt, server, sent) => {
                self.ended(id, attempt, server, sent, Outcome::Served);
                self.over(id, true);
            }
        }
    }

    /// Plays until so many requests have been asked.
    pub fn until_asked(&mut self, requests: u64) {
        while self.asked < requests {
            self.step();
        }
    }

    /// Load updates that were told to other dispatchers.
    pub fn told(&self) -> u64 {
        self.told
    }

    /// Mean time of so many events (us).
    fn mean(&mut self, count: u32, mut event: impl FnMut(&mut Self, u32) -> Event) -> f64 {
        let mut all = Duration::ZERO;
        for at in 0..count {
            self.now += 1_000;
            let event = event(self, at);
            all += self.tell(event, None);
        }
        micros(all.as_nanos() as f64 / f64::from(count))
    }

    fn changed_entry(&mut self) -> f64 {
        self.mean(100, |play, at| {
            let server = at / 2 % play.size.servers;
            let mut entry = shape::entry(server, play.cold(server).then_some(999 * SECOND));
            entry.health = if at.is_multiple_of(2) { Health::Terminating } else { Health::Ready };
            Event::EndpointsUpdated { how: ListUpdateKind::Patch, entries: vec![entry] }
        })
    }

    fn update_heard(&mut self) -> f64 {
        self.mean(2_000, |play, at| {
            let server = tag(ServerId(at * 7 % play.size.servers));
            let load = Load::Waits(u64::from(at % 300) * 1_000);
            Event::GossipReceived(LoadUpdate { server, load, at: play.now }.to_bytes().to_vec())
        })
    }
}

/// Resident memory of this process (bytes).
pub fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("its own figures");
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).expect("resident pages") * 4_096
}

fn sample(size: Size) -> DecisionSample {
    let before = resident();
    let mut play = Play::new(size);
    let end = size.warm_up + size.requests;
    let start = Instant::now();
    while play.asked < end && (start.elapsed() < MOST_TIME || play.whole.len() < 50) {
        play.step();
    }
    // Those that are open come to their end; the last ones asked are not measured to it otherwise.
    let last = play.now + 10 * SECOND;
    while play.due.first_key_value().is_some_and(|((at, _), _)| *at < last) && start.elapsed() < MOST_TIME {
        play.step();
    }
    let memory = resident().saturating_sub(before);
    let lists = 5;
    let whole: Duration = (0..lists).map(|_| play.list()).sum();
    DecisionSample {
        decider: size.decider,
        servers: size.servers,
        slow_start_percent: size.cold_percent,
        dispatchers: size.dispatchers,
        classes: size.classes,
        requests: play.whole.len(),
        served: play.served,
        request_mean: micros(play.whole.mean()),
        request_p99: micros(play.whole.value_at_quantile(0.99) as f64),
        request_worst: micros(play.whole.max() as f64),
        sweep_mean: micros(play.sweeps.mean()),
        whole_list: micros(whole.as_nanos() as f64 / f64::from(lists)),
        changed_entry: play.changed_entry(),
        update_received: play.update_heard(),
        memory,
    }
}

const DECIDERS: [(&str, &[Decider]); 3] = [
    ("both", &[Decider::FullScan, Decider::Indexed]),
    ("indexed", &[Decider::Indexed]),
    ("full-scan", &[Decider::FullScan]),
];

fn size(arguments: &mut Arguments) -> Result<Size, OptionsError> {
    Ok(Size {
        decider: options::one_of(
            arguments,
            "--decider",
            &[("indexed", Decider::Indexed), ("full-scan", Decider::FullScan)],
        )?,
        servers: options::number(arguments, "--servers", 100, 2..=20_000)?,
        cold_percent: options::number(arguments, "--cold", 0, 0..=100)?,
        dispatchers: options::number(arguments, "--dispatchers", 510, 1..=100_000)?,
        classes: options::number(arguments, "--classes", 4, 1..=1_000)?,
        requests: options::number(arguments, "--requests", 2_000, 10..=1_000_000)?,
        warm_up: options::number(arguments, "--warm-up", WARM_UP, 0..=1_000_000)?,
    })
}

/// One sample, as JSON on standard output: each is taken in a process of its own, for its memory's sake.
pub fn one(mut arguments: Arguments) -> Result<(), Failure> {
    let size = size(&mut arguments)?;
    options::end(arguments)?;
    println!("{}", serde_json::to_string(&sample(size))?);
    Ok(())
}

fn in_process(size: Size) -> Result<DecisionSample, Failure> {
    let decider = if size.decider == Decider::Indexed { "indexed" } else { "full-scan" };
    let numbers = [
        ("--servers", u64::from(size.servers)),
        ("--cold", size.cold_percent.into()),
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

/// Takes samples, one quantity varied at a time, and records them.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let deciders = options::one_of(&mut arguments, "--decider", &DECIDERS)?;
    let servers = options::numbers(&mut arguments, "--servers", "100,400,1000,2900", 2..=20_000u32)?;
    let cold = options::numbers(&mut arguments, "--cold", "0,10,20,100", 0..=100u32)?;
    let dispatchers = options::numbers(&mut arguments, "--dispatchers", "510,18,60,200", 1..=100_000u32)?;
    let classes = options::numbers(&mut arguments, "--classes", "4,21", 1..=1_000u32)?;
    let requests = options::number(&mut arguments, "--requests", 2_000, 10..=1_000_000)?;
    let warm_up = options::number(&mut arguments, "--warm-up", WARM_UP, 0..=1_000_000)?;
    options::end(arguments)?;
    let (most, first) = (servers[servers.len() - 1], (dispatchers[0], classes[0]));
    let mut sizes: Vec<(u32, u32, u32, u32)> = Vec::new();
    for &servers in &servers {
        sizes.extend(cold.iter().map(|&cold| (servers, cold, first.0, first.1)));
    }
    sizes.extend(dispatchers.iter().skip(1).map(|&dispatchers| (most, 0, dispatchers, first.1)));
    sizes.extend(classes.iter().skip(1).map(|&classes| (most, 0, first.0, classes)));
    let mut samples = Vec::new();
    for (servers, cold_percent, dispatchers, classes) in sizes {
        for &decider in deciders {
            let size = Size { decider, servers, cold_percent, dispatchers, classes, requests, warm_up };
            let sample = in_process(size)?;
            println!(
                "{:?} {servers} servers, {cold_percent}% cold, {dispatchers} dispatchers, {classes} classes: {:.1} us \
                 a request (p99 {:.1}, worst {:.1}; {} of {} served), sweep {:.1}, list {:.0}, entry {:.0}, update {:.2} us, {:.1} MB",
                decider,
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
            samples.push(sample);
        }
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.decisions = Some(part))
}
