//! The recorded samples of the repository are read whole, and written again as they stand.

use std::path::Path;

use dewladder_scale::results::Results;

fn written_again(path: &Path, name: &str) -> String {
    let results = Results::read(path).expect("recorded samples");
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    results.write(&written).expect("written");
    std::fs::read_to_string(&written).expect("text")
}

/// The number at the end of a line.
fn number(line: &str) -> f64 {
    let (_, value) = line.split_once(": ").unwrap_or_else(|| panic!("no number: {line}"));
    value.trim_end_matches(',').parse().unwrap_or_else(|error| panic!("{error}: {line}"))
}

#[test]
fn the_recorded_samples_are_written_again_as_they_were() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity.json");
    let before = std::fs::read_to_string(&path).expect("text");
    let after = written_again(&path, "capacity.json");
    assert_eq!(before.lines().count(), after.lines().count());
    for (before, after) in before.lines().zip(after.lines()) {
        if before != after {
            // Numbers are read to the nearest but one: the last of seventeen digits may differ.
            let (field, _) = before.split_once(": ").expect("a field");
            assert!(after.starts_with(field), "{before} became {after}");
            let (before, after) = (number(before), number(after));
            assert!((before - after).abs() <= before.abs() * f64::EPSILON, "{before} became {after}");
        }
    }
}

#[test]
fn a_file_that_the_program_wrote_is_written_again_byte_for_byte() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity.json");
    let first = written_again(&path, "capacity-first.json");
    let again = Path::new(env!("CARGO_TARGET_TMPDIR")).join("capacity-first.json");
    assert!(written_again(&again, "capacity-second.json") == first);
}
