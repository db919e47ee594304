//! Storage of keyed calls' claims in the table service.

use mimosavane::{
    call::{
        claim::{Claim, ClaimStore as _, Expected, Key, PutOutcome, Record, StoreError},
        claim_store::TableClaims,
    },
    standin::table_service::{LoseAnswers, MemoryTable},
};

fn claim(attempt: u128) -> Claim {
    Claim {
        key: Key {
            row: "coordinators".into(),
            pool: "orders".to_owned(),
            key: "order-7".to_owned(),
        },
        attempt,
        host: "entry-1".into(),
        request_digest: "d".to_owned(),
        created_at_ms: 5,
        record: Record::NotRun,
    }
}

#[tokio::test]
async fn large_attempt() {
    let claims = TableClaims::new(MemoryTable::default());
    let mine = claim(u128::MAX);
    assert_eq!(
        claims.put(&mine, Expected::Absent).await,
        Ok(PutOutcome::Stored)
    );
    assert_eq!(claims.read(&mine.key).await, Ok(Some(mine)));
}

#[tokio::test]
async fn second_claimer() {
    let claims = TableClaims::new(MemoryTable::default());
    let (first, second) = (claim(1), claim(2));
    claims.put(&first, Expected::Absent).await.unwrap();
    let refused = claims.put(&second, Expected::Absent).await;
    assert_eq!(refused, Ok(PutOutcome::Conflict(first)));
}

#[tokio::test]
async fn lost_answer() {
    let table = MemoryTable::default();
    let claims = TableClaims::new(table.clone());
    table.lose_answers(LoseAnswers::Next(1));
    let mine = claim(1);
    let lost = claims.put(&mine, Expected::Absent).await;
    assert_eq!(lost, Err(StoreError::AnswerLost));
    assert_eq!(claims.read(&mine.key).await, Ok(Some(mine)));
}

#[tokio::test]
async fn taken_over() {
    let claims = TableClaims::new(MemoryTable::default());
    let (first, second) = (claim(1), claim(2));
    claims.put(&first, Expected::Absent).await.unwrap();
    let taken = claims.put(&second, Expected::NotRun(1)).await;
    assert_eq!(taken, Ok(PutOutcome::Stored));
    claims
        .complete(&first.key, 1, &Record::Unknown)
        .await
        .unwrap();
    let kept = claims.read(&first.key).await.unwrap().unwrap();
    assert_eq!(kept.record, Record::NotRun);
}

#[tokio::test]
async fn expired_claims() {
    let claims = TableClaims::new(MemoryTable::default());
    claims.put(&claim(1), Expected::Absent).await.unwrap();
    assert_eq!(claims.remove_expired(5, 10).await, Ok(0));
    assert_eq!(claims.remove_expired(6, 10).await, Ok(1));
    assert_eq!(claims.read(&claim(1).key).await, Ok(None));
}
