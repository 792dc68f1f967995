//! Golden files in `tests/golden/`: the expected output of the tests, byte for byte.

use std::path::Path;

/// Panics if `written` differs from the golden file `name`. The differing text is saved to the target directory's
/// temporary folder for comparison. A missing golden file counts as empty. A golden file is only ever replaced by
/// hand, with the reason in the commit.
pub fn assert_golden(name: &str, written: &str) {
    let golden_path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let expected = std::fs::read_to_string(&golden_path).unwrap_or_default();
    if expected != written {
        let written_path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&written_path, written).unwrap();
        panic!(
            "golden file {} differs from the actual output in {}:\n{written}",
            golden_path.display(),
            written_path.display()
        );
    }
}
