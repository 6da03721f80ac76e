//! Access to the functions of the C library that this library stands in front of, and to the thread's `errno`.

use std::ffi::CStr;

use libc::{c_int, c_void};

/// The next function of that name after this library's, in the order of the dynamic loader.
pub fn next_function(name: &CStr) -> *mut c_void {
    // SAFETY: the name ends with a zero, and the C library is there before any code of ours runs.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Calls the C library's function of a name, whose type is given.
macro_rules! call_next {
    ($name:literal as fn($($kind:ty),*) -> $result:ty, $($argument:expr),*) => {{
        static NEXT: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let found = *NEXT.get_or_init(|| $crate::libc_calls::next_function($name) as usize);
        // SAFETY: the C library's function of that name has this type.
        let function: unsafe extern "C" fn($($kind),*) -> $result = unsafe { std::mem::transmute(found) };
        // SAFETY: the caller's arguments are handed on as they came.
        unsafe { function($($argument),*) }
    }};
}
pub(crate) use call_next;

/// Sets `errno`, and returns the -1 by which a call says that it failed.
pub fn fail_with(error: c_int) -> c_int {
    // SAFETY: the place of the thread's error is always there.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The `errno` that the last call of this thread left.
pub fn last_error() -> c_int {
    // SAFETY: as above.
    unsafe { *libc::__errno_location() }
}
