//! Resource needs of each role at the [target](crate::target) size, computed from the samples and compared with
//! their budgets.

mod control;
mod data_path;
mod others;
mod samples;

use crate::results::Results;

/// Role of a dispatcher's decisions and its communication with agents and other dispatchers.
const CONTROL: &str = "dispatcher, control";
/// Role of a dispatcher's relaying of streams.
const DATA_PATH: &str = "dispatcher, data path";
/// A need above this share of its budget is listed in the table of missing capacity.
const MISSING_ABOVE: f64 = 0.5;

/// How the amount of a need was obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// From a sample at the target size.
    Measured,
    /// From a line that was fitted through samples of smaller sizes.
    Extrapolated,
    /// By calculation from figures of the target, of the program or of other samples; the need itself was not
    /// measured.
    Computed,
}

impl Evidence {
    /// The word for it in the table.
    fn text(self) -> &'static str {
        match self {
            Self::Measured => "measured",
            Self::Extrapolated => "extrapolated",
            Self::Computed => "reckoned",
        }
    }
}

/// Whether the dispatcher, as `run` of the deploy file starts it, uses the part of the program that causes a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activation {
    /// The part is in use.
    On,
    /// The part is in the program and not in use.
    Off,
    /// The part was replaced by the index; its need is shown for comparison and never counts as missing.
    BeforeIndex,
}

impl Activation {
    /// The remark behind the name of the need.
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
    /// Share of one core.
    Core,
    Bytes,
    BytesPerSecond,
    Descriptors,
    PerSecond,
}

impl Unit {
    /// The amount with its unit, scaled for reading.
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

/// A resource need of a role: one row of the table.
#[derive(Clone, Debug)]
struct Need {
    role: &'static str,
    name: &'static str,
    amount: f64,
    /// Largest allowed amount; `None` if no budget is stated.
    budget: Option<f64>,
    unit: Unit,
    evidence: Evidence,
    /// The calculation that leads to the amount, with its figures.
    arithmetic: String,
    /// The mechanism that bounds the need, and the file that implements it.
    mechanism: &'static str,
    activation: Activation,
}

impl Need {
    /// The amount as a share of the budget.
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
            self.name,
            self.activation.text(),
            self.unit.text(self.amount),
            self.evidence.text(),
            self.arithmetic,
            self.mechanism
        )
    }
}

/// The needs of all roles, role by role.
fn all_needs(results: &Results) -> Vec<Need> {
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
    rows(&all_needs(results))
}

/// The table of needs over [`MISSING_ABOVE`] of their budget, the highest ratio first.
pub(super) fn missing(results: &Results) -> String {
    let mut missing = all_needs(results);
    missing.retain(Need::is_missing);
    missing.sort_by(|a, b| b.ratio().unwrap_or(0.0).total_cmp(&a.ratio().unwrap_or(0.0)));
    if missing.is_empty() {
        return "No need is over half of its budget.\n".to_owned();
    }
    rows(&missing)
}
