//! Clients of streams: each takes its stream up at another host when it breaks off.

use std::{rc::Rc, time::Duration};

use mimosavane::platform::standin::{Client, STREAM_PATH};
use tokio::time::sleep;

use crate::{accounts, scene::Harness};

/// The number of events of a whole stream.
const EVENT_COUNT: u64 = 100;

/// How often a client takes a stream up.
const RESUME_COUNT: usize = 4;

/// The pause before that.
const RESUME_DELAY: Duration = Duration::from_millis(80);

/// Opens streams, one after another, until the run ends.
pub async fn stream(harness: Rc<Harness>, number: usize) {
    for stream in 0.. {
        if harness.is_stopping.get() {
            return;
        }
        let begun = format!("stream-{number}-{stream}");
        let mut last_event = 0;
        for attempt in 0..=RESUME_COUNT {
            let id = format!("{begun}-{attempt}");
            let account = accounts::account(number);
            last_event = follow(&harness, account, &id, &format!("{begun}-0"), last_event).await;
            if last_event >= EVENT_COUNT || (attempt == 0 && last_event == 0) {
                break;
            }
            sleep(RESUME_DELAY).await;
        }
        harness.record.borrow_mut().count(match last_event {
            EVENT_COUNT.. => "streams whole",
            _ => "streams broken",
        });
        sleep(RESUME_DELAY).await;
    }
}

/// Opens the stream of `begun` at any host, or takes it up after `last_event`, and returns
/// the number of the last event that arrived.
async fn follow(harness: &Harness, account: &str, id: &str, begun: &str, last_event: u64) -> u64 {
    let address = harness.random_host().addresses.clients;
    let Ok(mut client) = Client::connect(address).await else {
        return last_event;
    };
    harness.identify(&mut client, account, [id.to_owned()]);
    let resumed = (last_event > 0).then_some((begun, last_event));
    let count = usize::try_from(EVENT_COUNT).unwrap_or(usize::MAX);
    match client.stream(STREAM_PATH, id, resumed, count).await {
        Ok(read) if read.last_event < last_event => {
            let seen = format!("{id}: {} after {last_event}", read.last_event);
            let mut record = harness.record.borrow_mut();
            record.add_violation("texts-in-order", seen);
            last_event
        }
        Ok(read) => read.last_event,
        Err(_) => last_event,
    }
}
