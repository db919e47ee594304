//! Removes versions and origins that are not needed any more.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use super::{ORIGIN_TTL, read_versions, rows};
use crate::{
    batch::layout,
    clock::Timestamp,
    ids::SoftwareVersion,
    ingress::{host::Host, routes::ServiceName, stored, wire::Wire},
    store::rows::{RowError, RowStore},
};

/// How long a service must have had no upstream of a version for it to be dropped: all
/// hosts must have learned that it left, and no stream that it began may be taken up.
const VERSION_TTL: Duration = Duration::from_secs(120);

/// When a coordinator first found that versions have no upstream.
pub type Absences = BTreeMap<(ServiceName, SoftwareVersion), Timestamp>;

/// Drops versions that left long ago, and origins that nobody removed because their host
/// ended, as the coordinator.
///
/// # Errors
///
/// Fails where the store gives no readable answer.
pub async fn sweep<S: RowStore, W: Wire>(
    host: &Rc<Host<S, W>>,
    absences: &mut Absences,
) -> Result<(), RowError> {
    let now = host.now();
    let saved = read_versions(host).await?;
    let present: BTreeSet<(ServiceName, SoftwareVersion)> = host
        .view
        .borrow()
        .directory
        .upstreams()
        .map(|upstream| (upstream.service.clone(), upstream.software_version.clone()))
        .collect();
    absences.retain(|version, _| !present.contains(version));
    for (service, known) in &saved {
        let is_kept = |version: &&SoftwareVersion| {
            let version = (service.clone(), (*version).clone());
            if present.contains(&version) {
                return true;
            }
            let absent_since = *absences.entry(version).or_insert(now);
            now.saturating_sub(absent_since) < VERSION_TTL
        };
        let kept: BTreeSet<SoftwareVersion> =
            known.versions.iter().filter(is_kept).cloned().collect();
        if kept == known.versions || kept.is_empty() {
            continue;
        }
        let transaction = rows::registration(service, known, &kept).map_err(stored::unreadable)?;
        host.store.commit(&transaction).await?;
        tracing::info!(event = "versions.dropped", service = &**service, versions = ?kept);
    }
    let Some(store_time) = host.store_time() else {
        return Ok(());
    };
    let all = stored::read_all(&host.store, rows::origins_range()).await?;
    // Hosts remove what they wrote somewhat later than it expires.
    let is_left = |saved_at: Duration| store_time.saturating_sub(saved_at) >= ORIGIN_TTL * 2;
    let left: Vec<String> = all
        .iter()
        .filter(|row| rows::decode_origin(row).is_ok_and(|saved| is_left(saved.saved_at)))
        .map(|row| row.key.clone())
        .collect();
    for keys in left.chunks(layout::MAX_ENTRY_COUNT) {
        let transaction = rows::saving(&[], keys, store_time).map_err(stored::unreadable)?;
        host.store.commit(&transaction).await?;
    }
    Ok(())
}
