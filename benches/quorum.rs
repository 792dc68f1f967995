//! What it costs a request that must not run twice to have its record held by two of three instances before it is
//! sent: time to the first byte of its answer at the chat front, with the replicas on and off, turn about in one run.
//!
//! `cargo bench --bench quorum [-- requests]`; by default 2,000 each, one at a time, on loopback.

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

const ALL: [&str; 3] = ["a", "b", "c"];

/// Starts an instance; where its chat front is.
async fn start(fleet: &Fleet, name: &str, cluster: &str) -> SocketAddr {
    let text = config(fleet.agent.address, &fleet.listing());
    let mut config = Config::parse("config", &text, |_| None).expect("a configuration");
    config.name = name.to_owned();
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"127.0.0.1:0\"\n[chat.models]\nonce = \"book\"\n\
         [chat.repeats]\nenabled = true\nafter_start_s = 0.0\nmost_entries = 100000\n{cluster}"
    );
    let fronts = Fronts::parse("fronts", &fronts).expect("fronts");
    let dispatcher = Dispatcher::bind(config, &fronts).expect("it binds");
    let chat = dispatcher.addresses()[1];
    let (discovery, at) = watch::channel(fleet.agent.address);
    let (end, ended) = oneshot::channel::<()>();
    std::mem::forget((discovery, end)); // it runs as long as this program
    tokio::spawn(dispatcher.run(at, async {
        let _ = ended.await;
    }));
    chat
}

/// Time to the first byte, and the status.
async fn ask(to: SocketAddr, key: &str) -> (Duration, u16) {
    let body = json!({"model": "once", "messages": [{"role": "user", "content": key}]}).to_string();
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nIdempotency-Key: {key}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    let began = Instant::now();
    stream.write_all(text.as_bytes()).await.expect("it reads");
    let mut read = vec![0; 4_096];
    let length = stream.read(&mut read).await.expect("it answers");
    let took = began.elapsed();
    let status =
        String::from_utf8_lossy(&read[..length]).split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    (took, status.unwrap_or(0))
}

#[tokio::main]
async fn main() {
    let requests = std::env::args().skip(1).find_map(|word| word.parse().ok()).unwrap_or(2_000);
    let shape =
        Shape { read: Duration::from_millis(1), events: 1, pause: Duration::ZERO, ..Shape::default() };
    let fleet = Fleet::start(shape).await.expect("a fleet");
    // Ports that were free a moment ago.
    let ports: Vec<SocketAddr> = ALL
        .iter()
        .map(|_| std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()))
        .collect::<Result<_, _>>()
        .expect("ports");
    let mut on = None;
    for (at, name) in ALL.iter().enumerate() {
        let cluster = format!(
            "[cluster]\nenabled = true\nlisten = \"{}\"\nkey = \"00112233445566778899aabbccddeeff\"\nseeds = [\"{}\"]\n\
             [cluster.replica]\nenabled = true\nmembers = [\"a\", \"b\", \"c\"]\nsettle_s = 0.5\n",
            ports[at],
            ports[(at + 1) % 3]
        );
        let chat = start(&fleet, name, &cluster).await;
        on.get_or_insert(chat);
    }
    let off = start(&fleet, "alone", "").await;
    let on = on.expect("three were started");
    let began = Instant::now();
    while ask(on, &format!("warm-{}", began.elapsed().as_nanos())).await.1 != 200 {
        assert!(began.elapsed() < Duration::from_secs(30), "never caught up");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut took = [(); 2].map(|()| Histogram::<u64>::new(3).expect("three digits"));
    let mut other = 0;
    for at in 0..requests {
        for (histogram, to) in took.iter_mut().zip([off, on]) {
            let (time, status) = ask(to, &format!("k{at}")).await;
            other += usize::from(status != 200);
            histogram.record(time.as_micros() as u64).expect("in range");
        }
    }
    println!("{requests} requests each, one at a time; time to the first byte (us); {other} not served");
    println!("{:10} {:>8} {:>8} {:>8}", "replicas", "p50", "p99", "most");
    for (name, histogram) in ["off", "on"].iter().zip(&took) {
        let at = |quantile| histogram.value_at_quantile(quantile);
        println!("{name:10} {:>8} {:>8} {:>8}", at(0.5), at(0.99), histogram.max());
    }
}
