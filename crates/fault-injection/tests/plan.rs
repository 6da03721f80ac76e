//! Tests the parsing of fault plans: the format that the soak test writes, and plans that do not parse.

#[allow(dead_code, reason = "this test uses only a part of the module")]
#[path = "../src/plan.rs"]
mod plan;

use plan::{ClockStep, FaultPlan};

#[test]
fn plan_with_all_keys_parses() {
    let text =
        "seed=7;wall=-3000@500;wall=250@900;fail=0.125;from=100;until=400;short=0.5;interrupt=0.25;files=1";
    let plan = FaultPlan::parse(text).expect("plan parses");
    assert_eq!(plan.socket_failure_rate, 0.125);
    assert_eq!(plan.partial_transfer_rate, 0.5);
    assert_eq!(plan.interrupt_rate, 0.25);
    assert_eq!(plan.file_failure_rate, 1.0);
    assert_eq!(plan.clock_steps[0], ClockStep { at_ms: 500, offset_ms: -3_000 });
    assert_eq!([499, 500, 900].map(|age_ms| plan.clock_offset_ms(age_ms)), [0, -3_000, 250]);
    assert_eq!([99, 100, 399, 400].map(|age_ms| plan.is_active(age_ms)), [false, true, true, false]);
}

#[test]
fn same_seed_gives_the_same_random_numbers() {
    let draws = |seed: u64| {
        let plan = FaultPlan::parse(&format!("seed={seed}")).expect("plan parses");
        [(); 4].map(|()| plan.random_unit())
    };
    assert_eq!(draws(7), draws(7));
    assert_ne!(draws(7), draws(8));
}

#[test]
fn parse_error_names_the_offending_part_of_the_plan() {
    for (text, message) in [
        ("seed", "seed: expected key=value"),
        ("seed=x", "seed=x: x is not a valid value for seed"),
        ("fail=1.5", "fail=1.5: 1.5 is not a valid value for fail"),
        ("wall=3", "wall=3: 3 is not a valid value for wall"),
        ("wall=a@3", "wall=a@3: a@3 is not a valid value for wall"),
        ("slow=1", "slow: unknown key"),
    ] {
        assert_eq!(FaultPlan::parse(text).expect_err(text).to_string(), message);
    }
}
