//! Events are relayed one by one, as they arrive: the test's writer sends an event only after the client has received
//! the previous one, so a dispatcher that buffers events would wait forever.

mod stand_in;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dewladder::edge::dispatcher::Dispatcher;
use dewladder::edge::settings::{Config, Fronts};
use dewladder_test_peers::chunk;
use serde_json::json;
use stand_in::{body, chat, config, platform, Agent, Behavior, Server, LAST_EVENTS};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The longest wait for an event; a test fails when it is exceeded. Far over the 0.3 s in which an event has to reach
/// its client.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// The bound of the median time that an event takes to its client.
const LATENCY_BOUND: Duration = Duration::from_millis(300);

/// A dispatcher before a reader and a writer; the test itself makes each write of the writer.
struct Site {
    _reader: Server,
    _agent: Agent,
    writer: TcpListener,
    fronts: [SocketAddr; 2],
    shutdown: Option<oneshot::Sender<()>>,
    dispatcher_task: JoinHandle<Result<(), dewladder::edge::dispatcher::RunError>>,
    _discovery: watch::Sender<SocketAddr>,
}

impl Site {
    async fn start() -> Self {
        let (reader, writer) =
            (Server::start(Behavior::Read).await, TcpListener::bind("127.0.0.1:0").await.unwrap());
        let at = writer.local_addr().unwrap();
        let members = [
            stand_in::member(&reader, 1, "prefill", "up"),
            dewladder_test_peers::member(at, 2, "decode", "up"),
        ];
        let list = json!({"revision": 1, "complete": true, "members": members});
        let agent = Agent::start(list.clone()).await;
        let mut config_json: serde_json::Value = serde_json::from_str(&config(agent.address, &list)).unwrap();
        // Long deadlines and large memories, so that neither plays a part.
        for class in config_json["settings"]["lanes"].as_array_mut().unwrap() {
            (class["aim_s"], class["give_up_s"]) = (json!(5.0), json!(10.0));
        }
        config_json["settings"]["domain"]["kind_memory_tokens"] = json!([10_000_000, 10_000_000]);
        let mut config = Config::parse("config", &config_json.to_string(), |_| None).unwrap();
        config.stall = EVENT_TIMEOUT;
        let fronts = "[chat]\nenabled = true\nlisten = \"127.0.0.1:0\"\nmax_tokens = 800\nmost_open = 90\n\
             [chat.models]\nkiln-ask = \"ask\"\n[chat.tenants]\nkey-of-clay = \"chiangmai-clay\"\n";
        let dispatcher = Dispatcher::bind(config, &Fronts::parse("fronts", fronts).unwrap()).unwrap();
        let [platform, chat] = dispatcher.addresses()[..] else { panic!("two listeners") };
        let (shutdown, shutdown_signal) = oneshot::channel();
        let (discovery, at) = watch::channel(agent.address);
        let dispatcher_task = tokio::spawn(dispatcher.run(at, async {
            let _ = shutdown_signal.await;
        }));
        let (fronts, shutdown) = ([platform, chat], Some(shutdown));
        Self {
            _reader: reader,
            _agent: agent,
            writer,
            fronts,
            shutdown,
            dispatcher_task,
            _discovery: discovery,
        }
    }

    /// Sends a request to a front and waits until the writer has accepted it; no event has been sent yet.
    async fn open_stream(&self, front: usize, id: u32) -> Stream {
        let text =
            if front == 0 { platform(&format!("{id:016x}"), "ask", "9.0") } else { chat("kiln-ask", true) };
        let mut client = TcpStream::connect(self.fronts[front]).await.unwrap();
        client.write_all(text.as_bytes()).await.unwrap();
        let mut read = Vec::new();
        let server = tokio::select! {
            server = self.accept_at_writer() => server,
            _ = client.read_buf(&mut read) => {
                // Reads the rest of the answer for the message.
                let _ = timeout(LATENCY_BOUND, client.read_to_end(&mut read)).await;
                panic!("request {id} does not reach the writer: {}", String::from_utf8_lossy(&read))
            }
        };
        Stream { client, read, server }
    }

