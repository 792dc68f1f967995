//! A proxy in front of a correct front that breaks its answers, or the requests to it, in one way. The conformance
//! suite must detect each of these faults.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::http::{field, message};

/// The one fault of a malformed front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformation {
    /// No fault: the control, which must pass the suite like the correct front.
    None,
    /// Streams end without `[DONE]`.
    NoDone,
    /// Streams have `[DONE]` twice.
    DoneTwice,
    /// Every stream has a usage chunk, requested or not, as those of model servers do.
    UnrequestedUsage,
    /// No stream has a usage chunk.
    NoUsage,
    /// The `object` of chunks is that of an answer without streaming.
    WrongObject,
    /// No delta has a `role`.
    NoRole,
    /// The first event of each stream is missing.
    NoFirstEvent,
    /// The last two events of each stream are missing, and the connection closes normally.
    NoLastEvents,
    /// The `sequence_number` of typed events starts at 1.
    NumbersFromOne,
    /// Typed events have no `event:` line.
    NoEventNames,
    /// Errors have status 200.
    ErrorsAre200,
    /// The `param` of errors is null.
    NoParam,
    /// 405 answers have no `Allow` header.
    NoAllow,
    /// Answers have no `X-Request-Id` header.
    NoRequestId,
    /// Repeated requests run again: idempotency key and retry count are removed from requests.
    NoDeduplication,
    /// Requests of every tenant are sent with the first tenant's API key.
    SingleTenant,
    /// Every browser origin is allowed (CORS).
    AnyOrigin,
    /// The final text of a streamed response differs from its deltas.
    WrongFinalText,
    /// Every request is accepted as JSON, whatever its content type.
    AnyMediaType,
}

impl Malformation {
    /// All but [`Malformation::None`].
    pub const ALL: [Self; 19] = [
        Self::NoDone,
        Self::DoneTwice,
        Self::UnrequestedUsage,
        Self::NoUsage,
        Self::WrongObject,
        Self::NoRole,
        Self::NoFirstEvent,
        Self::NoLastEvents,
        Self::NumbersFromOne,
        Self::NoEventNames,
        Self::ErrorsAre200,
        Self::NoParam,
        Self::NoAllow,
        Self::NoRequestId,
        Self::NoDeduplication,
        Self::SingleTenant,
        Self::AnyOrigin,
        Self::WrongFinalText,
        Self::AnyMediaType,
    ];

    /// The head of a request as it is forwarded.
    fn malform_request(self, head: &str, first_key: &str) -> String {
        let line = |line: &str| {
            let name = line.split(':').next().unwrap_or("").to_ascii_lowercase();
            match (self, name.as_str()) {
                (Self::NoDeduplication, "idempotency-key" | "x-stainless-retry-count") => None,
                (Self::SingleTenant, "authorization") if line.contains("key-of") => {
                    Some(format!("authorization: Bearer {first_key}"))
                }
                (Self::AnyMediaType, "content-type") => Some("content-type: application/json".to_owned()),
                _ => Some(line.to_owned()),
            }
        };
        head.lines().filter_map(line).collect::<Vec<_>>().join("\r\n")
    }

    /// Applies the fault to an answer.
    fn malform_answer(self, head: &mut String, body: &mut String) {
        if head.to_ascii_lowercase().contains("text/event-stream") {
            self.malform_stream(body);
        }
        match self {
            Self::NoDone => *body = body.replace(DONE, ""),
            Self::DoneTwice => *body = body.replace(DONE, &DONE.repeat(2)),
            Self::NoEventNames => *body = without_lines(body, |line| line.starts_with("event:")),
            Self::ErrorsAre200 if body.starts_with("{\"error\"") => {
                let rest = head.split_once("\r\n").map_or("", |(_, rest)| rest);
                *head = format!("HTTP/1.1 200 OK\r\n{rest}");
            }
            Self::NoParam => *body = without_param(body),
            Self::NoAllow => *head = without_header(head, "allow:"),
            Self::NoRequestId => *head = without_header(head, "x-request-id:"),
            Self::AnyOrigin => head.push_str("\r\naccess-control-allow-origin: *"),
            _ => {}
        }
    }

