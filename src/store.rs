//! The platform's table service: its client, its budget and its condition.