    /// Accepts the next request at the writer and sends the head of its response.
    async fn accept_at_writer(&self) -> TcpStream {
        let (mut server, _) = timeout(EVENT_TIMEOUT, self.writer.accept())
            .await
            .expect("the request reaches the writer")
            .unwrap();
        server.set_nodelay(true).unwrap();
        let mut read = Vec::new();
        while !read.windows(4).any(|window| window == b"\r\n\r\n") {
            assert!(server.read_buf(&mut read).await.unwrap() > 0);
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        server.write_all(head.as_bytes()).await.unwrap();
        server
    }
}

/// A client's stream, with its client's and its writer's connection.
struct Stream {
    client: TcpStream,
    /// All bytes that the client has received.
    read: Vec<u8>,
    server: TcpStream,
}

/// The part of an answer's body that has been received, with its chunked encoding removed.
fn decoded_body(read: &[u8]) -> Vec<u8> {
    let found = |text: &[u8], what: &[u8]| text.windows(what.len()).position(|window| window == what);
    let (mut whole, mut rest) = (Vec::new(), found(read, b"\r\n\r\n").map_or(&[][..], |at| &read[at + 4..]));
    while let Some(at) = found(rest, b"\r\n") {
        let length = usize::from_str_radix(std::str::from_utf8(&rest[..at]).unwrap(), 16).unwrap();
        rest = &rest[at + 2..];
        whole.extend_from_slice(&rest[..length.min(rest.len())]);
        rest = rest.get(length + 2..).unwrap_or_default();
    }
    whole
}

/// An event whose content is `padding` bytes, followed by `marker` in angle brackets.
fn event(marker: usize, padding: usize) -> String {
    let content = format!("{}<{marker}>", "x".repeat(padding));
    format!("data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}]}}\n\n")
}

impl Stream {
    async fn write(&mut self, text: &str) {
        self.server.write_all(text.as_bytes()).await.unwrap();
    }

    /// Waits until the client has received the event with this marker; returns how long that took.
    async fn wait_for(&mut self, marker: usize) -> Duration {
        let (since, marker) = (Instant::now(), format!("<{marker}>"));
        let arrival = async {
            while !String::from_utf8_lossy(&decoded_body(&self.read)).contains(&marker) {
                assert!(
                    self.client.read_buf(&mut self.read).await.unwrap() > 0,
                    "the connection ends before {marker}"
                );
            }
        };
        timeout(EVENT_TIMEOUT, arrival).await.unwrap_or_else(|_| panic!("{marker} is held back"));
        since.elapsed()
    }

    /// Sends an event and waits until the client has received it; returns how long that took.
    async fn relay(&mut self, marker: usize, padding: usize) -> Duration {
        self.write(&chunk(&event(marker, padding))).await;
        self.wait_for(marker).await
    }

