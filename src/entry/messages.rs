//! Conversions between the messages of the wire and the types of decisions.

use std::{sync::Arc, time::Duration};

use crate::{
    clock::millis,
    control::Exchange,
    engine::{
        api::CompletionChunk,
        evidence::{Chunk, ProvedTokens, Segment},
    },
    ids::Slot,
    proto::peer,
    share::{allowance::LimitKind, ledger, quota},
    step::{
        Dispatch, Failure,
        attach::{HeldGroup, Pull, Reply},
        handover::{Handover, Partial},
        sample::{self, FinishReason, Sample},
        spec::{PromptGroup, StepSpec},
    },
};

/// How long an attempt may take in all; the owner gives up earlier where it
/// sees no progress.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(600);

/// Returns how many tokens there are.
pub fn count(tokens: &[u32]) -> u32 {
    u32::try_from(tokens.len()).unwrap_or(u32::MAX)
}

/// Reads a chunk of an engine's stream.
pub fn chunk(chunk: CompletionChunk) -> Chunk {
    Chunk {
        index: Some(chunk.index),
        is_last: chunk.finish_reason.is_some(),
        token_ids: chunk.token_ids,
        weight_version: chunk.weight_version,
        boot: (chunk.boot_id != 0).then_some(chunk.boot_id),
        adapter: chunk.adapter.into(),
        adapter_version: chunk.adapter_version,
    }
}

/// Writes a segment.
pub fn segment(segment: &Segment) -> peer::Segment {
    peer::Segment {
        weight_version: segment.weight_version,
        first_token: segment.first_token,
        token_count: segment.token_count,
        adapter: segment.adapter.to_string(),
        adapter_version: segment.adapter_version,
    }
}

fn read_segment(message: peer::Segment) -> Segment {
    Segment {
        weight_version: message.weight_version,
        first_token: message.first_token,
        token_count: message.token_count,
        adapter: message.adapter.into(),
        adapter_version: message.adapter_version,
    }
}

/// Reads what a request resumes from.
pub fn proved(request: &peer::GenerateRequest) -> ProvedTokens {
    ProvedTokens {
        tokens: request.resume_tokens.clone(),
        segments: request
            .resume_segments
            .iter()
            .cloned()
            .map(read_segment)
            .collect(),
    }
}

/// Writes what an attempt proved so far.
pub fn progress(proved: ProvedTokens) -> peer::Progress {
    peer::Progress {
        segments: proved.segments.iter().map(segment).collect(),
        tokens: proved.tokens,
    }
}

/// Reads what an attempt proved so far.
pub fn read_progress(message: peer::Progress) -> ProvedTokens {
    ProvedTokens {
        tokens: message.tokens,
        segments: message.segments.into_iter().map(read_segment).collect(),
    }
}

/// Reads why an attempt gave no sample.
pub fn read_failure(message: &peer::GenerateFailure) -> Failure {
    Failure {
        not_run: message.not_run,
        retry_after: Duration::from_millis(message.retry_after_ms),
        proved: None,
    }
}

/// Writes the request for an attempt on `engine`.
pub fn generate_request(dispatch: &Dispatch, engine: &str) -> peer::GenerateRequest {
    peer::GenerateRequest {
        slot: Some(slot(&dispatch.slot)),
        row: dispatch.slot.trainer.to_string(),
        engine: engine.to_owned(),
        prompt_tokens: dispatch.prompt_tokens.to_vec(),
        max_tokens: dispatch.max_tokens,
        priority: dispatch.priority,
        deadline_ms: millis(ATTEMPT_TIMEOUT),
        resume_tokens: dispatch.resume.tokens.clone(),
        resume_segments: dispatch.resume.segments.iter().map(segment).collect(),
        attempt: dispatch.attempt,
        seed: dispatch.seed,
        min_version: dispatch.min_version,
        mixed_versions: dispatch.mixed_versions,
        predicted_tokens: dispatch
            .expected_tokens
            .saturating_add(count(&dispatch.resume.tokens)),
    }
}

fn slot(slot: &Slot) -> peer::Slot {
    peer::Slot {
        trainer: slot.trainer.to_string(),
        step: slot.step,
        group: slot.group,
        index: slot.index,
    }
}

