//! One end of a connection, as its process captured it.

use std::collections::VecDeque;

use tideroute_wire::capture::{self, CapturedFrame};
use tideroute_wire::{Address, Micros};

use super::conversation::Purpose;

/// Identifies an end of a connection by its process and the process's own number for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndKey {
    pub process: u32,
    pub connection: u64,
}

impl EndKey {
    pub fn of(captured: &CapturedFrame) -> EndKey {
        EndKey { process: captured.process, connection: captured.connection }
    }
}

/// The addresses of both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AddressPair {
    pub acceptor: Address,
    pub dialler: Address,
}

/// Bytes of an address in a captured event.
const ADDRESS_LENGTH: usize = 6;

/// Reads an address from the content of a captured event.
pub fn address_at(captured: &CapturedFrame, offset: usize) -> Option<Address> {
    let bytes = captured.frame.get(offset..offset + ADDRESS_LENGTH)?;
    Address::try_from(bytes).ok()
}

impl AddressPair {
    /// Reads two addresses, the acceptor's first.
    pub fn acceptor_first(captured: &CapturedFrame, offset: usize) -> Option<AddressPair> {
        let acceptor = address_at(captured, offset)?;
        let dialler = address_at(captured, offset + ADDRESS_LENGTH)?;
        Some(AddressPair { acceptor, dialler })
    }

    /// Reads two addresses, the dialler's first.
    pub fn dialler_first(captured: &CapturedFrame, offset: usize) -> Option<AddressPair> {
        let dialler = address_at(captured, offset)?;
        let acceptor = address_at(captured, offset + ADDRESS_LENGTH)?;
        Some(AddressPair { acceptor, dialler })
    }
}

/// Frames of one direction at one end: how many there were, and the checksums of those that were not yet matched with
/// the frames of the other end.
#[derive(Default)]
pub struct FrameFlow {
    pub frames: u64,
    unmatched: VecDeque<u32>,
}

/// The highest number of placeholders that are added for missing frames; a capture that lacks more is unusable anyway.
const MAX_MISSING: u64 = 1 << 16;

impl FrameFlow {
    /// Adds a frame that is to be matched with the other end.
    pub fn push(&mut self, frame: &[u8]) {
        self.push_checksum(checksum(capture::common(frame)));
    }

    /// Adds placeholders for the frames missing before a position, so that a gap is not reported again for each later
    /// frame.
    pub fn skip_to(&mut self, position: u64) {
        let missing = position.saturating_sub(self.frames).min(MAX_MISSING);
        for _ in 0..missing {
            self.push_checksum(0);
        }
        self.frames = position;
    }

    fn push_checksum(&mut self, checksum: u32) {
        self.frames += 1;
        self.unmatched.push_back(checksum);
    }

    pub fn has_unmatched(&self) -> bool {
        !self.unmatched.is_empty()
    }

    /// Matches the frames sent at one end with those received at the other; returns how many pairs differ.
    pub fn match_frames(sent: &mut FrameFlow, received: &mut FrameFlow) -> usize {
        let mut different = 0;
        while sent.has_unmatched() && received.has_unmatched() {
            if sent.unmatched.pop_front() != received.unmatched.pop_front() {
                different += 1;
            }
        }
        different
    }
}

/// Returns the FNV-1a hash, which suffices because the frames of both ends are only compared and not protected against
/// forgery.
fn checksum(bytes: &[u8]) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET_BASIS, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}

/// One end of a connection.
#[derive(Default)]
pub struct ConnectionEnd {
    /// Whether this end dialled.
    pub is_dialler: bool,
    /// Whether connecting failed.
    pub connect_failed: bool,
    /// The address that was dialled.
    pub dialled_address: Option<Address>,
    pub addresses: Option<AddressPair>,
    pub connected_at: Micros,
    pub purpose: Option<Purpose>,
    pub sent: FrameFlow,
    pub received: FrameFlow,
    /// The other end, once it is found.
    pub peer: Option<EndKey>,
    pub closed_at: Option<Micros>,
}

impl ConnectionEnd {
    pub fn is_open(&self) -> bool {
        self.closed_at.is_none()
    }
}
