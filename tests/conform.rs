//! The conformance suite against the program, and against fronts that are each malformed in one way.

mod stand_in;

use std::time::Duration;

use dewladder_conform::{cases, run, CaseReport, CaseResult, Target};
use dewladder_test_peers::{malformed_front, Malformation};
use stand_in::*;

const ON: &str = "enabled = true\nafter_start_s = 0.0\n";

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

fn fast() -> Shape {
    let (read, pause) = (Duration::from_millis(1), Duration::from_millis(1));
    Shape { events: 3, read, pause, ..Shape::default() }
}

fn not_passed(reports: &[CaseReport]) -> Vec<&CaseReport> {
    reports.iter().filter(|report| report.result != CaseResult::Passed).collect()
}

#[tokio::test]
async fn the_program_passes_every_case() {
    let site = FleetSite::start(fast(), ON).await;
    let all = cases().unwrap();
    assert!(all.len() >= 120, "{} cases", all.len());
    let mut names: Vec<&str> = all.iter().map(|case| case.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all.len(), "each name once");
    // Failures each on a site of its own: servers that fail are left out for a while, and others would fill them.
    let (failing, all): (Vec<_>, Vec<_>) = all.into_iter().partition(|case| case.faults);
    let reports = run(&target(site.chat, "right"), &all).await;
    assert_eq!(not_passed(&reports), Vec::<&CaseReport>::new());
    assert!(failing.len() >= 12);
    for case in failing {
        let site = FleetSite::start(fast(), ON).await;
        let reports = run(&target(site.chat, "failing"), &[case]).await;
        assert_eq!(not_passed(&reports), Vec::<&CaseReport>::new());
    }
}

/// A suite that can't fail says nothing: each of these must be caught, and a front that changes nothing passes.
#[tokio::test]
async fn each_malformed_front_is_caught() {
    let site = FleetSite::start(fast(), ON).await;
    let all: Vec<_> = cases().unwrap().into_iter().filter(|case| !case.faults).collect();
    let right = malformed_front(site.chat, Malformation::None, "key-of-clay").await.unwrap();
    let reports = run(&target(right, "nothing"), &all).await;
    assert_eq!(not_passed(&reports), Vec::<&CaseReport>::new());
    for malformation in Malformation::ALL {
        let front = malformed_front(site.chat, malformation, "key-of-clay").await.unwrap();
        let reports = run(&target(front, &format!("{malformation:?}")), &all).await;
        let failed = reports.iter().filter(|report| matches!(report.result, CaseResult::Failed(_))).count();
        let errors = reports.iter().filter(|report| matches!(report.result, CaseResult::NotRun(_))).count();
        assert!(failed > 0 && errors == 0, "{malformation:?}: {failed} failed, {errors} could not be tried");
        assert!(failed < all.len(), "{malformation:?} is malformed in one way only");
    }
}

#[tokio::test]
async fn a_case_that_can_not_be_run_is_reported_as_such_and_not_as_passed() {
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let all = cases().unwrap();
    let reports = run(&target(closed, "nobody"), &all[..5]).await;
    assert!(reports.iter().all(|report| matches!(report.result, CaseResult::NotRun(_))), "{reports:?}");
    let site = FleetSite::start(fast(), ON).await;
    let alone = Target { other_key: None, ..target(site.chat, "alone") };
    let of_two: Vec<_> = all.into_iter().filter(|case| case.name.contains("another-tenant")).collect();
    assert!(matches!(run(&alone, &of_two).await[0].result, CaseResult::NotRun(_)));
}
