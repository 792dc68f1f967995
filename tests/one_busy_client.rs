//! One client sends small or unsound requests on one connection at full speed, under ever new names. Others still get their
//! answers within their time, and the program stays within its memory limit.

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
use tokio::time::{sleep, timeout, Instant};

/// The smallest memory limit that the platform gives (MiB).
const MEMORY_MB: u64 = 32;
/// How long the busy client goes on.
const BUSY_TIME: Duration = Duration::from_millis(1_500);
/// Time between two requests of the others.
const INTERVAL: Duration = Duration::from_millis(50);
/// The time that the others wait (s).
const DEADLINE: &str = "4.000";

/// What the busy client sends, by the number of the request.
type Request = fn(usize) -> String;

fn cases() -> Vec<(&'static str, bool, Request)> {
    fn small(id: usize) -> String {
        platform(&format!("{:016x}", 0xb000_0000 + id), "ask", "2.000").replace("Connection: close\r\n", "")
    }
    fn unknown_class(id: usize) -> String {
        small(id).replace("X-Lane: ask", &format!("X-Lane: class-{id}"))
    }
    fn new_names(id: usize) -> String {
        small(id)
            .replace("X-Org: acme", &format!("X-Org: tenant-{id}"))
            .replace("X-Entity: e", &format!("X-Entity: session-{id}"))
            .replace("prompt_len=100", &format!("prefix=name-{id},prompt_len=100,prefix_len=50"))
    }
    fn no_json(id: usize) -> String {
        small(id).replace("{\"stream\":true}", "{\"stream\":tru??")
    }
    fn unknown_path(id: usize) -> String {
        format!("GET /unknown/{id} HTTP/1.1\r\nHost: h\r\n\r\n")
    }
    fn chat(id: usize) -> String {
        let body = json!({"model": "kiln-ask", "user": format!("user-{id}"),
            "messages": [{"role": "user", "content": format!("question {id}")}]});
        post(&body.to_string(), "").replace("Connection: close\r\n", "")
    }
    fn unknown_model(id: usize) -> String {
        chat(id).replace("kiln-ask", &format!("m{id:07}"))
    }
    vec![
        ("small", false, small),
        ("unknown class", false, unknown_class),
        ("new names", false, new_names),
        ("no JSON", false, no_json),
        ("unknown path", false, unknown_path),
        ("chat", true, chat),
        ("unknown model", true, unknown_model),
    ]
}

/// Sends requests behind each other on one connection for a while, on a new one where that is closed, and reads what comes.
async fn keep_busy(address: SocketAddr, request: Request, reads: bool) {
    let mut id = 0;
    let busy = async {
        loop {
            let Ok(mut stream) = TcpStream::connect(address).await else { continue };
            let (mut reading, mut writing) = stream.split();
            let write = async {
                loop {
                    let batch: String = (id + 1..=id + 50).map(request).collect();
                    id += 50;
                    if writing.write_all(batch.as_bytes()).await.is_err() {
                        return;
                    }
                }
            };
            let read = async {
                let mut answer = [0; 16_384];
                while reads && reading.read(&mut answer).await.is_ok_and(|length| length > 0) {}
                if !reads {
                    std::future::pending::<()>().await;
                }
            };
            tokio::select! {
                () = write => {}
                () = read => {}
            }
        }
    };
    let _ = timeout(BUSY_TIME, busy).await;
}

async fn start(name: &str, chat_port: &processes::Port) -> (Deployment, Process) {
    let site = Deployment::new(&format!("busy-{name}"), Shape::default()).await;
    let mut config = site.config();
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256});
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["give_up_s"] = json!(5.0);
    }
    site.write(&config);
    let fronts = format!(
        "[chat]\nenabled = true\nlisten = \"{}\"\nmost_open = 1000\n[chat.models]\nkiln-ask = \"ask\"\n",
        chat_port.address()
    );
    std::fs::write(site.folder.join("fronts.toml"), fronts).unwrap();
    let process = site.start().await;
    process.until_ready().await;
    (site, process)
}

#[tokio::test(flavor = "multi_thread")]
async fn others_are_answered_beside_one_client_at_full_speed() {
    for (name, on_chat, request) in cases() {
        for reads in [true, false] {
            let chat_port = processes::Port::new();
            let (site, process) = start(name, &chat_port).await;
            let address = site.port.address();
            let busy_address = if on_chat { chat_port.address() } else { address };
            let busy = tokio::spawn(keep_busy(busy_address, request, reads));
            let (started, mut others) = (Instant::now(), JoinSet::new());
            for id in 1.. {
                if started.elapsed() > BUSY_TIME {
                    break;
                }
                let text = platform(&format!("{id:016x}"), "book", DEADLINE);
                others
                    .spawn(timeout(Duration::from_secs(6), async move { until_close(address, &text).await }));
                sleep(INTERVAL).await;
            }
            let answers = others.join_all().await;
            let is_final =
                |answer: &str| answer.starts_with("HTTP/1.1 200 ") || answer.starts_with("HTTP/1.1 503 ");
            let unanswered =
                answers.iter().filter(|answer| !answer.as_ref().is_ok_and(|answer| is_final(answer)));
            let unanswered = unanswered.count();
            let served =
                answers.iter().filter(|answer| answer.as_ref().is_ok_and(|a| a.starts_with("HTTP/1.1 200 ")));
            let (served, peak) = (served.count(), process.peak_memory_mb());
            println!("{name}, reads {reads}: {served} of {} served, {peak} MiB at most", answers.len());
            assert_eq!(unanswered, 0, "{name}, reads {reads}: of {}", answers.len());
            assert!(peak < MEMORY_MB, "{name}, reads {reads}: {peak} MiB of {MEMORY_MB}");
            assert!(served > 0, "{name}, reads {reads}: none of {} was served", answers.len());
            busy.await.unwrap();
        }
    }
}
