//! Serves one connection to a server of the fleet.

use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{lock, Fault, Shape, State};
use crate::http::{field, message, plain};

/// Held states at which a reader would report a load of 1.
const STATES_PER_READER: usize = 64;
const TURNED_AWAY: &str = "X-Turned-Away: 1\r\n";

/// Answers requests until the caller closes the connection or an answer ends it.
pub(super) async fn serve(stream: TcpStream, server: usize, shape: Shape, state: Arc<Mutex<State>>) {
    let mut connection = Connection { stream, read: Vec::new(), server, shape, state };
    while let Some((head, body)) = message(&mut connection.stream, &mut connection.read).await {
        let body = String::from_utf8_lossy(&body).into_owned();
        if !connection.answer(&head, body).await {
            return;
        }
    }
}

/// The load report that every server of the fleet sends: held states over the capacity of all readers.
pub(super) fn load_report(state: &State, shape: &Shape) -> String {
    let capacity = STATES_PER_READER * shape.readers.max(1);
    format!("TEXT x0={:.3}, x1=0.0", state.held.len() as f64 / capacity as f64)
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    read: Vec<u8>,
    server: usize,
    pub(super) shape: Shape,
    pub(super) state: Arc<Mutex<State>>,
}

impl Connection {
    /// Writes a text; returns false if the connection failed.
    pub(super) async fn write(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).await.is_ok()
    }

    /// Answers a request; returns whether the connection stays open for the next one.
    async fn answer(&mut self, head: &str, body: String) -> bool {
        let line = head.lines().next().unwrap_or("");
        let id = field(head, "x-txn").unwrap_or_default();
        if line.starts_with("POST /v1/") {
            lock(&self.state).received += 1;
        }
        if let Some(rest) = line.strip_prefix("DELETE /kv/leases/") {
            return self.release(rest.split(' ').next().unwrap_or("")).await;
        }
        if line.starts_with("POST /kv/leases/") {
            // This fleet doesn't support reservations before a read; 404 says so to the caller.
            return self.write(&plain(404, "", "")).await;
        }
        if line.starts_with("GET ") {
            let report = load_report(&lock(&self.state), &self.shape);
            return self.write(&plain(200, "", &report)).await;
        }
        if lock(&self.state).draining[self.server] {
            return self.write(&plain(503, TURNED_AWAY, "")).await;
        }
        if self.server < self.shape.readers {
            return self.read_prompt(id).await;
        }
        self.write_answer(id, body).await
    }

    /// Releases the held state of a request, if there is one; answers 204 in either case.
    async fn release(&mut self, id: &str) -> bool {
        {
            let mut state = lock(&self.state);
            state.releases += usize::from(state.held.remove(id));
        }
        self.write(&plain(204, "", "")).await
    }

    /// Reads a prompt and holds its state, unless the caller closes the connection during the read.
    async fn read_prompt(&mut self, id: String) -> bool {
        tokio::select! {
            () = sleep(self.shape.read) => {}
            read = self.stream.read_buf(&mut self.read) => match read {
                Ok(0) | Err(_) => return false,
                Ok(_) => sleep(self.shape.read).await,
            },
        }
        let headers = {
            let mut state = lock(&self.state);
            state.held.insert(id);
            state.reads += 1;
            format!("X-Pressure: {}\r\n", load_report(&state, &self.shape))
        };
        self.write(&plain(202, &headers, "{\"cached_tokens\":0}")).await
    }

    /// Answers a request at a writer, with the next fault.
    async fn write_answer(&mut self, id: String, body: String) -> bool {
        let (fault, started) = {
            let mut state = lock(&self.state);
            let fault = state.next_fault(&body);
            let started = match fault {
                Fault::TurnsAway => None,
                _ => state.start_answer(id, &body, self.server, fault),
            };
            (fault, started)
        };
        let Some(started) = started else {
            let status = if fault == Fault::TurnsAway { 503 } else { 410 };
            return self.write(&plain(status, TURNED_AWAY, "")).await;
        };
        let stays_open = match fault {
            Fault::Fails => self.write(&plain(500, "", "no")).await,
            Fault::Vanishes => false,
            _ => self.stream_answer(started, fault, &body).await,
        };
        lock(&self.state).open -= 1;
        if matches!(fault, Fault::Stalls(_)) {
            let _ = self.stream.read_buf(&mut self.read).await; // until the caller closes
            return false;
        }
        stays_open
    }
}
