//! Finds free addresses for the processes of a scenario.

use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};

use tideroute_config_language::records::Scenario;

use crate::process_configs::ProcessAddresses;

/// Lowest port that is tried; it lies below the ports that the operating system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Returns addresses for all processes, on a loopback address that only this process uses: the port of a killed worker is
/// still free when the worker restarts, because no connection and no other scenario can have taken it.
pub fn free_addresses(scenario: &Scenario, relay_listeners: usize) -> io::Result<ProcessAddresses> {
    let (workers, process_id) = (scenario.workers().count(), std::process::id());
    let members = if scenario.membership { scenario.routers } else { 0 };
    let loopback_address =
        Ipv4Addr::new(127, 1 + (process_id >> 8) as u8 % 250, 1 + process_id as u8 % 250, 1);
    let count = 1 + scenario.routers + workers + members + relay_listeners;
    let mut addresses = Vec::new();
    for port in FIRST_PORT..u16::MAX {
        let address = SocketAddrV4::new(loopback_address, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            addresses.push(address.to_string());
        }
        if addresses.len() == count {
            break;
        }
    }
    if addresses.len() < count {
        return Err(io::ErrorKind::AddrNotAvailable.into());
    }
    let relay_listeners = addresses.split_off(1 + scenario.routers + workers + members);
    let members = addresses.split_off(1 + scenario.routers + workers);
    let workers = addresses.split_off(1 + scenario.routers);
    let routers = addresses.split_off(1);
    Ok(ProcessAddresses { discovery: addresses.remove(0), routers, workers, members, relay_listeners })
}
