//! Messages between the endpoint list and its workers and routers.

use tideroute_wire::endpoint_list::{
    self, receive_from_caller, receive_from_list, EndpointStatus, List, Page, Router,
};
use tideroute_wire::{Address, Malformed, Micros};

use crate::{check, record, Recorder};

const WORKER: Address = [10, 0, 0, 7, 0x1f, 0x90];
const STARTED_AT: Micros = 1_700_000_000_000_000;

impl List for Recorder {
    fn watch(&mut self, known_version: u64) -> Result<(), Malformed> {
        record!(self, "watch", known_version);
        Ok(())
    }

    fn register(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: EndpointStatus,
        cell: u16,
        zone: u8,
        started_at: Micros,
    ) -> Result<(), Malformed> {
        record!(self, "register", worker, kind, size, status, cell, zone, started_at);
        Ok(())
    }
}

impl Router for Recorder {
    fn begin_update(&mut self, version: u64, is_full_snapshot: bool) -> Result<(), Malformed> {
        record!(self, "begin_update", version, is_full_snapshot);
        Ok(())
    }

    fn endpoint(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: EndpointStatus,
        cell: u16,
        zone: u8,
        started_at: Micros,
    ) -> Result<(), Malformed> {
        record!(self, "endpoint", worker, kind, size, status, cell, zone, started_at);
        Ok(())
    }
}

#[test]
fn messages_to_the_endpoint_list() {
    check(endpoint_list::watch(41), "12020829", receive_from_caller, &["watch(41)"]);
    let register = endpoint_list::register(WORKER, 2, 1.5, EndpointStatus::Draining, 300, 3, STARTED_AT);
    let calls = ["register([10, 0, 0, 7, 31, 144], 2, 1.5, Draining, 300, 3, 1700000000000000)"];
    check(
        register,
        "1a250a230a060a0000071f90100219000000000000f83f200228ac023003388080f9c0c1c48203",
        receive_from_caller,
        &calls,
    );
}

#[test]
fn an_update_of_the_endpoint_list() {
    let mut page = Page::new(42, true);
    page.add(WORKER, 2, 1.0, EndpointStatus::Serving, 300, 3, STARTED_AT);
    page.add(WORKER, 0, 0.5, EndpointStatus::Removed, 0, 0, 0);
    let calls = [
        "begin_update(42, true)",
        "endpoint([10, 0, 0, 7, 31, 144], 2, 1.0, Serving, 300, 3, 1700000000000000)",
        "endpoint([10, 0, 0, 7, 31, 144], 0, 0.5, Removed, 0, 0, 0)",
    ];
    check(
        page.frame(),
        "0a3c082a10011a230a060a0000071f90100219000000000000f03f200128ac023003388080f9c0c1c482031a110a060a\
        0000071f9019000000000000e03f",
        receive_from_list,
        &calls,
    );
}
