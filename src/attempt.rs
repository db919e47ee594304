//! The states of one attempt at a call, from not sent to its outcome.
