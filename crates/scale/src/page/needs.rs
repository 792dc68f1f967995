//! What each role needs at the target, computed from the samples, against what it may have.

mod control;
mod data_path;
mod others;
mod samples;

use crate::results::Results;

/// The role of a dispatcher's decisions and talk with others.
const CONTROL: &str = "dispatcher, control";
/// The role of a dispatcher's relaying.
const DATA_PATH: &str = "dispatcher, data path";
/// A need over this part of its budget is listed as missing.
const MISSING_ABOVE: f64 = 0.5;

/// How a need is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// A sample was taken at the target's size.
    Measured,
    /// From samples of smaller sizes, by a line through them.
    Extrapolated,
    /// On paper.
    Computed,
}

impl Evidence {
    fn text(self) -> &'static str {
        match self {
            Self::Measured => "measured",
            Self::Extrapolated => "extrapolated",
            Self::Computed => "reckoned",
        }
    }
}

/// Whether `run` of the deploy file has what makes a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activation {
    On,
    Off,
    /// The program had it before the index.
    BeforeIndex,
}

impl Activation {
    fn text(self) -> &'static str {
        match self {
            Self::On => "",
            Self::Off => " (off in `run`)",
            Self::BeforeIndex => " (before the index)",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unit {
    Core,
    Bytes,
    BytesPerSecond,
    Descriptors,
    PerSecond,
}

impl Unit {
    fn text(self, amount: f64) -> String {
        match self {
            Self::Core => format!("{:.3}% of a core", amount * 100.0),
            Self::Bytes => format!("{:.1} MB", amount / 1e6),
            Self::BytesPerSecond => format!("{:.2} KB/s", amount / 1e3),
            Self::Descriptors => format!("{amount:.0}"),
            Self::PerSecond => format!("{amount:.2} a second"),
        }
    }
}

/// One need of one role.
#[derive(Clone, Debug)]
struct Need {
    role: &'static str,
    what: &'static str,
    amount: f64,
    /// What it may have, if anything says so.
    budget: Option<f64>,
    unit: Unit,
    evidence: Evidence,
    arithmetic: String,
    /// What keeps it bounded, and in which file.
    mechanism: &'static str,
    activation: Activation,
}

impl Need {
    fn ratio(&self) -> Option<f64> {
        self.budget.map(|budget| self.amount / budget)
    }

    fn is_missing(&self) -> bool {
        let is_over = self.ratio().is_some_and(|ratio| ratio > MISSING_ABOVE);
        is_over && self.activation != Activation::BeforeIndex
    }

    fn row(&self) -> String {
        let budget = self.budget.map_or("none told".to_owned(), |budget| self.unit.text(budget));
        let ratio = self.ratio().map_or("-".to_owned(), |ratio| format!("{ratio:.3}"));
        format!(
            "| {} | {}{} | {} | {budget} | {ratio} | {}: {} | {} |\n",
            self.role,
            self.what,
            self.activation.text(),
            self.unit.text(self.amount),
            self.evidence.text(),
            self.arithmetic,
            self.mechanism
        )
    }
}

/// All needs, role by role.
fn all(results: &Results) -> Vec<Need> {
    let mut needs = control::processor(results);
    needs.extend(control::memory(results));
    needs.extend(control::bytes(results));
    needs.extend(data_path::needs(results));
    needs.extend(others::replicas());
    needs.extend(others::discovery(results));
    needs.push(others::control_machines());
    needs
}

const HEADER: &str =
    "| role | need | at the target | budget | ratio | how it is known | mechanism and file |\n\
                      | --- | --- | --- | --- | --- | --- | --- |\n";

fn rows(needs: &[Need]) -> String {
    let rows: String = needs.iter().map(Need::row).collect();
    format!("{HEADER}{rows}")
}

/// The table of all needs.
pub(super) fn table(results: &Results) -> String {
    rows(&all(results))
}

/// The table of needs over half of their budget, the highest ratio first.
pub(super) fn missing(results: &Results) -> String {
    let mut missing = all(results);
    missing.retain(Need::is_missing);
    missing.sort_by(|a, b| b.ratio().unwrap_or(0.0).total_cmp(&a.ratio().unwrap_or(0.0)));
    if missing.is_empty() {
        return "No need is over half of its budget.\n".to_owned();
    }
    rows(&missing)
}
