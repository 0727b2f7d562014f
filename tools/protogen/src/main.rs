//! Generates `src/peer/gen/` from `proto/peer.proto`; run by hand after the protocol changes.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("src/peer/generated")
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)?;
    Ok(())
}
