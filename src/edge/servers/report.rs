//! What servers report in headers and at the end of streams: their load, and the prompt tokens found in their
//! cache.

use crate::interface::Report;

/// The response header with a load report.
pub(super) const LOAD_HEADER: &str = "x-pressure";
/// The start of the comment with a load report, at the end of a stream.
pub(super) const LOAD_COMMENT: &str = ": X-Pressure:";
/// The JSON name, with quotes, of the number of prompt tokens that a server found in its cache.
pub(super) const CACHED_TOKENS: &[u8] = b"\"cached_tokens\"";

/// Parses a load report: `TEXT name=value, name=value`. A value that is not a finite number counts as missing.
pub(super) fn load_report(text: &str) -> Option<Report> {
    let pairs = text.trim().strip_prefix("TEXT")?;
    let mut report = Report::default();
    for (name, value) in pairs.split(',').filter_map(|pair| pair.split_once('=')) {
        let number = value.trim().parse().ok().filter(|number: &f64| number.is_finite());
        report.set(name.trim(), number);
    }
    Some(report)
}

/// The number that follows the last occurrence of a JSON name; 0 if the name does not occur.
pub(super) fn number_after(text: &[u8], name: &[u8]) -> u64 {
    let Some(at) = text.windows(name.len()).rposition(|window| window == name) else { return 0 };
    let digits = text[at + name.len()..].iter().skip_while(|byte| matches!(byte, b':' | b' '));
    digits
        .take_while(|byte| byte.is_ascii_digit())
        .fold(0u64, |number, digit| number.saturating_mul(10).saturating_add(u64::from(digit - b'0')))
}
