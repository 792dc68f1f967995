//! The simulator's line protocol: reading of messages, writing of actions, and errors for invalid input.

use std::io::Cursor;

use dewladder::interface::*;
use dewladder::simulator_adapter::{write_reply, Batch, BatchReader, Message};

/// The messages of the first batch in `text`, each with the number of its dispatcher.
fn read(text: &str) -> Result<Vec<(u32, Message)>, String> {
    let mut batch = Batch::default();
    match BatchReader::new(Cursor::new(text)).read(&mut batch) {
        Ok(_) => Ok(batch.messages),
        Err(error) => Err(error.to_string()),
    }
}

/// The first message of a batch with this line, which may include the lines that belong to it.
fn read_one(line: &str) -> Result<Message, String> {
    read(&format!("round\t8.41225\t1\n{line}\nyour_turn\n")).map(|mut messages| messages.remove(0).1)
}

#[test]
fn every_field_of_a_request_is_read() {
    let line = "call\t3\t2a0235775d3a91c4\t1\t2\tchat/kd6b\t8.65225\t0.012\tc:c0dw\t1800\t1200\t256\t3";
    let expected = RequestInfo {
        id: RequestId(0x2a02_3577_5d3a_91c4),
        class: 1,
        session: Some(Key::from_text("chat/kd6b")),
        shared: Some(Key::from_text("c:c0dw")),
        shared_tokens: 1_200,
        prompt_tokens: 1_800,
        max_tokens: 256,
        hint: Some(12_000),
        not_after: 8_652_250,
    };
    assert_eq!(read_one(line), Ok(Message::Event(Event::RequestArrived(expected))));
}

#[test]
fn missing_values_and_an_invalid_hint_are_none() {
    let line = "call\t3\t2a0235775d3a91c4\t0\t-\t-\t8.65225\t0.5\t-\t1800\t-\t256\t0";
    let Ok(Message::Event(Event::RequestArrived(request))) = read_one(line) else { panic!("not a request") };
    assert_eq!((request.session, request.shared, request.hint, request.shared_tokens), (None, None, None, 0));
}

#[test]
fn a_server_list_is_read_with_its_entries() {
    let text = "round\t1\t1\nroster_change\t3\t41\tstale_copy\t2\nm\t51530247\t0\t0\t1\t-\tReady\t0\n\
                m\t747639282\t1\t0\t1.5\t6.1\tTerminating\t1\nyour_turn\n";
    let messages = read(text).unwrap();
    let Message::Event(Event::EndpointsUpdated { kind, entries }) = &messages[0].1 else {
        panic!("not a server list")
    };
    assert_eq!((*kind, entries.len(), entries[0].started), (ListUpdateKind::StaleCopy, 2, None));
    assert_eq!((entries[1].started, entries[1].health), (Some(6_100_000), Health::Terminating));
}

#[test]
fn outcomes_and_reports_are_read_and_unknown_ones_are_ignored() {
    let line = "report_back\t3\t2a0235775d3a91c4\t0.0185\t2\t1\t3\t0\t51\tqueue:3,x0:0.4,new:9,x1:-";
    let Ok(Message::Event(Event::AttemptFinished(finished))) = read_one(line) else {
        panic!("not a finished attempt")
    };
    let report = Report { values: [Some(0.4), None, None, None] };
    assert_eq!((finished.outcome, finished.attempt, finished.report), (Outcome::NoState, 2, Some(report)));
    let line = "report_back\t3\t2a0235775d3a91c4\t0.0185\t0\t-\t99\t1\t51\t-";
    let Ok(Message::Event(Event::AttemptFinished(finished))) = read_one(line) else {
        panic!("not a finished attempt")
    };
    assert_eq!(
        (finished.outcome, finished.completes_request, finished.report),
        (Outcome::Unknown, true, None)
    );
    assert_eq!(
        read_one("inbox\t3\t1\taGkgNw=="),
        Ok(Message::Event(Event::GossipReceived(b"hi 7".to_vec())))
    );
    assert_eq!(read_one("inbox\t3\t1\t-"), Ok(Message::Event(Event::GossipReceived(Vec::new()))));
    assert!(read_one("inbox\t3\t1\ta.b").is_err());
    assert_eq!(
        read_one("due\t3\tsweep"),
        Ok(Message::Event(Event::TimerFired(TimerToken(u64::MAX)))),
        "a token that the adapter did not issue"
    );
}

/// The settings say which report field holds the share of memory in use, so that no deployment's choice is built in:
/// `x0` and `x2` are both accepted, and without such a setting no field is read as memory.
#[test]
fn the_settings_determine_the_memory_field_of_reports() {
    let memory_field = |pairs: &str| {
        let line = format!("born\t3\t51\tbalancers=2\tlanes.count=0{pairs}");
        let Ok(Message::Started { settings, .. }) = read_one(&line) else { panic!("not a start message") };
        settings.memory_field
    };
    let memory_in_use = "share_of_memory_that_is_held";
    let waiting_tokens = "thousands_of_prompt_tokens_waiting_to_be_read_or_fetched";
    assert_eq!(
        memory_field(&format!("\tdomain.report_x0={memory_in_use}\tdomain.report_x1={waiting_tokens}")),
        Some(0)
    );
    assert_eq!(
        memory_field(&format!("\tdomain.report_x0={waiting_tokens}\tdomain.report_x2={memory_in_use}")),
        Some(2)
    );
    assert_eq!(memory_field(&format!("\tdomain.report_x0={waiting_tokens}")), None);
    let line = "report_back\t3\t2a0235775d3a91c4\t0.0185\t2\t1\t3\t0\t51\tx2:0.9,x7:1,y:2";
    let Ok(Message::Event(Event::AttemptFinished(finished))) = read_one(line) else {
        panic!("not a finished attempt")
    };
    assert_eq!(finished.report, Some(Report { values: [None, None, Some(0.9), None] }));
}

