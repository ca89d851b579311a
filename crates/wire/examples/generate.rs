//! Generates `src/generated`, or the directory given as argument, from `proto`.
//!
//! Run it with `cargo run -p hawthorntide-wire --example generate`.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), Into::into);
    let files =
        ["control.proto", "call.proto", "upstream.proto"].map(|f| root.join("proto").join(f));
    let descriptors = protox::compile(&files, [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}
