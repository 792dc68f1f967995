//! The command line: the error texts of invalid options, and the default values.

use std::ffi::OsString;

use dewladder_soak::options::Settings;
use pico_args::Arguments;

fn read(command_line: &str) -> Result<Settings, String> {
    let command_line: Vec<OsString> = command_line.split_whitespace().map(OsString::from).collect();
    Settings::read(Arguments::from_vec(command_line)).map_err(|error| error.to_string())
}

#[test]
fn an_invalid_option_is_rejected_with_its_name() {
    let built = "--program /dev/null --shim none";
    for (command_line, expected) in [
        ("--seeds a..3", "--seeds: 'a': invalid digit found in string"),
        ("--unknown", "--unknown is not known; --help lists what is"),
        ("--program /nothing/here --shim none", "/nothing/here is not there; build it first"),
        ("--shim /nothing/here", "/nothing/here is not there; build it first"),
    ] {
        let command_line = if command_line.contains("/nothing") {
            command_line.to_owned()
        } else {
            format!("{built} {command_line}")
        };
        assert_eq!(read(&command_line).expect_err(&command_line), expected);
    }
    assert!(read(&format!("{built} --seconds x")).is_err());
}

#[test]
fn absent_options_have_the_defaults_that_help_states() {
    let settings = read("--program /dev/null --shim none").expect("valid options");
    assert_eq!(settings.seeds, 1..=10);
    assert_eq!((settings.processes, settings.seconds, settings.parallel), (12, 20, 4));
    assert!(settings.harness.folder.ends_with("target/soak"));
    assert!(settings.harness.shim.is_none() && settings.harness.environment.is_empty());
    assert_eq!(read("--program /dev/null --shim none --seeds 3").expect("one seed").seeds, 3..=3);
}
