//! `docs/design/rule-paths.md` names files, types and tests: each of them is there.

use std::path::{Path, PathBuf};

/// Tests have long names; other names in the page are shorter.
const MIN_WORDS_OF_A_TEST: usize = 5;

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

/// Options of the system, by its own names: sources set them by a library's.
const SYSTEM_OPTION: &str = "TCP_";

/// Names in backticks in the sections about rules.
fn names(page: &str) -> Vec<&str> {
    let (rules, _) = page.split_once("## Calls by errno").expect("the section of calls");
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
fn the_page_of_rules_by_paths_names_what_is_there() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["src", "crates", "tests"] {
        rust_files(&root.join(folder), &mut files);
    }
    let own = root.join(file!());
    let texts: Vec<(PathBuf, String)> = files
        .into_iter()
        .filter(|path| *path != own)
        .map(|path| (path.clone(), std::fs::read_to_string(path).unwrap()))
        .collect();
    let page = std::fs::read_to_string(root.join("docs/design/rule-paths.md")).unwrap();
    let is_there = |name: &str| {
        if name.ends_with(".rs") {
            return texts.iter().any(|(path, _)| path.ends_with(name));
        }
        let parts: Vec<&str> = name.split("::").collect();
        let word = parts[parts.len() - 1];
        if !is_identifier(word) {
            return texts.iter().any(|(_, text)| text.contains(word)); // a setting, or an option of the system
        }
        let is_test = word.split('_').count() >= MIN_WORDS_OF_A_TEST;
        let wanted = if is_test { format!("fn {word}(") } else { word.to_owned() };
        texts.iter().any(|(_, text)| text.contains(&wanted))
    };
    let names = names(&page);
    assert!(names.len() > 80, "{} names", names.len());
    let is_known = |name: &&str| name.starts_with(SYSTEM_OPTION) || is_there(name);
    let missing: Vec<&str> = names.into_iter().filter(|name| !is_known(name)).collect();
    assert!(missing.is_empty(), "{missing:#?}");
}
