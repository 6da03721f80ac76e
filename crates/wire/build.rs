//! Compiles the protocol's definitions; protox is the compiler, so no tool need be on the machine.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["proto/tideroute/v1/serving.proto", "proto/tideroute/v1/record.proto"];
    files.iter().for_each(|file| println!("cargo:rerun-if-changed={file}"));
    let set = protox::compile(files, ["proto"])?;
    prost_build::Config::new().bytes(["."]).compile_fds(set)?;
    Ok(())
}
