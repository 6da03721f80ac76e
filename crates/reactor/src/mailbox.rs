//! Messages to a loop from other threads. The handler shares no state with them: the loop delivers messages as it
//! delivers the events of its sockets, and counts the messages that its handler has processed.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use bytes::Bytes;
use polling::Poller;

/// Maximum number of messages that wait for one loop.
const CAPACITY: usize = 1_024;

/// Number of messages that the handler has processed, and the condition variable that signals its changes.
type Processed = Arc<(Mutex<u64>, Condvar)>;

/// The sending side, which passes messages from any thread to the handler of one loop.
#[derive(Clone)]
pub struct Mailbox {
    messages: SyncSender<Bytes>,
    poller: Arc<Poller>,
    sent: Arc<Mutex<u64>>,
    processed: Processed,
}

/// The receiving side, which belongs to the loop.
pub(crate) struct MessageReceiver {
    messages: Receiver<Bytes>,
    processed: Processed,
}

/// Creates both sides of a mailbox; sending wakes the loop that polls `poller`.
pub(crate) fn mailbox(poller: Arc<Poller>) -> (Mailbox, MessageReceiver) {
    let (sender, receiver) = sync_channel(CAPACITY);
    let processed = Processed::default();
    let mailbox = Mailbox { messages: sender, poller, sent: Arc::default(), processed: processed.clone() };
    (mailbox, MessageReceiver { messages: receiver, processed })
}

impl Mailbox {
    /// Sends a message; blocks while the mailbox is full. Returns the message's number, or `None` if the loop has
    /// ended.
    pub fn send(&self, message: Bytes) -> Option<u64> {
        // The lock keeps the numbers in the order of the mailbox when several threads send at once.
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        self.messages.send(message).ok()?;
        *sent += 1;
        self.poller.notify().ok()?;
        Some(*sent)
    }

    /// Sends a message without waiting for capacity; returns false if the mailbox is full or the loop has ended. Suits
    /// messages whose content a later message repeats. It still blocks while another thread is blocked in
    /// [`send`](Self::send).
    pub fn try_send(&self, message: Bytes) -> bool {
        // Waits for the lock, since a message must not be lost because another core sends at the same moment, which the
        // cores' timers make likely.
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        let accepted = self.messages.try_send(message).is_ok();
        *sent += u64::from(accepted);
        accepted && self.poller.notify().is_ok()
    }

    /// Waits until the handler has processed the message with this number; returns false if it has not within
    /// `timeout`.
    pub fn wait_until_processed(&self, number: u64, timeout: Duration) -> bool {
        let (processed, changed) = &*self.processed;
        let processed = processed.lock().unwrap_or_else(|e| e.into_inner());
        let waited = changed.wait_timeout_while(processed, timeout, |processed| *processed < number);
        waited.is_ok_and(|(processed, _)| *processed >= number)
    }
}

impl MessageReceiver {
    /// Returns the next waiting message; `None` if no message waits.
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
