//! Which upstreams may be given new work.
