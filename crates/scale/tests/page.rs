//! The page's tables are those that the recorded samples give.

use std::path::{Path, PathBuf};

use dewladder_scale::page::{render, PageError};
use dewladder_scale::results::Results;

fn docs(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(name)
}

#[test]
fn the_capacity_page_is_what_its_recorded_samples_give() {
    let results = Results::read(&docs("capacity.json")).expect("recorded samples");
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    assert!(render(&page, &results).expect("a page with all places") == page, "render it anew: `-- page`");
}

#[test]
fn a_changed_sample_changes_the_page() {
    let mut results = Results::read(&docs("capacity.json")).expect("recorded samples");
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    let decisions = results.decisions.as_mut().expect("decisions are recorded");
    decisions.samples[0].request_mean += 1.0;
    assert!(render(&page, &results).expect("a page with all places") != page);
}

#[test]
fn a_page_without_a_place_for_a_table_is_refused() {
    let page = std::fs::read_to_string(docs("CAPACITY.md")).expect("the page");
    let results = Results::empty();
    for name in ["needs", "missing", "decisions", "membership", "gossip", "list", "data-path", "run"] {
        for mark in [format!("<!-- {name} -->\n"), format!("<!-- /{name} -->")] {
            let refused = render(&page.replace(&mark, ""), &results);
            assert!(matches!(refused, Err(PageError::NoPlace(place)) if place == name), "{mark}");
        }
    }
}
