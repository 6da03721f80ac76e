//! The list of workers: workers say that they run, routers are told what changed.

use bytes::Bytes;
use prost::Message;

use crate::made::{self, from_list, listing, to_list, FromList, ToList};
use crate::{address, bytes_of, Address, Malformed, Micros};

#[derive(Clone, Copy, PartialEq, Eq, Debug, Hash)]
pub enum EndpointStatus {
    Removed,
    Serving,
    Draining,
}

/// What the list hears from routers and workers after their Hello.
pub trait List {
    fn watch(&mut self, have: u64) -> Result<(), Malformed>;
    fn register(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        standing: EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) -> Result<(), Malformed>;
}

/// What a router hears from the list: a page, then its entries.
pub trait Router {
    fn begin_update(&mut self, version: u64, whole: bool) -> Result<(), Malformed>;
    fn endpoint(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        standing: EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) -> Result<(), Malformed>;
}

fn standing(code: i32) -> Result<EndpointStatus, Malformed> {
    match listing::Standing::try_from(code) {
        Ok(listing::Standing::Gone) => Ok(EndpointStatus::Removed),
        Ok(listing::Standing::Ready) => Ok(EndpointStatus::Serving),
        Ok(listing::Standing::Draining) => Ok(EndpointStatus::Draining),
        Err(_) => Err(Malformed::Range("standing")),
    }
}

fn size(size: f64) -> Result<f64, Malformed> {
    (size.is_finite() && size > 0.0).then_some(size).ok_or(Malformed::Range("size"))
}

/// Takes one frame from a router or worker and makes the call that it stands for.
pub fn receive_from_caller(frame: &Bytes, list: &mut impl List) -> Result<(), Malformed> {
    match ToList::decode(frame.clone())?.said.ok_or(Malformed::Empty)? {
        to_list::Said::Hello(_) => Err(Malformed::Hello),
        to_list::Said::Watch(w) => list.watch(w.have),
        to_list::Said::Here(h) => {
            let l = h.listing.ok_or(Malformed::Empty)?;
            list.register(
                address("worker", &l.worker)?,
                crate::small("kind", l.kind)?,
                size(l.size)?,
                standing(l.standing)?,
                crate::small("cell", l.cell)?,
                crate::small("zone", l.zone)?,
                l.started_us,
            )
        }
    }
}

/// Takes one frame from the list and makes the calls that it stands for. All entries are checked first, so
/// that a page is taken whole or not at all.
pub fn receive_from_list(frame: &Bytes, router: &mut impl Router) -> Result<(), Malformed> {
    let from_list::Said::Page(page) = FromList::decode(frame.clone())?.said.ok_or(Malformed::Empty)?;
    let mut entries = Vec::with_capacity(page.listings.len());
    for l in &page.listings {
        let worker = address("worker", &l.worker)?;
        let (cell, zone) = (crate::small("cell", l.cell)?, crate::small("zone", l.zone)?);
        entries.push((
            worker,
            crate::small("kind", l.kind)?,
            size(l.size)?,
            standing(l.standing)?,
            cell,
            zone,
        ));
    }
    router.begin_update(page.version, page.whole)?;
    for ((worker, kind, size, standing, cell, zone), l) in entries.into_iter().zip(&page.listings) {
        router.endpoint(worker, kind, size, standing, cell, zone, l.started_us)?;
    }
    Ok(())
}

pub fn watch(have: u64) -> Bytes {
    ToList { said: Some(to_list::Said::Watch(made::Watch { have })) }.encode_to_vec().into()
}

pub fn register(
    worker: Address,
    kind: u16,
    size: f64,
    standing: EndpointStatus,
    cell: u16,
    zone: u8,
    started: Micros,
) -> Bytes {
    let listing = Some(entry(worker, kind, size, standing, cell, zone, started));
    ToList { said: Some(to_list::Said::Here(made::Here { listing })) }.encode_to_vec().into()
}

/// A page that is filled entry by entry and then sent.
pub struct Page(made::Page);

impl Page {
    pub fn new(version: u64, whole: bool) -> Page {
        Page(made::Page { version, whole, listings: vec![] })
    }

    pub fn add(
        &mut self,
        worker: Address,
        kind: u16,
        size: f64,
        standing: EndpointStatus,
        cell: u16,
        zone: u8,
        started: Micros,
    ) {
        self.0.listings.push(entry(worker, kind, size, standing, cell, zone, started));
    }

    pub fn frame(self) -> Bytes {
        FromList { said: Some(from_list::Said::Page(self.0)) }.encode_to_vec().into()
    }
}

fn entry(
    worker: Address,
    kind: u16,
    size: f64,
    standing: EndpointStatus,
    cell: u16,
    zone: u8,
    started: Micros,
) -> made::Listing {
    let standing = match standing {
        EndpointStatus::Removed => listing::Standing::Gone,
        EndpointStatus::Serving => listing::Standing::Ready,
        EndpointStatus::Draining => listing::Standing::Draining,
    };
    made::Listing {
        worker: bytes_of(Some(worker)),
        kind: kind.into(),
        size,
        standing: standing.into(),
        cell: cell.into(),
        zone: zone.into(),
        started_us: started,
    }
}
