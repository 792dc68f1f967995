//! A model server that treats every request alike.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::http::{chunk, field, message, plain, LAST_CHUNK, STREAM_HEAD};

/// Pause after each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(4);
/// Pause between two texts of [`Behavior::Endless`].
const ENDLESS_INTERVAL: Duration = Duration::from_millis(1);

/// How a server treats each request. A release (`DELETE`) gets 204 whatever the behavior.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    /// Answers 202 with 12 cached tokens, like a reader that has read the prompt.
    Read,
    /// Writes this many events, then [`LAST_EVENTS`] and the last chunk.
    Stream(usize),
    /// Writes this many events, then closes the connection before the last chunk.
    Cut(usize),
    /// Writes this many events without chunks or `Content-Length`, then closes the connection.
    Unframed(usize),
    /// Writes this many events, then nothing more until the caller closes or sends something.
    Stall(usize),
    /// Rejects with this status and `X-Turned-Away`: the request did not run.
    TurnAway(u16),
    /// Answers 500 without `X-Turned-Away`: the request may have run.
    Fail,
    /// Closes the connection without an answer.
    Close,
    /// Answers nothing until the caller closes or sends something.
    Nothing,
    /// Writes this text as the whole answer and keeps the connection open for further requests.
    Raw(&'static str),
    /// Writes the first text once, then repeats the second until a write fails.
    Endless(&'static str, &'static str),
}

/// A server that treats every request the same way until its behavior is changed.
#[derive(Debug)]
pub struct Server {
    /// The address that the server listens on.
    pub address: SocketAddr,
    behavior: Arc<Mutex<Behavior>>,
    log: Log,
}

/// See [`Server::log`].
type Log = Arc<Mutex<Vec<String>>>;

impl Server {
    /// Starts a server without a connection limit on a free loopback port.
    pub async fn start(behavior: Behavior) -> Self {
        Self::with_connection_limit(behavior, usize::MAX).await
    }

    /// Starts a server that serves at most `limit` connections at once and closes further ones after accepting them.
    ///
    /// # Panics
    /// If no port can be bound.
    pub async fn with_connection_limit(behavior: Behavior, limit: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let behavior = Arc::new(Mutex::new(behavior));
        let log = Log::default();
        tokio::spawn(accept(listener, limit, behavior.clone(), log.clone()));
        Self { address, behavior, log }
    }

    /// Sets the behavior for later requests; those that are being answered keep theirs.
    ///
    /// # Panics
    /// If another thread panicked while it held the lock.
    pub fn set_behavior(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    /// Number of `POST` requests received, so without releases.
    ///
    /// # Panics
    /// If another thread panicked while it held the lock.
    #[must_use]
    pub fn posts(&self) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.starts_with("POST")).count()
    }

    /// `METHOD PATH ID` of every request in the order of arrival; the id is its `X-Txn`, empty without one.
    ///
    /// # Panics
    /// If another thread panicked while it held the lock.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }
}

/// Event number `at` of an answer, with the content `w{at} `.
#[must_use]
pub fn event(at: usize) -> String {
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{at} \"}},\"finish_reason\":null}}]}}\n\n")
}

/// The events that end a complete answer: the usage and `[DONE]`.
pub const LAST_EVENTS: &str =
    "data: {\"choices\":[],\"usage\":{\"completion_tokens\":3}}\n\ndata: [DONE]\n\n";

/// Accepts connections; one that would exceed the limit is closed at once.
async fn accept(listener: TcpListener, limit: usize, behavior: Arc<Mutex<Behavior>>, log: Log) {
    // Each open connection holds a clone, so the strong count is the number of connections and one more.
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
    /// Answers requests until the connection closes or a behavior ends it.
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

    /// Writes a text; returns false if the connection failed.
    async fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Answers a request; returns whether the connection stays open for the next one.
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
                let stays_open = self.write_events(events).await;
                if stays_open {
                    self.write(&(chunk(LAST_EVENTS) + LAST_CHUNK)).await;
                }
                stays_open
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

    /// Waits until the caller closes or sends something; returns false, as the connection is then closed.
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

    /// Writes the head of a chunked stream and the events; returns false if the connection failed.
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

    /// Writes a head without `Content-Length` or chunks, and the events.
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
