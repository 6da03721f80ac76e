//! Messages between a client and a router.

use bytes::Bytes;
use tideroute_wire::client::{self, receive_from_client, receive_from_router, Client, Router};
use tideroute_wire::{Malformed, Micros};

use crate::{check, record, Recorder};

impl Router for Recorder {
    fn submit(
        &mut self,
        number: u64,
        class: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        max_tokens: u32,
        remaining: Micros,
        idempotency_key: u64,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        record!(
            self,
            "submit",
            number,
            class,
            session,
            prefix,
            prompt_tokens,
            prefix_tokens,
            max_tokens,
            remaining,
            idempotency_key,
            prompt
        );
        Ok(())
    }

    fn cancel(&mut self, number: u64) -> Result<(), Malformed> {
        record!(self, "cancel", number);
        Ok(())
    }
}

impl Client for Recorder {
    fn accepted(&mut self, number: u64, id: u64) -> Result<(), Malformed> {
        record!(self, "accepted", number, id);
        Ok(())
    }

    fn token(&mut self, number: u64, index: u32, text: Bytes) -> Result<(), Malformed> {
        record!(self, "token", number, index, text);
        Ok(())
    }

    fn completed(&mut self, number: u64, tokens: u32) -> Result<(), Malformed> {
        record!(self, "completed", number, tokens);
        Ok(())
    }

    fn rejected(&mut self, number: u64, retry_after: Micros) -> Result<(), Malformed> {
        record!(self, "rejected", number, retry_after);
        Ok(())
    }

    fn failed(&mut self, number: u64) -> Result<(), Malformed> {
        record!(self, "failed", number);
        Ok(())
    }

    fn unauthorized(&mut self, reason: &str) -> Result<(), Malformed> {
        record!(self, "unauthorized", reason);
        Ok(())
    }
}

#[test]
fn messages_of_a_client() {
    let text = Bytes::from_static(b"hi");
    let submit = client::submit(300, 3, 77, 1 << 40, 1000, 512, 256, 2_500_000, 9, text);
    let calls = ["submit(300, 3, 77, 1099511627776, 1000, 512, 256, 2500000, 9, b\"hi\")"];
    check(
        submit,
        "122208ac021003184d2080808080802028e80730800438800240a0cb9801480952026869",
        receive_from_client,
        &calls,
    );
    check(client::cancel(300), "1a0308ac02", receive_from_client, &["cancel(300)"]);
}

#[test]
fn messages_of_a_router_to_a_client() {
    let text = Bytes::from_static(b"word");
    check(client::accepted(300, 5), "0a0508ac021005", receive_from_router, &["accepted(300, 5)"]);
    check(
        client::token(300, 0, text),
        "120908ac021a04776f7264",
        receive_from_router,
        &["token(300, 0, b\"word\")"],
    );
    check(client::completed(300, 128), "1a0608ac02108001", receive_from_router, &["completed(300, 128)"]);
    check(
        client::rejected(300, 1_000_000),
        "220708ac0210c0843d",
        receive_from_router,
        &["rejected(300, 1000000)"],
    );
    check(client::failed(300), "2a0308ac02", receive_from_router, &["failed(300)"]);
    check(
        client::unauthorized("no key"),
        "32080a066e6f206b6579",
        receive_from_router,
        &["unauthorized(\"no key\")"],
    );
}
