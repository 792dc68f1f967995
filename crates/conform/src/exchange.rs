//! One HTTP/1.1 request and its answer, on a new connection.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Limit for connecting, sending the request and receiving the complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest answer that is accepted, head included.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// An HTTP response; a chunked body is decoded.
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Values by lower-case name; of a repeated header the last one.
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: String,
}

/// Why no complete answer was received.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("can't connect: {0}")]
    Connect(#[source] io::Error),
    #[error("can't send: {0}")]
    Send(#[source] io::Error),
    #[error("can't read the answer: {0}")]
    Receive(#[source] io::Error),
    #[error("the answer exceeds the size limit")]
    TooLong,
    #[error("no complete answer before the timeout")]
    Timeout,
    #[error("the connection closed before the end of the head")]
    IncompleteHead,
    #[error("the status line has no valid status")]
    InvalidStatus,
    #[error("the body has {received} bytes, content-length is {expected}")]
    Truncated { received: usize, expected: usize },
    #[error("the connection closed before the last chunk")]
    MissingLastChunk,
    #[error("a chunk has no valid length")]
    InvalidChunkLength,
    #[error("a chunk is shorter than its length")]
    TruncatedChunk,
}

/// Sends a request and reads its answer. The request must ask the server to close the connection, as the answer is
/// read until then.
pub(crate) async fn exchange(address: SocketAddr, request: &[u8]) -> Result<Answer, ExchangeError> {
    let received = timeout(ANSWER_TIMEOUT, send_and_receive(address, request));
    parse_answer(&received.await.map_err(|_| ExchangeError::Timeout)??)
}

async fn send_and_receive(address: SocketAddr, request: &[u8]) -> Result<Vec<u8>, ExchangeError> {
    let mut stream = TcpStream::connect(address).await.map_err(ExchangeError::Connect)?;
    stream.write_all(request).await.map_err(ExchangeError::Send)?;
    let mut received = Vec::new();
    while stream.read_buf(&mut received).await.map_err(ExchangeError::Receive)? > 0 {
        if received.len() > MAX_ANSWER_BYTES {
            return Err(ExchangeError::TooLong);
        }
    }
    Ok(received)
}

fn parse_answer(received: &[u8]) -> Result<Answer, ExchangeError> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n").ok_or(ExchangeError::IncompleteHead)?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).and_then(|code| code.parse().ok());
    let status = status.ok_or(ExchangeError::InvalidStatus)?;
    let mut headers = BTreeMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let is_chunked =
        headers.get("transfer-encoding").is_some_and(|value: &String| value.eq_ignore_ascii_case("chunked"));
    let body = if is_chunked { decode_chunked(body.as_bytes())? } else { body.to_owned() };
    if let Some(expected) = headers.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        if body.len() != expected {
            return Err(ExchangeError::Truncated { received: body.len(), expected });
        }
    }
    Ok(Answer { status, headers, body })
}

fn decode_chunked(mut rest: &[u8]) -> Result<String, ExchangeError> {
    let mut decoded = Vec::new();
    loop {
        let line_end =
            rest.windows(2).position(|window| window == b"\r\n").ok_or(ExchangeError::MissingLastChunk)?;
        let length = std::str::from_utf8(&rest[..line_end])
            .ok()
            .and_then(|text| usize::from_str_radix(text, 16).ok())
            .ok_or(ExchangeError::InvalidChunkLength)?;
        if length == 0 {
            return Ok(String::from_utf8_lossy(&decoded).into_owned());
        }
        let start = line_end + 2;
        let chunk = rest.get(start..start + length).ok_or(ExchangeError::TruncatedChunk)?;
        decoded.extend_from_slice(chunk);
        rest = rest.get(start + length + 2..).ok_or(ExchangeError::TruncatedChunk)?;
    }
}
