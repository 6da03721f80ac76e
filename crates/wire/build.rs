//! Compiles the protocol's definitions; protox is the compiler, so no tool need be on the machine.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["serving", "record", "fleet"].map(|name| format!("proto/tideroute/v1/{name}.proto"));
    files.iter().for_each(|file| println!("cargo:rerun-if-changed={file}"));
    let set = protox::compile(&files, ["proto"])?;
    prost_build::Config::new().bytes(["."]).compile_fds(set)?;
    Ok(())
}
