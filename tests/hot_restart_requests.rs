//! The requests of two processes of one dispatcher, during a hot restart: by the rules, both are one dispatcher, so what
//! only one of them knows must count in the other as well.

mod deployment;
mod processes;

use std::net::SocketAddr;
use std::time::Duration;

use deployment::{Deployment, Process};
use dewladder::edge::core::{Core, Effect, IdClaim, Input};
use dewladder::edge::discovery::listing::entries;
use dewladder::edge::settings::Config;
use dewladder::interface::{ListUpdateKind, RequestId, RequestInfo};
use dewladder_test_peers::{config, member, platform, until_close, Shape};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const SECOND: u64 = 1_000_000;

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// A deployment whose streams outlast the test.
async fn start(name: &str) -> (Deployment, Process) {
    let shape = Shape { events: 2_000, pause: Duration::from_millis(20), ..Shape::default() };
    let site = Deployment::new(&format!("requests-{name}"), shape).await;
    let mut config = site.config();
    for class in config["settings"]["lanes"].as_array_mut().unwrap() {
        class["give_up_s"] = json!(5.0);
    }
    site.write(&config);
    let process = site.start().await;
    process.until_ready().await;
    (site, process)
}

/// Opens a booking and reads until its first event.
async fn open_booking(at: SocketAddr, id: &str) -> TcpStream {
    open_request(at, &platform(id, "book", "5.000")).await
}

/// Sends a request and reads until its first event.
async fn open_request(at: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    while !String::from_utf8_lossy(&read).contains("data: ") {
        let length =
            timeout(Duration::from_secs(10), stream.read_buf(&mut read)).await.expect("no event in time");
        assert!(length.unwrap() > 0, "closed: {}", String::from_utf8_lossy(&read));
    }
    stream
}

/// Sends each id again, `times` on new connections, and checks that each is answered 409 and that none runs again.
async fn repeat_ids(site: &Deployment, ids: &[String], times: usize, when: &str) {
    let mut clients = JoinSet::new();
    for id in ids.iter().cycle().take(ids.len() * times) {
        let (at, text) = (site.port.address(), platform(id, "book", "5.000"));
        clients.spawn(async move { timeout(Duration::from_secs(8), until_close(at, &text)).await });
    }
    while let Some(answer) = clients.join_next().await {
        let answer =
            answer.unwrap().unwrap_or_else(|_| panic!("{when}: served under the id of an open booking"));
        assert_eq!(status(&answer), 409, "{when}: {answer}");
    }
    for id in ids {
        let runs = site.fleet.started().iter().filter(|request| request.id == *id).count();
        assert_eq!(runs, 1, "{when}: {id}");
    }
}

/// A bad client sent the ids of open bookings during an upgrade: each booking ran a second time in the other process, and
/// the bad client got its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_that_is_open_in_one_process_is_a_duplicate_in_the_other() {
    let (site, old) = start("ids").await;
    let mut ids: Vec<String> = (1..=6).map(|id| format!("{id:016x}")).collect();
    let mut open = Vec::new();
    for id in &ids {
        open.push(open_booking(site.port.address(), id).await);
    }
    repeat_ids(&site, &ids, 2, "alone").await;
    let new = site.start().await;
    new.until_ready().await;
    // The kernel spreads new connections over both processes: bookings are open in both, and ids are sent to both.
    for id in 0x11..=0x18 {
        ids.push(format!("{id:016x}"));
        open.push(open_booking(site.port.address(), &ids[ids.len() - 1]).await);
    }
    repeat_ids(&site, &ids, 4, "while both serve").await;
    old.send_signal("-TERM");
    sleep(Duration::from_millis(100)).await;
    repeat_ids(&site, &ids, 2, "while the old process leaves").await;
    drop(open);
    new.eventually("pending", 0).await;
    // They have run: their ids stay taken, also those of the process that has ended.
    repeat_ids(&site, &ids, 2, "after their clients have left").await;
    for _ in 0..2 {
        let ask = platform("00000000000000f1", "ask", "5.000");
        let open = timeout(Duration::from_secs(8), open_request(site.port.address(), &ask)).await;
        drop(open.expect("an id that is not open any more and may run again is free"));
        new.eventually("pending", 0).await;
    }
}

