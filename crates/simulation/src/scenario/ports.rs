//! Free addresses for the processes of a scenario.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

use tideroute_config_language::records::Scenario;

use crate::process_configs::Ports;

/// Ports from here on are tried; below those that a machine gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Addresses for all processes, on a loopback address of this process's own: a worker that was killed finds its port
/// free when it comes back, as no connection and no other scenario can have taken it meanwhile.
pub fn free_ports(day: &Scenario, doors: usize) -> io::Result<Ports> {
    let (workers, process) = (day.workers().count(), std::process::id());
    let members = if day.membership { day.routers } else { 0 };
    let own = Ipv4Addr::new(127, 1 + (process >> 8) as u8 % 250, 1 + process as u8 % 250, 1);
    let count = 1 + day.routers + workers + members + doors;
    let mut names = Vec::new();
    for port in FIRST_PORT..u16::MAX {
        let at = SocketAddrV4::new(own, port);
        if TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok() {
            names.push(at.to_string());
        }
        if names.len() == count {
            break;
        }
    }
    if names.len() < count {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    }
    let doors = names.split_off(1 + day.routers + workers + members);
    let members = names.split_off(1 + day.routers + workers);
    let workers = names.split_off(1 + day.routers);
    let routers = names.split_off(1);
    Ok(Ports { list: names.remove(0), routers, workers, members, doors })
}
