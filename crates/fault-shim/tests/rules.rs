//! Texts of rules: what is no rule is refused, with its cause.

use dewladder_fault_shim::rule::{Call, Effect, Rule};

#[test]
fn a_text_that_is_no_rule_is_refused_with_its_cause() {
    for (text, expected) in [
        ("accept", "no ':'"),
        ("accept:EIO", "no '@'"),
        ("accept:EIO@0", "no '-' between the times"),
        ("walk:EIO@0-1", "'walk' is no call"),
        ("accept:EWHAT@0-1", "'EWHAT' is no effect"),
        ("accept:EIO@a-b", "'a': invalid digit found in string"),
        ("accept:EIO@0-1%x", "'x': invalid digit found in string"),
        ("monotonic:hold@0-1", "cannot parse integer from empty string"),
    ] {
        let error = text.parse::<Rule>().expect_err(text);
        assert_eq!(error.to_string(), expected, "{text}");
    }
}

#[test]
fn a_rule_without_a_share_hits_every_call_in_its_time() {
    let rule: Rule = "recv:short@5-9".parse().expect("a rule");
    let expected = Rule { call: Call::Receive, effect: Effect::Short, from_ms: 5, to_ms: 9, permille: 1_000 };
    assert_eq!(rule, expected);
    assert!(rule.is_in_force(5) && !rule.is_in_force(4) && !rule.is_in_force(9));
    assert!(rule.hits(999));
}
