//! Cost of the list of servers for one dispatcher: to parse the agent's answer, to convert it to entries, and to
//! act on it.

use std::process::Command;
use std::time::Instant;

use dewladder::edge::core::{Core, Input};
use dewladder::edge::discovery::listing::{entries, Answer, Names};
use dewladder_router::interface::{ListUpdateKind, Micros};
use dewladder_scale::options::{self, OptionsError};
use dewladder_scale::results::{ListChange, ListSample};
use dewladder_scale::shape;
use pico_args::Arguments;
use serde_json::{json, Value};

use crate::decisions::resident_memory;
use crate::Failure;

const SECOND: Micros = 1_000_000;
/// Duration of a server's slow start.
const SLOW_START_WINDOW: Micros = 14 * SECOND;
/// Limit of open requests.
const MAX_OPEN_REQUESTS: usize = 1_000;
/// The zone whose servers are removed and come back in a zone change.
const ZONE: u32 = 1;
/// Repetitions of each change, of which the mean processor time is recorded.
const REPETITIONS: u32 = 8;

/// The values of `--told`: what the agent sends.
const CHANGES: [(&str, ListChange); 3] =
    [("whole", ListChange::Whole), ("replaced", ListChange::Replaced), ("zone", ListChange::Zone)];

/// A server in the agent's JSON.
fn member(server: u32, phase: &str, started: u64) -> Value {
    let kind = if shape::reads(server) { "prefill" } else { "decode" };
    json!({"id": format!("s-{server:08x}"), "host_port": format!("10.{}.{}.18:8080", server / 250, server % 250),
        "locality": format!("zone{}", shape::zone(server)), "flavor": kind, "cell": server / shape::SERVERS_PER_CELL,
        "phase": phase, "size": 1.0, "up_since_ms": started})
}

/// The part of a dispatcher that handles server lists, in virtual time.
struct Dispatcher {
    core: Core,
    names: Names,
    now: Micros,
    revision: u64,
}

impl Dispatcher {
    /// A dispatcher in a deployment of 510, which has taken in the whole list.
    fn new(servers: u32) -> Self {
        let settings = shape::settings(510, 4, SLOW_START_WINDOW);
        let now = 1_000 * SECOND;
        let core = Core::new(settings, 7, now, MAX_OPEN_REQUESTS);
        let zones = (0..shape::ZONES).map(|zone| format!("zone{zone}")).collect();
        let names = Names { zones, kinds: vec!["prefill".to_owned(), "decode".to_owned()] };
        let mut dispatcher = Self { core, names, now, revision: 0 };
        dispatcher
            .take_in(&dispatcher.text(true, (0..servers).map(|server| member(server, "up", 0)).collect()));
        dispatcher
    }

    /// An answer of the agent, with the next revision.
    fn text(&self, complete: bool, members: Vec<Value>) -> String {
        json!({"revision": self.revision + 1, "complete": complete, "members": members}).to_string()
    }

    /// Takes in an answer of the agent. The processor time that it took (us).
    fn take_in(&mut self, text: &str) -> f64 {
        self.now += SECOND;
        self.revision += 1;
        let start = Instant::now();
        let answer: Answer = serde_json::from_str(text).expect("an answer");
        let listing = answer.listing().expect("a list");
        let kind = if listing.complete { ListUpdateKind::Full } else { ListUpdateKind::Patch };
        let entries = entries(&listing, &self.names).into_iter().map(|(entry, _)| entry).collect();
        self.core.step(self.now, Input::EndpointsUpdated { kind, entries });
        start.elapsed().as_secs_f64() * 1e6
    }

    /// Applies a change for the repetition number `time`. The size of the agent's answers (bytes) and the processor
    /// time (us).
    fn apply(&mut self, servers: u32, told: ListChange, time: u32) -> (u64, f64) {
        let started = self.now / 1_000 + 1;
        let zone_members = |phase: &str| -> Vec<Value> {
            let zone = (0..servers).filter(|&server| shape::zone(server) == ZONE);
            zone.map(|server| member(server, phase, started)).collect()
        };
        let texts = match told {
            ListChange::Whole => {
                vec![self.text(true, (0..servers).map(|server| member(server, "up", 0)).collect())]
            }
            ListChange::Replaced => {
                let removed = if time == 0 { 0 } else { servers + time - 1 };
                let members = vec![member(removed, "removed", 0), member(servers + time, "up", started)];
                vec![self.text(false, members)]
            }
            ListChange::Zone => {
                vec![self.text(false, zone_members("removed")), self.text(false, zone_members("up"))]
            }
        };
        let bytes = texts.iter().map(|text| text.len() as u64).sum();
        (bytes, texts.iter().map(|text| self.take_in(text)).sum())
    }
}

/// Measures a change. The memory is that of the whole dispatcher for a whole list, and the growth by the changes
/// otherwise.
fn sample(servers: u32, told: ListChange) -> ListSample {
    let before = resident_memory();
    let mut dispatcher = Dispatcher::new(servers);
    let baseline = if told == ListChange::Whole { before } else { resident_memory() };
    let (mut bytes, mut processor) = (0, 0.0);
    for time in 0..REPETITIONS {
        let (answer_bytes, answer_processor) = dispatcher.apply(servers, told, time);
        (bytes, processor) = (answer_bytes, processor + answer_processor);
    }
    let memory = resident_memory().saturating_sub(baseline);
    ListSample { servers, told, bytes, processor: processor / f64::from(REPETITIONS), memory }
}

/// The options of one sample.
fn sample_options(arguments: &mut Arguments) -> Result<(u32, ListChange), OptionsError> {
    let servers = options::number(arguments, "--servers", 100, 10..=20_000)?;
    Ok((servers, options::one_of(arguments, "--told", &CHANGES)?))
}

/// Prints one sample as JSON on standard output; [`command`] starts it in a separate process.
pub fn print_sample(mut arguments: Arguments) -> Result<(), Failure> {
    let (servers, told) = sample_options(&mut arguments)?;
    options::end(arguments)?;
    println!("{}", serde_json::to_string(&sample(servers, told))?);
    Ok(())
}

/// The part `list`: measures each change for each number of servers, and records the samples.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let servers = options::numbers(&mut arguments, "--servers", "100,400,1000,2900", 10..=20_000u32)?;
    options::end(arguments)?;
    let mut samples = Vec::new();
    for servers in servers {
        for (word, _) in CHANGES {
            let mut command = Command::new(std::env::current_exe()?);
            command.args(["one-list-sample", "--told", word, "--servers", &servers.to_string()]);
            let sample: ListSample = serde_json::from_slice(&command.output()?.stdout)?;
            println!(
                "{servers} servers, {word}: {} bytes, {:.0} us, {:.2} MB",
                sample.bytes,
                sample.processor,
                sample.memory as f64 / 1e6
            );
            samples.push(sample);
        }
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.list = Some(part))
}
