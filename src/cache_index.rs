//! Which engine holds which prompt prefix, from events that come late and with gaps.
