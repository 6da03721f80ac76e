//! Shuts the handler down on SIGTERM and SIGINT.

use std::io;
use std::ops::ControlFlow;

use tideroute_wire::event_loop::{Effects, EventHandler};

use super::Reactor;
use crate::signal_pipe::SignalPipe;

impl Reactor {
    /// Shuts the handler down at the first signal; returns `Break` if a further signal ends the run.
    pub(super) fn handle_shutdown_signals(
        &mut self,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) -> io::Result<ControlFlow<()>> {
        let count = self.shutdown_signals.as_mut().map_or(0, SignalPipe::take_count);
        let forced = count > 1 || (count == 1 && self.shutting_down);
        if forced && !self.drain_on_shutdown {
            return Ok(ControlFlow::Break(()));
        }
        if count > 0 && !self.shutting_down {
            self.shut_down_handler(handler, effects)?;
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Asks the handler to finish, and closes the listeners unless the loop drains on shutdown.
    fn shut_down_handler(
        &mut self,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) -> io::Result<()> {
        self.shutting_down = true;
        if !self.drain_on_shutdown {
            for listener in std::mem::take(&mut self.listeners) {
                if let Some(socket) = listener.open_socket() {
                    self.poller.delete(socket)?;
                }
            }
        }
        handler.on_shutdown(self.clock.now(), effects);
        self.execute(effects);
        Ok(())
    }
}
