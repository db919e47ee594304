//! The gates that keep samples within the agreed staleness bound.