/// The ids of bookings that ran under the class's old rules, or in a process that was killed, ran again.
#[tokio::test(flavor = "multi_thread")]
async fn ids_stay_known_after_a_reload_and_a_kill() {
    let (site, old) = start("reload-kill").await;
    let ids: Vec<String> = (0x21..=0x24).map(|id| format!("{id:016x}")).collect();
    let mut open = Vec::new();
    for id in &ids {
        open.push(open_booking(site.port.address(), id).await);
    }
    open.truncate(2); // the clients of the other two leave
    old.eventually("pending", 2).await;
    let mut config: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(site.folder.join("config.json")).unwrap()).unwrap();
    config["settings"]["lanes"][1]["worth"] = json!(3.0);
    config["settings"]["lanes"][1]["effect"] = json!("idempotent");
    site.write(&config);
    old.send_signal("-HUP");
    old.eventually("config_reloads", 1).await;
    open.clear();
    old.eventually("pending", 0).await;
    repeat_ids(&site, &ids, 2, "after a reload").await;
    config["settings"]["lanes"][1]["effect"] = json!("at_most_once");
    site.write(&config);
    old.send_signal("-HUP");
    old.eventually("config_reloads", 2).await;
    repeat_ids(&site, &ids, 2, "after a second reload").await;
    let mut ids = ids;
    ids.push(format!("{:016x}", 0x25));
    open.push(open_booking(site.port.address(), &ids[4]).await);
    old.send_signal("-KILL");
    old.wait_for_exit().await;
    let new = site.start().await;
    new.until_ready().await;
    repeat_ids(&site, &ids, 2, "after a kill").await;
}

/// A request that was refused never ran: it may come again under its id, and is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_id_that_comes_again_is_served() {
    let (site, _process) = start("refused").await;
    let (at, id) = (site.port.address(), format!("{:016x}", 0x31));
    site.fleet.drain(true);
    let refused = timeout(Duration::from_secs(8), until_close(at, &platform(&id, "book", "0.050"))).await;
    assert_eq!(status(&refused.unwrap()), 503);
    site.fleet.drain(false);
    let text = platform(&id, "book", "5.000");
    let mut head = String::new();
    for _ in 0..1_000 {
        // Refused again until the program has the new list.
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = [0; 64];
        let length = timeout(Duration::from_secs(8), stream.read(&mut bytes)).await.unwrap().unwrap();
        head = String::from_utf8_lossy(&bytes[..length]).into_owned();
        if status(&head) != 503 {
            break;
        }
    }
    assert_eq!(status(&head), 200, "an id whose request never ran is free: {head}");
    assert_eq!(site.fleet.started().iter().filter(|request| request.id == id).count(), 1);
}

/// Where nothing is known of the other process, a request that must not run twice is refused, and only then.
#[test]
fn a_request_whose_id_may_be_open_elsewhere_is_refused_if_it_must_not_run_twice() {
    let address = "127.0.0.1:1".parse().unwrap();
    let members = [member(address, 1, "prefill", "up"), member(address, 2, "decode", "up")];
    let list = json!({"revision": 1, "complete": true, "members": members});
    let config = Config::parse("config", &config(address, &list), |_| None).unwrap();
    let class = |name: &str| config.settings.current().find(|class| class.name == name).unwrap().clone();
    let (ask, book) = (class("ask"), class("book"));
    let number =
        |name: &str| *config.settings.classes.iter().find(|(_, class)| class.name == name).unwrap().0;
    assert_ne!(ask.effect, book.effect);
    let mut core = Core::new(config.settings.clone(), 7, SECOND, 100);
    let listed = entries(&config.known, &config.names).into_iter().map(|(entry, _)| entry).collect();
    core.step(SECOND, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries: listed });
    let mut next_id = 0;
    let mut is_sent = |core: &mut Core, class: u32, id_claim: IdClaim| {
        next_id += 1;
        let info = RequestInfo {
            id: RequestId(next_id),
            class,
            session: None,
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 100,
            max_tokens: 8,
            hint: None,
            not_after: 2 * SECOND,
        };
        let effects = core.step(SECOND, Input::RequestArrived { info, received_at: SECOND, id_claim });
        effects.iter().any(|effect| matches!(effect, Effect::Send { .. }))
    };
    for (has_peer, class, id_claim, sent) in [
        (false, "book", IdClaim::Exclusive, true),
        (false, "book", IdClaim::Unknown, true),
        (true, "book", IdClaim::Exclusive, true),
        (true, "book", IdClaim::Unknown, false),
        (true, "ask", IdClaim::Unknown, true),
        (false, "book", IdClaim::NoRoom, false),
        (true, "book", IdClaim::NoRoom, false),
    ] {
        core.step(SECOND, Input::LimitShareChanged { share: 0.5, max_open_requests: 100, has_peer });
        let result = is_sent(&mut core, number(class), id_claim);
        assert_eq!(result, sent, "peer {has_peer}, class {class}, {id_claim:?}");
    }
}

/// Settings of the chat front that recognizes repeats.
fn fronts(at: SocketAddr) -> String {
    format!(
        "[chat]\nenabled = true\nlisten = \"{at}\"\nmost_open = 1000\n[chat.models]\nkiln-book = \"book\"\n\
         [chat.repeats]\nenabled = true\nafter_start_s = 0.0\nlinger_s = 10.0\n"
    )
}

