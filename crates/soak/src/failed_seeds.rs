//! The file of seeds whose plans violated a rule once: one seed a line, in the order in which they failed.

use std::path::Path;

/// The seeds of a file; lines that are none are skipped.
#[must_use]
pub fn parse(text: &str) -> Vec<u64> {
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

/// The text of a file with further seeds; those that it has are not added again.
#[must_use]
pub fn with_seeds(text: &str, seeds: &[u64]) -> String {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    for seed in seeds {
        let line = seed.to_string();
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
    lines.join("\n") + "\n"
}

/// Adds seeds to a file; one that can't be read is written anew.
///
/// # Errors
/// What the system says of writing it.
pub fn add(path: &Path, seeds: &[u64]) -> std::io::Result<()> {
    let known = std::fs::read_to_string(path).unwrap_or_default();
    std::fs::write(path, with_seeds(&known, seeds))
}
