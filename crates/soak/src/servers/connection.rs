//! One connection of a test server: its requests and responses, with the faults of the plan.

use std::time::Duration;

use dewladder_test_peers::{chunk, field, plain};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, Instant};

use super::{parse_id, reset_on_close, Shared, EVENTS, POLL_INTERVAL, WORDS_PREFIX};
use crate::event_log::{EventLog, Micros, Observation};
use crate::plan::{EndlessStream, FaultKind};

/// Time that a reader takes to read a prompt.
const READ_DURATION: Duration = Duration::from_millis(15);
/// Time that a writer takes until its first event.
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(25);
/// Time between a reader's response and its repeat (`AnswerTwice`).
const SECOND_RESPONSE_AFTER: Duration = Duration::from_millis(6);
/// Events of a stream before it is cut (`Break`).
const EVENTS_BEFORE_BREAK: usize = 2;
/// Minimum age of a connection that is closed on use (`CloseOnUse`, ms): a younger one is in its first use.
const MIN_AGE_TO_CLOSE_MS: u64 = 50;
/// Bytes that a server reads at once, and the time until it reads again (`SlowReads`).
const SLOW_READ_BYTES: usize = 64;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(15);
/// Servers drop requests with less time left than this without a word (`NoTimeLeft`, us).
const MIN_REMAINING: Micros = 100_000;
/// Longest time in the middle of an event (`SlowAnswers`): events must not come as late as a stall.
const MAX_EVENT_TIME: Duration = Duration::from_millis(300);
/// Longer than any run.
const FOREVER: Duration = Duration::from_secs(600);
/// Time after the end of a run at which nothing happens any more (ms).
const NEVER_MS: u64 = 60_000;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Why a connection is no longer served.
enum ConnectionEnd {
    /// It has ended, or is to be closed normally.
    Closed,
    /// The plan resets it, or it was silent.
    Reset,
}

/// Serves a connection until it ends or the plan resets it.
pub(super) async fn serve(stream: TcpStream, shared: Shared) {
    let opened_ms = shared.now_ms();
    let reset_at_ms = shared.reset_at_ms(opened_ms).unwrap_or(shared.plan.length_ms + NEVER_MS);
    let reset_at = shared.event_log.instant(reset_at_ms);
    let mut connection = Connection { stream, read: Vec::new(), opened_ms, shared };
    let end = tokio::select! {
        end = connection.serve() => end,
        () = sleep_until(reset_at) => ConnectionEnd::Reset,
    };
    if matches!(end, ConnectionEnd::Reset) {
        reset_on_close(&connection.stream);
    }
}

/// An attempt in flight. Dropping it logs the end of the attempt, so that no way out of the exchange misses it.
struct InFlightAttempt {
    event_log: EventLog,
    id: u64,
    server: usize,
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        self.event_log.write(self.id, Observation::AttemptEnded { server: self.server });
    }
}

/// A request that was read completely.
struct Message {
    request_line: String,
    head: String,
    /// Length of its body (bytes).
    body_length: u64,
    /// The words of a booking at the chat front.
    words: Option<String>,
    /// When its first byte was available.
    first_byte: Micros,
}

struct Connection {
    stream: TcpStream,
    /// Bytes that were read and not parsed yet.
    read: Vec<u8>,
    opened_ms: u64,
    shared: Shared,
}

impl Connection {
    async fn serve(&mut self) -> ConnectionEnd {
        loop {
            if let Err(end) = self.exchange().await {
                return end;
            }
        }
    }

    fn log(&self, id: u64, observation: Observation) {
        self.shared.event_log.write(id, observation);
    }

    // ---- Reading and writing ----

    /// Does nothing unless the connection is silent. If it is, waits until its reset is due or the other side closes.
    async fn end_if_silent(&mut self) -> Result<(), ConnectionEnd> {
        let Some(until_ms) = self.shared.silent_until_ms(self.opened_ms) else { return Ok(()) };
        let until = self.shared.event_log.instant(until_ms);
        let mut discarded = [0; 4_096];
        loop {
            // Received bytes are discarded; a close by the other side ends the attempt in flight.
            tokio::select! {
                read = self.stream.read(&mut discarded) => if matches!(read, Ok(0) | Err(_)) {
                    return Err(ConnectionEnd::Reset);
                },
                () = sleep_until(until) => return Err(ConnectionEnd::Reset),
            }
        }
    }

