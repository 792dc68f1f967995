//! A server with a given behavior.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http::{chunk, field, message, plain, LAST_CHUNK, STREAM_HEAD};

/// The time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(4);
/// The time between two texts of [`Behavior::Endless`].
const ENDLESS_INTERVAL: Duration = Duration::from_millis(1);

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Answers 202, as a reader that has read the prompt.
    Read,
    /// Writes so many events, the usage and the last chunk.
    Stream(usize),
    /// Writes so many events, then closes the connection.
    Cut(usize),
    /// The same, without chunks or a length.
    Unframed(usize),
    /// Writes so many events, then falls silent.
    Stall(usize),
    /// Answers with this status and `X-Turned-Away`.
    TurnAway(u16),
    /// Answers 500.
    Fail,
    /// Closes the connection without an answer.
    Close,
    /// Stays silent.
    Nothing,
    /// Writes these bytes, then stays silent.
    Raw(&'static str),
    /// Writes the first text once, then the second one over and over, for as long as it is taken.
    Endless(&'static str, &'static str),
}

/// A server that behaves the same with every request, until its behavior is changed.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    log: Log,
}

/// Method, path and id of every request, as they came.
type Log = Arc<Mutex<Vec<String>>>;

impl Server {
    /// Starts on a port that the system picks.
    pub async fn start(behavior: Behavior) -> Self {
        Self::with_connection_limit(behavior, usize::MAX).await
    }

    /// Starts one that holds so many connections at once, and drops those that come beyond them.
    ///
    /// # Panics
    /// Where the system gives no port.
    pub async fn with_connection_limit(behavior: Behavior, limit: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new(Mutex::new(behavior));
        let log = Log::default();
        tokio::spawn(accept(listener, limit, behavior.clone(), log.clone()));
        Self { address, behavior, log }
    }

    /// Changes what it does with requests from now on.
    ///
    /// # Panics
    /// Where another holder of the lock has panicked.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// How many requests came, releases aside.
    ///
    /// # Panics
    /// Where another holder of the lock has panicked.
    #[must_use]
    pub fn posts(&self) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.starts_with("POST")).count()
    }

    /// Method, path and id of every request, as they came.
    ///
    /// # Panics
    /// Where another holder of the lock has panicked.
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

/// Serves connections, so many at once; what comes beyond them is dropped.
async fn accept(listener: TcpListener, limit: usize, behavior: Arc<Mutex<Behavior>>, log: Log) {
    // Each open connection holds a clone.
    let open = Arc::new(());
    while let Ok((stream, _)) = listener.accept().await {
        if Arc::strong_count(&open) > limit {
            continue;
        }
        let connection =
            Connection { stream, read: Vec::new(), behavior: behavior.clone(), log: log.clone() };
        let slot = open.clone();
        tokio::spawn(async move {
            connection.serve().await;
            drop(slot);
        });
    }
}

struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    behavior: Arc<Mutex<Behavior>>,
    log: Log,
}

impl Connection {
    /// Answers requests until the connection ends.
    async fn serve(mut self) {
        while let Some((head, _)) = message(&mut self.stream, &mut self.read).await {
            let line = head.lines().next().unwrap_or("").trim_end_matches(" HTTP/1.1").to_owned();
            let id = field(&head, "x-txn").unwrap_or_default();
            self.log.lock().unwrap().push(format!("{line} {id}"));
            if line.starts_with("DELETE") {
                self.write("HTTP/1.1 204 No Content\r\n\r\n").await;
                continue;
            }
            let behavior = *self.behavior.lock().unwrap();
            if !self.answer(behavior).await {
                return;
            }
        }
    }

    /// Writes a text; whether it was taken.
    async fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Answers a request; whether the connection goes on.
    async fn answer(&mut self, behavior: Behavior) -> bool {
        match behavior {
            Behavior::Read => self.write(&plain(202, "", "{\"cached_tokens\":12}")).await,
            Behavior::TurnAway(status) => self.write(&plain(status, "X-Turned-Away: 1\r\n", "")).await,
            Behavior::Fail => self.write(&plain(500, "", "no")).await,
            Behavior::Close => false,
            Behavior::Nothing => self.stay_silent().await,
            Behavior::Raw(text) => self.write(text).await,
            Behavior::Endless(first, text) => self.write_endlessly(first, text).await,
            Behavior::Stream(events) => {
                let goes_on = self.write_events(events).await;
                if goes_on {
                    self.write(&(chunk(LAST_EVENTS) + LAST_CHUNK)).await;
                }
                goes_on
            }
            Behavior::Cut(events) => {
                self.write_events(events).await;
                false
            }
            Behavior::Stall(events) => self.write_events(events).await && self.stay_silent().await,
            Behavior::Unframed(events) => {
                self.write_unframed(events).await;
                false
            }
        }
    }

    /// Waits until the caller closes or sends something; the connection does not go on then.
    async fn stay_silent(&mut self) -> bool {
        let _ = self.stream.read_buf(&mut self.read).await;
        false
    }

    async fn write_endlessly(&mut self, first: &str, text: &str) -> bool {
        if !self.write(first).await {
            return false;
        }
        while self.write(text).await {
            sleep(ENDLESS_INTERVAL).await;
        }
        false
    }

    /// Writes the head of a stream and so many events; whether all were taken.
    async fn write_events(&mut self, events: usize) -> bool {
        if !self.write(STREAM_HEAD).await {
            return false;
        }
        for at in 0..events {
            if !self.write(&chunk(&event(at))).await {
                return false;
            }
            sleep(EVENT_INTERVAL).await;
        }
        true
    }

    /// The same, without chunks.
    async fn write_unframed(&mut self, events: usize) {
        if !self.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").await {
            return;
        }
        for at in 0..events {
            if !self.write(&event(at)).await {
                return;
            }
            sleep(EVENT_INTERVAL).await;
        }
    }
}
