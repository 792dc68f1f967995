//! Writes the replies to batches.

use std::io::Write;

use base64::Engine as _;
use dewladder_router::interface::{Action, Micros};

/// Writes the reply to a batch: one line per action, in order, each with the number of the dispatcher that
/// takes the action, and an `end` line with the number of the batch.
///
/// # Errors
/// The output can't be written.
pub fn write_reply<'a, W: Write>(
    out: &mut W,
    number: &str,
    actions: impl IntoIterator<Item = (u32, &'a Action)>,
) -> std::io::Result<()> {
    for (dispatcher, action) in actions {
        write_action(out, dispatcher, action)?;
    }
    writeln!(out, "end\t{number}")?;
    out.flush()
}

fn write_action<W: Write>(out: &mut W, dispatcher: u32, action: &Action) -> std::io::Result<()> {
    match action {
        Action::Assign { id, server, attempt_timeout } => {
            writeln!(out, "assign\t{dispatcher}\t{:016x}\t{}\t{}", id.0, server.0, seconds(*attempt_timeout))
        }
        Action::Reject { id, retry_in } => {
            writeln!(out, "not_now\t{dispatcher}\t{:016x}\t{}", id.0, seconds(*retry_in))
        }
        Action::Fail(id) => writeln!(out, "give_up\t{dispatcher}\t{:016x}", id.0),
        Action::CancelAttempt { id, attempt } => {
            writeln!(out, "revoke\t{dispatcher}\t{:016x}\t{attempt}", id.0)
        }
        Action::ReleaseHeldState(id) => writeln!(out, "let_go\t{dispatcher}\t{:016x}", id.0),
        Action::StartTimer { delay, token } => {
            writeln!(out, "defer\t{dispatcher}\t{}\t{:x}", seconds(*delay), token.0)
        }
        Action::PublishGossip(bytes) => {
            let text = base64::engine::general_purpose::STANDARD.encode(bytes);
            writeln!(out, "announce\t{dispatcher}\t*\t{text}")
        }
        Action::Subscribe => writeln!(out, "subscribe\t{dispatcher}\t1"),
    }
}

/// The time in seconds with six decimals, as the protocol requires.
fn seconds(time: Micros) -> String {
    format!("{}.{:06}", time / 1_000_000, time % 1_000_000)
}
