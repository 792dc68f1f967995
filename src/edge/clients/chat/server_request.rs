//! Builds the request that is sent to servers for one choice, and the description of it that the router places it by.

use std::sync::Arc;

use dewladder_chat::{Message, Request};
use dewladder_resume::{ChoiceTraits, Mode, Policy};
use serde_json::{json, Value};
use tokio::time::sleep_until;

use crate::edge::clients::chat::answer_source::AnswerSource;
use crate::edge::clients::chat::endpoint::CHAT_PATH;
use crate::edge::clients::chat::resumption::{ResumeError, ResumeFn, ResumeRequest, Resumption};
use crate::edge::clients::chat::state::{ChatFront, Model, Tenant};
use crate::edge::clients::memory_budget::{NoRoom, Reservation, ReservedBytes};
use crate::edge::driver::Reply;
use crate::edge::servers::Payload;
use crate::interface::{Effect, Key, Micros, RequestId, RequestInfo};

/// The assumed number of characters per token, from which the lengths of prompts are estimated.
const CHARACTERS_PER_TOKEN: u64 = 4;
/// Separates the parts of a key's text, so that different parts don't make the same text.
const KEY_SEPARATOR: &str = "\u{1f}";

/// A valid request, with its model, its tenant and its time of arrival.
#[derive(Clone, Copy)]
pub(super) struct AcceptedRequest<'a> {
    pub(super) request: &'a Request,
    pub(super) model: &'a Model,
    pub(super) tenant: &'a Tenant,
    /// When its body had been received completely (us).
    pub(super) arrived_us: Micros,
    /// The memory of what the request was parsed to. Whoever keeps a part of the request keeps a clone.
    pub(super) memory: &'a Arc<Reservation>,
}

impl ChatFront {
    /// The description for the router and the payload for servers of one choice, under a new request id.
    ///
    /// # Errors
    /// There is no memory for the payload.
    pub(super) fn server_request(
        &self,
        accepted: &AcceptedRequest<'_>,
        choice: usize,
    ) -> Result<(RequestInfo, Arc<Payload>), NoRoom> {
        let id = self.next_id();
        let info = self.request_info(id, accepted, accepted.request.prompt_of(choice));
        Ok((info, self.payload(id, &accepted.request.server_body(choice))?))
    }

    /// The payload that carries this body to servers. Servers know the request by its id in hex.
    fn payload(&self, id: RequestId, body: &Value) -> Result<Arc<Payload>, NoRoom> {
        let (txn, target) = (format!("{:016x}", id.0), CHAT_PATH.to_owned());
        let body = ReservedBytes::from_vec(body.to_string().into_bytes(), &self.memory)?.into_bytes();
        Ok(Arc::new(Payload { txn, target, key: None, body }))
    }

    /// The description of a request for the router. Lengths are estimated at four characters per token. A leading
    /// system or developer message is the prefix that the prompt may share with other conversations. The session key
    /// is made of the tenant, the model, that message and the first other message, so that all requests of a
    /// conversation have the same key.
    fn request_info(&self, id: RequestId, accepted: &AcceptedRequest<'_>, prompt: &[Message]) -> RequestInfo {
        let AcceptedRequest { request, model, tenant, arrived_us, .. } = *accepted;
        let prompt_tokens = prompt.iter().map(|message| estimated_tokens(&message.text)).sum();
        let system_prompt =
            prompt.first().filter(|message| is_system_prompt(message)).map(|message| message.text.as_str());
        let first =
            prompt.iter().find(|message| !is_system_prompt(message)).map_or("", |message| &message.text);
        // The deadline grows twice as fast with the length of the prompt as the latency objective does.
        let extra_us = 2 * model.class.latency_objective_per_1000_tokens * prompt_tokens / 1_000;
        RequestInfo {
            id,
            class: model.class_number,
            session: Some(key(&[&tenant.name, &request.model, system_prompt.unwrap_or(""), first])),
            shared: system_prompt.map(|text| key(&[&request.model, text])),
            shared_tokens: system_prompt.map_or(0, estimated_tokens),
            prompt_tokens,
            max_tokens: self.max_tokens_of(request),
            hint: None,
            not_after: arrived_us + model.class.default_timeout + extra_us,
        }
    }

    /// The maximum number of tokens of the answer: that of the request, but not more than the settings allow.
    fn max_tokens_of(&self, request: &Request) -> u64 {
        request.max_tokens.unwrap_or(self.max_tokens).min(self.max_tokens)
    }

