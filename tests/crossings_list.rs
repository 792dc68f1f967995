//! The list of servers where two events cross: silence, resets, older news, other addresses, and a drain that comes
//! while an attempt is on its way.

mod listed;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dewladder_test_peers::{chunk, field, plain, Behavior, LatePeer, Peer, Server};
use listed::{answer, entry, list, settings, status, Running, Watched, SOON};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// What discovery has to tell counts as told so long after a watch fell silent, and so long after it had it and could
/// be reached where a call failed before.
const TOLD: Duration = Duration::from_secs(6);
/// After SIGHUP the new agent's news counts so much later.
const AFTER_HANGUP: Duration = Duration::from_secs(4);

fn only(at: usize) -> BTreeSet<usize> {
    BTreeSet::from([at])
}

/// A watch falls silent right after it was opened, and the drain comes right then. All open watches are silent, yet
/// discovery is up: a new call is answered. What the silent one misses counts as told 6 s after it fell silent.
#[tokio::test]
async fn a_drain_behind_a_silent_watch_is_acted_on_within_six_seconds() {
    let (all, _silent) = Watched::start().await;
    let start = Instant::now();
    assert_eq!(all.takers(1).await.len(), 2, "both take work before");
    let (mut line, from) = all.anew(TOLD).await;
    assert_eq!(from, Some(1), "what it knows still stands");
    line.says(&answer(&all.list(2, false, "draining"))).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
    assert!(start.elapsed() < TOLD, "{:?}", start.elapsed());
    assert_eq!(all.takers(2).await, only(1));
}

/// The watch falls silent in the middle of the answer that tells of the drain.
#[tokio::test]
async fn a_drain_whose_telling_stops_halfway_is_acted_on_within_six_seconds() {
    let (all, mut silent) = Watched::start().await;
    let start = Instant::now();
    let told = answer(&all.list(2, false, "draining"));
    silent.says(&told[..told.len() - 40]).await.unwrap();
    let (mut line, from) = all.anew(TOLD).await;
    assert_eq!(from, Some(1), "half an answer is none");
    assert_eq!(all.site.ready(), 2);
    line.says(&told).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
    assert!(start.elapsed() < TOLD, "{:?}", start.elapsed());
    assert_eq!(all.takers(1).await, only(1));
}

/// The watch breaks before the head, in it, in mid-body, and by an end before the length that was told; each time the
/// old list stands, the same news is asked for again, and it is taken once it comes whole.
#[tokio::test]
async fn an_answer_that_breaks_anywhere_is_asked_for_again_and_not_half_taken() {
    let (all, mut line) = Watched::start().await;
    let told = answer(&all.list(2, false, "draining"));
    let head = told.find("\r\n\r\n").unwrap();
    // The last is whole by its text, and yet a byte short of the length that was told.
    let short = told.replacen("\r\n\r\n", "\r\nX-More: y\r\n\r\n", 1);
    let short = short.replacen("Content-Length: ", "Content-Length: 1", 1);
    for (part, resets) in [
        ("", true),
        ("", false),
        (&told[..head / 2], true),
        (&told[..head / 2], false),
        (&told[..head + 20], true),
        (&told[..head + 20], false),
        (&told[..told.len() - 1], true),
        (&told[..told.len() - 1], false),
        (&short[..], true),
        (&short[..], false),
    ] {
        line.says(part).await.unwrap();
        if resets {
            line.resets();
        } else {
            drop(line);
        }
        let (next, from) = all.anew(TOLD).await;
        assert_eq!((from, all.site.ready()), (Some(1), 2), "{part:?}, {resets}");
        line = next;
    }
    line.says(&told).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
    assert_eq!(all.takers(1).await, only(1));
}

/// A whole list comes where a delta was asked for: what it does not name has gone, what it names stands as it says.
#[tokio::test]
async fn a_whole_list_in_place_of_a_delta_is_taken_whole() {
    let (all, mut line) = Watched::start().await;
    let third = Server::start(Behavior::Stream(1)).await;
    let entries = [entry(third.address, 3, "up"), entry(all.servers[1].address, 2, "up")];
    line.says(&answer(&list(5, true, &entries))).await.unwrap();
    let (mut line, from) = all.watch(line).await;
    assert_eq!(from, Some(5));
    assert_eq!(all.takers(1).await, only(1), "the first has gone");
    assert!(third.posts() > 0, "and the third has come");
    // A delta upon it, and the whole list once more with the same revision as its hold runs out.
    line.says(&answer(&list(6, false, &[entry(third.address, 3, "draining")]))).await.unwrap();
    let (mut line, from) = all.watch(line).await;
    assert_eq!(from, Some(6));
    let entries = [entry(third.address, 3, "draining"), entry(all.servers[1].address, 2, "up")];
    line.says(&answer(&list(6, true, &entries))).await.unwrap();
    let (_line, from) = all.watch(line).await;
    assert_eq!(from, Some(6));
    let before = third.posts();
    assert_eq!(all.takers(2).await, only(1));
    assert_eq!(third.posts(), before, "nothing more goes to one that drains");
}

