//! The memory of the built program while clients send as much as they may, in each form: the platform kills a
//! dispatcher that exceeds `limits.memory_mb`.

mod deployment;
mod processes;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{Deployment, Process};
use dewladder_test_peers::{platform, post, until_close, Shape};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The smallest memory limit that the platform gives, with the most descriptors that it gives (MiB, descriptors).
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1_024;
/// Just under the longest body that is allowed (bytes).
const BODY_BYTES: usize = 250_000;
/// As many connections as clients may hold: a third of the descriptors.
const CONNECTIONS: usize = 341;
/// As many connections as the program accepts, but for a few.
const MANY_CONNECTIONS: usize = 480;
/// How long the clients of a flood wait for answers.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Floods of a process, one after the other: what the allocator keeps of one adds to the next.
const FLOODS: usize = 3;

/// A deployment whose program has the smallest memory limit.
async fn start(name: &str, fronts: Option<&str>) -> (Deployment, Process) {
    let site = Deployment::new(&format!("memory-{name}"), Shape::default()).await;
    let mut config = site.config();
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS});
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["give_up_s"] = json!(5.0);
    }
    site.write(&config);
    if let Some(fronts) = fronts {
        std::fs::write(site.folder.join("fronts.toml"), fronts).unwrap();
    }
    let process = site.start().await;
    process.until_ready().await;
    (site, process)
}

/// A request of the platform with a body of [`BODY_BYTES`].
fn large_request(id: usize) -> (String, String) {
    let text = platform(&format!("{id:016x}"), "ask", "5.000");
    let (head, _) = text.split_once("\r\n\r\n").unwrap();
    let lines = head.lines().filter(|line| !line.to_ascii_lowercase().starts_with("content-length"));
    let head = lines.collect::<Vec<_>>().join("\r\n");
    let content = "x".repeat(BODY_BYTES - 80);
    (head, json!({"model": "ask", "messages": [{"role": "user", "content": content}]}).to_string())
}

/// A request of the platform with a body of about this length.
fn request_of(body_bytes: usize, id: usize) -> String {
    let text = platform(&format!("{id:016x}"), "ask", "5.000");
    let (head, _) = text.split_once("Content-Length").unwrap();
    let content = "x".repeat(body_bytes);
    let body = json!({"model": "ask", "messages": [{"role": "user", "content": content}]}).to_string();
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The request with its body in chunks of this size (bytes).
fn chunked(head: &str, body: &str, chunk_bytes: usize) -> Vec<u8> {
    let mut text = format!("{head}\r\nTransfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in body.as_bytes().chunks(chunk_bytes) {
        text.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
        text.extend(chunk);
        text.extend(b"\r\n");
    }
    text.extend(b"0\r\n\r\n");
    text
}

/// Sends each text on a connection of its own, all at once, and reads what comes until the time is over.
async fn flood(at: SocketAddr, texts: Vec<Vec<u8>>) {
    let mut clients = JoinSet::new();
    for text in texts {
        clients.spawn(timeout(FLOOD_TIME, async move {
            let Ok(mut stream) = TcpStream::connect(at).await else { return };
            let (mut reading, mut writing) = stream.split();
            let write = async {
                let _ = writing.write_all(&text).await; // the program may close early
            };
            let read = async {
                let mut answer = [0; 4_096];
                while reading.read(&mut answer).await.is_ok_and(|length| length > 0) {}
            };
            tokio::join!(write, read);
        }));
    }
    while clients.join_next().await.is_some() {}
}

/// The program stays within its limit during floods.
async fn floods_stay_within_limit(name: &str, process: &Process, at: SocketAddr, texts: Vec<Vec<u8>>) {
    let mut peaks = vec![process.peak_memory_mb()];
    for _ in 0..FLOODS {
        flood(at, texts.clone()).await;
        peaks.push(process.peak_memory_mb());
    }
    println!("{name}: {peaks:?} MiB at most, before and after each flood");
    assert!(peaks[FLOODS] < MEMORY_MB, "{name}: {peaks:?} MiB of {MEMORY_MB}");
}

/// The program stays within its limit during floods, and serves a usual request after them.
async fn stays_within_limit(name: &str, texts: Vec<Vec<u8>>) {
    let (site, process) = start(name, None).await;
    floods_stay_within_limit(name, &process, site.port.address(), texts).await;
    is_served(site.port.address(), name, |at| platform(&format!("ff{at:02x}"), "ask", "5.000")).await;
}

/// A usual request is served. While requests of the flood are open it may be refused, and is sent again as clients do.
async fn is_served(address: SocketAddr, name: &str, request: impl Fn(usize) -> String) {
    for at in 0..100 {
        let answer = until_close(address, &request(at)).await;
        if answer.starts_with("HTTP/1.1 200 ") {
            return;
        }
        assert!(answer.starts_with("HTTP/1.1 503 "), "{name}: {answer}");
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{name}: a usual request is never served");
}

/// Bodies in chunks of one byte took some 37 bytes of memory for each of their bytes: 4 MB of bodies took 148 MB.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_any_size_stay_within_the_memory_limit() {
    for chunk_bytes in [1, 2, 13, 1_000] {
        let request = |id| {
            let (head, body) = large_request(id);
            chunked(&head, &body, chunk_bytes)
        };
        stays_within_limit(&format!("chunks-{chunk_bytes}"), (1..=24).map(request).collect()).await;
    }
}

/// The number of connections followed from the descriptors alone: whole bodies on all of them exceeded the limit.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_on_all_connections_stay_within_the_memory_limit() {
    let request = |id| {
        let (head, body) = large_request(id);
        format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    };
    stays_within_limit("bodies", (1..=CONNECTIONS).map(request).collect()).await;
}

