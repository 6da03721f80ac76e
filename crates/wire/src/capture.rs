//! The file format of a traffic capture: a head, then events, each in a frame. Each process writes its own file while
//! it runs; the files are later merged by time into one capture of the whole scenario.

mod event;
mod reader;
mod truncation;
mod writer;

pub use event::{counted, counts, CaptureError, CaptureEvent, CapturedFrame, CapturedProcess};
pub use reader::Reader;
pub use truncation::{common, kept};
pub use writer::{write, write_head};
