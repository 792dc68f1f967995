//! How long a caller of the second address waits while clients flood the dispatcher: answered on a thread of its own,
//! as the program does, and by a task of the dispatcher's own loop, in the same run. Not a part of CI.
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

const CALLS: usize = 400;

fn call(at: SocketAddr) -> Duration {
    let since = Instant::now();
    let mut stream = TcpStream::connect(at).expect("a connection");
    stream.write_all(b"STATS\n").expect("a line");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.ends_with("END\n"), "{answer}");
    since.elapsed()
}

fn main() {
    for (clients, flood) in [(0, 0), (64, 0), (256, 0), (64, 64), (256, 256)] {
        measure(clients, flood);
    }
}

/// `clients` ask one request after the other, each on a new connection; `flood` connect, send junk and connect again.
fn measure(clients: usize, flood: usize) {
    let (tell, told) = mpsc::channel();
    let (end, ended) = oneshot::channel::<()>();
    let outside = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    let fleet = outside.block_on(Fleet::start(Shape::default())).expect("a fleet");
    let (agent, listing) = (fleet.agent.address, fleet.listing());
    let dispatcher = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async move {
            let mut config =
                Config::parse("config", &config(agent, &listing), |_| None).expect("a configuration");
            config.admin = Some("127.0.0.1:0".parse().expect("an address"));
            let dispatcher = Dispatcher::bind(config, &Fronts::default()).expect("it starts");
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("an address");
            let task = listener.local_addr().expect("an address");
            let (health, driver) = (dispatcher.health(), dispatcher.driver());
            tokio::spawn(admin::serve(listener, Sources { health, cluster: None, driver }));
            let thread = dispatcher.admin().expect("a second address");
            tell.send((dispatcher.addresses()[0], thread, task)).expect("told");
            let (_discovery, at) = watch::channel(agent);
            let end = async {
                let _ = ended.await;
            };
            dispatcher.run(at, end).await.expect("it ends well");
        });
    });
    let (front, thread, task) = told.recv().expect("it has started");
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = Vec::new();
    for client in 0..clients {
        let stop = stop.clone();
        load.push(outside.spawn(async move {
            let mut asked = 0;
            while !stop.load(Ordering::Relaxed) {
                until_close(front, &platform(&format!("{client:04x}{asked:012x}"), "ask", "0.9")).await;
                asked += 1;
            }
            asked
        }));
    }
    for _ in 0..flood {
        let stop = stop.clone();
        load.push(outside.spawn(async move {
            while !stop.load(Ordering::Relaxed) {
                until_close(front, "JUNK\r\n\r\n").await;
            }
            0
        }));
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut waits = [(); 2].map(|()| Histogram::<u64>::new(3).expect("a histogram"));
    let since = Instant::now();
    for _ in 0..CALLS {
        for (waits, at) in waits.iter_mut().zip([thread, task]) {
            waits.record(call(at).as_micros() as u64).expect("it fits");
        }
    }
    let took = since.elapsed();
    stop.store(true, Ordering::Relaxed);
    let asked: usize = load.into_iter().map(|load| outside.block_on(load).expect("a client")).sum();
    for (name, waits) in ["a thread of its own", "a task of the loop "].into_iter().zip(waits) {
        let at = |share| waits.value_at_quantile(share) as f64 / 1e3;
        println!(
            "{clients:>4} clients, {flood:>4} that flood: {name}: p50 {:.2} ms, p99 {:.2} ms, most {:.2} ms",
            at(0.5),
            at(0.99),
            waits.max() as f64 / 1e3
        );
    }
    println!("     {asked} requests meanwhile, {:.1} s", took.as_secs_f64());
    let _ = end.send(());
    let _ = dispatcher.join();
}
