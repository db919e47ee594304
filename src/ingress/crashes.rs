//! Keeps calls under which upstreams crash from crashing more of them.
//!
//! Repeats come at any host under other ids. Hosts therefore tell the coordinator of
//! each connection that was lost under a call, and it publishes the calls that are the
//! cause (see docs/design/crashing-requests.md).

pub mod ledger;

use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::{task::spawn_local, time::sleep};

use self::ledger::{CrashEvent, CrashLedger, Verdict};
use crate::{
    batch::layout,
    clock::{Timestamp, millis},
    ingress::{calls::Fingerprint, directory::Upstream, host::Host, peers, wire::Wire},
    observe::telemetry::CALLS_BLOCKED,
    store::rows::RowStore,
};

/// The path at which the coordinator answers other hosts.
pub const CRASH_PATH: &str = "/crashes";

/// How long a successful call speaks against its being the cause of a crash.
const SOUND_TTL: Duration = Duration::from_secs(20);

/// How many successful calls are remembered.
const MAX_SOUND_COUNT: usize = 4_096;

/// How long the published calls count after they were read last.
const PUBLISHED_TTL: Duration = Duration::from_secs(30);

/// How long a blocked call must wait if the coordinator does not answer.
const UNANSWERED_WAIT: Duration = Duration::from_secs(1);

/// How often, and after which pauses, a lost connection is reported again if the
/// coordinator does not answer.
const REPORT_COUNT: u32 = 6;
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// A message to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashMessage {
    fingerprint: Fingerprint,
    event: CrashEvent,
}

/// What this host knows of calls under which upstreams crash.
#[derive(Clone, Debug, Default)]
pub struct CrashBook {
    /// What hosts reported to this one as the coordinator, and what it saw itself.
    pub ledger: CrashLedger,
    /// The calls that the coordinator blocks, and when they were read.
    published: BTreeSet<Fingerprint>,
    published_at: Timestamp,
    /// When upstreams last answered calls.
    sound: HashMap<Fingerprint, Timestamp>,
    /// The order in which they were first answered.
    sound_order: VecDeque<Fingerprint>,
}

impl CrashBook {
    /// Records the calls that the coordinator blocks.
    pub fn record_published(&mut self, published: BTreeSet<Fingerprint>, now: Timestamp) {
        self.published = published;
        self.published_at = now;
    }

    /// Returns whether the coordinator blocks the call.
    fn is_published(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.published.contains(&fingerprint)
            && now.saturating_sub(self.published_at) < PUBLISHED_TTL
    }

    /// Returns whether an upstream answered the call lately at this host.
    fn is_sound(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.sound
            .get(&fingerprint)
            .is_some_and(|at| now.saturating_sub(*at) < SOUND_TTL)
    }

    fn remember_sound(&mut self, fingerprint: Fingerprint, now: Timestamp) {
        if self.sound.insert(fingerprint, now).is_some() {
            return;
        }
        self.sound_order.push_back(fingerprint);
        if self.sound_order.len() > MAX_SOUND_COUNT
            && let Some(oldest) = self.sound_order.pop_front()
        {
            self.sound.remove(&oldest);
        }
    }

    fn forget_sound(&mut self, fingerprint: Fingerprint) {
        if self.sound.remove(&fingerprint).is_some() {
            self.sound_order.retain(|other| *other != fingerprint);
        }
    }
}

/// Returns whether a call may be sent.
pub async fn check<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fingerprint: Fingerprint,
) -> Verdict {
    let now = host.now();
    let (is_published, is_blocked_here, is_sound) = {
        let book = host.crashes.borrow();
        (
            book.is_published(fingerprint, now),
            book.ledger.is_blocked(fingerprint, now),
            book.is_sound(fingerprint, now),
        )
    };
    if !is_published && !is_blocked_here {
        return Verdict::Free;
    }
    if is_sound {
        record_answer(host, fingerprint);
        return Verdict::Free;
    }
    let event = CrashEvent::Asked;
    if !host.is_issuing.get() {
        match tell_coordinator(host, fingerprint, &event).await {
            Some(Verdict::Free) => return record(host, fingerprint, &CrashEvent::Answered),
            Some(verdict) => return verdict,
            // Without the coordinator, each host would have trials of its own.
            None if is_published => return Verdict::Blocked(UNANSWERED_WAIT),
            None => {}
        }
    }
    record(host, fingerprint, &event)
}