#[test]
fn settings_are_read_and_unknown_keys_are_ignored() {
    let line = "born\t3\t51\tbalancers=3\tdomain.local_read=true\tdomain.role_by_kind=read,both\t\
                domain.kind_memory_tokens=1000,2000\tlanes.count=1\tlanes.0.aim_s=1.2\t\
                lanes.0.effect=deduplicated\tlanes.0.group=cell\tdomain.token_aim_s=0.06\tnew.key=1\t\
                orgs.count=1\torgs.0.quota_rps=4.5\tdiscovery=subscribe\trules.cold_from=0.26";
    let Ok(Message::Started { seed, settings }) = read_one(line) else { panic!("not a start message") };
    assert_eq!(
        (seed, settings.dispatcher_count, settings.writers_can_read, settings.must_subscribe),
        (51, 3, true, true)
    );
    assert_eq!(settings.kinds[1], Kind { role: Role::Mixed, memory_tokens: 2_000 });
    let class = &settings.classes[&0];
    assert_eq!((class.latency_objective, class.token_interval_objective), (1_200_000, 60_000));
    assert_eq!((class.effect, class.dedup_group), (Effect::Deduplicated, DedupGroup::Cell));
    assert!((settings.slow_start_min_share - 0.26).abs() < 1e-9);
}

#[test]
fn errors_name_the_line_and_the_field() {
    let cases = [
        ("nonsense\t3", "line 2: message: unknown message 'nonsense'"),
        ("hangup\t3", "line 2: rid: missing"),
        ("hangup\t3\tzz", "line 2: rid: 'zz' is not a request id (16 hexadecimal digits)"),
        ("hangup\tx\t2a0235775d3a91c4", "line 2: front: 'x' is not a valid value"),
        (
            "ack_first\t3\t2a0235775d3a91c4\t0\t5\tsoon",
            "line 2: time_taken_s: 'soon' is not a valid time in seconds",
        ),
        ("roster_change\t3\t1\twhole\t2\nm\t5\t0\t0\t1\t-\tReady\t0", "line 4: items: fewer entries"),
        ("roster_change\t3\t1\todd\t0", "line 2: how: unknown kind of list update 'odd'"),
        ("roster_change\t3\t1\twhole\t1\nm\t5\t0\t0\t1\t-\tOdd\t0", "line 3: health: unknown state 'Odd'"),
        ("inbox\t3\t1\t!!", "line 2: bytes: not base64"),
        ("checked\t3\t1\t0.1\t5\tqueue", "line 2: report: 'queue' is not a name:value pair"),
        (
            "born\t3\t1\tbalancers=many",
            "line 2: settings balancers: 'many' is not a valid number for this setting",
        ),
    ];
    for (line, expected) in cases {
        let error = read_one(line).expect_err(line);
        assert!(error.starts_with(expected), "{line}: {error}");
    }
    assert!(read("your_turn\n")
        .expect_err("a batch without a round line")
        .contains("must start with 'round'"));
    assert!(read("round\t1\t1\n").expect_err("a truncated batch").contains("ends within a batch"));
}

#[test]
fn the_end_of_input_between_batches_is_not_an_error() {
    let mut reader = BatchReader::new(Cursor::new("round\t8.4\t12\nyour_turn\n"));
    let mut batch = Batch::default();
    assert!(reader.read(&mut batch).unwrap());
    assert_eq!((batch.now, batch.number.as_str()), (8_400_000, "12"));
    assert!(!reader.read(&mut batch).unwrap());
}

#[test]
fn each_action_is_written_on_its_own_line() {
    let id = RequestId(0x2a);
    let actions = [
        Action::Assign { id, server: ServerId(7), attempt_timeout: 80_000 },
        Action::Reject { id, retry_in: 1_500_000 },
        Action::Fail(id),
        Action::CancelAttempt { id, attempt: 1 },
        Action::ReleaseHeldState(id),
        Action::StartTimer { delay: 40_000, token: TimerToken(26) },
        Action::Subscribe,
    ];
    let mut out = Vec::new();
    write_reply(&mut out, "12", actions.iter().map(|action| (3, action))).unwrap();
    let expected = "assign\t3\t000000000000002a\t7\t0.080000\nnot_now\t3\t000000000000002a\t1.500000\n\
                    give_up\t3\t000000000000002a\nrevoke\t3\t000000000000002a\t1\nlet_go\t3\t000000000000002a\n\
                    defer\t3\t0.040000\t1a\nsubscribe\t3\t1\nend\t12\n";
    assert_eq!(String::from_utf8(out).unwrap(), expected);
}
