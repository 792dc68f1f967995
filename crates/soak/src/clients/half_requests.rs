//! Clients that open connections on which they send nothing, or only a part of a request (a half request).

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};

use crate::event_log::{EventLog, Observation};
use crate::plan::{FaultKind, Plan};

/// A client that stops in the middle of a request must receive an error or a close within this time, which includes
/// some time for the client to notice.
const ENDED_WITHIN: Duration = Duration::from_millis(3_200);
/// Parts of requests: they stop in the head, after the head, in the body and in a chunk.
const HALF_REQUESTS: [&str; 4] = [
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn: 01\r\nX-Lane: ask\r\nContent-Length: 9\r\n\r\n",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn: 02\r\nX-Lane: ask\r\nContent-Length: 9\r\n\r\n{\"a",
    "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Txn: 03\r\nX-Lane: ask\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"",
];

/// Opens the connections of each `Idlers` fault of the dispatcher, one fault after the other in the plan's order.
pub(super) async fn run(plan: Arc<Plan>, event_log: EventLog, dispatcher: usize, address: SocketAddr) {
    for fault in &plan.faults {
        let FaultKind::Idlers { dispatcher: target, count } = fault.kind else { continue };
        if target != dispatcher {
            continue;
        }
        sleep_until(event_log.instant(fault.from_ms)).await;
        let mut idle = Vec::new();
        let mut half_requests = JoinSet::new();
        for index in 0..count {
            let Ok(stream) = TcpStream::connect(address).await else { continue };
            let logged = LoggedClient::new(&event_log, dispatcher);
            // Half of the clients send a part of a request, each part in turn.
            match HALF_REQUESTS.get(index % (2 * HALF_REQUESTS.len())) {
                Some(part) => {
                    half_requests.spawn(stop_and_stay(stream, part, logged));
                }
                None => idle.push((stream, logged)),
            }
        }
        sleep_until(event_log.instant(fault.to_ms)).await;
        drop(idle);
        while half_requests.join_next().await.is_some() {}
    }
}

/// The log entries about one client: that it connected, and once this is dropped, that its connection has ended.
struct LoggedClient {
    event_log: EventLog,
    dispatcher: usize,
}

impl LoggedClient {
    fn new(event_log: &EventLog, dispatcher: usize) -> Self {
        event_log.write(0, Observation::IdleClientConnected { dispatcher });
        Self { event_log: event_log.clone(), dispatcher }
    }
}

impl Drop for LoggedClient {
    fn drop(&mut self) {
        self.event_log.write(0, Observation::IdleClientEnded { dispatcher: self.dispatcher });
    }
}

/// Writes a part of a request, and logs if the dispatcher neither responds nor closes in time.
async fn stop_and_stay(mut stream: TcpStream, part: &str, client: LoggedClient) {
    let LoggedClient { event_log, dispatcher } = &client;
    let began = event_log.now();
    if stream.write_all(part.as_bytes()).await.is_err() {
        return;
    }
    // A byte is the start of an error response; an end of file or a failed read is a close.
    if timeout(ENDED_WITHIN, stream.read_u8()).await.is_err() {
        event_log.write(0, Observation::HalfRequestIgnored { dispatcher: *dispatcher, began });
    }
}