/// Records an event in this host's own ledger, and logs what changes a belief.
fn record<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fingerprint: Fingerprint,
    event: &CrashEvent,
) -> Verdict {
    let ledger = &mut host.crashes.borrow_mut().ledger;
    let was_suspect = ledger.is_suspect(fingerprint);
    let verdict = ledger.record(fingerprint, event, host.now());
    let is_news = match event {
        CrashEvent::Lost { .. } => true,
        CrashEvent::Answered => was_suspect,
        // The host that asked logs that the call is blocked.
        CrashEvent::Asked => matches!(verdict, Verdict::Trial(_)),
    };
    if is_news {
        tracing::info!(
            event = "crash.recorded",
            fingerprint = format_args!("{fingerprint:016x}"),
            cause = ?event,
            is_coordinator = host.is_issuing.get(),
            verdict = ?verdict,
        );
    }
    verdict
}

/// Records that the connection was lost while `upstream` ran a call, and returns
/// whether the call may be sent again.
pub async fn record_loss<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fingerprint: Fingerprint,
    upstream: &Upstream,
) -> Verdict {
    let event = CrashEvent::Lost {
        upstream: upstream.id.clone(),
        started_at_ms: upstream.started_at_ms,
    };
    host.crashes.borrow_mut().forget_sound(fingerprint);
    let own = record(host, fingerprint, &event);
    let verdict = match host.is_issuing.get() {
        true => own,
        false => match tell_coordinator(host, fingerprint, &event).await {
            Some(verdict) => verdict,
            None => {
                spawn_local(report_later(host.clone(), fingerprint, event));
                own
            }
        },
    };
    tracing::info!(
        event = "call.lost",
        fingerprint = format_args!("{fingerprint:016x}"),
        upstream = &*upstream.id,
        started_at_ms = upstream.started_at_ms,
        verdict = ?verdict,
    );
    verdict
}

/// Records that an upstream answered a call.
pub fn record_answer<S: RowStore, W: Wire>(host: &Rc<Host<S, W>>, fingerprint: Fingerprint) {
    let now = host.now();
    let event = CrashEvent::Answered;
    let was_suspect = {
        let mut book = host.crashes.borrow_mut();
        book.remember_sound(fingerprint, now);
        book.published.remove(&fingerprint) || book.ledger.is_suspect(fingerprint)
    };
    record(host, fingerprint, &event);
    if was_suspect && !host.is_issuing.get() {
        let host = host.clone();
        spawn_local(async move { tell_coordinator(&host, fingerprint, &event).await });
    }
}

/// Logs that a call is refused, since upstreams crash under it.
pub fn log_blocked<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    id: Option<&str>,
    fingerprint: Fingerprint,
    wait: Duration,
) {
    host.metrics.count(CALLS_BLOCKED, 1);
    tracing::info!(
        event = "call.blocked",
        id,
        fingerprint = format_args!("{fingerprint:016x}"),
        wait_ms = millis(wait),
    );
}

/// Reports a lost connection again until the coordinator answers.
async fn report_later<S: RowStore, W: Wire>(
    host: Rc<Host<S, W>>,
    fingerprint: Fingerprint,
    event: CrashEvent,
) {
    for _ in 0..REPORT_COUNT {
        sleep(REPORT_INTERVAL).await;
        // As the coordinator, this host has counted it already.
        let is_counted = host.is_issuing.get();
        if is_counted || tell_coordinator(&host, fingerprint, &event).await.is_some() {
            return;
        }
    }
}

async fn tell_coordinator<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    fingerprint: Fingerprint,
    event: &CrashEvent,
) -> Option<Verdict> {
    let message = CrashMessage {
        fingerprint,
        event: event.clone(),
    };
    peers::tell_coordinator(host, CRASH_PATH, &message).await
}

/// Answers another host, as the coordinator.
///
/// # Errors
///
/// Fails where the message cannot be decoded.
pub fn answer_peer<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    body: &[u8],
) -> Result<Bytes, layout::LayoutError> {
    let message: CrashMessage = layout::decode(CRASH_PATH, body)?;
    layout::encode(&record(host, message.fingerprint, &message.event))
}
