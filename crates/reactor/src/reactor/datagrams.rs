//! Receives and sends datagrams.

use bytes::Bytes;
use metrics::counter;
use tideroute_wire::event_loop::{Effects, EventHandler};
use tideroute_wire::Address;

use super::Reactor;

/// Maximum number of datagrams received at a socket in one iteration, so that a flood of them does not starve other
/// sources.
const MAX_DATAGRAMS: usize = 256;

impl Reactor {
    /// Receives the datagrams that wait at a socket, up to [`MAX_DATAGRAMS`].
    pub(super) fn receive_datagrams(
        &mut self,
        index: usize,
        handler: &mut impl EventHandler,
        effects: &mut Effects,
    ) {
        for _ in 0..MAX_DATAGRAMS {
            let Some(datagram_socket) = self.datagram_sockets.get(index) else { return };
            match datagram_socket.receive(&mut self.read_buffer) {
                Ok(Some(datagram)) => {
                    handler.on_datagram(self.clock.now(), index, datagram.from, &datagram.bytes, effects)
                }
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(%error, "receiving a datagram failed");
                    return;
                }
            }
            self.execute(effects);
        }
    }

    /// Sends a datagram, which is lost if the socket does not accept it.
    pub(super) fn send_datagram(&mut self, index: usize, to: Address, bytes: &Bytes) {
        let to = self.address_overrides.get(&to).copied().unwrap_or(to);
        let datagram_socket = self.datagram_sockets.get(index);
        let sent = datagram_socket.is_some_and(|datagram_socket| datagram_socket.send(to, bytes));
        counter!("tideroute_datagrams_total", "sent" => sent.to_string()).increment(1);
    }
}
