//! Plain policies that the decisions are measured against.
