//! The part of HTTP/1.1 that the test doubles need: messages with `Content-Length`, and chunked bodies.

use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// The head of an answer whose body is a chunked event stream.
pub(crate) const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The last chunk, which ends a chunked body.
pub(crate) const LAST_CHUNK: &str = "0\r\n\r\n";

/// Encodes a text as one chunk of a chunked body.
#[must_use]
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An answer with `Content-Length`; `headers` are complete lines, each with its line end.
#[must_use]
pub fn plain(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// Reads the next message and returns its head, without the blank line, and its body, whose length `Content-Length`
/// gives. `read` holds the bytes that were received and not yet taken; bytes after the message stay there. `None` if
/// the connection ends before the message does.
///
/// # Panics
/// If `Content-Length` is not a number.
pub async fn message(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(found) = take_message(read) {
            return Some(found);
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

/// Removes a message from the start of `read` and returns its head and body; `None` if it is incomplete.
fn take_message(read: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    let head_end = read.windows(END_OF_HEAD.len()).position(|window| window == END_OF_HEAD)?;
    let head = String::from_utf8_lossy(&read[..head_end]).into_owned();
    let body_length = field(&head, "content-length").map_or(0, |text| text.parse().unwrap());
    let body_start = head_end + END_OF_HEAD.len();
    let body = read.get(body_start..body_start + body_length)?.to_vec();
    read.drain(..body_start + body_length);
    Some((head, body))
}

/// The trimmed value of the first header with this name, in any case.
#[must_use]
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
}
