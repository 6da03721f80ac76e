//! An unconnected UDP socket.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use bytes::Bytes;
use socket2::SockRef;
use tideroute_wire::Address;

use crate::address;

/// Requested size of the kernel's receive buffer in bytes. It holds some hundreds of datagrams, as many as arrive
/// while a process is paused for a second.
const RECEIVE_BUFFER: usize = 1 << 20;

/// A bound, non-blocking UDP socket.
pub(crate) struct DatagramSocket {
    pub socket: UdpSocket,
}

/// A datagram that was received.
pub(crate) struct Datagram {
    pub from: Address,
    pub bytes: Bytes,
}

impl DatagramSocket {
    pub fn bind(address: SocketAddr) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        // The kernel reduces a size above its limit to that limit.
        let _ = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
        Ok(DatagramSocket { socket })
    }

    /// Returns the next waiting datagram, read through the buffer `chunk`; `None` if no datagram waits.
    pub fn receive(&self, chunk: &mut [u8]) -> io::Result<Option<Datagram>> {
        loop {
            match self.socket.recv_from(chunk) {
                Ok((length, from)) => {
                    let bytes = Bytes::copy_from_slice(&chunk[..length]);
                    return Ok(Some(Datagram { from: address::encode(from), bytes }));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Sends a datagram and returns whether the socket accepted it. A datagram for which the socket has no room is
    /// lost, as it may also be lost on the network.
    pub fn send(&self, to: Address, bytes: &[u8]) -> bool {
        self.socket.send_to(bytes, address::decode(to)).is_ok()
    }
}
