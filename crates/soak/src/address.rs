//! Loopback addresses that are unique among the parties of concurrent runs.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports are below the kernel's ephemeral range, so that a port stays free while nothing listens on it.
const FIRST_PORT: u16 = 10_000;
const PORT_LIMIT: u16 = 32_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// Returns an address in 127.0.0.0/8 that this process has not returned before. The IP address is derived from the
/// process id.
///
/// # Panics
///
/// When all ports have been used, which is after some hundred runs of one process.
pub fn allocate() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    assert!(port < PORT_LIMIT, "this process has used all its ports");
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1 + high % 250, low, 1), port))
}