/// Writes a sample.
pub fn write_sample(sample: &Sample) -> peer::Sample {
    peer::Sample {
        slot: Some(slot(&sample.slot)),
        sample_id: sample.id.to_string(),
        tokens: sample.tokens.to_vec(),
        segments: sample.segments.iter().map(segment).collect(),
        engine: sample.engine.to_string(),
        boot: sample.boot,
        finish_reason: sample.finish_reason.to_string(),
    }
}

/// Reads a sample that `attempt` made.
pub fn read_sample(message: peer::Sample, attempt: u64) -> Sample {
    let slot = message.slot.unwrap_or_default();
    let slot = Slot {
        trainer: slot.trainer.into(),
        step: slot.step,
        group: slot.group,
        index: slot.index,
    };
    Sample {
        id: sample::id(&slot, attempt),
        slot,
        tokens: message.tokens.into(),
        segments: message.segments.into_iter().map(read_segment).collect(),
        engine: message.engine.into(),
        boot: message.boot,
        finish_reason: message.finish_reason.parse().unwrap_or(FinishReason::Stop),
    }
}

/// Writes a step that goes to another owner.
pub fn write_handover(handover: &Handover) -> peer::HandoverRequest {
    let partials = handover.partials.iter().map(|partial| peer::Partial {
        group: partial.group,
        index: partial.index,
        tokens: partial.proved.tokens.clone(),
        segments: partial.proved.segments.iter().map(segment).collect(),
    });
    peer::HandoverRequest {
        spec: Some(write_spec(&handover.spec)),
        attach: handover.attach,
        weight_version: handover.weight_version,
        samples: handover
            .samples
            .iter()
            .map(|sample| write_sample(sample))
            .collect(),
        partials: partials.collect(),
    }
}

/// Reads a step that comes from another owner.
pub fn read_handover(message: peer::HandoverRequest) -> Handover {
    let samples = message.samples.into_iter().map(|sample| {
        let id = sample.sample_id.as_str().into();
        Arc::new(Sample {
            id,
            ..read_sample(sample, 0)
        })
    });
    let partials = message.partials.into_iter().map(|partial| Partial {
        group: partial.group,
        index: partial.index,
        proved: ProvedTokens {
            tokens: partial.tokens,
            segments: partial.segments.into_iter().map(read_segment).collect(),
        },
    });
    Handover {
        spec: Arc::new(read_spec(message.spec.unwrap_or_default())),
        attach: message.attach,
        weight_version: message.weight_version,
        samples: samples.collect(),
        partials: partials.collect(),
    }
}

fn write_spec(spec: &StepSpec) -> peer::StepSpec {
    let groups = spec.groups.iter().map(|group| peer::PromptGroup {
        group: group.group,
        prompt_tokens: group.prompt_tokens.to_vec(),
        sample_count: group.sample_count,
        max_tokens: group.max_tokens,
    });
    peer::StepSpec {
        trainer: spec.trainer.to_string(),
        step: spec.step,
        weight_version: spec.weight_version,
        groups: groups.collect(),
        seed: spec.seed,
    }
}

/// Reads a submitted step.
pub fn read_spec(message: peer::StepSpec) -> StepSpec {
    let groups = message.groups.into_iter().map(|group| PromptGroup {
        group: group.group,
        prompt_tokens: group.prompt_tokens.into(),
        sample_count: group.sample_count,
        max_tokens: group.max_tokens,
    });
    StepSpec {
        trainer: message.trainer.into(),
        step: message.step,
        weight_version: message.weight_version,
        groups: groups.collect(),
        seed: message.seed,
    }
}

/// Reads a pull.
pub fn read_pull(message: peer::PullRequest) -> Pull {
    let held = message.held.into_iter().map(|held| HeldGroup {
        group: held.group,
        indexes: held.indexes,
    });
    Pull {
        trainer: message.trainer.into(),
        step: message.step,
        attach: message.attach,
        weight_version: message.weight_version,
        held: held.collect(),
        max_samples: message.max_samples,
        wait: Duration::from_millis(message.wait_ms),
    }
}

/// Writes the answer to a pull.
pub fn write_reply(reply: Reply, owner: &str) -> peer::PullReply {
    let (status, samples, open_slots) = match reply {
        Reply::Samples {
            samples,
            open_slots,
        } => (peer::PullStatus::Ok, samples, open_slots),
        Reply::StepUnknown => (peer::PullStatus::StepUnknown, Vec::new(), 0),
        Reply::Superseded { .. } => (peer::PullStatus::Superseded, Vec::new(), 0),
        Reply::Draining => (peer::PullStatus::Draining, Vec::new(), 0),
    };
    peer::PullReply {
        status: status.into(),
        samples: samples.iter().map(Arc::as_ref).map(write_sample).collect(),
        open_slots,
        owner: owner.to_owned(),
    }
}

