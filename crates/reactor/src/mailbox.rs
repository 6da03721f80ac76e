//! The way into a loop from other threads. The loop shares nothing: it takes each letter as it takes what its
//! sockets bring, and says how many it has taken.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use bytes::Bytes;
use polling::Poller;

/// Letters that may wait in one loop's box.
const LETTERS: usize = 1_024;

/// How many letters the loop's program was told, and who waits for that.
type Told = Arc<(Mutex<u64>, Condvar)>;

#[derive(Clone)]
pub struct Mailbox {
    letters: SyncSender<Bytes>,
    poller: Arc<Poller>,
    sent: Arc<Mutex<u64>>,
    told: Told,
}

/// The loop's side.
pub(crate) struct Letters {
    letters: Receiver<Bytes>,
    told: Told,
}

pub(crate) fn mailbox(poller: Arc<Poller>) -> (Mailbox, Letters) {
    let ((send, letters), told) = (sync_channel(LETTERS), Told::default());
    (Mailbox { letters: send, poller, sent: Arc::default(), told: told.clone() }, Letters { letters, told })
}

impl Mailbox {
    /// Waits while the box is full. The letter's number, or None if the loop has ended.
    pub fn send(&self, letter: Bytes) -> Option<u64> {
        // Numbers go by the order in the box, also where several send at once.
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        self.letters.send(letter).ok()?;
        *sent += 1;
        self.poller.notify().ok()?;
        Some(*sent)
    }

    /// Never waits for room; false if the box is full or the loop has ended. For letters of which a later one tells
    /// the same. Into a box that others [`send`](Self::send) to it would wait with them.
    pub fn offer(&self, letter: Bytes) -> bool {
        // Guards against a letter lost because another core offers one at the same moment, as their timers do.
        let mut sent = self.sent.lock().unwrap_or_else(|e| e.into_inner());
        let taken = self.letters.try_send(letter).is_ok();
        *sent += u64::from(taken);
        taken && self.poller.notify().is_ok()
    }

    /// Waits until the loop's program was told a letter; false if it was not in that time.
    pub fn told(&self, number: u64, within: Duration) -> bool {
        let (told, changed) = &*self.told;
        let told = told.lock().unwrap_or_else(|e| e.into_inner());
        let waited = changed.wait_timeout_while(told, within, |told| *told < number);
        waited.is_ok_and(|(told, _)| *told >= number)
    }
}

impl Letters {
    pub fn next(&self) -> Option<Bytes> {
        self.letters.try_recv().ok()
    }

    /// The program was told one.
    pub fn told(&self) {
        let (told, changed) = &*self.told;
        *told.lock().unwrap_or_else(|e| e.into_inner()) += 1;
        changed.notify_all();
    }
}
