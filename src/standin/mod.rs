//! Stand-ins for what the platform provides, for the demo and for tests.

pub mod table_service;
