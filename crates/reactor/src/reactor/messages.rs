//! Delivers messages from other threads to the handler.

use tideroute_wire::event_loop::{Effects, EventHandler};

use super::Reactor;
use crate::mailbox::MessageReceiver;

impl Reactor {
    /// Passes all waiting messages to the handler, and counts each as processed once its effects have been executed.
    pub(super) fn deliver_messages(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        while let Some(message) = self.messages.as_ref().and_then(MessageReceiver::next) {
            handler.on_message(self.clock.now(), &message, effects);
            self.execute(effects);
            if let Some(messages) = &self.messages {
                messages.mark_processed();
            }
        }
    }
}