/// Connections that all stop just before the end of their request, whose body they have sent but for a byte.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_never_end_stay_within_the_memory_limit() {
    let request = |id| {
        let (head, body) = large_request(id);
        format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len() + 1).into_bytes()
    };
    stays_within_limit("unfinished", (1..=CONNECTIONS).map(request).collect()).await;
}

/// Connections that all stop within the longest head that is read.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_never_end_stay_within_the_memory_limit() {
    let head = format!("POST / HTTP/1.1\r\nHost: h\r\n{}", "X-Filler: a\r\n".repeat(95));
    let request = |_| format!("{head}X-Long: {}", "a".repeat((16 << 10) - head.len() - 100)).into_bytes();
    stays_within_limit("heads", (1..=CONNECTIONS).map(request).collect()).await;
}

/// Requests that are sent behind an open one are kept until it has been answered.
#[tokio::test(flavor = "multi_thread")]
async fn requests_behind_open_ones_stay_within_the_memory_limit() {
    let request = |id| {
        let (head, body) = large_request(id);
        let large = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let first = platform(&format!("{:016x}", id + 1_000), "ask", "5.000");
        (first + &large.repeat(3)).into_bytes()
    };
    stays_within_limit("pipelined", (1..=CONNECTIONS).map(request).collect()).await;
}

/// On each connection, sends the same requests again and again behind each other, for the time of a flood. A client that
/// does not read leaves all answers unread.
async fn pipeline(at: SocketAddr, texts: Vec<Vec<u8>>, reads: bool) {
    let mut clients = JoinSet::new();
    for text in texts {
        clients.spawn(timeout(FLOOD_TIME, async move {
            let Ok(mut stream) = TcpStream::connect(at).await else { return };
            let (mut reading, mut writing) = stream.split();
            let write = async { while writing.write_all(&text).await.is_ok() {} };
            let read = async {
                let mut answer = [0; 4_096];
                while reads && reading.read(&mut answer).await.is_ok_and(|length| length > 0) {}
            };
            tokio::join!(write, read);
        }));
    }
    while clients.join_next().await.is_some() {}
}

/// A request with further header fields.
fn with_fields(request: &str, fields: usize) -> String {
    let request = request.replace("Connection: close\r\n", "");
    request.replacen("\r\n", &format!("\r\n{}", "A: b\r\n".repeat(fields)), 1)
}

/// Almost as many clients as the program accepts send small requests behind each other at full speed, some with many short
/// header fields, to either front: 480 of them took the program over its limit.
#[tokio::test(flavor = "multi_thread")]
async fn many_clients_that_pipeline_stay_within_the_memory_limit() {
    let chat_port = processes::Port::new();
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"{}\"\nmost_open = 1000\n[chat.models]\nkiln-ask = \"ask\"\n",
        chat_port.address()
    );
    let chat = json!({"model": "kiln-ask", "messages": [{"role": "user", "content": "a".repeat(3_000)}]})
        .to_string();
    for (name, on_chat, body_bytes, fields, reads) in [
        ("usual", false, 9_000, 0, false),
        ("fields", false, 3_000, 80, false),
        ("read-fields", false, 100, 80, true),
        ("chat-fields", true, 0, 80, false),
    ] {
        let (site, process) = start(&format!("pipelining-{name}"), Some(&fronts)).await;
        let address = if on_chat { chat_port.address() } else { site.port.address() };
        let request = |id| if on_chat { post(&chat, "") } else { request_of(body_bytes, id) };
        let texts: Vec<Vec<u8>> = (0..MANY_CONNECTIONS)
            .map(|client| {
                (1..=6).map(|at| with_fields(&request(client * 6 + at), fields)).collect::<String>()
            })
            .map(String::into_bytes)
            .collect();
        for _ in 0..2 {
            pipeline(address, texts.clone(), reads).await;
        }
        let peak = process.peak_memory_mb();
        println!("pipelining-{name}: {peak} MiB at most");
        assert!(peak < MEMORY_MB, "{name}: {peak} MiB of {MEMORY_MB}");
    }
}

/// The chat front parsed bodies before any limit applied: 48 bodies of 255 KB in short parts came to 285 MB.
#[tokio::test(flavor = "multi_thread")]
async fn chat_bodies_of_many_parts_stay_within_the_memory_limit() {
    let chat_port = processes::Port::new();
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"{}\"\nmost_open = 1000\n[chat.models]\nkiln-ask = \"ask\"\n",
        chat_port.address()
    );
    for (name, content) in [
        ("parts", vec![json!({"type": "text", "text": "a"}); 7_000]),
        ("texts", vec![json!({"type": "text", "text": "a".repeat(120_000)}); 2]),
    ] {
        let (_site, process) = start(name, Some(&fronts)).await;
        let body =
            json!({"model": "kiln-ask", "messages": [{"role": "user", "content": content}]}).to_string();
        let text = post(&body, "");
        let texts = vec![text.into_bytes(); 48];
        floods_stay_within_limit(&format!("chat-{name}"), &process, chat_port.address(), texts).await;
        let usual = json!({"model": "kiln-ask", "messages": [{"role": "user", "content": "a"}]}).to_string();
        is_served(chat_port.address(), name, |_| post(&usual, "")).await;
    }
}
