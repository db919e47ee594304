//! Claims of keyed calls, so that each runs at most once.
