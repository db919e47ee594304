//! Decodes which parts of an item's prompt are shared.

use crate::{
    batch::job::{Item, PromptPart},
    platform::names,
};

/// Returns the shared parts of the prompt of `item`, in their order, up to the first that
/// cannot be decoded: later parts are only held together with all earlier ones.
pub(super) fn decode_parts(item: &Item) -> Vec<PromptPart> {
    item.headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case(names::PROMPT_PREFIX))
        .flat_map(|(_, value)| value.split([',', ' ']))
        .filter(|part| !part.is_empty())
        .map_while(|part| {
            let (id, tokens) = part.rsplit_once(':')?;
            Some(PromptPart {
                id: id.to_owned(),
                tokens: tokens.parse().ok()?,
            })
        })
        .collect()
}
