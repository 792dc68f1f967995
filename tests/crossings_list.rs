//! The list of servers when two events coincide: agents that are silent or reset connections, stale or repeated
//! lists, changed agent addresses, and a drain or removal while an attempt is in flight.

mod scripted_agent;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dewladder_test_peers::{chunk, field, plain, Behavior, LatePeer, Peer, Server};
use scripted_agent::{
    http_response, list, server_entry, settings, status, RunningDispatcher, WatchedDispatcher, TEST_TIMEOUT,
};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Time limit for a change in discovery to be acted on: counted from the moment a watch falls silent, or, after
/// failed calls, from the moment discovery has the change and is reachable.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(6);
/// Time limit after SIGHUP for the list of a new agent to be in use.
const RELOAD_LIMIT: Duration = Duration::from_secs(4);

fn only_server(at: usize) -> BTreeSet<usize> {
    BTreeSet::from([at])
}

/// The drain happens right after the only open watch has fallen silent. Discovery itself is up: a new call is
/// answered. The dispatcher has to notice the silence and ask again, so that the drain is acted on within 6 s
/// of it.
#[tokio::test]
async fn a_drain_behind_a_silent_watch_is_acted_on_within_six_seconds() {
    let (fixture, _silent) = WatchedDispatcher::start().await;
    let start = Instant::now();
    assert_eq!(fixture.servers_used(1).await.len(), 2, "both servers receive requests before the drain");
    let (mut line, from) = fixture.next_connection(DISCOVERY_LIMIT).await;
    assert_eq!(from, Some(1), "the known revision stays");
    line.says(&http_response(&fixture.list(2, false, "draining"))).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    assert!(start.elapsed() < DISCOVERY_LIMIT, "{:?}", start.elapsed());
    assert_eq!(fixture.servers_used(2).await, only_server(1));
}

/// The watch falls silent in the middle of the response that reports the drain: nothing of that response is
/// applied, and the drain is acted on within 6 s.
#[tokio::test]
async fn a_drain_in_a_truncated_response_is_acted_on_within_six_seconds() {
    let (fixture, mut silent) = WatchedDispatcher::start().await;
    let start = Instant::now();
    let served_list = http_response(&fixture.list(2, false, "draining"));
    silent.says(&served_list[..served_list.len() - 40]).await.unwrap();
    let (mut line, from) = fixture.next_connection(DISCOVERY_LIMIT).await;
    assert_eq!(from, Some(1), "a truncated response is not applied");
    assert_eq!(fixture.dispatcher.ready(), 2);
    line.says(&served_list).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    assert!(start.elapsed() < DISCOVERY_LIMIT, "{:?}", start.elapsed());
    assert_eq!(fixture.servers_used(1).await, only_server(1));
}

/// The watch breaks before the response head, within it, in mid-body, and by an end before the announced
/// `Content-Length`. Each time the old list stays in use and the same change is requested again; it is applied
/// once it arrives whole.
#[tokio::test]
async fn a_response_that_breaks_off_anywhere_is_requested_again_and_not_applied() {
    let (fixture, mut line) = WatchedDispatcher::start().await;
    let served_list = http_response(&fixture.list(2, false, "draining"));
    let head = served_list.find("\r\n\r\n").unwrap();
    // The last response holds the whole list and is yet shorter than its `Content-Length`.
    let short = served_list.replacen("\r\n\r\n", "\r\nX-More: y\r\n\r\n", 1);
    let short = short.replacen("Content-Length: ", "Content-Length: 1", 1);
    for (part, resets) in [
        ("", true),
        ("", false),
        (&served_list[..head / 2], true),
        (&served_list[..head / 2], false),
        (&served_list[..head + 20], true),
        (&served_list[..head + 20], false),
        (&served_list[..served_list.len() - 1], true),
        (&served_list[..served_list.len() - 1], false),
        (&short[..], true),
        (&short[..], false),
    ] {
        line.says(part).await.unwrap();
        if resets {
            line.resets();
        } else {
            drop(line);
        }
        let (next, from) = fixture.next_connection(DISCOVERY_LIMIT).await;
        assert_eq!((from, fixture.dispatcher.ready()), (Some(1), 2), "{part:?}, {resets}");
        line = next;
    }
    line.says(&served_list).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    assert_eq!(fixture.servers_used(1).await, only_server(1));
}

/// A whole list arrives where a delta was requested: servers that it does not name are removed, and those that
/// it names are taken as listed.
#[tokio::test]
async fn a_whole_list_in_place_of_a_delta_replaces_the_list() {
    let (fixture, mut line) = WatchedDispatcher::start().await;
    let third = Server::start(Behavior::Stream(1)).await;
    let entries = [server_entry(third.address, 3, "up"), server_entry(fixture.servers[1].address, 2, "up")];
    line.says(&http_response(&list(5, true, &entries))).await.unwrap();
    let (mut line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(5));
    assert_eq!(fixture.servers_used(1).await, only_server(1), "the first server is removed");
    assert!(third.posts() > 0, "the third server receives requests");
    // A delta to that list, and then the whole list again with the same revision when the hold time ends.
    line.says(&http_response(&list(6, false, &[server_entry(third.address, 3, "draining")]))).await.unwrap();
    let (mut line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(6));
    let entries =
        [server_entry(third.address, 3, "draining"), server_entry(fixture.servers[1].address, 2, "up")];
    line.says(&http_response(&list(6, true, &entries))).await.unwrap();
    let (_line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(6));
    let before = third.posts();
    assert_eq!(fixture.servers_used(2).await, only_server(1));
    assert_eq!(third.posts(), before, "a draining server receives no new requests");
}

