//! Serves one client connection: HTTP/1.1 on its stream, each request passed to the front, and an orderly
//! end.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Request, Response, StatusCode};
use axum::Router;
use http_body::{Frame, SizeHint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tower_service::Service as _;

use crate::edge::clients::client_stream::ClientStream;
use crate::edge::clients::connection_slot::{ConnectionSlot, TakenRequest};
use crate::edge::clients::delivery::{AnswerTracker, PendingAnswer};
use crate::edge::clients::framing::{BodyFraming, MAX_HEAD_BYTES};
use crate::edge::clients::memory_budget::{MemoryBudget, NoRoom, Reservation};
use crate::edge::clients::plain_response::{over_capacity_response, plain_response};
use crate::edge::clients::request_timing::{AcceptDelay, ReceiveLimits};
use crate::edge::phase::Phase;
use crate::edge::servers::header;
use crate::edge::stats::{End, Figures};

/// The minimum age at which an idle connection is closed: the first request of a new connection is probably
/// on its way.
const MIN_AGE_AT_CLOSE: Duration = Duration::from_millis(60);

/// Header fields of a request for which the memory of its connection is enough.
const FREE_FIELDS: usize = 24;
/// What each further header field takes while a front handles the request (bytes), beside its text.
const FIELD_MEMORY: usize = 256;

/// Handles the requests of one connection: passes them to the front, or refuses them itself.
pub struct RequestHandler {
    front: Router,
    slot: Arc<ConnectionSlot>,
    memory: MemoryBudget,
    figures: Figures,
    phase: watch::Receiver<Phase>,
}

impl RequestHandler {
    /// Passes requests to `front`, except those that are refused here. The memory for their bodies is taken from
    /// `memory`; refusals for want of a slot are counted in `figures`. During shutdown, as `phase` tells, each answer asks
    /// the client to close the connection.
    #[must_use]
    pub fn new(
        front: Router,
        slot: Arc<ConnectionSlot>,
        memory: MemoryBudget,
        figures: Figures,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        Self { front, slot, memory, figures, phase }
    }

    /// Takes the memory for the head of a request with many fields. It is held until the front has an answer.
    fn reserve_head(&self, request: &Request<Incoming>) -> Result<Reservation, NoRoom> {
        let headers = request.headers();
        if headers.len() <= FREE_FIELDS {
            return Ok(self.memory.reservation());
        }
        let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        self.memory.reserve((headers.len() - FREE_FIELDS) * FIELD_MEMORY + text)
    }

    /// Starts to handle a request whose head has been received. The future resolves to its response.
    fn handle(
        &self,
        mut request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<AnswerBody>, Infallible>> {
        let TakenRequest { framing, receive_deadline: deadline } = self.slot.request_taken(Instant::now());
        let accept_delay = self.slot.take_accept_delay();
        let open_request = OpenRequest(self.slot.clone());
        let (mut front, figures, phase) = (self.front.clone(), self.figures.clone(), self.phase.clone());
        let head_memory = self.reserve_head(&request);
        let limits = ReceiveLimits { deadline, memory: self.memory.clone(), phase: phase.clone() };
        async move {
            let over_capacity = open_request.0.over_capacity;
            let mut response = if framing == BodyFraming::Ambiguous {
                // Prevents request smuggling, where the body of a request hides another one: this request is
                // not passed on, and no bytes behind it are read as a request.
                plain_response(StatusCode::BAD_REQUEST, "where the request ends can't be told")
            } else if over_capacity || head_memory.is_err() {
                figures.answered_by_front(header(request.headers(), "x-lane"), End::Rejected);
                over_capacity_response()
            } else {
                request.extensions_mut().insert(limits);
                request.extensions_mut().insert(AcceptDelay(accept_delay));
                front.call(request).await?
            };
            drop(head_memory);
            let tracker = response.extensions_mut().remove::<AnswerTracker>();
            let pending_answer = tracker.and_then(|tracker| tracker.take());
            let is_shutting_down = *phase.borrow() > Phase::Serving;
            if framing != BodyFraming::KnownLength || over_capacity || is_shutting_down {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| AnswerBody { body, has_ended: false, pending_answer, open_request }))
        }
    }
}

/// Serves a connection until the client ends it, its slot's deadline passes, or it is idle in
/// [`Phase::Closing`].
pub async fn serve_connection(stream: ClientStream, handler: RequestHandler, phase: watch::Receiver<Phase>) {
    stream.set_options();
    let slot = handler.slot.clone();
    let service = service_fn(move |request| handler.handle(request));
    let mut connection = pin!(http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service));
    let accepted_at = Instant::now();
    let mut close_due = pin!(close_due(phase, accepted_at));
    let mut is_closing = false;
    let mut timer_deadline = accepted_at;
    let mut timer = pin!(sleep_until(timer_deadline));
    poll_fn(|context| {
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        // Only after the connection has been polled: a process that was held up finds the end of the minimum age and a
        // request in the socket at the same time, and the request must be read first.
        if !is_closing && close_due.as_mut().poll(context).is_ready() {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
            if connection.as_mut().poll(context).is_ready() {
                return Poll::Ready(());
            }
        }
        // The deadline also closes the connection of a client that sends no request, or never completes a
        // request head.
        let Some(deadline) = slot.deadline() else { return Poll::Pending };
        if deadline != timer_deadline {
            timer_deadline = deadline;
            timer.as_mut().reset(deadline);
        }
        timer.as_mut().poll(context)
    })
    .await;
}

/// Waits until a connection that was accepted at `accepted_at` is to be closed if it is idle.
async fn close_due(mut phase: watch::Receiver<Phase>, accepted_at: Instant) {
    let _ = phase.wait_for(|phase| *phase >= Phase::Closing).await;
    sleep_until(accepted_at + MIN_AGE_AT_CLOSE).await;
}

/// Marks a request as open. Its drop, once the answer has been handed to hyper completely or has been given
/// up, tells the slot that the request has been answered.
struct OpenRequest(Arc<ConnectionSlot>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.request_answered(Instant::now());
    }
}

/// The body of a response. The request is open until this is dropped.
struct AnswerBody {
    body: Body,
    /// Whether the end of the body has been returned.
    has_ended: bool,
    /// `None` if nobody needs to know whether the client gets the answer.
    pending_answer: Option<PendingAnswer>,
    open_request: OpenRequest,
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let is_whole = self.has_ended || http_body::Body::is_end_stream(&self.body);
        if let Some(answer) = self.pending_answer.take().filter(|_| is_whole) {
            self.open_request.0.answer_handed_over(answer.hand_over());
        }
    }
}

impl http_body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        self.has_ended |= matches!(frame, Poll::Ready(None));
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
