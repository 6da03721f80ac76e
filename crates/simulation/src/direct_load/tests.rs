//! The file of known workers, which a scenario writes and the direct client load reads.

use super::*;

#[test]
fn known_workers_are_written_with_the_key_reader() {
    let worker = KnownWorker { address: [127, 0, 0, 1, 0, 7], is_prefill: true, cell: 3, size: 0.5 };
    let text = serde_json::to_string(&worker).expect("plain data");
    assert_eq!(text, r#"{"address":[127,0,0,1,0,7],"reader":true,"cell":3,"size":0.5}"#);
    let read: KnownWorker = serde_json::from_str(&text).expect("what was written");
    assert!(read.is_prefill);
}
