//! The interfaces of others, as data: of the platform that the product was first planned for, and
//! of trainers.

pub mod platform;
pub mod trainer;
