//! The dispatcher of one engine: who runs next, and when.
