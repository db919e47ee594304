//! A stand-in for the platform's address for calls that one host makes for all.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use serde_json::{Value, json};
use tokio::{net::TcpListener, time::sleep};

use super::{NoAnswer, Record, header_text, json_reply, record::ArrivedReport, serve};
use crate::{ingress::replies::Reply, platform::names};

/// The latency of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The latency of an answer while the address is slow, longer than hosts wait for it.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(450);

/// A fault of the address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum CloudFault {
    /// It works correctly.
    #[default]
    None,
    /// It closes all connections and sees no call.
    Down,
    /// It answers slowly.
    Slow,
    /// It takes calls, but closes the connection instead of answering.
    LosesAnswers,
    /// It answers all calls with 429.
    RateLimited,
}

/// The stand-in for the address.
#[derive(Debug)]
pub struct Cloud {
    fault: Cell<CloudFault>,
    record: Rc<RefCell<Record>>,
}

impl Cloud {
    /// Serves on `listener` and records what arrives.
    pub fn start(listener: TcpListener, record: Rc<RefCell<Record>>) -> Rc<Self> {
        let cloud = Rc::new(Self {
            fault: Cell::default(),
            record,
        });
        let served = cloud.clone();
        serve(listener, move |request| served.clone().answer(request));
        cloud
    }

    /// Sets or clears the fault of the address.
    pub fn set_fault(&self, fault: CloudFault) {
        self.fault.set(fault);
    }

    async fn answer(self: Rc<Self>, request: Request<Bytes>) -> Result<Reply, NoAnswer> {
        let fault = self.fault.get();
        if fault == CloudFault::Down {
            return Err(NoAnswer);
        }
        let status = match fault {
            CloudFault::RateLimited => 429,
            _ => 200,
        };
        let is_known = self.record_call(&request, status).is_some();
        match fault {
            CloudFault::Slow => sleep(SLOW_ANSWER_TIME).await,
            _ => sleep(ANSWER_TIME).await,
        }
        match (fault, is_known) {
            (CloudFault::LosesAnswers, _) => Err(NoAnswer),
            (_, true) => Ok(json_reply(status, &json!({}))),
            (_, false) => Ok(json_reply(400, &json!({}))),
        }
    }

    /// Records a call as it arrives, or returns `None` if it is malformed.
    fn record_call(&self, request: &Request<Bytes>, status: u16) -> Option<()> {
        let mut record = self.record.borrow_mut();
        let holder = header_text(request.headers(), names::DUTY_HOLDER)?;
        let fence = header_text(request.headers(), names::FENCE_TOKEN)?;
        let fence: u64 = fence.parse().ok()?;
        let body: Value = serde_json::from_slice(request.body()).ok()?;
        match request.uri().path() {
            names::USAGE_PATH => {
                record.add_duty_call("usage", holder, fence);
                let counts = body["counts"].as_object()?.iter();
                let counts = counts
                    .map(|(account, count)| Some((account.clone(), count.as_u64()?)))
                    .collect::<Option<BTreeMap<_, _>>>()?;
                record.add_usage_report(ArrivedReport::new(
                    body["window"].as_u64()?,
                    counts,
                    holder,
                    fence,
                    status,
                ));
            }
            names::SCALE_PATH => {
                let subject = format!("{} in {}", body["service"].as_str()?, body["zone"]);
                record.add_duty_call(&subject, holder, fence);
            }
            _ => return None,
        }
        Some(())
    }
}
