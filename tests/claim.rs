//! Claims over several hosts under crashes, losses, delays and duplicates.

#![expect(clippy::unwrap_used, reason = "a step that fails fails the test")]

#[path = "doubles/claims.rs"]
mod claims;

use claims::{Claims, Fault, Table};
use mimosavane::{
    call::{
        attempt::Reason,
        claim::{
            Answer, Claim, ClaimStore, Event, Expected, Key, Machine, Record, Step, StoreError,
            acquire,
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
    Record::Answered(Answer {
        status: 200,
        content_type: String::new(),
        body_bytes: 2,
        body: Some(b"ok".to_vec()),
    })
}

/// A write that the network may still deliver, once or twice.
#[derive(Clone)]
enum Write {
    Put(Claim, Expected),
    Complete(AttemptId, Record),
}

/// One request with the key, on some host.
struct Attempt {
    claim: Claim,
    machine: Machine,
    is_over: bool,
    ran: bool,
    told_not_run: bool,
}

/// Many attempts with one key, a store and a network between them.
#[derive(Default)]
struct World {
    table: Table,
    late: Vec<Write>,
    attempts: Vec<Attempt>,
    run_count: u32,
}

impl World {
    fn start(&mut self) {
        let claim = claim(self.attempts.len() as AttemptId + 1);
        self.attempts.push(Attempt {
            machine: Machine::new(claim.attempt, "digest"),
            claim,
            is_over: false,
            ran: false,
            told_not_run: false,
        });
    }

    fn deliver(&mut self, write: &Write) -> Option<mimosavane::call::claim::Written> {
        match write {
            Write::Put(claim, expected) => Some(self.table.put(claim, *expected)),
            Write::Complete(attempt, record) => {
                self.table.complete(&claim(0).key, *attempt, record);
                None
            }
        }
    }

    /// Sends a write over the network, and returns whether its answer came back.
    fn write(
        &mut self,
        write: Write,
        chance: u8,
    ) -> Result<Option<mimosavane::call::claim::Written>, StoreError> {
        match chance % 6 {
            0 => Err(StoreError::Unavailable),
            1 => Err(StoreError::AnswerLost),
            2 => {
                self.late.push(write);
                Err(StoreError::AnswerLost)
            }
            3 => {
                self.deliver(&write);
                Err(StoreError::AnswerLost)
            }
            4 => {
                // The network keeps a copy.
                self.late.push(write.clone());
                Ok(self.deliver(&write))
            }
            _ => Ok(self.deliver(&write)),
        }
    }

    /// Takes the attempt one step on.
    fn advance(&mut self, index: usize, chance: u8) {
        let attempt = &self.attempts[index];
        if attempt.is_over {
            return;
        }
        let claim = attempt.claim.clone();
        match attempt.machine.step() {
            Step::Put(expected) => {
                let written = self.write(Write::Put(claim, expected), chance);
                let event = match written {
                    Ok(Some(written)) => Event::Put(Ok(written)),
                    Ok(None) => return,
                    Err(error) => Event::Put(Err(error)),
                };
                self.attempts[index].machine.apply(event);
            }
            Step::Read => {
                let read = match chance % 3 {
                    0 => Err(StoreError::AnswerLost),
                    _ => Ok(self.table.claims.get(&claim.key).cloned()),
                };
                self.attempts[index].machine.apply(Event::Read(read));
            }
            Step::Send => self.send(index, chance),
            Step::NotRun(_) => {
                self.attempts[index].told_not_run = true;
                self.attempts[index].is_over = true;
            }
            Step::Replay(_) | Step::Unknown(_) => self.attempts[index].is_over = true,
        }
    }

    /// Sends the call, which runs, fails to be sent, or runs and is lost.
    fn send(&mut self, index: usize, chance: u8) {
        let ran = !chance.is_multiple_of(4);
        let record = match chance % 4 {
            0 => Record::NotRun,
            1 => Record::Unknown,
            _ => answered(),
        };
        let attempt = &mut self.attempts[index];
        attempt.is_over = true;
        attempt.ran = ran;
        attempt.told_not_run = !ran;
        self.run_count += u32::from(ran);
        let id = attempt.claim.attempt;
        let _ = self.write(Write::Complete(id, record), chance / 4);
    }

    fn check(&self) {
        assert!(self.run_count <= 1, "the call ran twice");
        for attempt in &self.attempts {
            assert!(!(attempt.ran && attempt.told_not_run));
        }
        let claim = self.table.claims.values().next();
        match claim.map(|claim| &claim.record) {
            Some(Record::NotRun) => assert_eq!(self.run_count, 0),
            Some(Record::Answered(_)) => assert_eq!(self.run_count, 1),
            _ => {}
        }
    }
}

fn play(bytes: &[u8]) {
    let mut world = World::default();
    world.start();
    for pair in bytes.chunks_exact(2) {
        let (choice, chance) = (pair[0], pair[1]);
        match choice % 8 {
            0 if world.attempts.len() < 6 => world.start(),
            // A host dies, or pauses for the rest of the schedule.
            1 if chance < 32 => {
                let index = usize::from(chance) % world.attempts.len();
                world.attempts[index].is_over = true;
            }
            2 if !world.late.is_empty() => {
                let index = usize::from(chance) % world.late.len();
                let write = world.late.swap_remove(index);
                world.deliver(&write);
            }
            _ => {
                let index = usize::from(choice / 8) % world.attempts.len();
                world.advance(index, chance);
            }
        }
        world.check();
    }
}

#[test]
fn random_schedules() {
    bolero::check!()
        .with_iterations(5_000)
        .with_max_len(256)
        .with_type::<Vec<u8>>()
        .for_each(|bytes| play(bytes));
}

#[test]
fn seeded_schedules() {
    use rand::{RngCore, SeedableRng};

    for seed in 0..5_000 {
        let mut bytes = [0; 200];
        mimosavane::control::controller::Rng::seed_from_u64(seed).fill_bytes(&mut bytes);
        play(&bytes);
    }
}

#[tokio::test]
async fn dead_claimer() {
    let claims = Claims::default();
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
    // The first claimer says nothing more.
    let second = acquire(&claims, &claim(2)).await;
    assert_eq!(second, Step::Unknown(Reason::Claimed));
}

#[tokio::test]
async fn taken_over() {
    let claims = Claims::default();
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
    let claims = Claims::default();
    claims.fail_next([Fault::RequestLost; 8]);
    let step = acquire(&claims, &claim(1)).await;
    assert_eq!(step, Step::NotRun(Reason::ClaimStoreDown));
}

#[tokio::test]
async fn lost_answer() {
    let claims = Claims::default();
    claims.fail_next([Fault::AnswerLost, Fault::Down, Fault::None]);
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
}

#[tokio::test]
async fn store_down() {
    let claims = Claims::default();
    claims.set_down(true);
    let step = acquire(&claims, &claim(1)).await;
    assert_eq!(step, Step::NotRun(Reason::ClaimStoreDown));
    claims.set_down(false);
    assert_eq!(acquire(&claims, &claim(2)).await, Step::Send);
}

/// An order costs two writes, which is what docs/design/calls.md reckons with.
#[tokio::test]
async fn two_writes() {
    let claims = Claims::default();
    acquire(&claims, &claim(1)).await;
    let record = answered();
    claims.complete(&claim(1).key, 1, &record).await.unwrap();
    assert_eq!(claims.table.lock().unwrap().writes, 2);
}

#[tokio::test]
async fn expired_claims() {
    let claims = Claims::default();
    assert_eq!(acquire(&claims, &claim(1)).await, Step::Send);
    assert_eq!(remove_expired(&claims).await, Ok(1));
    assert_eq!(remove_expired(&claims).await, Ok(0));
}
