//! Generates one sample on an engine that this host dispatches for.
//!
//! The generation waits for its turn in the engine's queue, streams from the
//! engine together with its evidence, and is sent to the step's owner
//! (docs/design/steps.md).

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::sync::{mpsc, oneshot};

use super::{
    Host,
    engine_client::EngineError,
    messages,
    thread::{Input, TurnSenders},
};
use crate::{
    clock::millis,
    engine::{
        api::CompletionRequest,
        evidence::{Evidence, EvidenceError, ProvedTokens},
    },
    observe::telemetry,
    proto::peer::{self, generate_event::Event},
    share::{
        dispatch,
        fairness::{Class, Ticket},
    },
};

/// The interval at which progress is reported to the step's owner.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// The retry delay after a failure that does not carry its own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The channel for the events of a generation.
pub type EventSender = mpsc::Sender<peer::GenerateEvent>;

/// The reason why a generation gave no sample.
#[derive(Debug, thiserror::Error)]
enum GenerateError {
    /// The control thread has ended.
    #[error("the control thread is gone")]
    Control,
    /// The engine's queue refused the request.
    #[error("refused: {reason}")]
    Refused {
        reason: dispatch::Refusal,
        retry_after: Duration,
    },
    /// This host does not know the engine.
    #[error("the engine is not known")]
    UnknownEngine,
    /// The engine gave no complete response.
    #[error(transparent)]
    Engine(#[from] EngineError),
    /// The response does not prove which weights generated it.
    #[error(transparent)]
    Evidence(#[from] EvidenceError),
    /// The process was paused between the start of the turn and the request,
    /// for longer than the turn is valid.
    #[error("its turn had passed before the request left")]
    TurnExpired,
    /// The dispatcher preempted the generation in favour of a row below its
    /// share.
    #[error("preempted for a row below its share")]
    Preempted,
    /// The owner of the step cancelled the attempt.
    #[error("given up by the step's owner")]
    Abandoned,
}

impl GenerateError {
    const fn is_not_run(&self) -> bool {
        match self {
            Self::Control | Self::Refused { .. } | Self::UnknownEngine | Self::TurnExpired => true,
            Self::Engine(error) => error.is_not_run(),
            Self::Evidence(_) | Self::Preempted | Self::Abandoned => false,
        }
    }

    const fn retry_after(&self) -> Duration {
        match self {
            Self::Refused { retry_after, .. } => *retry_after,
            Self::Preempted => Duration::ZERO,
            _ => DEFAULT_RETRY_AFTER,
        }
    }
}

/// Runs `request` and sends its progress and its result to `events`.
pub async fn run(host: &Host, request: peer::GenerateRequest, events: EventSender) {
    let ticket = host.next_ticket();
    let mut evidence = start_evidence(&request);
    let result = queue_and_stream(host, &request, ticket, &mut evidence, &events).await;
    let tokens = generated_token_count(&request, &evidence);
    host.metrics
        .count(telemetry::TOKENS_SERVED, u64::from(tokens));
    host.control
        .send_or_drop(Input::dispatch(dispatch::Event::Finished {
            ticket,
            tokens,
        }))
        .await;
    let proved = evidence.proved();
    let event = match result.and_then(|reason| build_sample(&request, evidence, reason)) {
        Ok(sample) => Event::Sample(sample),
        Err(error) => {
            send_proved(&proved, &error, &events).await;
            tracing::debug!(ticket, %error, "a generation gave no sample");
            Event::Failure(peer::GenerateFailure {
                not_run: error.is_not_run() && request.resume_tokens.is_empty(),
                retry_after_ms: millis(error.retry_after()),
                reason: error.to_string(),
            })
        }
    };
    let _ = events.send(generate_event(event)).await;
}

/// Sends the proved tokens to the owner, so that the next attempt resumes after
/// them.
///
/// After faulty evidence they are sent even if none are left, because they
/// replace the tokens reported before.
async fn send_proved(proved: &ProvedTokens, error: &GenerateError, events: &EventSender) {
    let is_retraction = matches!(error, GenerateError::Evidence(_));
    let has_update = is_retraction || !proved.tokens.is_empty();
    if !has_update || matches!(error, GenerateError::Abandoned) {
        return;
    }
    let progress = messages::write_progress(proved.clone());
    let _ = events.send(generate_event(Event::Progress(progress))).await;
}

const fn generate_event(event: Event) -> peer::GenerateEvent {
    peer::GenerateEvent { event: Some(event) }
}

fn start_evidence(request: &peer::GenerateRequest) -> Evidence {
    if request.resume_tokens.is_empty() {
        return Evidence::new(request.mixed_versions);
    }
    Evidence::resume(messages::read_resume_point(request), request.mixed_versions)
}

async fn queue_and_stream(
    host: &Host,
    request: &peer::GenerateRequest,
    ticket: Ticket,
    evidence: &mut Evidence,
    events: &EventSender,
) -> Result<String, GenerateError> {
    let mut preempted = wait_for_turn(host, request, ticket, events).await?;
    let engine = engine_address(host, &request.engine)?;
    let completion = completion_request(request, ticket);
    let mut stream = host.engines.complete(engine, &completion).await?;
    let mut reported_at = Instant::now();
    let mut finish_reason = None;
    loop {
        let chunk = tokio::select! {
            chunk = stream.next() => chunk?,
            () = events.closed() => return Err(GenerateError::Abandoned),
            Ok(()) = &mut preempted => return Err(GenerateError::Preempted),
        };
        let Some(chunk) = chunk else {
            return Err(EngineError::Truncated.into());
        };
        finish_reason = chunk.finish_reason.clone().or(finish_reason);
        evidence.push(&messages::read_chunk(chunk))?;
        // The last chunk may arrive before others, which are still needed to
        // complete the response.
        if evidence.is_ended()
            && let Some(reason) = finish_reason
        {
            return Ok(reason);
        }
        if reported_at.elapsed() >= PROGRESS_INTERVAL {
            reported_at = Instant::now();
            let tokens = generated_token_count(request, evidence);
            report_progress(host, ticket, tokens, evidence, events).await;
        }
    }
}

async fn wait_for_turn(
    host: &Host,
    request: &peer::GenerateRequest,
    ticket: Ticket,
    events: &EventSender,
) -> Result<oneshot::Receiver<()>, GenerateError> {
    let (start, started) = oneshot::channel();
    let (preempt, preempted) = oneshot::channel();
    let queued = Input::Enqueue {
        request: queue_entry(host, request, ticket),
        senders: TurnSenders {
            start: Some(start),
            preempt: Some(preempt),
        },
    };
    host.control
        .send(queued)
        .await
        .map_err(|_| GenerateError::Control)?;
    tokio::select! {
        result = started => match result {
            Ok(Ok(not_after)) if host.clock.now() <= not_after => Ok(preempted),
            Ok(Ok(_)) => Err(GenerateError::TurnExpired),
            Ok(Err((reason, retry_after))) => Err(GenerateError::Refused { reason, retry_after }),
            Err(_) => Err(GenerateError::Control),
        },
        () = events.closed() => {
            host.control
                .send_or_drop(Input::dispatch(dispatch::Event::Cancelled { ticket, tokens: 0 }))
                .await;
            Err(GenerateError::Abandoned)
        }
    }
}

fn queue_entry(host: &Host, request: &peer::GenerateRequest, ticket: Ticket) -> dispatch::Request {
    let resumed_tokens = messages::token_count(&request.resume_tokens);
    dispatch::Request {
        ticket,
        engine: request.engine.as_str().into(),
        row: request.row.as_str().into(),
        class: Class::Rollout,
        priority: request.priority,
        prompt_tokens: messages::token_count(&request.prompt_tokens) + resumed_tokens,
        predicted_tokens: request
            .predicted_tokens
            .saturating_sub(resumed_tokens)
            .max(1),
        deadline: host.clock.now() + Duration::from_millis(request.deadline_ms),
    }
}

fn engine_address(host: &Host, engine: &str) -> Result<SocketAddr, GenerateError> {
    let board = host.snapshot.load();
    board
        .upstreams
        .members
        .get(engine)
        .map(|upstream| upstream.address)
        .ok_or(GenerateError::UnknownEngine)
}

fn completion_request(request: &peer::GenerateRequest, ticket: Ticket) -> CompletionRequest {
    CompletionRequest {
        request_id: format!("{ticket:x}"),
        model: String::new(),
        prompt_token_ids: request.prompt_tokens.clone(),
        resume_token_ids: request.resume_tokens.clone(),
        max_tokens: request.max_tokens,
        seed: request.seed,
        priority: -i32::try_from(request.priority).unwrap_or(i32::MAX),
        stream: true,
    }
}

/// Returns the number of tokens generated by this attempt. Resumed tokens are
/// excluded, because they were charged to the row when they were generated.
fn generated_token_count(request: &peer::GenerateRequest, evidence: &Evidence) -> u32 {
    let resumed_tokens = messages::token_count(&request.resume_tokens);
    evidence.token_count().saturating_sub(resumed_tokens)
}

async fn report_progress(
    host: &Host,
    ticket: Ticket,
    tokens: u32,
    evidence: &Evidence,
    events: &EventSender,
) {
    host.control
        .send_or_drop(Input::dispatch(dispatch::Event::Progress {
            ticket,
            tokens,
        }))
        .await;
    let progress = messages::write_progress(evidence.proved());
    let _ = events.send(generate_event(Event::Progress(progress))).await;
}

fn build_sample(
    request: &peer::GenerateRequest,
    evidence: Evidence,
    finish_reason: String,
) -> Result<peer::Sample, GenerateError> {
    let boot = evidence.boot().unwrap_or_default();
    let proved = evidence.finish()?;
    Ok(peer::Sample {
        slot: request.slot.clone(),
        sample_id: String::new(),
        segments: proved
            .segments
            .iter()
            .map(messages::write_segment)
            .collect(),
        tokens: proved.tokens,
        engine: request.engine.clone(),
        boot,
        finish_reason,
    })
}
