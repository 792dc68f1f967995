//! The test cases, read from `cases/*.toml`. Field names are the keys of those files.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// A test case: requests that are sent in order, each with the expected answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Case {
    /// Unique name in the form `section/subject`; `dewladder conform --only` selects by a part of it.
    pub name: String,
    /// The prompts ask model servers to fail (`{fault:...}`), which only the test fleet of this repository understands:
    /// such cases run only on request.
    #[serde(default)]
    pub faults: bool,
    /// The requests, if there is more than one.
    #[serde(default)]
    pub step: Vec<Step>,
    /// The fields of a case that has a single request; ignored if `step` is not empty.
    #[serde(flatten)]
    only: Step,
}

/// One request and its expected answer. `{NAME}` in texts is replaced by a variable: `model`, `once`, `nonce`, `key`,
/// `other_key` or a name from [`capture`](Self::capture).
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Step {
    /// Template with a valid body and its path: `chat`, `completion` or `response`.
    pub base: Option<String>,
    /// Merge patch for the body of `base`, as JSON text. Unlike in RFC 7396, `null` sets a field to `null` and doesn't
    /// remove it.
    pub set: Option<String>,
    /// The literal body, for requests that a patch can't express, such as invalid JSON. Replaces that of `base`.
    pub raw: Option<String>,
    /// The body in hexadecimal, for bytes that are not UTF-8. Replaces that of `base` and `raw`.
    pub hex: Option<String>,
    /// The HTTP method; if `None`, `POST` with a body and `GET` without one.
    pub method: Option<String>,
    /// The path; if `None`, that of `base`, else `/v1/chat/completions`.
    pub path: Option<String>,
    /// Headers that are added or replaced; an empty value removes a default header.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// The expected answer.
    #[serde(default)]
    pub expect: Expect,
    /// Strings to take from the answer: variable name to JSON pointer. Later steps use them as `{NAME}`.
    #[serde(default)]
    pub capture: BTreeMap<String, String>,
}

/// The expected answer. What is not set is not checked, except that every answer with a status of 400 or above must
/// have a valid error object.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The HTTP status; a case with 0, the default, is not run.
    pub status: u16,
    /// The `code` of the error object.
    pub code: Option<String>,
    /// The `param` of the error object.
    pub param: Option<String>,
    /// Header values by name: `*` for any non-empty value, an empty string if the header must be absent.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// Expected values by JSON pointer into the body; `"*"` for any value but null.
    #[serde(default)]
    pub json: BTreeMap<String, Value>,
    /// The format that the stream must have: `chat`, `completion` or `response`; `cut` (chunks) or `cut-response` for a
    /// stream that ends early with an error.
    pub grammar: Option<String>,
    /// Number of choices in the stream; 1 if not set.
    pub choices: Option<usize>,
    /// Whether a usage chunk is expected in the stream.
    #[serde(default)]
    pub usage: bool,
    /// Index of the earlier step whose body this one must equal byte for byte, from 0.
    pub same_as: Option<usize>,
}

impl Case {
    /// The requests of the case in order: at least one.
    #[must_use]
    pub fn steps(&self) -> Vec<Step> {
        if self.step.is_empty() {
            vec![self.only.clone()]
        } else {
            self.step.clone()
        }
    }
}

#[derive(Deserialize)]
struct CaseFile {
    case: Vec<Case>,
}

/// A case file could not be parsed.
#[derive(Debug, thiserror::Error)]
#[error("cases/{name}.toml: {source}")]
pub struct CasesError {
    name: &'static str,
    source: toml::de::Error,
}

/// All cases, in the order of the files and within each file.
///
/// # Errors
/// [`CasesError`] names the file and the position in it. The files are compiled in, so this is a fault of the build.
pub fn cases() -> Result<Vec<Case>, CasesError> {
    let files = [
        ("requests", include_str!("../cases/requests.toml")),
        ("answers", include_str!("../cases/answers.toml")),
        ("responses", include_str!("../cases/responses.toml")),
        ("repeats", include_str!("../cases/repeats.toml")),
        ("failures", include_str!("../cases/failures.toml")),
    ];
    let mut all = Vec::new();
    for (name, text) in files {
        let file: CaseFile = toml::from_str(text).map_err(|source| CasesError { name, source })?;
        all.extend(file.case);
    }
    Ok(all)
}
