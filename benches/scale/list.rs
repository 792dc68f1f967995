//! The list of servers as one dispatcher takes it: read from the agent's text, made into entries, and acted on.

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

use crate::decisions::resident;
use crate::Failure;

const SECOND: Micros = 1_000_000;
const COLD_FOR: Micros = 14 * SECOND;
const MOST_OPEN: usize = 1_000;
/// The zone that goes and comes.
const ZONE: u32 = 1;
/// Each is told so often, and the mean taken.
const TIMES: u32 = 8;

const TOLD: [(&str, ListChange); 3] =
    [("whole", ListChange::Whole), ("replaced", ListChange::Replaced), ("zone", ListChange::Zone)];

fn member(server: u32, phase: &str, started: u64) -> Value {
    let kind = if shape::reads(server) { "prefill" } else { "decode" };
    json!({"id": format!("s-{server:08x}"), "host_port": format!("10.{}.{}.18:8080", server / 250, server % 250),
        "locality": format!("zone{}", shape::zone(server)), "flavor": kind, "cell": server / shape::SERVERS_PER_CELL,
        "phase": phase, "size": 1.0, "up_since_ms": started})
}

struct Dispatcher {
    core: Core,
    names: Names,
    now: Micros,
    revision: u64,
}

impl Dispatcher {
    fn new(servers: u32) -> Self {
        let settings = shape::settings(510, 4, COLD_FOR);
        let now = 1_000 * SECOND;
        let core = Core::new(settings, 7, now, MOST_OPEN);
        let zones = (0..shape::ZONES).map(|zone| format!("zone{zone}")).collect();
        let names = Names { zones, kinds: vec!["prefill".to_owned(), "decode".to_owned()] };
        let mut dispatcher = Self { core, names, now, revision: 0 };
        dispatcher
            .takes(&dispatcher.text(true, (0..servers).map(|server| member(server, "up", 0)).collect()));
        dispatcher
    }

    fn text(&self, complete: bool, members: Vec<Value>) -> String {
        json!({"revision": self.revision + 1, "complete": complete, "members": members}).to_string()
    }

    /// Takes an answer of the agent; processor time that it took (us).
    fn takes(&mut self, text: &str) -> f64 {
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

    /// Tells it what there is to tell; bytes, and processor time (us).
    fn tell(&mut self, servers: u32, told: ListChange, time: u32) -> (u64, f64) {
        let started = self.now / 1_000 + 1;
        let of_zone = |phase: &str| -> Vec<Value> {
            let zone = (0..servers).filter(|&server| shape::zone(server) == ZONE);
            zone.map(|server| member(server, phase, started)).collect()
        };
        let texts = match told {
            ListChange::Whole => {
                vec![self.text(true, (0..servers).map(|server| member(server, "up", 0)).collect())]
            }
            ListChange::Replaced => {
                let gone = if time == 0 { 0 } else { servers + time - 1 };
                let members = vec![member(gone, "removed", 0), member(servers + time, "up", started)];
                vec![self.text(false, members)]
            }
            ListChange::Zone => {
                vec![self.text(false, of_zone("removed")), self.text(false, of_zone("up"))]
            }
        };
        let bytes = texts.iter().map(|text| text.len() as u64).sum();
        (bytes, texts.iter().map(|text| self.takes(text)).sum())
    }
}

fn sample(servers: u32, told: ListChange) -> ListSample {
    let before = resident();
    let mut dispatcher = Dispatcher::new(servers);
    let held = if told == ListChange::Whole { before } else { resident() };
    let (mut bytes, mut processor) = (0, 0.0);
    for time in 0..TIMES {
        let (more, took) = dispatcher.tell(servers, told, time);
        (bytes, processor) = (more, processor + took);
    }
    let memory = resident().saturating_sub(held);
    ListSample { servers, told, bytes, processor: processor / f64::from(TIMES), memory }
}

fn size(arguments: &mut Arguments) -> Result<(u32, ListChange), OptionsError> {
    let servers = options::number(arguments, "--servers", 100, 10..=20_000)?;
    Ok((servers, options::one_of(arguments, "--told", &TOLD)?))
}

/// One sample, as JSON on standard output.
pub fn one(mut arguments: Arguments) -> Result<(), Failure> {
    let (servers, told) = size(&mut arguments)?;
    options::end(arguments)?;
    println!("{}", serde_json::to_string(&sample(servers, told))?);
    Ok(())
}

/// Takes samples and records them.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let servers = options::numbers(&mut arguments, "--servers", "100,400,1000,2900", 10..=20_000u32)?;
    options::end(arguments)?;
    let mut samples = Vec::new();
    for servers in servers {
        for (word, _) in TOLD {
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
