//! Checks that the committed code of the peer protocol matches `proto/`.

#[test]
fn up_to_date() {
    let out_dir = tempfile::tempdir().unwrap();
    let root = env!("CARGO_MANIFEST_DIR");
    let descriptors = protox::compile(
        [format!("{root}/proto/peer.proto")],
        [format!("{root}/proto")],
    )
    .unwrap();
    tonic_prost_build::configure()
        .out_dir(out_dir.path())
        .compile_fds(descriptors)
        .unwrap();
    let name = "mimosavane.peer.v1.rs";
    let fresh = std::fs::read_to_string(out_dir.path().join(name)).unwrap();
    let committed = std::fs::read_to_string(format!("{root}/src/generated/{name}")).unwrap();
    assert!(
        fresh == committed,
        "run `cargo run --example generate` and commit src/generated"
    );
}
