//! Needs of a dispatcher's data path, the relaying of streams.

use super::samples::Line;
use super::{Activation, Evidence, Need, Unit, DATA_PATH};
use crate::results::{DataPathSample, Results};
use crate::target;

/// Descriptors that the configuration reserves for each open request.
const DESCRIPTORS_PER_STREAM: f64 = 3.0;
/// Lowest descriptor limit that a dispatcher has been given so far; serves as the budget.
const MIN_DESCRIPTOR_LIMIT: f64 = 1_024.0;

/// Needs of the data path, each from a line that is fitted through the samples.
pub(super) fn needs(results: &Results) -> Vec<Need> {
    let Some(part) = &results.data_path else { return Vec::new() };
    let samples = &part.samples;
    [processor(samples), memory(samples), descriptors(samples)].into_iter().flatten().collect()
}

/// The line through `x` and `y` of all samples, see [`Line::fit`].
fn fit(
    samples: &[DataPathSample],
    x: impl Fn(&DataPathSample) -> f64,
    y: impl Fn(&DataPathSample) -> f64,
) -> Option<Line> {
    let points: Vec<(f64, f64)> = samples.iter().map(|sample| (x(sample), y(sample))).collect();
    Line::fit(&points)
}

fn processor(samples: &[DataPathSample]) -> Option<Need> {
    let line = fit(samples, |sample| sample.events, |sample| sample.processor)?;
    let events = target::events_per_dispatcher();
    Some(Need {
        role: DATA_PATH,
        name: "processor, relay and requests",
        amount: line.value_at(events),
        budget: Some(1.0),
        unit: Unit::Core,
        evidence: Evidence::Extrapolated,
        arithmetic: format!(
            "{:.2}% of a core at {:.0} requests a second + {:.1} us an event x {events:.0} events a second; budget: one core, as there is one thread",
            line.intercept * 100.0,
            samples[0].requests,
            line.slope * 1e6
        ),
        mechanism: "one event loop on one thread: `src/edge/servers.rs` (`Relay`), hyper",
        activation: Activation::On,
    })
}

fn memory(samples: &[DataPathSample]) -> Option<Need> {
    let line = fit(samples, |sample| sample.streams, |sample| sample.memory as f64)?;
    Some(Need {
        role: DATA_PATH,
        name: "memory, open streams",
        amount: line.value_at(target::STREAMS_PER_DISPATCHER),
        budget: None,
        unit: Unit::Bytes,
        evidence: Evidence::Extrapolated,
        arithmetic: format!(
            "{:.1} MB + {:.1} KB a stream x {:.0}",
            line.intercept / 1e6,
            line.slope / 1e3,
            target::STREAMS_PER_DISPATCHER
        ),
        mechanism: "bounded buffers: `src/edge/clients/listener.rs`",
        activation: Activation::On,
    })
}

fn descriptors(samples: &[DataPathSample]) -> Option<Need> {
    let line = fit(samples, |sample| sample.streams, |sample| sample.descriptors as f64)?;
    Some(Need {
        role: DATA_PATH,
        name: "descriptors, so that all streams find room",
        amount: line
            .value_at(target::STREAMS_PER_DISPATCHER)
            .max(DESCRIPTORS_PER_STREAM * target::STREAMS_PER_DISPATCHER),
        budget: Some(MIN_DESCRIPTOR_LIMIT),
        unit: Unit::Descriptors,
        evidence: Evidence::Computed,
        arithmetic: format!(
            "{:.0} + {:.1} a stream x {:.0}, three for each open request as `Config::max_open_requests` reserves; 1,024 is the least that limits have given so far",
            line.intercept,
            line.slope,
            target::STREAMS_PER_DISPATCHER
        ),
        mechanism: "a third of the descriptors for open requests: `src/edge/settings.rs`",
        activation: Activation::On,
    })
}
