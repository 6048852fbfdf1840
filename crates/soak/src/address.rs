//! Loopback addresses that no two parties of concurrent runs share.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the kernel hands out by itself, so that a port stays free while nothing listens on it.
const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// An address of 127.0.0.0/8 that this process has not handed out before, on an IP derived from the process id.
///
/// # Panics
///
/// When all ports are used: after some hundred runs of one process.
pub fn allocate() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port < LAST_PORT, "one process has used all its ports");
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1 + high % 250, low, 1), port))
}
