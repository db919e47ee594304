//! Tests the report of the load tool.

use mimosavane::experiment::load::{Options, run};

#[tokio::test]
async fn both_lines() {
    let options = Options {
        call_count: 64,
        chunk_count: 64,
        core: None,
    };
    let text = run(&options).await.unwrap().text();
    let names = text.lines().map(|line| line.split(':').next().unwrap());
    assert_eq!(names.collect::<Vec<_>>(), ["host", "calls", "streams"]);
}