    /// Reads the next request.
    async fn message(&mut self) -> Result<Message, ConnectionEnd> {
        let mut was_stalled = false;
        let mut first_byte = (!self.read.is_empty()).then(|| self.shared.event_log.now());
        loop {
            if let Some((request_line, head, body_length, words)) = self.take_message() {
                if was_stalled {
                    self.end_if_closed()?;
                }
                let first_byte = first_byte.unwrap_or_else(|| self.shared.event_log.now());
                return Ok(Message { request_line, head, body_length, words, first_byte });
            }
            if self.stream.readable().await.is_err() {
                return Err(ConnectionEnd::Closed);
            }
            was_stalled |= self.shared.wait_while_stalled().await;
            self.end_if_silent().await?;
            if first_byte.is_none() && self.closes_on_use() {
                return Err(ConnectionEnd::Closed);
            }
            match self.read_some() {
                Ok(0) => return Err(ConnectionEnd::Closed),
                Ok(_) => {
                    first_byte.get_or_insert_with(|| self.shared.event_log.now());
                    if self.reads_slowly() {
                        sleep(SLOW_READ_INTERVAL).await;
                    }
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return Err(ConnectionEnd::Closed),
            }
        }
    }

    /// Whether by the plan the server reads slowly.
    fn reads_slowly(&self) -> bool {
        self.shared.has(|kind| matches!(kind, FaultKind::SlowReads { .. }))
    }

    /// Reads what is available, or by the plan at most [`SLOW_READ_BYTES`] of it.
    fn read_some(&mut self) -> std::io::Result<usize> {
        if !self.reads_slowly() {
            return self.stream.try_read_buf(&mut self.read);
        }
        let mut piece = [0; SLOW_READ_BYTES];
        let length = self.stream.try_read(&mut piece)?;
        self.read.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Removes a complete request from the bytes that were read. Returns its request line, its head, the length of its
    /// body and the words of a booking.
    fn take_message(&mut self) -> Option<(String, String, u64, Option<String>)> {
        let head_end = self.read.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD)?;
        let head = String::from_utf8_lossy(&self.read[..head_end]).into_owned();
        let body_length =
            field(&head, "content-length").and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let end = head_end + END_OF_HEAD.len() + body_length as usize;
        if self.read.len() < end {
            return None;
        }
        let words = words_of(&self.read[head_end + END_OF_HEAD.len()..end]);
        self.read.drain(..end);
        let request_line = head.lines().next().unwrap_or("").to_owned();
        Some((request_line, head, body_length, words))
    }

    /// Ends the connection if the other side has closed it already: a process that was stalled sees the request and
    /// the close at the same time.
    fn end_if_closed(&mut self) -> Result<(), ConnectionEnd> {
        match self.stream.try_read_buf(&mut self.read) {
            Ok(0) => Err(ConnectionEnd::Closed),
            _ => Ok(()),
        }
    }

    /// Whether the plan closes the connection at its next use.
    fn closes_on_use(&self) -> bool {
        let is_old = self.shared.now_ms() > self.opened_ms + MIN_AGE_TO_CLOSE_MS;
        is_old && self.shared.has(|kind| matches!(kind, FaultKind::CloseOnUse { .. }))
    }

    /// Writes a part of a response, unless by the plan the connection is silent or the response is lost.
    async fn write(&mut self, text: &str) -> Result<(), ConnectionEnd> {
        self.shared.wait_while_stalled().await;
        self.end_if_silent().await?;
        if self.shared.has(|kind| matches!(kind, FaultKind::LoseAnswers { .. })) {
            return self.wait(FOREVER).await;
        }
        self.stream.write_all(text.as_bytes()).await.map_err(|_| ConnectionEnd::Closed)
    }

    /// Waits for a time, in which the server works on a request; ends the connection if the other side closes.
    async fn wait(&mut self, time: Duration) -> Result<(), ConnectionEnd> {
        let end = Instant::now() + time;
        loop {
            tokio::select! {
                biased; // if the close arrives at the moment at which the time is over, it still stops the work
                read = self.stream.read_buf(&mut self.read) => if matches!(read, Ok(0) | Err(_)) {
                    return Err(ConnectionEnd::Closed);
                },
                () = sleep_until(end) => {
                    if self.shared.wait_while_stalled().await {
                        self.end_if_closed()?;
                    }
                    return self.end_if_silent().await;
                }
            }
        }
    }

    // ---- Exchanges ----

    /// Reads the next request and responds to it.
    async fn exchange(&mut self) -> Result<(), ConnectionEnd> {
        let message = self.message().await?;
        match message.request_line.strip_prefix("DELETE /kv/leases/") {
            Some(rest) => self.release(parse_id(rest.split(' ').next().unwrap_or(""))).await,
            None => self.attempt(&message).await,
        }
    }

    /// Releases the state of a request.
    async fn release(&mut self, id: u64) -> Result<(), ConnectionEnd> {
        self.shared.states().release(id);
        self.log(id, Observation::ReleaseReceived);
        self.wait_while_hanging().await?;
        self.write(&plain(204, "", "")).await
    }

    /// Responds to an attempt, as a reader or a writer.
    async fn attempt(&mut self, message: &Message) -> Result<(), ConnectionEnd> {
        let id = parse_id(&field(&message.head, "x-txn").unwrap_or_default());
        let _in_flight = self.log_attempt(id, message);
        if self.shared.is_draining() || self.shared.has(|kind| matches!(kind, FaultKind::TurnAway { .. })) {
            return self.turn_away(id, 503).await;
        }
        self.wait_while_hanging().await?;
        if self.shared.drops(&message.head) {
            return self.wait(FOREVER).await;
        }
        let Some(queued) = self.shared.take_place(message.body_length) else {
            return self.turn_away(id, 503).await;
        };
        let delay = self.shared.delay() + queued;
        if self.shared.is_reader {
            self.shared.states().begin_read(id);
            self.wait(READ_DURATION + delay).await?;
            let is_held = self.shared.states().end_read(id);
            if is_held {
                self.log(id, Observation::ReadEnded { server: self.shared.server });
            }
            return self.write_read_response(id).await;
        }
        let has_state = self.shared.states().take(id);
        if !has_state {
            return self.turn_away(id, 410).await;
        }
        self.log(id, Observation::WriteBegan { server: self.shared.server });
        if let Some(words) = &message.words {
            self.log(id, Observation::BookingRan { words: words.clone() });
        }
        self.wait(FIRST_EVENT_AFTER + delay).await?;
        self.write_stream(id, message.words.is_some()).await
    }

    /// Logs the arrival of an attempt. Its end is logged when the result is dropped.
    fn log_attempt(&self, id: u64, message: &Message) -> InFlightAttempt {
        let (event_log, server) = (self.shared.event_log.clone(), self.shared.server);
        event_log.write_at(message.first_byte, id, Observation::AttemptBegan { server });
        let remaining_s = field(&message.head, "x-remaining").and_then(|text| text.parse::<f64>().ok());
        let remaining = remaining_s.map(|seconds| (seconds * 1e6) as Micros);
        let is_reader = self.shared.is_reader;
        event_log.write(id, Observation::AttemptArrived { server, is_reader, remaining });
        InFlightAttempt { event_log, id, server }
    }

    /// Writes a reader's response; by the plan, it stays incomplete (`NeverEnd`) or is sent twice (`AnswerTwice`).
    async fn write_read_response(&mut self, id: u64) -> Result<(), ConnectionEnd> {
        let response = plain(202, "", "{\"cached_tokens\":0}");
        if self.shared.has(|kind| matches!(kind, FaultKind::NeverEnd { .. })) {
            self.write(&response[..response.len() - 2]).await?;
            return self.wait(FOREVER).await;
        }
        match self.shared.slow_answer_time() {
            Some(time) => self.write_slowly(id, &response, time).await?,
            None => self.write(&response).await?,
        }
        if self.shared.has(|kind| matches!(kind, FaultKind::AnswerTwice { .. })) {
            self.wait(SECOND_RESPONSE_AFTER).await?;
            return self.write(&response).await;
        }
        Ok(())
    }

    /// Writes a text in two parts, with this time between them, or behind it if that is the beginning of a longer one. Logs
    /// it if the other side closes meanwhile.
    async fn write_slowly(&mut self, id: u64, text: &str, time: Duration) -> Result<(), ConnectionEnd> {
        let (beginning, rest) = text.split_at(text.len() - text.len() / 4);
        self.write(beginning).await?;
        let waited = self.wait(time).await;
        if waited.is_err() {
            self.log(id, Observation::AnswerCutShort { server: self.shared.server });
        }
        waited?;
        self.write(rest).await
    }

    /// Writes what never makes a whole stream until the other side closes.
    async fn write_endlessly(&mut self, id: u64, how: EndlessStream) -> Result<(), ConnectionEnd> {
        self.log(id, Observation::StreamSpoilt { server: self.shared.server });
        let (beginning, repeated) = endless_text(how);
        self.write(&beginning).await?;
        loop {
            self.write(&repeated).await?;
            self.wait(Duration::from_millis(self.shared.plan.event_interval_ms)).await?;
        }
    }

    /// Waits while the plan has the server hang; ends the connection if the other side closes.
    async fn wait_while_hanging(&mut self) -> Result<(), ConnectionEnd> {
        while self.shared.has(|kind| matches!(kind, FaultKind::Hang { .. })) {
            self.wait(POLL_INTERVAL).await?;
        }
        Ok(())
    }

    /// Rejects an attempt with a response that says that it never ran.
    async fn turn_away(&mut self, id: u64, status: u16) -> Result<(), ConnectionEnd> {
        self.log(id, Observation::TurnedAway { server: self.shared.server });
        self.write(&plain(status, "X-Turned-Away: 1\r\n", "")).await
    }

    /// Writes a writer's stream, which is cut (`Break`) if the plan says so.
    async fn write_stream(&mut self, id: u64, is_booking: bool) -> Result<(), ConnectionEnd> {
        self.write(STREAM_HEAD).await?;
        for event in 0..EVENTS {
            let breaks = |kind: &FaultKind| matches!(kind, FaultKind::Break { .. });
            if event == EVENTS_BEFORE_BREAK && self.shared.has(breaks) {
                return Err(ConnectionEnd::Closed);
            }
            self.end_if_silent().await?;
            if let Some(how) = self.shared.endless_stream(event) {
                return self.write_endlessly(id, how).await;
            }
            let text = chunk(&event_text(event, is_booking));
            let (beginning, rest) = text.split_at(text.len() / 2);
            if let Some(time) = self.shared.slow_answer_time() {
                self.write_slowly(id, beginning, time.min(MAX_EVENT_TIME)).await?;
                self.log(id, Observation::EventWritten(event));
                self.write(rest).await?;
            } else {
                self.log(id, Observation::EventWritten(event));
                self.write(&text).await?;
            }
            self.wait(Duration::from_millis(self.shared.plan.event_interval_ms)).await?;
        }
        let end = if is_booking { chunk("data: [DONE]\n\n") } else { String::new() };
        self.write(&(end + "0\r\n\r\n")).await?;
        self.log(id, Observation::StreamEnded { server: self.shared.server });
        Ok(())
    }
}

/// The words of a booking at the chat front, if this is the body of one.
fn words_of(body: &[u8]) -> Option<String> {
    let body = String::from_utf8_lossy(body);
    let from = body.find(WORDS_PREFIX)?;
    body[from..].split('"').next().map(str::to_owned)
}

/// An event of a stream; those of bookings are parsed by the chat front.
fn event_text(event: usize, is_booking: bool) -> String {
    if !is_booking {
        return format!("data: {{\"event\":{event}}}\n\n");
    }
    let finish = if event + 1 == EVENTS { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"w{event} \"}},\"finish_reason\":{finish}}}]}}\n\n"
    )
}

/// What a writer sends at first, and then again and again.
fn endless_text(how: EndlessStream) -> (String, String) {
    let event = "data: {\"event\":99}\n\n";
    match how {
        EndlessStream::HugeChunk => ("c0000000\r\n".to_owned(), event.to_owned()),
        EndlessStream::LongChunk => ("186a0\r\n".to_owned(), event.to_owned()),
        EndlessStream::ChunkSize => (String::new(), "0".to_owned()),
        EndlessStream::Comments => (String::new(), chunk(": waiting\n\n")),
        EndlessStream::EmptyEvents => (String::new(), chunk("id: 1\ndata:\n\n")),
        EndlessStream::AfterEnd => (chunk("data: [DONE]\n\n"), chunk(event)),
    }
}

impl Shared {
    /// What comes instead of the event of this index, if by the plan the stream goes on for ever.
    fn endless_stream(&self, event: usize) -> Option<EndlessStream> {
        self.plan.faults_at(self.now_ms()).find_map(|kind| match *kind {
            FaultKind::EndlessStreams { server, after_events, how } if server == self.server => {
                (event == after_events).then_some(how)
            }
            _ => None,
        })
    }

    /// The time in the middle of an answer or event, if by the plan the server writes slowly.
    fn slow_answer_time(&self) -> Option<Duration> {
        self.plan.faults_at(self.now_ms()).find_map(|kind| match *kind {
            FaultKind::SlowAnswers { server, over_ms } if server == self.server => {
                Some(Duration::from_millis(over_ms))
            }
            _ => None,
        })
    }

    /// Whether by the plan the server drops a request without a word, as too little time is left.
    fn drops(&self, head: &str) -> bool {
        let remaining_s = field(head, "x-remaining").and_then(|text| text.parse::<f64>().ok());
        let is_short = remaining_s.is_some_and(|seconds| seconds * 1e6 < MIN_REMAINING as f64);
        is_short && self.plan.has(self.now_ms(), |kind| matches!(kind, FaultKind::NoTimeLeft { .. }))
    }
}
