//! Cases as data: `cases/*.toml`. Names of fields are those of the files.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::Value;

/// A case: requests in order, each with what is expected of its answer.
#[derive(Clone, Debug, Deserialize)]
pub struct Case {
    /// Its name: `section/subject`.
    pub name: String,
    /// It asks servers to fail, by words that only the test fleet of this repository knows: run only on request.
    #[serde(default)]
    pub faults: bool,
    /// Its requests.
    #[serde(default)]
    pub step: Vec<Step>,
    /// Where there is only one request, it stands in the case itself.
    #[serde(flatten)]
    only: Step,
}

/// A request and what is expected.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Step {
    /// `chat`, `completion` or `response`: a body that is good, and its path.
    pub base: Option<String>,
    /// A merge patch (RFC 7396) to that body, as JSON text.
    pub set: Option<String>,
    /// The body itself, where it is to be no JSON or nothing good.
    pub raw: Option<String>,
    /// Bytes of the body that are not UTF-8, as hex.
    pub hex: Option<String>,
    /// The method; POST where there is a body.
    pub method: Option<String>,
    /// The path.
    pub path: Option<String>,
    /// Further headers; an empty value takes one away.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// What is expected.
    #[serde(default)]
    pub expect: Expect,
    /// Values of the answer, by JSON pointer, that later steps use as `{NAME}`.
    #[serde(default)]
    pub capture: BTreeMap<String, String>,
}

/// What is expected of an answer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The status.
    pub status: u16,
    /// The error's `code`.
    pub code: Option<String>,
    /// The error's `param`.
    pub param: Option<String>,
    /// Headers: their value, `*` for any, or an empty text for none.
    #[serde(default)]
    pub headers: BTreeMap<String, String>,
    /// JSON pointers into the answer and the values there, `"*"` for any that is not null.
    #[serde(default)]
    pub json: BTreeMap<String, Value>,
    /// The stream's grammar: `chat`, `completion` or `response`; `cut` or `cut-response` for one that breaks off.
    pub grammar: Option<String>,
    /// Choices of the stream (1).
    pub choices: Option<usize>,
    /// Whether the stream tells the usage.
    #[serde(default)]
    pub usage: bool,
    /// The body is that of the step with this number (from 0).
    pub same_as: Option<usize>,
}

impl Case {
    /// Its requests.
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
struct File {
    case: Vec<Case>,
}

/// A file of cases that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("cases/{name}.toml: {source}")]
pub struct CasesError {
    name: &'static str,
    source: toml::de::Error,
}

/// All cases, in order.
///
/// # Errors
/// A file of cases that can't be read: which, and the line.
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
        let file: File = toml::from_str(text).map_err(|source| CasesError { name, source })?;
        all.extend(file.case);
    }
    Ok(all)
}
