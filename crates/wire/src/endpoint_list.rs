//! The conversations with the endpoint list: workers register, and routers watch it for changes.

use bytes::Bytes;
use prost::Message;

use crate::fields::{decode_address, decode_small, encode_address};
use crate::generated::{self, from_list, listing, to_list, FromList, ToList};
use crate::{Address, Malformed, Micros};

/// The status of an endpoint.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum EndpointStatus {
    /// The endpoint is no longer in the list.
    Removed,
    /// The worker accepts new requests.
    Serving,
    /// The worker finishes the requests that it has and accepts no new ones.
    Draining,
}

/// The messages that the endpoint list receives from routers and workers after their Hello.
pub trait List {
    /// A router watches for changes after `known_version`, the version of the list that it has; 0 if it has none.
    fn watch(&mut self, known_version: u64) -> Result<(), Malformed>;
    /// A worker registers its endpoint. `size` is its relative capacity, `started_at` the start
    /// time of its process; 0 if it started long ago.
    fn register(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: EndpointStatus,
        cell: u16,
        zone: u8,
        started_at: Micros,
    ) -> Result<(), Malformed>;
}

/// The messages that a router receives from the endpoint list: the beginning of an update, then each endpoint in it.
pub trait Router {
    /// An update to this version begins. A full snapshot replaces all endpoints that the router has.
    fn begin_update(&mut self, version: u64, is_full_snapshot: bool) -> Result<(), Malformed>;
    /// An endpoint in the update.
    fn endpoint(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: EndpointStatus,
        cell: u16,
        zone: u8,
        started_at: Micros,
    ) -> Result<(), Malformed>;
}

/// An endpoint whose fields have been validated.
struct Entry {
    worker: Address,
    kind: u16,
    size: f64,
    status: EndpointStatus,
    cell: u16,
    zone: u8,
    started_at: Micros,
}

impl Entry {
    fn decode(listing: &generated::Listing) -> Result<Entry, Malformed> {
        Ok(Entry {
            worker: decode_address("worker", &listing.worker)?,
            kind: decode_small("kind", listing.kind)?,
            size: decode_size(listing.size)?,
            status: decode_status(listing.standing)?,
            cell: decode_small("cell", listing.cell)?,
            zone: decode_small("zone", listing.zone)?,
            started_at: listing.started_us,
        })
    }

    fn encode(self) -> generated::Listing {
        let status = match self.status {
            EndpointStatus::Removed => listing::Standing::Gone,
            EndpointStatus::Serving => listing::Standing::Ready,
            EndpointStatus::Draining => listing::Standing::Draining,
        };
        generated::Listing {
            worker: encode_address(self.worker),
            kind: self.kind.into(),
            size: self.size,
            standing: status.into(),
            cell: self.cell.into(),
            zone: self.zone.into(),
            started_us: self.started_at,
        }
    }
}

fn decode_status(status: i32) -> Result<EndpointStatus, Malformed> {
    match listing::Standing::try_from(status) {
        Ok(listing::Standing::Gone) => Ok(EndpointStatus::Removed),
        Ok(listing::Standing::Ready) => Ok(EndpointStatus::Serving),
        Ok(listing::Standing::Draining) => Ok(EndpointStatus::Draining),
        Err(_) => Err(Malformed::Range("standing")),
    }
}

fn decode_size(size: f64) -> Result<f64, Malformed> {
    if size.is_finite() && size > 0.0 {
        Ok(size)
    } else {
        Err(Malformed::Range("size"))
    }
}

/// Decodes a frame from a router or worker and calls the method for its message.
pub fn receive_from_caller(frame: &Bytes, list: &mut impl List) -> Result<(), Malformed> {
    match ToList::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_list::Said::Hello(_) => Err(Malformed::Hello),
        to_list::Said::Watch(watch) => list.watch(watch.have),
        to_list::Said::Here(here) => {
            let listing = here.listing.ok_or(Malformed::Empty)?;
            let Entry { worker, kind, size, status, cell, zone, started_at } = Entry::decode(&listing)?;
            list.register(worker, kind, size, status, cell, zone, started_at)
        }
    }
}

/// Decodes a frame from the endpoint list and calls the methods for it. All endpoints are validated before the first
/// call, so that an update is applied completely or not at all.
pub fn receive_from_list(frame: &Bytes, router: &mut impl Router) -> Result<(), Malformed> {
    let from_list::Said::Page(page) = FromList::decode(frame.clone())?.said.ok_or(Malformed::Empty)?;
    let mut entries = Vec::with_capacity(page.listings.len());
    for listing in &page.listings {
        entries.push(Entry::decode(listing)?);
    }
    router.begin_update(page.version, page.whole)?;
    for Entry { worker, kind, size, status, cell, zone, started_at } in entries {
        router.endpoint(worker, kind, size, status, cell, zone, started_at)?;
    }
    Ok(())
}

/// Encodes the message that calls [`List::watch`].
pub fn watch(known_version: u64) -> Bytes {
    ToList { said: Some(to_list::Said::Watch(generated::Watch { have: known_version })) }
        .encode_to_vec()
        .into()
}

/// Encodes the message that calls [`List::register`].
pub fn register(
    worker: Address,
    kind: u16,
    size: f64,
    status: EndpointStatus,
    cell: u16,
    zone: u8,
    started_at: Micros,
) -> Bytes {
    let entry = Entry { worker, kind, size, status, cell, zone, started_at };
    let here = generated::Here { listing: Some(entry.encode()) };
    ToList { said: Some(to_list::Said::Here(here)) }.encode_to_vec().into()
}

/// An update of the endpoint list, built endpoint by endpoint.
pub struct Page(generated::Page);

impl Page {
    /// Creates an update to this version, without endpoints.
    pub fn new(version: u64, is_full_snapshot: bool) -> Page {
        Page(generated::Page { version, whole: is_full_snapshot, listings: vec![] })
    }

    /// Adds an endpoint to the update.
    pub fn add(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        status: EndpointStatus,
        cell: u16,
        zone: u8,
        started_at: Micros,
    ) {
        let entry = Entry { worker, kind, size, status, cell, zone, started_at };
        self.0.listings.push(entry.encode());
    }

    /// Encodes the message that calls [`Router::begin_update`], then [`Router::endpoint`] for each endpoint.
    pub fn frame(self) -> Bytes {
        FromList { said: Some(from_list::Said::Page(self.0)) }.encode_to_vec().into()
    }
}
