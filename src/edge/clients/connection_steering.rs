//! Decides, in the kernel, which listener gets a new connection, by classic BPF programs (`socket(7)`:
//! `SO_ATTACH_REUSEPORT_CBPF`, `SO_ATTACH_FILTER`). It is used while a listener closes: what does not reach it can't be
//! lost with it.
//!
//! Listeners that share an address by `SO_REUSEPORT` form a group, in which the kernel numbers them. A program of the
//! group returns the number of the listener for a new connection; for a number without a listener the kernel chooses by
//! the hash of the addresses, as it does without a program. The program belongs to the group and outlives the listener
//! through which it was attached.

use std::io;
use std::os::fd::AsFd;

use nix::sys::socket::setsockopt;
use nix::sys::socket::sockopt::AttachReusePortCbpf;
use socket2::{SockFilter, SockRef};

/// BPF instruction: load a byte of the packet at an absolute offset.
const LOAD_BYTE: u16 = (libc::BPF_LD | libc::BPF_B | libc::BPF_ABS) as u16;
/// BPF instruction: jump if any bit of a mask is set.
const JUMP_IF_SET: u16 = (libc::BPF_JMP | libc::BPF_JSET | libc::BPF_K) as u16;
/// BPF instruction: return a constant.
const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;
/// The offset of the flags in a TCP header (bytes).
const TCP_FLAGS_OFFSET: u32 = 13;
/// The flag of the packet that begins a connection.
const TCP_SYN: u32 = 0x02;
/// The results of a socket filter.
const DROP_PACKET: u32 = 0;
const KEEP_PACKET: u32 = u32::MAX;
/// A number that no listener of a group has.
const NO_LISTENER: u32 = u32::MAX;

/// Gives all new connections to the listener of this number in the group of `listener`.
///
/// # Errors
/// The error of `setsockopt(2)`, for example where the address is not shared.
pub fn steer_to(listener: &impl AsFd, number: u32) -> io::Result<()> {
    let mut program = [libc::sock_filter { code: RETURN, jt: 0, jf: 0, k: number }];
    let program = libc::sock_fprog { len: 1, filter: program.as_mut_ptr() };
    setsockopt(listener, AttachReusePortCbpf, &program).map_err(io::Error::from)
}

/// Has the kernel choose by the hash of the addresses again in the group of `listener`.
///
/// # Errors
/// As [`steer_to`].
pub fn steer_by_hash(listener: &impl AsFd) -> io::Result<()> {
    steer_to(listener, NO_LISTENER)
}

/// Drops the first packet of each new connection to `listener`, without an answer: clients send it again after a second.
/// Handshakes that have begun are completed.
///
/// # Errors
/// The error of `setsockopt(2)`.
pub fn drop_new_connections(listener: &impl AsFd) -> io::Result<()> {
    SockRef::from(listener).attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, TCP_SYN),
        SockFilter::new(RETURN, 0, 0, DROP_PACKET),
        SockFilter::new(RETURN, 0, 0, KEEP_PACKET),
    ])
}
