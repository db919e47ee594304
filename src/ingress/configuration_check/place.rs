//! The places of a configuration at which findings are reported.

use strum::EnumCount as _;

/// A place in a configuration. The indices count from 0, in the order of the document.
///
/// [`Spelling`] has the platform's names of the fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// A path that the decoder gave, in the platform's spelling.
    Decoded(String),
    /// The whole document.
    Document,
    /// The version number.
    Version,
    /// A limit on client requests.
    Limit(LimitField),
    /// A field of a route.
    Route(usize, RouteField),
    /// A field of a split of a route.
    Split(usize, usize, SplitField),
    /// A field of a service.
    Service(usize, ServiceField),
    /// The price of a service's upstreams in a failure domain.
    DomainPrice(usize, String),
    /// The list of accounts.
    Accounts,
    /// A field of an account.
    Account(usize, AccountField),
    /// A key of an account.
    Key(usize, usize),
}

/// A field of [`ClientLimits`](crate::ingress::routes::ClientLimits).
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub enum LimitField {
    /// The largest head of a request.
    HeaderBytes,
    /// The largest body of a request.
    BodyBytes,
    /// How long a head may take to arrive.
    HeaderTimeout,
    /// The idle timeout of a connection.
    IdleTimeout,
}

/// A field of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub enum RouteField {
    /// The name.
    Name,
    /// The value of the `Host` header.
    Authority,
    /// The prefix of the paths.
    PathPrefix,
    /// The kind of the requests.
    Kind,
    /// The timeout.
    Timeout,
    /// The latency objective.
    TargetLatency,
    /// The priority.
    Priority,
    /// The service, if the route is not split.
    Service,
    /// The services to which the route is split.
    Splits,
    /// The largest number of upstreams to which one request may be sent.
    MaxAttempts,
    /// The TTL of items.
    ItemTtl,
    /// The time after which results are due.
    ResultDue,
    /// Whether all events of an item have one weight version.
    SingleVersion,
    /// Whether a stream may be resumed.
    Resumable,
    /// Whether requests need no key.
    Public,
}

/// A field of a split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub enum SplitField {
    /// The service.
    Service,
    /// The weight.
    Weight,
}

/// A field of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub enum ServiceField {
    /// The name.
    Name,
    /// The requests that an engine runs concurrently.
    EngineSlots,
    /// The memory of an engine.
    EngineMemory,
    /// The tokens in an event.
    EventTokens,
    /// The fewest upstreams.
    MinCount,
    /// The most upstreams.
    MaxCount,
    /// How long after its order an upstream serves.
    BootTime,
    /// The relative price of upstreams that may be reclaimed.
    SpotPrice,
    /// The prices by failure domain.
    DomainPrices,
}

/// A field of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumCount)]
pub enum AccountField {
    /// The name.
    Name,
    /// The list of keys.
    Keys,
    /// The priority.
    Priority,
}

/// The platform's names of the fields of a configuration. The names of the fields of an entry
/// are in the order of its enum.
#[derive(Clone, Copy, Debug)]
pub struct Spelling {
    /// The version.
    pub version: &'static str,
    /// The limits on client requests.
    pub limits: &'static str,
    /// The fields of the limits.
    pub limit_fields: [&'static str; LimitField::COUNT],
    /// The routes.
    pub routes: &'static str,
    /// The fields of a route.
    pub route_fields: [&'static str; RouteField::COUNT],
    /// The fields of a split.
    pub split_fields: [&'static str; SplitField::COUNT],
    /// The services.
    pub services: &'static str,
    /// The fields of a service.
    pub service_fields: [&'static str; ServiceField::COUNT],
    /// The accounts.
    pub accounts: &'static str,
    /// The fields of an account.
    pub account_fields: [&'static str; AccountField::COUNT],
}

impl Spelling {
    /// Returns the path of a place.
    pub fn path(&self, place: &Place) -> String {
        let route = |index, field| {
            let field = self.route_fields[field as usize];
            format!("{}[{index}].{field}", self.routes)
        };
        let service = |index, field| {
            let field = self.service_fields[field as usize];
            format!("{}[{index}].{field}", self.services)
        };
        let account = |index, field| {
            let field = self.account_fields[field as usize];
            format!("{}[{index}].{field}", self.accounts)
        };
        match place {
            Place::Decoded(path) => path.clone(),
            Place::Document => ".".to_owned(),
            Place::Version => self.version.to_owned(),
            Place::Limit(field) => {
                format!("{}.{}", self.limits, self.limit_fields[*field as usize])
            }
            Place::Route(index, field) => route(*index, *field),
            Place::Split(index, split, field) => {
                let splits = route(*index, RouteField::Splits);
                format!("{splits}[{split}].{}", self.split_fields[*field as usize])
            }
            Place::Service(index, field) => service(*index, *field),
            Place::DomainPrice(index, domain) => {
                format!("{}.{domain}", service(*index, ServiceField::DomainPrices))
            }
            Place::Accounts => self.accounts.to_owned(),
            Place::Account(index, field) => account(*index, *field),
            Place::Key(index, key) => format!("{}[{key}]", account(*index, AccountField::Keys)),
        }
    }
}
