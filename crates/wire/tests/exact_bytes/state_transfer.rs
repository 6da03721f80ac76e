//! Messages between a decode worker that fetches KV state and the prefill worker that has it.

use bytes::Bytes;
use tideroute_wire::state_transfer::{self, receive_from_fetcher, receive_from_source, Fetcher, Reader};
use tideroute_wire::{GlobalRequestId, Malformed};

use crate::{check, record, Recorder};

const ID: GlobalRequestId =
    GlobalRequestId { origin: 0x0123_4567_89ab_cdef_0123_4567_89ab_cdef, local_id: 300 };
const ID_TEXT: &str = "GlobalRequestId { origin: 1512366075204170929049582354406559215, local_id: 300 }";

impl Reader for Recorder {
    fn fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        record!(self, "fetch", id);
        Ok(())
    }

    fn fetched(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        record!(self, "fetched", id);
        Ok(())
    }

    fn cancel_fetch(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        record!(self, "cancel_fetch", id);
        Ok(())
    }
}

impl Fetcher for Recorder {
    fn chunk(&mut self, id: GlobalRequestId, offset: u64, data: Bytes, crc: u32) -> Result<(), Malformed> {
        record!(self, "chunk", id, offset, data, crc);
        Ok(())
    }

    fn complete(&mut self, id: GlobalRequestId, state_bytes: u64, crc: u32) -> Result<(), Malformed> {
        record!(self, "complete", id, state_bytes, crc);
        Ok(())
    }

    fn missing(&mut self, id: GlobalRequestId) -> Result<(), Malformed> {
        record!(self, "missing", id);
        Ok(())
    }
}

#[test]
fn messages_of_the_decode_worker() {
    let fetch = state_transfer::fetch(ID);
    check(
        fetch,
        "121508ac0212100123456789abcdef0123456789abcdef",
        receive_from_fetcher,
        &[&format!("fetch({ID_TEXT})")],
    );
    let fetched = state_transfer::fetched(ID);
    check(
        fetched,
        "1a1508ac0212100123456789abcdef0123456789abcdef",
        receive_from_fetcher,
        &[&format!("fetched({ID_TEXT})")],
    );
    let cancel = state_transfer::cancel_fetch(ID);
    check(
        cancel,
        "221508ac0212100123456789abcdef0123456789abcdef",
        receive_from_fetcher,
        &[&format!("cancel_fetch({ID_TEXT})")],
    );
}

#[test]
fn messages_of_the_prefill_worker() {
    let chunk = state_transfer::chunk(ID, 65_536, Bytes::from_static(b"kv"), 0xdead_beef);
    let call = format!("chunk({ID_TEXT}, 65536, b\"kv\", 3735928559)");
    check(
        chunk,
        "0a2208ac02108080041a026b7625efbeadde2a100123456789abcdef0123456789abcdef",
        receive_from_source,
        &[&call],
    );
    let complete = state_transfer::complete(ID, 1 << 30, 0xdead_beef);
    let call = format!("complete({ID_TEXT}, 1073741824, 3735928559)");
    check(
        complete,
        "122008ac021080808080041defbeadde22100123456789abcdef0123456789abcdef",
        receive_from_source,
        &[&call],
    );
    let missing = state_transfer::missing(ID);
    check(
        missing,
        "1a1508ac0212100123456789abcdef0123456789abcdef",
        receive_from_source,
        &[&format!("missing({ID_TEXT})")],
    );
}
