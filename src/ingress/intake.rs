//! Collects the bodies of requests and answers within the memory of the host
//! (see docs/design/client-memory.md).

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::{BodyExt as _, Either, Full};
use hyper::body::{Body as _, Incoming};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::ingress::{
    memory::{self, Activity, Charge, Denial, Holder, Memory, Side},
    replies::{Reply, refusal, reply},
};

/// The first size of a buffer for a body whose length is not announced.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// How long a request waits for what is given up for it to be freed. The tasks that hold it
/// are woken at once.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// How often what waits for room looks for it.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// What a frame of a stream needs beside its data.
const FRAME_BYTES: usize = 128;

/// The `Retry-After` of a request that found no room: the time after which a stalled body is
/// given up for one that wants as much.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Marks a reply whose request has an unread body, so that the connection is read on for a
/// while before it closes: closing at once would reset it, and the reply might be lost.
#[derive(Clone, Copy, Debug)]
pub struct BodyUnread;

/// Why a body was not collected.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the limit on one body.
    #[error("the body exceeds the limit")]
    TooLarge,
    /// The host has no memory for it.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// It did not arrive in time.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// It broke off.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

impl BodyError {
    /// Returns the reason, for the log.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::TooLarge => "body-too-large",
            Self::Denied(Denial::TooLarge) => "body-exceeds-memory",
            Self::Denied(Denial::Evicted) => "body-evicted",
            Self::Denied(_) => "no-memory",
            Self::TooSlow => "body-late",
            Self::Broken(_) => "body",
        }
    }

    /// Returns the reply to the request. Nothing of it was sent to an upstream.
    pub fn into_reply(self) -> Reply {
        let mut response = match self {
            Self::TooLarge | Self::Denied(Denial::TooLarge) => {
                reply(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new())
            }
            Self::Denied(_) => refusal(ROOM_RETRY_AFTER),
            Self::TooSlow => reply(StatusCode::REQUEST_TIMEOUT, Bytes::new()),
            Self::Broken(_) => return reply(StatusCode::BAD_REQUEST, Bytes::new()),
        };
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        response.extensions_mut().insert(BodyUnread);
        response
    }
}

/// What a body must keep to.
#[derive(Clone, Copy, Debug)]
pub struct BodyTerms {
    /// Its largest size.
    pub max_bytes: usize,
    /// How long it may go without a byte.
    pub idle_timeout: Duration,
    /// The time until its request's own deadline.
    pub time_left: Duration,
}

/// A body, and the charges for it and for what becomes of it.
#[derive(Debug)]
pub struct HeldBody {
    data: Vec<u8>,
    charge: Charge,
    extra: Charge,
}

impl HeldBody {
    /// Returns the bytes of the body, which are counted until their last clone is dropped.
    pub fn into_bytes(self) -> Bytes {
        self.charge.hold(self.data)
    }

    /// Returns the body, and the charges for it and for what becomes of it.
    pub fn into_parts(self) -> (Vec<u8>, [Charge; 2]) {
        (self.data, [self.charge, self.extra])
    }

    /// Returns the body.
    pub fn data(&self) -> &[u8] {
        &self.data
    }

    /// Counts `bytes` for what becomes of the body, instead of what was estimated from its size.
    ///
    /// # Errors
    ///
    /// Fails where there is no room.
    pub async fn charge_extra(&mut self, holder: &Holder, bytes: usize) -> Result<(), Denial> {
        if let Some(missing) = bytes.checked_sub(self.extra.bytes()) {
            self.extra.absorb(charge(holder, missing).await?);
        }
        Ok(())
    }
}

/// Counts `bytes` for `holder`, and waits for what is given up for them.
///
/// # Errors
///
/// Fails where there is no room.
async fn charge(holder: &Holder, bytes: usize) -> Result<Charge, Denial> {
    let result = match timeout(ROOM_TIMEOUT, holder.charge(bytes)).await {
        Ok(result) => result,
        Err(_) => Err(Denial::NoRoom),
    };
    if let Err(denial) = result {
        holder.memory().record_denial(denial);
    }
    result
}

/// Counts what one read from the store needs for a client, whose page has `row_count` rows at
/// most, and waits for other reads to end.
///
/// # Errors
///
/// Fails where there is no room for long.
pub async fn room_for_read(memory: &Memory, row_count: usize) -> Result<Charge, Denial> {
    room_apart(memory, Side::Client, memory::read_bytes(row_count)).await
}

/// Counts `bytes` for `side` apart from any connection, and waits a while for room.
///
/// # Errors
///
/// Fails where there is no room for long.
pub async fn room_apart(memory: &Memory, side: Side, bytes: usize) -> Result<Charge, Denial> {
    let until = Instant::now() + ROOM_TIMEOUT;
    loop {
        let charged = timeout(ROOM_TIMEOUT, memory.charge_apart(side, bytes)).await;
        let denial = match charged {
            Ok(Ok(charge)) => return Ok(charge),
            Ok(Err(denial)) => denial,
            Err(_) => Denial::NoRoom,
        };
        if denial == Denial::TooLarge || Instant::now() >= until {
            memory.record_denial(denial);
            return Err(denial);
        }
        sleep(ROOM_POLL_INTERVAL).await;
    }
}

/// A buffer whose capacity is counted.
struct Buffer<'a> {
    holder: &'a Holder,
    data: Vec<u8>,
    charge: Charge,
    max_bytes: usize,
}

