//! What a configuration changes in the one in force.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{Debug, Display},
    time::Duration,
};

use serde::Serialize;

use super::{
    draft::{Draft, Format, RouteDraft, ServiceDraft},
    place::{AccountField, LimitField, Place, RouteField, ServiceField},
};
use crate::ingress::accounts::Account;

/// All differences between two configurations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Differences {
    /// The routes.
    pub routes: NamedChanges,
    /// The services.
    pub services: NamedChanges,
    /// The accounts.
    pub accounts: NamedChanges,
    /// Whether requests carry keys, if this changes.
    pub accounts_required: Option<bool>,
    /// The limits on client requests.
    pub limits: Vec<FieldChange>,
}

/// The changes of entries that have names.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct NamedChanges {
    /// The names that only the new configuration has.
    pub added: Vec<String>,
    /// The names that only the configuration in force has.
    pub removed: Vec<String>,
    /// The entries that differ.
    pub changed: Vec<EntryChange>,
}

/// The change of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryChange {
    /// The name of the entry.
    pub name: String,
    /// The fields that differ.
    pub fields: Vec<FieldChange>,
    /// The number of keys that only the new configuration has.
    pub added_key_count: usize,
    /// The number of keys that only the configuration in force has.
    pub removed_key_count: usize,
}

/// The change of one field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FieldChange {
    /// The path of the field in the new configuration.
    pub path: String,
    /// The value in force.
    pub from: String,
    /// The new value.
    pub to: String,
}

/// The fields of an entry with their values as text, in a fixed order.
type Fields = Vec<(Place, String)>;

/// An entry as it is compared.
struct Entry<'a> {
    name: &'a str,
    fields: Fields,
    keys: BTreeSet<&'a str>,
}

impl Differences {
    /// Compares `new` with the configuration that is `in_force`.
    pub fn new<F: Format>(in_force: &Draft, new: &Draft) -> Self {
        let changes = named_changes::<F>;
        let lists_accounts = |draft: &Draft| draft.accounts.is_some();
        Self {
            routes: changes(routes(in_force), routes(new)),
            services: changes(services(in_force), services(new)),
            accounts: changes(accounts(in_force), accounts(new)),
            accounts_required: (lists_accounts(in_force) != lists_accounts(new))
                .then(|| lists_accounts(new)),
            limits: field_changes::<F>(limits(in_force), limits(new)),
        }
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Compares entries by name. Among entries with one name, those at the same position are
/// compared.
fn named_changes<F: Format>(in_force: Vec<Entry<'_>>, new: Vec<Entry<'_>>) -> NamedChanges {
    let mut former: BTreeMap<&str, Vec<Entry<'_>>> = BTreeMap::new();
    // Reversed, so that the first entry of a name is taken first.
    for entry in in_force.into_iter().rev() {
        former.entry(entry.name).or_default().push(entry);
    }
    let mut changes = NamedChanges::default();
    for entry in new {
        let Some(known) = former.get_mut(entry.name).and_then(Vec::pop) else {
            changes.added.push(entry.name.to_owned());
            continue;
        };
        let change = EntryChange {
            name: entry.name.to_owned(),
            added_key_count: entry.keys.difference(&known.keys).count(),
            removed_key_count: known.keys.difference(&entry.keys).count(),
            fields: field_changes::<F>(known.fields, entry.fields),
        };
        if !change.fields.is_empty() || change.added_key_count + change.removed_key_count > 0 {
            changes.changed.push(change);
        }
    }
    changes.removed = former
        .into_values()
        .flatten()
        .map(|entry| entry.name.to_owned())
        .collect();
    changes
}

fn field_changes<F: Format>(in_force: Fields, new: Fields) -> Vec<FieldChange> {
    in_force
        .into_iter()
        .zip(new)
        .filter(|((_, from), (_, to))| from != to)
        .map(|((_, from), (place, to))| FieldChange {
            path: F::SPELLING.path(&place),
            from,
            to,
        })
        .collect()
}

fn routes<'a>(draft: &'a Draft) -> Vec<Entry<'a>> {
    let entry = |(index, RouteDraft { route, .. }): (usize, &'a RouteDraft)| {
        let field = |field, value| (Place::Route(index, field), value);
        let splits = route.splits.iter();
        let splits: Vec<String> = splits
            .map(|(service, weight)| format!("{service:?}: {weight}"))
            .collect();
        let fields = vec![
            field(RouteField::Authority, quoted(&route.authority)),
            field(RouteField::PathPrefix, quoted(&route.path_prefix)),
            field(RouteField::Kind, plain(route.kind)),
            field(RouteField::Timeout, duration(route.timeout)),
            field(RouteField::TargetLatency, duration(route.target_latency)),
            field(RouteField::Priority, plain(route.priority)),
            field(RouteField::Splits, splits.join(", ")),
            field(RouteField::MaxAttempts, plain(route.max_attempts)),
            field(RouteField::ItemTtl, duration(route.item_ttl)),
            field(RouteField::ResultDue, duration(route.result_due)),
            field(RouteField::SingleVersion, plain(route.single_version)),
            field(RouteField::Resumable, plain(route.is_resumable)),
            field(RouteField::Public, plain(route.is_public)),
        ];
        Entry {
            name: &route.name,
            fields,
            keys: BTreeSet::new(),
        }
    };
    draft.routes.iter().enumerate().map(entry).collect()
}