    /// The context by which this request's choices are resumed. Each resumption is a new request to servers.
    pub(super) fn resumption(
        self: &Arc<Self>,
        request_id: RequestId,
        accepted: &AcceptedRequest<'_>,
        policy: Policy,
    ) -> Resumption {
        let traits = ChoiceTraits {
            // The rest is sent under a new id, so servers can't recognize it as a repeat of the same request.
            may_rerun: accepted.model.class.effect == Effect::Idempotent,
            wants_more_than_text: accepted.request.body["logprobs"] == true,
            max_tokens: self.max_tokens_of(accepted.request),
        };
        let request = Arc::new(accepted.request.clone());
        let model = Model { at_most_once: false, ..accepted.model.clone() };
        let (front, tenant) = (self.clone(), accepted.tenant.clone());
        let received_at = accepted.arrived_us;
        let memory = accepted.memory.clone();
        let resume_choice: ResumeFn = Arc::new(move |resume_request: ResumeRequest| {
            let (front, request) = (front.clone(), request.clone());
            let (model, tenant, memory) = (model.clone(), tenant.clone(), memory.clone());
            Box::pin(async move {
                sleep_until(front.clock.instant(front.clock.now() + resume_request.wait_us)).await;
                let arrived_us = front.clock.now();
                let accepted = AcceptedRequest {
                    request: &request,
                    model: &model,
                    tenant: &tenant,
                    arrived_us,
                    memory: &memory,
                };
                front.resume_choice(&accepted, received_at, &resume_request).await
            })
        });
        Resumption { request_id, policy, traits, resume_choice, clock: self.clock }
    }

    /// Requests the rest of a choice's answer from servers, and waits until it begins. In continue mode the text that
    /// the client has received is added to the prompt; in restart mode the whole answer is generated again. The client's request was received at `received_at` (us).
    async fn resume_choice(
        &self,
        accepted: &AcceptedRequest<'_>,
        received_at: Micros,
        resume_request: &ResumeRequest,
    ) -> Result<AnswerSource, ResumeError> {
        let permit = self
            .permit(accepted.tenant)
            .map_err(|_| ResumeError::Refused { retry_after_us: self.driver.settings().max_retry_after })?;
        let mut prompt = accepted.request.prompt_of(resume_request.choice).to_vec();
        let mut body = accepted.request.server_body(resume_request.choice);
        if let Some(fields) = body.as_object_mut() {
            fields.remove("max_completion_tokens");
            fields.insert("max_tokens".to_owned(), json!(resume_request.max_tokens));
        }
        let continues = self.resume_policy.is_some_and(|policy| policy.mode == Mode::Continue);
        if continues && !resume_request.text.is_empty() {
            append_partial_answer(&mut body, &mut prompt, &resume_request.text);
        }
        let id = self.next_id();
        let info = self.request_info(id, accepted, &prompt);
        let not_after = info.not_after.min(resume_request.deadline_us);
        let info = RequestInfo { max_tokens: resume_request.max_tokens, not_after, ..info };
        let payload = self
            .payload(id, &body)
            .map_err(|_| ResumeError::Refused { retry_after_us: self.driver.settings().max_retry_after })?;
        match self.driver.submit_and_wait(info, received_at, payload).await {
            Reply::Stream(relay) => Ok(AnswerSource::Relay { relay: Box::new(relay), _permit: permit }),
            Reply::Rejected { retry_in } => Err(ResumeError::Refused { retry_after_us: retry_in }),
            Reply::Failed { .. } | Reply::DuplicateId => Err(ResumeError::Failed),
        }
    }
}

/// Adds the text that the client has received to the prompt, and has the server continue it instead of beginning a new
/// message.
fn append_partial_answer(body: &mut Value, prompt: &mut Vec<Message>, text: &str) {
    let Some(messages) = body["messages"].as_array_mut() else { return };
    messages.push(json!({"role": "assistant", "content": text}));
    body["continue_final_message"] = json!(true);
    body["add_generation_prompt"] = json!(false);
    prompt.push(Message { role: "assistant".to_owned(), text: text.to_owned() });
}

/// Whether the message instructs the model rather than being part of the conversation.
fn is_system_prompt(message: &Message) -> bool {
    matches!(message.role.as_str(), "system" | "developer")
}

/// Estimates the number of tokens of a text.
fn estimated_tokens(text: &str) -> u64 {
    (text.chars().count() as u64).div_ceil(CHARACTERS_PER_TOKEN)
}

/// The key that stands for these parts together.
fn key(parts: &[&str]) -> Key {
    Key::from_text(&parts.join(KEY_SEPARATOR))
}