/// Writes a message to a peer's controller.
pub fn write_exchange(from: &str, message: Exchange) -> peer::ExchangeRequest {
    use peer::exchange_request::Message;

    let message = match message {
        Exchange::Ledger(ledger::Message::Report {
            level,
            incarnation,
            sequence,
            counts,
        }) => Message::LedgerReport(peer::LedgerReport {
            level,
            incarnation,
            sequence,
            counts: write_counts(counts),
        }),
        Exchange::Ledger(ledger::Message::Totals {
            root,
            incarnation,
            sequence,
            counts,
        }) => Message::LedgerTotals(peer::LedgerTotals {
            root: root.to_string(),
            incarnation,
            sequence,
            counts: write_counts(counts),
        }),
        Exchange::Quota(quota::Message::Ask {
            nonce,
            row,
            kind,
            amount,
            renews,
        }) => Message::QuotaAsk(peer::QuotaAsk {
            nonce,
            row: row.to_string(),
            kind: write_kind(kind).into(),
            amount,
            renews,
        }),
        Exchange::Quota(quota::Message::Grant {
            nonce,
            loan,
            amount,
        }) => Message::QuotaGrant(peer::QuotaGrant {
            nonce,
            loan,
            amount,
        }),
        Exchange::Quota(quota::Message::Return { loan }) => {
            Message::QuotaReturn(peer::QuotaReturn { loan })
        }
    };
    peer::ExchangeRequest {
        from: from.to_owned(),
        message: Some(message),
    }
}

/// Reads a message from a peer's controller; one that says nothing is dropped.
pub fn read_exchange(message: peer::exchange_request::Message) -> Option<Exchange> {
    use peer::exchange_request::Message;

    Some(match message {
        Message::LedgerReport(report) => Exchange::Ledger(ledger::Message::Report {
            level: report.level,
            incarnation: report.incarnation,
            sequence: report.sequence,
            counts: read_counts(report.counts),
        }),
        Message::LedgerTotals(totals) => Exchange::Ledger(ledger::Message::Totals {
            root: totals.root.into(),
            incarnation: totals.incarnation,
            sequence: totals.sequence,
            counts: read_counts(totals.counts),
        }),
        Message::QuotaAsk(ask) => Exchange::Quota(quota::Message::Ask {
            nonce: ask.nonce,
            kind: read_kind(ask.kind())?,
            row: ask.row.into(),
            amount: ask.amount,
            renews: ask.renews,
        }),
        Message::QuotaGrant(grant) => Exchange::Quota(quota::Message::Grant {
            nonce: grant.nonce,
            loan: grant.loan,
            amount: grant.amount,
        }),
        Message::QuotaReturn(returned) => {
            let loan = returned.loan;
            Exchange::Quota(quota::Message::Return { loan })
        }
    })
}

fn write_counts(counts: ledger::Counts) -> Vec<peer::RowCount> {
    let counts = counts.into_iter().map(|(row, count)| peer::RowCount {
        row: row.to_string(),
        served_tokens: count.served_tokens,
        backlog_tokens: count.backlog_tokens,
    });
    counts.collect()
}

fn read_counts(counts: Vec<peer::RowCount>) -> ledger::Counts {
    let counts = counts.into_iter().map(|count| {
        let read = ledger::Count {
            served_tokens: count.served_tokens,
            backlog_tokens: count.backlog_tokens,
        };
        (count.row.into(), read)
    });
    counts.collect()
}

const fn write_kind(kind: LimitKind) -> peer::LimitKind {
    match kind {
        LimitKind::RunningSamples => peer::LimitKind::RunningSamples,
        LimitKind::TokenRate => peer::LimitKind::TokenRate,
        LimitKind::CallRate => peer::LimitKind::CallRate,
    }
}

const fn read_kind(kind: peer::LimitKind) -> Option<LimitKind> {
    match kind {
        peer::LimitKind::RunningSamples => Some(LimitKind::RunningSamples),
        peer::LimitKind::TokenRate => Some(LimitKind::TokenRate),
        peer::LimitKind::CallRate => Some(LimitKind::CallRate),
        peer::LimitKind::Unspecified => None,
    }
}
