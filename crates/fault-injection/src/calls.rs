//! The functions of the C library that stand behind ours, and the wall clock.

use std::ffi::CStr;

use libc::{c_int, c_void, clockid_t, timespec};

use crate::{age_ms, plan};

const NANOS_PER_MS: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// The next function of that name behind this library's.
pub fn behind(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends with a zero, and the C library is there before any code of ours runs.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Calls the function behind ours, whose type is given.
macro_rules! real {
    ($name:literal as fn($($kind:ty),*) -> $result:ty, $($argument:expr),*) => {{
        static BEHIND: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let found = *BEHIND.get_or_init(|| $crate::calls::behind($name) as usize);
        // SAFETY: the C library's function of that name has this type.
        let function: unsafe extern "C" fn($($kind),*) -> $result = unsafe { std::mem::transmute(found) };
        // SAFETY: the caller's arguments are handed on as they came.
        unsafe { function($($argument),*) }
    }};
}
pub(crate) use real;

/// Leaves an error for the caller to find.
pub fn fail(error: c_int) -> c_int {
    // SAFETY: the place of the thread's error is always there.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The error that the last call left.
pub fn error() -> c_int {
    // SAFETY: as above.
    unsafe { *libc::__errno_location() }
}

/// The wall clock is stepped; all others are as they are.
///
/// # Safety
/// As clock_gettime(2): `at` leads to a place for the time.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, at: *mut timespec) -> c_int {
    // SAFETY: the caller's arguments are handed on as they came.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, at) } as c_int;
    let ahead = plan().filter(|p| clock == libc::CLOCK_REALTIME && !p.steps.is_empty());
    if let Some(plan) = ahead.filter(|_| result == 0) {
        // SAFETY: the kernel has just written there.
        let time = unsafe { &mut *at };
        let nanos = time.tv_nsec + plan.ahead_ms(age_ms()) % 1_000 * NANOS_PER_MS;
        time.tv_sec += plan.ahead_ms(age_ms()) / 1_000 + nanos.div_euclid(NANOS_PER_SECOND);
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}
