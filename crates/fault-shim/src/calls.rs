//! The functions of the C library that are stood in for. Each asks the plan first, then calls the real one.
//!
//! After a short read or write on a stream the event queue is told to look again (`EPOLL_CTL_MOD`): Linux, which has no
//! short transfers without a further event on a stream, must not be held to less than it does.

use std::collections::HashMap;
use std::ffi::{c_char, c_int, c_void, CString};
use std::sync::{Mutex, OnceLock};

use libc::{iovec, mode_t, msghdr, size_t, sockaddr, socklen_t, ssize_t, timespec};

use crate::rule::{Call, Effect};

macro_rules! real {
    ($name:literal as $type:ty) => {{
        static FOUND: OnceLock<usize> = OnceLock::new();
        let found = *FOUND.get_or_init(|| {
            // SAFETY: the name is a C string; the address is only used as the function that it names.
            unsafe { libc::dlsym(libc::RTLD_NEXT, concat!($name, "\0").as_ptr().cast()) as usize }
        });
        assert!(found != 0, concat!($name, " is not there"));
        // SAFETY: the C library declares this function with this type.
        unsafe { std::mem::transmute::<usize, $type>(found) }
    }};
}

fn fail(errno: c_int) {
    // SAFETY: the address is that of this thread's errno.
    unsafe { *libc::__errno_location() = errno };
}

/// Microseconds of the machine's monotonic clock.
pub(crate) fn monotonic_micros() -> u64 {
    let mut now = timespec { tv_sec: 0, tv_nsec: 0 };
    let real = real!("clock_gettime" as unsafe extern "C" fn(c_int, *mut timespec) -> c_int);
    // SAFETY: `now` is a whole timespec.
    unsafe { real(libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Opens the trace file; -1 where it can't be.
pub(crate) fn open_trace(path: &str) -> c_int {
    let Ok(path) = CString::new(path) else { return -1 };
    let real = real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int);
    // SAFETY: `path` is a C string.
    unsafe { real(path.as_ptr(), libc::O_WRONLY | libc::O_APPEND | libc::O_CREAT | libc::O_CLOEXEC, 0o644) }
}

/// Appends a line to the trace file.
pub(crate) fn trace(to: c_int, line: &str) {
    if to < 0 {
        return;
    }
    let real = real!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    // SAFETY: the bytes are those of `line`.
    unsafe { real(to, line.as_ptr().cast(), line.len()) };
}

fn option(descriptor: c_int, name: c_int) -> Option<c_int> {
    let (mut told, mut length) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: `told` and `length` are as the options that are asked for here want them.
    let done =
        unsafe { libc::getsockopt(descriptor, libc::SOL_SOCKET, name, (&raw mut told).cast(), &mut length) };
    (done == 0).then_some(told)
}

/// Whether a descriptor is a TCP socket's. The pair by which a runtime wakes itself on a signal is left alone: Linux fails
/// no call on it for want of anything (`unix(7)`), and a wake-up that is lost is made good by nobody.
fn is_stream(descriptor: c_int) -> bool {
    option(descriptor, libc::SO_TYPE) == Some(libc::SOCK_STREAM)
        && option(descriptor, libc::SO_DOMAIN) == Some(libc::AF_INET)
}

/// Whether a descriptor is a regular file's, other than the trace's.
fn is_file(descriptor: c_int) -> bool {
    // SAFETY: an all-zero `stat` is valid, and `fstat` fills it.
    unsafe {
        let mut about: libc::stat = std::mem::zeroed();
        descriptor > 2
            && descriptor != crate::state().trace
            && libc::fstat(descriptor, &mut about) == 0
            && about.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

/// Where a descriptor is watched, and what the queue was told of it.
#[derive(Clone, Copy)]
struct Watch {
    queue: c_int,
    events: u32,
    data: u64,
}

fn watched() -> &'static Mutex<HashMap<c_int, Watch>> {
    static WATCHED: OnceLock<Mutex<HashMap<c_int, Watch>>> = OnceLock::new();
    WATCHED.get_or_init(Mutex::default)
}

/// Has the queue that watches a descriptor tell of it again.
fn tell_again(descriptor: c_int) {
    let Ok(watched) = watched().lock() else { return };
    let Some(&Watch { queue, events, data }) = watched.get(&descriptor) else { return };
    drop(watched);
    let mut event = libc::epoll_event { events, u64: data };
    let real =
        real!("epoll_ctl" as unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int);
    // SAFETY: `event` is whole; a descriptor that is gone is an error that changes nothing.
    unsafe { real(queue, libc::EPOLL_CTL_MOD, descriptor, &mut event) };
}

/// How many bytes a transfer of `length` may have, or that it fails.
fn cut(call: Call, length: usize) -> Result<(usize, bool), ()> {
    match crate::fault(call) {
        Some(Effect::Errno(errno)) => {
            fail(errno);
            Err(())
        }
        Some(Effect::Short) if length > 1 => Ok((length.div_ceil(3), true)),
        _ => Ok((length, false)),
    }
}

macro_rules! failing {
    ($call:expr) => {
        if let Some(Effect::Errno(errno)) = crate::fault($call) {
            fail(errno);
            return -1;
        }
    };
}

/// See `epoll_ctl(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    queue: c_int,
    what: c_int,
    descriptor: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if let (Ok(mut watched), false) = (watched().lock(), event.is_null()) {
        if what != libc::EPOLL_CTL_DEL {
            watched.insert(descriptor, Watch { queue, events: (*event).events, data: (*event).u64 });
        }
    }
    real!("epoll_ctl" as unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int)(
        queue, what, descriptor, event,
    )
}

/// See `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, into: *mut timespec) -> c_int {
    let told = real!("clock_gettime" as unsafe extern "C" fn(c_int, *mut timespec) -> c_int)(clock, into);
    if told == 0 && clock == libc::CLOCK_REALTIME {
        let step = crate::wall_clock_step();
        let nanos = (*into).tv_sec * 1_000_000_000 + (*into).tv_nsec + step * 1_000_000;
        let nanos = nanos.max(0); // Linux lets nobody set a time before 1970
        ((*into).tv_sec, (*into).tv_nsec) =
            (nanos.div_euclid(1_000_000_000), nanos.rem_euclid(1_000_000_000));
    }
    if clock == libc::CLOCK_MONOTONIC {
        if let Some(Effect::Hold(milliseconds)) = crate::fault(Call::MonotonicClock) {
            libc::usleep(milliseconds as u32 * 1_000);
        }
    }
    told
}

/// See `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    from: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    failing!(Call::Accept);
    real!("accept4" as unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int)(
        listener, from, length, flags,
    )
}

