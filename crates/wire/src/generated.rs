//! The message types that the build generates from `proto/`. They stay inside this package.
#![allow(missing_docs, clippy::doc_markdown, clippy::enum_variant_names)]

include!(concat!(env!("OUT_DIR"), "/tideroute.v1.rs"));

/// The file of a traffic capture.
pub mod record {
    include!(concat!(env!("OUT_DIR"), "/tideroute.v1.record.rs"));
}

/// Datagrams between the members of a cluster.
pub mod fleet {
    include!(concat!(env!("OUT_DIR"), "/tideroute.v1.fleet.rs"));
}
