//! Fingerprints of requests, and the canonical form of bodies.

use dewladder_idempotency::{canonical_json, Fingerprinter};

#[test]
fn fingerprints_differ_by_parts_domain_and_secret() {
    let (one, other) = (Fingerprinter::new(b"one"), Fingerprinter::new(b"other"));
    let all = [
        one.fingerprint("key", &[b"ab", b"c"]),
        one.fingerprint("key", &[b"a", b"bc"]),
        one.fingerprint("key", &[b"abc"]),
        one.fingerprint("body", &[b"ab", b"c"]),
        other.fingerprint("key", &[b"ab", b"c"]),
    ];
    for (position, first) in all.iter().enumerate() {
        assert!(all[position + 1..].iter().all(|second| second != first));
    }
    assert_eq!(one.fingerprint("key", &[b"ab", b"c"]), all[0]);
}

#[test]
fn canonical_json_ignores_only_field_order_whitespace_and_escapes() {
    let canonical_text = |body: &str| canonical_json(&serde_json::from_str(body).expect("JSON"));
    let body = canonical_text(r#"{"a":[1,{"c":null,"b":"é\n"}],"z":1.5}"#);
    assert_eq!(body, canonical_text("{ \"z\" : 1.5, \"a\": [1, {\"b\": \"\\u00e9\\n\", \"c\": null}]}"));
    for other in [
        r#"{"a":[1,{"c":null,"b":"é"}],"z":1.5}"#,
        r#"{"a":[{"c":null,"b":"é\n"},1],"z":1.5}"#,
        r#"{"a":[1,{"c":null,"b":"é\n"}],"z":"1.5"}"#,
    ] {
        assert_ne!(body, canonical_text(other));
    }
}