    /// Sends the last events and the last chunk; returns all that the client received.
    async fn finish(mut self) -> String {
        self.write(&(chunk(LAST_EVENTS) + "0\r\n\r\n")).await;
        timeout(EVENT_TIMEOUT, self.client.read_to_end(&mut self.read))
            .await
            .expect("the end is relayed")
            .unwrap();
        String::from_utf8(self.read).unwrap()
    }
}

/// Checks the median latency of events against the bound; the median, since a machine that stalls for a moment delays
/// single events without any buffering.
fn assert_in_time(mut latencies: Vec<Duration>) {
    latencies.sort_unstable();
    let median = latencies[latencies.len() / 2];
    assert!(median < LATENCY_BOUND, "half of the events take over {median:?}");
}

/// Small events, events near the maximum size, and small events right after those each reach the client before the next
/// one is written.
#[tokio::test]
async fn each_event_reaches_its_client_before_the_next_is_written() {
    let site = Site::start().await;
    for front in [0, 1] {
        let (mut stream, mut latencies, mut sent) =
            (site.open_stream(front, 1).await, Vec::new(), String::new());
        for (marker, padding) in
            [0, 0, 65_000, 0, 1, 65_000, 65_000, 0, 1_460, 0, 16_000, 3].into_iter().enumerate()
        {
            latencies.push(stream.relay(marker, padding).await);
            sent += &event(marker, padding);
        }
        assert_in_time(latencies);
        let answer = stream.finish().await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{}", &answer[..100]);
        let (got, whole) = body(&answer);
        assert!(whole, "the last chunk arrives");
        assert!(front == 1 || got == sent + LAST_EVENTS, "unchanged");
    }
}

/// The writer's writes don't match event boundaries: a complete event is relayed although a part of the next one came
/// with it, and an event that arrives byte by byte is relayed with its last byte.
#[tokio::test]
async fn a_complete_event_does_not_wait_for_the_rest_of_the_next_one() {
    let site = Site::start().await;
    for front in [0, 1] {
        let mut stream = site.open_stream(front, 1).await;
        let (first, second, third) = (event(0, 0), event(1, 5_000), event(2, 0));
        let (half, rest) = second.split_at(40);
        stream.write(&chunk(&format!("{first}{half}"))).await;
        stream.wait_for(0).await;
        stream.write(&chunk(rest)).await;
        stream.wait_for(1).await;
        for at in 0..third.len() {
            stream.write(&chunk(&third[at..=at])).await;
        }
        stream.wait_for(2).await;
        // One chunk holds two events, and the part with the second one arrives later.
        let both = format!("{}{}", event(3, 0), event(4, 0));
        let framed = chunk(&both);
        let (now, later) = framed.split_at(framed.len() - event(4, 0).len());
        stream.write(now).await;
        stream.wait_for(3).await;
        stream.write(later).await;
        stream.wait_for(4).await;
        let (got, whole) = body(&stream.finish().await);
        let all = [first, second, third, both, LAST_EVENTS.to_owned()].concat();
        assert!(whole && (front == 1 || got == all), "unchanged");
    }
}

/// Two clients read nothing, so the writes to their streams block; the events of 40 other streams, sent in turn, are
/// still relayed one by one.
#[tokio::test]
async fn a_client_that_reads_nothing_delays_no_other_stream() {
    let site = Site::start().await;
    let mut stalled = Vec::new();
    for front in [0, 1] {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut client = socket.connect(site.fronts[front]).await.unwrap();
        let text = if front == 0 { platform("ffff", "ask", "9.0") } else { chat("kiln-ask", true) };
        client.write_all(text.as_bytes()).await.unwrap();
        let mut server = site.accept_at_writer().await;
        // Writes until neither the dispatcher nor any socket buffer takes more.
        let large = chunk(&event(0, 60_000));
        while timeout(Duration::from_millis(400), server.write_all(large.as_bytes())).await.is_ok() {}
        stalled.push((client, server));
    }
    let (mut streams, mut latencies) = (Vec::new(), Vec::new());
    for id in 0..40 {
        let mut stream = site.open_stream(id as usize % 2, id + 1).await;
        latencies.push(stream.relay(0, 10).await);
        streams.push(stream);
    }
    for marker in 1..6 {
        for stream in &mut streams {
            latencies.push(stream.relay(marker, if marker == 3 { 30_000 } else { 10 }).await);
        }
    }
    assert_in_time(latencies);
    for stream in streams {
        assert!(body(&stream.finish().await).1);
    }
}

/// The shutdown begins while some streams have sent an event and others have not yet: the events of all of them are
/// relayed one by one up to the last chunk, and only then does the dispatcher end.
#[tokio::test]
async fn events_are_relayed_one_by_one_during_shutdown() {
    let mut site = Site::start().await;
    let mut streams = Vec::new();
    for front in [0, 1] {
        let mut begun = site.open_stream(front, 2 * front as u32 + 1).await;
        begun.relay(0, 0).await;
        streams.push((begun, 1));
        // The first event of this stream comes after the shutdown has begun.
        streams.push((site.open_stream(front, 2 * front as u32 + 2).await, 0));
    }
    site.shutdown.take().unwrap().send(()).unwrap();
    let shutdown_start = Instant::now();
    let (mut latencies, mut marker) = (Vec::new(), 0);
    // Runs well past the time at which a shutdown closes idle connections.
    while marker < 20 || shutdown_start.elapsed() < Duration::from_millis(1_200) {
        for (stream, next) in &mut streams {
            latencies.push(stream.relay(*next, if *next % 5 == 2 { 50_000 } else { 0 }).await);
            *next += 1;
        }
        marker += 1;
    }
    assert_in_time(latencies);
    assert!(!site.dispatcher_task.is_finished(), "streams are open");
    for (stream, _) in streams {
        assert!(body(&stream.finish().await).1, "the last chunk arrives");
    }
    timeout(EVENT_TIMEOUT, site.dispatcher_task).await.expect("the dispatcher ends").unwrap().unwrap();
}
