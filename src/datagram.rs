//! Authenticated datagrams between hosts.
