//! Traffic of the load gossip: how many load updates a dispatcher sends and receives, depending on the price of an
//! update, the number of dispatchers and the request rate.

use dewladder_scale::options;
use dewladder_scale::results::{Decider, GossipSample};
use pico_args::Arguments;

use crate::decisions::{Size, Workload};
use crate::Failure;

/// Size of a load update (bytes).
const UPDATE_BYTES: f64 = 5.0;
/// Size of the UDP and IPv4 headers (bytes).
const HEADER_BYTES: f64 = 28.0;
/// Requests that are simulated for each sample.
const SIMULATED_REQUESTS: u64 = 6_000;

/// The quantities that are varied.
#[derive(Clone, Copy, Debug)]
struct Parameters {
    /// Price of an update, `prices.peer` in the settings.
    price: f64,
    dispatchers: u32,
    /// Requests a second to each dispatcher.
    requests: u64,
}

/// Runs one workload and derives the traffic a second from its updates per request.
fn sample(servers: u32, parameters: Parameters) -> GossipSample {
    let Parameters { price, dispatchers, requests } = parameters;
    let size = Size {
        decider: Decider::Indexed,
        servers,
        slow_start_percent: 0,
        dispatchers,
        classes: 4,
        requests: SIMULATED_REQUESTS,
        warm_up: 0,
    };
    let mut workload = Workload::with(size, requests, |settings| settings.gossip_price = price);
    workload.run_until_arrived(SIMULATED_REQUESTS);
    let per_request = workload.published() as f64 / SIMULATED_REQUESTS as f64;
    let sent = per_request * requests as f64;
    let heard = sent * f64::from(dispatchers - 1);
    GossipSample {
        price,
        dispatchers,
        requests: requests as f64,
        updates_per_request: per_request,
        sent,
        heard,
        bytes_received: heard * (UPDATE_BYTES + HEADER_BYTES),
        payload_received: heard * UPDATE_BYTES,
    }
}

/// The part `gossip`: the first value of each option is the target. Measures the target, then each further value
/// with the other quantities at the target, and records the samples.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let servers = options::number(&mut arguments, "--servers", 2_900, 2..=20_000)?;
    let prices = options::numbers(&mut arguments, "--prices", "0.0025,0.0001,0.001,0.01", 0.0..=1.0)?;
    let dispatchers = options::numbers(&mut arguments, "--dispatchers", "510,18,60,200", 2..=100_000u32)?;
    let requests = options::numbers(&mut arguments, "--requests", "43,5,11,22", 1..=1_000u64)?;
    options::end(arguments)?;
    let target = Parameters { price: prices[0], dispatchers: dispatchers[0], requests: requests[0] };
    let mut all = vec![target];
    all.extend(prices.iter().skip(1).map(|&price| Parameters { price, ..target }));
    all.extend(dispatchers.iter().skip(1).map(|&dispatchers| Parameters { dispatchers, ..target }));
    all.extend(requests.iter().skip(1).map(|&requests| Parameters { requests, ..target }));
    let mut samples = Vec::new();
    for parameters in all {
        let sample = sample(servers, parameters);
        println!(
            "{parameters:?}: {:.3} updates a request, {:.1} sent, {:.0} received a second, {:.1} KB a second ({:.1} without headers)",
            sample.updates_per_request,
            sample.sent,
            sample.heard,
            sample.bytes_received / 1e3,
            sample.payload_received / 1e3
        );
        samples.push(sample);
    }
    let part = crate::part(samples)?;
    crate::record(&out, |results| results.gossip = Some(part))
}
