//! Which hosts are there, by probes at constant cost a host.
