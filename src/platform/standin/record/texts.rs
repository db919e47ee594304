//! Checks the texts and the scores of results.

use std::collections::BTreeSet;

use super::{super::reward_id, Record, SeenResult};

/// The number of errors of its reward call after which an item may fail.
const MAX_REWARD_ERROR_COUNT: u32 = 3;

impl Record {
    /// Returns what is wrong with the score of a result, if anything is.
    pub(super) fn find_score_error(&self, result: &SeenResult, is_scored: bool) -> Option<String> {
        if !is_scored {
            return result.score.as_ref().map(|score| format!("scored {score}"));
        }
        let seen = self
            .rewards
            .get(&reward_id(&result.item))
            .cloned()
            .unwrap_or_default();
        match &result.score {
            Some(score) if result.is_completed && seen.scores.contains(score) => None,
            None if !result.is_completed && seen.error_count >= MAX_REWARD_ERROR_COUNT => None,
            score => Some(format!(
                "score {score:?}, completed {}, seen {seen:?}",
                result.is_completed
            )),
        }
    }
}

/// Returns the first error in the text of a completed result, if there is one.
///
/// The text of event n of an item, generated with version v, is `ITEM:n:v`.
pub(super) fn find_text_error(
    result: &SeenResult,
    event_count: u64,
    min_version: u64,
) -> Option<String> {
    let mut versions = BTreeSet::new();
    let mut software_versions = BTreeSet::new();
    let lines: Vec<&str> = result.text.split('\n').collect();
    if lines.len() as u64 != event_count {
        return Some(format!("{} events instead of {event_count}", lines.len()));
    }
    for (index, line) in lines.iter().enumerate() {
        let start = format!("{}:{}:", result.item, index + 1);
        let made_by = line
            .strip_prefix(&start)
            .and_then(|made_by| made_by.split_once(':'))
            .and_then(|(version, software)| Some((version.parse().ok()?, software)));
        let Some((version, software_version)) = made_by else {
            return Some(format!("event {} reads {line:?}", index + 1));
        };
        versions.insert(version);
        software_versions.insert(software_version);
    }
    if software_versions.len() > 1 {
        return Some(format!("joined from {software_versions:?}"));
    }
    let named: BTreeSet<u64> = result.versions.iter().copied().collect();
    if named != versions {
        return Some(format!("made under {versions:?}, named {named:?}"));
    }
    let oldest = versions.first().copied().unwrap_or(0);
    (oldest < min_version).then(|| format!("made under {oldest}, allowed from {min_version}"))
}
