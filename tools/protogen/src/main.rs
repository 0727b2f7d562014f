//! Generates `src/peer/generated/` from `proto/peer.proto`.
//!
//! Run it from the root of the workspace after each change to the protocol.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["proto/peer.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .out_dir("src/peer/generated")
        .emit_rerun_if_changed(false)
        .compile_fds(descriptors)?;
    Ok(())
}
