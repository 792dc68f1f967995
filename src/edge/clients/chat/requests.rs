//! Handles one request for an answer: parses it, recognizes repeats, sends it to servers and builds the HTTP response.

use std::sync::Arc;

use axum::body::Body;
use axum::http::header::{CACHE_CONTROL, CONTENT_TYPE};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use bytes::Bytes;
use dewladder_chat::{parse_body, parsed_bytes, AnswerMetadata, Request, RequestKind, StreamWriter};
use dewladder_idempotency::{IncomingRequest, Outcome};
use dewladder_replica::RecordId;
use serde_json::Value;

use crate::edge::clients::answer_reader::{AnswerReader, AnswerStart};
use crate::edge::clients::chat::answer_source::{AnswerSource, ResponseSaver};
use crate::edge::clients::chat::answer_stream::AnswerStream;
use crate::edge::clients::chat::choice_stream::ChoiceStreams;
use crate::edge::clients::chat::server_request::AcceptedRequest;
use crate::edge::clients::chat::state::{ChatFront, Model, Tenant};
use crate::edge::clients::chat::whole_answer;
use crate::edge::clients::delivery::AnswerTracker;
use crate::edge::clients::error_response::{json_response, not_admitted, set_request_id, ErrorResponse};
use crate::edge::clients::idempotency::{Decision, Idempotency, SharedRecord, TenantRef};
use crate::edge::clients::memory_budget::Reservation;
use crate::edge::clients::recorder::Run;
use crate::edge::clients::request_body::{read_body, BodyError};
use crate::edge::cluster::quorum::Quorum;
use crate::edge::driver::Reply;
use crate::edge::servers::header;
use crate::interface::{Micros, RequestId};

/// Maximum nesting depth of a JSON body.
const MAX_JSON_DEPTH: usize = 64;
/// How often what a body is parsed to is held: as a value, and as prompts and input items.
const PARSED_COPIES: usize = 2;
/// How often a repeat is submitted at most, if each run that it joins is canceled or its record is dropped before the
/// answer begins.
const MAX_SUBMISSIONS: usize = 8;
/// The header that marks the answer of an earlier request, which this request repeats.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// An answer as it comes from servers.
struct ServerAnswer {
    /// The id under which the request, or its first choice, was sent to servers.
    id: RequestId,
    /// When the answer began (us), for its `created` field; if it is recorded, when its run began.
    started_us: Micros,
    /// The event stream of each choice.
    sources: Vec<AnswerSource>,
    /// The request was run for this client, rather than joined to the run of an earlier request.
    is_own_run: bool,
}

/// The records of a request outside the store of this process.
#[derive(Clone, Copy)]
struct Records {
    /// For other processes of this dispatcher.
    shared: Option<SharedRecord>,
    /// For other instances of the cluster.
    replicated: Option<RecordId>,
}

impl ChatFront {
    /// Handles a request that generates an answer.
    ///
    /// # Errors
    /// The error response, if the answer could not be started or, without a stream, not be completed.
    pub(super) async fn create(
        self: &Arc<Self>,
        kind: RequestKind,
        tenant: &Tenant,
        head: &Parts,
        body: Body,
    ) -> Result<Response<Body>, ErrorResponse> {
        check_media_type(&head.headers)?;
        let body = read_body(body, &head.extensions).await;
        let arrived_us = self.clock.now();
        let body = body.map_err(|error| self.unread_body(error))?;
        if self.driver.refuses(arrived_us) {
            return Err(self.refused()); // a repeat would join a stream that the kill may cut
        }
        let mut memory = self.request_memory(&body)?;
        let mut request = self.parse_request(kind, body)?;
        let model = &self.model(&request.model)?;
        check_single_answer(&request, model)?;
        self.prepend_previous(&mut request, tenant, &mut memory)?;
        let memory = &Arc::new(memory);
        let accepted = AcceptedRequest { request: &request, model, tenant, arrived_us, memory };
        let Some(idempotency) = self.idempotency.as_ref().filter(|_| request.choice_count() == 1) else {
            return self.run_unrecorded(&accepted).await;
        };
        let tenant_ref = TenantRef { number: tenant.number, name: &tenant.name };
        let described_request =
            idempotency.describe(&head.headers, tenant_ref, kind, model.at_most_once, &request.body);
        let incoming = described_request.map_err(|error| {
            ErrorResponse::bad_request("invalid_value", error.to_string()).with_param("Idempotency-Key")
        })?;
        let records = Records {
            shared: idempotency.shared_record(&head.headers, &tenant.name, &incoming, &request.body),
            replicated: Idempotency::record_id(&head.headers, &tenant.name).filter(|_| model.at_most_once),
        };
        self.run_idempotently(idempotency, &incoming, &accepted, records).await
    }

