//! The message types that the build script generates from `proto/`. They are private to this package.
#![allow(missing_docs, clippy::doc_markdown, clippy::enum_variant_names)]

include!(concat!(env!("OUT_DIR"), "/tideroute.v1.rs"));

/// Messages of the file format of traffic captures.
pub mod record {
    include!(concat!(env!("OUT_DIR"), "/tideroute.v1.record.rs"));
}

/// Messages of the datagrams between the members of a cluster.
pub mod fleet {
    include!(concat!(env!("OUT_DIR"), "/tideroute.v1.fleet.rs"));
}
