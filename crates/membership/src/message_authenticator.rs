//! Authentication of datagrams. Each begins with a format version, a tag of the cluster, and a MAC (keyed BLAKE3, 128
//! bits) of the message.

use bytes::Bytes;

/// Version of the datagram format.
const VERSION: u8 = 1;

/// Length of the cluster's tag in bytes.
const TAG_LENGTH: usize = 4;

/// Length of the MAC in bytes.
const MAC_LENGTH: usize = 16;

/// Context string of the BLAKE3 key derivation. It is part of the wire format, as a different context gives different
/// MACs.
const KEY_CONTEXT: &str = "tideroute 2026-12 datagrams within a fleet";

/// Signs and verifies the datagrams of one cluster. Any holder of the cluster's key can send any message in the name
/// of any member; a process without the key cannot send any.
#[derive(Clone)]
pub struct MessageAuthenticator {
    key: [u8; 32],
    tag: [u8; TAG_LENGTH],
}

/// The reason why a datagram failed verification.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum AuthError {
    /// The datagram is too short, or its format has another version.
    #[error("datagram is too short or has an unknown format version")]
    UnknownFormat,
    /// The datagram belongs to another cluster.
    #[error("datagram belongs to another cluster")]
    OtherCluster,
    /// The MAC of the datagram is wrong: it was changed on its way, or its sender does not have the key.
    #[error("datagram has a wrong MAC")]
    WrongMac,
}

impl AuthError {
    /// Returns the value of the `reason` label of the metric that counts dropped datagrams.
    pub fn metric_label(self) -> &'static str {
        match self {
            AuthError::UnknownFormat => "unknown-format",
            AuthError::OtherCluster => "other-fleet",
            AuthError::WrongMac => "wrong-mac",
        }
    }
}

impl MessageAuthenticator {
    /// Number of bytes that authentication adds to a message.
    pub const OVERHEAD: usize = 1 + TAG_LENGTH + MAC_LENGTH;

    /// Creates an authenticator for the cluster with this name and key.
    pub fn new(cluster: &str, key: &[u8; 32]) -> MessageAuthenticator {
        let key_material = [key.as_slice(), cluster.as_bytes()].concat();
        let cluster_hash = *blake3::hash(cluster.as_bytes()).as_bytes();
        MessageAuthenticator {
            key: blake3::derive_key(KEY_CONTEXT, &key_material),
            tag: std::array::from_fn(|index| cluster_hash[index]),
        }
    }

    fn mac(&self, message: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.key, message)
    }

    /// Returns the datagram that carries a message.
    pub fn sign(&self, message: &[u8]) -> Bytes {
        let mac = self.mac(message);
        [&[VERSION], &self.tag[..], &mac.as_bytes()[..MAC_LENGTH], message].concat().into()
    }

    /// Returns the message of a datagram if the datagram is authentic.
    pub fn verify(&self, datagram: &Bytes) -> Result<Bytes, AuthError> {
        if datagram.len() < Self::OVERHEAD || datagram[0] != VERSION {
            return Err(AuthError::UnknownFormat);
        }
        if datagram[1..=TAG_LENGTH] != self.tag {
            return Err(AuthError::OtherCluster);
        }
        let message = datagram.slice(Self::OVERHEAD..);
        let expected = self.mac(&message);
        let mut received = *expected.as_bytes();
        received[..MAC_LENGTH].copy_from_slice(&datagram[1 + TAG_LENGTH..Self::OVERHEAD]);
        // Comparing blake3::Hash values takes constant time.
        if blake3::Hash::from_bytes(received) == expected {
            Ok(message)
        } else {
            Err(AuthError::WrongMac)
        }
    }
}
