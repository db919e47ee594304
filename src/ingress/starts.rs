//! Checks before a stream or text goes on at an upstream that the listed start of it still
//! runs there.
//!
//! An upstream may start again under its id with another software version, and hosts list
//! the new start some tenths of a second later. What went on there would hold events of two
//! versions (see docs/design/software-versions.md).

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;

use crate::{
    ingress::{directory::Upstream, feeds, host::Host, wire::Wire},
    store::rows::{RowRange, RowStore},
};

/// The reason where a request was not sent, because another start of the upstream than the
/// listed one is registered.
pub const OTHER_START: &str = "other-start";

/// The timeout of reading the entry. The slow store in the deployment specification answers
/// in 240 ms.
pub const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Checks that no other start than `upstream` is registered under its id. A connection that
/// was opened before leads to a start that registered before it took connections, or has
/// ended.
///
/// A store that gives no entry says nothing of another start, so that the listed one counts.
///
/// # Errors
///
/// Fails with [`OTHER_START`], and excludes the upstream until its new start is listed.
pub async fn check<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    upstream: &Upstream,
) -> Result<(), &'static str> {
    let range = RowRange {
        table: W::UPSTREAM_TABLE,
        partition: String::new(),
        from: upstream.id.to_string(),
        to: String::new(),
        limit_count: 1,
    };
    let unread = |reason: &str| {
        tracing::info!(
            event = "upstream.start_unread",
            upstream = &*upstream.id,
            started_at_ms = upstream.started_at_ms,
            reason,
        );
        Ok(())
    };
    let page = match timeout(READ_TIMEOUT, host.store.read(&range)).await {
        Ok(Ok(page)) => page,
        Ok(Err(error)) => return unread(&error.to_string()),
        Err(_) => return unread("timed out"),
    };
    let Some(row) = page.rows.first().filter(|row| row.key == *upstream.id) else {
        return unread("no entry");
    };
    let registered = match feeds::read_upstream::<W>(row) {
        Ok(registered) => registered,
        Err(error) => return unread(&error.to_string()),
    };
    if registered.started_at_ms == upstream.started_at_ms
        && registered.software_version == upstream.software_version
    {
        return Ok(());
    }
    let now = host.now();
    let directory = &mut host.view.borrow_mut().directory;
    if directory.record_misdirected(upstream, now) {
        tracing::info!(
            event = "upstream.other_start",
            upstream = &*upstream.id,
            service = &*upstream.service,
            started_at_ms = upstream.started_at_ms,
            registered_at_ms = registered.started_at_ms,
            software_version = &*upstream.software_version,
            registered_version = &*registered.software_version,
            stamp = row.stamp,
        );
    }
    Err(OTHER_START)
}