/// A delta with an older revision than the known one reports a server `up` that drains by now. It is ignored,
/// and the next call asks from the newer revision.
#[tokio::test]
async fn an_older_delta_does_not_undo_a_newer_one() {
    let (fixture, mut line) = WatchedDispatcher::start().await;
    line.says(&http_response(&fixture.list(3, false, "draining"))).await.unwrap();
    let (mut line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(3));
    line.says(&http_response(&fixture.list(2, false, "up"))).await.unwrap();
    let (_line, from) = fixture.watch(line).await;
    assert_eq!(fixture.servers_used(1).await, only_server(1), "a draining server receives no new requests");
    assert_eq!(from, Some(3));
}

/// A whole list with an older revision than the known one is ignored, like an older delta.
#[tokio::test]
async fn an_older_whole_list_does_not_undo_a_newer_delta() {
    let (fixture, mut line) = WatchedDispatcher::start().await;
    line.says(&http_response(&fixture.list(3, false, "draining"))).await.unwrap();
    let (mut line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(3));
    line.says(&http_response(&fixture.list(2, true, "up"))).await.unwrap();
    let (_line, from) = fixture.watch(line).await;
    assert_eq!(fixture.servers_used(1).await, only_server(1), "a draining server receives no new requests");
    assert_eq!(from, Some(3));
}

/// Lists arrive indented, byte by byte, in chunks of one character with extensions and trailers, in pieces,
/// with a two-byte character, and ended by the close of the connection: each is applied like any other.
#[tokio::test]
async fn indented_and_split_lists_are_applied() {
    let (fixture, mut line) = WatchedDispatcher::start().await;
    let mut revision = 1;
    for form in 0..6 {
        for (phase, ready) in [("draining", 1), ("up", 2)] {
            revision += 1;
            let mut served_list = fixture.list(revision, form % 2 == 0, phase);
            served_list["members"][0]["locality"] = json!("Ä");
            let text = format!("\r\n\t{}\n\n", serde_json::to_string_pretty(&served_list).unwrap());
            let whole = plain(200, "Content-Type: application/json\r\n", &text);
            let ends = match form {
                0 | 1 => {
                    for at in 0..whole.len() {
                        // One byte per write, but both bytes of the two-byte letter in one.
                        if whole.is_char_boundary(at) {
                            let end =
                                (at + 1..=whole.len()).find(|&end| whole.is_char_boundary(end)).unwrap();
                            line.says(&whole[at..end]).await.unwrap();
                            tokio::task::yield_now().await;
                        }
                    }
                    false
                }
                2 | 3 => {
                    line.says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Last\r\n\r\n")
                        .await
                        .unwrap();
                    for letter in text.chars() {
                        let piece = chunk(&letter.to_string()).replacen("\r\n", ";note=\"a\"\r\n", 1);
                        line.says(&piece).await.unwrap();
                    }
                    line.says("0\r\nX-Last: y\r\n\r\n").await.unwrap();
                    false
                }
                4 => {
                    for piece in whole.split_inclusive(['\n', ',', ':']) {
                        line.says(piece).await.unwrap();
                        sleep(Duration::from_millis(1)).await;
                    }
                    false
                }
                _ => {
                    line.says(&format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}")).await.unwrap();
                    line.ends().await;
                    true
                }
            };
            fixture
                .dispatcher
                .wait_for_ready(ready, TEST_TIMEOUT)
                .await
                .unwrap_or_else(|description| panic!("form {form}, {phase}: {description}"));
            if ends {
                let (next, from) = fixture.next_connection(TEST_TIMEOUT).await;
                assert_eq!(from, Some(revision));
                line = next;
            } else {
                let (next, from) = fixture.watch(line).await;
                assert_eq!(from, Some(revision), "form {form}");
                line = next;
            }
        }
    }
    assert_eq!(fixture.servers_used(1).await.len(), 2);
}

/// A list with entries and fields in another order, with unknown fields, and with one entry in an unknown
/// phase: the other entries are applied.
#[tokio::test]
async fn order_unknown_fields_and_unknown_phases_leave_the_rest_of_a_list_as_it_is() {
    let (fixture, mut line) = WatchedDispatcher::start().await;
    let [first, second] = fixture.servers.each_ref().map(|server| server.address);
    let text = format!(
        "{{\"a\":[{{}}],\"members\":[\
         {{\"id\":\"s-00000003\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"both\",\"cell\":1,\"phase\":\"asleep\",\"size\":1.0,\"up_since_ms\":0}},\
         {{\"up_since_ms\":0,\"size\":1,\"phase\":\"up\",\"cell\":1,\"b\":null,\"flavor\":\"both\",\"locality\":\"a\",\"host_port\":\"{second}\",\"id\":\"s-00000002\"}},\
         {{\"phase\":\"draining\",\"id\":\"s-00000001\",\"c\":{{\"phase\":\"up\"}},\"host_port\":\"{first}\",\"flavor\":\"both\"}}\
         ],\"complete\":true,\"z\":1e3,\"revision\":2}}"
    );
    line.says(&plain(200, "", &text)).await.unwrap();
    let (_line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(2));
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    assert_eq!(fixture.servers_used(1).await, only_server(1));
}

/// How an agent treats calls while it is reachable or out of reach.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AgentBehavior {
    /// Calls are answered with the list, or with an empty delta when the hold time ends without a change.
    Answers,
    /// Calls are accepted and left without a response. They get none after a switch to another behavior either.
    Hangs,
    /// Calls are accepted, and their connections reset.
    Resets,
    /// The listening socket is closed, so that new connections are refused; open calls are reset.
    Refuses,
    /// Calls are answered with 500.
    Fails,
}

