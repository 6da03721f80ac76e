//! Calls on files that fail.

use libc::{c_char, c_int, c_void, off64_t, size_t, ssize_t};

use crate::calls::{fail, real};
use crate::{age_ms, plan};

/// By write(2), fsync(2) and rename(2).
const FILES: [c_int; 3] = [libc::ENOSPC, libc::EIO, libc::EDQUOT];

/// The error with which a call on a file fails, if it is to.
fn failure() -> Option<c_int> {
    let plan = plan().filter(|plan| plan.files > 0.0 && plan.is_in_force(age_ms()))?;
    (plan.draw() < plan.files).then(|| plan.one_of(&FILES))
}

/// # Safety
/// As pwrite(2).
#[no_mangle]
pub unsafe extern "C" fn pwrite64(file: c_int, from: *const c_void, length: size_t, at: off64_t) -> ssize_t {
    if let Some(error) = failure() {
        return fail(error) as ssize_t;
    }
    real!(c"pwrite64" as fn(c_int, *const c_void, size_t, off64_t) -> ssize_t, file, from, length, at)
}

/// # Safety
/// As fsync(2).
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    if let Some(error) = failure() {
        return fail(error);
    }
    real!(c"fsync" as fn(c_int) -> c_int, file)
}

/// # Safety
/// As fdatasync(2).
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    if let Some(error) = failure() {
        return fail(error);
    }
    real!(c"fdatasync" as fn(c_int) -> c_int, file)
}

/// # Safety
/// As rename(2).
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if let Some(error) = failure() {
        return fail(error);
    }
    real!(c"rename" as fn(*const c_char, *const c_char) -> c_int, from, to)
}
