//! Renders the tables of the capacity page from recorded samples, each between its two marks.

mod needs;
mod tables;

use thiserror::Error;

use crate::results::Results;

/// Why a page can't be rendered; one plain line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PageError {
    /// A place for a table is not there, or has no end.
    #[error("the page has no place `<!-- {0} -->` with an end `<!-- /{0} -->`")]
    NoPlace(&'static str),
}

/// The page with all tables as the samples give them.
///
/// # Errors
/// A page without a place for one of them.
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
        rendered = put(&rendered, name, &table)?;
    }
    Ok(rendered)
}

fn put(page: &str, name: &'static str, table: &str) -> Result<String, PageError> {
    let (start, end) = (format!("<!-- {name} -->\n"), format!("<!-- /{name} -->"));
    let places = page.split_once(&start).and_then(|(before, rest)| Some((before, rest.split_once(&end)?.1)));
    let (before, after) = places.ok_or(PageError::NoPlace(name))?;
    Ok(format!("{before}{start}{table}{end}{after}"))
}