/// See `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    failing!(Call::Socket);
    real!("socket" as unsafe extern "C" fn(c_int, c_int, c_int) -> c_int)(domain, kind, protocol)
}

/// See `bind(2)`.
#[no_mangle]
pub unsafe extern "C" fn bind(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    failing!(Call::Bind);
    real!("bind" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int)(socket, address, length)
}

/// See `listen(2)`.
#[no_mangle]
pub unsafe extern "C" fn listen(socket: c_int, backlog: c_int) -> c_int {
    failing!(Call::Listen);
    real!("listen" as unsafe extern "C" fn(c_int, c_int) -> c_int)(socket, backlog)
}

/// See `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_stream(socket) {
        failing!(Call::Connect);
    }
    real!("connect" as unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int)(
        socket, address, length,
    )
}

/// See `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(socket: c_int, into: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("recv" as unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
    if !is_stream(socket) {
        return real(socket, into, length, flags);
    }
    let Ok((most, short)) = cut(Call::Receive, length.min(256)) else { return -1 };
    let got = real(socket, into, if short { most } else { length }, flags);
    if short && got > 0 {
        tell_again(socket);
    }
    got
}

/// See `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(socket: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let real = real!("send" as unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
    if !is_stream(socket) {
        return real(socket, from, length, flags);
    }
    let Ok((most, short)) = cut(Call::Send, length) else { return -1 };
    let sent = real(socket, from, most, flags);
    if short && sent > 0 {
        tell_again(socket);
    }
    sent
}

/// See `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    let real = real!("writev" as unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t);
    if descriptor <= 2 || !is_stream(descriptor) || count < 1 {
        return real(descriptor, parts, count);
    }
    let Ok((most, short)) = cut(Call::Send, (*parts).iov_len) else { return -1 };
    if !short {
        return real(descriptor, parts, count);
    }
    let first = iovec { iov_base: (*parts).iov_base, iov_len: most };
    let sent = real(descriptor, &first, 1);
    tell_again(descriptor);
    sent
}

/// See `sendmsg(2)`.
#[no_mangle]
pub unsafe extern "C" fn sendmsg(socket: c_int, message: *const msghdr, flags: c_int) -> ssize_t {
    if is_stream(socket) {
        failing!(Call::Send);
    }
    real!("sendmsg" as unsafe extern "C" fn(c_int, *const msghdr, c_int) -> ssize_t)(socket, message, flags)
}

/// See `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    failing!(Call::Open);
    real!("open64" as unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int)(path, flags, mode)
}

/// See `read(2)`.
#[no_mangle]
pub unsafe extern "C" fn read(descriptor: c_int, into: *mut c_void, length: size_t) -> ssize_t {
    let real = real!("read" as unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t);
    if !is_file(descriptor) {
        return real(descriptor, into, length);
    }
    cut(Call::ReadFile, length).map_or(-1, |(most, _)| real(descriptor, into, most))
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
    cut(Call::ReadFile, length).map_or(-1, |(most, _)| real(descriptor, into, most, at))
}

/// See `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let real = real!("write" as unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t);
    if !is_file(descriptor) {
        return real(descriptor, from, length);
    }
    cut(Call::WriteFile, length).map_or(-1, |(most, _)| real(descriptor, from, most))
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
    cut(Call::WriteFile, length).map_or(-1, |(most, _)| real(descriptor, from, most, at))
}

/// See `rename(2)`.
#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    failing!(Call::Rename);
    real!("rename" as unsafe extern "C" fn(*const c_char, *const c_char) -> c_int)(from, to)
}

/// See `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    failing!(Call::Sync);
    real!("fsync" as unsafe extern "C" fn(c_int) -> c_int)(descriptor)
}

/// See `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    failing!(Call::Sync);
    real!("fdatasync" as unsafe extern "C" fn(c_int) -> c_int)(descriptor)
}

/// See `flock(2)`.
#[no_mangle]
pub unsafe extern "C" fn flock(descriptor: c_int, what: c_int) -> c_int {
    failing!(Call::Lock);
    real!("flock" as unsafe extern "C" fn(c_int, c_int) -> c_int)(descriptor, what)
}
