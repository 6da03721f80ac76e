//! One end of a connection, as its process captured it.

use std::collections::VecDeque;

use tideroute_wire::capture::{self, CapturedFrame};
use tideroute_wire::{Address, Micros};

use super::conversation::Purpose;

/// An end of a connection: the process, and its own number for the connection.
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

/// An address in the content of a captured event.
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

/// Frames of one direction at one end. Those that were not yet matched with the other end wait here.
#[derive(Default)]
pub struct FrameFlow {
    pub frames: u64,
    unmatched: VecDeque<u32>,
}

/// The most frames that are made up for a gap; a capture that lacks more is none.
const MAX_MISSING: u64 = 1 << 16;

impl FrameFlow {
    /// Adds a frame to those that wait to be matched.
    pub fn push(&mut self, frame: &[u8]) {
        self.push_checksum(checksum(capture::common(frame)));
    }

    /// Makes up for frames missing before a position, so that one gap is not reported again by each later frame.
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

/// FNV-1a: frames are compared with their other end, not defended against forgery.
fn checksum(bytes: &[u8]) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET_BASIS, |hash, &byte| (hash ^ u32::from(byte)).wrapping_mul(PRIME))
}

/// One end of a connection.
#[derive(Default)]
pub struct ConnectionEnd {
    /// This end dialled.
    pub is_dialler: bool,
    /// The connection was never made.
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
