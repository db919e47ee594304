//! A view of the store that counts the rows that are read for one job
//! (see docs/design/client-memory.md, "Jobs at the coordinator").

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    ingress::{
        intake,
        memory::{self, Charge, Memory, Side},
    },
    store::rows::{
        Applied, NotAppliedReason, RowError, RowPage, RowRange, RowStamp, RowStore, RowTransaction,
    },
};

/// The error of a read for which the host has no memory.
pub const NO_ROOM: RowError = RowError::NotApplied {
    reason: NotAppliedReason::Full,
};

/// How many times a row exists while a job is read: as it was read, and decoded.
const COPY_COUNT: usize = 2;

/// A store whose rows are counted until the charges are taken. Clones share the charges.
#[derive(Clone, Debug)]
pub struct MeteredStore<S> {
    store: S,
    memory: Memory,
    side: Side,
    charges: Rc<RefCell<Vec<Charge>>>,
}

impl<S: RowStore> MeteredStore<S> {
    /// Returns a view of `store` whose rows are counted in `memory` for `side`.
    pub fn new(store: S, memory: Memory, side: Side) -> Self {
        Self {
            store,
            memory,
            side,
            charges: Rc::default(),
        }
    }

    /// Returns the bytes that are counted so far.
    pub fn held_bytes(&self) -> usize {
        self.charges.borrow().iter().map(Charge::bytes).sum()
    }

    /// Returns the charges for what is decoded, which alone is left after a read.
    pub fn into_charges(self) -> Vec<Charge> {
        let mut charges = std::mem::take(&mut *self.charges.borrow_mut());
        for charge in &mut charges {
            charge.shrink_to(charge.bytes() / COPY_COUNT);
        }
        charges
    }

    async fn room(&self, bytes: usize) -> Result<Charge, RowError> {
        let room = intake::room_apart(&self.memory, self.side, bytes).await;
        room.map_err(|_| NO_ROOM)
    }
}

impl<S: RowStore> RowStore for MeteredStore<S> {
    async fn commit(&self, transaction: &RowTransaction) -> Result<Applied, RowError> {
        self.store.commit(transaction).await
    }

    async fn read(&self, range: &RowRange) -> Result<RowPage, RowError> {
        let _room = self.room(memory::read_bytes(range.limit_count)).await?;
        let page = self.store.read(range).await?;
        let row_bytes: usize = page.rows.iter().map(|row| row.value.len()).sum();
        let charge = self.room(row_bytes * COPY_COUNT).await?;
        self.charges.borrow_mut().push(charge);
        Ok(page)
    }

    async fn partitions(&self, table: &str, after: &str) -> Result<Vec<String>, RowError> {
        self.store.partitions(table, after).await
    }

    async fn changes(
        &self,
        table: &str,
        after: RowStamp,
        wait: Duration,
    ) -> Result<RowPage, RowError> {
        self.store.changes(table, after, wait).await
    }
}
