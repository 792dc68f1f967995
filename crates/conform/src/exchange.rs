//! One HTTP exchange on a connection of its own.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// An answer must have come whole within this.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// An answer holds this many bytes at most.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// An answer, its body put together from chunks.
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// By lower-case name.
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: String,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    #[error("can't connect: {0}")]
    Connect(#[source] io::Error),
    #[error("can't send: {0}")]
    Send(#[source] io::Error),
    #[error("the answer broke off: {0}")]
    Receive(#[source] io::Error),
    #[error("the answer does not end")]
    TooLong,
    #[error("no answer in time")]
    Timeout,
    #[error("no whole head came")]
    NoHead,
    #[error("the answer has no status")]
    NoStatus,
    #[error("{received} bytes of {expected} came")]
    Truncated { received: usize, expected: usize },
    #[error("the last chunk did not come")]
    NoLastChunk,
    #[error("a chunk without a length")]
    ChunkWithoutLength,
    #[error("a chunk that is not whole")]
    ChunkTruncated,
}

/// Sends a request and reads its answer until the connection closes.
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
    let (head, body) = text.split_once("\r\n\r\n").ok_or(ExchangeError::NoHead)?;
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split(' ').nth(1)).and_then(|code| code.parse().ok());
    let status = status.ok_or(ExchangeError::NoStatus)?;
    let mut headers = BTreeMap::new();
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let is_chunked =
        headers.get("transfer-encoding").is_some_and(|value: &String| value.eq_ignore_ascii_case("chunked"));
    let body = if is_chunked { join_chunks(body.as_bytes())? } else { body.to_owned() };
    if let Some(expected) = headers.get("content-length").and_then(|length| length.parse::<usize>().ok()) {
        if body.len() != expected {
            return Err(ExchangeError::Truncated { received: body.len(), expected });
        }
    }
    Ok(Answer { status, headers, body })
}

fn join_chunks(mut rest: &[u8]) -> Result<String, ExchangeError> {
    let mut whole = Vec::new();
    loop {
        let line_end =
            rest.windows(2).position(|window| window == b"\r\n").ok_or(ExchangeError::NoLastChunk)?;
        let length = std::str::from_utf8(&rest[..line_end])
            .ok()
            .and_then(|text| usize::from_str_radix(text, 16).ok())
            .ok_or(ExchangeError::ChunkWithoutLength)?;
        if length == 0 {
            return Ok(String::from_utf8_lossy(&whole).into_owned());
        }
        let start = line_end + 2;
        let chunk = rest.get(start..start + length).ok_or(ExchangeError::ChunkTruncated)?;
        whole.extend_from_slice(chunk);
        rest = rest.get(start + length + 2..).ok_or(ExchangeError::ChunkTruncated)?;
    }
}
