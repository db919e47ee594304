//! The listing part of a coordinator, over an in-memory store.

#![allow(clippy::unwrap_used, reason = "a failing step must fail the test")]

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use mimosavane::{
    batch::{
        job::{ItemResult, JobId},
        layout,
        scheduler::{Action, Rights, RunEnd, RunNumber, Scheduler},
    },
    ingress::{listing::Lister, stored},
    store::rows::RowStore,
};

use super::{Rows, engine, job};

/// How many items run at once.
pub const SLOT_COUNT: usize = 64;

const SECOND: Duration = Duration::from_secs(1);
const RIGHTS: Rights = Rights {
    may_start: true,
    may_order: false,
};

/// The listing part of a coordinator.
pub struct Member {
    pub scheduler: Rc<RefCell<Scheduler>>,
    pub lister: Lister<Rows>,
    pub started: RefCell<VecDeque<RunNumber>>,
}

impl Member {
    pub fn new(rows: &Rows) -> Self {
        let scheduler: Rc<RefCell<Scheduler>> = Rc::default();
        let member = Self {
            lister: Lister::new(rows.clone(), scheduler.clone()),
            scheduler,
            started: RefCell::default(),
        };
        member.set_engines();
        member
    }

    pub fn set_engines(&self) {
        self.scheduler
            .borrow_mut()
            .set_engines(vec![engine("engine-1", SLOT_COUNT)]);
    }

    pub async fn open_job(&self, rows: &Rows, id: &JobId) {
        let loaded = stored::load(rows, id).await.unwrap().unwrap();
        self.lister.record_tally(id, loaded.tally, loaded.stamp);
        self.scheduler
            .borrow_mut()
            .open(loaded.job, &loaded.listed, Duration::ZERO, SECOND);
    }

    /// Runs up to `count` items to completion.
    pub fn finish(&self, count: usize) {
        let mut scheduler = self.scheduler.borrow_mut();
        let mut started = self.started.borrow_mut();
        started.extend(scheduler.poll(SECOND, RIGHTS).into_iter().filter_map(
            |action| match action {
                Action::Start { run, .. } => Some(run),
                _ => None,
            },
        ));
        let mut left = count;
        while left > 0
            && let Some(run) = started.pop_front()
        {
            // The other coordinator may have listed the item.
            if !scheduler.record_answer(run, 1, SECOND) {
                continue;
            }
            left -= 1;
            assert!(scheduler.record_event(run, 1, "text", 1, SECOND));
            scheduler.record_run_end(run, RunEnd::Completed, SECOND);
        }
    }
}

pub async fn accept(rows: &Rows, id: &str, item_count: usize) -> JobId {
    for transaction in layout::acceptance(&job(id, item_count, 600)).unwrap() {
        rows.commit(&transaction).await.unwrap();
    }
    id.into()
}

pub async fn listed(rows: &Rows, id: &JobId) -> Vec<ItemResult> {
    let rows = stored::read_all(rows, layout::range(layout::RESULTS, id, ""))
        .await
        .unwrap();
    layout::decode_results(&rows, 0).unwrap()
}
