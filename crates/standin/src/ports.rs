//! Loopback ports for processes that tests start and restart.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports outside the range from which systems choose the ports of outgoing connections: such a
/// connection could otherwise take a port while its process is down.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;
/// Number of ports after which the ports of the next process id begin.
const PORTS_PER_PROCESS: u32 = 80;

static PICKED: AtomicU32 = AtomicU32::new(0);

/// Picks unused loopback addresses, none of which this process has picked before.
///
/// # Errors
///
/// If no port is free.
///
/// # Examples
///
/// ```
/// let addrs = standin::free_addrs(2).unwrap();
/// assert_ne!(addrs[0], addrs[1]);
/// ```
pub fn free_addrs(count: usize) -> io::Result<Vec<SocketAddr>> {
    (0..count).map(|_| free_addr()).collect()
}

fn free_addr() -> io::Result<SocketAddr> {
    let first = std::process::id().wrapping_mul(PORTS_PER_PROCESS);
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_COUNT {
        let offset = first.wrapping_add(PICKED.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        let port = u16::try_from(FIRST_PORT + offset).map_err(io::Error::other)?;
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => return listener.local_addr(),
            Err(e) => last = e,
        }
    }
    Err(last)
}
