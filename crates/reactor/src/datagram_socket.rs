//! A socket for datagrams that is never connected to any peer.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};

use bytes::Bytes;
use socket2::SockRef;
use tideroute_wire::Address;

use crate::traffic_capture::encode_address;

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
                    return Ok(Some(Datagram { from: encode_address(from), bytes }));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether the machine accepted the datagram; one for which it has no room is lost, as it may be on the network.
    pub fn send(&self, to: Address, bytes: &[u8]) -> bool {
        let ip = Ipv4Addr::new(to[0], to[1], to[2], to[3]);
        let port = u16::from_be_bytes([to[4], to[5]]);
        self.socket.send_to(bytes, SocketAddrV4::new(ip, port)).is_ok()
    }
}
