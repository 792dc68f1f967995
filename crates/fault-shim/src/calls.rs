//! The replaced functions of the C library. Each consults the plan for a fault, then calls the real function.
//!
//! After a short read or write on a stream, the descriptor is rearmed in its epoll instance (`EPOLL_CTL_MOD`). On
//! Linux, a further event always follows a short transfer on a stream, and callers may rely on that; without
//! rearming, the shim would simulate a system that guarantees less than Linux does.

use std::collections::HashMap;
use std::ffi::{c_char, c_int, c_void, CString};
use std::sync::{Mutex, OnceLock};

use libc::{iovec, mode_t, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::rule::{Call, Effect};

/// The real function of the C library with this name, looked up once (`dlsym` with `RTLD_NEXT`).
macro_rules! real {
    ($name:literal as $type:ty) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        let address = *ADDRESS.get_or_init(|| {
            // SAFETY: the name is a C string; the address is only used as the function that it names.
            unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) as usize }
        });
        assert!(address != 0, concat!($name, " is not in the C library"));
        // SAFETY: the C library declares this function with this type.
        unsafe { std::mem::transmute::<usize, $type>(address) }
    }};
}

/// Sets this thread's errno.
fn set_errno(errno: c_int) {
    // SAFETY: `__errno_location` returns a valid pointer to this thread's errno.
    unsafe { *libc::__errno_location() = errno };
}

/// Time of the system's monotonic clock (us), without injected faults.
pub(crate) fn monotonic_micros() -> u64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let real = real!("clock_gettime" as unsafe extern "C" fn(c_int, *mut timespec) -> c_int);
    // SAFETY: `now` is a valid timespec.
    unsafe { real(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Opens the trace file. -1 if that fails: the process under test then runs without a trace.
pub(crate) fn open_trace(path: &str) -> c_int {
    let Ok(path) = CString::new(path) else { return -1 };
    let real = real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int);
    // SAFETY: `path` is a C string.
    unsafe { real(path.as_ptr(), libc::O_WRONLY | libc::O_APPEND | libc::O_CREAT | libc::O_CLOEXEC, 0o644) }
}

/// Appends a line to the trace file with this descriptor; does nothing if it is -1.
pub(crate) fn trace(to: c_int, line: &str) {
    if to < 0 {
        return;
    }
    let real = real!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: pointer and length are those of `line`.
    unsafe { real(to, line.as_ptr().cast(), line.len()) };
}

/// An integer option of a socket; `None` if the descriptor is not a socket.
fn socket_option(descriptor: c_int, name: c_int) -> Option<c_int> {
    let (mut result, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: `result` is an int, which is the type of each option that is requested here, and `length` is its size.
    let code = unsafe {
        libc::getsockopt(descriptor, libc::SOL_SOCKET, name, (&raw mut result).cast(), &mut length)
    };
    (code == 0).then_some(result)
}

/// Whether a descriptor is a TCP socket over IPv4. This excludes the Unix socket pair through which an async
/// runtime wakes itself on a signal: Linux does not fail calls on it for lack of resources (`unix(7)`), and the
/// runtime does not recover from a lost wake-up.
fn is_stream(descriptor: c_int) -> bool {
    socket_option(descriptor, libc::SO_TYPE) == Some(libc::SOCK_STREAM)
        && socket_option(descriptor, libc::SO_DOMAIN) == Some(libc::AF_INET)
}

/// Whether a descriptor is a regular file, other than the trace file and the standard streams.
fn is_regular_file(descriptor: c_int) -> bool {
    // SAFETY: an all-zero `stat` is valid, and `fstat` fills it.
    unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        descriptor > 2
            && descriptor != crate::state().trace
            && libc::fstat(descriptor, &mut status) == 0
            && status.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// The last registration of a descriptor in an epoll instance.
#[derive(Clone, Copy)]
struct Registration {
    epoll: c_int,
    events: u32,
    data: u64,
}

/// The registrations by descriptor.
fn registrations() -> &'static Mutex<HashMap<c_int, Registration>> {
    static REGISTRATIONS: OnceLock<Mutex<HashMap<c_int, Registration>>> = OnceLock::new();
    REGISTRATIONS.get_or_init(Mutex::default)
}

/// Rearms a descriptor in its epoll instance, which then reports the readiness of the descriptor once more.
fn rearm(descriptor: c_int) {
    let Ok(registrations) = registrations().lock() else { return };
    let Some(&Registration { epoll, events, data }) = registrations.get(&descriptor) else { return };
    drop(registrations);
    let mut event = libc::epoll_event { events, u64: data };
    let real =
        real!("epoll_ctl" as unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int);
    // SAFETY: `event` is valid. For a descriptor that was closed the call fails and has no effect.
    unsafe { real(epoll, libc::EPOLL_CTL_MOD, descriptor, &mut event) };
}

/// The number of bytes to transfer of `length`, and whether a fault shortened them; an error if the call must fail,
/// with errno set.
fn transfer_length(call: Call, length: usize) -> Result<(usize, bool), ()> {
    match crate::fault(call) {
        Some(Effect::Errno(errno)) => {
            set_errno(errno);
            Err(())
        }
        Some(Effect::Short) if length > 1 => Ok((length.div_ceil(3), true)),
        _ => Ok((length, false)),
    }
}

/// Returns -1 from the calling function, with errno set, if the plan has an errno for this call.
macro_rules! fail_if_planned {
    ($call:expr) => {
        if let Some(Effect::Errno(errno)) = crate::fault($call) {
            set_errno(errno);
            return -1;
        }
    };
}

/// See `epoll_ctl(2)`. Records registrations for [`rearm`]; has no faults.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epoll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if let (Ok(mut registrations), false) = (registrations().lock(), event.is_null()) {
        if operation != libc::EPOLL_CTL_DEL {
            registrations
                .insert(descriptor, Registration { epoll, events: (*event).events, data: (*event).u64 });
        }
    }
    real!("epoll_ctl" as unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int)(
        epoll, operation, descriptor, event,
    )
}

