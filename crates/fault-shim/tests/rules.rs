//! Parsing of rules: defaults, and the error for each kind of invalid text.

use dewladder_fault_shim::rule::{Call, Effect, Rule};

#[test]
fn invalid_rules_are_rejected_with_the_reason() {
    for (text, expected) in [
        ("accept", "missing ':'"),
        ("accept:EIO", "missing '@'"),
        ("accept:EIO@0", "missing '-' between the times"),
        ("walk:EIO@0-1", "unknown call 'walk'"),
        ("accept:EWHAT@0-1", "unknown effect 'EWHAT'"),
        ("accept:EIO@a-b", "invalid number 'a': invalid digit found in string"),
        ("accept:EIO@0-1%x", "invalid number 'x': invalid digit found in string"),
        ("monotonic:hold@0-1", "invalid hold time: cannot parse integer from empty string"),
    ] {
        let error = text.parse::<Rule>().expect_err(text);
        assert_eq!(error.to_string(), expected, "{text}");
    }
}

#[test]
fn a_rule_without_a_rate_affects_every_call_in_its_period() {
    let rule: Rule = "recv:short@5-9".parse().expect("a valid rule");
    let expected = Rule { call: Call::Receive, effect: Effect::Short, from_ms: 5, to_ms: 9, permille: 1_000 };
    assert_eq!(rule, expected);
    assert!(rule.is_in_force(5) && !rule.is_in_force(4) && !rule.is_in_force(9));
    assert!(rule.hits(999));
}
