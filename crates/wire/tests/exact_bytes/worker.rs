//! Messages between a router and a worker.

use bytes::Bytes;
use tideroute_wire::worker::{
    self, receive_from_router, receive_from_worker, AttemptFailure, Router, Worker,
};
use tideroute_wire::{Address, Malformed, Micros};

use crate::{check, record, Recorder};

const PREFILL_WORKER: Address = [10, 0, 0, 7, 0x1f, 0x90];

impl Worker for Recorder {
    fn prefill(
        &mut self,
        id: u64,
        attempt: u16,
        class: u8,
        session: u64,
        prefix: u64,
        prompt_tokens: u32,
        prefix_tokens: u32,
        remaining: Micros,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        record!(
            self,
            "prefill",
            id,
            attempt,
            class,
            session,
            prefix,
            prompt_tokens,
            prefix_tokens,
            remaining,
            prompt
        );
        Ok(())
    }

    fn reserve(
        &mut self,
        id: u64,
        prompt_tokens: u32,
        max_tokens: u32,
        prefill_worker: Address,
    ) -> Result<(), Malformed> {
        record!(self, "reserve", id, prompt_tokens, max_tokens, prefill_worker);
        Ok(())
    }

    fn decode(
        &mut self,
        id: u64,
        attempt: u16,
        class: u8,
        prompt_tokens: u32,
        max_tokens: u32,
        remaining: Micros,
        idempotency_key: u64,
        prefill_worker: Option<Address>,
        window: u32,
        session: u64,
        prefix: u64,
        prefix_tokens: u32,
        prompt: Bytes,
    ) -> Result<(), Malformed> {
        record!(
            self,
            "decode",
            id,
            attempt,
            class,
            prompt_tokens,
            max_tokens,
            remaining,
            idempotency_key,
            prefill_worker,
            window,
            session,
            prefix,
            prefix_tokens,
            prompt
        );
        Ok(())
    }

    fn release(&mut self, id: u64) -> Result<(), Malformed> {
        record!(self, "release", id);
        Ok(())
    }

    fn cancel(&mut self, id: u64, attempt: u16) -> Result<(), Malformed> {
        record!(self, "cancel", id, attempt);
        Ok(())
    }

    fn check_health(&mut self, nonce: u64) -> Result<(), Malformed> {
        record!(self, "check_health", nonce);
        Ok(())
    }

    fn grant_tokens(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed> {
        record!(self, "grant_tokens", id, attempt, tokens);
        Ok(())
    }
}

impl Router for Recorder {
    fn reservation_answered(&mut self, id: u64, granted: bool) -> Result<(), Malformed> {
        record!(self, "reservation_answered", id, granted);
        Ok(())
    }

    fn prefill_completed(
        &mut self,
        id: u64,
        attempt: u16,
        cached_tokens: u32,
        state_bytes: u64,
    ) -> Result<(), Malformed> {
        record!(self, "prefill_completed", id, attempt, cached_tokens, state_bytes);
        Ok(())
    }

    fn token(&mut self, id: u64, attempt: u16, index: u32, text: Bytes) -> Result<(), Malformed> {
        record!(self, "token", id, attempt, index, text);
        Ok(())
    }

    fn completed(&mut self, id: u64, attempt: u16, tokens: u32) -> Result<(), Malformed> {
        record!(self, "completed", id, attempt, tokens);
        Ok(())
    }

    fn attempt_ended(&mut self, id: u64, attempt: u16, failure: AttemptFailure) -> Result<(), Malformed> {
        record!(self, "attempt_ended", id, attempt, failure);
        Ok(())
    }

