//! Golden files under `tests/golden/`: texts as an earlier version of the program wrote them.

use std::path::Path;

/// Panics unless `written` equals the golden file `name`. A differing text is saved in the tests' folder for temporary
/// files for inspection; a golden file is only ever replaced by hand, with the reason in the commit.
pub fn assert_golden(name: &str, written: &str) {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    let expected = std::fs::read_to_string(&golden).unwrap_or_default();
    if expected != written {
        let actual = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&actual, written).unwrap();
        panic!("{} differs from {}; the text now:\n{written}", golden.display(), actual.display());
    }
}
