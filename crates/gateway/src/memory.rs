//! Accounts for the memory that requests and unfinished responses occupy. Each buffer carries a [`MemoryCharge`], which
//! counts against the [`MemoryBudget`] until the buffer is dropped, wherever it is by then: still being received, stored
//! with its request, or queued on a connection to a worker.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

/// The memory that buffers of one purpose may occupy together.
#[derive(Debug)]
pub struct MemoryBudget {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes, of which none are used.
    pub fn new(limit: usize) -> MemoryBudget {
        MemoryBudget { used: Arc::default(), limit }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether `additional` bytes would exceed the budget.
    pub fn would_exceed(&self, additional: usize) -> bool {
        self.used().saturating_add(additional) > self.limit
    }

    /// Charges `bytes` to the budget, also beyond its limit: the caller has allocated them already.
    pub fn charge(&self, bytes: usize) -> MemoryCharge {
        let mut charge = MemoryCharge { used: self.used.clone(), bytes: 0 };
        charge.resize(bytes);
        charge
    }
}

/// A part of a [`MemoryBudget`] that is in use until this value is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    used: Arc<AtomicUsize>,
    bytes: usize,
}

impl MemoryCharge {
    /// Returns the number of bytes charged.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes charged.
    pub fn resize(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.used.fetch_add(bytes - self.bytes, Ordering::Relaxed);
        } else {
            self.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Bytes that are collected piece by piece, with the charge for them.
#[derive(Default)]
pub struct ChargedBuffer {
    bytes: Vec<u8>,
    charge: Option<MemoryCharge>,
}

impl ChargedBuffer {
    /// Returns the collected bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Appends a piece and charges it to `budget`.
    pub fn append(&mut self, piece: &[u8], budget: &MemoryBudget) {
        self.bytes.extend_from_slice(piece);
        let allocated = self.bytes.capacity();
        self.charge.get_or_insert_with(|| budget.charge(0)).resize(allocated);
    }

    /// Takes the collected bytes, which are no longer charged.
    pub fn take(&mut self) -> Vec<u8> {
        self.charge = None;
        std::mem::take(&mut self.bytes)
    }
}

/// A request's body with the charge for it.
struct ChargedBody {
    body: Vec<u8>,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns a body as shared bytes. The charge lasts until the last reference to the bytes is dropped.
pub fn charged_bytes(body: Vec<u8>, charge: MemoryCharge) -> Bytes {
    Bytes::from_owner(ChargedBody { body, _charge: charge })
}

#[cfg(test)]
mod tests;