    fn health_reported(
        &mut self,
        nonce: u64,
        prefills: u32,
        streams: u32,
        waiting: u32,
    ) -> Result<(), Malformed> {
        record!(self, "health_reported", nonce, prefills, streams, waiting);
        Ok(())
    }
}

#[test]
fn prefill_and_decode_messages_of_a_router() {
    let text = Bytes::from_static(b"hi");
    let prefill = worker::prefill(300, 2, 3, 77, 8, 1000, 512, 2_500_000, text.clone());
    let calls = ["prefill(300, 2, 3, 77, 8, 1000, 512, 2500000, b\"hi\")"];
    check(prefill, "121a08ac0210021803204d280830e80738800440a0cb98014a026869", receive_from_router, &calls);
    let prefill_worker = Some(PREFILL_WORKER);
    let decode = worker::decode(300, 2, 3, 1000, 256, 2_500_000, 9, prefill_worker, 16, 77, 8, 512, text);
    let calls =
        ["decode(300, 2, 3, 1000, 256, 2500000, 9, Some([10, 0, 0, 7, 31, 144]), 16, 77, 8, 512, b\"hi\")"];
    check(
        decode,
        "222908ac021002180320e80728800230a0cb9801380942060a0000071f904810504d58086080046a026869",
        receive_from_router,
        &calls,
    );
    let without_prefill_worker = worker::decode(1, 0, 0, 0, 0, 0, 0, None, 0, 0, 0, 0, Bytes::new());
    let calls = ["decode(1, 0, 0, 0, 0, 0, 0, None, 0, 0, 0, 0, b\"\")"];
    check(without_prefill_worker, "22020801", receive_from_router, &calls);
}

#[test]
fn other_messages_of_a_router() {
    let reserve = worker::reserve(300, 1000, 256, PREFILL_WORKER);
    let calls = ["reserve(300, 1000, 256, [10, 0, 0, 7, 31, 144])"];
    check(reserve, "1a1108ac0210e80718800222060a0000071f90", receive_from_router, &calls);
    check(worker::release(300), "2a0308ac02", receive_from_router, &["release(300)"]);
    check(worker::cancel(300, 2), "320508ac021002", receive_from_router, &["cancel(300, 2)"]);
    check(worker::check_health(9), "3a020809", receive_from_router, &["check_health(9)"]);
    check(
        worker::grant_tokens(300, 2, 64),
        "420708ac0210021840",
        receive_from_router,
        &["grant_tokens(300, 2, 64)"],
    );
}

#[test]
fn messages_of_a_worker() {
    let granted = worker::reservation_answered(300, true);
    check(granted, "0a0508ac021001", receive_from_worker, &["reservation_answered(300, true)"]);
    let denied = worker::reservation_answered(300, false);
    check(denied, "0a0308ac02", receive_from_worker, &["reservation_answered(300, false)"]);
    let prefill_completed = worker::prefill_completed(300, 2, 512, 1 << 30);
    check(
        prefill_completed,
        "120e08ac021002188004208080808004",
        receive_from_worker,
        &["prefill_completed(300, 2, 512, 1073741824)"],
    );
    let token = worker::token(300, 2, 17, Bytes::from_static(b"word"));
    check(token, "1a0d08ac02100218112204776f7264", receive_from_worker, &["token(300, 2, 17, b\"word\")"]);
    check(
        worker::completed(300, 2, 128),
        "220808ac021002188001",
        receive_from_worker,
        &["completed(300, 2, 128)"],
    );
    let rejected = worker::attempt_ended(300, 2, AttemptFailure::Rejected);
    check(rejected, "2a0708ac0210021801", receive_from_worker, &["attempt_ended(300, 2, Rejected)"]);
    let missing = worker::attempt_ended(300, 2, AttemptFailure::StateMissing);
    check(missing, "2a0708ac0210021802", receive_from_worker, &["attempt_ended(300, 2, StateMissing)"]);
    let error = worker::attempt_ended(300, 2, AttemptFailure::ServerError);
    check(error, "2a0708ac0210021803", receive_from_worker, &["attempt_ended(300, 2, ServerError)"]);
    let health = worker::health_reported(9, 1, 2, 3);
    check(health, "32080809100118022003", receive_from_worker, &["health_reported(9, 1, 2, 3)"]);
}
