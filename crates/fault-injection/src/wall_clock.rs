//! Replaces `clock_gettime`: the plan steps the wall clock. All other clocks show the machine's time.

use libc::{c_int, clockid_t, timespec};

use crate::active_plan::{plan, process_age_ms};

const MS_PER_SECOND: i64 = 1_000;
const NANOS_PER_MS: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Replaces clock_gettime(2).
///
/// # Safety
/// The requirements of clock_gettime(2) apply: `destination` points to a writable `timespec`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, destination: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments are passed on unchanged.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, destination) } as c_int;
    if result != 0 || clock != libc::CLOCK_REALTIME {
        return result;
    }
    if let Some(plan) = plan().filter(|plan| !plan.clock_steps.is_empty()) {
        // SAFETY: the kernel has just written to this address, so it is valid.
        let time = unsafe { &mut *destination };
        add_ms(time, plan.clock_offset_ms(process_age_ms()));
    }
    result
}

fn add_ms(time: &mut timespec, offset_ms: i64) {
    let nanos = time.tv_nsec + offset_ms % MS_PER_SECOND * NANOS_PER_MS;
    time.tv_sec += offset_ms / MS_PER_SECOND + nanos.div_euclid(NANOS_PER_SECOND);
    time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
}
