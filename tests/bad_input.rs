//! Malformed input from agents, servers, clients and the configuration: server lists, list entries, load
//! reports, message heads, request labels and settings. Each is handled as the protocol says or refused with a
//! reason; none crashes the dispatcher, delays other requests or keeps a connection past its deadline.

mod scripted_agent;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;

use dewladder::edge::settings::Config;
use dewladder_test_peers::{
    event, member, plain, platform, until_close, Behavior, Line, Peer, Server, LAST_EVENTS,
};
use scripted_agent::{
    http_response, list, server_entry, settings, status, RunningDispatcher, WatchedDispatcher, TEST_TIMEOUT,
};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::time::{sleep, timeout, Instant};

/// Time limit for an error or a close after a client has connected: 3 s, plus 50 ms as the allowance of time
/// limits on sockets.
const CLIENT_DEADLINE: Duration = Duration::from_millis(3_050);

/// A malformed response to a watch; with `ends`, the agent closes its sending side after it.
struct BadResponse {
    problem: &'static str,
    text: String,
    ends: bool,
}

fn bad_list_responses(under_test: &WatchedDispatcher) -> Vec<BadResponse> {
    let drains = under_test.list(2, true, "draining");
    let body = |problem, body: &str| BadResponse { problem, text: plain(200, "", body), ends: false };
    let with = |problem, change: &dyn Fn(&mut Value)| {
        let mut list = drains.clone();
        change(&mut list);
        BadResponse { problem, text: plain(200, "", &list.to_string()), ends: false }
    };
    let text = drains.to_string();
    let deep =
        format!("{{\"revision\":2,\"complete\":true,\"members\":{}{}}}", "[".repeat(300), "]".repeat(300));
    vec![
        body("an empty body", ""),
        body("no JSON", "<html>down</html>"),
        body("half a list", &text[..text.len() / 2]),
        body("two lists", &format!("{text}{text}")),
        body("an array of entries without the object", &drains["members"].to_string()),
        body("a number", "7"),
        body("null", "null"),
        body("an empty object", "{}"),
        body("nested too deep", &deep),
        body("a revision that is NaN", &text.replace("\"revision\":2", "\"revision\":NaN")),
        with("no members in a whole list", &|list| drop(list.as_object_mut().unwrap().remove("members"))),
        with("no members in a delta", &|list| {
            list["complete"] = json!(false);
            list.as_object_mut().unwrap().remove("members");
        }),
        with("no revision", &|list| drop(list.as_object_mut().unwrap().remove("revision"))),
        with("members null", &|list| list["members"] = Value::Null),
        with("members as an object", &|list| list["members"] = json!({"s-00000001": {}})),
        with("members as a string", &|list| list["members"] = json!("none")),
        with("members that are numbers", &|list| list["members"] = json!([1, 2])),
        with("members that are null", &|list| list["members"] = json!([null, null])),
        with("a negative revision", &|list| list["revision"] = json!(-1)),
        with("a revision as a string", &|list| list["revision"] = json!("2")),
        with("a fractional revision", &|list| list["revision"] = json!(2.5)),
        with("a revision out of range", &|list| list["revision"] = json!(1e30)),
        with("complete as a string", &|list| list["complete"] = json!("yes")),
        body("too long", &format!("{}{text}", " ".repeat(5 << 20))),
        BadResponse { problem: "204", text: "HTTP/1.1 204 X\r\n\r\n".to_owned(), ends: false },
        BadResponse { problem: "404", text: plain(404, "", &text), ends: false },
        BadResponse { problem: "302", text: plain(302, "Location: /x\r\n", &text), ends: false },
        BadResponse { problem: "503", text: plain(503, "", &text), ends: false },
        BadResponse { problem: "no HTTP", text: text.clone(), ends: true },
        BadResponse {
            problem: "a malformed status",
            text: format!("HTTP/1.1 2x0 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()),
            ends: true,
        },
        BadResponse {
            problem: "a negative length",
            text: format!("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n{text}"),
            ends: true,
        },
        BadResponse {
            problem: "two lengths",
            text: format!("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n{text}"),
            ends: true,
        },
        BadResponse {
            problem: "a malformed chunk size",
            text: format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{text}"),
            ends: true,
        },
        BadResponse {
            problem: "a head too long",
            text: format!("HTTP/1.1 200 OK\r\nX-A: {}\r\n\r\n", "a".repeat(64 << 10)),
            ends: true,
        },
    ]
}

/// Gives the same malformed response to every call for half a second, then a good list. Returns what the
/// dispatcher does wrong, and the fixture, which the caller keeps alive.
async fn run_bad_list_case(at: usize) -> (Vec<String>, WatchedDispatcher) {
    let mut failures = Vec::new();
    let (under_test, mut line) = WatchedDispatcher::start().await;
    let bad = bad_list_responses(&under_test).swap_remove(at);
    let mut asked = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(500) {
        let _ = line.says(&bad.text).await; // fails if the dispatcher closes midway
        if bad.ends {
            line.ends().await;
        }
        let Ok((next, call)) =
            timeout(TEST_TIMEOUT, scripted_agent::next_message(&under_test.agent, line)).await
        else {
            failures.push(format!("{}: no further call for the list", bad.problem));
            return (failures, under_test);
        };
        line = next;
        asked += 1;
        if scripted_agent::from(&call) != Some(1) {
            failures.push(format!(
                "{}: called from revision {:?}, not Some(1)",
                bad.problem,
                scripted_agent::from(&call)
            ));
            break;
        }
    }
    // Calls to the agent are cheap, but a loop without pauses would delay other work.
    if asked > 20 {
        failures.push(format!("{}: {asked} calls in half a second", bad.problem));
    }
    if under_test.dispatcher.run_task.is_finished() {
        failures.push(format!("{}: the dispatcher has ended", bad.problem));
        return (failures, under_test);
    }
    if under_test.dispatcher.ready() != 2 {
        failures.push(format!("{}: {} of two servers are ready", bad.problem, under_test.dispatcher.ready()));
    }
    let reply = status(&under_test.dispatcher.request("01", "ask", "0.900").await);
    if reply != 200 {
        failures.push(format!("{}: a request gets {reply}", bad.problem));
    }
    // The dispatcher may have given up a call in the meantime: it expects the agent to answer at once, which
    // this one did not.
    let accepted = async {
        loop {
            let _ = line.says(&http_response(&under_test.list(3, true, "draining"))).await;
            if under_test.dispatcher.wait_for_ready(1, Duration::from_millis(200)).await.is_ok() {
                return;
            }
            line = scripted_agent::next_message(&under_test.agent, line).await.0;
        }
    };
    if timeout(TEST_TIMEOUT, accepted).await.is_err() {
        failures.push(format!("{}: the next good list is not applied", bad.problem));
    }
    (failures, under_test)
}

/// After a malformed list the last good one stays in use, and the list is requested again, from the same
/// revision and not in a tight loop; a request in the meantime is served. The next good list is applied.
#[tokio::test]
async fn after_a_bad_list_the_last_good_one_stays_and_the_list_is_requested_again() {
    let first = WatchedDispatcher::start().await.0;
    let count = bad_list_responses(&first).len();
    let mut failures = Vec::new();
    // The agents are kept alive: their dispatchers still call them, so that no other agent may get a port of
    // theirs.
    let mut kept = vec![first];
    for batch in (0..count).collect::<Vec<_>>().chunks(12) {
        let cases: Vec<_> = batch.iter().map(|&at| tokio::spawn(run_bad_list_case(at))).collect();
        for case in cases {
            let (problem, under_test) = case.await.unwrap();
            failures.extend(problem);
            kept.push(under_test);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// A delta reports a server as draining, in an entry of which another field is malformed. Either the drain is
/// acted on, or the delta is requested again: if the revision were taken as known without the entry, the
/// dispatcher would never learn of the drain. The other server serves on.
#[tokio::test]
async fn a_drain_in_a_malformed_entry_is_acted_on_or_requested_again() {
    let (mut failures, mut kept) = (Vec::new(), Vec::new());
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
        let (mut under_test, mut line) = WatchedDispatcher::start().await;
        let mut served_list = under_test.list(2, false, "draining");
        served_list["members"][0][field] = value.clone();
        line.says(&http_response(&served_list)).await.unwrap();
        let next = tokio::select! {
            next = timeout(TEST_TIMEOUT, scripted_agent::next_message(&under_test.agent, line)) =>
                next.ok().map(|(_, call)| call),
            ended = &mut under_test.dispatcher.run_task => {
                failures.push(format!("{field} {value}: the dispatcher has ended: {ended:?}"));
                continue;
            }
        };
        let requested_again =
            next.as_ref().is_some_and(|call| scripted_agent::from(call).is_none_or(|from| from < 2));
        if !requested_again
            && under_test.dispatcher.wait_for_ready(1, Duration::from_millis(200)).await.is_err()
        {
            failures.push(format!("{field} {value}: the drain is neither acted on nor requested again"));
        }
        let reply = status(&under_test.dispatcher.request("02", "ask", "0.900").await);
        if reply != 200 {
            failures.push(format!("{field} {value}: a request gets {reply}"));
        }
        kept.push(under_test);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Entries with malformed fields, such as strings that are no address, next to a good entry: all requests are
/// served, and the dispatcher does not end.
#[tokio::test]
async fn a_malformed_entry_for_one_server_fails_no_request() {
    let (mut failures, mut kept) = (Vec::new(), Vec::new());
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
        let (mut under_test, mut line) = WatchedDispatcher::start().await;
        let mut malformed_entry = server_entry(under_test.servers[0].address, 1, "up");
        malformed_entry[field] = value.clone();
        let members = [malformed_entry, server_entry(under_test.servers[1].address, 2, "up")];
        line.says(&http_response(&list(2, true, &members))).await.unwrap();
        tokio::select! {
            _ = scripted_agent::next_call(&under_test.agent, line) => {}
            ended = &mut under_test.dispatcher.run_task => {
                failures.push(format!("{field} {value}: the dispatcher has ended: {ended:?}"));
                continue;
            }
        }
        let mut failed_statuses = Vec::new();
        for session in 0..8 {
            let call = platform(&format!("03{session:014x}"), "ask", "0.900");
            let call = call.replace("X-Entity: e", &format!("X-Entity: e{session}"));
            let reply = status(&until_close(under_test.dispatcher.platform, &call).await);
            failed_statuses.extend(Some(reply).filter(|reply| *reply != 200));
        }
        if !failed_statuses.is_empty() || under_test.dispatcher.run_task.is_finished() {
            let ended = under_test.dispatcher.run_task.is_finished();
            failures.push(format!(
                "{field} {value}: of 8 requests some fail with {failed_statuses:?}; ended: {ended}"
            ));
        }
        kept.push(under_test);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Two servers whose ids differ only before the last dash are two servers.
#[tokio::test]
async fn ids_with_the_same_suffix_name_two_servers() {
    let (under_test, mut line) = WatchedDispatcher::start().await;
    let mut members = [
        server_entry(under_test.servers[0].address, 1, "up"),
        server_entry(under_test.servers[1].address, 1, "up"),
    ];
    members[0]["id"] = json!("rack-a-00000001");
    members[1]["id"] = json!("rack-b-00000001");
    line.says(&http_response(&list(2, true, &members))).await.unwrap();
    let _line = scripted_agent::next_call(&under_test.agent, line).await;
    under_test.dispatcher.wait_for_ready(2, Duration::from_millis(300)).await.unwrap();
    assert_eq!(under_test.servers_used(1).await.len(), 2);
}

/// Gives the same response to every message on every connection, until the task is aborted.
async fn respond_to_all(peer: Peer, http_response: String) {
    loop {
        let mut line = peer.accept().await;
        let http_response = http_response.clone();
        tokio::spawn(async move {
            while line.message().await.is_some() && line.says(&http_response).await.is_ok() {}
        });
    }
}

/// A load report without valid numbers is ignored: the next requests are served like the first one.
#[tokio::test]
async fn a_malformed_load_report_fails_no_request() {
    let (mut failures, mut kept) = (Vec::new(), Vec::new());
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
        let dispatcher = RunningDispatcher::start(&config);
        let read = plain(202, &format!("X-Pressure: {report}\r\n"), "{\"cached_tokens\":1}");
        let body = format!("{}{LAST_EVENTS}: X-Pressure: {report}\n\n", event(0));
        let written = plain(200, "Content-Type: text/event-stream\r\n", &body);
        let servers =
            [tokio::spawn(respond_to_all(reader, read)), tokio::spawn(respond_to_all(writer, written))];
        let mut reply = Vec::new();
        for turn in 0..3 {
            reply.push(status(&dispatcher.request(&format!("04{turn:014x}"), "ask", "0.900").await));
        }
        servers.iter().for_each(tokio::task::JoinHandle::abort);
        if reply != [200; 3] {
            failures.push(format!("{report:?}: {reply:?}"));
        }
        kept.push(agent);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Malformed and extreme labels, times and header fields: each request is served or refused with 400 and a
/// reason, and a good request after it is served.
#[tokio::test]
async fn malformed_labels_and_times_are_served_or_refused_with_a_reason() {
    let (under_test, _line) = WatchedDispatcher::start().await;
    let dispatcher = &under_test.dispatcher;
    let good = platform("05", "ask", "0.900");
    let labels = |text: &str| good.replace("prompt_len=100,max_out=8", text);
    let mut failures = Vec::new();
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
        let reply = until_close(dispatcher.platform, &call).await;
        if status(&reply) != expected
            || (expected == 400 && reply.split_once("\r\n\r\n").is_none_or(|(_, why)| why.is_empty()))
        {
            failures.push(format!("not the expected {expected}: {call}\n{reply}"));
        }
        let good_status = status(&dispatcher.request(&format!("06{turn:014x}"), "ask", "0.900").await);
        if good_status != 200 || dispatcher.run_task.is_finished() {
            failures.push(format!("after {call}: a good request gets {good_status}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Clients send malformed heads, lengths or chunks and keep their connection open: each gets an error or a
/// close within the time limit for clients, and other requests are served meanwhile.
#[tokio::test]
async fn malformed_client_requests_keep_no_connection_past_its_deadline() {
    let (under_test, _line) = WatchedDispatcher::start().await;
    let to = under_test.dispatcher.platform;
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
                let _ = stream.write_all(case.as_bytes()).await; // fails if the dispatcher closes in the middle
                let mut read = Vec::new();
                let ended = timeout(CLIENT_DEADLINE * 2, stream.read_to_end(&mut read)).await.is_ok();
                (ended, start.elapsed(), String::from_utf8_lossy(&read).into_owned())
            })
        })
        .collect();
    for turn in 0..20 {
        let reply = under_test.dispatcher.request(&format!("08{turn:014x}"), "ask", "0.900").await;
        assert_eq!(status(&reply), 200, "good request while malformed ones are open: {reply}");
        sleep(Duration::from_millis(20)).await;
    }
    let mut failures = Vec::new();
    for (case, wait) in cases.iter().zip(waits) {
        let (ended, took, reply) = wait.await.unwrap();
        let case = &case[..case.len().min(220)];
        if (!ended && status(&reply) < 400) || (ended && took > CLIENT_DEADLINE && reply.is_empty()) {
            failures.push(format!("{case:?}: ended {ended} after {took:?}, response {reply:?}"));
        }
        if status(&reply) == 200 {
            failures.push(format!("{case:?}: was served: {reply:?}"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
    assert_eq!(
        under_test.servers[0]
            .log()
            .iter()
            .chain(&under_test.servers[1].log())
            .filter(|line| line.ends_with(" 07"))
            .count(),
        0
    );
}

/// A server sends a malformed response and keeps its connection open: the dispatcher closes that connection
/// soon after the deadline of the request, and the client has an error response by then.
#[tokio::test]
async fn a_malformed_server_response_keeps_no_connection_past_its_deadline() {
    let malformed_responses = [
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
    let mut case_tasks = Vec::new();
    for (turn, text) in malformed_responses.into_iter().enumerate() {
        case_tasks.push(tokio::spawn(async move {
            let bad = Peer::start().await;
            let agent = Peer::start().await;
            let known = [server_entry(bad.address, 1, "up")];
            let dispatcher = RunningDispatcher::start(&settings(agent.address, &list(1, true, &known)));
            let (to, request_text) =
                (dispatcher.platform, platform(&format!("09{turn:014x}"), "book", "0.900"));
            let start = Instant::now();
            let request_task = tokio::spawn(async move { until_close(to, &request_text).await });
            let (mut line, _): (Line, _) = bad.asked().await;
            let _ = line.says(&text).await; // fails if the dispatcher closes in the middle
            let closed = timeout(TEST_TIMEOUT, line.rest()).await.is_ok();
            let took = start.elapsed();
            let reply = timeout(TEST_TIMEOUT, request_task)
                .await
                .expect("no response within the time limit")
                .unwrap();
            (closed, took, status(&reply), text)
        }));
    }
    let mut failures = Vec::new();
    for case_task in case_tasks {
        let (closed, took, reply, text) = case_task.await.unwrap();
        let text = &text[..text.len().min(90)];
        // The limit is the deadline of 0.9 s, plus two seconds for which the body of a short response is read.
        if !closed {
            failures.push(format!("{text:?}: closed {closed} after {took:?}"));
        }
        if reply == 200 {
            failures.push(format!("{text:?}: served"));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Pairs of the path of a setting and a bad value for it; the refusal has to name that path.
fn bad_settings() -> Vec<(&'static str, Value)> {
    let text = json!("soon");
    let mut under_test: Vec<(&'static str, Value)> = Vec::new();
    // Times must be numbers, not negative and not beyond an upper bound.
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
            under_test.push((path, value));
        }
    }
    for path in ["/settings/rules/cold_s", "/settings/rules/fall_s", "/settings/rules/must_ask_in_s"] {
        for value in [text.clone(), json!("NaN"), json!(-1), json!(1e300)] {
            under_test.push((path, value));
        }
    }
    for path in ["/settings/rules/cold_from", "/settings/rules/fall_multiple"] {
        for value in [text.clone(), json!("NaN"), json!("inf"), json!(-1), json!(1e300)] {
            under_test.push((path, value));
        }
    }
    for value in [json!("NaN"), json!("inf"), json!(-1), text.clone()] {
        under_test.push(("/settings/prices/peer", value));
    }
    for value in [json!(0), json!(-1), json!(1.5), json!(1e9), text.clone()] {
        under_test.push(("/settings/balancers", value));
    }
    for value in [json!(-1), json!(1.5), text.clone()] {
        under_test.push(("/settings/locality", value));
    }
    for value in [json!("scribe"), json!(7), json!(true)] {
        under_test.push(("/settings/discovery", value));
    }
    for path in [
        "/settings/limits/cancel",
        "/settings/limits/peers",
        "/settings/domain/resume",
        "/settings/domain/local_read",
    ] {
        for value in [json!("yes"), json!(2), json!([true])] {
            under_test.push((path, value));
        }
    }
    for value in
        [json!(["read", "write", "scribe"]), json!([1, 2, 3]), json!({"a": 1}), json!(["read", "read,write"])]
    {
        under_test.push(("/settings/domain/role_by_kind", value));
    }
    for value in [json!(["a", "a", "b"]), json!([""]), json!({"a": 1}), json!([1, 2, 3])] {
        under_test.push(("/settings/kinds", value));
    }
    for value in [json!(["NaN", 1, 1]), json!([1e300, 1, 1]), json!(["x", 1, 1]), json!([0, 1, 1])] {
        under_test.push(("/settings/domain/kind_memory_tokens", value));
    }
    for path in ["/settings/domain/aim_us_per_1000_prompt_tokens", "/settings/domain/token_aim_s"] {
        for value in [json!(["NaN", 1]), json!([-1, 1]), json!([1e300, 1]), json!(["x", 1])] {
            under_test.push((path, value));
        }
    }
    for value in [json!("none"), json!(""), json!(3), Value::Null, json!(["idempotent"])] {
        under_test.push(("/settings/lanes/0/effect", value));
    }
    for value in [json!("rack"), json!(3), json!(["all"])] {
        under_test.push(("/settings/lanes/0/group", value));
    }
    for value in [json!("ask"), json!(""), json!(3), Value::Null] {
        under_test.push(("/settings/lanes/1/name", value));
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
            under_test.push((path, value));
        }
    }
    for path in
        ["/settings/lanes/0/worth", "/settings/lanes/0/dedup_window_s", "/settings/lanes/0/late_worth"]
    {
        for value in [json!(-1), json!(1e300), json!("1"), json!("NaN"), Value::Null] {
            under_test.push((path, value));
        }
    }
    for value in
        [json!(0), json!(-1), json!(2.5), json!("5"), json!(5_000_000_000u64), Value::Null, json!(true)]
    {
        under_test.push(("/settings/limits/max_attempts", value));
    }
    for value in [json!(0), json!(-1), json!(1.5), json!("1024"), json!(1e30)] {
        under_test.push(("/limits/sockets", value.clone()));
        under_test.push(("/limits/memory_mb", value));
    }
    for path in ["/listen", "/discovery", "/admin_addr", "/peer_listen", "/peers_all"] {
        for value in [json!("nowhere"), json!("127.0.0.1:99999"), json!("127.0.0.1"), json!(8080)] {
            under_test.push((path, value));
        }
    }
    under_test.extend([
        ("/name", json!(7)),
        ("/seed", json!(7)),
        ("/settings/lanes", json!({"ask": {}})),
        ("/settings/lanes", json!([1])),
    ]);
    under_test
}

/// Sets the value at this path; keys that are missing on the way are added.
fn set_at_path(config: &mut Value, path: &str, value: Value) {
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

/// A bad setting is refused with its path. Start, `check-config` and SIGHUP all read the configuration with
/// this function.
#[test]
fn a_bad_setting_is_refused_with_its_path() {
    assert!(Config::parse("config", &good().to_string(), |_| None).is_ok());
    let mut accepted = Vec::new();
    let mut without_path = Vec::new();
    for (path, value) in bad_settings() {
        let mut config = good();
        set_at_path(&mut config, path, value.clone());
        // The path as refusals write it; for an array element they have to name the key and the index.
        let setting_path = path.trim_start_matches("/settings").trim_start_matches('/').replace('/', ".");
        match Config::parse("config", &config.to_string(), |_| None) {
            Ok(_) => accepted.push(format!("{setting_path}: {value}")),
            Err(error) if error.to_string().contains(&setting_path) => {}
            Err(error) => without_path.push(format!("{setting_path}: {value}: {error}")),
        }
    }
    assert!(
        accepted.is_empty() && without_path.is_empty(),
        "accepted: {accepted:#?}\nrefused without the path: {without_path:#?}"
    );
}

/// The program at its start, in `check-config` and on SIGHUP refuses one bad setting of each kind; the process
/// that already runs serves on with the old configuration.
#[tokio::test]
async fn a_start_check_config_and_sighup_refuse_the_same_files() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bad-settings");
    std::fs::create_dir_all(&folder).unwrap();
    let (server, agent) = (Server::start(Behavior::Stream(1)).await, Peer::start().await);
    let port = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut good = settings(agent.address, &list(1, true, &[server_entry(server.address, 1, "up")]));
    good["listen"] = json!(port);
    good["admin_addr"] = json!("127.0.0.1:0");
    let (good_file, bad) = (folder.join("good.json"), folder.join("bad.json"));
    std::fs::write(&good_file, good.to_string()).unwrap();
    let start = |path: &PathBuf, command: &str| {
        let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
        program.arg(command).arg("--config").arg(path).env_clear().current_dir(&folder).kill_on_drop(true);
        program.stdout(Stdio::piped()).stderr(Stdio::piped());
        program
    };
    let mut child = start(&good_file, "serve").spawn().unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let mut until = async |says: &str| loop {
        let line = timeout(TEST_TIMEOUT, lines.next_line())
            .await
            .expect("no log line within the time limit")
            .unwrap()
            .expect("the program ended");
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
        set_at_path(&mut config, path, value);
        std::fs::write(&bad, config.to_string()).unwrap();
        for command in ["serve", "check-config"] {
            let output = timeout(TEST_TIMEOUT, start(&bad, command).output())
                .await
                .expect("the program did not end within the time limit")
                .unwrap();
            let reply = String::from_utf8(output.stderr).unwrap();
            assert!(!output.status.success() && reply.contains(says), "{command}, {path}: {reply}");
        }
        std::fs::write(&good_file, config.to_string()).unwrap();
        let id = child.id().unwrap().to_string();
        assert!(std::process::Command::new("kill").args(["-HUP", &id]).status().unwrap().success());
        let line = until("not taken over").await;
        assert!(line.contains(says), "{path}: {line}");
        let reply = until_close(port, &platform(&format!("0a{:x}", says.len()), "ask", "0.900")).await;
        assert_eq!(status(&reply), 200, "the running process serves on: {reply}");
    }
    let process_id = child.id().unwrap().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &process_id]).status().unwrap().success());
}

/// The malformed entry with the drain is the only one in the delta: an agent that is asked again only repeats
/// it, so that the drain has to be acted on as it is.
#[tokio::test]
async fn a_drain_in_a_delta_with_only_a_malformed_entry_is_acted_on() {
    let (under_test, mut line) = WatchedDispatcher::start().await;
    let mut served_list = list(2, false, &[server_entry(under_test.servers[0].address, 1, "draining")]);
    served_list["members"][0]["size"] = json!("big");
    line.says(&http_response(&served_list)).await.unwrap();
    under_test.dispatcher.wait_for_ready(1, TEST_TIMEOUT).await.unwrap();
}
