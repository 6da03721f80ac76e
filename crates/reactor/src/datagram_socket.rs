//! A socket for datagrams that is never connected to any peer.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use bytes::Bytes;
use socket2::SockRef;
use tideroute_wire::Address;

use crate::address;

/// Bytes that may wait in the kernel, if the machine allows as many: some hundreds of datagrams, as come to a process
/// that was halted for a second.
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
        // A size over the machine's limit is cut to that limit.
        let _ = SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER);
        Ok(DatagramSocket { socket })
    }

    /// The next datagram that waits, read through `chunk`; None if there is none.
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

    /// Whether the machine accepted the datagram; one for which it has no room is lost, as it may be on the network.
    pub fn send(&self, to: Address, bytes: &[u8]) -> bool {
        self.socket.send_to(bytes, address::decode(to)).is_ok()
    }
}
