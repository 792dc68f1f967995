//! The recorded samples of the repository survive being read and written again: no field is lost, renamed or
//! reordered.

use std::path::Path;

use dewladder_scale::results::Results;

/// Reads a file of results, writes it under another name, and returns the text that was written.
fn read_and_rewrite(path: &Path, name: &str) -> String {
    let results = Results::read(path).expect("recorded samples");
    let written = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    results.write(&written).expect("written");
    std::fs::read_to_string(&written).expect("text")
}

/// The number at the end of a line of JSON.
fn number_at_end(line: &str) -> f64 {
    let (_, value) = line.split_once(": ").unwrap_or_else(|| panic!("no number: {line}"));
    value.trim_end_matches(',').parse().unwrap_or_else(|error| panic!("{error}: {line}"))
}

#[test]
fn the_recorded_samples_are_rewritten_unchanged() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity.json");
    let before = std::fs::read_to_string(&path).expect("text");
    let after = read_and_rewrite(&path, "capacity.json");
    assert_eq!(before.lines().count(), after.lines().count());
    for (before, after) in before.lines().zip(after.lines()) {
        if before != after {
            // A number may be parsed as a neighbor of the nearest float, so the last of 17 digits may differ.
            let (field, _) = before.split_once(": ").expect("a field");
            assert!(after.starts_with(field), "{before} became {after}");
            let (before, after) = (number_at_end(before), number_at_end(after));
            assert!((before - after).abs() <= before.abs() * f64::EPSILON, "{before} became {after}");
        }
    }
}

#[test]
fn a_file_written_by_the_program_is_rewritten_byte_for_byte() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity.json");
    let first = read_and_rewrite(&path, "capacity-first.json");
    let again = Path::new(env!("CARGO_TARGET_TMPDIR")).join("capacity-first.json");
    assert!(read_and_rewrite(&again, "capacity-second.json") == first);
}