/// A deployment with a chat front that recognizes repeats, whose streams take 2 s, and its first process.
async fn start_with_chat(name: &str) -> (Deployment, processes::Port, Process) {
    let shape = Shape { events: 100, pause: Duration::from_millis(20), ..Shape::default() };
    let site = Deployment::new(&format!("requests-{name}"), shape).await;
    let chat_port = processes::Port::new();
    site.write(&site.config());
    std::fs::write(site.folder.join("fronts.toml"), fronts(chat_port.address())).unwrap();
    let process = site.start().await;
    process.until_ready().await;
    (site, chat_port, process)
}

/// Sends a keyed booking, and reads the answer, or only its first event.
async fn keyed(at: SocketAddr, key: &str, first_event_only: bool) -> String {
    read_booking(at, key, &format!("Idempotency-Key: {key}\r\n"), first_event_only).await
}

/// Sends a booking with these words, and reads the answer, or only its first event.
async fn read_booking(at: SocketAddr, words: &str, headers: &str, first_event_only: bool) -> String {
    let body =
        json!({"model": "kiln-book", "stream": true, "messages": [{"role": "user", "content": words}]})
            .to_string();
    let text = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n{headers}Content-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    loop {
        let answer = String::from_utf8_lossy(&read).into_owned();
        if first_event_only && answer.contains("data: ") {
            return answer;
        }
        if stream.read_buf(&mut read).await.unwrap_or(0) == 0 {
            return answer;
        }
    }
}

/// The link of a booking with an `Idempotency-Key` died, a new version took over, and the client asked again with the same
/// key: the booking ran a second time, as the store of repeats is known to one process only.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_booking_does_not_run_again_in_the_process_that_replaces_its_own() {
    let (site, chat_port, old) = start_with_chat("keys").await;
    let at = chat_port.address();
    let keys = ["one", "two", "three"];
    for key in keys {
        let first = keyed(at, key, true).await; // the client then closes its connection
        assert_eq!(status(&first), 200, "{first}");
    }
    let new = site.start().await;
    new.until_ready().await;
    old.send_signal("-TERM");
    sleep(Duration::from_millis(300)).await;
    let repeat_all = |when: &'static str| async move {
        for key in keys {
            let answer = timeout(Duration::from_secs(8), keyed(at, key, false)).await.expect(when);
            assert_eq!(status(&answer), 409, "{when}, {key}: {answer}");
            assert!(
                answer.contains("may_have_run") && answer.contains("x-should-retry: false"),
                "{when}: {answer}"
            );
        }
    };
    repeat_all("while the old process leaves").await;
    let (code, _) = old.wait_for_exit().await;
    assert_eq!(code, Some(0));
    repeat_all("after the end of the old process").await;
    let third = site.start().await;
    third.until_ready().await;
    new.send_signal("-TERM");
    sleep(Duration::from_millis(300)).await;
    repeat_all("in the process after the next").await;
    assert_eq!(status(&keyed(at, "another", true).await), 200, "a new key runs");
    for key in keys {
        assert_eq!(site.fleet.runs_of(key), 1, "{key}");
    }
}

/// Sends a booking without a key whose library counts its retries, and reads the answer, or only its first event.
async fn counted(at: SocketAddr, words: &str, retry_count: u32, first_event_only: bool) -> String {
    let headers = format!("x-stainless-retry-count: {retry_count}\r\n");
    read_booking(at, words, &headers, first_event_only).await
}

/// Review case 7: links of bookings died during an upgrade, and their libraries tried again without keys. Where the retry came to the
/// older process and the first try had come to the newer one, the booking ran a second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_counted_booking_does_not_run_again_in_the_process_beside_its_own() {
    let (site, chat_port, _old) = start_with_chat("counted").await;
    let at = chat_port.address();
    let new = site.start().await;
    new.until_ready().await;
    let words: Vec<String> = (0..16).map(|number| format!("firing-{number}-please")).collect();
    for words in &words {
        let first = counted(at, words, 0, true).await; // the client then closes its connection
        assert_eq!(status(&first), 200, "{first}");
    }
    let mut retries = JoinSet::new();
    for words in words.clone() {
        retries.spawn(async move { timeout(Duration::from_secs(8), counted(at, &words, 1, false)).await });
    }
    let answers: Vec<String> = retries.join_all().await.into_iter().map(|answer| answer.unwrap()).collect();
    for words in &words {
        assert_eq!(site.fleet.runs_of(words), 1, "{words}");
    }
    let told = answers.iter().filter(|answer| status(answer) == 409).count();
    let answered = answers.iter().filter(|answer| status(answer) == 200).count();
    assert_eq!(told + answered, words.len(), "{answers:?}");
    assert!(told > 0 && answered > 0, "all retries came to the process of their first tries, or none did");
}
