//! A claim store in memory whose answers can be lost.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
};

use mimosavane::{
    call::claim::{Claim, ClaimStore, Expected, Key, Record, StoreError, Written},
    ids::AttemptId,
};

/// What happens to one request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// It is lost before it takes effect, which looks the same.
    RequestLost,
    Down,
}

#[derive(Debug, Default)]
pub struct Table {
    pub claims: BTreeMap<Key, Claim>,
    pub writes: u32,
    faults: VecDeque<Fault>,
    is_down: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Claims {
    pub table: Arc<Mutex<Table>>,
}

impl Table {
    pub fn put(&mut self, claim: &Claim, expected: Expected) -> Written {
        match (self.claims.get(&claim.key), expected) {
            (Some(present), Expected::Absent) => return Written::Present(present.clone()),
            (Some(present), Expected::NotRun(attempt))
                if present.attempt != attempt || present.record != Record::NotRun =>
            {
                return Written::Present(present.clone());
            }
            _ => {}
        }
        self.claims.insert(claim.key.clone(), claim.clone());
        self.writes += 1;
        Written::Done
    }

    pub fn complete(&mut self, key: &Key, attempt: AttemptId, record: &Record) {
        let claim = self.claims.get_mut(key);
        if let Some(claim) = claim.filter(|claim| claim.attempt == attempt) {
            claim.record = record.clone();
            self.writes += 1;
        }
    }
}

impl Claims {
    pub fn fail_next(&self, faults: impl IntoIterator<Item = Fault>) {
        self.table.lock().unwrap().faults.extend(faults);
    }

    pub fn set_down(&self, is_down: bool) {
        self.table.lock().unwrap().is_down = is_down;
    }

    fn fault(&self) -> Fault {
        let mut table = self.table.lock().unwrap();
        if table.is_down {
            return Fault::Down;
        }
        table.faults.pop_front().unwrap_or(Fault::None)
    }

    fn request<T>(&self, work: impl FnOnce(&mut Table) -> T) -> Result<T, StoreError> {
        match self.fault() {
            Fault::Down => Err(StoreError::Unavailable),
            Fault::RequestLost => Err(StoreError::AnswerLost),
            Fault::AnswerLost => {
                work(&mut self.table.lock().unwrap());
                Err(StoreError::AnswerLost)
            }
            Fault::None => Ok(work(&mut self.table.lock().unwrap())),
        }
    }
}

impl ClaimStore for Claims {
    async fn put(&self, claim: &Claim, expected: Expected) -> Result<Written, StoreError> {
        self.request(|table| table.put(claim, expected))
    }

    async fn read(&self, key: &Key) -> Result<Option<Claim>, StoreError> {
        self.request(|table| table.claims.get(key).cloned())
    }

    async fn complete(
        &self,
        key: &Key,
        attempt: AttemptId,
        record: &Record,
    ) -> Result<(), StoreError> {
        self.request(|table| table.complete(key, attempt, record))
    }

    async fn remove_expired(
        &self,
        created_before_ms: u64,
        max_count: usize,
    ) -> Result<usize, StoreError> {
        self.request(|table| {
            let old: Vec<Key> = table
                .claims
                .values()
                .filter(|claim| claim.created_at_ms < created_before_ms)
                .map(|claim| claim.key.clone())
                .take(max_count)
                .collect();
            for key in &old {
                table.claims.remove(key);
            }
            old.len()
        })
    }
}
