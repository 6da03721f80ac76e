//! The way into a loop from other threads. The loop shares nothing: it takes each letter as it takes what its
//! sockets bring.

use std::sync::mpsc::SyncSender;
use std::sync::Arc;

use bytes::Bytes;
use polling::Poller;

/// Letters that may wait in one loop's box.
pub(crate) const LETTERS: usize = 1_024;

#[derive(Clone)]
pub struct Mailbox {
    letters: SyncSender<Bytes>,
    poller: Arc<Poller>,
}

impl Mailbox {
    pub(crate) fn new(letters: SyncSender<Bytes>, poller: Arc<Poller>) -> Mailbox {
        Mailbox { letters, poller }
    }

    /// False if the loop has ended or its box is full; it never waits.
    pub fn send(&self, letter: Bytes) -> bool {
        self.letters.try_send(letter).is_ok() && self.poller.notify().is_ok()
    }
}
