//! Writes captures.

use std::io::{self, Write};

use bytes::BytesMut;
use prost::Message;

use super::event::{encode_event, CapturedFrame, CapturedProcess};
use crate::fields::encode_optional_address;
use crate::frame;
use crate::generated::record::{Event, Head, Process};

/// Writes the head: the processes, and the settings of the trace checker as JSON text. The settings are empty in the
/// capture of a single process.
pub fn write_head(file: &mut impl Write, processes: &[CapturedProcess], settings: &str) -> io::Result<()> {
    let processes = processes.iter().map(|process| Process {
        number: process.number,
        name: process.name.clone(),
        role: process.role.clone(),
        address: encode_optional_address(process.address),
    });
    let head = Head { processes: processes.collect(), terms: settings.to_string() };
    write_frame(file, &head.encode_to_vec())
}

/// Writes an event.
pub fn write(file: &mut impl Write, captured: &CapturedFrame) -> io::Result<()> {
    let event = Event {
        at_us: captured.at,
        process: captured.process,
        link: captured.connection,
        what: encode_event(captured.event).into(),
        place: captured.position,
        frame: captured.frame.clone(),
    };
    write_frame(file, &event.encode_to_vec())
}

fn write_frame(file: &mut impl Write, body: &[u8]) -> io::Result<()> {
    let mut framed = BytesMut::new();
    frame::put(&mut framed, body);
    file.write_all(&framed)
}
