//! The messages of the platform's list of upstreams.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    control::blackboard::{UpstreamKind, UpstreamState},
    ids::{FailureDomain, UpstreamId},
};

/// One upstream as the platform lists it, with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub id: UpstreamId,
    /// What it is.
    pub kind: UpstreamKind,
    /// The pool that calls name.
    pub pool: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// `live` or `leaving`.
    pub state: UpstreamState,
}
