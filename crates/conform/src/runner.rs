//! Runs cases against an address.

use std::fmt::Display;

use serde_json::Value;

use crate::cases::{Case, Step};
use crate::exchange::exchange;
use crate::expectation::{check_answer, Mismatch};
use crate::setup::{request_bytes, Variables};
use crate::target::Target;

/// What a case came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaseResult {
    /// All was as expected.
    Passed,
    /// Something was not: in which step, and what.
    Failed(String),
    /// It could not be run: in which step, and why.
    NotRun(String),
}

/// A case and what it came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseReport {
    /// The case's name.
    pub name: String,
    /// What it came to.
    pub result: CaseResult,
}

/// Runs these cases, one after the other.
pub async fn run(target: &Target, cases: &[Case]) -> Vec<CaseReport> {
    let mut reports = Vec::new();
    for case in cases {
        let result = run_case(target, case).await;
        reports.push(CaseReport { name: case.name.clone(), result });
    }
    reports
}

/// Why a case did not pass.
enum NotPassed {
    Failed(Mismatch),
    NotRun(Box<dyn Display + Send>),
}

async fn run_case(target: &Target, case: &Case) -> CaseResult {
    let steps = case.steps();
    if steps.is_empty() || steps.iter().any(|step| step.expect.status == 0) {
        return CaseResult::NotRun("the case expects nothing".to_owned());
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

fn variables(target: &Target, case: &Case) -> Variables {
    let mut variables = Variables::from([
        ("model".to_owned(), target.model.clone()),
        ("once".to_owned(), target.once.clone()),
        ("nonce".to_owned(), format!("{}-{}", target.nonce, case.name.replace('/', "-"))),
        ("key".to_owned(), target.key.clone().unwrap_or_default()),
    ]);
    if let Some(other) = &target.other_key {
        variables.insert("other_key".to_owned(), other.clone());
    }
    variables
}

/// Runs a step; returns the body of its answer.
async fn run_step(
    target: &Target,
    step: &Step,
    earlier: &[String],
    variables: &mut Variables,
) -> Result<String, NotPassed> {
    let request =
        request_bytes(target, step, variables).map_err(|error| NotPassed::NotRun(Box::new(error)))?;
    let answer =
        exchange(target.address, &request).await.map_err(|error| NotPassed::NotRun(Box::new(error)))?;
    check_answer(&step.expect, &answer, earlier, variables).map_err(NotPassed::Failed)?;
    capture(step, &answer.body, variables).map_err(NotPassed::Failed)?;
    Ok(answer.body)
}

/// Keeps the values of an answer that later steps use.
fn capture(step: &Step, body: &str, variables: &mut Variables) -> Result<(), Mismatch> {
    for (name, pointer) in &step.capture {
        let value: Value = serde_json::from_str(body).unwrap_or_default();
        let Some(text) = value.pointer(pointer).and_then(Value::as_str) else {
            return Err(Mismatch::NoCapture { pointer: pointer.clone() });
        };
        variables.insert(name.clone(), text.to_owned());
    }
    Ok(())
}
