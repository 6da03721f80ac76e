//! Tests that run the adapter as a process: format of batches and replies, isolation of instances, and errors of
//! malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Runs the adapter on this input until it exits.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_tideroute-bench-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // The adapter may exit before it has read all of the input; writing then fails.
    let _ = child.stdin.take().expect("piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

/// Encodes a batch of these records, with batch number 1 and time 8 s.
fn batch(records: &[Vec<u8>]) -> Vec<u8> {
    let body = records.concat();
    let mut batch = Vec::new();
    for word in [1, body.len() as u32, records.len() as u32] {
        batch.extend(word.to_le_bytes());
    }
    batch.extend(8000.0f64.to_le_bytes());
    batch.extend(body);
    batch
}

fn start_instance(instance: u16, settings: &str) -> Vec<u8> {
    let mut record = vec![10];
    record.extend(instance.to_le_bytes());
    record.extend(7u64.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

const SETTINGS: &str = r#"{"balancers": 2, "unheard_of": [1], "discovery": "automatic",
 "caps": {"cancel": true, "max_attempts": 5, "probing": true},
 "classes": [{"idempotency": "pure", "on_time_ms": 1000.0, "worth": 1.0}],
 "family_info": {"ahead": true, "aim_us_per_1000_prompt_tokens": [60000.0], "kind_role": ["read", "write"],
                 "pin_limit_ms": 500.0},
 "invariants": {"cold_share": 0.3, "fall_ms": 2000.0, "fall_multiple": 2.5, "ramp_time_ms": 14000.0}}"#;

/// Encodes an endpoint list of this kind. Each worker is given by its kind and the last octet of its IPv4 address.
fn endpoint_list(instance: u16, list_kind: u8, workers: &[(u16, u8)]) -> Vec<u8> {
    let mut record = vec![20];
    record.extend(instance.to_le_bytes());
    record.extend(1u64.to_le_bytes());
    record.push(list_kind);
    record.extend((workers.len() as u32).to_le_bytes());
    for &(worker_kind, last_octet) in workers {
        record.extend(worker_kind.to_le_bytes());
        record.extend(1.0f32.to_le_bytes());
        record.push(1);
        record.extend([0; 11]);
        record.extend([10, 0, 0, last_octet, 136, 19]);
    }
    record
}

fn request(instance: u16, id: u64) -> Vec<u8> {
    let mut record = vec![30];
    record.extend(instance.to_le_bytes());
    record.extend(id.to_le_bytes());
    record.extend([0; 5]);
    record.extend(3u64.to_le_bytes());
    record.extend(4000.0f64.to_le_bytes());
    record.extend([0; 16]);
    [900.0f32, 0.0, 100.0].iter().for_each(|tokens| record.extend(tokens.to_le_bytes()));
    record.push(0);
    record
}

/// Returns the error message of the adapter, which must fail and print exactly one line.
fn error_of(input: &[u8]) -> String {
    let output = run(input);
    let error = String::from_utf8(output.stderr).expect("UTF-8");
    assert_eq!(output.status.code(), Some(1), "{error}");
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

#[test]
fn empty_batch_gets_an_empty_reply_and_end_of_input_exits_with_success() {
    let output = run(&batch(&[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn request_is_dispatched_to_a_prefill_worker_with_a_reservation_at_a_decode_worker() {
    let output =
        run(&batch(&[start_instance(0, SETTINGS), endpoint_list(0, 2, &[(0, 1), (1, 2)]), request(0, 5)]));
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let reply = &output.stdout[12..];
    assert_eq!((reply[0], reply[3], &reply[11..17]), (20, 5, &[10, 0, 0, 1, 136, 19][..]));
    assert_eq!((reply[25], reply[28], &reply[36..42]), (60, 5, &[10, 0, 0, 2, 136, 19][..]));
}

#[test]
fn stopped_instance_forgets_its_endpoints_and_affects_no_other() {
    let stop_first = vec![100, 0, 0];
    let mut records: Vec<_> = (0..2)
        .flat_map(|instance| {
            [start_instance(instance, SETTINGS), endpoint_list(instance, 2, &[(0, 1), (1, 2)])]
        })
        .collect();
    records.extend([
        stop_first,
        start_instance(0, SETTINGS),
        endpoint_list(0, 2, &[]),
        request(0, 5),
        request(1, 6),
    ]);
    let output = run(&batch(&records));
    assert!(output.status.success());
    // The restarted first instance has no endpoints; the second instance has kept its own.
    let dispatches = output.stdout.windows(3).filter(|w| *w == [20, 0, 0]).count();
    assert_eq!((dispatches, output.stdout.windows(4).filter(|w| *w == [20, 1, 0, 6]).count()), (0, 1));
}

#[test]
fn full_endpoint_list_replaces_the_old_one() {
    let lists = [endpoint_list(0, 2, &[(0, 1), (1, 2)]), endpoint_list(0, 1, &[(0, 3), (1, 2)])];
    let output =
        run(&batch(&[start_instance(0, SETTINGS), lists[0].clone(), lists[1].clone(), request(0, 5)]));
    assert_eq!(&output.stdout[12 + 11..12 + 17], [10, 0, 0, 3, 136, 19]);
}

/// Also covers lengths that are far larger than the input, for which the adapter must not allocate memory in advance.
#[test]
fn malformed_input_exits_with_one_line_that_names_the_error() {
    let valid = batch(&[start_instance(0, SETTINGS), endpoint_list(0, 2, &[(0, 1), (1, 2)])]);
    assert!(error_of(&valid[..11]).contains("the input ends in a batch header"));
    assert!(error_of(&valid[..valid.len() - 1]).contains("the input ends in batch 1"));
    assert!(error_of(&batch(&[vec![99, 0, 0]])).contains("event code 99"));
    assert!(error_of(&batch(&[request(4, 1)])).contains("instance 4 is not running: it was never enlisted"));
    assert!(error_of(&batch(&[start_instance(0, "{")])).contains("do not parse"));
    let without_fall_ms = SETTINGS.replace("fall_ms", "x");
    assert!(error_of(&batch(&[start_instance(0, &without_fall_ms)])).contains("invariants.fall_ms"));
    let mut overrun = endpoint_list(0, 2, &[]);
    overrun[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(error_of(&batch(&[start_instance(0, SETTINGS), overrun])).contains("bytes"));
    let mut huge = batch(&[]);
    huge[4..8].copy_from_slice(&u32::MAX.to_le_bytes());
    assert!(error_of(&huge).contains("the input ends in batch 1"));
}
