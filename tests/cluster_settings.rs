//! The `[cluster]` table of the fronts file: what each key sets, the defaults, and the text of each error, as
//! `check-config` prints it.

use std::net::SocketAddrV4;

use dewladder::edge::cluster::Table;
use dewladder_membership::{Address, MemberId, Settings};

/// A table that has every key.
const EVERY_KEY: &str = include_str!("golden/cluster_table.toml");
/// Invalid tables, each followed by a line `=> ` with the expected error.
const ERRORS: &str = include_str!("golden/cluster_table_errors.txt");

fn table(text: &str) -> Table {
    toml::from_str(text).expect("a table")
}

#[test]
fn every_key_sets_its_setting() {
    let table = table(EVERY_KEY);
    assert!(table.enabled);
    assert_eq!(table.listen, "127.0.0.2:7001".parse::<SocketAddrV4>().unwrap());
    let checked = table.check("n0").expect("a valid table");
    let expected = Settings {
        name: "blue".to_owned(),
        address: Address { ip: [10, 0, 0, 9], port: 7_002 },
        incarnation: 0,
        seeds: vec![Address { ip: [10, 0, 0, 1], port: 7_946 }, Address { ip: [10, 0, 0, 2], port: 7_947 }],
        probe_interval: 1_500_000,
        probe_timeout: 250_000,
        indirect_probes: 4,
        suspicion_multiplier: 5.0,
        max_suspicion_multiplier: 7.0,
        confirmations: 2,
        retransmit_multiplier: 5,
        sync_interval: 12_000_000,
        dead_retention: 1_800_000_000,
        tick_interval: 25_000,
    };
    assert_eq!(checked.membership, expected);
    let expected = dewladder_replica::Settings {
        own_id: MemberId::of("blue"),
        incarnation: 0,
        members: ["blue", "red", "green", "white"].map(MemberId::of).to_vec(),
        copies: 4,
        quorum: 3,
        retention: 300_000_000,
        max_records: 5_000,
        max_hints: 600,
        settle_time: 1_000_000,
        retry_after: 100_000,
        compare_interval: 500_000,
    };
    assert_eq!(checked.replica, Some(expected));
}

#[test]
fn missing_keys_default_to_the_values_of_the_example_file() {
    let example: toml::Table =
        toml::from_str(include_str!("../deploy/fronts.toml")).expect("the example file");
    let example: Table = example["cluster"].clone().try_into().expect("a table");
    let key = "000102030405060708090a0b0c0d0e0f";
    let settings = |table: Table| {
        let checked = Table { key: key.to_owned(), ..table }.check("n0").expect("a valid table");
        (checked.membership, checked.replica)
    };
    assert_eq!(settings(example), settings(table("")));
}

/// The cases of the golden file: the lines of a table, and the error expected for it.
fn cases() -> Vec<(String, String)> {
    let mut cases = Vec::new();
    let mut lines = String::new();
    for line in ERRORS.lines() {
        match line.strip_prefix("=> ") {
            Some(error_text) => cases.push((std::mem::take(&mut lines), error_text.to_owned())),
            None => lines += &format!("{line}\n"),
        }
    }
    cases
}

/// The error for a table, on one line, or `nothing` for a valid table.
fn error_text(text: &str) -> String {
    match toml::from_str::<Table>(text) {
        Ok(table) => table.check("n0").map_or_else(|error| error.to_string(), |_| "nothing".to_owned()),
        Err(error) => error.message().replace('\n', " "),
    }
}

#[test]
fn each_invalid_table_has_the_error_text_the_golden_file() {
    let cases = cases();
    assert!(cases.len() > 30);
    let text: String = cases.iter().map(|(lines, _)| format!("{lines}=> {}\n", error_text(lines))).collect();
    assert_eq!(text, ERRORS);
}
