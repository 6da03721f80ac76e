//! A door for datagrams: one socket that is never connected to anybody.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};

use bytes::Bytes;
use socket2::SockRef;
use tideroute_wire::Address;

use crate::tap::bytes_of;

/// Datagrams taken in one turn, so that a flood of them leaves time for what else there is.
pub const TAKEN: usize = 256;
/// Bytes that may wait to be taken, if the machine allows as many: some hundreds of datagrams, as come to a
/// process that was halted for a second.
const WAITING: usize = 1 << 20;

pub struct DatagramDoor {
    pub socket: UdpSocket,
}

impl DatagramDoor {
    pub fn bind(address: SocketAddr) -> io::Result<DatagramDoor> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        // What the machine does not allow is cut to what it does.
        let _ = SockRef::from(&socket).set_recv_buffer_size(WAITING);
        Ok(DatagramDoor { socket })
    }

    /// The next that waits, read through the piece; None where none does.
    pub fn take(&self, piece: &mut [u8]) -> io::Result<Option<(Address, Bytes)>> {
        loop {
            match self.socket.recv_from(piece) {
                Ok((length, from)) => {
                    return Ok(Some((bytes_of(from), Bytes::copy_from_slice(&piece[..length]))));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether the machine took it; what it has no room for is lost, as on the way.
    pub fn send(&self, to: Address, bytes: &[u8]) -> bool {
        let to =
            SocketAddrV4::new(Ipv4Addr::new(to[0], to[1], to[2], to[3]), u16::from_be_bytes([to[4], to[5]]));
        self.socket.send_to(bytes, to).is_ok()
    }
}
