//! A server that does what the test says.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::wire::{chunk, field, message, plain};

/// What a server does with requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// 202, as a reader that has read the prompt.
    Read,
    /// So many events, the usage and the last chunk.
    Stream(usize),
    /// So many events, then the connection closes.
    Cut(usize),
    /// The same, without chunks or a length.
    Unframed(usize),
    /// So many events, then silence.
    Stall(usize),
    /// This status, with `X-Turned-Away`.
    TurnAway(u16),
    /// 500.
    Fail,
    /// The connection closes without an answer.
    Close,
    /// Silence.
    Nothing,
    /// These bytes, then silence.
    Raw(&'static str),
    /// These bytes over and over, for as long as they are taken; the first only once.
    Endless(&'static str, &'static str),
}

/// A server that does the same with every request until told otherwise.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    does: Arc<Mutex<Does>>,
    /// Method, path and id of every request, as they came.
    log: Arc<Mutex<Vec<String>>>,
}

impl Server {
    /// Starts on a port that the system picks.
    pub async fn start(does: Does) -> Self {
        Self::with_places(does, usize::MAX).await
    }

    /// One that holds so many connections at once, and drops those that come beyond them.
    pub async fn with_places(does: Does, places: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (address, does) = (listener.local_addr().unwrap(), Arc::new(Mutex::new(does)));
        let log = Arc::new(Mutex::new(Vec::new()));
        let (shared, lines) = (does.clone(), log.clone());
        tokio::spawn(async move {
            let taken = Arc::new(());
            while let Ok((stream, _)) = listener.accept().await {
                if Arc::strong_count(&taken) > places {
                    continue;
                }
                let (place, shared, lines) = (taken.clone(), shared.clone(), lines.clone());
                tokio::spawn(async move {
                    connection(stream, shared, lines).await;
                    drop(place);
                });
            }
        });
        Self { address, does, log }
    }

    /// What it does from now on.
    pub fn now_does(&self, does: Does) {
        *self.does.lock().unwrap() = does;
    }

    /// Requests that came, releases aside.
    #[must_use]
    pub fn posts(&self) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.starts_with("POST")).count()
    }

    /// Method, path and id of every request, as they came.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }
}

/// An event of an answer's stream.
#[must_use]
pub fn event(at: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{at} \"}},\"finish_reason\":null}}]}}\n\n")
}

/// What a stream ends with.
pub const LAST_EVENTS: &str =
    "data: {\"choices\":[],\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n";

async fn connection(mut stream: TcpStream, does: Arc<Mutex<Does>>, log: Arc<Mutex<Vec<String>>>) {
    let mut read = Vec::new();
    while let Some((head, _)) = message(&mut stream, &mut read).await {
        let line = head.lines().next().unwrap_or("").trim_end_matches(" HTTP/1.1").to_owned();
        let id = field(&head, "x-txn").unwrap_or_default();
        log.lock().unwrap().push(format!("{line} {id}"));
        if line.starts_with("DELETE") {
            let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").await;
            continue;
        }
        let doing = *does.lock().unwrap();
        let answer = match doing {
            Does::Read => plain(202, "", "{\"cached_tokens\":12}"),
            Does::TurnAway(status) => plain(status, "X-Turned-Away: 1\r\n", ""),
            Does::Fail => plain(500, "", "no"),
            Does::Close => return,
            Does::Nothing => {
                let _ = stream.read_buf(&mut read).await;
                return;
            }
            Does::Raw(text) | Does::Endless(text, _) => text.to_owned(),
            Does::Unframed(_) => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_owned(),
            Does::Stream(_) | Does::Cut(_) | Does::Stall(_) => {
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .to_owned()
            }
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if let Does::Endless(_, more) = doing {
            while stream.write_all(more.as_bytes()).await.is_ok() {
                sleep(Duration::from_millis(1)).await;
            }
            return;
        }
        let (Does::Stream(events) | Does::Cut(events) | Does::Unframed(events) | Does::Stall(events)) = doing
        else {
            continue;
        };
        for at in 0..events {
            let framed = if doing == Does::Unframed(events) { event(at) } else { chunk(&event(at)) };
            if stream.write_all(framed.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_millis(4)).await;
        }
        match doing {
            Does::Stream(_) => {
                let _ = stream.write_all((chunk(LAST_EVENTS) + "0\r\n\r\n").as_bytes()).await;
            }
            Does::Cut(_) | Does::Unframed(_) => return,
            _ => {
                let _ = stream.read_buf(&mut read).await; // until the dispatcher closes
                return;
            }
        }
    }
}
