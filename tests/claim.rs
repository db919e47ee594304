//! Claims across several hosts with crashes and with lost, delayed and duplicate
//! writes.

#![expect(clippy::unwrap_used, reason = "a failing step must fail the test")]

#[path = "doubles/claims.rs"]
mod claims;

use claims::{ClaimTable, FakeClaimStore, Fault};
use mimosavane::{
    call::{
        attempt::Reason,
        claim::{
            Acquisition, Claim, ClaimStore, Event, Expected, Key, Record, RecordedResponse, Step,
            StoreError, acquire,
        },
        remove_expired,
    },
    ids::AttemptId,
};

fn claim(attempt: AttemptId) -> Claim {
    Claim {
        key: Key {
            row: "circle-7".into(),
            pool: "roll".to_owned(),
            key: "k1".to_owned(),
        },
        attempt,
        host: "entry-1".into(),
        request_digest: "digest".to_owned(),
        created_at_ms: 1,
        record: Record::Open,
    }
}

fn answered() -> Record {
    Record::Answered(RecordedResponse {
        status: 200,
        content_type: String::new(),
        body_bytes: 2,
        body: Some(b"ok".to_vec()),
    })
}

/// A write that the network may deliver late or twice.
#[derive(Clone)]
enum Write {
    Put(Claim, Expected),
    Complete(AttemptId, Record),
}

/// One request with the key on one host.
struct Attempt {
    claim: Claim,
    acquisition: Acquisition,
    is_finished: bool,
    ran: bool,
    reported_not_run: bool,
}

/// Several attempts with one key, a store, and the network between them.
#[derive(Default)]
struct Simulation {
    table: ClaimTable,
    delayed_writes: Vec<Write>,
    attempts: Vec<Attempt>,
    run_count: u32,
}

impl Simulation {
    fn start(&mut self) {
        let claim = claim(self.attempts.len() as AttemptId + 1);
        self.attempts.push(Attempt {
            acquisition: Acquisition::new(claim.attempt, "digest"),
            claim,
            is_finished: false,
            ran: false,
            reported_not_run: false,
        });
    }

    fn deliver(&mut self, write: &Write) -> Option<mimosavane::call::claim::PutOutcome> {
        match write {
            Write::Put(claim, expected) => Some(self.table.put(claim, *expected)),
            Write::Complete(attempt, record) => {
                self.table.complete(&claim(0).key, *attempt, record);
                None
            }
        }
    }

    /// Sends a write over the network; fails if the request or response is lost.
    fn write(
        &mut self,
        write: Write,
        chance: u8,
    ) -> Result<Option<mimosavane::call::claim::PutOutcome>, StoreError> {
        match chance % 6 {
            0 => Err(StoreError::Unavailable),
            1 => Err(StoreError::AnswerLost),
            2 => {
                self.delayed_writes.push(write);
                Err(StoreError::AnswerLost)
            }
            3 => {
                self.deliver(&write);
                Err(StoreError::AnswerLost)
            }
            4 => {
                // The network duplicates the write and delivers the copy later.
                self.delayed_writes.push(write.clone());
                Ok(self.deliver(&write))
            }
            _ => Ok(self.deliver(&write)),
        }
    }

    /// Advances the attempt by one step.
    fn advance(&mut self, index: usize, chance: u8) {
        let attempt = &self.attempts[index];
        if attempt.is_finished {
            return;
        }
        let claim = attempt.claim.clone();
        match attempt.acquisition.step() {
            Step::Put(expected) => {
                let written = self.write(Write::Put(claim, expected), chance);
                let event = match written {
                    Ok(Some(written)) => Event::Put(Ok(written)),
                    Ok(None) => return,
                    Err(error) => Event::Put(Err(error)),
                };
                self.attempts[index].acquisition.apply(event);
            }
            Step::Read => {
                let read = match chance % 3 {
                    0 => Err(StoreError::AnswerLost),
                    _ => Ok(self.table.claims.get(&claim.key).cloned()),
                };
                self.attempts[index].acquisition.apply(Event::Read(read));
            }
            Step::Send => self.send(index, chance),
            Step::NotRun(_) => {
                self.attempts[index].reported_not_run = true;
                self.attempts[index].is_finished = true;
            }
            Step::Replay(_) | Step::Unknown(_) => self.attempts[index].is_finished = true,
        }
    }

