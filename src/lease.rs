//! Leases with fencing numbers, kept by the table service.
