//! The statistics of requests by class and outcome.

use dewladder::edge::stats::*;
use proptest::prelude::*;

#[test]
fn every_known_class_is_listed_from_the_start_and_names_are_escaped() {
    let mut record = Record::default();
    record.know("ask");
    record.know("a.b:1|c\n");
    record.taken("ask");
    record.ended("ask", End::Completed);
    record.taken("ask");
    record.taken("nobody");
    let text = record.lines();
    for line in [
        "edge_router.completed.ask:1|c",
        "edge_router.rejected.ask:0|c",
        "edge_router.failed.ask:0|c",
        "edge_router.completed.a%2eb%3a1%7cc%0a:0|c",
        "edge_router.upstream_requests:0|c",
        "edge_router.pending:1|g",
        "edge_router.members:0|g",
        "edge_router.members_unavailable:0|g",
        "edge_router.config_reloads:0|c",
        "edge_router.config_reload_errors:0|c",
    ] {
        assert_eq!(text.lines().filter(|known| *known == line).count(), 1, "{line} in {text}");
    }
    assert!(!text.contains("nobody"));
    let well_formed = |line: &str| line.matches(':').count() == 1 && line.matches('|').count() == 1;
    assert!(text.lines().all(well_formed), "{text}");
}

proptest! {
    /// In any order of events, the pending requests of a class are those taken less those ended, and a class that is
    /// registered again keeps its counters.
    #[test]
    fn pending_is_taken_less_ended(steps in proptest::collection::vec((0usize..3, 0usize..5), 0..200)) {
        let (names, mut record) = (["a", "b", "c"], Record::default());
        let mut open = [0u64; 3];
        names.iter().for_each(|name| record.know(name));
        for (class, choice) in steps {
            let end = [End::Completed, End::Rejected, End::Failed, End::Left].get(choice).copied();
            match end.filter(|_| open[class] > 0) {
                Some(end) => {
                    record.ended(names[class], end);
                    open[class] -= 1;
                }
                None => {
                    record.taken(names[class]);
                    open[class] += 1;
                }
            }
            record.know(names[class]);
            prop_assert_eq!(record.class(names[class]).unwrap().pending(), open[class]);
            prop_assert_eq!(record.all().pending(), open.iter().sum::<u64>());
        }
    }
}
