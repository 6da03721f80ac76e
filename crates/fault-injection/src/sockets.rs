//! Calls on TCP sockets that fail, are interrupted and come short.

use std::sync::atomic::{AtomicU8, Ordering};

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

use crate::calls::{error, fail, real};
use crate::plan::Plan;
use crate::{age_ms, plan};

/// What is known of a descriptor: nothing, a TCP socket that was accepted, or one that this process dialled.
const OTHER: u8 = 0;
const ACCEPTED: u8 = 1;
const DIALLED: u8 = 2;
const DESCRIPTORS: usize = 1 << 16;
static KINDS: [AtomicU8; DESCRIPTORS] = [const { AtomicU8::new(OTHER) }; DESCRIPTORS];

/// By accept(2).
const ACCEPT: [c_int; 10] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::ECONNABORTED,
    libc::EPROTO,
    libc::EPERM,
    libc::EHOSTUNREACH,
    libc::ENETDOWN,
    libc::ETIMEDOUT,
];
/// By socket(2).
const SOCKET: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// By connect(2).
const CONNECT: [c_int; 7] = [
    libc::ECONNREFUSED,
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
    libc::ENETUNREACH,
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::ENOBUFS,
];
/// By recv(2), send(2) and tcp(7), where the connection is over.
const RECEIVE: [c_int; 3] = [libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH];
const SEND: [c_int; 4] = [libc::EPIPE, libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH];

fn kind(socket: c_int) -> u8 {
    usize::try_from(socket).ok().and_then(|n| KINDS.get(n)).map_or(OTHER, |k| k.load(Ordering::Relaxed))
}

fn is_now(socket: c_int, kind: u8) {
    if let Some(known) = usize::try_from(socket).ok().and_then(|n| KINDS.get(n)) {
        known.store(kind, Ordering::Relaxed);
    }
}

/// The plan, where calls may fail now.
fn in_force() -> Option<&'static Plan> {
    plan().filter(|plan| plan.is_in_force(age_ms()))
}

/// The error with which a call fails at once, if it is to.
fn failure(errors: &[c_int]) -> Option<c_int> {
    let plan = in_force()?;
    if plan.draw() < plan.interrupt {
        return Some(libc::EINTR);
    }
    (plan.draw() < plan.fail).then(|| plan.one_of(errors))
}

/// # Safety
/// As socket(2).
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let stream = domain == libc::AF_INET && kind & libc::SOCK_STREAM != 0;
    if let Some(error) = failure(&SOCKET).filter(|error| stream && *error != libc::EINTR) {
        return fail(error);
    }
    let made = real!(c"socket" as fn(c_int, c_int, c_int) -> c_int, domain, kind, protocol);
    is_now(made, OTHER);
    made
}

/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: an address begins with its family.
    if to.is_null() || i32::from(unsafe { (*to).sa_family }) != libc::AF_INET {
        return real!(c"connect" as fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, to, length);
    }
    is_now(socket, DIALLED);
    match failure(&CONNECT) {
        Some(libc::EINTR) => {
            let result =
                real!(c"connect" as fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, to, length);
            // It goes on by itself.
            if result < 0 && error() == libc::EINPROGRESS {
                return fail(libc::EINTR);
            }
            result
        }
        Some(error) => fail(error),
        None => real!(c"connect" as fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, to, length),
    }
}

/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    door: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = failure(&ACCEPT) {
        return fail(error);
    }
    let taken = real!(
        c"accept4" as fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int,
        door,
        from,
        length,
        flags
    );
    is_now(taken, ACCEPTED);
    taken
}

/// How a read or write goes: at its length, shorter, or with an error.
enum Goes {
    On(size_t),
    Fails(c_int),
}

/// Decides about a read or write of so many bytes. An error that ends the connection does so for its peer as well.
fn goes(socket: c_int, length: size_t, errors: &[c_int]) -> Goes {
    let (kind, Some(plan)) = (kind(socket), in_force()) else { return Goes::On(length) };
    if kind == OTHER || length == 0 {
        return Goes::On(length);
    }
    if plan.draw() < plan.interrupt {
        return Goes::Fails(libc::EINTR);
    }
    if kind == DIALLED && plan.draw() < plan.fail {
        // SAFETY: the descriptor is the caller's socket.
        unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
        return Goes::Fails(plan.one_of(errors));
    }
    if plan.draw() < plan.short {
        return Goes::On(1 + (plan.draw() * (length - 1) as f64) as size_t);
    }
    Goes::On(length)
}

/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, to: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // What is only looked at is as it is.
    let goes = if flags & libc::MSG_PEEK == 0 { goes(socket, length, &RECEIVE) } else { Goes::On(length) };
    match goes {
        Goes::On(length) => {
            real!(c"recv" as fn(c_int, *mut c_void, size_t, c_int) -> ssize_t, socket, to, length, flags)
        }
        Goes::Fails(error) => fail(error) as ssize_t,
    }
}

/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match goes(socket, length, &SEND) {
        Goes::On(length) => {
            real!(c"send" as fn(c_int, *const c_void, size_t, c_int) -> ssize_t, socket, from, length, flags)
        }
        Goes::Fails(error) => fail(error) as ssize_t,
    }
}
