//! Generated messages of the protocol between hosts.
//!
//! The source is `proto/peer.proto`; `cargo run --example generate` writes the
//! code anew, and a test compares the two.

#[expect(
    missing_docs,
    clippy::allow_attributes,
    clippy::missing_errors_doc,
    reason = "generated code is not held to the house style"
)]
pub mod peer {
    include!("generated/mimosavane.peer.v1.rs");
}