/// A delta that is older than what is known: it says `up` of a server that drains by now. It is not taken, and the
/// next call asks from the newer one.
#[tokio::test]
async fn an_older_delta_does_not_undo_a_newer_one() {
    let (all, mut line) = Watched::start().await;
    line.says(&answer(&all.list(3, false, "draining"))).await.unwrap();
    let (mut line, from) = all.watch(line).await;
    assert_eq!(from, Some(3));
    line.says(&answer(&all.list(2, false, "up"))).await.unwrap();
    let (_line, from) = all.watch(line).await;
    assert_eq!(all.takers(1).await, only(1), "what drains gets nothing");
    assert_eq!(from, Some(3));
}

/// The same with a whole list that is older.
#[tokio::test]
async fn an_older_whole_list_does_not_undo_a_newer_delta() {
    let (all, mut line) = Watched::start().await;
    line.says(&answer(&all.list(3, false, "draining"))).await.unwrap();
    let (mut line, from) = all.watch(line).await;
    assert_eq!(from, Some(3));
    line.says(&answer(&all.list(2, true, "up"))).await.unwrap();
    let (_line, from) = all.watch(line).await;
    assert_eq!(all.takers(1).await, only(1), "what drains gets nothing");
    assert_eq!(from, Some(3));
}

/// Lists come indented, byte by byte, in chunks of one byte with extensions and trailers, in pieces that cut a letter,
/// and up to the connection's end: each is taken like any other.
#[tokio::test]
async fn indented_and_split_lists_are_taken_like_any_other() {
    let (all, mut line) = Watched::start().await;
    let mut revision = 1;
    for form in 0..6 {
        for (phase, ready) in [("draining", 1), ("up", 2)] {
            revision += 1;
            let mut told = all.list(revision, form % 2 == 0, phase);
            told["members"][0]["locality"] = json!("Ä");
            let text = format!("\r\n\t{}\n\n", serde_json::to_string_pretty(&told).unwrap());
            let whole = plain(200, "Content-Type: application/json\r\n", &text);
            let ends = match form {
                0 | 1 => {
                    for at in 0..whole.len() {
                        // One byte in each write; the letter of two bytes goes as one piece of text each.
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
            all.site.holds(ready, SOON).await.unwrap_or_else(|what| panic!("form {form}, {phase}: {what}"));
            if ends {
                let (next, from) = all.anew(SOON).await;
                assert_eq!(from, Some(revision));
                line = next;
            } else {
                let (next, from) = all.watch(line).await;
                assert_eq!(from, Some(revision), "form {form}");
                line = next;
            }
        }
    }
    assert_eq!(all.takers(1).await.len(), 2);
}

/// Entries and fields in another order, with fields that nobody knows and beside an entry in an unknown phase.
#[tokio::test]
async fn order_unknown_fields_and_unknown_phases_leave_the_rest_of_a_list_as_it_is() {
    let (all, mut line) = Watched::start().await;
    let [first, second] = all.servers.each_ref().map(|server| server.address);
    let text = format!(
        "{{\"a\":[{{}}],\"members\":[\
         {{\"id\":\"s-00000003\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"both\",\"cell\":1,\"phase\":\"asleep\",\"size\":1.0,\"up_since_ms\":0}},\
         {{\"up_since_ms\":0,\"size\":1,\"phase\":\"up\",\"cell\":1,\"b\":null,\"flavor\":\"both\",\"locality\":\"a\",\"host_port\":\"{second}\",\"id\":\"s-00000002\"}},\
         {{\"phase\":\"draining\",\"id\":\"s-00000001\",\"c\":{{\"phase\":\"up\"}},\"host_port\":\"{first}\",\"flavor\":\"both\"}}\
         ],\"complete\":true,\"z\":1e3,\"revision\":2}}"
    );
    line.says(&plain(200, "", &text)).await.unwrap();
    let (_line, from) = all.watch(line).await;
    assert_eq!(from, Some(2));
    all.site.holds(1, SOON).await.unwrap();
    assert_eq!(all.takers(1).await, only(1));
}

/// How an agent that is out of reach does it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Answers,
    /// Calls are taken and left hanging; also after the return these get no answer.
    Hangs,
    Resets,
    Refuses,
    Fails,
}

/// An agent that can be out of reach, and keeps when it was asked.
struct Registry {
    address: SocketAddr,
    state: watch::Sender<(Mood, Value)>,
    calls: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Registry {
    async fn start(mood: Mood, told: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (state, mut seen) = watch::channel((mood, told));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let log = calls.clone();
        tokio::spawn(async move {
            let mut listener = Some(listener);
            loop {
                let refuses = seen.borrow_and_update().0 == Mood::Refuses;
                if refuses {
                    drop(listener.take());
                    let _ = seen.wait_for(|(mood, _)| *mood != Mood::Refuses).await;
                    continue;
                }
                if listener.is_none() {
                    listener = Some(TcpListener::bind(address).await.unwrap());
                }
                tokio::select! {
                    taken = listener.as_ref().unwrap().accept() => {
                        let stream = taken.unwrap().0;
                        tokio::spawn(Self::serve(stream, seen.clone(), log.clone()));
                    }
                    changed = seen.changed() => if changed.is_err() { return },
                }
            }
        });
        Self { address, state, calls }
    }

    async fn serve(
        mut stream: TcpStream,
        mut seen: watch::Receiver<(Mood, Value)>,
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
            // Told at once where there is something newer, else once there is, or as the wait runs out.
            let newer = |(mood, told): &(Mood, Value)| {
                *mood != Mood::Answers || from.is_none_or(|from| told["revision"].as_u64() > Some(from))
            };
            let _ = timeout(hold, seen.wait_for(newer)).await;
            let (mood, told) = seen.borrow_and_update().clone();
            let text = match mood {
                Mood::Answers if newer(&(mood, told.clone())) => answer(&told),
                Mood::Answers => answer(&list(from.unwrap_or(0), false, &[])),
                Mood::Fails => plain(500, "", "down"),
                Mood::Resets | Mood::Refuses => {
                    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                    return;
                }
                Mood::Hangs => {
                    // Nothing is said on this one any more, whatever comes.
                    let _ = stream.read_buf(&mut read).await;
                    return;
                }
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn now(&self, mood: Mood, told: &Value) {
        self.state.send_replace((mood, told.clone()));
    }

    fn asked(&self) -> usize {
        self.calls.lock().unwrap().len()
    }

    async fn until_asked(&self, count: usize, within: Duration) {
        let start = Instant::now();
        while self.asked() < count {
            assert!(start.elapsed() < within, "asked {} times in {within:?}, not {count}", self.asked());
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// A dispatcher with a list of two at an agent that can be out of reach.
struct Outage {
    servers: [Server; 2],
    registry: Registry,
    site: Running,
}

impl Outage {
    async fn start(mood: Mood, change: impl FnOnce(&mut Value)) -> Self {
        let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
        let told = Self::told(&servers, 1, "up");
        let registry = Registry::start(mood, told.clone()).await;
        let mut config = settings(registry.address, &told);
        change(&mut config);
        let site = Running::start(&config);
        Self { servers, registry, site }
    }

    fn told(servers: &[Server; 2], revision: u64, phase: &str) -> Value {
        list(revision, true, &[entry(servers[0].address, 1, phase), entry(servers[1].address, 2, "up")])
    }

    fn now(&self, mood: Mood, revision: u64, phase: &str) {
        self.registry.now(mood, &Self::told(&self.servers, revision, phase));
    }
}

/// Discovery returns with a drain, after calls that were refused, reset or answered 500: what the agent gets at the
/// return counts at once, so that it is asked again in short steps all the time.
#[tokio::test]
async fn at_its_return_from_failing_calls_the_agents_news_is_acted_on_at_once() {
    for mood in [Mood::Refuses, Mood::Resets, Mood::Fails] {
        let all = Outage::start(Mood::Answers, |_| ()).await;
        all.registry.until_asked(2, SOON).await;
        all.now(mood, 1, "up");
        sleep(Duration::from_millis(700)).await;
        assert_eq!(all.site.ready(), 2, "the old list stands");
        all.now(Mood::Answers, 2, "draining");
        let took = all.site.holds(1, TOLD).await.unwrap_or_else(|what| panic!("{mood:?}: {what}"));
        println!("{mood:?}: acted on {took:?} after the return");
        assert!(took < Duration::from_millis(400), "{mood:?}: {took:?}");
    }
}

/// The same after calls that were left hanging, and hang on: only a new call is answered. The agent on this machine
/// costs nobody anything, so that while it is silent it can be asked in short steps.
#[tokio::test]
async fn at_its_return_from_silence_the_agents_news_is_acted_on_at_once() {
    let all = Outage::start(Mood::Answers, |_| ()).await;
    all.registry.until_asked(2, SOON).await;
    all.now(Mood::Hangs, 1, "up");
    // Its silence has been noticed: it has been asked anew, and that call hangs too.
    all.registry.until_asked(3, TOLD).await;
    all.now(Mood::Answers, 2, "draining");
    let took = all.site.holds(1, Duration::from_millis(1_500)).await;
    println!("left hanging: acted on {took:?} after the return");
    took.unwrap();
}

/// The agent has been silent from the start; the dispatcher goes on by what it knows.
#[tokio::test]
async fn the_agents_return_after_a_start_in_silence_is_noticed_soon() {
    let all = Outage::start(Mood::Hangs, |_| ()).await;
    all.registry.until_asked(2, TOLD).await;
    assert_eq!(status(&all.site.ask("01", "ask", "0.900").await), 200, "by the list that it knows");
    all.now(Mood::Answers, 2, "draining");
    let took = all.site.holds(1, Duration::from_millis(1_500)).await;
    println!("silent from the start: acted on {took:?} after the return");
    took.unwrap();
}

/// At the return the very call that was left hanging is answered with the drain: it counts at once.
#[tokio::test]
async fn a_call_left_hanging_that_is_answered_at_the_return_counts_at_once() {
    let (all, mut hung) = Watched::start().await;
    sleep(Duration::from_millis(1_500)).await;
    hung.says(&answer(&all.list(2, true, "draining"))).await.unwrap();
    let took = all.site.holds(1, SOON).await.unwrap();
    assert!(took < Duration::from_millis(250), "{took:?}");
    assert_eq!(all.takers(1).await, only(1));
}

/// Where the list must be asked for, calls are spaced out after a failure. Whatever else is allowed then, a change is
/// acted on 6 s after discovery has it and can be reached, back-off and jitter included.
#[tokio::test]
async fn where_the_list_is_asked_for_a_change_is_acted_on_within_six_seconds_of_failing_calls() {
    let all = Outage::start(Mood::Resets, |config| {
        config["settings"]["discovery"] = json!("subscribe");
        config["settings"]["balancers"] = json!(100);
    })
    .await;
    all.registry.until_asked(1, SOON).await;
    let start = Instant::now();
    all.now(Mood::Answers, 2, "draining");
    all.site.holds(1, TOLD).await.unwrap();
    println!("asked for: acted on {:?} after the return", start.elapsed());
}

/// The same after a call that need not wait, for the whole list, and was left hanging.
#[tokio::test]
async fn where_the_list_is_asked_for_a_change_is_acted_on_within_six_seconds_of_a_hung_call() {
    let all = Outage::start(Mood::Hangs, |config| {
        config["settings"]["discovery"] = json!("subscribe");
        config["settings"]["balancers"] = json!(100);
        config.as_object_mut().unwrap().remove("known");
    })
    .await;
    all.registry.until_asked(1, SOON).await;
    all.now(Mood::Answers, 2, "draining");
    all.site.holds(1, TOLD).await.unwrap();
}

/// A new address comes by SIGHUP while a call is open at the old one: that call is dropped, the whole list is asked for
/// at the new one at once, and what the old agent says later counts nothing.
#[tokio::test]
async fn a_new_address_while_a_call_is_open_drops_it_and_asks_at_the_new_one() {
    let (mut all, mut old) = Watched::start().await;
    let new = Peer::start().await;
    let mut config = all.config.clone();
    config["discovery"] = json!(new.address);
    all.site.hangup("list-new-address", &config.to_string());
    let (mut line, asked) = timeout(AFTER_HANGUP, new.asked()).await.expect("asked at the new address");
    assert_eq!(listed::from(&asked), None, "versions are the old agent's own: {}", asked.head);
    let _ = timeout(SOON, old.rest()).await.expect("the open call is dropped");
    let _ = old.says(&answer(&all.list(9, false, "removed"))).await; // it is closed
    line.says(&answer(&all.list(1, true, "draining"))).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
    let (_line, from) = listed::next_call(&new, line).await;
    assert_eq!(from, Some(1));
    assert_eq!(all.takers(1).await, only(1));
}

/// The old agent's answer and SIGHUP cross: whichever is dealt with first, the new agent's list holds in the end.
#[tokio::test]
async fn an_answer_that_crosses_a_new_address_does_not_outlive_the_new_agents_list() {
    for first in [true, false] {
        let (mut all, mut old) = Watched::start().await;
        let new = Peer::start().await;
        let mut config = all.config.clone();
        config["discovery"] = json!(new.address);
        let told = answer(&all.list(50, true, "up"));
        if first {
            old.says(&told).await.unwrap();
        }
        all.site.hangup(&format!("list-crosses-{first}"), &config.to_string());
        if !first {
            let _ = old.says(&told).await; // it may be closed by now
        }
        let (mut line, asked) = timeout(AFTER_HANGUP, new.asked()).await.expect("asked at the new address");
        assert_eq!(listed::from(&asked), None, "{}", asked.head);
        line.says(&answer(&all.list(3, true, "draining"))).await.unwrap();
        let (_line, from) = listed::next_call(&new, line).await;
        assert_eq!(from, Some(3), "the new agent's versions count from here");
        all.site.holds(1, SOON).await.unwrap();
        assert_eq!(all.takers(1).await, only(1));
    }
}

/// SIGHUP names another agent while calls at the old one fail, and the new one leaves its first call hanging: its news
/// counts 4 s after SIGHUP.
#[tokio::test]
async fn a_new_address_while_calls_fail_is_turned_to_at_once_and_a_hung_first_call_is_given_up() {
    let (mut all, line) = Watched::start().await;
    line.resets();
    let (failing, _) = all.anew(SOON).await;
    let new = Peer::start().await;
    let mut config = all.config.clone();
    config["discovery"] = json!(new.address);
    failing.resets();
    let start = Instant::now();
    all.site.hangup("list-failing", &config.to_string());
    let (_hung, _) = timeout(AFTER_HANGUP, new.asked()).await.expect("asked at the new address");
    let (mut line, _) = timeout(AFTER_HANGUP, new.asked()).await.expect("asked anew");
    line.says(&answer(&all.list(2, true, "draining"))).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
    assert!(start.elapsed() < AFTER_HANGUP, "{:?}", start.elapsed());
}

/// SIGHUP names the same address once more: the list is asked for anew, or the call goes on; a drain on whichever call
/// is open then is acted on.
#[tokio::test]
async fn the_same_address_once_more_loses_no_change() {
    let (mut all, line) = Watched::start().await;
    let config = all.config.to_string();
    all.site.hangup("list-same", &config);
    let mut open = match timeout(Duration::from_secs(1), all.agent.asked()).await {
        Ok((anew, _)) => anew,
        Err(_) => line,
    };
    open.says(&answer(&all.list(2, true, "draining"))).await.unwrap();
    all.site.holds(1, AFTER_HANGUP).await.unwrap();
    assert_eq!(all.takers(1).await, only(1));
    assert_eq!(all.watch(open).await.1, Some(2));
}

/// Two SIGHUPs in a row, the second before anything came of the first: the last file's address holds, and nothing is
/// left open at the one between.
#[tokio::test]
async fn of_two_new_addresses_in_a_row_the_last_one_is_watched() {
    let (mut all, mut old) = Watched::start().await;
    let (between, last) =
        (Registry::start(Mood::Answers, all.list(7, true, "up")).await, Peer::start().await);
    for (turn, at) in [between.address, last.address].into_iter().enumerate() {
        let mut config = all.config.clone();
        config["discovery"] = json!(at);
        all.site.hangup(&format!("list-two-{turn}"), &config.to_string());
    }
    let (mut line, asked) = timeout(AFTER_HANGUP, last.asked()).await.expect("asked at the last address");
    assert_eq!(listed::from(&asked), None, "{}", asked.head);
    let _ = timeout(SOON, old.rest()).await.expect("the open call is dropped");
    line.says(&answer(&all.list(1, true, "draining"))).await.unwrap();
    let (_line, from) = listed::next_call(&last, line).await;
    assert_eq!(from, Some(1));
    between.now(Mood::Answers, &all.list(8, true, "up"));
    assert_eq!(all.takers(1).await, only(1));
    assert_eq!(all.site.health.figures().record().reloads, 2);
}

/// SIGHUP with a broken file while a call is open: the call goes on where it was, and its answer is taken.
#[tokio::test]
async fn a_broken_file_leaves_the_open_call_as_it_is() {
    let (mut all, mut line) = Watched::start().await;
    let mut moved = all.config.clone();
    moved["discovery"] = json!("127.0.0.1:9");
    moved["settings"]["limits"]["max_attempts"] = json!(0);
    let whole = all.config.to_string();
    for text in ["", &whole[..whole.len() / 2], &moved.to_string()] {
        all.site.hangup("list-broken", text);
    }
    assert_eq!(all.site.health.figures().record().reload_errors, 3);
    line.says(&answer(&all.list(2, false, "draining"))).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
    let (_line, from) = all.watch(line).await;
    assert_eq!(from, Some(2), "on the same connection");
    assert_eq!(all.takers(1).await, only(1));
}

/// A server is chosen, and its connection does not come up yet; then the list says that it drains, or that it has gone;
/// then the connection comes up. The drain stops that send: not one byte of the request is written there, and as the
/// attempt never ran, another server takes it.
async fn late_connection(phase: &str) {
    let late = LatePeer::start().await;
    let agent = Peer::start().await;
    let up = entry(late.address, 1, "up");
    let mut config = settings(agent.address, &list(1, true, std::slice::from_ref(&up)));
    config["settings"]["limits"]["connect_timeout_s"] = json!(3.0);
    (0..2).for_each(|lane| config["settings"]["lanes"][lane]["aim_s"] = json!(4.0));
    let site = Running::start(&config);
    let mut line = listed::told(&agent, &list(1, true, &[up])).await;
    let other = Server::start(Behavior::Stream(1)).await;
    let asks = dewladder_test_peers::platform("0a", "book", "4.000");
    let to = site.platform;
    let asking = tokio::spawn(async move { dewladder_test_peers::until_close(to, &asks).await });
    while site.health.figures().open() == 0 {
        sleep(Duration::from_millis(2)).await;
    }
    let news = [entry(late.address, 1, phase), entry(other.address, 2, "up")];
    line.says(&answer(&list(2, false, &news))).await.unwrap();
    let _line = listed::next_call(&agent, line).await;
    let peer = late.opens().await;
    // A connection may come up yet; what counts is that nothing is written on it.
    let written = timeout(Duration::from_secs(3), async {
        let mut late = peer.accept().await;
        late.message().await
    });
    if let Ok(Some(message)) = written.await {
        panic!("sent to a server that is {phase}: {}", message.head);
    }
    let said = timeout(SOON, asking).await.expect("an answer").unwrap();
    assert_eq!((status(&said), other.posts()), (200, 1), "{said}");
}

#[tokio::test]
async fn a_drain_before_the_first_byte_stops_the_send() {
    late_connection("draining").await;
}

#[tokio::test]
async fn a_removal_before_the_first_byte_stops_the_send() {
    late_connection("removed").await;
}

/// A server comes back under its id, at a new address or with a new start alone, while an attempt is out at the old
/// one; then the old one breaks. What may repeat goes on at the new address, what must not is not sent again.
#[tokio::test]
async fn a_server_that_comes_back_under_its_id_takes_on_only_what_may_repeat() {
    for lane in ["ask", "book"] {
        let (old, agent) = (Peer::start().await, Peer::start().await);
        let up = entry(old.address, 1, "up");
        let mut config = settings(agent.address, &list(1, true, std::slice::from_ref(&up)));
        (0..2).for_each(|lane| config["settings"]["lanes"][lane]["aim_s"] = json!(4.0));
        let site = Running::start(&config);
        let mut line = listed::told(&agent, &list(1, true, &[up])).await;
        let asks = dewladder_test_peers::platform("0b", lane, "4.000");
        let to = site.platform;
        let asking = tokio::spawn(async move { dewladder_test_peers::until_close(to, &asks).await });
        let (sent, _) = old.asked().await;
        let new = Server::start(Behavior::Stream(1)).await;
        let mut back = entry(new.address, 1, "up");
        back["up_since_ms"] = json!(1_700_000_000_000u64);
        line.says(&answer(&list(2, false, &[back]))).await.unwrap();
        let _line = listed::next_call(&agent, line).await;
        assert_eq!(new.posts(), 0, "the attempt is still out");
        sent.resets();
        let said = timeout(SOON, asking).await.expect("an answer").unwrap();
        let expected = if lane == "ask" { (200, 1) } else { (502, 0) };
        assert_eq!((status(&said), new.posts()), expected, "{lane}: {said}");
        assert_eq!(status(&site.ask("0c", lane, "0.900").await), 200, "the next goes to the new address");
    }
}

/// Discovery is down at the start. Where the list that is known names servers that can serve, it is ready at once; where
/// none is known, not before a list has come. It is never ready where what it then gets could not be served.
#[tokio::test]
async fn readiness_is_told_only_where_a_request_is_served() {
    let whole = Server::start(Behavior::Stream(1)).await;
    let (reader, writer) = (Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await);
    let [both, prefill, decode] = [
        entry(whole.address, 1, "up"),
        dewladder_test_peers::member(reader.address, 2, "prefill", "up"),
        dewladder_test_peers::member(writer.address, 3, "decode", "up"),
    ];
    let drains = entry(whole.address, 1, "draining");
    let mut wrong = Vec::new();
    for (what, known, can) in [
        ("one that does both", vec![both.clone()], true),
        ("a reader and a writer", vec![prefill.clone(), decode.clone()], true),
        ("nobody", vec![], false),
        ("one that drains", vec![drains], false),
        ("a reader alone", vec![prefill], false),
        ("a writer alone", vec![decode], false),
    ] {
        let registry = Registry::start(Mood::Hangs, list(0, true, &[])).await;
        let site = Running::start(&settings(registry.address, &list(1, true, &known)));
        registry.until_asked(1, SOON).await;
        // Ready within 6 s also where discovery is down.
        let start = Instant::now();
        let mut ready = site.readiness().await;
        while can && ready != 200 && start.elapsed() < TOLD {
            sleep(Duration::from_millis(10)).await;
            ready = site.readiness().await;
        }
        let served = status(&site.ask("0d", "ask", "0.900").await);
        if (ready == 200, served == 200) != (can, can) {
            wrong.push(format!("{what}: ready {ready}, a request gets {served}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Nothing is known at the start and discovery is down; at its return the list comes, and only then it is ready.
#[tokio::test]
async fn without_a_known_list_it_is_ready_once_discovery_has_told_one() {
    let all = Outage::start(Mood::Refuses, |config| {
        config.as_object_mut().unwrap().remove("known");
    })
    .await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(all.site.readiness().await, 503);
    all.now(Mood::Answers, 1, "up");
    all.site.holds(2, TOLD).await.unwrap();
    assert_eq!(all.site.readiness().await, 200);
    all.now(Mood::Answers, 2, "removed");
    all.site.holds(1, TOLD).await.unwrap();
    assert_eq!(status(&all.site.ask("0e", "ask", "0.900").await), 200);
}

/// A reader's state waits for a writer as SIGHUP shortens the time for which it may be held: the new time counts, for the
/// state that is held too, and the refusal names a time within the new limit.
#[tokio::test]
async fn what_is_held_goes_by_the_time_that_the_new_file_allows() {
    let reader = Server::start(Behavior::Read).await;
    let agent = Peer::start().await;
    let known = [dewladder_test_peers::member(reader.address, 1, "prefill", "up")];
    let mut config = settings(agent.address, &list(1, true, &known));
    config["settings"]["domain"]["release_within_s"] = json!(8.0);
    (0..2).for_each(|lane| config["settings"]["lanes"][lane]["aim_s"] = json!(4.0));
    let mut site = Running::start(&config);
    let asks = dewladder_test_peers::platform("0f", "ask", "7.000");
    let to = site.platform;
    let asking = tokio::spawn(async move { dewladder_test_peers::until_close(to, &asks).await });
    let start = Instant::now();
    while reader.posts() == 0 {
        assert!(start.elapsed() < SOON, "it is read");
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(200)).await;
    assert!(!asking.is_finished(), "its state is held");
    config["settings"]["domain"]["release_within_s"] = json!(0.5);
    config["settings"]["limits"]["max_retry_after_s"] = json!(0.25);
    let start = Instant::now();
    site.hangup("list-held", &config.to_string());
    let said = timeout(SOON, asking).await.expect("the new time holds").unwrap();
    assert!(start.elapsed() < Duration::from_millis(850), "{:?}", start.elapsed());
    let retry: f64 = field(&said, "retry-after").expect("a time").parse().unwrap();
    assert!(status(&said) == 503 && retry <= 0.25, "{said}");
    while !reader.log().iter().any(|line| line.starts_with("DELETE")) {
        assert!(start.elapsed() < Duration::from_millis(850), "released: {:?}", reader.log());
        sleep(Duration::from_millis(5)).await;
    }
}

/// The same the other way: a longer time is allowed while a state is held, and a writer comes within it.
#[tokio::test]
async fn what_is_held_may_wait_as_long_as_the_new_file_allows() {
    let (reader, writer) = (Server::start(Behavior::Read).await, Server::start(Behavior::Stream(1)).await);
    let agent = Peer::start().await;
    let known = [dewladder_test_peers::member(reader.address, 1, "prefill", "up")];
    let mut config = settings(agent.address, &list(1, true, &known));
    config["settings"]["domain"]["release_within_s"] = json!(1.0);
    (0..2).for_each(|lane| config["settings"]["lanes"][lane]["aim_s"] = json!(4.0));
    let mut site = Running::start(&config);
    let open = listed::told(&agent, &list(1, true, &known)).await;
    let asks = dewladder_test_peers::platform("10", "ask", "7.000");
    let to = site.platform;
    let asking = tokio::spawn(async move { dewladder_test_peers::until_close(to, &asks).await });
    let start = Instant::now();
    while reader.posts() == 0 {
        assert!(start.elapsed() < SOON, "it is read");
        sleep(Duration::from_millis(5)).await;
    }
    config["settings"]["domain"]["release_within_s"] = json!(6.0);
    site.hangup("list-held-longer", &config.to_string());
    // SIGHUP has the list asked for anew.
    let (mut line, from) = listed::next_call(&agent, open).await;
    assert_eq!(from, None);
    line.says(&answer(&list(1, true, &known))).await.unwrap();
    let (mut line, _) = listed::next_call(&agent, line).await;
    sleep(Duration::from_millis(1_500)).await;
    assert!(!asking.is_finished(), "its state is held still");
    let mut told = known.to_vec();
    told.push(dewladder_test_peers::member(writer.address, 2, "decode", "up"));
    line.says(&answer(&list(2, true, &told))).await.unwrap();
    let said = timeout(SOON, asking).await.expect("an answer").unwrap();
    assert_eq!((status(&said), reader.posts(), writer.posts()), (200, 1, 1), "{said}");
}

/// The program itself, with the system's own limit on descriptors.
struct Process {
    child: Child,
    port: SocketAddr,
    admin: SocketAddr,
    folder: PathBuf,
}

impl Process {
    /// Started on this configuration, with at most so many descriptors.
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
            let line = lines.next_line().await.unwrap().expect("it starts");
            if let Some((_, address)) = line.split_once("second address: ") {
                admin = address.parse().ok();
            }
            if line.contains("serving on") {
                break;
            }
        }
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Self { child, port, admin: admin.expect("a second address"), folder }
    }

    fn hangup(&self) {
        let id = self.child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
    }

    /// A figure that the second address shows.
    async fn figure(&self, name: &str) -> Option<u64> {
        let text = timeout(SOON, dewladder_test_peers::until_close(self.admin, "STATS\n")).await.ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_router.{name}:")))?;
        line.split('|').next()?.parse().ok()
    }
}

/// Discovery is down, and idle clients come until no descriptor is left for more of them. What serves keeps its own:
/// a request is served meanwhile, the second address answers, and at discovery's return the list is taken.
#[tokio::test]
async fn idle_clients_that_fill_the_descriptors_keep_out_neither_the_list_nor_the_second_address() {
    for (descriptors, mood) in [(96, Mood::Hangs), (192, Mood::Resets)] {
        let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
        let known = Outage::told(&servers, 1, "up");
        let registry = Registry::start(mood, known.clone()).await;
        let mut config = settings(registry.address, &known);
        config["limits"]["sockets"] = json!(descriptors);
        let process = Process::start(&format!("list-descriptors-{descriptors}"), config, descriptors).await;
        let mut idle = Vec::new();
        for at in 0..2 * descriptors {
            let mut stream = TcpStream::connect(process.port).await.unwrap();
            // Some say nothing, some begin a request and stop.
            if at % 3 == 0 {
                let _ = stream.write_all(b"POST /v1").await; // it may be closed by now
            }
            idle.push(stream);
        }
        assert_eq!(process.figure("members").await, Some(2), "the second address answers");
        let id = format!("{descriptors:x}");
        let start = Instant::now();
        let mut said = 0;
        while said != 200 {
            assert!(start.elapsed() < SOON, "{descriptors}: a request gets {said}");
            let ask = dewladder_test_peers::platform(
                &format!("{id}{:x}", start.elapsed().as_micros()),
                "ask",
                "0.900",
            );
            said = status(&dewladder_test_peers::until_close(process.port, &ask).await);
        }
        // Discovery returns, with a third server for two.
        let third = Server::start(Behavior::Stream(1)).await;
        let back = Instant::now();
        registry.now(Mood::Answers, &list(2, true, &[entry(third.address, 3, "up")]));
        while process.figure("members").await != Some(1) {
            assert!(back.elapsed() < TOLD, "{descriptors}: the list is not taken");
            sleep(Duration::from_millis(20)).await;
        }
        println!("{descriptors} descriptors: the list was taken {:?} after the return", back.elapsed());
        while third.posts() == 0 {
            assert!(back.elapsed() < TOLD, "{descriptors}: the third server gets nothing");
            let ask = dewladder_test_peers::platform(
                &format!("{id}b{:x}", back.elapsed().as_micros()),
                "ask",
                "0.900",
            );
            dewladder_test_peers::until_close(process.port, &ask).await;
        }
        assert!(dewladder_test_peers::until_close(process.admin, "READY\n").await.starts_with("OK"));
    }
}

/// Two SIGHUPs at once, each with a file of its own: the last file holds, and only its agent is watched in the end.
#[tokio::test]
async fn of_two_signals_at_once_the_last_file_holds() {
    let servers = [Server::start(Behavior::Stream(1)).await, Server::start(Behavior::Stream(1)).await];
    let known = Outage::told(&servers, 1, "up");
    let registries = [
        Registry::start(Mood::Answers, known.clone()).await,
        Registry::start(Mood::Answers, known.clone()).await,
        Registry::start(Mood::Answers, Outage::told(&servers, 1, "removed")).await,
    ];
    let mut config = settings(registries[0].address, &known);
    let process = Process::start("list-two-signals", config.clone(), 256).await;
    (config["listen"], config["admin_addr"]) = (json!(process.port), json!("127.0.0.1:0"));
    for registry in &registries[1..] {
        config["discovery"] = json!(registry.address);
        // Moved into place whole: a signal may find either file, never half of one.
        std::fs::write(process.folder.join("next.json"), config.to_string()).unwrap();
        std::fs::rename(process.folder.join("next.json"), process.folder.join("config.json")).unwrap();
        process.hangup();
    }
    registries[2].until_asked(2, AFTER_HANGUP).await;
    let start = Instant::now();
    while process.figure("members").await != Some(1) {
        assert!(start.elapsed() < AFTER_HANGUP);
        sleep(Duration::from_millis(10)).await;
    }
    registries[0].now(Mood::Answers, &Outage::told(&servers, 9, "up"));
    registries[1].now(Mood::Answers, &Outage::told(&servers, 9, "up"));
    registries[2].now(Mood::Answers, &list(2, true, &[]));
    let start = Instant::now();
    while process.figure("members").await != Some(0) {
        assert!(start.elapsed() < SOON, "the last agent is watched");
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(process.figure("config_reload_errors").await, Some(0));
}
