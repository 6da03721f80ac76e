//! The event loop. Each iteration executes the handler's decisions and sends its output, then polls and delivers
//! events, messages and timers.

use std::io;

use metrics::gauge;
use polling::Events;
use tideroute_wire::capture::CaptureEvent;
use tideroute_wire::event_loop::{Effects, EventHandler};

use super::accepting::LastConnections;
use super::{Notification, Reactor, RunOutcome};
use crate::error::ReactorError;
use crate::poll_key::PollKey;

impl Reactor {
    /// Drives the handler until it has finished, has requested a crash, or is forced to end by a second signal.
    ///
    /// Returns an error if the poller fails; an error on one connection ends that connection only.
    pub fn run(&mut self, handler: &mut impl EventHandler) -> Result<RunOutcome, ReactorError> {
        let mut effects = Effects::default();
        let mut events = Events::new();
        let mut due_timers = Vec::new();
        self.capture_process_event(CaptureEvent::ProcessStarted);
        handler.on_start(self.clock.now(), &mut effects);
        loop {
            self.settle(handler, &mut effects);
            if self.crashed {
                self.capture_process_event(CaptureEvent::ProcessKilled);
                self.reset_all();
                return Ok(RunOutcome::Crashed);
            }
            if self.is_finished(handler) {
                match self.accept_last_connections(handler, &mut effects) {
                    LastConnections::Accepted => continue,
                    LastConnections::Unknown => {}
                    LastConnections::None => {
                        self.capture_process_event(CaptureEvent::ProcessExited);
                        return Ok(RunOutcome::Finished);
                    }
                }
            }
            self.poll(&mut events)?;
            let woken_at = self.now();
            let due_at = self.next_timer_at().unwrap_or(woken_at);
            if let Some(outcome) = self.handle_events(&events, handler, &mut effects)? {
                return Ok(outcome);
            }
            self.deliver_messages(handler, &mut effects);
            self.fire_timers(&mut due_timers, handler, &mut effects);
            let now = self.now();
            let lag = (now - woken_at).max(woken_at.saturating_sub(due_at));
            handler.on_loop_lag(now, lag);
        }
    }

    /// Returns whether the handler has finished and all its output has been sent; a loop that drains on shutdown also
    /// waits for lingering connections.
    fn is_finished(&self, handler: &impl EventHandler) -> bool {
        let waits_for_lingering = self.drain_on_shutdown && self.lingering > 0;
        handler.is_finished()
            && !waits_for_lingering
            && self.connections.iter().all(|(_, connection)| connection.buffered() == 0)
    }

    /// Waits for events or for the next timer, whichever comes first.
    fn poll(&mut self, events: &mut Events) -> io::Result<()> {
        let timeout = self.poll_timeout();
        events.clear();
        match self.poller.wait(events, timeout) {
            Ok(_) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) => Err(e),
        }
    }

    /// Handles the events in the poller's order; returns an outcome if one of them ends the run.
    fn handle_events(
        &mut self,
        events: &Events,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) -> Result<Option<RunOutcome>, ReactorError> {
        for event in events.iter() {
            match PollKey::decode(event.key) {
                PollKey::ShutdownSignals => {
                    if self.handle_shutdown_signals(handler, effects)?.is_break() {
                        return Ok(Some(RunOutcome::Forced));
                    }
                }
                PollKey::ReloadSignals => self.handle_reload_signals(handler, effects),
                PollKey::Listener(index) => {
                    self.accept(index, handler, effects);
                }
                PollKey::DatagramSocket(index) => self.receive_datagrams(index, handler, effects),
                PollKey::Connection(slot) => self.handle_connection_event(slot, event, handler, effects),
            }
        }
        Ok(None)
    }

    /// Lets the handler decide, sends its output and notifies it of the results, until no notification is left. Then
    /// frees the slots of closed connections.
    fn settle(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        loop {
            self.deliver_notifications(handler, effects);
            handler.on_iteration(self.clock.now(), effects);
            self.execute(effects);
            self.flush_all();
            if self.notifications.is_empty() {
                break;
            }
        }
        for slot in std::mem::take(&mut self.closed) {
            let connection = self.connections.remove(slot);
            self.slots.remove(&connection.id);
        }
        gauge!("tideroute_connections").set(self.connections.len() as f64);
        self.flush_capture();
    }

    /// Notifies the handler of the results of its effects and of lost connections.
    pub(super) fn deliver_notifications(&mut self, handler: &mut impl EventHandler, effects: &mut Effects) {
        while let Some(notification) = self.notifications.pop_front() {
            let now = self.clock.now();
            match notification {
                Notification::Connected(connection) => handler.on_connected(now, connection, effects),
                Notification::Disconnected(connection, reason) => {
                    handler.on_disconnect(now, connection, reason, effects)
                }
                Notification::Backpressure(connection, backpressure) => {
                    handler.on_backpressure(now, connection, backpressure, effects)
                }
                Notification::WriteComplete(connection) => {
                    handler.on_write_complete(now, connection, effects)
                }
            }
            self.execute(effects);
        }
    }
}
