//! What the check of a configuration finds.

use serde::Serialize;

use super::place::Place;

/// How severe a finding is.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// Hosts ignore the document, requests fail, or an entry has no valid meaning.
    Error,
    /// Hosts serve, but an entry has no effect or contradicts another one.
    Warning,
    /// The entry is valid and may still not be meant.
    Note,
}

/// The kind of a finding.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    strum::Display,
    strum::EnumString,
    strum::VariantArray,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// Hosts cannot decode the document.
    Undecodable,
    /// The document does not fit into a row of the store.
    TooLarge,
    /// Hosts ignore the version.
    OldVersion,
    /// Two routes have one name.
    DuplicateRoute,
    /// Two routes match the same requests.
    DuplicateMatch,
    /// A path prefix does not begin and end with a slash.
    BadPrefix,
    /// A route leads to a service that does not exist.
    UnknownService,
    /// A weight is negative or not finite.
    BadWeight,
    /// The weights of a route add up to nothing, or to no finite number.
    NoWeight,
    /// Two services have one name.
    DuplicateService,
    /// Two accounts have one name.
    DuplicateAccount,
    /// The name of an account is empty or does not fit into a header.
    BadAccountName,
    /// Two accounts hold one key.
    SharedKey,
    /// A key is empty.
    EmptyKey,
    /// A key does not fit into a header.
    UnsendableKey,
    /// There are accounts, and no route needs a key.
    UnneededAccounts,
    /// Routes need a key, and no account has one.
    NoKeys,
    /// Hosts use the default in the place of a time.
    ReplacedTime,
    /// A limit of 0 lets no request through.
    ZeroLimit,
    /// A legal body does not fit into the memory of a host.
    BodyAboveMemory,
    /// The bounds of a scaled service contradict each other.
    ScalingRange,
    /// A price is not a positive number.
    BadPrice,
    /// Engines have no slots.
    NoSlots,
    /// A route allows no attempt.
    NoAttempts,
    /// No request reaches a route.
    HiddenRoute,
    /// Hosts answer the requests of a route themselves.
    ReservedPrefix,
    /// No route leads to a service.
    UnusedService,
    /// A route names a service, so that its splits have no effect.
    UnusedSplits,
    /// An account has no keys.
    NoAccountKeys,
    /// An account holds a key twice.
    RepeatedKey,
    /// A priority is out of the usual range.
    PriorityRange,
    /// A latency objective is above the timeout.
    TargetAboveTimeout,
    /// Items may be failed before the results are due.
    TtlBelowDue,
    /// The timeout of heads is above the idle timeout.
    HeadAboveIdle,
    /// A scaled service has no price in any failure domain.
    NoPrices,
    /// A split gets no requests.
    ZeroWeight,
    /// A public route, where no route needs a key.
    UnneededPublic,
    /// There is no configuration in force.
    NothingInForce,
}

impl Kind {
    /// Returns the severity of all findings of this kind.
    pub const fn severity(self) -> Severity {
        match self {
            Self::ZeroWeight | Self::UnneededPublic | Self::NothingInForce => Severity::Note,
            Self::HiddenRoute
            | Self::ReservedPrefix
            | Self::UnusedService
            | Self::UnusedSplits
            | Self::NoAccountKeys
            | Self::RepeatedKey
            | Self::PriorityRange
            | Self::TargetAboveTimeout
            | Self::TtlBelowDue
            | Self::HeadAboveIdle
            | Self::NoPrices => Severity::Warning,
            _ => Severity::Error,
        }
    }

    /// Returns what to do about findings of this kind.
    pub const fn remedy(self) -> &'static str {
        match self {
            Self::Undecodable => "correct the value at this place",
            Self::TooLarge => "remove entries that are not needed",
            Self::OldVersion => "raise the version above the one in force",
            Self::DuplicateRoute | Self::DuplicateService | Self::DuplicateAccount => {
                "rename or remove one of the two"
            }
            Self::DuplicateMatch | Self::HiddenRoute => {
                "remove one of the routes, or change its host or prefix"
            }
            Self::BadPrefix => "begin and end the prefix with a slash",
            Self::UnknownService => "correct the name, or add the service",
            Self::BadWeight => "set a finite weight of at least 0",
            Self::NoWeight => "name a service with a weight above 0",
            Self::BadAccountName => {
                "use a name of printable ASCII characters without spaces at the ends"
            }
            Self::SharedKey => "give each account a key of its own",
            Self::EmptyKey => "remove the key",
            Self::UnsendableKey => {
                "use printable ASCII characters without spaces at the ends, below the limit of heads"
            }
            Self::UnneededAccounts => "remove the accounts, or make a route not public",
            Self::NoKeys => "add a key to an account, or remove the list of accounts",
            Self::ReplacedTime => "set a time of at least 0 that is not beyond all clocks",
            Self::ZeroLimit => "set a limit above 0",
            Self::BodyAboveMemory => "lower the limit of bodies, or give hosts more memory",
            Self::ScalingRange => "set the minimum to at most the maximum",
            Self::BadPrice => "set a finite price above 0",
            Self::NoSlots => "set the slots of an engine to at least 1",
            Self::NoAttempts => "set the attempts to at least 1",
            Self::ReservedPrefix => "choose another prefix",
            Self::UnusedService => "remove the service, or add a route to it",
            Self::UnusedSplits => "remove the service of the route, or its splits",
            Self::NoAccountKeys => "add a key, or remove the account",
            Self::RepeatedKey => "remove one of the two",
            Self::PriorityRange => "use 0 for the most urgent requests, and small numbers",
            Self::TargetAboveTimeout => "lower the target latency, or raise the timeout",
            Self::TtlBelowDue => "raise the TTL of items to at least the due time",
            Self::HeadAboveIdle => "lower the timeout of heads to at most the idle timeout",
            Self::NoPrices => "add the price of each zone in which upstreams may be ordered",
            Self::ZeroWeight => "remove the split if it is not prepared for later",
            Self::UnneededPublic => "remove the mark, or add accounts",
            Self::NothingInForce => "check the address if hosts already serve",
        }
    }
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Its kind.
    pub kind: Kind,
    /// The place.
    pub place: Place,
    /// What is wrong. It contains no key.
    pub message: String,
}

impl Finding {
    /// Returns a finding.
    pub fn new(kind: Kind, place: Place, message: impl Into<String>) -> Self {
        Self {
            kind,
            place,
            message: message.into(),
        }
    }
}
