//! Callers of the plain services, who never repeat an order in doubt.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hyper::Method;
use rand::SeedableRng as _;
use serde::Serialize;

use super::{
    Stop,
    cluster::{CALLER_ROW, SERVICE_POOL, row_token},
};
use crate::{
    control::controller::Rng,
    entry::problem::OUTCOME_HEADER,
    standin::{
        balancer::Balancer,
        client::{Answer, CallError, Client},
    },
};

/// The time between two calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// How long one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Requests for one order while its outcome is in doubt.
const MAX_ORDER_REQUESTS: u32 = 3;

/// One call in this many is a lookup; the others are orders.
const LOOKUP_EVERY: u64 = 2;

/// What became of an order, as its caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// The whole answer came.
    Answered,
    /// It was refused as not run.
    NotRun,
    /// Nobody knows, or no whole answer came.
    Unknown,
}

/// Why a caller got no answer.
#[derive(Debug, thiserror::Error)]
enum NoAnswer {
    /// The balancer knows no ready host, so that nothing was sent.
    #[error("no host is ready")]
    NoHost,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// What a caller saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Lookups that were answered.
    pub lookups_answered: u64,
    /// Lookups that were not.
    pub lookups_refused: u64,
    /// What was told of each order.
    pub orders: BTreeMap<String, Told>,
    /// Why calls were refused, by the problem's name.
    pub refusals: BTreeMap<String, u64>,
    /// Answers that belong to another request.
    pub wrong_answers: u64,
}

/// A caller that looks up and orders until its stop time.
#[derive(Debug)]
pub struct Caller {
    balancer: Arc<Balancer>,
    client: Client,
    rng: Rng,
    number: u64,
    tally: Tally,
}

impl Caller {
    /// Makes the caller with `number`, which goes into its orders' names.
    pub fn new(balancer: Arc<Balancer>, number: u64, seed: u64) -> Self {
        Self {
            balancer,
            client: Client::new(CALL_TIMEOUT),
            rng: Rng::seed_from_u64(seed ^ number),
            number,
            tally: Tally::default(),
        }
    }

    /// Calls until `stop`, and returns what it saw.
    pub async fn run(mut self, stop: Stop) -> Tally {
        let mut turn = 0;
        while !stop.is_set() {
            turn += 1;
            if turn % LOOKUP_EVERY == 0 {
                self.look_up().await;
            } else {
                self.order(turn).await;
            }
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        self.tally
    }

    async fn look_up(&mut self) {
        let answer = self.call(Method::GET, "/members/7", &[], "").await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            self.tally.lookups_answered += 1;
        } else {
            self.tally.lookups_refused += 1;
        }
    }

    /// Places an order; asks again with its key while the answer is in doubt.
    async fn order(&mut self, turn: u64) {
        let name = format!("order-{}-{turn}", self.number);
        let mut told = Told::NotRun;
        for _ in 0..MAX_ORDER_REQUESTS {
            let headers = [("idempotency-key", name.as_str())];
            let answer = self.call(Method::POST, "/orders", &headers, &name).await;
            told = match self.judge(&name, &answer) {
                Told::Answered => Told::Answered,
                // A refusal speaks of its own request; an earlier one may have run.
                Told::NotRun => told,
                Told::Unknown => Told::Unknown,
            };
            if told != Told::Unknown {
                break;
            }
        }
        self.tally.orders.insert(name, told);
    }

    fn judge(&mut self, name: &str, answer: &Result<Answer, NoAnswer>) -> Told {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error @ NoAnswer::NoHost) => {
                *self.tally.refusals.entry(error.to_string()).or_default() += 1;
                return Told::NotRun;
            }
            Err(NoAnswer::Call(_)) => return Told::Unknown,
        };
        let outcome = answer.headers.get(OUTCOME_HEADER);
        if outcome.is_some_and(|outcome| outcome == "not-run") {
            return Told::NotRun;
        }
        if !answer.status.is_success() {
            return Told::Unknown;
        }
        let body = serde_json::from_slice::<serde_json::Value>(&answer.body);
        if body.is_ok_and(|body| body["order"] == name) {
            return Told::Answered;
        }
        self.tally.wrong_answers += 1;
        Told::Unknown
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer, NoAnswer> {
        let entry = self.balancer.pick(&mut self.rng).ok_or(NoAnswer::NoHost)?;
        let bearer = format!("Bearer {}", row_token(CALLER_ROW));
        let mut all = vec![("authorization", bearer.as_str())];
        all.extend_from_slice(headers);
        let path = format!("/v1/pools/{SERVICE_POOL}{path}");
        let sent = self
            .client
            .send(method, entry, &path, &all, body.to_owned());
        let answer = sent
            .await
            .inspect_err(|error| tracing::debug!(%error, "no answer"))?;
        if !answer.status.is_success() {
            *self.tally.refusals.entry(problem(&answer)).or_default() += 1;
        }
        Ok(answer)
    }
}

/// Names the problem of a refusal.
fn problem(answer: &Answer) -> String {
    let details = serde_json::from_slice::<serde_json::Value>(&answer.body).unwrap_or_default();
    let kind = details["type"].as_str().unwrap_or("no problem details");
    format!("{} {kind}", answer.status.as_u16())
}
