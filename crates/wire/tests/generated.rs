//! Guards against outdated code in `src/generated` after a change of the protocol files.

use std::path::Path;

use googletest::prelude::*;

#[gtest]
fn generated_code_matches_the_protocol_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files =
        ["control.proto", "call.proto", "upstream.proto"].map(|f| root.join("proto").join(f));
    let descriptors = protox::compile(&files, [root.join("proto")]).unwrap();
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(descriptors)
        .unwrap();
    for package in ["control", "call", "upstream"] {
        let name = format!("hawthorntide.{package}.v1.rs");
        let fresh = std::fs::read_to_string(out.join(&name)).unwrap();
        let committed = std::fs::read_to_string(root.join("src/generated").join(&name)).unwrap();
        expect_that!(
            fresh == committed,
            eq(true),
            "{name} is stale, run `cargo run -p hawthorntide-wire --example generate`"
        );
    }
}
