//! Cost of a large configuration: to parse and check it, and to apply it to a dispatcher's running decisions.

use std::time::Instant;

use dewladder::edge::core::{Core, Input};
use dewladder::edge::settings::Config;
use dewladder_scale::options;
use dewladder_scale::results::ConfigurationSample;
use dewladder_scale::run::configuration_text;
use pico_args::Arguments;

use crate::Failure;

/// Repetitions of each measurement, of which the mean is recorded.
const REPETITIONS: u32 = 10;
/// Virtual time at the start (us).
const START_TIME: u64 = 1_000_000_000;

/// Mean duration of an operation (us).
fn mean_us(mut operation: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..REPETITIONS).for_each(|_| operation());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REPETITIONS)
}

/// Measures a configuration with this many servers and classes, in a deployment of 510 dispatchers.
fn sample(servers: u32, classes: u32) -> Result<ConfigurationSample, Failure> {
    let text = configuration_text(servers, 510, classes);
    let config = Config::parse("configuration", &text, |_| None)?;
    let read = mean_us(|| drop(Config::parse("configuration", &text, |_| None)));
    let mut core = Core::new(config.settings.clone(), 7, START_TIME, config.max_open_requests());
    let (mut now, mut repetition) = (START_TIME, 0);
    let taken_over = mean_us(|| {
        (now, repetition) = (now + 1_000_000, repetition + 1);
        let mut settings = config.settings.clone();
        // A different objective in each class makes all classes change.
        settings.classes.values_mut().for_each(|class| class.latency_objective += repetition);
        core.step(now, Input::SettingsReloaded(Box::new(settings)));
    });
    Ok(ConfigurationSample { servers, classes, bytes: text.len() as u64, read, taken_over })
}

/// The part `configuration`: measures each number of servers with each number of classes, and records the samples.
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
                "{servers} servers, {classes} classes: {} bytes, parsed in {:.0} us, applied in {:.0} us",
                sample.bytes, sample.read, sample.taken_over
            );
            samples.push(sample);
        }
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.configuration = Some(part))
}
