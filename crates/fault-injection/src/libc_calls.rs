//! Access to the C library's functions that this library replaces, and to the thread's `errno`.

use std::ffi::CStr;

use libc::{c_int, c_void};

/// Returns the function of this name that the dynamic loader finds after the one of this library.
pub fn next_function(name: &CStr) -> *mut c_void {
    // SAFETY: the name is null-terminated, and the C library is loaded before any code of this library runs.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Calls the C library's function of this name and type.
macro_rules! call_next {
    ($name:literal as fn($($argument_type:ty),*) -> $result:ty, $($argument:expr),*) => {{
        static NEXT: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let next = *NEXT.get_or_init(|| $crate::libc_calls::next_function($name) as usize);
        // SAFETY: the C library's function of this name has this type.
        let function: unsafe extern "C" fn($($argument_type),*) -> $result = unsafe { std::mem::transmute(next) };
        // SAFETY: the caller's arguments are passed on unchanged.
        unsafe { function($($argument),*) }
    }};
}
pub(crate) use call_next;

/// Sets `errno` and returns -1, the result of a failed call.
pub fn fail_with(error: c_int) -> c_int {
    // SAFETY: `__errno_location` returns a valid pointer for every thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the `errno` that the last call of this thread has set.
pub fn last_error() -> c_int {
    // SAFETY: `__errno_location` returns a valid pointer for every thread.
    unsafe { *libc::__errno_location() }
}
