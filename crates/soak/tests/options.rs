//! The command line: what is refused, in these words.

use std::ffi::OsString;

use dewladder_soak::options::Settings;
use pico_args::Arguments;

fn read(words: &str) -> Result<Settings, String> {
    let words: Vec<OsString> = words.split_whitespace().map(OsString::from).collect();
    Settings::read(Arguments::from_vec(words)).map_err(|error| error.to_string())
}

#[test]
fn an_option_that_can_not_be_used_is_refused_with_its_name() {
    let built = "--program /dev/null --shim none";
    for (words, expected) in [
        ("--seeds a..3", "--seeds: 'a': invalid digit found in string"),
        ("--unknown", "--unknown is not known; --help lists what is"),
        ("--program /nothing/here --shim none", "/nothing/here is not there; build it first"),
        ("--shim /nothing/here", "/nothing/here is not there; build it first"),
    ] {
        let words = if words.contains("/nothing") { words.to_owned() } else { format!("{built} {words}") };
        assert_eq!(read(&words).expect_err(&words), expected);
    }
    assert!(read(&format!("{built} --seconds x")).is_err());
}

#[test]
fn absent_options_have_the_values_that_help_names() {
    let settings = read("--program /dev/null --shim none").expect("options that can be used");
    assert_eq!(settings.seeds, 1..=10);
    assert_eq!((settings.processes, settings.seconds, settings.parallel), (12, 20, 4));
    assert!(settings.harness.folder.ends_with("target/soak"));
    assert!(settings.harness.shim.is_none() && settings.harness.environment.is_empty());
    assert_eq!(read("--program /dev/null --shim none --seeds 3").expect("one seed").seeds, 3..=3);
}
