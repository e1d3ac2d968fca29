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
    config::parse_settings,
    http::{HttpAnswer, Pending, ServerLimits, ServerOptions, start_server},
    metrics::Metrics,
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
        watches_stalls: false,
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

/// Returns the limits of a process whose settings have a further line.
fn limits(line: &str) -> ServerLimits {
    let text = format!(
        "[process]\nname = a\nroles = node\nzone = z\n{line}\n[link]\nlisten = 127.0.0.1:7000\n\
         control = 127.0.0.1:7001\n[node]\nlisten = 127.0.0.1:7003\nworker = 127.0.0.1:7004\n"
    );
    ServerLimits::new(&parse_settings("file.ini", &text).unwrap().process, Metrics::new())
}

/// A new connection displaces one that waits for a request, and never one whose request is worked on.
#[test]
fn a_request_at_work_is_answered_beside_any_number_of_connections() {
    let address = free_addresses(1).unwrap()[0];
    let options = ServerOptions {
        listen: address,
        threads: 2,
        body_max_bytes: 1_000,
        headers_max_bytes: 16 * 1024,
        watches_stalls: false,
    };
    let pending = Pending::default();
    let (sender, tokens) = std::sync::mpsc::channel();
    start_server(options, &limits("connections_max = 8"), &pending, move |token, request| {
        let request = request.unwrap();
        if request.path == "/slow" {
            sender.send(token).unwrap();
            return None;
        }
        Some(HttpAnswer::text(200, "text/plain", "quick".to_owned()))
    })
    .unwrap();
    let mut slow = TcpStream::connect(address).unwrap();
    slow.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    slow.write_all(b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    let token = tokens.recv_timeout(READ_TIMEOUT).unwrap();
    let mut idle: Vec<_> = (0..20).map(|_| TcpStream::connect(address).unwrap()).collect();
    let (_, text) = exchange(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    for it in &mut idle[..12] {
        it.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        assert!(matches!(it.read(&mut [0; 16]), Ok(0) | Err(_)), "closed for a newer one");
    }
    pending.answer(token, HttpAnswer::text(200, "text/plain", "slow".to_owned()));
    let mut buffer = [0; 4096];
    let read = slow.read(&mut buffer).unwrap();
    assert!(buffer[..read].ends_with(b"slow"));
}

/// A connection that was idle for long and now sends a request is not closed for a new one while others
/// stay idle.
#[test]
fn idle_connections_are_closed_before_one_that_sends_a_request() {
    let address = free_addresses(1).unwrap()[0];
    let options = ServerOptions {
        listen: address,
        threads: 1,
        body_max_bytes: 1_000,
        headers_max_bytes: 16 * 1024,
        watches_stalls: false,
    };
    let limits = limits("connections_max = 8");
    start_server(options, &limits, &Pending::default(), |_, it| {
        Some(HttpAnswer::text(200, "text/plain", format!("{} bytes", it.unwrap().body.len())))
    })
    .unwrap();
    let (mut sender, _) = exchange(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    let idle: Vec<_> = (0..7).map(|_| TcpStream::connect(address).unwrap()).collect();
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n";
    sender.write_all(head.as_bytes()).unwrap();
    let mut buffer = [0; 4096];
    let read = sender.read(&mut buffer).unwrap();
    assert!(buffer[..read].starts_with(b"HTTP/1.1 100"), "the headers were read");
    for _ in 0..5 {
        let (_, text) = exchange(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    }
    sender.write_all(b"abcd").unwrap();
    let read = sender.read(&mut buffer).unwrap();
    assert!(buffer[..read].ends_with(b"4 bytes"), "{}", String::from_utf8_lossy(&buffer[..read]));
    drop(idle);
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
