//! The messages that clients receive from their routers.

use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use tideroute_wire::event_loop::Effects;
use tideroute_wire::{client, Malformed, Micros};

use super::Load;
use crate::load_statistics::Progress;

/// Handles the messages that one client receives from its router.
pub struct ResponseHandler<'a> {
    pub load: &'a mut Load,
    pub now: Micros,
    pub client_index: usize,
    pub effects: &'a mut Effects,
}

impl ResponseHandler<'_> {
    /// Returns the index of the request with this number; `None` if the client has cancelled it or counted it as unanswered.
    fn request_index(&self, number: u64) -> Option<usize> {
        self.load.clients[self.client_index].in_flight.get(&number).copied()
    }

    /// Removes the attempt with this number from those in flight, and returns the index of its request.
    fn take_request(&mut self, number: u64) -> Option<usize> {
        self.load.clients[self.client_index].in_flight.remove(&number)
    }

    fn add_progress(&self, counter: impl Fn(&Progress) -> &AtomicU64) {
        counter(&self.load.progress).fetch_add(1, Ordering::Relaxed);
    }
}

impl client::Client for ResponseHandler<'_> {
    fn accepted(&mut self, _number: u64, _id: u64) -> Result<(), Malformed> {
        Ok(())
    }

    fn token(&mut self, number: u64, index: u32, text: Bytes) -> Result<(), Malformed> {
        if let Some(request_index) = self.request_index(number) {
            self.load.on_token(self.now, request_index, index, &text, self.effects);
        }
        Ok(())
    }

    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed> {
        if let Some(request_index) = self.take_request(number) {
            self.add_progress(|progress| &progress.completed);
            self.load.on_completed(self.now, request_index, tokens);
        }
        Ok(())
    }

    fn rejected(&mut self, number: u64, retry_after: Micros) -> Result<(), Malformed> {
        if let Some(request_index) = self.take_request(number) {
            self.add_progress(|progress| &progress.rejected);
            self.load.retry_or_end(self.now, request_index, true, retry_after, self.effects, |statistics| {
                &mut statistics.rejected
            });
        }
        Ok(())
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        if let Some(request_index) = self.take_request(number) {
            self.add_progress(|progress| &progress.failed);
            self.load.retry_or_end(self.now, request_index, false, 0, self.effects, |statistics| {
                &mut statistics.failed
            });
        }
        Ok(())
    }

    fn unauthorized(&mut self, reason: &str) -> Result<(), Malformed> {
        tracing::error!(client = self.client_index, why = reason, "router did not authorize this client");
        self.load.statistics.unauthorized += 1;
        Ok(())
    }
}
