//! Charges are returned to the budget when the last user of a buffer drops it.

use super::*;

#[test]
fn a_charge_is_returned_when_the_last_reference_to_its_body_is_dropped() {
    let budget = MemoryBudget::new(100);
    let body = charged_bytes(vec![0; 60], budget.charge(60));
    let being_sent = body.clone();
    drop(body);
    assert_eq!(budget.used(), 60);
    assert!(budget.would_exceed(41) && !budget.would_exceed(40));
    drop(being_sent);
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_charge_follows_the_size_of_its_buffer() {
    let budget = MemoryBudget::new(100);
    let mut charge = budget.charge(10);
    charge.resize(70);
    charge.resize(30);
    assert_eq!((charge.bytes(), budget.used()), (30, 30));
    drop(charge);
    assert_eq!(budget.used(), 0);
}
