//! The entries of the platform's list of upstreams.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    control::blackboard::{UpstreamKind, UpstreamState},
    ids::{FailureDomain, UpstreamId},
};

/// An upstream in the platform's list, which lags behind the upstream's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedUpstream {
    /// The upstream's id.
    pub id: UpstreamId,
    /// Whether the upstream is an engine or a plain service.
    pub kind: UpstreamKind,
    /// The pool by which calls address the upstream.
    pub pool: Arc<str>,
    /// The address that it serves on.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// `live` or `leaving`.
    pub state: UpstreamState,
}
