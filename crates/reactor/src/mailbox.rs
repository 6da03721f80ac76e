//! Messages to a loop from other threads. The loop shares nothing: it takes messages as it takes the events of its
//! sockets, and counts those that its handler has processed.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use bytes::Bytes;
use polling::Poller;

/// Messages that may wait for one loop.
const CAPACITY: usize = 1_024;

/// How many messages the handler has processed, and those who wait for that number.
type Processed = Arc<(Mutex<u64>, Condvar)>;

/// The senders' side: hands messages to the handler of one loop, from any thread.
#[derive(Clone)]
pub struct Mailbox {
    messages: SyncSender<Bytes>,
    poller: Arc<Poller>,
    sent: Arc<Mutex<u64>>,
    processed: Processed,
}

/// The loop's side.
pub(crate) struct MessageReceiver {
    messages: Receiver<Bytes>,
    processed: Processed,
}

/// Both sides of a new mailbox; sending wakes the loop that polls `poller`.
pub(crate) fn mailbox(poller: Arc<Poller>) -> (Mailbox, MessageReceiver) {
    let (sender, receiver) = sync_channel(CAPACITY);
    let processed = Processed::default();
    let mailbox = Mailbox { messages: sender, poller, sent: Arc::default(), processed: processed.clone() };
    (mailbox, MessageReceiver { messages: receiver, processed })
}

impl Mailbox {
    /// Sends a message, and waits while the mailbox is full. Returns the message's number, or None if the loop has
    /// ended.
    pub fn send(&self, message: Bytes) -> Option<u64> {
        // Numbers follow the order in the mailbox, also where several threads send at once.
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        self.messages.send(message).ok()?;
        *sent += 1;
        self.poller.notify().ok()?;
        Some(*sent)
    }

    /// Sends a message without waiting for capacity; false if the mailbox is full or the loop has ended. It is for
    /// messages that a later one repeats. On a mailbox to which others [`send`](Self::send), it would wait with them.
    pub fn try_send(&self, message: Bytes) -> bool {
        // Guards against a message lost because another core sends at the same moment, as their timers make likely.
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        let accepted = self.messages.try_send(message).is_ok();
        *sent += u64::from(accepted);
        accepted && self.poller.notify().is_ok()
    }

    /// Waits until the handler has processed the message with this number; false if it has not within `timeout`.
    pub fn wait_until_processed(&self, number: u64, timeout: Duration) -> bool {
        let (processed, changed) = &*self.processed;
        let processed = processed.lock().unwrap_or_else(|e| e.into_inner());
        let waited = changed.wait_timeout_while(processed, timeout, |processed| *processed < number);
        waited.is_ok_and(|(processed, _)| *processed >= number)
    }
}

impl MessageReceiver {
    /// The next message that waits.
    pub fn next(&self) -> Option<Bytes> {
        self.messages.try_recv().ok()
    }

    /// Counts a message that the handler has processed.
    pub fn mark_processed(&self) {
        let (processed, changed) = &*self.processed;
        *processed.lock().unwrap_or_else(|e| e.into_inner()) += 1;
        changed.notify_all();
    }
}
