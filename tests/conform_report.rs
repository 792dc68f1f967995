//! The output of `dewladder conform`, byte for byte: the lines for the cases, the summary, and on standard error one
//! line if not all cases passed. The headings between the runs are part of the golden file.

mod golden_file;
mod stand_in;

use std::time::Duration;

use golden_file::assert_golden;
use stand_in::*;
use tokio::process::Command;

/// Runs `dewladder conform`; its exit code, standard output and standard error.
async fn conform(arguments: &[&str]) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_dewladder"));
    program.args(["conform", "--model", "kiln-ask", "--once", "kiln-book"]).args(arguments).env_clear();
    let output = program.output().await.unwrap();
    let (out, err) = (String::from_utf8(output.stdout).unwrap(), String::from_utf8(output.stderr).unwrap());
    format!("{}\n{out}--- {err}", output.status.code().unwrap())
}

#[tokio::test]
async fn the_output_equals_the_golden_file() {
    let pause = Duration::from_millis(1);
    let shape = Shape { events: 3, read: pause, pause, ..Shape::default() };
    let site = FleetSite::start(shape, "enabled = true\nafter_start_s = 0.0\n").await;
    let url = format!("http://{}", site.chat);
    let closed = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let closed = format!("http://{closed}/");
    let mut text = String::new();
    for (heading, arguments) in [
        ("all is well, told", &["--url", &url, "--key", "key-of-clay", "--only", "body/", "--verbose"][..]),
        ("all is well", &["--url", &url, "--key", "key-of-clay", "--only", "body/"]),
        ("another tenant is needed", &["--url", &url, "--key", "key-of-clay", "--only", "another-tenant"]),
        ("the key is wrong", &["--url", &url, "--key", "key-of-nobody", "--only", "body/", "--verbose"]),
        ("nobody listens", &["--url", &closed, "--only", "path/"]),
        ("no such case", &["--url", &url, "--only", "no-such-case"]),
        ("no URL", &[]),
        ("no http", &["--url", "https://127.0.0.1:1"]),
        ("not on loopback", &["--url", "http://192.0.2.1:80"]),
        ("an argument that is not known", &["--url", &url, "--kiln"]),
    ] {
        text += &format!("=== {heading}\n{}", conform(arguments).await);
    }
    assert_golden("conform_report.txt", &text);
}