/// See `clock_gettime(2)`. Steps apply to the wall clock only, holds to the monotonic clock only.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, into: *mut timespec) -> c_int {
    let result = real!("clock_gettime" as unsafe extern "C" fn(c_int, *mut timespec) -> c_int)(clock, into);
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let step = crate::wall_clock_step();
        let nanos = (*into).tv_sec * 1_000_000_000 + (*into).tv_nsec + step * 1_000_000;
        let nanos = nanos.max(0); // Linux does not allow the clock to be set to a time before 1970
        ((*into).tv_sec, (*into).tv_nsec) =
            (nanos.div_euclid(1_000_000_000), nanos.rem_euclid(1_000_000_000));
    }
    if clock == libc::CLOCK_MONOTONIC {
        if let Some(Effect::Hold(milliseconds)) = crate::fault(Call::MonotonicClock) {
            libc::usleep(milliseconds as u32 * 1_000);
        }
    }
    result
}

/// See `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    fail_if_planned!(Call::Accept);
    real!("accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int)(
        listener, from, length, flags,
    )
}

/// See `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    fail_if_planned!(Call::Socket);
    real!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// See `bind(2)`.
#[no_mangle]
pub unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    fail_if_planned!(Call::Bind);
    real!("bind" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int)(socket, address, length)
}

/// See `listen(2)`.
#[no_mangle]
pub unsafe extern "C" fn listen(socket: c_int, backlog: c_int) -> c_int {
    fail_if_planned!(Call::Listen);
    real!("listen" as unsafe extern "C" fn(c_int, c_int) -> c_int)(socket, backlog)
}

/// See `close(2)`. A hold delays the close of a listener.
#[no_mangle]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    if socket_option(descriptor, libc::SO_ACCEPTCONN) == Some(1) {
        if let Some(Effect::Hold(milliseconds)) = crate::fault(Call::CloseListener) {
            libc::usleep(milliseconds as u32 * 1_000);
        }
    }
    real!("close" as unsafe extern "C" fn(c_int) -> c_int)(descriptor)
}

/// See `connect(2)`. Faults apply to TCP sockets only.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_stream(socket) {
        fail_if_planned!(Call::Connect);
    }
    real!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int)(
        socket, address, length,
    )
}

