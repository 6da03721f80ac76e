//! Calls on files, some of which fail.

use libc::{c_char, c_int, c_void, off64_t, size_t, ssize_t};

use crate::active_plan::plan_in_force;
use crate::libc_calls::{call_next, fail_with};

/// Errors of write(2), fsync(2) and rename(2) that a full or failing disk brings.
const FILE_ERRORS: [c_int; 3] = [libc::ENOSPC, libc::EIO, libc::EDQUOT];

/// The error with which this call fails, if it is to fail. No number is drawn where the plan fails no calls on files.
fn injected_failure() -> Option<c_int> {
    let plan = plan_in_force().filter(|plan| plan.file_failure_rate > 0.0)?;
    (plan.random_unit() < plan.file_failure_rate).then(|| plan.choose(&FILE_ERRORS))
}

/// Stands in for pwrite(2).
///
/// # Safety
/// As pwrite(2).
#[no_mangle]
pub unsafe extern "C" fn pwrite64(file: c_int, from: *const c_void, length: size_t, at: off64_t) -> ssize_t {
    if let Some(error) = injected_failure() {
        return fail_with(error) as ssize_t;
    }
    call_next!(c"pwrite64" as fn(c_int, *const c_void, size_t, off64_t) -> ssize_t, file, from, length, at)
}

/// Stands in for fsync(2).
///
/// # Safety
/// As fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(error) = injected_failure() {
        return fail_with(error);
    }
    call_next!(c"fsync" as fn(c_int) -> c_int, file)
}

/// Stands in for fdatasync(2).
///
/// # Safety
/// As fdatasync(2).
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(error) = injected_failure() {
        return fail_with(error);
    }
    call_next!(c"fdatasync" as fn(c_int) -> c_int, file)
}

/// Stands in for rename(2).
///
/// # Safety
/// As rename(2).
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if let Some(error) = injected_failure() {
        return fail_with(error);
    }
    call_next!(c"rename" as fn(*const c_char, *const c_char) -> c_int, from, to)
}
