//! Generated messages of the protocol between hosts.
//!
//! They are generated from `proto/peer.proto` by `cargo run --example generate`;
//! a test checks that the code is up to date.

#[expect(
    missing_docs,
    clippy::allow_attributes,
    clippy::missing_errors_doc,
    reason = "generated code does not follow the project's style"
)]
pub mod peer {
    include!("generated/mimosavane.peer.v1.rs");
}
