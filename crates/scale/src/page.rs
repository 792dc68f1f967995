//! Renders the tables of the capacity page from recorded samples. Each table stands between a pair of markers,
//! `<!-- name -->` and `<!-- /name -->`; the text outside of them is kept.

mod needs;
mod tables;

use thiserror::Error;

use crate::results::Results;

/// Why a page can't be rendered, as one line for the user.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PageError {
    /// The start or end marker of the named table is missing.
    #[error("the page lacks a line `<!-- {0} -->` or the marker `<!-- /{0} -->` after it")]
    MissingMarkers(&'static str),
}

/// Returns the page with all tables rendered from the samples.
///
/// # Errors
/// The page lacks the markers of a table.
pub fn render(page: &str, results: &Results) -> Result<String, PageError> {
    let parts: [(&'static str, String); 9] = [
        ("needs", needs::table(results)),
        ("missing", needs::missing(results)),
        ("decisions", tables::decisions(results)),
        ("membership", tables::membership(results)),
        ("gossip", tables::gossip(results)),
        ("list", tables::list(results)),
        ("data-path", tables::data_path(results)),
        ("configuration", tables::configuration(results)),
        ("run", tables::run(results)),
    ];
    let mut rendered = page.to_owned();
    for (name, table) in parts {
        rendered = replace_table(&rendered, name, &table)?;
    }
    Ok(rendered)
}

/// Replaces everything between the markers of one table.
fn replace_table(page: &str, name: &'static str, table: &str) -> Result<String, PageError> {
    let (start, end) = (format!("<!-- {name} -->\n"), format!("<!-- /{name} -->"));
    let surroundings =
        page.split_once(&start).and_then(|(before, rest)| Some((before, rest.split_once(&end)?.1)));
    let (before, after) = surroundings.ok_or(PageError::MissingMarkers(name))?;
    Ok(format!("{before}{start}{table}{end}{after}"))
}
