//! Bad input from every side: lists, entries, load reports, heads, labels and settings. Each gets what the protocol says
//! or a clean refusal with a reason; none crashes, stalls what is beside it or keeps a connection past its time.

mod listed;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder::edge::settings::Config;
use dewladder_test_peers::{
    event, member, plain, platform, until_close, Behavior, Line, Peer, Server, LAST_EVENTS,
};
use listed::{answer, entry, list, settings, status, Running, Watched, SOON};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::{sleep, timeout, Instant};

/// A client is owed an error or a close 3 s after it has connected, with the slack that time limits have on sockets.
const CLIENT: Duration = Duration::from_millis(3_050);

/// What comes as the answer to a watch, whole; `ends` where the connection ends behind it.
struct Bad {
    what: &'static str,
    text: String,
    ends: bool,
}

fn bad_lists(all: &Watched) -> Vec<Bad> {
    let drains = all.list(2, true, "draining");
    let body = |what, body: &str| Bad { what, text: plain(200, "", body), ends: false };
    let with = |what, change: &dyn Fn(&mut Value)| {
        let mut list = drains.clone();
        change(&mut list);
        Bad { what, text: plain(200, "", &list.to_string()), ends: false }
    };
    let text = drains.to_string();
    let deep =
        format!("{{\"revision\":2,\"complete\":true,\"members\":{}{}}}", "[".repeat(300), "]".repeat(300));
    vec![
        body("nothing", ""),
        body("no JSON", "<html>down</html>"),
        body("half of it", &text[..text.len() / 2]),
        body("two lists", &format!("{text}{text}")),
        body("a list of entries alone", &drains["members"].to_string()),
        body("a number", "7"),
        body("null", "null"),
        body("an empty object", "{}"),
        body("too deep", &deep),
        body("not a number", &text.replace("\"revision\":2", "\"revision\":NaN")),
        with("no members in a whole list", &|list| drop(list.as_object_mut().unwrap().remove("members"))),
        with("no members in a delta", &|list| {
            list["complete"] = json!(false);
            list.as_object_mut().unwrap().remove("members");
        }),
        with("no revision", &|list| drop(list.as_object_mut().unwrap().remove("revision"))),
        with("members null", &|list| list["members"] = Value::Null),
        with("members by name", &|list| list["members"] = json!({"s-00000001": {}})),
        with("members as text", &|list| list["members"] = json!("none")),
        with("members that are numbers", &|list| list["members"] = json!([1, 2])),
        with("members that are null", &|list| list["members"] = json!([null, null])),
        with("a negative revision", &|list| list["revision"] = json!(-1)),
        with("a revision as text", &|list| list["revision"] = json!("2")),
        with("half a revision", &|list| list["revision"] = json!(2.5)),
        with("a revision beyond all", &|list| list["revision"] = json!(1e30)),
        with("complete as text", &|list| list["complete"] = json!("yes")),
        body("too long", &format!("{}{text}", " ".repeat(5 << 20))),
        Bad { what: "204", text: "HTTP/1.1 204 X\r\n\r\n".to_owned(), ends: false },
        Bad { what: "404", text: plain(404, "", &text), ends: false },
        Bad { what: "302", text: plain(302, "Location: /x\r\n", &text), ends: false },
        Bad { what: "503", text: plain(503, "", &text), ends: false },
        Bad { what: "no HTTP", text: text.clone(), ends: true },
        Bad {
            what: "a bad status",
            text: format!("HTTP/1.1 2x0 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()),
            ends: true,
        },
        Bad {
            what: "a bad length",
            text: format!("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n{text}"),
            ends: true,
        },
        Bad {
            what: "two lengths",
            text: format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n{text}"),
            ends: true,
        },
        Bad {
            what: "a bad chunk",
            text: format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{text}"),
            ends: true,
        },
        Bad {
            what: "a head too long",
            text: format!("HTTP/1.1 200 OK\r\nX-A: {}\r\n\r\n", "a".repeat(64 << 10)),
            ends: true,
        },
    ]
}

/// The same bad answer to every call for half a second; what is wrong with what the dispatcher does.
async fn bad_list(at: usize) -> (Vec<String>, Watched) {
    let mut wrong = Vec::new();
    let (all, mut line) = Watched::start().await;
    let bad = bad_lists(&all).swap_remove(at);
    let mut asked = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(500) {
        let _ = line.says(&bad.text).await; // it may give up in the middle of what is too long
        if bad.ends {
            line.ends().await;
        }
        let Ok((next, call)) = timeout(SOON, listed::next_message(&all.agent, line)).await else {
            wrong.push(format!("{}: not asked for again", bad.what));
            return (wrong, all);
        };
        line = next;
        asked += 1;
        if listed::from(&call) != Some(1) {
            wrong.push(format!("{}: asked for from {:?}, not Some(1)", bad.what, listed::from(&call)));
            break;
        }
    }
    // The agent costs nothing, but a loop without any pause would stall what is beside it.
    if asked > 20 {
        wrong.push(format!("{}: asked for {asked} times in half a second", bad.what));
    }
    if all.site.running.is_finished() {
        wrong.push(format!("{}: the dispatcher has ended", bad.what));
        return (wrong, all);
    }
    if all.site.ready() != 2 {
        wrong.push(format!("{}: {} servers are left of two", bad.what, all.site.ready()));
    }
    let said = status(&all.site.ask("01", "ask", "0.900").await);
    if said != 200 {
        wrong.push(format!("{}: a request gets {said}", bad.what));
    }
    // A call may have been given up meanwhile: the agent answers at once, and here it did not.
    let taken = async {
        loop {
            let _ = line.says(&answer(&all.list(3, true, "draining"))).await;
            if all.site.holds(1, Duration::from_millis(200)).await.is_ok() {
                return;
            }
            line = listed::next_message(&all.agent, line).await.0;
        }
    };
    if timeout(SOON, taken).await.is_err() {
        wrong.push(format!("{}: the next good list is not taken", bad.what));
    }
    (wrong, all)
}

/// A bad list keeps the last good one and is asked for again, from the same revision and not in a tight loop; a request
/// beside it is served. The next good list is taken.
#[tokio::test]
async fn a_bad_list_keeps_the_last_good_one_and_is_asked_for_again() {
    let first = Watched::start().await.0;
    let count = bad_lists(&first).len();
    let mut wrong = Vec::new();
    // Agents stay: another's port must not be theirs while their dispatchers still ask there.
    let mut kept = vec![first];
    for some in (0..count).collect::<Vec<_>>().chunks(12) {
        let cases: Vec<_> = some.iter().map(|&at| tokio::spawn(bad_list(at))).collect();
        for case in cases {
            let (what, all) = case.await.unwrap();
            wrong.extend(what);
            kept.push(all);
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// A change tells that a server drains, in an entry of which another field is broken. Either the change is acted on, or
/// it is asked for again: taken as read and left out, the drain would never be heard of. The other server goes on.
#[tokio::test]
async fn a_drain_in_a_broken_entry_is_acted_on_or_asked_for_again() {
    let (mut wrong, mut kept) = (Vec::new(), Vec::new());
    for (field, value) in [
        ("size", json!("big")),
        ("size", json!(-1)),
        ("size", json!(0)),
        ("size", json!(1e308)),
        ("size", Value::Null),
        ("up_since_ms", json!("now")),
        ("up_since_ms", json!(-5)),
        ("up_since_ms", json!(1.5)),
        ("up_since_ms", json!(1e30)),
        ("up_since_ms", json!(u64::MAX)),
        ("up_since_ms", json!(4_000_000_000_000u64)),
        ("cell", json!("c")),
        ("cell", json!(-1)),
        ("cell", json!(1e10)),
        ("cell", json!(1.5)),
        ("locality", json!(5)),
        ("locality", json!("nowhere")),
        ("flavor", Value::Null),
        ("flavor", json!("scribe")),
        ("host_port", json!("nowhere")),
        ("host_port", json!("127.0.0.1:99999")),
        ("host_port", json!("a b\r\nX-C: d")),
        ("host_port", json!(8080)),
        ("phase", json!("asleep")),
        ("phase", json!("Draining")),
        ("phase", json!(2)),
    ] {
        let (mut all, mut line) = Watched::start().await;
        let mut told = all.list(2, false, "draining");
        told["members"][0][field] = value.clone();
        line.says(&answer(&told)).await.unwrap();
        let next = tokio::select! {
            next = timeout(SOON, listed::next_message(&all.agent, line)) => next.ok().map(|(_, call)| call),
            ended = &mut all.site.running => {
                wrong.push(format!("{field} {value}: the dispatcher has ended: {ended:?}"));
                continue;
            }
        };
        let again = next.as_ref().is_some_and(|call| listed::from(call).is_none_or(|from| from < 2));
        if !again && all.site.holds(1, Duration::from_millis(200)).await.is_err() {
            wrong.push(format!("{field} {value}: the drain is neither acted on nor asked for again"));
        }
        let said = status(&all.site.ask("02", "ask", "0.900").await);
        if said != 200 {
            wrong.push(format!("{field} {value}: a request beside it gets {said}"));
        }
        kept.push(all);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Servers that come with odd fields, at addresses that are none: requests go to the good one, and nothing ends.
#[tokio::test]
async fn a_malformed_server_beside_a_good_one_costs_no_request() {
    let (mut wrong, mut kept) = (Vec::new(), Vec::new());
    for (field, value) in [
        ("host_port", json!("nowhere")),
        ("host_port", json!("127.0.0.1:99999")),
        ("host_port", json!("")),
        ("host_port", json!("a b\r\nX-C: d")),
        ("host_port", json!("user@127.0.0.1:9/x?y#z")),
        ("size", json!(-1)),
        ("size", json!(0)),
        ("size", json!(1e308)),
        ("up_since_ms", json!(4_000_000_000_000u64)),
        ("up_since_ms", json!(18_446_744_073_709_000u64)),
        ("up_since_ms", json!(u64::MAX)),
        ("cell", json!(u32::MAX)),
        ("locality", json!("nowhere")),
        ("locality", json!("4294967295")),
        ("id", json!("")),
        ("id", json!("s-")),
        ("id", json!("Ä".repeat(2_000))),
        ("id", json!("s-+0000007")),
    ] {
        let (mut all, mut line) = Watched::start().await;
        let mut odd = entry(all.servers[0].address, 1, "up");
        odd[field] = value.clone();
        let members = [odd, entry(all.servers[1].address, 2, "up")];
        line.says(&answer(&list(2, true, &members))).await.unwrap();
        tokio::select! {
            _ = listed::next_call(&all.agent, line) => {}
            ended = &mut all.site.running => {
                wrong.push(format!("{field} {value}: the dispatcher has ended: {ended:?}"));
                continue;
            }
        }
        let mut refused = Vec::new();
        for session in 0..8 {
            let call = platform(&format!("03{session:014x}"), "ask", "0.900");
            let call = call.replace("X-Entity: e", &format!("X-Entity: e{session}"));
            let said = status(&until_close(all.site.platform, &call).await);
            refused.extend(Some(said).filter(|said| *said != 200));
        }
        if !refused.is_empty() || all.site.running.is_finished() {
            let ended = all.site.running.is_finished();
            wrong.push(format!("{field} {value}: of 8 requests these get {refused:?}; ended: {ended}"));
        }
        kept.push(all);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Two servers whose ids differ before the last dash only are two servers.
#[tokio::test]
async fn ids_that_end_alike_name_two_servers() {
    let (all, mut line) = Watched::start().await;
    let mut members = [entry(all.servers[0].address, 1, "up"), entry(all.servers[1].address, 1, "up")];
    members[0]["id"] = json!("rack-a-00000001");
    members[1]["id"] = json!("rack-b-00000001");
    line.says(&answer(&list(2, true, &members))).await.unwrap();
    let _line = listed::next_call(&all.agent, line).await;
    all.site.holds(2, Duration::from_millis(300)).await.unwrap();
    assert_eq!(all.takers(1).await.len(), 2);
}

/// Answers all messages on all connections alike, for ever.
async fn answers_all(peer: Peer, answer: String) {
    loop {
        let mut line = peer.accept().await;
        let answer = answer.clone();
        tokio::spawn(
            async move { while line.message().await.is_some() && line.says(&answer).await.is_ok() {} },
        );
    }
}

/// A load report that holds no numbers says nothing: the next request is served like the one before.
#[tokio::test]
async fn a_broken_load_report_costs_no_request() {
    let (mut wrong, mut kept) = (Vec::new(), Vec::new());
    for report in [
        "",
        "TEXT",
        "TEXT x0",
        "TEXT x0=",
        "TEXT x0=soon",
        "TEXT x0=-5",
        "TEXT x0=NaN",
        "TEXT x0=nan",
        "TEXT x0=inf",
        "TEXT x0=1e999",
        "TEXT x0=-inf, x1=NaN",
        "TEXT x9=7, =, ==,,,",
        "TEXT x18446744073709551616=1",
        "JSON {\"x0\":0.1}",
        "TEXT \u{7f}\u{e4}=1",
    ] {
        let (reader, writer) = (Peer::start().await, Peer::start().await);
        let known = [member(reader.address, 1, "prefill", "up"), member(writer.address, 2, "decode", "up")];
        let agent = Peer::start().await;
        let mut config = settings(agent.address, &list(1, true, &known));
        config["settings"]["domain"]["report_x0"] = json!("share_of_memory_that_is_held");
        let site = Running::start(&config);
        let read = plain(202, &format!("X-Pressure: {report}\r\n"), "{\"cached_tokens\":1}");
        let body = format!("{}{LAST_EVENTS}: X-Pressure: {report}\n\n", event(0));
        let written = plain(200, "Content-Type: text/event-stream\r\n", &body);
        let servers = [tokio::spawn(answers_all(reader, read)), tokio::spawn(answers_all(writer, written))];
        let mut said = Vec::new();
        for turn in 0..3 {
            said.push(status(&site.ask(&format!("04{turn:014x}"), "ask", "0.900").await));
        }
        servers.iter().for_each(tokio::task::JoinHandle::abort);
        if said != [200; 3] {
            wrong.push(format!("{report:?}: {said:?}"));
        }
        kept.push(agent);
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Labels and times that can't be: each is served or refused with 400 and a reason, and a good request beside is served.
#[tokio::test]
async fn malformed_labels_and_times_get_an_answer_and_break_nothing() {
    let (all, _line) = Watched::start().await;
    let site = &all.site;
    let good = platform("05", "ask", "0.900");
    let labels = |text: &str| good.replace("prompt_len=100,max_out=8", text);
    let mut wrong = Vec::new();
    for (turn, (call, expected)) in [
        (labels("prefix=p,prompt_len=100,prefix_len=5000,max_out=8"), 200),
        (labels("prefix=p,prompt_len=0,prefix_len=5000,max_out=0"), 200),
        (labels("prefix=p,prompt_len=1048576,prefix_len=1048576,max_out=1048576"), 200),
        (labels("prefix=p,prompt_len=1,prefix_len=1048576,max_out=1"), 200),
        (labels("prefix=,prompt_len=1"), 200),
        (labels(",,,=,a=b,prompt_len"), 200),
        (labels("prompt_len=1048577"), 400),
        (labels("prompt_len=18446744073709551616"), 400),
        (labels("prompt_len=0x10"), 400),
        (labels("prompt_len="), 400),
        (labels("prefix_len=-1"), 400),
        (labels("max_out=1.5"), 400),
        (good.replace("X-Remaining: 0.900", "X-Remaining: inf"), 400),
        (good.replace("X-Remaining: 0.900", "X-Remaining: 1e309"), 400),
        (good.replace("X-Remaining: 0.900", "X-Remaining: "), 400),
        (good.replace("X-Remaining: 0.900", "X-Remaining: 3601"), 400),
        (good.replace("X-Entity: e", "X-Entity: "), 200),
        (good.replace("X-Entity: e\r\n", ""), 200),
        (good.replace("X-Org: acme\r\n", ""), 200),
        (good.replace("X-Lane: ask", "X-Lane: "), 400),
        (good.replace("X-Lane: ask", "X-Lane: ASK"), 400),
        (good.replace("X-Txn: 05", "X-Txn: "), 400),
        (good.replace("X-Txn: 05", &format!("X-Txn: {}", "a".repeat(65))), 400),
        (good.replace("X-Txn: 05", "X-Txn: \u{e4}"), 400),
        (good.replace("{\"stream\":true}", "{\"stream\":true "), 400),
        (good.replace("{\"stream\":true}", "{\"stream\":NaN }"), 400),
    ]
    .into_iter()
    .enumerate()
    {
        let call = call.replace("X-Txn: 05\r\n", &format!("X-Txn: 05{turn:04x}\r\n"));
        let said = until_close(site.platform, &call).await;
        if status(&said) != expected
            || (expected == 400 && said.split_once("\r\n\r\n").is_none_or(|(_, why)| why.is_empty()))
        {
            wrong.push(format!("{expected}: {call}\n{said}"));
        }
        let beside = status(&site.ask(&format!("06{turn:014x}"), "ask", "0.900").await);
        if beside != 200 || site.running.is_finished() {
            wrong.push(format!("after {call}: a good one gets {beside}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Broken heads, lengths and chunks from clients that then hold on: each connection is ended with an error or a close
/// within the time that a client is owed one, and requests beside them are served all the while.
#[tokio::test]
async fn broken_heads_lengths_and_chunks_keep_no_connection_past_its_time() {
    let (all, _line) = Watched::start().await;
    let to = all.site.platform;
    let head =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Txn: 07\r\nX-Lane: ask\r\nX-Remaining: 0.9\r\n";
    let cases: Vec<String> = vec![
        "\r\n".to_owned(),
        "\r\n\r\n\r\n\r\n".to_owned(),
        "GET".to_owned(),
        "GET / HTTP/9.9\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\n".to_owned(),
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
        "\u{16}\u{3}\u{1}\u{2}\u{0}\u{1}".to_owned(),
        format!("GET / HTTP/1.1\r\nX-A: {}", "a".repeat(200 << 10)),
        format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(200 << 10)),
        format!("GET / HTTP/1.1\r\n{}\r\n", "X-A: a\r\n".repeat(5_000)),
        format!("{head}Content-Length: 15\r\n\r\n{{\"str"),
        format!("{head}Content-Length: -1\r\n\r\n{{}}"),
        format!("{head}Content-Length: +2\r\n\r\n{{}}"),
        format!("{head}Content-Length: 0x2\r\n\r\n{{}}"),
        format!("{head}Content-Length: 18446744073709551616\r\n\r\n{{}}"),
        format!("{head}Content-Length: 18446744073709551615\r\n\r\n{{}}"),
        format!("{head}Content-Length: 2\r\nContent-Length: 3\r\n\r\n{{}}"),
        format!("{head}Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{{}}"),
        format!("{head}Transfer-Encoding: gzip\r\n\r\n{{}}"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\n{{}}x"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n2\r\n{{}}\r\n"),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n2;{}", "a".repeat(100 << 10)),
        format!("{head}Transfer-Encoding: chunked\r\n\r\n0\r\n{}", "X-A: a\r\n".repeat(20_000)),
        format!("{head}X-A : a\r\nContent-Length: 2\r\n\r\n{{}}"),
        format!("{head} folded\r\nContent-Length: 2\r\n\r\n{{}}"),
        format!("{head}X-A: a\rb\r\nContent-Length: 2\r\n\r\n{{}}"),
        format!("{head}X-A: \u{0}\r\nContent-Length: 2\r\n\r\n{{}}"),
        format!("{head}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"),
        format!("{head}Upgrade: websocket\r\nConnection: upgrade\r\nContent-Length: 2\r\n\r\n"),
    ];
    let waits: Vec<_> = cases
        .iter()
        .cloned()
        .map(|case| {
            tokio::spawn(async move {
                let start = Instant::now();
                let mut stream = TcpStream::connect(to).await.unwrap();
                let _ = stream.write_all(case.as_bytes()).await; // it may be closed in the middle
                let mut read = Vec::new();
                let ended = timeout(CLIENT * 2, stream.read_to_end(&mut read)).await.is_ok();
                (ended, start.elapsed(), String::from_utf8_lossy(&read).into_owned())
            })
        })
        .collect();
    for turn in 0..20 {
        let said = all.site.ask(&format!("08{turn:014x}"), "ask", "0.900").await;
        assert_eq!(status(&said), 200, "beside broken ones: {said}");
        sleep(Duration::from_millis(20)).await;
    }
    let mut wrong = Vec::new();
    for (case, wait) in cases.iter().zip(waits) {
        let (ended, took, said) = wait.await.unwrap();
        let case = &case[..case.len().min(220)];
        if (!ended && status(&said) < 400) || (ended && took > CLIENT && said.is_empty()) {
            wrong.push(format!("{case:?}: ended {ended} after {took:?}, said {said:?}"));
        }
        if status(&said) == 200 {
            wrong.push(format!("{case:?}: was served: {said:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
    assert_eq!(
        all.servers[0].log().iter().chain(&all.servers[1].log()).filter(|line| line.ends_with(" 07")).count(),
        0
    );
}

/// A server's answer is spoilt, and it holds the connection open: the dispatcher lets go of that connection soon after the
/// request's own time, and the client has its answer by then.
#[tokio::test]
async fn a_malformed_answer_keeps_no_connection_past_its_time() {
    let spoilt = [
        "\r\n\r\n".to_owned(),
        "no HTTP at all\r\n\r\n".to_owned(),
        "HTTP/1.1 2x0 OK\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n".to_owned(),
        "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".to_owned(),
        "HTTP/1.1 100 Continue\r\n\r\n".repeat(50),
        "HTTP/1.1 202 X\r\nContent-Length: 99\r\n\r\n{".to_owned(),
        "HTTP/1.1 503 X\r\nX-Turned-Away: 1\r\nContent-Length: 99\r\n\r\n{".to_owned(),
        "HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n".to_owned(),
        format!("HTTP/1.1 200 OK\r\nX-A: {}", "a".repeat(64 << 10)),
    ];
    let mut held = Vec::new();
    for (turn, text) in spoilt.into_iter().enumerate() {
        held.push(tokio::spawn(async move {
            let bad = Peer::start().await;
            let agent = Peer::start().await;
            let known = [entry(bad.address, 1, "up")];
            let site = Running::start(&settings(agent.address, &list(1, true, &known)));
            let (to, asks) = (site.platform, platform(&format!("09{turn:014x}"), "book", "0.900"));
            let start = Instant::now();
            let asking = tokio::spawn(async move { until_close(to, &asks).await });
            let (mut line, _): (Line, _) = bad.asked().await;
            let _ = line.says(&text).await; // it may close in the middle
            let closed = timeout(SOON, line.rest()).await.is_ok();
            let took = start.elapsed();
            let said = timeout(SOON, asking).await.expect("an answer").unwrap();
            (closed, took, status(&said), text)
        }));
    }
    let mut wrong = Vec::new();
    for one in held {
        let (closed, took, said, text) = one.await.unwrap();
        let text = &text[..text.len().min(90)];
        // Its time of 0.9 s, and the body of a short answer is read for two more.
        if !closed {
            wrong.push(format!("{text:?}: closed {closed} after {took:?}"));
        }
        if said == 200 {
            wrong.push(format!("{text:?}: served"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// A change of a good configuration, and the path that its refusal has to name.
fn bad_settings() -> Vec<(&'static str, Value)> {
    let text = json!("soon");
    let mut all: Vec<(&'static str, Value)> = Vec::new();
    // Times: no text, not negative, not beyond all bounds.
    for path in [
        "/settings/limits/connect_timeout_s",
        "/settings/limits/keepalive_s",
        "/settings/limits/max_retry_after_s",
        "/settings/domain/release_within_s",
        "/settings/resolution_s",
    ] {
        for value in
            [text.clone(), json!("NaN"), json!(-1), json!(1e300), json!(true), json!([1]), json!({"a": 1})]
        {
            all.push((path, value));
        }
    }
    for path in ["/settings/rules/cold_s", "/settings/rules/fall_s", "/settings/rules/must_ask_in_s"] {
        for value in [text.clone(), json!("NaN"), json!(-1), json!(1e300)] {
            all.push((path, value));
        }
    }
    for path in ["/settings/rules/cold_from", "/settings/rules/fall_multiple"] {
        for value in [text.clone(), json!("NaN"), json!("inf"), json!(-1), json!(1e300)] {
            all.push((path, value));
        }
    }
    for value in [json!("NaN"), json!("inf"), json!(-1), text.clone()] {
        all.push(("/settings/prices/peer", value));
    }
    for value in [json!(0), json!(-1), json!(1.5), json!(1e9), text.clone()] {
        all.push(("/settings/balancers", value));
    }
    for value in [json!(-1), json!(1.5), text.clone()] {
        all.push(("/settings/locality", value));
    }
    for value in [json!("scribe"), json!(7), json!(true)] {
        all.push(("/settings/discovery", value));
    }
    for path in [
        "/settings/limits/cancel",
        "/settings/limits/peers",
        "/settings/domain/resume",
        "/settings/domain/local_read",
    ] {
        for value in [json!("yes"), json!(2), json!([true])] {
            all.push((path, value));
        }
    }
    for value in
        [json!(["read", "write", "scribe"]), json!([1, 2, 3]), json!({"a": 1}), json!(["read", "read,write"])]
    {
        all.push(("/settings/domain/role_by_kind", value));
    }
    for value in [json!(["a", "a", "b"]), json!([""]), json!({"a": 1}), json!([1, 2, 3])] {
        all.push(("/settings/kinds", value));
    }
    for value in [json!(["NaN", 1, 1]), json!([1e300, 1, 1]), json!(["x", 1, 1]), json!([0, 1, 1])] {
        all.push(("/settings/domain/kind_memory_tokens", value));
    }
    for path in ["/settings/domain/aim_us_per_1000_prompt_tokens", "/settings/domain/token_aim_s"] {
        for value in [json!(["NaN", 1]), json!([-1, 1]), json!([1e300, 1]), json!(["x", 1])] {
            all.push((path, value));
        }
    }
    for value in [json!("none"), json!(""), json!(3), Value::Null, json!(["idempotent"])] {
        all.push(("/settings/lanes/0/effect", value));
    }
    for value in [json!("rack"), json!(3), json!(["all"])] {
        all.push(("/settings/lanes/0/group", value));
    }
    for value in [json!("ask"), json!(""), json!(3), Value::Null] {
        all.push(("/settings/lanes/1/name", value));
    }
    for path in ["/settings/lanes/0/aim_s", "/settings/lanes/0/give_up_s"] {
        for value in [
            json!(0),
            json!(-1),
            json!(1e300),
            json!("1"),
            json!("NaN"),
            Value::Null,
            json!([1]),
            json!(true),
        ] {
            all.push((path, value));
        }
    }
    for path in
        ["/settings/lanes/0/worth", "/settings/lanes/0/dedup_window_s", "/settings/lanes/0/late_worth"]
    {
        for value in [json!(-1), json!(1e300), json!("1"), json!("NaN"), Value::Null] {
            all.push((path, value));
        }
    }
    for value in
        [json!(0), json!(-1), json!(2.5), json!("5"), json!(5_000_000_000u64), Value::Null, json!(true)]
    {
        all.push(("/settings/limits/max_attempts", value));
    }
    for value in [json!(0), json!(-1), json!(1.5), json!("1024"), json!(1e30)] {
        all.push(("/limits/sockets", value.clone()));
        all.push(("/limits/memory_mb", value));
    }
    for path in ["/listen", "/discovery", "/admin_addr", "/peer_listen", "/peers_all"] {
        for value in [json!("nowhere"), json!("127.0.0.1:99999"), json!("127.0.0.1"), json!(8080)] {
            all.push((path, value));
        }
    }
    all.extend([
        ("/name", json!(7)),
        ("/seed", json!(7)),
        ("/settings/lanes", json!({"ask": {}})),
        ("/settings/lanes", json!([1])),
    ]);
    all
}

/// Puts a value where a path says; what is missing on the way is made.
fn put(config: &mut Value, path: &str, value: Value) {
    let mut at = config;
    for key in path.trim_start_matches('/').split('/') {
        at = match key.parse::<usize>() {
            Ok(number) => &mut at[number],
            Err(_) => &mut at[key],
        };
    }
    *at = value;
}

fn good() -> Value {
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let mut config = settings(at, &list(1, true, &[]));
    config["admin_addr"] = json!("127.0.0.1:0");
    config
}

/// A bad setting is refused with its path. Read as at start, by `check-config` and after SIGHUP: all three go this way.
#[test]
fn a_bad_setting_is_refused_with_its_path() {
    assert!(Config::parse("config", &good().to_string(), |_| None).is_ok());
    let mut taken = Vec::new();
    let mut unnamed = Vec::new();
    for (path, value) in bad_settings() {
        let mut config = good();
        put(&mut config, path, value.clone());
        // As a path reads in refusals; of a number by place, both parts must be named.
        let named = path.trim_start_matches("/settings").trim_start_matches('/').replace('/', ".");
        match Config::parse("config", &config.to_string(), |_| None) {
            Ok(_) => taken.push(format!("{named}: {value}")),
            Err(error) if error.to_string().contains(&named) => {}
            Err(error) => unnamed.push(format!("{named}: {value}: {error}")),
        }
    }
    assert!(
        taken.is_empty() && unnamed.is_empty(),
        "taken as good: {taken:#?}\nrefused without the path: {unnamed:#?}"
    );
}

/// The program itself: a start, `check-config` and SIGHUP each turn down one of every kind, and what runs goes on.
#[tokio::test]
async fn a_start_check_config_and_sighup_refuse_the_same_files() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-settings");
    std::fs::create_dir_all(&folder).unwrap();
    let (server, agent) = (Server::start(Behavior::Stream(1)).await, Peer::start().await);
    let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut good = settings(agent.address, &list(1, true, &[entry(server.address, 1, "up")]));
    good["listen"] = json!(port);
    good["admin_addr"] = json!("127.0.0.1:0");
    let (fine, bad) = (folder.join("good.json"), folder.join("bad.json"));
    std::fs::write(&fine, good.to_string()).unwrap();
    let start = |path: &PathBuf, command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
        program.arg(command).arg("--config").arg(path).env_clear().current_dir(&folder).kill_on_drop(true);
        program.stdout(Stdio::piped()).stderr(Stdio::piped());
        program
    };
    let mut child = start(&fine, "serve").spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut until = async |says: &str| loop {
        let line = timeout(SOON, lines.next_line()).await.expect("a line").unwrap().expect("it runs");
        if line.contains(says) {
            return line;
        }
    };
    until("serving on").await;
    for (path, value, says) in [
        ("/settings/lanes/0/give_up_s", json!(-1), "lanes.0.give_up_s"),
        ("/settings/lanes/0/effect", json!("twice"), "lanes.0.effect"),
        ("/settings/lanes/1/name", json!("ask"), "lanes.1.name"),
        ("/settings/limits/max_attempts", json!(0), "limits.max_attempts"),
        ("/settings/domain/role_by_kind", json!(["read", "scribe"]), "domain.role_by_kind"),
        ("/settings/resolution_s", json!("NaN"), "resolution_s"),
        ("/settings/balancers", json!(0), "balancers"),
    ] {
        let mut config = good.clone();
        put(&mut config, path, value);
        std::fs::write(&bad, config.to_string()).unwrap();
        for command in ["serve", "check-config"] {
            let output =
                timeout(SOON, start(&bad, command).output()).await.expect("it ends at once").unwrap();
            let said = String::from_utf8(output.stderr).unwrap();
            assert!(!output.status.success() && said.contains(says), "{command}, {path}: {said}");
        }
        std::fs::write(&fine, config.to_string()).unwrap();
        let id = child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
        let line = until("not taken over").await;
        assert!(line.contains(says), "{path}: {line}");
        let said = until_close(port, &platform(&format!("0a{:x}", says.len()), "ask", "0.900")).await;
        assert_eq!(status(&said), 200, "what runs goes on: {said}");
    }
    let term = child.id().unwrap().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &term]).status().unwrap().success());
}

/// The same, told alone: an agent that is asked again says it again, so that it has to be acted on as it is.
#[tokio::test]
async fn a_drain_that_is_told_alone_in_a_broken_entry_is_acted_on() {
    let (all, mut line) = Watched::start().await;
    let mut told = list(2, false, &[entry(all.servers[0].address, 1, "draining")]);
    told["members"][0]["size"] = json!("big");
    line.says(&answer(&told)).await.unwrap();
    all.site.holds(1, SOON).await.unwrap();
}
