//! Load gossip: how often a dispatcher tells, by the price of a message, the number of dispatchers and the request rate.

use dewladder_scale::options;
use dewladder_scale::results::{Decider, GossipSample};
use pico_args::Arguments;

use crate::decisions::{Size, Workload};
use crate::Failure;

/// An update, and the headers of UDP and IPv4 (bytes).
const UPDATE: f64 = 5.0;
const HEADERS: f64 = 28.0;
/// Requests that are played.
const PLAYED: u64 = 6_000;

#[derive(Clone, Copy, Debug)]
struct Varied {
    price: f64,
    dispatchers: u32,
    requests: u64,
}

fn sample(servers: u32, varied: Varied) -> GossipSample {
    let Varied { price, dispatchers, requests } = varied;
    let size = Size {
        decider: Decider::Indexed,
        servers,
        cold_percent: 0,
        dispatchers,
        classes: 4,
        requests: PLAYED,
        warm_up: 0,
    };
    let mut workload = Workload::with(size, requests, |settings| settings.gossip_price = price);
    workload.until_arrived(PLAYED);
    let told = workload.published() as f64 / PLAYED as f64;
    let sent = told * requests as f64;
    let heard = sent * f64::from(dispatchers - 1);
    GossipSample {
        price,
        dispatchers,
        requests: requests as f64,
        updates_per_request: told,
        sent,
        heard,
        bytes_received: heard * (UPDATE + HEADERS),
        payload_received: heard * UPDATE,
    }
}

/// Takes samples, one quantity varied at a time, and records them.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let out = crate::out(&mut arguments)?;
    let servers = options::number(&mut arguments, "--servers", 2_900, 2..=20_000)?;
    let prices = options::numbers(&mut arguments, "--prices", "0.0025,0.0001,0.001,0.01", 0.0..=1.0)?;
    let dispatchers = options::numbers(&mut arguments, "--dispatchers", "510,18,60,200", 2..=100_000u32)?;
    let requests = options::numbers(&mut arguments, "--requests", "43,5,11,22", 1..=1_000u64)?;
    options::end(arguments)?;
    let target = Varied { price: prices[0], dispatchers: dispatchers[0], requests: requests[0] };
    let mut all = vec![target];
    all.extend(prices.iter().skip(1).map(|&price| Varied { price, ..target }));
    all.extend(dispatchers.iter().skip(1).map(|&dispatchers| Varied { dispatchers, ..target }));
    all.extend(requests.iter().skip(1).map(|&requests| Varied { requests, ..target }));
    let mut samples = Vec::new();
    for varied in all {
        let sample = sample(servers, varied);
        println!(
            "{varied:?}: {:.3} updates a request, {:.1} sent, {:.0} heard a second, {:.1} KB a second ({:.1} without headers)",
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
