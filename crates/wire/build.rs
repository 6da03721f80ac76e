//! Generates the message types from the `.proto` files. protox compiles them, so `protoc` need not be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let files = ["serving", "record", "fleet"].map(|name| format!("proto/tideroute/v1/{name}.proto"));
    files.iter().for_each(|file| println!("cargo:rerun-if-changed={file}"));
    let set = protox::compile(&files, ["proto"])?;
    prost_build::Config::new().bytes(["."]).compile_fds(set)?;
    Ok(())
}
