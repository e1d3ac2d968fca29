//! Tests the HTTP server.
#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier},
    thread,
    time::Duration,
};

use aspenrail::{
    http::{HttpAnswer, Pending, ServerLimits, ServerOptions, start_server},
    standin::layout::free_addresses,
};

/// Far longer than any answer takes; only a request that is never answered reaches it.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

fn start() -> SocketAddr {
    let address = free_addresses(1).unwrap()[0];
    let options = ServerOptions {
        listen: address,
        threads: 2,
        body_max_bytes: 1_000,
        headers_max_bytes: 16 * 1024,
    };
    start_server(options, &ServerLimits::unlimited(), &Pending::default(), |_, it| {
        Some(match it {
            Ok(it) => HttpAnswer::text(200, "text/plain", format!("{} bytes", it.body.len())),
            Err(it) => HttpAnswer::refusal(&it),
        })
    })
    .unwrap();
    address
}

fn exchange(address: SocketAddr, request: &[u8]) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(request).unwrap();
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).unwrap();
    (stream, String::from_utf8_lossy(&buffer[..read]).into_owned())
}

/// With `tiny_http`, up to 10 of these 32 requests waited until another connection closed.
#[test]
fn callers_that_connect_at_once_and_stay_are_all_answered() {
    let address = start();
    let barrier = Arc::new(Barrier::new(32));
    let callers: Vec<_> = (0..32)
        .map(|_| {
            let barrier = barrier.clone();
            thread::spawn(move || {
                barrier.wait();
                let (stream, text) = exchange(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
                // No connection closes before all requests are answered.
                barrier.wait();
                drop(stream);
                text
            })
        })
        .collect();
    for caller in callers {
        assert!(caller.join().unwrap().starts_with("HTTP/1.1 200"));
    }
}

/// The server must read the whole body first: when it refused earlier, the caller saw a broken
/// connection instead of the answer.
#[yare::parameterized(
    declared = { "Content-Length: 2000000\r\n\r\n", "" },
    chunked = { "Transfer-Encoding: chunked\r\n\r\n1e8480\r\n", "\r\n0\r\n\r\n" },
)]
fn a_body_that_is_too_large_is_refused(head: &str, tail: &str) {
    let request = format!("POST / HTTP/1.1\r\nHost: a\r\n{head}{}{tail}", "x".repeat(2_000_000));
    let (_, text) = exchange(start(), request.as_bytes());
    assert!(text.starts_with("HTTP/1.1 413"), "{text}");
    assert!(text.contains("payload_too_large"), "{text}");
}

#[test]
fn headers_that_are_too_large_are_refused() {
    let request = format!("GET / HTTP/1.1\r\nHost: a\r\nX-Long: {}\r\n\r\n", "x".repeat(40_000));
    let (_, text) = exchange(start(), request.as_bytes());
    assert!(text.starts_with("HTTP/1.1 431"), "{text}");
}

#[test]
fn garbage_is_answered_and_the_server_lives() {
    let address = start();
    let (_, text) = exchange(address, b"\x00\xffnonsense\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 400"), "{text}");
    let (_, text) = exchange(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}
