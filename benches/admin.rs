//! Latency of the admin address while clients load the dispatcher: served by a separate thread, as in the program,
//! and by a task on the dispatcher's event loop, both in the same run. Not run in CI.
//!
//! `cargo bench --bench admin`

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use dewladder::edge::admin::{self, Sources};
use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::{config, platform, until_close, Fleet, Shape};
use hdrhistogram::Histogram;
use tokio::sync::{oneshot, watch};

/// Calls to each of the two listeners.
const CALLS: usize = 400;

/// The time that a `STATS` call takes, including the connection.
fn stats_call(at: SocketAddr) -> Duration {
    let start = Instant::now();
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.write_all(b"STATS\n").expect("a line");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.ends_with("END\n"), "{answer}");
    start.elapsed()
}

fn main() {
    for (clients, flooders) in [(0, 0), (64, 0), (256, 0), (64, 64), (256, 256)] {
        measure(clients, flooders);
    }
}

/// Prints the latencies under load: `clients` tasks send requests one after the other, each on a new connection, and
/// `flooders` tasks connect, send an invalid request and connect again.
fn measure(clients: usize, flooders: usize) {
    let (addresses_sender, addresses_receiver) = mpsc::channel();
    let (end, ended) = oneshot::channel::<()>();
    let load_runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    let fleet = load_runtime.block_on(Fleet::start(Shape::default())).expect("a fleet");
    let (agent, listing) = (fleet.agent.address, fleet.listing());
    let dispatcher = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async move {
            let mut config =
                Config::parse("config", &config(agent, &listing), |_| None).expect("a configuration");
            config.admin = Some("127.0.0.1:0".parse().expect("an address"));
            let dispatcher =
                Dispatcher::bind(config, &Fronts::default()).expect("the dispatcher binds its addresses");
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let task = listener.local_addr().expect("an address");
            let (health, driver) = (dispatcher.health(), dispatcher.driver());
            tokio::spawn(admin::serve(listener, Sources { health, cluster: None, driver }));
            let thread = dispatcher.admin().expect("an admin address");
            addresses_sender
                .send((dispatcher.addresses()[0], thread, task))
                .expect("the measurement waits for the addresses");
            let (_discovery, at) = watch::channel(agent);
            let end = async {
                let _ = ended.await;
            };
            dispatcher.run(at, end).await.expect("the dispatcher shuts down without an error");
        });
    });
    let (front, thread, task) = addresses_receiver.recv().expect("the dispatcher has started");
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = Vec::new();
    for client in 0..clients {
        let stop = stop.clone();
        load.push(load_runtime.spawn(async move {
            let mut requests = 0;
            while !stop.load(Ordering::Relaxed) {
                until_close(front, &platform(&format!("{client:04x}{requests:012x}"), "ask", "0.9")).await;
                requests += 1;
            }
            requests
        }));
    }
    for _ in 0..flooders {
        let stop = stop.clone();
        load.push(load_runtime.spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                until_close(front, "JUNK\r\n\r\n").await;
            }
            0
        }));
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut latencies = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a histogram"));
    let start = Instant::now();
    for _ in 0..CALLS {
        for (latencies, at) in latencies.iter_mut().zip([thread, task]) {
            latencies.record(stats_call(at).as_micros() as u64).expect("in range");
        }
    }
    let elapsed = start.elapsed();
    stop.store(true, Ordering::Relaxed);
    let requests: usize = load.into_iter().map(|load| load_runtime.block_on(load).expect("a client")).sum();
    for (name, latencies) in ["a separate thread  ", "a task on the loop "].into_iter().zip(latencies) {
        let at = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
        println!(
            "{clients:>4} clients, {flooders:>4} flooding: {name}: p50 {:.2} ms, p99 {:.2} ms, max {:.2} ms",
            at(0.5),
            at(0.99),
            latencies.max() as f64 / 1e3
        );
    }
    println!("     {requests} requests in this time, {:.1} s", elapsed.as_secs_f64());
    let _ = end.send(());
    let _ = dispatcher.join();
}
