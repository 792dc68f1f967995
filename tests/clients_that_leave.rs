//! Clients that close their connections with much still unread, and ids that come again after their clients have left, to
//! one process and to both processes of an upgrade, on either front, with little memory.

mod deployment;
mod processes;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use deployment::{Deployment, Process};
use dewladder_test_peers::{platform, post, until_close, Shape};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The smallest memory limit that the platform gives (MiB).
const MEMORY_MB: u64 = 32;
/// Requests that a client sends behind each other; the program has read a part of them when it leaves.
const PIPELINED: usize = 400;
/// An attempt may begin for 0.1 s after its client's close, and takes as long again to be seen here.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Time in which a request that is sent on wrongly would reach a server.
const WATCH_TIME: Duration = Duration::from_millis(1_000);

/// A fleet whose streams take 0.6 s, one or both processes of a dispatcher, and its chat front's address.
async fn start(name: &str, processes: usize) -> (Deployment, Vec<Process>, processes::Port) {
    let shape = Shape { events: 20, pause: Duration::from_millis(30), ..Shape::default() };
    let site = Deployment::new(&format!("leaving-{name}"), shape).await;
    let mut config = site.config();
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256});
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["give_up_s"] = json!(5.0);
    }
    site.write(&config);
    let chat_port = processes::Port::new();
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"{}\"\nmost_open = 1000\n[chat.models]\nkiln-book = \"book\"\n",
        chat_port.address()
    );
    std::fs::write(site.folder.join("fronts.toml"), fronts).unwrap();
    let mut running = Vec::new();
    for _ in 0..processes {
        let process = site.start().await;
        process.until_ready().await;
        running.push(process);
    }
    (site, running, chat_port)
}

fn platform_request(id: usize) -> String {
    let text = platform(&format!("{id:016x}"), "book", "5.000").replace("Connection: close\r\n", "");
    let body = format!("{{\"stream\":true,\"pad\":\"{}\"}}", "x".repeat(3_000));
    let (head, _) = text.split_once("Content-Length").unwrap();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn chat_request(id: usize) -> String {
    let content = format!("question {id} {}", "x".repeat(3_000));
    let body =
        json!({"model": "kiln-book", "stream": true, "messages": [{"role": "user", "content": content}]});
    post(&body.to_string(), "").replace("Connection: close\r\n", "")
}

/// Sends all requests on one connection, waits for the first event and closes with the rest unread, both of the answers
/// and of the requests.
async fn leave_with_much_unread(address: SocketAddr, request: fn(usize) -> String, first_id: usize) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let text: String = (first_id..first_id + PIPELINED).map(request).collect();
    let (mut reading, mut writing) = stream.split();
    let mut read = Vec::new();
    let first_event = async {
        while !String::from_utf8_lossy(&read).contains("data: ") {
            let length = reading.read_buf(&mut read).await.unwrap();
            assert!(length > 0, "closed before the first event: {:?}", String::from_utf8_lossy(&read));
        }
    };
    tokio::select! {
        () = first_event => {}
        _ = async { let _ = writing.write_all(text.as_bytes()).await; std::future::pending::<()>().await } => {}
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_sent_on_for_clients_that_left_with_much_unread() {
    for processes in [1, 2] {
        let (site, _running, chat_port) = start(&format!("unread-{processes}"), processes).await;
        for (front, address, request) in [
            ("platform", site.port.address(), platform_request as fn(usize) -> String),
            ("chat", chat_port.address(), chat_request),
        ] {
            let mut clients = JoinSet::new();
            for client in 0..6 {
                clients.spawn(leave_with_much_unread(address, request, 1_000 * (client + 1)));
            }
            clients.join_all().await;
            sleep(SETTLE_TIME).await;
            let received = site.fleet.received();
            sleep(WATCH_TIME).await;
            assert!(received > 0, "{front}, {processes} processes: nothing was sent");
            assert_eq!(
                site.fleet.received(),
                received,
                "{front}, {processes} processes: sent on after the close"
            );
        }
    }
}

/// A booking's client leaves at some time of the request, and its id comes again at once, many times, to either process.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_comes_again_after_its_client_has_left_runs_once_at_most() {
    for processes in [1, 2] {
        let (site, _running, _chat_port) = start(&format!("again-{processes}"), processes).await;
        let address = site.port.address();
        let mut clients = JoinSet::new();
        for id in 1..=40u64 {
            clients.spawn(async move {
                let text = platform(&format!("{id:016x}"), "book", "5.000");
                let leaves_after = Duration::from_millis(2 + id * 3);
                let _ = timeout(leaves_after, until_close(address, &text)).await;
                for _ in 0..8 {
                    let _ = timeout(Duration::from_millis(20), until_close(address, &text)).await;
                }
            });
        }
        clients.join_all().await;
        sleep(SETTLE_TIME).await;
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for request in site.fleet.started() {
            *runs.entry(request.id).or_default() += 1;
        }
        runs.retain(|_, runs| *runs > 1);
        assert!(runs.is_empty(), "{processes} processes: ran more than once: {runs:?}");
    }
}
