//! The calls that a stand-in of a service answers.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use rand::Rng as _;
use serde_json::json;
use tokio::{task::spawn_local, time::sleep};
use xxhash_rust::xxh3::xxh3_64;

use super::{Engine, EngineFault, GREY_FAILURE_RATIO, RunningGuard, SLOT_COUNT, SLOW_FACTOR};
use crate::{
    ingress::replies::Reply,
    platform::{
        names,
        standin::{CRASH_PATH, NoAnswer, SCORE_PATH, header_text, json_reply},
    },
};

/// The duration of a call.
const CALL_TIME: Duration = Duration::from_millis(10);

/// How long an upstream stays down after a request crashed it.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(400);

/// One reward call in this many fails at every upstream.
const FAILING_REWARD_PERIOD: u64 = 40;

impl Engine {
    /// Ends the upstream and starts it again under the same id.
    fn crash(self: &Rc<Self>, path: &str) {
        if self.is_down.replace(true) {
            return;
        }
        self.record.borrow_mut().add_end(path);
        let this = self.clone();
        let restart = spawn_local(async move {
            sleep(CRASH_DOWN_TIME).await;
            this.start_count.set(this.start_count.get() + 1);
            this.is_down.set(false);
            // What one start states says nothing of the next one.
            this.is_draining.set(false);
            this.is_listed_draining.set(false);
            let limit_per_s = this.limit_per_s.get();
            this.set_limit(None);
            this.set_limit(limit_per_s);
            this.register();
        });
        self.track_task(restart.abort_handle());
    }

    pub(super) async fn call(self: Rc<Self>, request: &Request<Bytes>) -> Result<Reply, NoAnswer> {
        let Some(attempt) = header_text(request.headers(), names::ATTEMPT_ID) else {
            return Ok(json_reply(400, &json!({})));
        };
        if self.running_count.get() >= SLOT_COUNT {
            return Ok(self.refuse());
        }
        let running = RunningGuard::new(&self);
        self.record.borrow_mut().add_call_run(attempt);
        let is_reward = request.uri().path().starts_with(SCORE_PATH);
        let account = self.record_account(attempt, request.headers());
        if let Some(account) = account.filter(|_| !is_reward) {
            self.record.borrow_mut().add_begun(&account);
        }
        let stamp = format!(
            "{}.{}.{}",
            self.id,
            self.start_count.get(),
            self.call_count.get()
        );
        self.call_count.set(self.call_count.get() + 1);
        let is_failing = xxh3_64(attempt.as_bytes()).is_multiple_of(FAILING_REWARD_PERIOD);
        if is_reward {
            let result = if is_failing {
                Err(())
            } else {
                Ok(stamp.as_str())
            };
            self.record.borrow_mut().add_reward_run(attempt, result);
        }
        let is_slow = self.fault.get() == EngineFault::Slow;
        let start_count = self.start_count.get();
        let is_crashing = request.uri().path().starts_with(CRASH_PATH);
        if is_crashing {
            self.record.borrow_mut().add_crash(request.uri().path());
        }
        sleep(CALL_TIME * if is_slow { SLOW_FACTOR } else { 1 }).await;
        drop(running);
        if is_crashing && self.start_count.get() == start_count {
            self.crash(request.uri().path());
        }
        if self.is_down.get() || self.start_count.get() != start_count {
            return Err(NoAnswer);
        }
        if self.fault.get() == EngineFault::Grey && rand::rng().random_bool(GREY_FAILURE_RATIO) {
            return Err(NoAnswer);
        }
        let status = if is_reward && is_failing { 500 } else { 200 };
        let own = (attempt.to_owned(), stamp);
        let earlier = self.last_call.replace(own.clone());
        let (attempt, stamp) = match self.fault.get() {
            EngineFault::Mismatched => earlier,
            _ => own,
        };
        let mut reply = json_reply(status, &json!({"attempt": attempt}));
        Self::sign(&mut reply, &attempt, &stamp);
        Ok(reply)
    }
}
