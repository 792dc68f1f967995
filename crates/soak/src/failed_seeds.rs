//! File of the seeds whose plans once violated a rule: one seed per line, in the order in which they failed.

use std::path::Path;

/// Parses the text of the file. Lines that are not a seed, such as comments, are skipped.
#[must_use]
pub fn parse(text: &str) -> Vec<u64> {
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

/// Appends seeds to the text of the file, except those that it already contains.
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

/// Adds seeds to the file. If it can't be read, it is replaced.
///
/// # Errors
/// The system's error if the file can't be written.
pub fn add(path: &Path, seeds: &[u64]) -> std::io::Result<()> {
    let text_before = std::fs::read_to_string(path).unwrap_or_default();
    std::fs::write(path, with_seeds(&text_before, seeds))
}
