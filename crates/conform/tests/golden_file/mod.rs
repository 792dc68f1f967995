//! Compares texts with golden files: expected outputs under `tests/golden/`.

use std::path::Path;

/// Fails unless the text equals the golden file of that name; a missing file counts as empty. On failure the text is
/// text to `CARGO_TARGET_TMPDIR` for comparison. A golden file is only ever replaced by hand, with the reason in the
/// commit.
pub fn assert_golden(name: &str, text: &str) {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let expected = std::fs::read_to_string(&golden).unwrap_or_default();
    if expected != text {
        let actual = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&actual, text).unwrap();
        panic!("{} differs from {}; the text now:\n{text}", golden.display(), actual.display());
    }
}
