//! Command line for the hollow processes of a run, which the tests start; see [`dewladder_scale::hollow`].

use std::process::ExitCode;

use dewladder_scale::hollow;

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments[..] {
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
