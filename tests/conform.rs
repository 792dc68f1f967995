//! Runs the conformance suite against the dispatcher, which must pass, and against proxies before it that each
//! falsify answers in one way, which must fail.

mod stand_in;

use std::time::Duration;

use dewladder_conform::{cases, run, CaseReport, CaseResult, Target};
use dewladder_test_peers::{malformed_front, Malformation};
use stand_in::*;

/// The `[chat.repeats]` table: deduplication is on, without waiting after the start.
const DEDUPLICATION: &str = "enabled = true\nafter_start_s = 0.0\n";

/// The front under test. `nonce` keeps the idempotency keys of separate runs apart.
fn target(address: std::net::SocketAddr, nonce: &str) -> Target {
    Target {
        address,
        key: Some("key-of-clay".to_owned()),
        other_key: Some("key-of-jars".to_owned()),
        model: "kiln-ask".to_owned(),
        at_most_once_model: "kiln-book".to_owned(),
        nonce: nonce.to_owned(),
    }
}

/// Servers that need only milliseconds for an answer.
fn fast_servers() -> Shape {
    let (read, pause) = (Duration::from_millis(1), Duration::from_millis(1));
    Shape { events: 3, read, pause, ..Shape::default() }
}

fn not_passed(reports: &[CaseReport]) -> Vec<&CaseReport> {
    reports.iter().filter(|report| report.result != CaseResult::Passed).collect()
}

#[tokio::test]
async fn the_program_passes_every_case() {
    let site = FleetSite::start(fast_servers(), DEDUPLICATION).await;
    let all = cases().unwrap();
    assert!(all.len() >= 120, "{} cases", all.len());
    let mut names: Vec<&str> = all.iter().map(|case| case.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all.len(), "each case name is unique");
    // Each case with server faults has dispatcher and servers of its own: the dispatcher ejects failing servers for
    // some time, so a following case would run with the remaining servers only.
    let (fault_cases, all): (Vec<_>, Vec<_>) = all.into_iter().partition(|case| case.faults);
    let reports = run(&target(site.chat, "right"), &all).await;
    assert_eq!(not_passed(&reports), Vec::<&CaseReport>::new());
    assert!(fault_cases.len() >= 12);
    for case in fault_cases {
        let site = FleetSite::start(fast_servers(), DEDUPLICATION).await;
        let reports = run(&target(site.chat, "failing"), &[case]).await;
        assert_eq!(not_passed(&reports), Vec::<&CaseReport>::new());
    }
}

/// Checks that the suite detects faults: it must fail for each malformation. As a control, a proxy that changes
/// nothing must pass.
#[tokio::test]
async fn the_suite_detects_each_malformed_front() {
    let site = FleetSite::start(fast_servers(), DEDUPLICATION).await;
    let all: Vec<_> = cases().unwrap().into_iter().filter(|case| !case.faults).collect();
    let unchanged_front = malformed_front(site.chat, Malformation::None, "key-of-clay").await.unwrap();
    let reports = run(&target(unchanged_front, "nothing"), &all).await;
    assert_eq!(not_passed(&reports), Vec::<&CaseReport>::new());
    for malformation in Malformation::ALL {
        let front = malformed_front(site.chat, malformation, "key-of-clay").await.unwrap();
        let reports = run(&target(front, &format!("{malformation:?}")), &all).await;
        let failed = reports.iter().filter(|report| matches!(report.result, CaseResult::Failed(_))).count();
        let not_run = reports.iter().filter(|report| matches!(report.result, CaseResult::NotRun(_))).count();
        assert!(failed > 0 && not_run == 0, "{malformation:?}: {failed} failed, {not_run} not run");
        assert!(failed < all.len(), "{malformation:?} must not fail every case");
    }
}

#[tokio::test]
async fn a_case_that_can_not_be_run_is_reported_as_not_run() {
    let closed_port = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let all = cases().unwrap();
    let reports = run(&target(closed_port, "nobody"), &all[..5]).await;
    assert!(reports.iter().all(|report| matches!(report.result, CaseResult::NotRun(_))), "{reports:?}");
    let site = FleetSite::start(fast_servers(), DEDUPLICATION).await;
    let single_tenant = Target { other_key: None, ..target(site.chat, "alone") };
    let two_tenant_cases: Vec<_> =
        all.into_iter().filter(|case| case.name.contains("another-tenant")).collect();
    assert!(matches!(run(&single_tenant, &two_tenant_cases).await[0].result, CaseResult::NotRun(_)));
}
