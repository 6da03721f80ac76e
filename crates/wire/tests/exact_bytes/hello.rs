//! The Hello, the first message of a connection.

use tideroute_wire::{first, origin_of, say_hello, say_hello_with, say_router, Origin, Party};

use crate::{from_hex, to_hex};

const ORIGIN: Origin = 0x0123_4567_89ab_cdef_0123_4567_89ab_cdef;

#[test]
fn hello_of_each_party() {
    assert_eq!(to_hex(&say_hello(Party::Client, "c1")), "0a080801120263311802");
    assert_eq!(to_hex(&say_hello(Party::Worker, "w1")), "0a080803120277311802");
    let expected = "0a1008011202633118022206736563726574";
    assert_eq!(to_hex(&say_hello_with(Party::Client, "c1", b"secret")), expected);
    let (party, name, key) = first(&from_hex(expected)).expect("a hello");
    assert_eq!((party, name.as_str(), &key[..]), (Party::Client, "c1", &b"secret"[..]));
}

#[test]
fn hello_of_a_router_names_its_origin() {
    let expected = "0a1a08021202723118022a100123456789abcdef0123456789abcdef";
    assert_eq!(to_hex(&say_router("r1", ORIGIN)), expected);
    assert_eq!(first(&from_hex(expected)).expect("a hello").0, Party::Router);
    assert_eq!(origin_of(&from_hex(expected)), Ok(ORIGIN));
}
