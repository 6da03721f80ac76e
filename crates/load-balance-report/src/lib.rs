//! How evenly a day's load was spread, read from the record of what passed on the workers' and clients' sockets.
//! Nothing here knows how a router chooses; a record of any policy is measured alike.
//!
//! Of each role and second: the fullest worker's work over the mean, by what each can do. Over the whole day:
//! worker seconds idle while another of the role has work waiting; arrivals at one worker within a window
//! against what independent choice would bring; the part of shared prompt text that was found kept; and first
//! tokens and service by track.

mod herds;
mod measure;
mod workers;

pub use measure::{measure, Side, Spread, SpreadError, TrackFigures};
