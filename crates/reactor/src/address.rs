//! Converts between socket addresses and the addresses of the wire protocol.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use tideroute_wire::Address;

/// Returns the wire form of a socket address; the IP of an IPv6 address is encoded as zero.
pub(crate) fn encode(address: SocketAddr) -> Address {
    let port = address.port().to_be_bytes();
    match address {
        SocketAddr::V4(address) => {
            let ip = address.ip().octets();
            [ip[0], ip[1], ip[2], ip[3], port[0], port[1]]
        }
        SocketAddr::V6(_) => [0, 0, 0, 0, port[0], port[1]],
    }
}

/// Returns the socket address of an address in wire form.
pub(crate) fn decode(address: Address) -> SocketAddr {
    let [a, b, c, d, port_high, port_low] = address;
    let port = u16::from_be_bytes([port_high, port_low]);
    SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port))
}
