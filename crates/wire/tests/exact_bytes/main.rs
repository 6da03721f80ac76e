//! The exact bytes of every message, as this version encodes them and decodes them back into calls.
//!
//! The expected bytes are those of protocol version 2. If they change, this build can no longer exchange messages with
//! other builds or read their captures.

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

/// Records the calls that a received message leads to.
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
    let byte = |offset| u8::from_str_radix(&text[offset..offset + 2], 16).expect("hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}

/// Checks that a message was encoded as the expected bytes, and that these bytes are decoded as these calls.
fn check(
    encoded: Bytes,
    expected: &str,
    receive: impl FnOnce(&Bytes, &mut Recorder) -> Result<(), Malformed>,
    calls: &[&str],
) {
    let mut recorder = Recorder::default();
    receive(&from_hex(expected), &mut recorder).expect("the bytes are a message");
    assert_eq!(to_hex(&encoded), expected, "{calls:?}");
    assert_eq!(recorder.0, calls);
}
