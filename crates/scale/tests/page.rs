//! The tables of the capacity page match the recorded samples.

use std::path::{Path, PathBuf};

use dewladder_scale::page::{render, PageError};
use dewladder_scale::results::Results;

fn docs(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

#[test]
fn the_capacity_page_matches_the_recorded_samples() {
    let results = Results::read(&docs("capacity.json")).expect("recorded samples");
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    assert!(
        render(&page, &results).expect("a page with all markers") == page,
        "outdated, render it with `-- page`"
    );
}

#[test]
fn a_changed_sample_changes_the_page() {
    let mut results = Results::read(&docs("capacity.json")).expect("recorded samples");
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    let decisions = results.decisions.as_mut().expect("decisions are recorded");
    decisions.samples[0].request_mean += 1.0;
    assert!(render(&page, &results).expect("a page with all markers") != page);
}

#[test]
fn a_page_without_a_marker_of_a_table_is_rejected() {
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    let results = Results::empty();
    for name in ["needs", "missing", "decisions", "membership", "gossip", "list", "data-path", "run"] {
        for marker in [format!("<!-- {name} -->\n"), format!("<!-- /{name} -->")] {
            let rejected = render(&page.replace(&marker, ""), &results);
            assert!(matches!(rejected, Err(PageError::MissingMarkers(table)) if table == name), "{marker}");
        }
    }
}
