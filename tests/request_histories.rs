//! Request histories: their content, their bounded memory, their bounded rate in the log, and the ways to see them.

mod server_processes;

use dewladder::edge::core::history_reports::{HistoryReports, ReportReason};
use dewladder::edge::core::request::Request;
use dewladder::edge::core::request_history::{RequestHistory, Transition};
use dewladder::edge::core::{ConnectionKind, Core, Effect, IdClaim, Input};
use dewladder::interface::*;
use dewladder_router::settings::from_key_values;
use server_processes::{Layout, Site};

const SECOND: Micros = 1_000_000;

/// Returns a core with one class, a reader (server 0) and a writer (server 1).
fn core() -> Core {
    let pairs = [
        ("lanes.count", "1"),
        ("lanes.0.aim_s", "0.4"),
        ("limits.max_retry_after_s", "1"),
        ("kinds", "a,b"),
        ("domain.role_by_kind", "read,write"),
        ("domain.release_within_s", "0.5"),
    ];
    let settings = from_key_values(pairs.into_iter().collect()).expect("valid settings");
    let mut core = Core::new(settings, 1, SECOND, 1_000);
    let entry = |server: u32| ServerEntry {
        server: ServerId(server),
        zone: ZoneId(0),
        cell: CellId(0),
        weight: 1.0,
        started: None,
        health: Health::Ready,
        kind: server,
    };
    let entries = vec![entry(0), entry(1)];
    core.step(SECOND, Input::EndpointsUpdated { kind: ListUpdateKind::Full, entries });
    core
}

fn request(id: u64) -> Input {
    Input::RequestArrived {
        info: RequestInfo {
            id: RequestId(id),
            class: 0,
            session: None,
            shared: None,
            shared_tokens: 0,
            prompt_tokens: 100,
            max_tokens: 10,
            hint: None,
            not_after: 4 * SECOND,
        },
        received_at: SECOND,
        id_claim: IdClaim::Exclusive,
    }
}

/// Submits a request that its reader reads, and returns the number of the attempt at the writer.
fn read(core: &mut Core, id: u64, now: Micros) -> u32 {
    let sent = core.step(now, request(id));
    let [Effect::Send { id, attempt, reads: true, .. }] = sent[..] else { panic!("{sent:?}") };
    core.step(now, Input::AttemptWritten { id, attempt, connection: ConnectionKind::Kept });
    let result = Outcome::Read.into();
    let sent = core.step(now + 20_000, Input::AttemptFinished { id, attempt, result });
    let [Effect::Send { attempt, .. }] = sent[..] else { panic!("{sent:?}") };
    attempt
}

#[test]
fn a_history_has_each_transition_with_its_time() {
    let mut core = core();
    let attempt = read(&mut core, 7, SECOND);
    let id = RequestId(7);
    core.step(SECOND + 21_000, Input::AttemptWritten { id, attempt, connection: ConnectionKind::New });
    let shown = core.histories(SECOND + 30_000, 5);
    let (head, history) = shown.trim_end().split_once(" +0 ").expect("no history");
    assert_eq!(head, "request_id=0000000000000007 class=0 held_us=10000");
    let steps: Vec<&str> = history.split("; ").collect();
    let [arrived, sent_to_reader, written, read, sent_to_writer, written_to_writer] = steps[..] else {
        panic!("{history}")
    };
    assert_eq!(arrived, "arrived time_left_us=3000000");
    assert!(sent_to_reader.starts_with("+0 sent attempt=0 server=00000000 stage=read"), "{sent_to_reader}");
    assert_eq!(written, "+0 written attempt=0 connection=kept");
    assert_eq!(read, "+20000 finished attempt=0 outcome=Read");
    assert!(sent_to_writer.starts_with("+20000 sent attempt=1 server=00000001 stage=write"));
    assert_eq!(written_to_writer, "+21000 written attempt=1 connection=new");
}

#[test]
fn a_long_history_keeps_its_first_and_last_entries_and_counts_dropped_ones() {
    let mut history = RequestHistory::new(SECOND, 9);
    for attempt in 0..5_000 {
        history.add(SECOND + Micros::from(attempt), Transition::StreamStarted { attempt });
    }
    let text = history.to_string();
    assert!(text.starts_with("+0 arrived time_left_us=9; 4961 dropped; "), "{text}");
    assert!(text.ends_with("+4999 stream_started attempt=4999"), "{text}");
    assert_eq!(text.split("; ").count(), 2 + 39);
}

#[test]
fn histories_over_the_rate_limit_are_counted_and_the_count_is_reset() {
    let Input::RequestArrived { info, .. } = request(1) else { panic!("not a request") };
    let (open, mut reports) = (Request::new(&info, SECOND), HistoryReports::default());
    let mut write = |now: Micros, count: u64| {
        for id in 0..count {
            reports.write(now, RequestId(id), &open, ReportReason::Unanswered);
        }
        reports.take_left_out()
    };
    assert_eq!(write(20 * SECOND, 50), 30, "20 of 50 are written");
    assert_eq!(write(29 * SECOND, 5), 5, "the interval has not ended");
    assert_eq!(write(30 * SECOND, 5), 0, "the next one has begun");
}

#[test]
fn written_attempts_without_an_answer_are_counted_by_server() {
    let mut core = core();
    let attempt = read(&mut core, 1, SECOND);
    let id = RequestId(1);
    let unanswered = |core: &Core| core.held_state_metrics(SECOND).contains("unanswered.00000001:1|c");
    core.step(SECOND + 30_000, Input::AttemptWritten { id, attempt, connection: ConnectionKind::New });
    assert!(!unanswered(&core));
    core.step(SECOND + 40_000, Input::AttemptFinished { id, attempt, result: Outcome::Reset.into() });
    assert!(unanswered(&core), "{}", core.held_state_metrics(SECOND));
}

/// With the built program at the default log level: the admin address and SIGUSR1 show open requests, the log has the
/// history of a request that got no answer, and each line has the request id that clients and servers use.
#[tokio::test]
async fn open_requests_are_visible_by_admin_address_signal_and_log() {
    let site = Site::start("histories", &Layout { writers: 1, objective_s: 0.4, ..Layout::default() }).await;
    Site::stop(&site.writers).await;
    let id = "00000000000000a1";
    let answered = site.request(id, "ask", "1.500");
    let inspected = async {
        loop {
            let open = site.admin("REQUESTS\n").await;
            assert!(open.ends_with("END\n"), "{open}");
            if open.contains(&format!("request_id={id} class=0")) && open.contains("stage=write") {
                site.signal("-USR1");
                let line = site.wait_for_log(&["request: open", id]).await;
                assert!(line.contains("finished attempt=0 outcome=Read"), "{line}");
                let held = site.admin("HELD\n").await;
                assert!(held.contains("edge_router.held.states:1|g"), "{held}");
                return;
            }
        }
    };
    let (answer, ()) = tokio::join!(answered, inspected);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    let line =
        site.wait_for_log(&["request: history", &format!("request_id={id}"), "reason=unanswered"]).await;
    assert!(line.contains("INFO") && line.contains("written attempt=1 connection=new"), "{line}");
}
