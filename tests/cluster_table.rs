//! The operator's table of a cluster.

use dewladder::edge::cluster::Table;

fn table(text: &str) -> Table {
    toml::from_str(text).expect("a table")
}

#[test]
fn an_invalid_table_is_refused_with_its_field() {
    let key = "key = \"000102030405060708090a0b0c0d0e0f\"\n";
    assert!(table(key).check("n0").is_ok());
    let told = |text: &str| table(text).check("n0").expect_err(text).to_string();
    for (text, field) in [
        ("key = \"0g\"", "cluster.key"),
        ("key = \"012\"", "cluster.key"),
        ("key = \"0102\"", "cluster.key"),
        ("", "cluster.key"),
    ] {
        assert!(told(text).starts_with(field), "{text}: {}", told(text));
    }
    let three = "enabled = true\nmembers = [\"n0\", \"n1\", \"n2\"]";
    assert!(table(&format!("{key}[replica]\n{three}")).check("n0").is_ok());
    for (text, field) in [
        ("enabled = true", "cluster.replica.members"),
        ("enabled = true\nmembers = [\"n1\", \"n2\"]", "cluster.replica.members"),
        (&format!("{three}\ncopies = 4"), "cluster.replica.copies"),
        (&format!("{three}\nquorum = 1"), "cluster.replica.quorum"),
        (&format!("{three}\nsettle_s = 0.0"), "cluster.replica.settle_s"),
        (&format!("{three}\nwindow_s = nan"), "cluster.replica.window_s"),
    ] {
        let said = told(&format!("{key}[replica]\n{text}"));
        assert!(said.starts_with(field), "{text}: {said}");
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
        let said = told(&format!("{key}{text}"));
        assert!(said.starts_with(field), "{text}: {said}");
    }
    for text in ["seeds = [\"here\"]", "listen = \"[::1]:7946\"", "probe = 1"] {
        assert!(toml::from_str::<Table>(text).is_err(), "{text}");
    }
}
