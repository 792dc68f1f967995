//! Options that can't be are refused by their names, before anything starts.

use std::ffi::OsString;

use dewladder_scale::options::{self, OptionsError};
use pico_args::Arguments;

fn given(words: &[&str]) -> Arguments {
    Arguments::from_vec(words.iter().map(OsString::from).collect())
}

#[test]
fn numbers_out_of_range_and_what_is_no_number_are_refused_by_name() {
    for (word, text) in [
        ("0", "--servers: 0 is not 2 to 20000"),
        ("20001", "--servers: 20001 is not 2 to 20000"),
        ("-5", "--servers: '-5' is no number"),
        ("many", "--servers: 'many' is no number"),
        ("", "--servers: '' is no number"),
    ] {
        let refused = options::number(&mut given(&["--servers", word]), "--servers", 100u32, 2..=20_000);
        assert_eq!(refused.expect_err(word).to_string(), text);
    }
    let list = options::numbers(&mut given(&["--servers", "100,x"]), "--servers", "100", 2..=20_000u32);
    assert_eq!(list.expect_err("one of them").to_string(), "--servers: 'x' is no number");
    let list = options::numbers(&mut given(&["--servers", "100, 400"]), "--servers", "1", 2..=20_000u32);
    assert_eq!(list, Ok(vec![100, 400]));
}

#[test]
fn an_option_without_its_value_an_unknown_word_and_what_is_left_are_refused_by_name() {
    let refused = options::number(&mut given(&["--real"]), "--real", 1u32, 1..=90);
    assert_eq!(refused, Err(OptionsError::NoValue { option: "--real" }));
    let refused = options::one_of(&mut given(&["--event", "flood"]), "--event", &[("none", 0), ("zone", 1)]);
    assert_eq!(refused.expect_err("no such event").to_string(), "--event: 'flood' is no known word");
    assert_eq!(options::one_of(&mut given(&[]), "--event", &[("none", 0), ("zone", 1)]), Ok(0));
    let left = options::end(given(&["--bench", "--serverz", "5"]));
    assert_eq!(left, Err(OptionsError::Unknown { what: "--serverz".to_owned() }));
    assert_eq!(options::end(given(&["--bench"])), Ok(()));
}
