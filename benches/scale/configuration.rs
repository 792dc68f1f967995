//! A configuration of the target's size: read, checked, and taken over by the decisions while they serve.

use std::time::Instant;

use dewladder::edge::core::{Core, Input};
use dewladder::edge::settings::Config;
use dewladder_scale::options;
use dewladder_scale::results::ConfigurationSample;
use dewladder_scale::run::configuration_text;
use pico_args::Arguments;

use crate::Failure;

/// Each is read so often, and the mean taken.
const TIMES: u32 = 10;
const NOW: u64 = 1_000_000_000;

fn mean_us(mut what: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..TIMES).for_each(|_| what());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(TIMES)
}

fn sample(servers: u32, classes: u32) -> Result<ConfigurationSample, Failure> {
    let text = configuration_text(servers, 510, classes);
    let config = Config::parse("configuration", &text, |_| None)?;
    let read = mean_us(|| drop(Config::parse("configuration", &text, |_| None)));
    let mut core = Core::new(config.settings.clone(), 7, NOW, config.max_open_requests());
    let (mut now, mut turn) = (NOW, 0);
    let taken_over = mean_us(|| {
        (now, turn) = (now + 1_000_000, turn + 1);
        let mut settings = config.settings.clone();
        // Every class differs: each goes on under a new number.
        settings.classes.values_mut().for_each(|class| class.latency_objective += turn);
        core.step(now, Input::SettingsReloaded(Box::new(settings)));
    });
    Ok(ConfigurationSample { servers, classes, bytes: text.len() as u64, read, taken_over })
}

/// Takes samples and records them.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let servers = options::numbers(&mut arguments, "--servers", "100,400,1000,2900", 10..=20_000u32)?;
    let classes = options::numbers(&mut arguments, "--classes", "4,21", 1..=1_000u32)?;
    options::end(arguments)?;
    let mut samples = Vec::new();
    for &servers in &servers {
        for &classes in &classes {
            let sample = sample(servers, classes)?;
            println!(
                "{servers} servers, {classes} classes: {} bytes, read in {:.0} us, taken over in {:.0} us",
                sample.bytes, sample.read, sample.taken_over
            );
            samples.push(sample);
        }
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.configuration = Some(part))
}
