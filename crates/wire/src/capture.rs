//! The file of a traffic capture: a head, then events, each in a frame. A process writes its own file as it runs; the
//! files are later merged by time into the capture of a whole scenario.

mod event;
mod reader;
mod truncation;
mod writer;

pub use event::{counted, counts, CaptureError, CaptureEvent, CapturedFrame, CapturedProcess};
pub use reader::Reader;
pub use truncation::{common, kept};
pub use writer::{write, write_head};
