//! What stands around a datagram: a version, a tag of the fleet, and a MAC (keyed BLAKE3, 128 bits) of the rest.

use bytes::Bytes;

const VERSION: u8 = 1;
const TAG: usize = 4;
const MAC: usize = 16;
/// What the fleet's key is made for, as BLAKE3 wants it told.
const PURPOSE: &str = "tideroute 2026-12 datagrams within a fleet";

/// The key of one fleet. Who has it may say anything in any router's name; nothing else may.
#[derive(Clone)]
pub struct Seal {
    key: [u8; 32],
    tag: [u8; TAG],
}

/// Why a datagram was not opened.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Unsealed {
    /// Too short, or of another version.
    Stranger,
    /// Of another fleet.
    OtherFleet,
    /// Its MAC is wrong: changed on its way, or made without the key.
    Forged,
}

impl Unsealed {
    pub fn name(self) -> &'static str {
        match self {
            Unsealed::Stranger => "stranger",
            Unsealed::OtherFleet => "other fleet",
            Unsealed::Forged => "forged",
        }
    }
}

impl Seal {
    /// Bytes that it adds.
    pub const AROUND: usize = 1 + TAG + MAC;

    pub fn new(fleet: &str, key: &[u8; 32]) -> Seal {
        let named = [key.as_slice(), fleet.as_bytes()].concat();
        let tag = *blake3::hash(fleet.as_bytes()).as_bytes();
        Seal { key: blake3::derive_key(PURPOSE, &named), tag: [tag[0], tag[1], tag[2], tag[3]] }
    }

    fn mac(&self, said: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.key, said)
    }

    pub fn close(&self, said: &[u8]) -> Bytes {
        let mac = self.mac(said);
        [&[VERSION], &self.tag[..], &mac.as_bytes()[..MAC], said].concat().into()
    }

    pub fn open(&self, datagram: &Bytes) -> Result<Bytes, Unsealed> {
        if datagram.len() < Self::AROUND || datagram[0] != VERSION {
            return Err(Unsealed::Stranger);
        }
        if datagram[1..=TAG] != self.tag {
            return Err(Unsealed::OtherFleet);
        }
        let said = datagram.slice(Self::AROUND..);
        let mut told = *self.mac(&said).as_bytes();
        told[..MAC].copy_from_slice(&datagram[1 + TAG..Self::AROUND]);
        // Compared in constant time, as the hash's own equality does.
        if blake3::Hash::from_bytes(told) == self.mac(&said) {
            Ok(said)
        } else {
            Err(Unsealed::Forged)
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_what_the_same_fleet_sealed_is_opened_and_any_bit_counts() {
        let (ours, key) = (Seal::new("harbour", &[7; 32]), [7; 32]);
        let closed = ours.close(b"word");
        assert_eq!(ours.open(&closed).as_deref(), Ok(&b"word"[..]));
        assert_eq!(Seal::new("other", &key).open(&closed), Err(Unsealed::OtherFleet));
        assert_eq!(Seal::new("harbour", &[8; 32]).open(&closed), Err(Unsealed::Forged));
        for bit in 0..closed.len() * 8 {
            let mut changed = closed.to_vec();
            changed[bit / 8] ^= 1 << (bit % 8);
            assert!(ours.open(&changed.into()).is_err(), "bit {bit}");
        }
        for length in 0..closed.len() {
            assert!(ours.open(&closed.slice(..length)).is_err(), "{length} bytes");
        }
    }
}