fn services<'a>(draft: &'a Draft) -> Vec<Entry<'a>> {
    let entry = |(index, ServiceDraft { service, .. }): (usize, &'a ServiceDraft)| {
        let field = |field, value| (Place::Service(index, field), value);
        let scaling = service.scaling.as_ref();
        let prices = scaling.map(|scaling| {
            let prices = scaling.domain_prices.iter();
            let prices: Vec<String> = prices
                .map(|(domain, price)| format!("{domain:?}: {price}"))
                .collect();
            prices.join(", ")
        });
        let fields = vec![
            field(
                ServiceField::EngineSlots,
                optional(service.engine_slot_count),
            ),
            field(
                ServiceField::EngineMemory,
                plain(service.engine_memory_tokens),
            ),
            field(ServiceField::EventTokens, plain(service.tokens_per_event)),
            field(
                ServiceField::MinCount,
                optional(scaling.map(|scaling| scaling.min_count)),
            ),
            field(
                ServiceField::MaxCount,
                optional(scaling.map(|scaling| scaling.max_count)),
            ),
            field(
                ServiceField::BootTime,
                optional(scaling.map(|scaling| duration(scaling.boot_time))),
            ),
            field(
                ServiceField::SpotPrice,
                optional(scaling.map(|scaling| scaling.spot_price_ratio)),
            ),
            field(ServiceField::DomainPrices, optional(prices)),
        ];
        Entry {
            name: &service.name,
            fields,
            keys: BTreeSet::new(),
        }
    };
    draft.services.iter().enumerate().map(entry).collect()
}

fn accounts<'a>(draft: &'a Draft) -> Vec<Entry<'a>> {
    let entry = |(index, account): (usize, &'a Account)| {
        let place = Place::Account(index, AccountField::Priority);
        Entry {
            name: &account.id,
            fields: vec![(place, optional(account.priority))],
            keys: account.keys.iter().map(String::as_str).collect(),
        }
    };
    let accounts = draft.accounts.iter().flatten();
    accounts.enumerate().map(entry).collect()
}

fn limits(draft: &Draft) -> Fields {
    let limits = &draft.configuration.limits;
    let field = |field, value| (Place::Limit(field), value);
    vec![
        field(LimitField::HeaderBytes, plain(limits.max_header_bytes)),
        field(LimitField::BodyBytes, plain(limits.max_body_bytes)),
        field(LimitField::HeaderTimeout, duration(limits.header_timeout)),
        field(LimitField::IdleTimeout, duration(limits.idle_timeout)),
    ]
}

fn plain(value: impl Display) -> String {
    value.to_string()
}

fn quoted(value: impl Debug) -> String {
    format!("{value:?}")
}

fn optional(value: Option<impl Display>) -> String {
    value.map_or_else(|| "none".to_owned(), plain)
}

fn duration(value: Duration) -> String {
    format!("{value:?}")
}
