//! One client's connection: HTTP/1.1 on its stream, each request handed to the front, and an end in good order.

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
use crate::edge::clients::framing::{BodyFraming, MAX_HEAD_BYTES};
use crate::edge::clients::plain_response::{over_capacity_response, plain_response};
use crate::edge::clients::request_timing::{AcceptDelay, WholeBy};
use crate::edge::phase::Phase;
use crate::edge::servers::header;
use crate::edge::stats::{End, Figures};

/// A connection that has just been accepted is not closed as idle: its request is on the way.
const MIN_AGE_AT_CLOSE: Duration = Duration::from_millis(60);

/// Answers the requests of one connection.
pub struct RequestHandler {
    front: Router,
    slot: Arc<ConnectionSlot>,
    figures: Figures,
    phase: watch::Receiver<Phase>,
}

impl RequestHandler {
    /// Hands requests on to this front, but for those that are refused here; they are counted in `figures`.
    #[must_use]
    pub fn new(
        front: Router,
        slot: Arc<ConnectionSlot>,
        figures: Figures,
        phase: watch::Receiver<Phase>,
    ) -> Self {
        Self { front, slot, figures, phase }
    }

    /// Takes a request whose head has come; the future is its answer.
    fn take(
        &self,
        mut request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<AnswerBody>, Infallible>> {
        let TakenRequest { framing, whole_by } = self.slot.request_taken(Instant::now());
        let accept_delay = self.slot.take_accept_delay();
        let open = OpenRequest(self.slot.clone());
        let (mut front, figures, phase) = (self.front.clone(), self.figures.clone(), self.phase.clone());
        async move {
            let over_capacity = open.0.over_capacity;
            let mut response = if framing == BodyFraming::Ambiguous {
                // Guards against a request that hides in another's body: nothing of this one is passed on, and nothing
                // behind it is read as a request.
                plain_response(StatusCode::BAD_REQUEST, "where the request ends can't be told")
            } else if over_capacity {
                figures.answered_at_the_door(header(request.headers(), "x-lane"), End::Rejected);
                over_capacity_response()
            } else {
                request.extensions_mut().insert(WholeBy(whole_by));
                request.extensions_mut().insert(AcceptDelay(accept_delay));
                front.call(request).await?
            };
            let is_leaving = *phase.borrow() > Phase::Serving;
            if framing != BodyFraming::KnownLength || over_capacity || is_leaving {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok(response.map(|body| AnswerBody { body, _open: open }))
        }
    }
}

/// Serves a connection until it ends: by its client, by its slot's deadline, or as idle in the last phase.
pub async fn serve_connection(
    stream: ClientStream,
    handler: RequestHandler,
    mut phase: watch::Receiver<Phase>,
) {
    stream.set_options();
    let slot = handler.slot.clone();
    let service = service_fn(move |request| handler.take(request));
    let mut connection = pin!(http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service));
    let accepted = Instant::now();
    let mut closing = pin!(async move {
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
        sleep_until(accepted + MIN_AGE_AT_CLOSE).await;
    });
    let mut is_closing = false;
    let mut armed = accepted;
    let mut alarm = pin!(sleep_until(armed));
    poll_fn(|context| {
        if !is_closing && closing.as_mut().poll(context).is_ready() {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
        }
        if connection.as_mut().poll(context).is_ready() {
            return Poll::Ready(());
        }
        // A client that asks nothing, or never comes to the end of its head, is not waited for.
        let Some(deadline) = slot.deadline() else { return Poll::Pending };
        if deadline != armed {
            armed = deadline;
            alarm.as_mut().reset(deadline);
        }
        alarm.as_mut().poll(context)
    })
    .await;
}

/// A request that is open until its answer has been handed over.
struct OpenRequest(Arc<ConnectionSlot>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.request_answered(Instant::now());
    }
}

/// An answer's body; its request is open as long.
struct AnswerBody {
    body: Body,
    _open: OpenRequest,
}

impl http_body::Body for AnswerBody {
    type Data = bytes::Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
