//! Replacements for the C library's socket functions. Calls on TCP sockets fail, are interrupted or transfer fewer
//! bytes than requested, according to the fault plan.

use std::sync::atomic::{AtomicU8, Ordering};

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

use crate::active_plan::active_plan;
use crate::libc_calls::{call_next, fail_with, last_error};

/// The kind of a file descriptor, as far as this library knows it.
#[derive(Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
enum DescriptorKind {
    /// A listener, a descriptor that is no TCP socket, or an unknown one. No faults are injected into its reads and
    /// writes.
    Other,
    /// A connection that this process accepted.
    Inbound,
    /// A connection that this process opened.
    Outbound,
}

/// Number of descriptors that are tracked. No faults are injected into reads and writes on higher ones.
const TRACKED_DESCRIPTORS: usize = 1 << 16;
/// The [`DescriptorKind`] of each tracked descriptor.
static KINDS: [AtomicU8; TRACKED_DESCRIPTORS] =
    [const { AtomicU8::new(DescriptorKind::Other as u8) }; TRACKED_DESCRIPTORS];

/// Errors of accept(2).
const ACCEPT_ERRORS: [c_int; 10] = [
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
/// Errors of socket(2).
const SOCKET_ERRORS: [c_int; 4] = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
/// Errors of connect(2).
const CONNECT_ERRORS: [c_int; 7] = [
    libc::ECONNREFUSED,
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
    libc::ENETUNREACH,
    libc::EADDRNOTAVAIL,
    libc::EAGAIN,
    libc::ENOBUFS,
];
/// Errors of recv(2) and tcp(7) after which the connection is over.
const RECEIVE_ERRORS: [c_int; 3] = [libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH];
/// Errors of send(2) and tcp(7) after which the connection is over.
const SEND_ERRORS: [c_int; 4] = [libc::EPIPE, libc::ECONNRESET, libc::ETIMEDOUT, libc::EHOSTUNREACH];

fn tracked(descriptor: c_int) -> Option<&'static AtomicU8> {
    let index = usize::try_from(descriptor).ok()?;
    KINDS.get(index)
}

fn kind_of(descriptor: c_int) -> DescriptorKind {
    match tracked(descriptor).map(|kind| kind.load(Ordering::Relaxed)) {
        Some(kind) if kind == DescriptorKind::Inbound as u8 => DescriptorKind::Inbound,
        Some(kind) if kind == DescriptorKind::Outbound as u8 => DescriptorKind::Outbound,
        _ => DescriptorKind::Other,
    }
}

fn set_kind(descriptor: c_int, kind: DescriptorKind) {
    if let Some(tracked_kind) = tracked(descriptor) {
        tracked_kind.store(kind as u8, Ordering::Relaxed);
    }
}

/// Returns the error with which this call is to fail, `EINTR` included, or `None` if it is not to fail.
fn injected_failure(errors: &[c_int]) -> Option<c_int> {
    let plan = active_plan()?;
    if plan.random_unit() < plan.interrupt_rate {
        return Some(libc::EINTR);
    }
    (plan.random_unit() < plan.socket_failure_rate).then(|| plan.choose(errors))
}

/// Replaces socket(2).
///
/// # Safety
/// The requirements of socket(2) apply.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    let is_tcp = domain == libc::AF_INET && socket_type & libc::SOCK_STREAM != 0;
    if let Some(error) = injected_failure(&SOCKET_ERRORS).filter(|error| is_tcp && *error != libc::EINTR) {
        return fail_with(error);
    }
    let created = call_next!(c"socket" as fn(c_int, c_int, c_int) -> c_int, domain, socket_type, protocol);
    set_kind(created, DescriptorKind::Other);
    created
}

/// Replaces connect(2).
///
/// # Safety
/// The requirements of connect(2) apply.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    // SAFETY: the pointer is not null, and every socket address begins with its family.
    if to.is_null() || i32::from(unsafe { (*to).sa_family }) != libc::AF_INET {
        return call_next!(c"connect" as fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, to, length);
    }
    set_kind(socket, DescriptorKind::Outbound);
    match injected_failure(&CONNECT_ERRORS) {
        Some(libc::EINTR) => {
            let result =
                call_next!(c"connect" as fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, to, length);
            // The connection is established in the background, as connect(2) documents for an interrupted call.
            if result < 0 && last_error() == libc::EINPROGRESS {
                return fail_with(libc::EINTR);
            }
            result
        }
        Some(error) => fail_with(error),
        None => call_next!(c"connect" as fn(c_int, *const sockaddr, socklen_t) -> c_int, socket, to, length),
    }
}

/// Replaces accept4(2).
///
/// # Safety
/// The requirements of accept4(2) apply.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(error) = injected_failure(&ACCEPT_ERRORS) {
        return fail_with(error);
    }
    let accepted = call_next!(
        c"accept4" as fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int,
        listener,
        address,
        length,
        flags
    );
    set_kind(accepted, DescriptorKind::Inbound);
    accepted
}

/// The decision on a read or write.
enum Transfer {
    /// The call is made with at most this many bytes.
    UpTo(size_t),
    /// The call fails with this error.
    Fails(c_int),
}

/// Decides whether a read or write of `length` bytes fails or is shortened. Shuts the socket down if the error ends the
/// connection, so that the connection ends for the peer as well.
fn decide_transfer(socket: c_int, length: size_t, errors: &[c_int]) -> Transfer {
    let kind = kind_of(socket);
    let Some(plan) = active_plan() else { return Transfer::UpTo(length) };
    if kind == DescriptorKind::Other || length == 0 {
        return Transfer::UpTo(length);
    }
    if plan.random_unit() < plan.interrupt_rate {
        return Transfer::Fails(libc::EINTR);
    }
    if kind == DescriptorKind::Outbound && plan.random_unit() < plan.socket_failure_rate {
        // SAFETY: shutdown(2) has no memory requirements, and the descriptor is the caller's socket.
        unsafe { libc::shutdown(socket, libc::SHUT_RDWR) };
        return Transfer::Fails(plan.choose(errors));
    }
    if plan.random_unit() < plan.partial_transfer_rate {
        return Transfer::UpTo(1 + (plan.random_unit() * (length - 1) as f64) as size_t);
    }
    Transfer::UpTo(length)
}

/// Replaces recv(2).
///
/// # Safety
/// The requirements of recv(2) apply.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    // No faults are injected into a peek: it leaves the bytes in the socket buffer, where the next read finds them.
    let is_peek = flags & libc::MSG_PEEK != 0;
    let transfer =
        if is_peek { Transfer::UpTo(length) } else { decide_transfer(socket, length, &RECEIVE_ERRORS) };
    match transfer {
        Transfer::UpTo(length) => {
            call_next!(
                c"recv" as fn(c_int, *mut c_void, size_t, c_int) -> ssize_t,
                socket,
                buffer,
                length,
                flags
            )
        }
        Transfer::Fails(error) => fail_with(error) as ssize_t,
    }
}

/// Replaces send(2).
///
/// # Safety
/// The requirements of send(2) apply.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    match decide_transfer(socket, length, &SEND_ERRORS) {
        Transfer::UpTo(length) => {
            call_next!(
                c"send" as fn(c_int, *const c_void, size_t, c_int) -> ssize_t,
                socket,
                buffer,
                length,
                flags
            )
        }
        Transfer::Fails(error) => fail_with(error) as ssize_t,
    }
}
