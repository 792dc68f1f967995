//! Fingerprints of requests, and the canonical form of bodies.

use dewladder_ledger::{canonical, Fingerprints};

#[test]
fn parts_domains_and_secrets_tell_apart() {
    let (one, other) = (Fingerprints::new(b"one"), Fingerprints::new(b"other"));
    let all = [
        one.of("key", &[b"ab", b"c"]),
        one.of("key", &[b"a", b"bc"]),
        one.of("key", &[b"abc"]),
        one.of("body", &[b"ab", b"c"]),
        other.of("key", &[b"ab", b"c"]),
    ];
    for (at, first) in all.iter().enumerate() {
        assert!(all[at + 1..].iter().all(|second| second != first));
    }
    assert_eq!(one.of("key", &[b"ab", b"c"]), all[0]);
}

#[test]
fn order_and_blanks_do_not_matter_and_all_else_does() {
    let text = |body: &str| canonical(&serde_json::from_str(body).expect("JSON"));
    let body = text(r#"{"a":[1,{"c":null,"b":"é\n"}],"z":1.5}"#);
    assert_eq!(body, text("{ \"z\" : 1.5, \"a\": [1, {\"b\": \"\\u00e9\\n\", \"c\": null}]}"));
    for other in [
        r#"{"a":[1,{"c":null,"b":"é"}],"z":1.5}"#,
        r#"{"a":[{"c":null,"b":"é\n"},1],"z":1.5}"#,
        r#"{"a":[1,{"c":null,"b":"é\n"}],"z":"1.5"}"#,
    ] {
        assert_ne!(body, text(other));
    }
}
