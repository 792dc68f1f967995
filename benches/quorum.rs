//! Latency that replication adds to an at-most-once request. With replicas, two of three instances must hold the
//! record of a request before it is sent to a server. Measures the time to the first byte of the answer at the chat
//! front, with and without replicas, alternating within one run.
//!
//! `cargo bench --bench quorum [-- REQUESTS]`: by default 2,000 requests each, one at a time, on loopback.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::{config, Fleet, Shape};
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};

/// The names of the instances with replicas.
const INSTANCES: [&str; 3] = ["a", "b", "c"];

/// Starts an instance, with further tables of the fronts file in `cluster`. The address of its chat front.
async fn start(fleet: &Fleet, name: &str, cluster: &str) -> SocketAddr {
    let text = config(fleet.agent.address, &fleet.listing());
    let mut config = Config::parse("config", &text, |_| None).expect("a configuration");
    config.name = name.to_owned();
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"127.0.0.1:0\"\n[chat.models]\nonce = \"book\"\n\
         [chat.repeats]\nenabled = true\nafter_start_s = 0.0\nmost_entries = 100000\n{cluster}"
    );
    let fronts = Fronts::parse("fronts", &fronts).expect("fronts");
    let dispatcher = Dispatcher::bind(config, &fronts).expect("the dispatcher binds its addresses");
    let chat = dispatcher.addresses()[1];
    let (discovery, at) = watch::channel(fleet.agent.address);
    let (end, ended) = oneshot::channel::<()>();
    std::mem::forget((discovery, end)); // the dispatcher runs until this process ends
    tokio::spawn(dispatcher.run(at, async {
        let _ = ended.await;
    }));
    chat
}

/// Sends a request with this idempotency key. The time to the first byte of the answer, and the status, 0 if there
/// is none.
async fn send_request(to: SocketAddr, key: &str) -> (Duration, u16) {
    let body = json!({"model": "once", "messages": [{"role": "user", "content": key}]}).to_string();
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(to).await.expect("the front accepts");
    let start = Instant::now();
    stream.write_all(text.as_bytes()).await.expect("the front reads the request");
    let mut read = vec![0; 4_096];
    let length = stream.read(&mut read).await.expect("the front answers");
    let latency = start.elapsed();
    let status =
        String::from_utf8_lossy(&read[..length]).split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    (latency, status.unwrap_or(0))
}

#[tokio::main]
async fn main() {
    let requests = std::env::args().skip(1).find_map(|word| word.parse().ok()).unwrap_or(2_000);
    let shape =
        Shape { read: Duration::from_millis(1), events: 1, pause: Duration::ZERO, ..Shape::default() };
    let fleet = Fleet::start(shape).await.expect("a fleet");
    // Free ports: another process could take one before the instances bind them.
    let ports: Vec<SocketAddr> = INSTANCES
        .iter()
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()))
        .collect::<Result<_, _>>()
        .expect("ports");
    let mut replicated = None;
    for (at, name) in INSTANCES.iter().enumerate() {
        let cluster = format!(
            "[cluster]\nenabled = true\nlisten = \"{}\"\nkey = \"00112233445566778899aabbccddeeff\"\nseeds = [\"{}\"]\n\
             [cluster.replica]\nenabled = true\nmembers = [\"a\", \"b\", \"c\"]\nsettle_s = 0.5\n",
            ports[at],
            ports[(at + 1) % 3]
        );
        let chat = start(&fleet, name, &cluster).await;
        replicated.get_or_insert(chat);
    }
    let unreplicated = start(&fleet, "alone", "").await;
    let replicated = replicated.expect("three instances were started");
    let start = Instant::now();
    while send_request(replicated, &format!("warm-{}", start.elapsed().as_nanos())).await.1 != 200 {
        assert!(start.elapsed() < Duration::from_secs(30), "the replicas did not catch up");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut latency = [(); 2].map(|()| Histogram::<u64>::new(3).expect("three digits"));
    let mut not_served = 0;
    for at in 0..requests {
        for (histogram, to) in latency.iter_mut().zip([unreplicated, replicated]) {
            let (time, status) = send_request(to, &format!("k{at}")).await;
            not_served += usize::from(status != 200);
            histogram.record(time.as_micros() as u64).expect("in range");
        }
    }
    println!("{requests} requests each, one at a time; time to the first byte (us); {not_served} not served");
    println!("{:10} {:>8} {:>8} {:>8}", "replicas", "p50", "p99", "max");
    for (name, histogram) in ["off", "on"].iter().zip(&latency) {
        let at = |quantile| histogram.value_at_quantile(quantile);
        println!("{name:10} {:>8} {:>8} {:>8}", at(0.5), at(0.99), histogram.max());
    }
}