    /// Applies the fault to the events of a stream.
    fn malform_stream(self, body: &mut String) {
        match self {
            Self::UnrequestedUsage if !body.contains("\"usage\"") => {
                let usage =
                    "data: {\"id\":\"x\",\"choices\":[],\"usage\":{\"total_tokens\":3}}\n\ndata: [DONE]";
                *body = body.replace("data: [DONE]", usage);
            }
            Self::NoUsage => {
                let is_kept = |event: &&str| !event.contains("\"choices\":[],");
                *body = body.split_inclusive(EVENT_END).filter(is_kept).collect();
            }
            Self::WrongObject => *body = body.replace("chat.completion.chunk", "chat.completion"),
            Self::NoRole => *body = body.replace(",\"role\":\"assistant\"", ""),
            Self::NoFirstEvent => *body = body.split_inclusive(EVENT_END).skip(1).collect(),
            Self::NoLastEvents => {
                let events: Vec<&str> = body.split_inclusive(EVENT_END).collect();
                *body = events[..events.len().saturating_sub(2)].concat();
            }
            Self::NumbersFromOne => *body = with_numbers_from_one(body),
            Self::WrongFinalText => {
                *body = body.replace("output_text.done\",", "output_text.done\",\"text\":\"no\",\"was_\":0,");
                *body = body.replace("\"text\":\"w", "\"text\":\"v");
            }
            _ => {}
        }
    }
}

/// The last event of a stream of chunks.
const DONE: &str = "data: [DONE]\n\n";
const EVENT_END: &str = "\n\n";
/// Upper bound for the typed events of a stream.
const MAX_TYPED_EVENTS: u32 = 200;

fn without_header(head: &str, name: &str) -> String {
    let kept = head.lines().filter(|line| !line.to_ascii_lowercase().starts_with(name));
    kept.collect::<Vec<_>>().join("\r\n")
}

fn without_lines(body: &str, is_dropped: impl Fn(&str) -> bool) -> String {
    let kept = body.lines().filter(|line| !is_dropped(line));
    kept.fold(String::new(), |all, line| all + line + "\n")
}

fn without_param(body: &str) -> String {
    let Some((before, after)) = body.split_once("\"param\":\"") else { return body.to_owned() };
    let rest = after.split_once('"').map_or("", |(_, rest)| rest);
    format!("{before}\"param\":null{rest}")
}

/// Adds 1 to the `sequence_number` of each typed event, from the highest down so that none is raised twice.
fn with_numbers_from_one(body: &str) -> String {
    let field = |number: u32| format!("\"sequence_number\":{number},");
    let mut body = body.to_owned();
    for number in (0..MAX_TYPED_EVENTS).rev() {
        body = body.replace(&field(number), &field(number + 1));
    }
    body
}

/// Starts a malformed front that forwards to the correct front at `upstream`, and returns its address. `first_key` is
/// the first tenant's API key.
///
/// # Errors
/// If the port can't be bound.
pub async fn malformed_front(
    upstream: SocketAddr,
    malformation: Malformation,
    first_key: &str,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let first_key = first_key.to_owned();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let first_key = first_key.clone();
            tokio::spawn(async move { forward(&mut stream, upstream, malformation, &first_key).await });
        }
    });
    Ok(address)
}

/// Forwards one request and its answer, then closes the connection; `None` if either side fails.
async fn forward(
    stream: &mut TcpStream,
    upstream: SocketAddr,
    malformation: Malformation,
    first_key: &str,
) -> Option<()> {
    let mut read = Vec::new();
    let (head, body) = tokio::select! {
        found = message(stream, &mut read) => found?,
        // An incomplete request is forwarded after 200 ms: the correct front has to answer it, as with 413.
        () = tokio::time::sleep(std::time::Duration::from_millis(200)) => {
            let text = String::from_utf8_lossy(&read).into_owned();
            let (head, body) = text.split_once("\r\n\r\n")?;
            (head.to_owned(), body.as_bytes().to_vec())
        }
    };
    let mut to = TcpStream::connect(upstream).await.ok()?;
    to.write_all(format!("{}\r\n\r\n", malformation.malform_request(&head, first_key)).as_bytes())
        .await
        .ok()?;
    to.write_all(&body).await.ok()?;
    let mut answer = Vec::new();
    to.read_to_end(&mut answer).await.ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, mut body) =
        answer.split_once("\r\n\r\n").map(|(head, body)| (head.to_owned(), body.to_owned()))?;
    if field(&head, "transfer-encoding").is_some() {
        body = crate::client::body(&answer).0;
    }
    let lines = head.lines().filter(|line| {
        let line = line.to_ascii_lowercase();
        !line.starts_with("transfer-encoding") && !line.starts_with("content-length")
    });
    let mut head = lines.collect::<Vec<_>>().join("\r\n");
    malformation.malform_answer(&mut head, &mut body);
    stream.write_all(format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).as_bytes()).await.ok()
}
