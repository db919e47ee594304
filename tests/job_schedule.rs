//! Random schedules of two coordinators that share a store: whichever writes
//! are lost, delayed or refused, each item is listed once, and the result at a
//! position never changes.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

mod rows_support;

use std::collections::BTreeSet;

use bolero::{TypeGenerator, check};
use mimosavane::{
    batch::{
        job::{ItemResult, JobId},
        layout,
    },
    ingress::stored,
    store::rows::RowStore as _,
};
use rows_support::{
    Fault, Rows,
    member::{Member, accept, listed},
};

const ITEM_COUNT: usize = 16;

/// A step of a schedule.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A coordinator finishes some items.
    Finish { first: bool, count: u8 },
    /// A coordinator lists the results of its finished items.
    List { first: bool },
    /// Both coordinators list at once.
    ListBoth,
    /// The answer to the next write is lost.
    LoseAnswer,
    /// The next write is applied after later ones.
    Delay { count: u8 },
    /// The next write is refused.
    Refuse,
    /// A coordinator restarts and opens the job again.
    Restart { first: bool },
    /// The trainer ends the job.
    End,
}

struct World {
    rows: Rows,
    id: JobId,
    members: [Member; 2],
    known: Vec<ItemResult>,
    is_ended: bool,
}

impl World {
    async fn new() -> Self {
        let rows = Rows::default();
        let id = accept(&rows, "job", ITEM_COUNT).await;
        let members = [Member::new(&rows), Member::new(&rows)];
        for member in &members {
            member.open_job(&rows, &id).await;
        }
        Self {
            rows,
            id,
            members,
            known: Vec::new(),
            is_ended: false,
        }
    }

    fn member(&self, first: bool) -> &Member {
        &self.members[usize::from(!first)]
    }

    async fn apply(&mut self, step: Step) {
        match step {
            Step::Finish { first, count } => {
                self.member(first).finish(usize::from(count % 8));
            }
            Step::List { first } => {
                self.member(first).lister.list(&self.id).await;
            }
            Step::ListBoth => {
                let [a, b] = &self.members;
                tokio::join!(a.lister.list(&self.id), b.lister.list(&self.id));
            }
            Step::LoseAnswer => self.rows.fail_next(Fault::AnswerLost),
            Step::Delay { count } => self.rows.fail_next(Fault::Late(usize::from(count % 6) + 1)),
            Step::Refuse => self.rows.fail_next(Fault::Refused),
            Step::Restart { first } => self.restart(first).await,
            Step::End => {
                // Repeats the write until it is known to be applied.
                while !self.is_ended {
                    let _ = self.rows.commit(&layout::ending(&self.id)).await;
                    let loaded = stored::load(&self.rows, &self.id).await.unwrap().unwrap();
                    self.is_ended = loaded.is_ended;
                }
            }
        }
        self.check().await;
    }

    async fn restart(&mut self, first: bool) {
        let member = Member::new(&self.rows);
        let loaded = stored::load(&self.rows, &self.id).await.unwrap().unwrap();
        if !loaded.is_ended {
            member.open_job(&self.rows, &self.id).await;
        }
        self.members[usize::from(!first)] = member;
    }

    /// Checks the listed results against those that were read before.
    async fn check(&mut self) {
        let results = listed(&self.rows, &self.id).await;
        let ids: BTreeSet<_> = results.iter().map(|result| &result.id).collect();
        assert_eq!(ids.len(), results.len(), "an item is listed twice");
        assert!(results.len() <= ITEM_COUNT);
        assert!(results.starts_with(&self.known), "a position changed");
        self.known = results;
    }
}

async fn play(steps: &[Step]) {
    let mut world = World::new().await;
    for step in steps {
        world.apply(*step).await;
    }
    if world.is_ended {
        return;
    }
    for _ in 0..4 {
        for first in [true, false] {
            world.member(first).finish(ITEM_COUNT);
            world.apply(Step::List { first }).await;
        }
    }
    assert_eq!(world.known.len(), ITEM_COUNT, "an item was never listed");
}

#[test]
fn random_schedules() {
    check!().with_type::<Vec<Step>>().for_each(|steps| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(play(&steps[..steps.len().min(40)]));
    });
}
