//! Only unchanged datagrams of the same cluster are accepted.

use tideroute_membership::{AuthError, MessageAuthenticator};

#[test]
fn only_unchanged_datagrams_of_the_same_cluster_are_accepted() {
    let key = [7; 32];
    let authenticator = MessageAuthenticator::new("harbour", &[7; 32]);
    let datagram = authenticator.sign(b"word");
    assert_eq!(authenticator.verify(&datagram).as_deref(), Ok(&b"word"[..]));
    assert_eq!(MessageAuthenticator::new("other", &key).verify(&datagram), Err(AuthError::OtherCluster));
    let other_key = MessageAuthenticator::new("harbour", &[8; 32]);
    assert_eq!(other_key.verify(&datagram), Err(AuthError::WrongMac));
    for bit in 0..datagram.len() * 8 {
        let mut changed = datagram.to_vec();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert!(authenticator.verify(&changed.into()).is_err(), "bit {bit}");
    }
    for length in 0..datagram.len() {
        assert!(authenticator.verify(&datagram.slice(..length)).is_err(), "{length} bytes");
    }
}
