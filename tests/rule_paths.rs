//! Each file, type, test and setting that `docs/design/rule-paths.md` names exists in the sources.

use std::path::{Path, PathBuf};

/// Identifiers on the page with at least this many words are names of tests; all other names have fewer words.
const MIN_WORDS_IN_TEST_NAME: usize = 5;

/// Adds the Rust files in a folder and its subfolders, except in `target`.
fn rust_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("target") {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

/// Prefix of socket options, which the page calls by their system names. The sources set them through a library under
/// other names, so that they can't be searched for.
const SOCKET_OPTION_PREFIX: &str = "TCP_";

/// Names in backticks in the tables before the section "Calls by errno".
fn names(page: &str) -> Vec<&str> {
    let (rules, _) = page.split_once("## Calls by errno").expect("the section \"Calls by errno\"");
    rules
        .lines()
        .filter(|line| line.starts_with('|'))
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

fn is_identifier(name: &str) -> bool {
    name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_')
}

#[test]
fn every_name_on_the_rule_paths_page_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "crates", "tests"] {
        rust_files(&root.join(folder), &mut files);
    }
    let this_file = root.join(file!());
    let texts: Vec<(PathBuf, String)> = files
        .into_iter()
        .filter(|path| *path != this_file)
        .map(|path| (path.clone(), std::fs::read_to_string(path).unwrap()))
        .collect();
    let page = std::fs::read_to_string(root.join("docs/design/rule-paths.md")).unwrap();
    let exists = |name: &str| {
        if name.ends_with(".rs") {
            return texts.iter().any(|(path, _)| path.ends_with(name));
        }
        let parts: Vec<&str> = name.split("::").collect();
        let word = parts[parts.len() - 1];
        if !is_identifier(word) {
            return texts.iter().any(|(_, text)| text.contains(word)); // a setting or a socket option
        }
        let is_test = word.split('_').count() >= MIN_WORDS_IN_TEST_NAME;
        let searched = if is_test { format!("fn {word}(") } else { word.to_owned() };
        texts.iter().any(|(_, text)| text.contains(&searched))
    };
    let names = names(&page);
    assert!(names.len() > 80, "{} names", names.len());
    let is_known = |name: &&str| name.starts_with(SOCKET_OPTION_PREFIX) || exists(name);
    let missing: Vec<&str> = names.into_iter().filter(|name| !is_known(name)).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}
