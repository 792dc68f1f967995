//! What servers are sent and the router is told for one choice of a request.

use std::sync::Arc;

use bytes::Bytes;
use dewladder_chat::{Message, Request};
use dewladder_resume::{ChoiceTraits, Mode, Policy};
use serde_json::{json, Value};
use tokio::time::sleep_until;

use crate::edge::clients::chat::answer_source::AnswerSource;
use crate::edge::clients::chat::endpoint::CHAT_PATH;
use crate::edge::clients::chat::resumption::{RequestRest, RestError, RestRequest, Resumption};
use crate::edge::clients::chat::state::{ChatFront, Model, Tenant};
use crate::edge::driver::Reply;
use crate::edge::servers::Payload;
use crate::interface::{Key, Micros, RequestId, RequestInfo};

const CHARACTERS_PER_TOKEN: u64 = 4;
/// Stands between the parts of a key's text.
const KEY_SEPARATOR: &str = "\u{1f}";

/// A request that was accepted, with whose it is and what it asks.
#[derive(Clone, Copy)]
pub(super) struct AcceptedRequest<'a> {
    pub(super) request: &'a Request,
    pub(super) model: &'a Model,
    pub(super) tenant: &'a Tenant,
    /// When it had come whole (us).
    pub(super) arrived_us: Micros,
}

impl ChatFront {
    /// What the router is told and servers are sent for one choice, under an id of its own.
    pub(super) fn server_request(
        &self,
        accepted: &AcceptedRequest<'_>,
        choice: usize,
    ) -> (RequestInfo, Arc<Payload>) {
        let id = self.next_id();
        let info = self.request_info(id, accepted, accepted.request.prompt_of(choice));
        (info, payload(id, &accepted.request.server_body(choice)))
    }

    /// What the router is told: lengths at four characters a token, the first message as the beginning that it may share
    /// with other conversations, and the conversation by what it began with.
    fn request_info(&self, id: RequestId, accepted: &AcceptedRequest<'_>, prompt: &[Message]) -> RequestInfo {
        let AcceptedRequest { request, model, tenant, arrived_us } = *accepted;
        let prompt_tokens = prompt.iter().map(|message| tokens(&message.text)).sum();
        let opening =
            prompt.first().filter(|message| is_opening(message)).map(|message| message.text.as_str());
        let first = prompt.iter().find(|message| !is_opening(message)).map_or("", |message| &message.text);
        // The deadline grows twice as fast with the prompt as the latency objective does.
        let extra_us = 2 * model.class.latency_objective_per_1000_tokens * prompt_tokens / 1_000;
        RequestInfo {
            id,
            class: model.class_number,
            session: Some(key(&[&tenant.name, &request.model, opening.unwrap_or(""), first])),
            shared: opening.map(|text| key(&[&request.model, text])),
            shared_tokens: opening.map_or(0, tokens),
            prompt_tokens,
            max_tokens: self.max_tokens_of(request),
            hint: None,
            not_after: arrived_us + model.class.default_timeout + extra_us,
        }
    }

    fn max_tokens_of(&self, request: &Request) -> u64 {
        request.max_tokens.unwrap_or(self.max_tokens).min(self.max_tokens)
    }

    /// How this request's choices are resumed: each time as one more request.
    pub(super) fn resumption(
        self: &Arc<Self>,
        request_id: RequestId,
        accepted: &AcceptedRequest<'_>,
        policy: Policy,
    ) -> Resumption {
        let traits = ChoiceTraits {
            may_rerun: !accepted.model.at_most_once,
            wants_more_than_text: accepted.request.body["logprobs"] == true,
            max_tokens: self.max_tokens_of(accepted.request),
        };
        let request = Arc::new(accepted.request.clone());
        let model = Model { at_most_once: false, ..accepted.model.clone() };
        let (front, tenant) = (self.clone(), accepted.tenant.clone());
        let request_rest: RequestRest = Arc::new(move |rest: RestRequest| {
            let (front, request) = (front.clone(), request.clone());
            let (model, tenant) = (model.clone(), tenant.clone());
            Box::pin(async move {
                sleep_until(front.clock.instant(front.clock.now() + rest.wait_us)).await;
                let arrived_us = front.clock.now();
                let accepted =
                    AcceptedRequest { request: &request, model: &model, tenant: &tenant, arrived_us };
                front.request_rest(&accepted, &rest).await
            })
        });
        Resumption { request_id, policy, traits, request_rest, clock: self.clock }
    }

    async fn request_rest(
        &self,
        accepted: &AcceptedRequest<'_>,
        rest: &RestRequest,
    ) -> Result<AnswerSource, RestError> {
        let permit = self
            .permit(accepted.tenant)
            .map_err(|_| RestError::Refused { retry_after_us: self.driver.settings().max_retry_after })?;
        let mut prompt = accepted.request.prompt_of(rest.choice).to_vec();
        let mut body = accepted.request.server_body(rest.choice);
        if let Some(fields) = body.as_object_mut() {
            fields.remove("max_completion_tokens");
            fields.insert("max_tokens".to_owned(), json!(rest.max_tokens));
        }
        let continues = self.resume_policy.is_some_and(|policy| policy.mode == Mode::Continue);
        if continues && !rest.text.is_empty() {
            append_beginning(&mut body, &mut prompt, &rest.text);
        }
        let id = self.next_id();
        let info = self.request_info(id, accepted, &prompt);
        let not_after = info.not_after.min(rest.deadline_us);
        let info = RequestInfo { max_tokens: rest.max_tokens, not_after, ..info };
        match self.driver.submit_and_wait(info, payload(id, &body)).await {
            Reply::Stream(relay) => Ok(AnswerSource::Relay { relay: Box::new(relay), _permit: permit }),
            Reply::Rejected { retry_in } => Err(RestError::Refused { retry_after_us: retry_in }),
            Reply::Failed { .. } | Reply::DuplicateId => Err(RestError::Failed),
        }
    }
}

/// Gives servers the beginning of an answer, to go on from its end.
fn append_beginning(body: &mut Value, prompt: &mut Vec<Message>, text: &str) {
    let Some(messages) = body["messages"].as_array_mut() else { return };
    messages.push(json!({"role": "assistant", "content": text}));
    body["continue_final_message"] = json!(true);
    body["add_generation_prompt"] = json!(false);
    prompt.push(Message { role: "assistant".to_owned(), text: text.to_owned() });
}

fn payload(id: RequestId, body: &Value) -> Arc<Payload> {
    let (txn, target) = (format!("{:016x}", id.0), CHAT_PATH.to_owned());
    Arc::new(Payload { txn, target, key: None, body: Bytes::from(body.to_string()) })
}

fn is_opening(message: &Message) -> bool {
    matches!(message.role.as_str(), "system" | "developer")
}

fn tokens(text: &str) -> u64 {
    (text.chars().count() as u64).div_ceil(CHARACTERS_PER_TOKEN)
}

fn key(parts: &[&str]) -> Key {
    Key::from_text(&parts.join(KEY_SEPARATOR))
}
