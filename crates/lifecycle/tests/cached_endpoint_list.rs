//! Guards the stored format of the endpoint list, which a router persists and reads at its next start: a change of the
//! format would leave a router without endpoints after an upgrade.

mod support;

use bytes::Bytes;
use support::config;
use tideroute_lifecycle::ProtobufRouter;
use tideroute_wire::endpoint_list::{self, EndpointStatus, Router};
use tideroute_wire::event_loop::{Effect, Effects, EventHandler};
use tideroute_wire::{Address, Malformed, Micros};

/// Written by the version before the packages were renamed (b50f039), from a full snapshot and an update that removed one
/// endpoint and added another.
const WRITTEN_BY_OLD_VERSION: &[u8] = include_bytes!("fixtures/endpoint_list_b50f039.bin");

/// Time of the router's start, some time after the list was written, in microseconds.
const START: Micros = 1_700_000_060_000_000;

#[derive(PartialEq, Debug)]
struct Entry {
    worker: Address,
    kind: u16,
    size: f64,
    status: EndpointStatus,
    cell: u16,
    zone: u8,
    start_time: Micros,
}

#[derive(Default)]
struct ListReader {
    version: u64,
    full_snapshot: bool,
    entries: Vec<Entry>,
}

impl Router for ListReader {
    fn begin_update(&mut self, version: u64, full_snapshot: bool) -> Result<(), Malformed> {
        self.version = version;
        self.full_snapshot = full_snapshot;
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
        start_time: Micros,
    ) -> Result<(), Malformed> {
        self.entries.push(Entry { worker, kind, size, status, cell, zone, start_time });
        Ok(())
    }
}

fn read(list: &Bytes) -> ListReader {
    let mut reader = ListReader::default();
    endpoint_list::receive_from_list(list, &mut reader).expect("list should be readable");
    reader
}

/// The entries that the old version wrote.
fn expected_entries() -> Vec<Entry> {
    let entry = |host: u8, kind, size, status, (cell, zone), start_time| Entry {
        worker: [10, 0, 1, host, 31, 144],
        kind,
        size,
        status,
        cell,
        zone,
        start_time,
    };
    vec![
        entry(0, 0, 1.0, EndpointStatus::Serving, (3, 1), 1_699_999_910_000_000),
        entry(1, 0, 0.5, EndpointStatus::Draining, (3, 1), 1_699_992_800_000_000),
        entry(2, 1, 2.25, EndpointStatus::Serving, (4, 2), 0),
        entry(4, 1, 1.0, EndpointStatus::Serving, (65_535, 255), 1_700_000_001_500_000),
    ]
}

/// Starts a router from a cached list, and sends it an update that only changes the version. Returns the list that the
/// router then persists.
fn restart(cached: &'static [u8]) -> Bytes {
    let mut router = ProtobufRouter::new(config(), Some(Bytes::from_static(cached)), START);
    let mut effects = Effects::default();
    router.on_start(START, &mut effects);
    let discovery = effects.take().into_iter().find_map(|effect| match effect {
        Effect::Connect { connection, to, .. } if to == support::DISCOVERY => Some(connection),
        _ => None,
    });
    let update = endpoint_list::Page::new(43, false).frame();
    let discovery = discovery.expect("router should connect to discovery");
    router.on_data(START, discovery, &update, &mut effects);
    router.on_iteration(START, &mut effects);
    let persisted = effects.take().into_iter().find_map(|effect| match effect {
        Effect::Persist { bytes } => Some(bytes),
        _ => None,
    });
    persisted.expect("router should persist the list")
}

#[test]
fn list_written_by_the_old_version_has_its_endpoints() {
    let list = read(&Bytes::from_static(WRITTEN_BY_OLD_VERSION));
    assert_eq!((list.version, list.full_snapshot), (42, true));
    assert_eq!(list.entries, expected_entries());
}

#[test]
fn router_starts_from_a_list_written_by_the_old_version() {
    let list = read(&restart(WRITTEN_BY_OLD_VERSION));
    assert_eq!((list.version, list.full_snapshot), (43, true));
    assert_eq!(list.entries, expected_entries());
}

#[test]
fn unreadable_cached_list_leaves_the_router_without_endpoints() {
    let list = read(&restart(b"no list"));
    assert_eq!(list.entries, []);
}