/// An agent whose behavior and list the test switches, and that records when it was called and with which
/// target.
struct SwitchableAgent {
    address: SocketAddr,
    state: watch::Sender<(AgentBehavior, Value)>,
    calls: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl SwitchableAgent {
    async fn start(behavior: AgentBehavior, served_list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (state, mut states) = watch::channel((behavior, served_list));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let log = calls.clone();
        tokio::spawn(async move {
            let mut listener = Some(listener);
            loop {
                let refuses = states.borrow_and_update().0 == AgentBehavior::Refuses;
                if refuses {
                    drop(listener.take());
                    let _ = states.wait_for(|(behavior, _)| *behavior != AgentBehavior::Refuses).await;
                    continue;
                }
                if listener.is_none() {
                    listener = Some(TcpListener::bind(address).await.unwrap());
                }
                tokio::select! {
                    taken = listener.as_ref().unwrap().accept() => {
                        let stream = taken.unwrap().0;
                        tokio::spawn(Self::serve(stream, states.clone(), log.clone()));
                    }
                    changed = states.changed() => if changed.is_err() { return },
                }
            }
        });
        Self { address, state, calls }
    }

    async fn serve(
        mut stream: TcpStream,
        mut states: watch::Receiver<(AgentBehavior, Value)>,
        log: Arc<Mutex<Vec<(Instant, String)>>>,
    ) {
        let mut read = Vec::new();
        loop {
            while !read.windows(4).any(|window| window == b"\r\n\r\n") {
                if !matches!(stream.read_buf(&mut read).await, Ok(1..)) {
                    return;
                }
            }
            let head = String::from_utf8(std::mem::take(&mut read)).unwrap();
            let line = head.split(' ').nth(1).unwrap().to_owned();
            log.lock().unwrap().push((Instant::now(), line.clone()));
            let number = |name: &str| {
                let (_, rest) = line.split_once(name)?;
                rest.split('&').next()?.parse::<u64>().ok()
            };
            let (from, hold) = (number("from="), Duration::from_millis(number("hold_ms=").unwrap_or(0)));
            // The response is sent at once if there is something newer, else once there is, or when the hold
            // time ends.
            let newer = |(behavior, served_list): &(AgentBehavior, Value)| {
                *behavior != AgentBehavior::Answers
                    || from.is_none_or(|from| served_list["revision"].as_u64() > Some(from))
            };
            let _ = timeout(hold, states.wait_for(newer)).await;
            let (behavior, served_list) = states.borrow_and_update().clone();
            let text = match behavior {
                AgentBehavior::Answers if newer(&(behavior, served_list.clone())) => {
                    http_response(&served_list)
                }
                AgentBehavior::Answers => http_response(&list(from.unwrap_or(0), false, &[])),
                AgentBehavior::Fails => plain(500, "", "down"),
                AgentBehavior::Resets | AgentBehavior::Refuses => {
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                AgentBehavior::Hangs => {
                    // This connection gets no response any more, even after a switch to another behavior.
                    let _ = stream.read_buf(&mut read).await;
                    return;
                }
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Switches to this behavior and this list, for open calls too.
    fn now(&self, behavior: AgentBehavior, served_list: &Value) {
        self.state.send_replace((behavior, served_list.clone()));
    }

    /// The number of calls so far.
    fn asked(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    /// Waits until the agent was called this often in all; panics if it was not within this time.
    async fn wait_until_asked(&self, count: usize, within: Duration) {
        let start = Instant::now();
        while self.asked() < count {
            assert!(start.elapsed() < within, "{} calls within {within:?}, not {count}", self.asked());
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A dispatcher with two servers, both known from the configuration, and an agent that can be out of reach.
struct AgentOutage {
    servers: [Server; 2],
    discovery_agent: SwitchableAgent,
    dispatcher: RunningDispatcher,
}

impl AgentOutage {
    async fn start(behavior: AgentBehavior, change: impl FnOnce(&mut Value)) -> Self {
        let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
        let served_list = Self::served_list(&servers, 1, "up");
        let discovery_agent = SwitchableAgent::start(behavior, served_list.clone()).await;
        let mut config = settings(discovery_agent.address, &served_list);
        change(&mut config);
        let dispatcher = RunningDispatcher::start(&config);
        Self { servers, discovery_agent, dispatcher }
    }

    /// The whole list with the first server in this phase and the second one up.
    fn served_list(servers: &[Server; 2], revision: u64, phase: &str) -> Value {
        list(
            revision,
            true,
            &[server_entry(servers[0].address, 1, phase), server_entry(servers[1].address, 2, "up")],
        )
    }

    /// Switches the agent to this behavior, and to a list with the first server in this phase.
    fn now(&self, behavior: AgentBehavior, revision: u64, phase: &str) {
        self.discovery_agent.now(behavior, &Self::served_list(&self.servers, revision, phase));
    }
}

/// The agent becomes reachable again with a drain, after calls that were refused, reset or answered 500. The
/// drain is acted on within 0.4 s, which requires short pauses between the calls throughout the outage.
#[tokio::test]
async fn after_failing_calls_a_change_is_acted_on_as_soon_as_the_agent_answers() {
    for behavior in [AgentBehavior::Refuses, AgentBehavior::Resets, AgentBehavior::Fails] {
        let fixture = AgentOutage::start(AgentBehavior::Answers, |_| ()).await;
        fixture.discovery_agent.wait_until_asked(2, TEST_TIMEOUT).await;
        fixture.now(behavior, 1, "up");
        sleep(Duration::from_millis(700)).await;
        assert_eq!(fixture.dispatcher.ready(), 2, "the old list stays in use");
        fixture.now(AgentBehavior::Answers, 2, "draining");
        let took = fixture
            .dispatcher
            .wait_for_ready(1, DISCOVERY_LIMIT)
            .await
            .unwrap_or_else(|description| panic!("{behavior:?}: {description}"));
        println!("{behavior:?}: acted on {took:?} after the agent answers again");
        assert!(took < Duration::from_millis(400), "{behavior:?}: {took:?}");
    }
}

/// The agent becomes reachable again with a drain after calls that it left hanging and never answers: only a
/// new call gets a response. The agent runs on the same machine and frequent calls cost nobody anything, so
/// that a silent agent can be asked in short intervals; the drain is acted on within 1.5 s.
#[tokio::test]
async fn after_hanging_calls_a_change_is_acted_on_as_soon_as_the_agent_answers() {
    let fixture = AgentOutage::start(AgentBehavior::Answers, |_| ()).await;
    fixture.discovery_agent.wait_until_asked(2, TEST_TIMEOUT).await;
    fixture.now(AgentBehavior::Hangs, 1, "up");
    // The dispatcher has noticed the silence: it has called again, and that call hangs too.
    fixture.discovery_agent.wait_until_asked(3, DISCOVERY_LIMIT).await;
    fixture.now(AgentBehavior::Answers, 2, "draining");
    let took = fixture.dispatcher.wait_for_ready(1, Duration::from_millis(1_500)).await;
    println!("hanging calls: acted on {took:?} after the agent answers again");
    took.unwrap();
}

/// The agent is silent from the start, and the dispatcher serves with the known list of its configuration. Once
/// the agent answers, its list is in use within 1.5 s.
#[tokio::test]
async fn an_agent_that_was_silent_from_the_start_is_noticed_once_it_answers() {
    let fixture = AgentOutage::start(AgentBehavior::Hangs, |_| ()).await;
    fixture.discovery_agent.wait_until_asked(2, DISCOVERY_LIMIT).await;
    assert_eq!(
        status(&fixture.dispatcher.request("01", "ask", "0.900").await),
        200,
        "served with the known list"
    );
    fixture.now(AgentBehavior::Answers, 2, "draining");
    let took = fixture.dispatcher.wait_for_ready(1, Duration::from_millis(1_500)).await;
    println!("silent from the start: acted on {took:?} after the agent answers");
    took.unwrap();
}

/// The agent answers a call that hung for 1.5 s, with a drain: it is acted on within 0.25 s.
#[tokio::test]
async fn a_late_response_to_a_hanging_call_is_acted_on_at_once() {
    let (fixture, mut open_watch) = WatchedDispatcher::start().await;
    sleep(Duration::from_millis(1_500)).await;
    open_watch.says(&http_response(&fixture.list(2, true, "draining"))).await.unwrap();
    let took = fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    assert!(took < Duration::from_millis(250), "{took:?}");
    assert_eq!(fixture.servers_used(1).await, only_server(1));
}

/// With `"discovery": "subscribe"` and 100 balancers, calls are spaced out after a failure. A change is still
/// acted on within 6 s of the moment when discovery has it and is reachable, back-off and jitter included.
#[tokio::test]
async fn in_subscribe_mode_a_change_is_acted_on_within_six_seconds_of_failing_calls() {
    let fixture = AgentOutage::start(AgentBehavior::Resets, |config| {
        config["settings"]["discovery"] = json!("subscribe");
        config["settings"]["balancers"] = json!(100);
    })
    .await;
    fixture.discovery_agent.wait_until_asked(1, TEST_TIMEOUT).await;
    let start = Instant::now();
    fixture.now(AgentBehavior::Answers, 2, "draining");
    fixture.dispatcher.wait_for_ready(1, DISCOVERY_LIMIT).await.unwrap();
    println!("subscribe mode: acted on {:?} after the agent answers again", start.elapsed());
}

/// The same limit in subscribe mode after a call for the whole list that was left hanging: this call has no
/// hold time, as no list is known.
#[tokio::test]
async fn in_subscribe_mode_a_change_is_acted_on_within_six_seconds_of_a_hanging_call() {
    let fixture = AgentOutage::start(AgentBehavior::Hangs, |config| {
        config["settings"]["discovery"] = json!("subscribe");
        config["settings"]["balancers"] = json!(100);
        config.as_object_mut().unwrap().remove("known");
    })
    .await;
    fixture.discovery_agent.wait_until_asked(1, TEST_TIMEOUT).await;
    fixture.now(AgentBehavior::Answers, 2, "draining");
    fixture.dispatcher.wait_for_ready(1, DISCOVERY_LIMIT).await.unwrap();
}

/// SIGHUP sets a new agent address while a call is open at the old agent: that call is dropped, the whole list
/// is requested from the new agent at once, and later responses of the old one are ignored.
#[tokio::test]
async fn a_new_agent_address_drops_the_open_call_and_requests_the_list_there() {
    let (mut fixture, mut old) = WatchedDispatcher::start().await;
    let new = Peer::start().await;
    let mut config = fixture.config.clone();
    config["discovery"] = json!(new.address);
    fixture.dispatcher.sighup("list-new-address", &config.to_string());
    let (mut line, asked) = timeout(RELOAD_LIMIT, new.asked()).await.expect("no call at the new address");
    assert_eq!(
        scripted_agent::from(&asked),
        None,
        "revisions of the old agent do not apply to the new one: {}",
        asked.head
    );
    let _ = timeout(TEST_TIMEOUT, old.rest()).await.expect("the open call was not dropped");
    let _ = old.says(&http_response(&fixture.list(9, false, "removed"))).await; // fails, as the connection is closed
    line.says(&http_response(&fixture.list(1, true, "draining"))).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    let (_line, from) = scripted_agent::next_call(&new, line).await;
    assert_eq!(from, Some(1));
    assert_eq!(fixture.servers_used(1).await, only_server(1));
}

/// A response of the old agent and SIGHUP with a new agent address coincide: whichever is handled first, the
/// new agent's list is in use in the end.
#[tokio::test]
async fn a_response_of_the_old_agent_does_not_outlast_the_new_agents_list() {
    for first in [true, false] {
        let (mut fixture, mut old) = WatchedDispatcher::start().await;
        let new = Peer::start().await;
        let mut config = fixture.config.clone();
        config["discovery"] = json!(new.address);
        let served_list = http_response(&fixture.list(50, true, "up"));
        if first {
            old.says(&served_list).await.unwrap();
        }
        fixture.dispatcher.sighup(&format!("list-crosses-{first}"), &config.to_string());
        if !first {
            let _ = old.says(&served_list).await; // may fail, as the connection may be closed by now
        }
        let (mut line, asked) = timeout(RELOAD_LIMIT, new.asked()).await.expect("no call at the new address");
        assert_eq!(scripted_agent::from(&asked), None, "{}", asked.head);
        line.says(&http_response(&fixture.list(3, true, "draining"))).await.unwrap();
        let (_line, from) = scripted_agent::next_call(&new, line).await;
        assert_eq!(from, Some(3), "the watch goes on from the revision of the new agent");
        fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
        assert_eq!(fixture.servers_used(1).await, only_server(1));
    }
}

/// SIGHUP sets another agent address while calls to the old agent fail, and the new agent leaves its first call
/// hanging: its list is in use within 4 s of SIGHUP.
#[tokio::test]
async fn a_new_agent_address_is_used_while_calls_fail_and_a_hanging_first_call_is_repeated() {
    let (mut fixture, line) = WatchedDispatcher::start().await;
    line.resets();
    let (failing, _) = fixture.next_connection(TEST_TIMEOUT).await;
    let new = Peer::start().await;
    let mut config = fixture.config.clone();
    config["discovery"] = json!(new.address);
    failing.resets();
    let start = Instant::now();
    fixture.dispatcher.sighup("list-failing", &config.to_string());
    let (_hung, _) = timeout(RELOAD_LIMIT, new.asked()).await.expect("no call at the new address");
    let (mut line, _) = timeout(RELOAD_LIMIT, new.asked()).await.expect("no second call at the new address");
    line.says(&http_response(&fixture.list(2, true, "draining"))).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    assert!(start.elapsed() < RELOAD_LIMIT, "{:?}", start.elapsed());
}

/// SIGHUP sets the same agent address again: the dispatcher may call again or keep the open call, and a drain
/// that is sent on whichever call is open then is acted on.
#[tokio::test]
async fn a_reload_with_the_same_agent_address_loses_no_change() {
    let (mut fixture, line) = WatchedDispatcher::start().await;
    let config = fixture.config.to_string();
    fixture.dispatcher.sighup("list-same", &config);
    let mut open = match timeout(Duration::from_secs(1), fixture.agent.asked()).await {
        Ok((next_connection, _)) => next_connection,
        Err(_) => line,
    };
    open.says(&http_response(&fixture.list(2, true, "draining"))).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, RELOAD_LIMIT).await.unwrap();
    assert_eq!(fixture.servers_used(1).await, only_server(1));
    assert_eq!(fixture.watch(open).await.1, Some(2));
}

/// Two SIGHUPs in a row, the second before the first had any effect: the address of the last file is used, and
/// the agent of the first one is not watched any more.
#[tokio::test]
async fn after_two_reloads_in_a_row_the_last_agent_address_is_watched() {
    let (mut fixture, mut old) = WatchedDispatcher::start().await;
    let (between, last) = (
        SwitchableAgent::start(AgentBehavior::Answers, fixture.list(7, true, "up")).await,
        Peer::start().await,
    );
    for (turn, at) in [between.address, last.address].into_iter().enumerate() {
        let mut config = fixture.config.clone();
        config["discovery"] = json!(at);
        fixture.dispatcher.sighup(&format!("list-two-{turn}"), &config.to_string());
    }
    let (mut line, asked) = timeout(RELOAD_LIMIT, last.asked()).await.expect("no call at the last address");
    assert_eq!(scripted_agent::from(&asked), None, "{}", asked.head);
    let _ = timeout(TEST_TIMEOUT, old.rest()).await.expect("the open call was not dropped");
    line.says(&http_response(&fixture.list(1, true, "draining"))).await.unwrap();
    let (_line, from) = scripted_agent::next_call(&last, line).await;
    assert_eq!(from, Some(1));
    between.now(AgentBehavior::Answers, &fixture.list(8, true, "up"));
    assert_eq!(fixture.servers_used(1).await, only_server(1));
    assert_eq!(fixture.dispatcher.health.figures().record().reloads, 2);
}

/// SIGHUP with an invalid file while a call is open: the call stays open, and its response is applied.
#[tokio::test]
async fn an_invalid_configuration_leaves_the_open_call_in_place() {
    let (mut fixture, mut line) = WatchedDispatcher::start().await;
    let mut moved = fixture.config.clone();
    moved["discovery"] = json!("127.0.0.1:9");
    moved["settings"]["limits"]["max_attempts"] = json!(0);
    let whole = fixture.config.to_string();
    for text in ["", &whole[..whole.len() / 2], &moved.to_string()] {
        fixture.dispatcher.sighup("list-broken", text);
    }
    assert_eq!(fixture.dispatcher.health.figures().record().reload_errors, 3);
    line.says(&http_response(&fixture.list(2, false, "draining"))).await.unwrap();
    fixture.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
    let (_line, from) = fixture.watch(line).await;
    assert_eq!(from, Some(2), "on the same connection");
    assert_eq!(fixture.servers_used(1).await, only_server(1));
}

/// A server is chosen, and the connection to it is not established yet; then the list reports it as draining or
/// removed; then the connection is established. The change stops the send: not one byte of the request is
/// written there, and since the attempt never ran, another server gets it.
async fn run_late_connection_case(phase: &str) {
    let late = LatePeer::start().await;
    let agent = Peer::start().await;
    let up = server_entry(late.address, 1, "up");
    let mut config = settings(agent.address, &list(1, true, std::slice::from_ref(&up)));
    config["settings"]["limits"]["connect_timeout_s"] = json!(3.0);
    (0..2).for_each(|class| config["settings"]["lanes"][class]["aim_s"] = json!(4.0));
    let dispatcher = RunningDispatcher::start(&config);
    let mut line = scripted_agent::served_list(&agent, &list(1, true, &[up])).await;
    let other = Server::start(Behavior::Stream(1)).await;
    let request_text = dewladder_test_peers::platform("0a", "book", "4.000");
    let to = dispatcher.platform;
    let request_task =
        tokio::spawn(async move { dewladder_test_peers::until_close(to, &request_text).await });
    while dispatcher.health.figures().open() == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    let update = [server_entry(late.address, 1, phase), server_entry(other.address, 2, "up")];
    line.says(&http_response(&list(2, false, &update))).await.unwrap();
    let _line = scripted_agent::next_call(&agent, line).await;
    let peer = late.opens().await;
    // The connection may still be established; the check is that nothing is written on it.
    let written = timeout(Duration::from_secs(3), async {
        let mut late = peer.accept().await;
        late.message().await
    });
    if let Ok(Some(message)) = written.await {
        panic!("request sent to a server in phase {phase}: {}", message.head);
    }
    let reply =
        timeout(TEST_TIMEOUT, request_task).await.expect("no response within the time limit").unwrap();
    assert_eq!((status(&reply), other.posts()), (200, 1), "{reply}");
}

#[tokio::test]
async fn a_drain_before_the_connection_is_established_stops_the_send() {
    run_late_connection_case("draining").await;
}

#[tokio::test]
async fn a_removal_before_the_connection_is_established_stops_the_send() {
    run_late_connection_case("removed").await;
}

/// A server returns under its id, with a new address and a new start time, while an attempt is in flight at the
/// old address; then the old connection breaks. A request that may repeat is sent again to the new address; one
/// that must not run twice is not.
#[tokio::test]
async fn a_server_that_returns_under_its_id_receives_only_repeatable_requests_again() {
    for class in ["ask", "book"] {
        let (old, agent) = (Peer::start().await, Peer::start().await);
        let up = server_entry(old.address, 1, "up");
        let mut config = settings(agent.address, &list(1, true, std::slice::from_ref(&up)));
        (0..2).for_each(|class| config["settings"]["lanes"][class]["aim_s"] = json!(4.0));
        let dispatcher = RunningDispatcher::start(&config);
        let mut line = scripted_agent::served_list(&agent, &list(1, true, &[up])).await;
        let request_text = dewladder_test_peers::platform("0b", class, "4.000");
        let to = dispatcher.platform;
        let request_task =
            tokio::spawn(async move { dewladder_test_peers::until_close(to, &request_text).await });
        let (sent, _) = old.asked().await;
        let new = Server::start(Behavior::Stream(1)).await;
        let mut back = server_entry(new.address, 1, "up");
        back["up_since_ms"] = json!(1_700_000_000_000u64);
        line.says(&http_response(&list(2, false, &[back]))).await.unwrap();
        let _line = scripted_agent::next_call(&agent, line).await;
        assert_eq!(new.posts(), 0, "the attempt is still in flight");
        sent.resets();
        let reply =
            timeout(TEST_TIMEOUT, request_task).await.expect("no response within the time limit").unwrap();
        let expected = if class == "ask" { (200, 1) } else { (502, 0) };
        assert_eq!((status(&reply), new.posts()), expected, "{class}: {reply}");
        assert_eq!(
            status(&dispatcher.request("0c", class, "0.900").await),
            200,
            "the next request goes to the new address"
        );
    }
}

/// Discovery is down at the start. If the known list names servers that can serve, the dispatcher is ready
/// within 6 s without it; if not, it is not ready. Readiness is never reported while a request could not be
/// served.
#[tokio::test]
async fn readiness_is_reported_only_if_a_request_is_served() {
    let whole = Server::start(Behavior::Stream(1)).await;
    let (reader, writer) = (Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await);
    let [both, prefill, decode] = [
        server_entry(whole.address, 1, "up"),
        dewladder_test_peers::member(reader.address, 2, "prefill", "up"),
        dewladder_test_peers::member(writer.address, 3, "decode", "up"),
    ];
    let drains = server_entry(whole.address, 1, "draining");
    let mut failures = Vec::new();
    for (description, known, can_serve) in [
        ("a server that reads and writes", vec![both.clone()], true),
        ("a reader and a writer", vec![prefill.clone(), decode.clone()], true),
        ("no server", vec![], false),
        ("a draining server", vec![drains], false),
        ("a reader alone", vec![prefill], false),
        ("a writer alone", vec![decode], false),
    ] {
        let discovery_agent = SwitchableAgent::start(AgentBehavior::Hangs, list(0, true, &[])).await;
        let dispatcher = RunningDispatcher::start(&settings(discovery_agent.address, &list(1, true, &known)));
        discovery_agent.wait_until_asked(1, TEST_TIMEOUT).await;
        // The limit of 6 s applies with discovery down as well.
        let start = Instant::now();
        let mut ready = dispatcher.readiness().await;
        while can_serve && ready != 200 && start.elapsed() < DISCOVERY_LIMIT {
            sleep(Duration::from_millis(10)).await;
            ready = dispatcher.readiness().await;
        }
        let served = status(&dispatcher.request("0d", "ask", "0.900").await);
        if (ready == 200, served == 200) != (can_serve, can_serve) {
            failures.push(format!("{description}: readiness status {ready}, a request gets {served}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// No list is known at the start and discovery is down: the dispatcher becomes ready only once discovery is
/// back and has sent a list.
#[tokio::test]
async fn without_a_known_list_the_dispatcher_is_ready_once_discovery_has_sent_one() {
    let fixture = AgentOutage::start(AgentBehavior::Refuses, |config| {
        config.as_object_mut().unwrap().remove("known");
    })
    .await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(fixture.dispatcher.readiness().await, 503);
    fixture.now(AgentBehavior::Answers, 1, "up");
    fixture.dispatcher.wait_for_ready(2, DISCOVERY_LIMIT).await.unwrap();
    assert_eq!(fixture.dispatcher.readiness().await, 200);
    fixture.now(AgentBehavior::Answers, 2, "removed");
    fixture.dispatcher.wait_for_ready(1, DISCOVERY_LIMIT).await.unwrap();
    assert_eq!(status(&fixture.dispatcher.request("0e", "ask", "0.900").await), 200);
}

/// A state is held at a reader and waits for a writer when SIGHUP shortens the time for which it may be held.
/// The new limit applies to that state too: it is released, and the client is refused with a `Retry-After`
/// within the new limit.
#[tokio::test]
async fn a_shorter_hold_time_applies_to_a_state_that_is_already_held() {
    let reader = Server::start(Behavior::Read).await;
    let agent = Peer::start().await;
    let known = [dewladder_test_peers::member(reader.address, 1, "prefill", "up")];
    let mut config = settings(agent.address, &list(1, true, &known));
    config["settings"]["domain"]["release_within_s"] = json!(8.0);
    (0..2).for_each(|class| config["settings"]["lanes"][class]["aim_s"] = json!(4.0));
    let mut dispatcher = RunningDispatcher::start(&config);
    let request_text = dewladder_test_peers::platform("0f", "ask", "7.000");
    let to = dispatcher.platform;
    let request_task =
        tokio::spawn(async move { dewladder_test_peers::until_close(to, &request_text).await });
    let start = Instant::now();
    while reader.posts() == 0 {
        assert!(start.elapsed() < TEST_TIMEOUT, "the prompt was not read");
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(200)).await;
    assert!(!request_task.is_finished(), "the request ended although its state is held");
    config["settings"]["domain"]["release_within_s"] = json!(0.5);
    config["settings"]["limits"]["max_retry_after_s"] = json!(0.25);
    let start = Instant::now();
    dispatcher.sighup("list-held", &config.to_string());
    let reply =
        timeout(TEST_TIMEOUT, request_task).await.expect("no response within the new hold time").unwrap();
    assert!(start.elapsed() < Duration::from_millis(850), "{:?}", start.elapsed());
    let retry: f64 = field(&reply, "retry-after").expect("no Retry-After").parse().unwrap();
    assert!(status(&reply) == 503 && retry <= 0.25, "{reply}");
    while !reader.log().iter().any(|line| line.starts_with("DELETE")) {
        assert!(start.elapsed() < Duration::from_millis(850), "not released: {:?}", reader.log());
        sleep(Duration::from_millis(5)).await;
    }
}

/// SIGHUP allows a longer time while a state is held, and a writer appears after the old limit and within the
/// new one: the request is served.
#[tokio::test]
async fn a_longer_hold_time_applies_to_a_state_that_is_already_held() {
    let (reader, writer) = (Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await);
    let agent = Peer::start().await;
    let known = [dewladder_test_peers::member(reader.address, 1, "prefill", "up")];
    let mut config = settings(agent.address, &list(1, true, &known));
    config["settings"]["domain"]["release_within_s"] = json!(1.0);
    (0..2).for_each(|class| config["settings"]["lanes"][class]["aim_s"] = json!(4.0));
    let mut dispatcher = RunningDispatcher::start(&config);
    let open = scripted_agent::served_list(&agent, &list(1, true, &known)).await;
    let request_text = dewladder_test_peers::platform("10", "ask", "7.000");
    let to = dispatcher.platform;
    let request_task =
        tokio::spawn(async move { dewladder_test_peers::until_close(to, &request_text).await });
    let start = Instant::now();
    while reader.posts() == 0 {
        assert!(start.elapsed() < TEST_TIMEOUT, "the prompt was not read");
        sleep(Duration::from_millis(5)).await;
    }
    config["settings"]["domain"]["release_within_s"] = json!(6.0);
    dispatcher.sighup("list-held-longer", &config.to_string());
    // After SIGHUP the dispatcher requests the whole list again.
    let (mut line, from) = scripted_agent::next_call(&agent, open).await;
    assert_eq!(from, None);
    line.says(&http_response(&list(1, true, &known))).await.unwrap();
    let (mut line, _) = scripted_agent::next_call(&agent, line).await;
    sleep(Duration::from_millis(1_500)).await;
    assert!(!request_task.is_finished(), "the request ended although its state may still be held");
    let mut served_list = known.to_vec();
    served_list.push(dewladder_test_peers::member(writer.address, 2, "decode", "up"));
    line.says(&http_response(&list(2, true, &served_list))).await.unwrap();
    let reply =
        timeout(TEST_TIMEOUT, request_task).await.expect("no response within the time limit").unwrap();
    assert_eq!((status(&reply), reader.posts(), writer.posts()), (200, 1, 1), "{reply}");
}

/// The program as a child process, with a limit on its open descriptors (`ulimit -n`).
struct ServerProcess {
    child: Child,
    port: SocketAddr,
    admin: SocketAddr,
    folder: PathBuf,
}

impl ServerProcess {
    /// Starts the program with this configuration and at most this many descriptors, and waits until it serves.
    async fn start(name: &str, mut config: Value, descriptors: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        (config["listen"], config["admin_addr"]) = (json!(port), json!("127.0.0.1:0"));
        std::fs::write(folder.join("config.json"), config.to_string()).unwrap();
        let mut program = Command::new("/bin/sh");
        program.arg("-c").arg(format!("ulimit -n {descriptors}; exec \"$0\" serve --config config.json"));
        program.arg(env!("CARGO_BIN_EXE_dewladder")).env_clear().current_dir(&folder);
        let mut child = program.stderr(Stdio::piped()).kill_on_drop(true).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut admin = None;
        loop {
            let line = lines.next_line().await.unwrap().expect("the program ended during its start");
            if let Some((_, address)) = line.split_once("second address: ") {
                admin = address.parse().ok();
            }
            if line.contains("serving on") {
                break;
            }
        }
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Self { child, port, admin: admin.expect("no admin address was logged"), folder }
    }

    fn sighup(&self) {
        let id = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }

    /// A counter from the `STATS` of the admin address; `None` if there is no answer in time or no such
    /// counter.
    async fn metric(&self, name: &str) -> Option<u64> {
        let text =
            timeout(TEST_TIMEOUT, dewladder_test_peers::until_close(self.admin, "STATS\n")).await.ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_router.{name}:")))?;
        line.split('|').next()?.parse().ok()
    }
}

/// Discovery is down, and idle clients connect until no descriptor is left for more of them. The dispatcher
/// keeps descriptors for its own work: meanwhile a request is served and the admin address answers, and once
/// discovery is back its list is applied.
#[tokio::test]
async fn idle_clients_that_use_up_the_descriptors_block_neither_discovery_nor_the_admin_address() {
    for (descriptors, behavior) in [(96, AgentBehavior::Hangs), (192, AgentBehavior::Resets)] {
        let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
        let known = AgentOutage::served_list(&servers, 1, "up");
        let discovery_agent = SwitchableAgent::start(behavior, known.clone()).await;
        let mut config = settings(discovery_agent.address, &known);
        config["limits"]["sockets"] = json!(descriptors);
        let process =
            ServerProcess::start(&format!("list-descriptors-{descriptors}"), config, descriptors).await;
        let mut idle = Vec::new();
        for at in 0..2 * descriptors {
            let mut stream = TcpStream::connect(process.port).await.unwrap();
            // Some clients send nothing, others send the beginning of a request and stop.
            if at % 3 == 0 {
                let _ = stream.write_all(b"POST /v1").await; // may fail, as the connection may be closed by now
            }
            idle.push(stream);
        }
        assert_eq!(process.metric("members").await, Some(2), "the admin address answers");
        let id = format!("{descriptors:x}");
        let start = Instant::now();
        let mut reply = 0;
        while reply != 200 {
            assert!(start.elapsed() < TEST_TIMEOUT, "{descriptors} descriptors: a request gets {reply}");
            let request = dewladder_test_peers::platform(
                &format!("{id}{:x}", start.elapsed().as_micros()),
                "ask",
                "0.900",
            );
            reply = status(&dewladder_test_peers::until_close(process.port, &request).await);
        }
        // Discovery comes back, with a third server in place of the first two.
        let third = Server::start(Behavior::Stream(1)).await;
        let back = Instant::now();
        discovery_agent.now(AgentBehavior::Answers, &list(2, true, &[server_entry(third.address, 3, "up")]));
        while process.metric("members").await != Some(1) {
            assert!(back.elapsed() < DISCOVERY_LIMIT, "{descriptors} descriptors: the list is not applied");
            sleep(Duration::from_millis(20)).await;
        }
        println!(
            "{descriptors} descriptors: the list was applied {:?} after discovery came back",
            back.elapsed()
        );
        while third.posts() == 0 {
            assert!(
                back.elapsed() < DISCOVERY_LIMIT,
                "{descriptors} descriptors: the third server receives no request"
            );
            let request = dewladder_test_peers::platform(
                &format!("{id}b{:x}", back.elapsed().as_micros()),
                "ask",
                "0.900",
            );
            dewladder_test_peers::until_close(process.port, &request).await;
        }
        assert!(dewladder_test_peers::until_close(process.admin, "READY\n").await.starts_with("OK"));
    }
}

/// Two SIGHUPs at once, each with a file of its own: the last file applies, and only its agent is watched in
/// the end.
#[tokio::test]
async fn after_two_signals_at_once_the_last_configuration_applies() {
    let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
    let known = AgentOutage::served_list(&servers, 1, "up");
    let discovery_agents = [
        SwitchableAgent::start(AgentBehavior::Answers, known.clone()).await,
        SwitchableAgent::start(AgentBehavior::Answers, known.clone()).await,
        SwitchableAgent::start(AgentBehavior::Answers, AgentOutage::served_list(&servers, 1, "removed"))
            .await,
    ];
    let mut config = settings(discovery_agents[0].address, &known);
    let process = ServerProcess::start("list-two-signals", config.clone(), 256).await;
    (config["listen"], config["admin_addr"]) = (json!(process.port), json!("127.0.0.1:0"));
    for discovery_agent in &discovery_agents[1..] {
        config["discovery"] = json!(discovery_agent.address);
        // The file is moved into place as a whole: a signal may find either file, never half of one.
        std::fs::write(process.folder.join("next.json"), config.to_string()).unwrap();
        std::fs::rename(process.folder.join("next.json"), process.folder.join("config.json")).unwrap();
        process.sighup();
    }
    discovery_agents[2].wait_until_asked(2, RELOAD_LIMIT).await;
    let start = Instant::now();
    while process.metric("members").await != Some(1) {
        assert!(start.elapsed() < RELOAD_LIMIT);
        sleep(Duration::from_millis(10)).await;
    }
    discovery_agents[0].now(AgentBehavior::Answers, &AgentOutage::served_list(&servers, 9, "up"));
    discovery_agents[1].now(AgentBehavior::Answers, &AgentOutage::served_list(&servers, 9, "up"));
    discovery_agents[2].now(AgentBehavior::Answers, &list(2, true, &[]));
    let start = Instant::now();
    while process.metric("members").await != Some(0) {
        assert!(start.elapsed() < TEST_TIMEOUT, "the last agent is not watched");
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(process.metric("config_reload_errors").await, Some(0));
}
