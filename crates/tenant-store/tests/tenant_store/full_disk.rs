//! The store on a disk that is full for some time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use redb::StorageBackend;
use tideroute_tenant_store::{Precondition, StoreError, TenantStore};

use crate::support::{tenant, weight};

/// A disk in memory on which `bytes_left` more bytes can be written.
#[derive(Debug, Clone)]
struct Disk {
    bytes: Arc<Mutex<Vec<u8>>>,
    bytes_left: Arc<Mutex<u64>>,
}

impl Disk {
    fn take_space(&self, length: usize) -> std::io::Result<()> {
        let mut bytes_left = self.bytes_left.lock().expect("no panic");
        *bytes_left = bytes_left.checked_sub(length as u64).ok_or(std::io::ErrorKind::StorageFull)?;
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.bytes.lock().expect("no panic").len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let bytes = self.bytes.lock().expect("no panic");
        out.copy_from_slice(&bytes[offset as usize..offset as usize + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        let mut bytes = self.bytes.lock().expect("no panic");
        self.take_space((len as usize).saturating_sub(bytes.len()))?;
        bytes.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.take_space(data.len())?;
        let mut bytes = self.bytes.lock().expect("no panic");
        bytes[offset as usize..offset as usize + data.len()].copy_from_slice(data);
        Ok(())
    }
}

/// Fills the disk during changes, at many capacities, so that writes fail at different steps of a transaction. Only the
/// unconfirmed change may be lost, and the file must open again.
#[test]
fn a_full_disk_fails_changes_and_loses_no_confirmed_one() {
    for capacity in (60_000..900_000).step_by(20_000) {
        let disk = Disk { bytes: Arc::default(), bytes_left: Arc::new(Mutex::new(1 << 30)) };
        let mut confirmed = BTreeMap::new();
        {
            let store = TenantStore::with_backend(disk.clone()).expect("it opens");
            *disk.bytes_left.lock().expect("no panic") = capacity;
            let error = (0..2_000).find_map(|n| {
                let name = format!("t{}", n % 20);
                let tenant = tenant(f64::from(n));
                let precondition = store
                    .get(&name)
                    .ok()?
                    .map_or(Precondition::Absent, |revision| Precondition::Version(revision.version));
                match store.change(1, "ann", &name, precondition, Some(tenant)) {
                    Ok(revision) => {
                        confirmed.insert(name, revision);
                        None
                    }
                    Err(error) => Some(error),
                }
            });
            assert!(matches!(error, Some(StoreError::Database(_)) | None), "{error:?}");
        }
        *disk.bytes_left.lock().expect("no panic") = 1 << 30;
        let store = TenantStore::with_backend(disk).expect("it opens when the disk has space again");
        for (name, revision) in &confirmed {
            let stored = store.get(name).expect("read").expect("a confirmed tenant is stored");
            assert!(stored.version >= revision.version, "{name}: version {} was confirmed", revision.version);
        }
        store.change(1, "ann", "after", Precondition::Absent, Some(tenant(1.0))).expect("changes work again");
    }
}

/// The database refuses all calls after an I/O error until it is reopened. The store reopens it, so once the disk has
/// space again the same store works again, with all confirmed changes.
#[test]
fn the_store_works_again_once_the_disk_has_space() {
    for capacity in (0..200_000).step_by(10_000) {
        let disk = Disk { bytes: Arc::default(), bytes_left: Arc::new(Mutex::new(1 << 30)) };
        let reopened = disk.clone();
        let store = TenantStore::with_reopenable_backend(move || reopened.clone()).expect("it opens");
        store
            .change(1, "ann", "before", Precondition::Absent, Some(tenant(1.0)))
            .expect("the disk has space");
        for round in 0..3 {
            *disk.bytes_left.lock().expect("no panic") = capacity;
            let error = (0..400).find_map(|n| {
                let name = format!("t{round}-{n}");
                store.change(1, "ann", &name, Precondition::Absent, Some(tenant(1.0))).err()
            });
            assert!(matches!(error, Some(StoreError::Database(_))), "capacity {capacity}: {error:?}");
            *disk.bytes_left.lock().expect("no panic") = 1 << 30;
            assert_eq!(weight(&store, "before"), 1.0);
            let name = format!("after-{round}");
            store
                .change(1, "ann", &name, Precondition::Absent, Some(tenant(2.0)))
                .expect("changes work again");
        }
        let names = store.list("", 1_000).expect("read");
        assert!(names.iter().filter(|entry| entry.name.starts_with("after")).count() == 3);
    }
}