    /// Reserves the memory of what this body is parsed to: the parsed value, and the prompts and input items that are
    /// taken from it.
    fn request_memory(&self, body: &Bytes) -> Result<Reservation, ErrorResponse> {
        let bytes = PARSED_COPIES * parsed_bytes(body);
        if bytes > self.memory.largest_reservation() {
            let message = "the body has too many parts to be handled";
            return Err(ErrorResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "invalid_request_error", message));
        }
        self.memory.reserve(bytes).map_err(|_| self.refused())
    }

    /// The response to a request that can't be taken now.
    fn refused(&self) -> ErrorResponse {
        ErrorResponse::refused(self.driver.settings().max_retry_after)
    }

    /// The response to a request whose body could not be read.
    fn unread_body(&self, error: BodyError) -> ErrorResponse {
        if error.is_refusal() {
            return self.refused();
        }
        ErrorResponse::new(error.status(), "invalid_request_error", error.message())
    }

    /// Parses and checks a request's body.
    fn parse_request(&self, kind: RequestKind, body: Bytes) -> Result<Request, ErrorResponse> {
        let value = parse_body(&body, MAX_JSON_DEPTH)?;
        drop(body); // the raw bytes are not needed beside the parsed value
        let request = match kind {
            RequestKind::Chat => Request::chat(value, &self.limits),
            RequestKind::Completion => Request::completion(value, &self.limits),
            RequestKind::Response => Request::response(value, &self.limits),
        };
        Ok(request?)
    }

    /// Puts the items of the stored response that the request continues before the request's own input, and adds them
    /// to the request's memory.
    fn prepend_previous(
        &self,
        request: &mut Request,
        tenant: &Tenant,
        memory: &mut Reservation,
    ) -> Result<(), ErrorResponse> {
        let Some(previous) = request.previous_response_id.clone() else { return Ok(()) };
        let mut responses = self.responses();
        let stored = responses.get(tenant.number, &previous).ok_or_else(|| {
            ErrorResponse::bad_request("previous_response_not_found", "no response with this id is kept")
                .with_param("previous_response_id")
        })?;
        let with_items = memory.bytes() + PARSED_COPIES * stored.item_bytes();
        memory.grow_to(with_items).map_err(|_| self.refused())?;
        request.prepend_items(&stored.items);
        Ok(())
    }

    /// Runs a request without a record in the idempotency store. Each choice is a request of its own to servers.
    async fn run_unrecorded(
        self: &Arc<Self>,
        accepted: &AcceptedRequest<'_>,
    ) -> Result<Response<Body>, ErrorResponse> {
        let mut pending_choices = Vec::new();
        for choice in 0..accepted.request.choice_count() {
            let permit = self.permit(accepted.tenant)?;
            let (info, payload) = self.server_request(accepted, choice).map_err(|_| self.refused())?;
            pending_choices.push((
                info.id,
                permit,
                Box::pin(self.driver.submit(info, accepted.arrived_us, payload).0),
            ));
        }
        let id = pending_choices[0].0;
        let mut sources = Vec::new();
        for (_, permit, reply) in pending_choices {
            // If one choice is refused or fails, returning drops the other choices, pending or streaming.
            match reply.await {
                Reply::Stream(relay) => {
                    sources.push(AnswerSource::Relay { relay: Box::new(relay), _permit: permit });
                }
                Reply::Rejected { retry_in } => return Err(ErrorResponse::refused(retry_in)),
                Reply::Failed { may_have_run } => {
                    return Err(ErrorResponse::failed(accepted.model.at_most_once && may_have_run));
                }
                Reply::DuplicateId => {
                    return Err(ErrorResponse::new(StatusCode::CONFLICT, "conflict", "the id is taken"));
                }
            }
        }
        let started_us = self.clock.now();
        self.answer(accepted, ServerAnswer { id, started_us, sources, is_own_run: true }).await
    }

    /// Runs a request under the idempotency store, which decides whether the request runs, joins an earlier run, or is
    /// not admitted.
    async fn run_idempotently(
        self: &Arc<Self>,
        idempotency: &Idempotency,
        incoming: &IncomingRequest,
        accepted: &AcceptedRequest<'_>,
        records: Records,
    ) -> Result<Response<Body>, ErrorResponse> {
        let replica = self.quorum.clone().zip(records.replicated);
        for _ in 0..MAX_SUBMISSIONS {
            let (mut reader, is_own_run) = match idempotency.admit(incoming, records.shared).await {
                Decision::Run(reader) => {
                    self.start_run(idempotency, &reader, accepted, replica.clone())?;
                    (reader, true)
                }
                Decision::Join(reader) => (reader, false),
                Decision::RunUnrecorded => return self.run_unrecorded(accepted).await,
                Decision::NotAdmitted(admission) => return Err(not_admitted(admission)),
            };
            let pending_answer = reader.pending_answer();
            match reader.start().await {
                AnswerStart::Streaming => {
                    let mut response = self.answer_recorded(accepted, reader, is_own_run).await?;
                    response.extensions_mut().insert(AnswerTracker::new(pending_answer));
                    return Ok(response);
                }
                AnswerStart::Ended(Outcome::Refused { retry_after_us }) => {
                    return Err(ErrorResponse::refused(retry_after_us));
                }
                AnswerStart::Ended(
                    Outcome::Failed { may_have_executed } | Outcome::Canceled { may_have_executed },
                ) => {
                    return Err(ErrorResponse::failed(accepted.model.at_most_once && may_have_executed));
                }
                AnswerStart::Ended(_) | AnswerStart::SubmitAgain => {}
            }
        }
        Err(ErrorResponse::refused(self.driver.settings().max_retry_after))
    }

    /// Starts the run of an admitted request, which records the answer for `reader`.
    fn start_run(
        &self,
        idempotency: &Idempotency,
        reader: &AnswerReader,
        accepted: &AcceptedRequest<'_>,
        replica: Option<(Quorum, RecordId)>,
    ) -> Result<(), ErrorResponse> {
        let permit = self.permit(accepted.tenant).inspect_err(|_| {
            idempotency.refuse(reader, self.driver.settings().max_retry_after);
        })?;
        let (request, payload) = self.server_request(accepted, 0).map_err(|_| {
            idempotency.refuse(reader, self.driver.settings().max_retry_after);
            self.refused()
        })?;
        let run = Run { request, received_at: accepted.arrived_us, payload, replica };
        idempotency.run(reader, &self.driver, run, permit);
        Ok(())
    }

    /// The HTTP response with the recorded answer that `reader` reads.
    async fn answer_recorded(
        self: &Arc<Self>,
        accepted: &AcceptedRequest<'_>,
        reader: AnswerReader,
        is_own_run: bool,
    ) -> Result<Response<Body>, ErrorResponse> {
        let (id, started_us) = reader.request();
        let sources = vec![AnswerSource::Recorded(reader)];
        let mut response =
            self.answer(accepted, ServerAnswer { id, started_us, sources, is_own_run }).await?;
        if !is_own_run {
            response.headers_mut().insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        Ok(response)
    }

    /// Stores the response to this request once it is complete.
    fn response_saver(&self, accepted: &AcceptedRequest<'_>, metadata: &AnswerMetadata) -> ResponseSaver {
        ResponseSaver {
            store: self.response_store.clone(),
            tenant: accepted.tenant.number,
            id: format!("resp_{}", metadata.id),
            input_items: accepted.request.input_items.clone(),
            _memory: accepted.memory.clone(),
        }
    }

    /// The HTTP response to the client: a stream, or the complete answer.
    async fn answer(
        self: &Arc<Self>,
        accepted: &AcceptedRequest<'_>,
        answer: ServerAnswer,
    ) -> Result<Response<Body>, ErrorResponse> {
        let request = accepted.request;
        let id = answer.id;
        // Only the client that the request runs for resumes it, or every client that joined the run would request the
        // rest. Requests with long prompts are not resumed: their prompts would be held as long as their streams
        // last, and the memory would add up over all streams.
        let prompt_bytes: usize = request.prompts.iter().flatten().map(|message| message.text.len()).sum();
        let resumption = self
            .resume_policy
            .filter(|policy| answer.is_own_run && prompt_bytes <= policy.max_text_bytes)
            .map(|policy| self.resumption(id, accepted, policy));
        let metadata = AnswerMetadata {
            id: format!("{:016x}", id.0),
            model: request.model.clone(),
            created_unix_s: answer.started_us / 1_000_000,
        };
        let saver = request.store.then(|| self.response_saver(accepted, &metadata));
        let mut response = if request.stream {
            let writer = StreamWriter::new(request, metadata);
            let stream = AnswerStream::new(answer.sources, writer, saver, resumption, self.keepalive);
            event_stream_response(Body::new(stream))
        } else {
            let choices = ChoiceStreams::new(answer.sources, resumption);
            let collected = whole_answer::collect(choices, request, metadata, saver).await;
            let collected: Value = collected.map_err(|error| ErrorResponse {
                never_retry: accepted.model.at_most_once,
                ..ErrorResponse::new(StatusCode::BAD_GATEWAY, "server_error", error.to_string())
            })?;
            json_response(StatusCode::OK, Bytes::from(collected.to_string()))
        };
        set_request_id(response.headers_mut(), id);
        Ok(response)
    }
}

/// The response with this event stream as its body.
fn event_stream_response(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

/// Checks that the body is JSON, if the request states its media type.
fn check_media_type(headers: &HeaderMap) -> Result<(), ErrorResponse> {
    let Some(media_type) = header(headers, CONTENT_TYPE.as_str()) else { return Ok(()) };
    let media_type = media_type.split(';').next().unwrap_or("").trim();
    if media_type.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    let message = "the body must be application/json";
    Err(ErrorResponse::new(StatusCode::UNSUPPORTED_MEDIA_TYPE, "unsupported_media_type", message))
}

/// Rejects requests for several answers from an at-most-once model: each answer would be a run of its own.
fn check_single_answer(request: &Request, model: &Model) -> Result<(), ErrorResponse> {
    if !model.at_most_once || request.choice_count() == 1 {
        return Ok(());
    }
    let param = if request.choices_per_prompt > 1 { "n" } else { "prompt" };
    let message = format!("{param}: a request of this model runs once, for one answer");
    Err(ErrorResponse::bad_request("unsupported_value", message).with_param(param))
}
