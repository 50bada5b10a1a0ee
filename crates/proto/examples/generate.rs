//! Generates `src/gen` from `proto/`: `cargo run -p frostvale-proto --example generate -- crates/proto/src/gen`.
//! The output is committed, so that a build of the gatekeeper does not need a generator.

use std::path::{Path, PathBuf};

fn main() {
    let out = std::env::args().nth(1).expect("the folder to write to");
    generate(Path::new(&out));
}

/// Writes the generated files into the folder `out`.
pub fn generate(out: &Path) {
    use protox::prost::Message;
    let proto = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("proto");
    let link = protox::compile(["frostvale/link/v1/link.proto"], [&proto]).expect("sound .proto files");
    tonic_prost_build::configure().out_dir(out).compile_fds(link).expect("generated");
    let agent = protox::compile(["frostvale/agent/v1/agent.proto"], [&proto]).expect("sound .proto files");
    tonic_prost_build::configure().out_dir(out).compile_fds(agent).expect("generated");
    let rls =
        protox::compile(["envoy/service/ratelimit/v3/rls.proto"], [&proto]).expect("sound .proto files");
    std::fs::write(out.join("rls.bin"), rls.encode_to_vec()).expect("written");
    tonic_prost_build::configure().out_dir(out).compile_fds(rls).expect("generated");
}
