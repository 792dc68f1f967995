//! Renders `docs/CAPACITY.md` from the recorded samples.

use dewladder_scale::options;
use dewladder_scale::page;
use dewladder_scale::results::Results;
use pico_args::Arguments;

use crate::{root, Failure};

const PAGE: &str = "docs/CAPACITY.md";

/// Replaces the tables on the page by those rendered from the recorded samples.
pub fn command(mut arguments: Arguments) -> Result<(), Failure> {
    let from = crate::out(&mut arguments)?;
    options::end(arguments)?;
    let results = Results::read(&from)?;
    let path = root().join(PAGE);
    let before = std::fs::read_to_string(&path).map_err(|error| format!("{}: {error}", path.display()))?;
    let after = page::render(&before, &results)?;
    std::fs::write(&path, &after)?;
    println!("{} {}", path.display(), if after == before { "is unchanged" } else { "is updated" });
    Ok(())
}
