//! The exact bytes of messages: written by this version, and read back as the calls that they stand for.
//!
//! The expected bytes are those of protocol version 2. A change here breaks routers, workers and files of other builds.

use bytes::Bytes;
use tideroute_wire::Malformed;

mod capture;
mod client;
mod endpoint_list;
mod frames;
mod gossip;
mod hello;
mod state_transfer;
mod tenant;
mod worker;

/// The calls that a received message made.
#[derive(Default)]
struct Recorder(Vec<String>);

/// Records a call with its arguments.
macro_rules! record {
    ($recorder:ident, $name:literal $(, $argument:expr)*) => {{
        let arguments: Vec<String> = vec![$(format!("{:?}", $argument)),*];
        $recorder.0.push(format!("{}({})", $name, arguments.join(", ")));
    }};
}
pub(crate) use record;

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Bytes {
    let byte = |at| u8::from_str_radix(&text[at..at + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Holds that a message is written as these bytes, and that these bytes are read as these calls.
fn check(
    written: Bytes,
    expected: &str,
    receive: impl FnOnce(&Bytes, &mut Recorder) -> Result<(), Malformed>,
    calls: &[&str],
) {
    let mut recorder = Recorder::default();
    receive(&from_hex(expected), &mut recorder).expect("the bytes are a message");
    assert_eq!(to_hex(&written), expected, "{calls:?}");
    assert_eq!(recorder.0, calls);
}
