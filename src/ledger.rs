//! Served tokens of each row over the whole fleet.
