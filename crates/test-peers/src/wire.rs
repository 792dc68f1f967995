//! HTTP/1.1 as far as stand-ins need it: messages with a body by length, and chunks.

use tokio::io::AsyncReadExt as _;
use tokio::net::TcpStream;

/// A chunk of a chunked body.
#[must_use]
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An answer with a body by length; `headers` are whole lines.
#[must_use]
pub fn plain(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}

/// One message with its body by length; `None` at the end.
pub async fn message(stream: &mut TcpStream, read: &mut Vec<u8>) -> Option<(String, Vec<u8>)> {
    loop {
        if let Some(end) = read.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..end]).into_owned();
            let length = field(&head, "content-length").map_or(0, |text| text.parse().unwrap());
            if read.len() >= end + 4 + length {
                let body = read[end + 4..end + 4 + length].to_vec();
                read.drain(..end + 4 + length);
                return Some((head, body));
            }
        }
        if stream.read_buf(read).await.ok()? == 0 {
            return None;
        }
    }
}

/// A header's value.
#[must_use]
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut fields = head.lines().filter_map(|line| line.split_once(':'));
    fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_owned())
}
