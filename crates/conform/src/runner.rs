//! Runs cases against a front.

use std::fmt::Display;

use serde_json::Value;

use crate::cases::{Case, Step};
use crate::exchange::exchange;
use crate::expectation::{check_answer, Mismatch};
use crate::setup::{request_bytes, Variables};
use crate::target::Target;

/// The outcome of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaseResult {
    /// Every answer was as expected.
    Passed,
    /// An answer was not as expected: the step and the difference.
    Failed(String),
    /// The case could not be run: the step, where there is one, and the reason.
    NotRun(String),
}

/// The outcome of one case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseReport {
    /// The name of the case, [`Case::name`].
    pub name: String,
    /// Whether the case passed, and if not, why.
    pub result: CaseResult,
}

/// Runs the cases one after the other; the reports are in the same order.
pub async fn run(target: &Target, cases: &[Case]) -> Vec<CaseReport> {
    let mut reports = Vec::new();
    for case in cases {
        let result = run_case(target, case).await;
        reports.push(CaseReport { name: case.name.clone(), result });
    }
    reports
}

/// Why a step did not pass.
enum NotPassed {
    Failed(Mismatch),
    NotRun(Box<dyn Display + Send>),
}

async fn run_case(target: &Target, case: &Case) -> CaseResult {
    let steps = case.steps();
    if steps.is_empty() || steps.iter().any(|step| step.expect.status == 0) {
        return CaseResult::NotRun("the case has a step without an expected status".to_owned());
    }
    let mut variables = variables(target, case);
    let mut bodies: Vec<String> = Vec::new();
    for (at, step) in steps.iter().enumerate() {
        match run_step(target, step, &bodies, &mut variables).await {
            Ok(body) => bodies.push(body),
            Err(NotPassed::Failed(mismatch)) => return CaseResult::Failed(format!("step {at}: {mismatch}")),
            Err(NotPassed::NotRun(reason)) => return CaseResult::NotRun(format!("step {at}: {reason}")),
        }
    }
    CaseResult::Passed
}

/// The variables that are known before the first step. The nonce differs per case, so that idempotency
/// keys and prompts that contain it are not shared between cases.
fn variables(target: &Target, case: &Case) -> Variables {
    let mut variables = Variables::from([
        ("model".to_owned(), target.model.clone()),
        ("once".to_owned(), target.at_most_once_model.clone()),
        ("nonce".to_owned(), format!("{}-{}", target.nonce, case.name.replace('/', "-"))),
        ("key".to_owned(), target.key.clone().unwrap_or_default()),
    ]);
    if let Some(other) = &target.other_key {
        variables.insert("other_key".to_owned(), other.clone());
    }
    variables
}

/// Runs a step and returns the body of its answer.
async fn run_step(
    target: &Target,
    step: &Step,
    earlier_bodies: &[String],
    variables: &mut Variables,
) -> Result<String, NotPassed> {
    let request =
        request_bytes(target, step, variables).map_err(|error| NotPassed::NotRun(Box::new(error)))?;
    let answer =
        exchange(target.address, &request).await.map_err(|error| NotPassed::NotRun(Box::new(error)))?;
    check_answer(&step.expect, &answer, earlier_bodies, variables).map_err(NotPassed::Failed)?;
    capture(step, &answer.body, variables).map_err(NotPassed::Failed)?;
    Ok(answer.body)
}

/// Stores the strings that [`Step::capture`] names as variables.
fn capture(step: &Step, body: &str, variables: &mut Variables) -> Result<(), Mismatch> {
    for (name, pointer) in &step.capture {
        let value: Value = serde_json::from_str(body).unwrap_or_default();
        let Some(text) = value.pointer(pointer).and_then(Value::as_str) else {
            return Err(Mismatch::NoStringToCapture { pointer: pointer.clone() });
        };
        variables.insert(name.clone(), text.to_owned());
    }
    Ok(())
}
