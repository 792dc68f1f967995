//! Invalid options are rejected with an error that names the option.

use std::ffi::OsString;

use dewladder_scale::options::{self, OptionsError};
use pico_args::Arguments;

fn arguments(words: &[&str]) -> Arguments {
    Arguments::from_vec(words.iter().map(OsString::from).collect())
}

#[test]
fn invalid_numbers_are_rejected_with_the_name_of_the_option() {
    for (word, text) in [
        ("0", "--servers: 0 is not in the range 2 to 20000"),
        ("20001", "--servers: 20001 is not in the range 2 to 20000"),
        ("-5", "--servers: '-5' is not a number"),
        ("many", "--servers: 'many' is not a number"),
        ("", "--servers: '' is not a number"),
    ] {
        let rejected = options::number(&mut arguments(&["--servers", word]), "--servers", 100u32, 2..=20_000);
        assert_eq!(rejected.expect_err(word).to_string(), text);
    }
    let list = options::numbers(&mut arguments(&["--servers", "100,x"]), "--servers", "100", 2..=20_000u32);
    assert_eq!(list.expect_err("one is not a number").to_string(), "--servers: 'x' is not a number");
    let list = options::numbers(&mut arguments(&["--servers", "100, 400"]), "--servers", "1", 2..=20_000u32);
    assert_eq!(list, Ok(vec![100, 400]));
}

#[test]
fn missing_values_unknown_choices_and_unused_arguments_are_rejected_by_name() {
    let rejected = options::number(&mut arguments(&["--real"]), "--real", 1u32, 1..=90);
    assert_eq!(rejected, Err(OptionsError::MissingValue { option: "--real" }));
    let rejected =
        options::one_of(&mut arguments(&["--event", "flood"]), "--event", &[("none", 0), ("zone", 1)]);
    assert_eq!(rejected.expect_err("no such event").to_string(), "--event: 'flood' is not a known value");
    assert_eq!(options::one_of(&mut arguments(&[]), "--event", &[("none", 0), ("zone", 1)]), Ok(0));
    let remaining = options::end(arguments(&["--bench", "--serverz", "5"]));
    assert_eq!(remaining, Err(OptionsError::Unknown { argument: "--serverz".to_owned() }));
    assert_eq!(options::end(arguments(&["--bench"])), Ok(()));
}
