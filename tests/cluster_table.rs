//! Each error of the `[cluster]` table names the key with the invalid value.

use dewladder::edge::cluster::Table;

fn table(text: &str) -> Table {
    toml::from_str(text).expect("a table")
}

#[test]
fn errors_name_the_invalid_key() {
    let key = "key = \"000102030405060708090a0b0c0d0e0f\"\n";
    assert!(table(key).check("n0").is_ok());
    let error_of = |text: &str| table(text).check("n0").expect_err(text).to_string();
    for (text, field) in [
        ("key = \"0g\"", "cluster.key"),
        ("key = \"012\"", "cluster.key"),
        ("key = \"0102\"", "cluster.key"),
        ("", "cluster.key"),
    ] {
        assert!(error_of(text).starts_with(field), "{text}: {}", error_of(text));
    }
    let three_members = "enabled = true\nmembers = [\"n0\", \"n1\", \"n2\"]";
    assert!(table(&format!("{key}[replica]\n{three_members}")).check("n0").is_ok());
    for (text, field) in [
        ("enabled = true", "cluster.replica.members"),
        ("enabled = true\nmembers = [\"n1\", \"n2\"]", "cluster.replica.members"),
        (&format!("{three_members}\ncopies = 4"), "cluster.replica.copies"),
        (&format!("{three_members}\nquorum = 1"), "cluster.replica.quorum"),
        (&format!("{three_members}\nsettle_s = 0.0"), "cluster.replica.settle_s"),
        (&format!("{three_members}\nwindow_s = nan"), "cluster.replica.window_s"),
    ] {
        let error = error_of(&format!("{key}[replica]\n{text}"));
        assert!(error.starts_with(field), "{text}: {error}");
    }
    for (text, field) in [
        ("cluster = \"\"", "cluster.cluster"),
        ("listen = \"0.0.0.0:7946\"", "cluster.advertise"),
        ("advertise = \"127.0.0.1:0\"", "cluster.advertise"),
        ("probe_every_s = 0.0", "cluster.probe_every_s"),
        ("probe_every_s = -1.0", "cluster.probe_every_s"),
        ("probe_every_s = nan", "cluster.probe_every_s"),
        ("probe_timeout_s = 0.9", "cluster.probe_timeout_s"),
        ("suspicion = inf", "cluster.suspicion"),
        ("retransmit = 0", "cluster.retransmit"),
    ] {
        let error = error_of(&format!("{key}{text}"));
        assert!(error.starts_with(field), "{text}: {error}");
    }
    for text in ["seeds = [\"here\"]", "listen = \"[::1]:7946\"", "probe = 1"] {
        assert!(toml::from_str::<Table>(text).is_err(), "{text}");
    }
}
