//! A front that is malformed in one way: it passes all on to a right one, and spoils the answers, or the requests. A
//! conformance suite must catch each.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::http::{field, message};

/// In which way a front is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformation {
    /// In none: what passes through is as good as before.
    None,
    /// Streams end without `[DONE]`.
    NoDone,
    /// Streams tell the end twice.
    DoneTwice,
    /// The usage is told to who did not ask for it, as servers do.
    UsageUnasked,
    /// The usage is told to nobody.
    NoUsage,
    /// Chunks have the object of whole answers.
    OtherObject,
    /// No delta has a role.
    NoRole,
    /// The first event of a stream is lost.
    LosesFirst,
    /// Each stream's last events are lost, and its connection closes in good order.
    CutsEnd,
    /// The numbers of typed events begin at 1.
    NumbersFromOne,
    /// Typed events have no names.
    NoEventNames,
    /// Errors come with status 200.
    ErrorsAre200,
    /// Errors name no field.
    NoParam,
    /// 405 does not say what is allowed.
    NoAllow,
    /// Answers name no request.
    NoRequestId,
    /// A repeat is a request like any other.
    RunsAgain,
    /// All keys are the first tenant's.
    SharesTenants,
    /// Every browser app is let in.
    OpenToAll,
    /// The text of responses is told in other words at the end.
    OtherText,
    /// Media types do not matter.
    AnyMediaType,
}

impl Malformation {
    /// All but [`Malformation::None`].
    pub const ALL: [Self; 19] = [
        Self::NoDone,
        Self::DoneTwice,
        Self::UsageUnasked,
        Self::NoUsage,
        Self::OtherObject,
        Self::NoRole,
        Self::LosesFirst,
        Self::CutsEnd,
        Self::NumbersFromOne,
        Self::NoEventNames,
        Self::ErrorsAre200,
        Self::NoParam,
        Self::NoAllow,
        Self::NoRequestId,
        Self::RunsAgain,
        Self::SharesTenants,
        Self::OpenToAll,
        Self::OtherText,
        Self::AnyMediaType,
    ];

    /// The head of a request as it is sent on.
    fn spoil_request(self, head: &str, first_key: &str) -> String {
        let line = |line: &str| {
            let name = line.split(':').next().unwrap_or("").to_ascii_lowercase();
            match (self, name.as_str()) {
                (Self::RunsAgain, "idempotency-key" | "x-stainless-retry-count") => None,
                (Self::SharesTenants, "authorization") if line.contains("key-of") => {
                    Some(format!("authorization: Bearer {first_key}"))
                }
                (Self::AnyMediaType, "content-type") => Some("content-type: application/json".to_owned()),
                _ => Some(line.to_owned()),
            }
        };
        head.lines().filter_map(line).collect::<Vec<_>>().join("\r\n")
    }

    /// Spoils an answer.
    fn spoil_answer(self, head: &mut String, body: &mut String) {
        if head.to_ascii_lowercase().contains("text/event-stream") {
            self.spoil_stream(body);
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
            Self::OpenToAll => head.push_str("\r\naccess-control-allow-origin: *"),
            _ => {}
        }
    }

    /// Spoils the events of a stream.
    fn spoil_stream(self, body: &mut String) {
        match self {
            Self::UsageUnasked if !body.contains("\"usage\"") => {
                let usage =
                    "data: {\"id\":\"x\",\"choices\":[],\"usage\":{\"total_tokens\":3}}\n\ndata: [DONE]";
                *body = body.replace("data: [DONE]", usage);
            }
            Self::NoUsage => {
                let is_kept = |event: &&str| !event.contains("\"choices\":[],");
                *body = body.split_inclusive(EVENT_END).filter(is_kept).collect();
            }
            Self::OtherObject => *body = body.replace("chat.completion.chunk", "chat.completion"),
            Self::NoRole => *body = body.replace(",\"role\":\"assistant\"", ""),
            Self::LosesFirst => *body = body.split_inclusive(EVENT_END).skip(1).collect(),
            Self::CutsEnd => {
                let events: Vec<&str> = body.split_inclusive(EVENT_END).collect();
                *body = events[..events.len().saturating_sub(2)].concat();
            }
            Self::NumbersFromOne => *body = with_numbers_from_one(body),
            Self::OtherText => {
                *body = body.replace("output_text.done\",", "output_text.done\",\"text\":\"no\",\"was_\":0,");
                *body = body.replace("\"text\":\"w", "\"text\":\"v");
            }
            _ => {}
        }
    }
}

/// The last event of a stream.
const DONE: &str = "data: [DONE]\n\n";
const EVENT_END: &str = "\n\n";
/// Streams have fewer typed events.
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

/// The numbers of typed events, one higher each; from the highest down, so that none is raised twice.
fn with_numbers_from_one(body: &str) -> String {
    let field = |number: u32| format!("\"sequence_number\":{number},");
    let mut body = body.to_owned();
    for number in (0..MAX_TYPED_EVENTS).rev() {
        body = body.replace(&field(number), &field(number + 1));
    }
    body
}

/// Starts one before a right front at `right`; `first_key` is the first tenant's.
///
/// # Errors
/// What the system says.
pub async fn malformed_front(
    right: SocketAddr,
    malformation: Malformation,
    first_key: &str,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let first_key = first_key.to_owned();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let first_key = first_key.clone();
            tokio::spawn(async move { pass(&mut stream, right, malformation, &first_key).await });
        }
    });
    Ok(address)
}

async fn pass(
    stream: &mut TcpStream,
    right: SocketAddr,
    malformation: Malformation,
    first_key: &str,
) -> Option<()> {
    let mut read = Vec::new();
    let (head, body) = tokio::select! {
        found = message(stream, &mut read) => found?,
        // A request whose body does not come is the right front's to answer.
        () = tokio::time::sleep(std::time::Duration::from_millis(200)) => {
            let text = String::from_utf8_lossy(&read).into_owned();
            let (head, body) = text.split_once("\r\n\r\n")?;
            (head.to_owned(), body.as_bytes().to_vec())
        }
    };
    let mut to = TcpStream::connect(right).await.ok()?;
    to.write_all(format!("{}\r\n\r\n", malformation.spoil_request(&head, first_key)).as_bytes())
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
    malformation.spoil_answer(&mut head, &mut body);
    stream.write_all(format!("{head}\r\ncontent-length: {}\r\n\r\n{body}", body.len()).as_bytes()).await.ok()
}