impl<'a> Buffer<'a> {
    /// Returns a buffer for a body of the announced length, which is checked before any of it
    /// is read.
    async fn new(
        holder: &'a Holder,
        announced: Option<u64>,
        max_bytes: usize,
    ) -> Result<Self, BodyError> {
        let size_bytes = match announced {
            Some(bytes) => usize::try_from(bytes)
                .ok()
                .filter(|bytes| *bytes <= max_bytes)
                .ok_or(BodyError::TooLarge)?,
            None => FIRST_BUFFER_BYTES.min(max_bytes),
        };
        Ok(Self {
            holder,
            charge: charge(holder, size_bytes).await?,
            data: Vec::with_capacity(size_bytes),
            max_bytes,
        })
    }

    /// Copies `chunk`, which is a part of a larger buffer that is then free.
    async fn push(&mut self, chunk: &[u8]) -> Result<(), BodyError> {
        let size_bytes = self.data.len() + chunk.len();
        if size_bytes > self.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if size_bytes > self.charge.bytes() {
            let capacity = (self.charge.bytes() * 2)
                .max(size_bytes)
                .min(self.max_bytes);
            // Both buffers exist while one is copied to the other.
            let grown = charge(self.holder, capacity).await?;
            self.data.reserve_exact(capacity - self.data.len());
            self.charge = grown;
        }
        self.data.extend_from_slice(chunk);
        Ok(())
    }
}

/// Collects the body of a request for `holder`. `extra_bytes` returns what becomes of a body
/// of a size, which is counted as well.
///
/// # Errors
///
/// Fails where the body is not kept, of which nothing was sent to an upstream.
pub async fn collect_request(
    holder: &Holder,
    body: Incoming,
    terms: BodyTerms,
    extra_bytes: impl Fn(usize) -> usize,
) -> Result<HeldBody, BodyError> {
    holder.set_activity(Activity::Receiving);
    let result = receive(holder, body, terms, extra_bytes).await;
    holder.set_activity(Activity::Working);
    result
}

async fn receive(
    holder: &Holder,
    mut body: Incoming,
    terms: BodyTerms,
    extra_bytes: impl Fn(usize) -> usize,
) -> Result<HeldBody, BodyError> {
    let announced = body.size_hint().exact();
    let mut buffer = Buffer::new(holder, announced, terms.max_bytes).await?;
    let mut extra = match announced {
        Some(_) => charge(holder, extra_bytes(buffer.charge.bytes())).await?,
        None => charge(holder, 0).await?,
    };
    let deadline = Instant::now() + terms.time_left;
    let mut byte_at = Instant::now();
    let timer = sleep_until(deadline.min(byte_at + terms.idle_timeout));
    tokio::pin!(timer);
    loop {
        let frame = tokio::select! {
            biased;
            () = holder.evicted() => return Err(Denial::Evicted.into()),
            frame = body.frame() => frame,
            () = &mut timer => {
                let due = deadline.min(byte_at + terms.idle_timeout);
                if Instant::now() >= due {
                    return Err(BodyError::TooSlow);
                }
                timer.as_mut().reset(due);
                continue;
            }
        };
        match frame {
            None => break,
            Some(frame) => {
                if let Ok(data) = frame?.into_data() {
                    buffer.push(&data).await?;
                    byte_at = Instant::now();
                }
            }
        }
    }
    let missing = extra_bytes(buffer.data.len()).saturating_sub(extra.bytes());
    if missing > 0 {
        extra.absorb(charge(holder, missing).await?);
    }
    Ok(HeldBody {
        data: buffer.data,
        charge: buffer.charge,
        extra,
    })
}

/// Collects the body of an answer for `holder`, if it is counted.
///
/// # Errors
///
/// Fails where the body breaks off, exceeds `max_bytes`, or the host has no memory for it.
pub async fn collect_answer(
    holder: Option<Holder>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let Some(holder) = holder else {
        let limited = http_body_util::Limited::new(body, max_bytes);
        let collected = limited.collect().await.map_err(|_| BodyError::TooLarge)?;
        return Ok(collected.to_bytes());
    };
    let mut buffer = Buffer::new(&holder, body.size_hint().exact(), max_bytes).await?;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            buffer.push(&data).await?;
        }
    }
    Ok(buffer.charge.hold(buffer.data))
}

/// Returns `data` as bytes that are counted for `holder` until they are written, once there is
/// room for them; or `None` if the holder was given up. Meanwhile the upstream waits.
///
/// They are copied, since a short frame may be a part of a large buffer.
pub async fn hold_frame(holder: Option<&Holder>, data: Bytes) -> Option<Bytes> {
    let Some(holder) = holder else {
        return Some(data);
    };
    loop {
        match timeout(ROOM_TIMEOUT, holder.charge(data.len() + FRAME_BYTES)).await {
            Ok(Ok(charge)) => return Some(charge.hold(data.to_vec())),
            Ok(Err(Denial::Evicted)) => return None,
            _ => sleep(ROOM_POLL_INTERVAL).await,
        }
    }
}

/// Returns `response` with its body counted for `holder` until it is written, or a refusal
/// where there is no room for it. Only for answers to requests that may be repeated.
pub async fn hold_reply(holder: &Holder, response: Reply) -> Reply {
    let (parts, body) = response.into_parts();
    let Either::Left(full) = body else {
        return Reply::from_parts(parts, body);
    };
    // A complete body has one frame, which is not copied.
    let data = match full.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(never) => match never {},
    };
    // An empty answer may be that of a change, which must not be called refused.
    if data.is_empty() {
        return Reply::from_parts(parts, Either::Left(Full::new(data)));
    }
    match charge(holder, data.len()).await {
        Ok(charge) => Reply::from_parts(parts, Either::Left(Full::new(charge.hold(data)))),
        Err(denial) => BodyError::from(denial).into_reply(),
    }
}
