//! Authentication of datagrams: a version, a tag of the fleet, and a MAC (keyed BLAKE3, 128 bits) of the message.

use bytes::Bytes;

/// Version of the datagram format.
const VERSION: u8 = 1;

/// Bytes of the fleet's tag.
const TAG_LENGTH: usize = 4;

/// Bytes of the MAC.
const MAC_LENGTH: usize = 16;

/// Context of the key derivation, as BLAKE3 requires it. Part of the wire format: another context gives other MACs.
const KEY_CONTEXT: &str = "tideroute 2026-12 datagrams within a fleet";

/// Signs and verifies the datagrams of one fleet. Whoever has the fleet's key can send any message in any member's name;
/// nobody else can.
#[derive(Clone)]
pub struct MessageAuthenticator {
    key: [u8; 32],
    tag: [u8; TAG_LENGTH],
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum AuthError {
    /// Too short, or of another version.
    #[error("the datagram is too short or has another version")]
    UnknownFormat,
    /// Of another fleet.
    #[error("the datagram is of another fleet")]
    OtherFleet,
    /// Its MAC is wrong: it was changed on its way, or made without the key.
    #[error("the datagram's MAC is wrong")]
    WrongMac,
}

impl AuthError {
    /// Value of the metric's label.
    pub fn metric_label(self) -> &'static str {
        match self {
            AuthError::UnknownFormat => "unknown-format",
            AuthError::OtherFleet => "other-fleet",
            AuthError::WrongMac => "wrong-mac",
        }
    }
}

impl MessageAuthenticator {
    /// Bytes that authentication adds to a message.
    pub const OVERHEAD: usize = 1 + TAG_LENGTH + MAC_LENGTH;

    /// For a fleet of this name and key.
    pub fn new(fleet: &str, key: &[u8; 32]) -> MessageAuthenticator {
        let key_material = [key.as_slice(), fleet.as_bytes()].concat();
        let fleet_hash = *blake3::hash(fleet.as_bytes()).as_bytes();
        MessageAuthenticator {
            key: blake3::derive_key(KEY_CONTEXT, &key_material),
            tag: std::array::from_fn(|n| fleet_hash[n]),
        }
    }

    fn mac(&self, message: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.key, message)
    }

    /// The datagram of a message.
    pub fn sign(&self, message: &[u8]) -> Bytes {
        let mac = self.mac(message);
        [&[VERSION], &self.tag[..], &mac.as_bytes()[..MAC_LENGTH], message].concat().into()
    }

    /// The message of a datagram, if the datagram is authentic.
    pub fn verify(&self, datagram: &Bytes) -> Result<Bytes, AuthError> {
        if datagram.len() < Self::OVERHEAD || datagram[0] != VERSION {
            return Err(AuthError::UnknownFormat);
        }
        if datagram[1..=TAG_LENGTH] != self.tag {
            return Err(AuthError::OtherFleet);
        }
        let message = datagram.slice(Self::OVERHEAD..);
        let expected = self.mac(&message);
        let mut received = *expected.as_bytes();
        received[..MAC_LENGTH].copy_from_slice(&datagram[1 + TAG_LENGTH..Self::OVERHEAD]);
        // The equality of blake3::Hash takes constant time.
        if blake3::Hash::from_bytes(received) == expected {
            Ok(message)
        } else {
            Err(AuthError::WrongMac)
        }
    }
}
