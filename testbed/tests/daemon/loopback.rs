//! Loopback addresses that differ between tests and between test processes.

use std::net;
use std::process;
use std::sync::atomic;

/// Listens on a free port of a loopback IP. The IP is derived from the process
/// id and a counter, so that a port that one test frees is not reused by
/// another test.
pub async fn listen() -> tokio::net::TcpListener {
    static NEXT_IP_NUMBER: atomic::AtomicU8 = atomic::AtomicU8::new(0);
    let number = NEXT_IP_NUMBER.fetch_add(1, atomic::Ordering::Relaxed);
    let [.., high, low] = process::id().to_be_bytes();
    let ip = net::Ipv4Addr::new(127, 64 | high, low, number);
    let listener = tokio::net::TcpListener::bind((ip, 0)).await;
    listener.expect("a free port")
}
