//! The hollow processes of a run; see the library.

use std::process::ExitCode;

use dewladder_scale::hollow;

#[tokio::main]
async fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let result = match words[..] {
        ["hollow-replicas", options] => hollow::serve_replicas(options).await,
        ["hollow-dispatchers", options] => hollow::serve_dispatchers(options).await,
        _ => Err(std::io::Error::other("usage: dewladder-scale hollow-replicas|hollow-dispatchers OPTIONS")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewladder-scale: {error}");
            ExitCode::FAILURE
        }
    }
}
