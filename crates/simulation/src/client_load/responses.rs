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
    pub n: usize,
    pub effects: &'a mut Effects,
}

impl ResponseHandler<'_> {
    /// The request that a number stands for; None if the client has cancelled it or given it up.
    fn request_index(&self, number: u64) -> Option<usize> {
        self.load.clients[self.n].in_flight.get(&number).copied()
    }

    fn take_request(&mut self, number: u64) -> Option<usize> {
        self.load.clients[self.n].in_flight.remove(&number)
    }

    fn add_progress(&self, of: impl Fn(&Progress) -> &AtomicU64) {
        of(&self.load.progress).fetch_add(1, Ordering::Relaxed);
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
            self.add_progress(|p| &p.completed);
            self.load.on_completed(self.now, request_index, tokens);
        }
        Ok(())
    }

    fn rejected(&mut self, number: u64, after: Micros) -> Result<(), Malformed> {
        if let Some(request_index) = self.take_request(number) {
            self.add_progress(|p| &p.rejected);
            self.load.retry_or_end(self.now, request_index, true, after, self.effects, |t| &mut t.rejected);
        }
        Ok(())
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        if let Some(request_index) = self.take_request(number) {
            self.add_progress(|p| &p.failed);
            self.load.retry_or_end(self.now, request_index, false, 0, self.effects, |t| &mut t.failed);
        }
        Ok(())
    }

    fn unauthorized(&mut self, why: &str) -> Result<(), Malformed> {
        tracing::error!(client = self.n, why, "a router does not take this client");
        self.load.statistics.unauthorized += 1;
        Ok(())
    }
}
