//! Replacements for the C library's file functions, into which failures are injected.

use libc::{c_char, c_int, c_void, off64_t, size_t, ssize_t};

use crate::active_plan::active_plan;
use crate::libc_calls::{call_next, fail_with};

/// Errors of write(2), fsync(2) and rename(2) that a full or failing disk causes.
const FILE_ERRORS: [c_int; 3] = [libc::ENOSPC, libc::EIO, libc::EDQUOT];

/// Returns the error with which this call is to fail, or `None` if it is not to fail. Draws no random number if the
/// plan has no file failures.
fn injected_failure() -> Option<c_int> {
    let plan = active_plan().filter(|plan| plan.file_failure_rate > 0.0)?;
    (plan.random_unit() < plan.file_failure_rate).then(|| plan.choose(&FILE_ERRORS))
}

/// Replaces pwrite(2).
///
/// # Safety
/// The requirements of pwrite(2) apply.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    file: c_int,
    buffer: *const c_void,
    length: size_t,
    offset: off64_t,
) -> ssize_t {
    if let Some(error) = injected_failure() {
        return fail_with(error) as ssize_t;
    }
    call_next!(
        c"pwrite64" as fn(c_int, *const c_void, size_t, off64_t) -> ssize_t,
        file,
        buffer,
        length,
        offset
    )
}

/// Replaces fsync(2).
///
/// # Safety
/// The requirements of fsync(2) apply.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(error) = injected_failure() {
        return fail_with(error);
    }
    call_next!(c"fsync" as fn(c_int) -> c_int, file)
}

/// Replaces fdatasync(2).
///
/// # Safety
/// The requirements of fdatasync(2) apply.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(error) = injected_failure() {
        return fail_with(error);
    }
    call_next!(c"fdatasync" as fn(c_int) -> c_int, file)
}

/// Replaces rename(2).
///
/// # Safety
/// The requirements of rename(2) apply.
#[no_mangle]
pub unsafe extern "C" fn rename(old_path: *const c_char, new_path: *const c_char) -> c_int {
    if let Some(error) = injected_failure() {
        return fail_with(error);
    }
    call_next!(c"rename" as fn(*const c_char, *const c_char) -> c_int, old_path, new_path)
}
