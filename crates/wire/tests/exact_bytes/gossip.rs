//! Datagrams between the members of a cluster.

use bytes::Bytes;
use tideroute_wire::gossip::{self, GossipHandler, GossipMessage, MemberStatus, PARTS};
use tideroute_wire::{Address, Malformed};

use crate::{check, record, Recorder};

const ADDRESS: Address = [10, 0, 0, 7, 0x1f, 0x90];
const SENDER: &str = "sender(\"r1\", [10, 0, 0, 7, 31, 144], 5, Alive)";

impl GossipHandler for Recorder {
    fn sender(&mut self, name: &str, address: Address, incarnation: u64, status: MemberStatus) {
        record!(self, "sender", name, address, incarnation, status);
    }

    fn claim(
        &mut self,
        name: &str,
        address: Address,
        incarnation: u64,
        status: MemberStatus,
        suspecter: u32,
        in_page: bool,
    ) {
        record!(self, "claim", name, address, incarnation, status, suspecter, in_page);
    }

    fn ping(&mut self, number: u32) {
        record!(self, "ping", number);
    }

    fn ack(&mut self, number: u32) {
        record!(self, "ack", number);
    }

    fn nack(&mut self, number: u32) {
        record!(self, "nack", number);
    }

    fn ping_request(&mut self, number: u32, name: &str, address: Address) {
        record!(self, "ping_request", number, name, address);
    }

    fn digest(&mut self, number: u32, digests: &[u64]) {
        record!(self, "digest", number, digests.len(), digests[PARTS - 1]);
    }

    fn page(&mut self, number: u32, page: u32, pages: u32, digests: &[u64], health: u32) {
        record!(self, "page", number, page, pages, digests.len(), health);
    }
}

fn message() -> GossipMessage {
    GossipMessage::new(Some(("r1", ADDRESS, 5, MemberStatus::Alive)), 40)
}

fn receive(datagram: &Bytes, recorder: &mut Recorder) -> Result<(), Malformed> {
    gossip::receive(datagram, recorder)
}

#[test]
fn claims_of_every_status() {
    let mut message = message();
    for (suspecter, status) in
        [MemberStatus::Alive, MemberStatus::Suspected, MemberStatus::Dead, MemberStatus::Left]
            .into_iter()
            .enumerate()
    {
        assert!(message.claim("r2", ADDRESS, 9, status, suspecter as u32));
    }
    let calls = [
        SENDER,
        "claim(\"r2\", [10, 0, 0, 7, 31, 144], 9, Alive, 0, false)",
        "claim(\"r2\", [10, 0, 0, 7, 31, 144], 9, Suspected, 1, false)",
        "claim(\"r2\", [10, 0, 0, 7, 31, 144], 9, Dead, 2, false)",
        "claim(\"r2\", [10, 0, 0, 7, 31, 144], 9, Left, 3, false)",
    ];
    check(
        message.plain(),
        "0a100a02723112060a0000071f901805200112100a02723212060a0000071f901809200112150a02723212060a000007\
        1f90180920022d0100000012150a02723212060a0000071f90180920032d0200000012150a02723212060a0000071f90\
        180920042d03000000",
        receive,
        &calls,
    );
}

#[test]
fn pings_and_their_answers() {
    check(
        message().ping(300),
        "0a100a02723112060a0000071f90180520011a0308ac02",
        receive,
        &[SENDER, "ping(300)"],
    );
    check(
        message().ack(300),
        "0a100a02723112060a0000071f9018052001220308ac02",
        receive,
        &[SENDER, "ack(300)"],
    );
    check(
        message().nack(300),
        "0a100a02723112060a0000071f90180520012a0308ac02",
        receive,
        &[SENDER, "nack(300)"],
    );
    let request = message().ping_request(300, "r2", ADDRESS);
    let calls = [SENDER, "ping_request(300, \"r2\", [10, 0, 0, 7, 31, 144])"];
    check(
        request,
        "0a100a02723112060a0000071f9018052001321308ac02120e0a02723212060a0000071f902001",
        receive,
        &calls,
    );
}

#[test]
fn digests_and_pages_of_full_exchanges() {
    let digest = message().digest(300, std::array::from_fn(|part| part as u64));
    check(
        digest,
        "0a100a02723112060a0000071f90180520013a860208ac02128002000000000000000001000000000000000200000000\
        000000030000000000000004000000000000000500000000000000060000000000000007000000000000000800000000\
        00000009000000000000000a000000000000000b000000000000000c000000000000000d000000000000000e00000000\
        0000000f0000000000000010000000000000001100000000000000120000000000000013000000000000001400000000\
        000000150000000000000016000000000000001700000000000000180000000000000019000000000000001a00000000\
        0000001b000000000000001c000000000000001d000000000000001e000000000000001f00000000000000",
        receive,
        &[SENDER, "digest(300, 32, 31)"],
    );
    let page = message().page(300, 1, 2, None, 3);
    check(
        page,
        "0a100a02723112060a0000071f9018052001420908ac02100118022803",
        receive,
        &[SENDER, "page(300, 1, 2, 0, 3)"],
    );
    let page_of_an_observer = GossipMessage::new(None, 40).page(1, 0, 1, Some([0xff; PARTS]), 0);
    check(
        page_of_an_observer,
        "42870208011801228002ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff0000000000\
        0000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff0000000000\
        0000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff0000000000\
        0000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff0000000000\
        0000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff00000000000000ff0000000000\
        0000ff00000000000000ff00000000000000ff00000000000000",
        receive,
        &["page(1, 0, 1, 32, 0)"],
    );
}