    /// Sends the call, which runs, is not sent, or runs without a response.
    fn send(&mut self, index: usize, chance: u8) {
        let ran = !chance.is_multiple_of(4);
        let record = match chance % 4 {
            0 => Record::NotRun,
            1 => Record::Unknown,
            _ => answered(),
        };
        let attempt = &mut self.attempts[index];
        attempt.is_finished = true;
        attempt.ran = ran;
        attempt.reported_not_run = !ran;
        self.run_count += u32::from(ran);
        let id = attempt.claim.attempt;
        let _ = self.write(Write::Complete(id, record), chance / 4);
    }

    fn check(&self) {
        assert!(self.run_count <= 1, "the call ran twice");
        for attempt in &self.attempts {
            assert!(!(attempt.ran && attempt.reported_not_run));
        }
        let claim = self.table.claims.values().next();
        match claim.map(|claim| &claim.record) {
            Some(Record::NotRun) => assert_eq!(self.run_count, 0),
            Some(Record::Answered(_)) => assert_eq!(self.run_count, 1),
            _ => {}
        }
    }
}

fn run_schedule(bytes: &[u8]) {
    let mut simulation = Simulation::default();
    simulation.start();
    for pair in bytes.chunks_exact(2) {
        let (choice, chance) = (pair[0], pair[1]);
        match choice % 8 {
            0 if simulation.attempts.len() < 6 => simulation.start(),
            // A host dies or pauses for the rest of the schedule.
            1 if chance < 32 => {
                let index = usize::from(chance) % simulation.attempts.len();
                simulation.attempts[index].is_finished = true;
            }
            2 if !simulation.delayed_writes.is_empty() => {
                let index = usize::from(chance) % simulation.delayed_writes.len();
                let write = simulation.delayed_writes.swap_remove(index);
                simulation.deliver(&write);
            }
            _ => {
                let index = usize::from(choice / 8) % simulation.attempts.len();
                simulation.advance(index, chance);
            }
        }
        simulation.check();
    }
}

#[test]
fn random_schedules() {
    bolero::check!()
        .with_iterations(5_000)
        .with_max_len(256)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| run_schedule(bytes));
}

#[test]
fn seeded_schedules() {
    use rand::{RngCore, SeedableRng};

    for seed in 0..5_000 {
        let mut bytes = [0; 200];
        mimosavane::control::controller::Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        run_schedule(&bytes);
    }
}

#[tokio::test]
async fn dead_claimer() {
    let claims = FakeClaimStore::default();
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
    // The first claimer died without recording a result.
    let second = acquire(&claims, &claim(2)).await;
    assert_eq!(second, Step::Unknown(Reason::Claimed));
}

#[tokio::test]
async fn taken_over() {
    let claims = FakeClaimStore::default();
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
    let key = claim(1).key;
    claims.complete(&key, 1, &Record::NotRun).await.unwrap();
    assert_eq!(acquire(&claims, &claim(2)).await, Step::Send);
    assert_eq!(
        acquire(&claims, &claim(3)).await,
        Step::Unknown(Reason::Claimed)
    );
}

#[tokio::test]
async fn exhausted_store() {
    let claims = FakeClaimStore::default();
    claims.fail_next([Fault::RequestLost; 8]);
    let step = acquire(&claims, &claim(1)).await;
    assert_eq!(step, Step::NotRun(Reason::ClaimStoreDown));
}

#[tokio::test]
async fn lost_answer() {
    let claims = FakeClaimStore::default();
    claims.fail_next([Fault::AnswerLost, Fault::Down, Fault::None]);
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
}

#[tokio::test]
async fn store_down() {
    let claims = FakeClaimStore::default();
    claims.set_down(true);
    let step = acquire(&claims, &claim(1)).await;
    assert_eq!(step, Step::NotRun(Reason::ClaimStoreDown));
    claims.set_down(false);
    assert_eq!(acquire(&claims, &claim(2)).await, Step::Send);
}

/// A keyed call costs two writes, as docs/design/calls.md assumes.
#[tokio::test]
async fn two_writes() {
    let claims = FakeClaimStore::default();
    acquire(&claims, &claim(1)).await;
    let record = answered();
    claims.complete(&claim(1).key, 1, &record).await.unwrap();
    assert_eq!(claims.table.lock().unwrap().writes, 2);
}

#[tokio::test]
async fn expired_claims() {
    let claims = FakeClaimStore::default();
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
    assert_eq!(remove_expired(&claims).await, Ok(1));
    assert_eq!(remove_expired(&claims).await, Ok(0));
}
