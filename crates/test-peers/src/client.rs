//! A client that sends fixed texts, and the requests that tests send with it.

use std::net::SocketAddr;

use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Sends a text on a new connection and returns what was received until the other side closed or reset the connection,
/// or `is_complete` accepted the text so far; then closes.
pub async fn talk(to: SocketAddr, text: &str, is_complete: impl Fn(&str) -> bool) -> String {
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    while !is_complete(&String::from_utf8_lossy(&read)) {
        match stream.read_buf(&mut read).await {
            Ok(0) | Err(_) => break,
            Ok(_) => {}
        }
    }
    String::from_utf8(read).unwrap()
}

/// Sends a text on a new connection and returns what was received until the other side closed or reset it.
pub async fn until_close(to: SocketAddr, text: &str) -> String {
    talk(to, text, |_| false).await
}

/// A streaming request to the platform front: `id` is its transaction (`X-Txn`), `lane` its class, `remaining` the time
/// until its deadline (s). The prompt has 100 tokens, the answer at most 8.
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

/// A chat request with a system and a user message, sent with the key `key-of-clay`.
#[must_use]
pub fn chat(model: &str, stream: bool) -> String {
    let body = json!({"model": model, "stream": stream, "messages": [
        {"role": "system", "content": "You book kilns."},
        {"role": "user", "content": [{"type": "text", "text": "A glaze firing on Friday?"}]}]})
    .to_string();
    post(&body, "key-of-clay")
}

/// A chat request with this body and API key.
#[must_use]
pub fn post(body: &str, key: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Decodes the chunked body of an answer; the flag is whether its last chunk was received.
#[must_use]
pub fn body(answer: &str) -> (String, bool) {
    let (_, mut rest) = answer.split_once("\r\n\r\n").unwrap();
    let mut decoded = String::new();
    while let Some((length, after)) = rest.split_once("\r\n") {
        let length = usize::from_str_radix(length, 16).unwrap();
        if length == 0 {
            return (decoded, true);
        }
        decoded.push_str(&after[..length]);
        rest = &after[length + 2..];
    }
    (decoded, false)
}
