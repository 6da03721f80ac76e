//! The clients that are connected.

use std::collections::{BTreeMap, HashMap};

use tideroute::types::RequestId;
use tideroute_wire::link::Link;

#[derive(Default)]
pub struct Client {
    /// Its open submissions by its own numbers, in order, so that what follows a loss is the same each time.
    pub open: BTreeMap<u64, RequestId>,
    /// The highest number it has used: each must be higher than the last.
    pub last: Option<u64>,
    /// It does not read what is sent: its streams get no more tokens from their workers until it does.
    pub crowded: bool,
    /// The hash of the key that it showed, where there are tenants.
    pub key: Option<[u8; 32]>,
}

#[derive(Default)]
pub struct Clients {
    /// None until it has said Hello.
    links: HashMap<Link, Option<Client>>,
}

impl Clients {
    pub fn accepted(&mut self, link: Link) {
        self.links.insert(link, None);
    }

    /// Whether the link is a client's or may become one's.
    pub fn knows(&self, link: Link) -> bool {
        self.links.contains_key(&link)
    }

    pub fn greeted(&mut self, link: Link, key: Option<[u8; 32]>) {
        self.links.insert(link, Some(Client { key, ..Client::default() }));
    }

    pub fn is_silent(&self, link: Link) -> bool {
        matches!(self.links.get(&link), Some(None))
    }

    pub fn get_mut(&mut self, link: Link) -> Option<&mut Client> {
        self.links.get_mut(&link)?.as_mut()
    }

    pub fn lose(&mut self, link: Link) -> Option<Client> {
        self.links.remove(&link)?
    }

    pub fn len(&self) -> usize {
        self.links.len()
    }
}
