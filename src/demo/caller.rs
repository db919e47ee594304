//! Callers of the plain services, which look up data and place orders.
//!
//! They repeat an order of unknown outcome only with its idempotency key.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use hyper::Method;
use rand::SeedableRng as _;
use serde::Serialize;

use super::{
    StopFlag,
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

/// The interval between the calls of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// The maximum number of requests for one order while its outcome is unknown.
const MAX_ORDER_REQUESTS: u32 = 3;

/// One call in this many is a lookup; the others are orders.
const LOOKUP_EVERY: u64 = 2;

/// The outcome of an order, as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The complete answer arrived.
    Answered,
    /// It was refused, and reported as not run.
    NotRun,
    /// The outcome is unknown, or no complete answer arrived.
    Unknown,
}

/// The reason that a caller received no answer.
#[derive(Debug, thiserror::Error)]
enum NoAnswer {
    /// The balancer had no ready host, so the request was not sent.
    #[error("no host is ready")]
    NoHost,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// The results of one or more callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// The number of answered lookups.
    pub lookups_answered: u64,
    /// The number of refused or failed lookups.
    pub lookups_refused: u64,
    /// The outcome of each order, by the order's name.
    pub orders: BTreeMap<String, OrderOutcome>,
    /// The number of refused calls, by the problem's name.
    pub refusals: BTreeMap<String, u64>,
    /// The number of answers that belong to another request.
    pub wrong_answers: u64,
}

/// A caller that alternates lookups and orders until it is stopped.
#[derive(Debug)]
pub struct Caller {
    balancer: Arc<Balancer>,
    client: Client,
    rng: Rng,
    number: u64,
    tally: Tally,
}

impl Caller {
    /// Creates the caller with `number`, which is part of its orders' names.
    pub fn new(balancer: Arc<Balancer>, number: u64, seed: u64) -> Self {
        Self {
            balancer,
            client: Client::new(CALL_TIMEOUT),
            rng: Rng::seed_from_u64(seed ^ number),
            number,
            tally: Tally::default(),
        }
    }

    /// Makes calls until `stop` is set, and returns the tally.
    pub async fn run(mut self, stop: StopFlag) -> Tally {
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

    /// Places an order, and repeats the request with the same idempotency key
    /// while the outcome is unknown.
    async fn order(&mut self, turn: u64) {
        let name = format!("order-{}-{turn}", self.number);
        let mut order_outcome = OrderOutcome::NotRun;
        for _ in 0..MAX_ORDER_REQUESTS {
            let headers = [("idempotency-key", name.as_str())];
            let answer = self.call(Method::POST, "/orders", &headers, &name).await;
            order_outcome = match self.classify_answer(&name, &answer) {
                OrderOutcome::Answered => OrderOutcome::Answered,
                // A refusal covers only its own request; an earlier one may have run.
                OrderOutcome::NotRun => order_outcome,
                OrderOutcome::Unknown => OrderOutcome::Unknown,
            };
            if order_outcome != OrderOutcome::Unknown {
                break;
            }
        }
        self.tally.orders.insert(name, order_outcome);
    }

    fn classify_answer(&mut self, name: &str, answer: &Result<Answer, NoAnswer>) -> OrderOutcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(error @ NoAnswer::NoHost) => {
                *self.tally.refusals.entry(error.to_string()).or_default() += 1;
                return OrderOutcome::NotRun;
            }
            Err(NoAnswer::Call(_)) => return OrderOutcome::Unknown,
        };
        let outcome = answer.headers.get(OUTCOME_HEADER);
        if outcome.is_some_and(|outcome| outcome == "not-run") {
            return OrderOutcome::NotRun;
        }
        if !answer.status.is_success() {
            return OrderOutcome::Unknown;
        }
        let body = serde_json::from_slice::<serde_json::Value>(&answer.body);
        if body.is_ok_and(|body| body["order"] == name) {
            return OrderOutcome::Answered;
        }
        self.tally.wrong_answers += 1;
        OrderOutcome::Unknown
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
        let mut all_headers = vec![("authorization", bearer.as_str())];
        all_headers.extend_from_slice(headers);
        let path = format!("/v1/pools/{SERVICE_POOL}{path}");
        let sent = self
            .client
            .send(method, entry, &path, &all_headers, body.to_owned());
        let answer = sent
            .await
            .inspect_err(|error| tracing::debug!(%error, "call failed without an answer"))?;
        if !answer.status.is_success() {
            *self
                .tally
                .refusals
                .entry(problem_name(&answer))
                .or_default() += 1;
        }
        Ok(answer)
    }
}

/// Returns the status and the problem type of a refusal.
fn problem_name(answer: &Answer) -> String {
    let details = serde_json::from_slice::<serde_json::Value>(&answer.body).unwrap_or_default();
    let kind = details["type"].as_str().unwrap_or("no problem details");
    format!("{} {kind}", answer.status.as_u16())
}