/// See `recv(2)`. A short transfer receives at most a third of 256 bytes, however large the buffer is.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, into: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    if !is_stream(socket) {
        return real(socket, into, length, flags);
    }
    let Ok((limit, short)) = transfer_length(Call::Receive, length.min(256)) else { return -1 };
    let received = real(socket, into, if short { limit } else { length }, flags);
    if short && received > 0 {
        rearm(socket);
    }
    received
}

/// See `send(2)`. A short transfer sends a third of the bytes.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    if !is_stream(socket) {
        return real(socket, from, length, flags);
    }
    let Ok((limit, short)) = transfer_length(Call::Send, length) else { return -1 };
    let sent = real(socket, from, limit, flags);
    if short && sent > 0 {
        rearm(socket);
    }
    sent
}

/// See `writev(2)`. A short transfer sends a part of the first buffer only.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let real = real!("writev" as unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    if descriptor <= 2 || !is_stream(descriptor) || count < 1 {
        return real(descriptor, parts, count);
    }
    let Ok((limit, short)) = transfer_length(Call::Send, (*parts).iov_len) else { return -1 };
    if !short {
        return real(descriptor, parts, count);
    }
    let first = iovec { iov_base: (*parts).iov_base, iov_len: limit };
    let sent = real(descriptor, &first, 1);
    rearm(descriptor);
    sent
}

/// See `sendmsg(2)`. It can fail, but is never short.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(socket: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if is_stream(socket) {
        fail_if_planned!(Call::Send);
    }
    real!("sendmsg" as unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t)(socket, message, flags)
}

/// See `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    fail_if_planned!(Call::Open);
    real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int)(path, flags, mode)
}

/// See `read(2)`. Faults apply to regular files only.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, into: *mut c_void, length: size_t) -> ssize_t {
    let real = real!("read" as unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    if !is_regular_file(descriptor) {
        return real(descriptor, into, length);
    }
    transfer_length(Call::ReadFile, length).map_or(-1, |(limit, _)| real(descriptor, into, limit))
}

/// See `pread(2)`.
#[no_mangle]
pub unsafe extern "C" fn pread64(
    descriptor: c_int,
    into: *mut c_void,
    length: size_t,
    at: libc::off64_t,
) -> ssize_t {
    let real = real!("pread64" as unsafe extern "C" fn(c_int, *mut c_void, size_t, libc::off64_t) -> ssize_t);
    transfer_length(Call::ReadFile, length).map_or(-1, |(limit, _)| real(descriptor, into, limit, at))
}

/// See `write(2)`. Faults apply to regular files only.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let real = real!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    if !is_regular_file(descriptor) {
        return real(descriptor, from, length);
    }
    transfer_length(Call::WriteFile, length).map_or(-1, |(limit, _)| real(descriptor, from, limit))
}

/// See `pwrite(2)`.
#[no_mangle]
pub unsafe extern "C" fn pwrite64(
    descriptor: c_int,
    from: *const c_void,
    length: size_t,
    at: libc::off64_t,
) -> ssize_t {
    let real =
        real!("pwrite64" as unsafe extern "C" fn(c_int, *const c_void, size_t, libc::off64_t) -> ssize_t);
    transfer_length(Call::WriteFile, length).map_or(-1, |(limit, _)| real(descriptor, from, limit, at))
}

/// See `rename(2)`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    fail_if_planned!(Call::Rename);
    real!("rename" as unsafe extern "C" fn(*const c_char, *const c_char) -> c_int)(from, to)
}

/// See `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    fail_if_planned!(Call::Sync);
    real!("fsync" as unsafe extern "C" fn(c_int) -> c_int)(descriptor)
}

/// See `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    fail_if_planned!(Call::Sync);
    real!("fdatasync" as unsafe extern "C" fn(c_int) -> c_int)(descriptor)
}

/// See `flock(2)`.
#[no_mangle]
pub unsafe extern "C" fn flock(descriptor: c_int, operation: c_int) -> c_int {
    fail_if_planned!(Call::Lock);
    real!("flock" as unsafe extern "C" fn(c_int, c_int) -> c_int)(descriptor, operation)
}
