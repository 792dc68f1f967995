//! A plain client that sends texts and reads what comes.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Sends a text, and reads until the other side closes or `enough` says so; then closes.
pub async fn talk(to: SocketAddr, text: &str, enough: impl Fn(&str) -> bool) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    while !enough(&String::from_utf8_lossy(&read)) {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8(read).unwrap()
}

/// The same, until the other side closes.
pub async fn until_close(to: SocketAddr, text: &str) -> String {
    talk(to, text, |_| false).await
}

/// A request of the platform's.
#[must_use]
pub fn platform(id: &str, lane: &str, remaining: &str) -> String {
    let body = "{\"stream\":true}";
    format!(
        "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: {lane}\r\n\
         X-Org: acme\r\nX-Entity: e\r\nX-Remaining: {remaining}\r\nX-Labels: prompt_len=100,max_out=8\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// A request of the chat API.
#[must_use]
pub fn chat(model: &str, stream: bool) -> String {
    let body = json!({"model": model, "stream": stream, "messages": [
        {"role": "system", "content": "You book kilns."},
        {"role": "user", "content": [{"type": "text", "text": "A glaze firing on Friday?"}]}]})
    .to_string();
    post(&body, "key-of-clay")
}

/// A POST of the chat API with this body.
#[must_use]
pub fn post(body: &str, key: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// The body of a chunked answer, and whether its last chunk came.
#[must_use]
pub fn body(answer: &str) -> (String, bool) {
    let (_, mut rest) = answer.split_once("\r\n\r\n").unwrap();
    let mut whole = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap();
        if length == 0 {
            return (whole, true);
        }
        whole.push_str(&after[..length]);
        rest = &after[length + 2..];
    }
    (whole, false)
}
