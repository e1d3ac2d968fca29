//! Tests links between processes on loopback.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use aspenrail::{
    error::ERROR_ANSWERS,
    link::{Link, LinkEvent, LinkOptions, LinkSink},
    metrics::{Limit, Metrics},
    prelude::*,
    schema::PROTOCOL_VERSION,
    standin::layout::free_addresses,
};
use crossbeam_channel::{Receiver, Sender, unbounded};

#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use proxy::Proxy;

/// Far longer than any event takes to arrive.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

const FRAME_MAX_BYTES: usize = 100_000;
const QUEUE_MAX_BYTES: usize = 1 << 20;
const GREETINGS_MAX: usize = 8;

#[derive(Clone)]
struct Sink(Sender<LinkEvent>);

impl LinkSink for Sink {
    fn on_event(&self, event: LinkEvent) {
        let _ = self.0.send(event);
    }
}

struct Process {
    link: Link,
    events: Receiver<LinkEvent>,
    metrics: Arc<Metrics>,
    address: SocketAddr,
}

fn start(version: u32, group: u32) -> Process {
    let address = free_addresses(1).unwrap()[0];
    let hello = Hello { version, process: "p".into(), region: 1, group, address };
    let options = LinkOptions {
        hello,
        listen: address,
        queue_messages: 16,
        frame_max_bytes: FRAME_MAX_BYTES,
        queue_max_bytes: QUEUE_MAX_BYTES,
        greetings_max: GREETINGS_MAX,
    };
    let (sender, events) = unbounded();
    let metrics = Metrics::new();
    let link = Link::start(options, metrics.clone(), Sink(sender)).unwrap();
    Process { link, events, metrics, address }
}

fn message(number: u64) -> Envelope {
    Envelope { in_force: Revision(number), message: Message::NotLeader(None) }
}

#[test]
fn messages_arrive_whole_and_in_order() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    (1..=10).for_each(|it| a.link.send(b.address, message(it)));
    for number in 1..=10 {
        let LinkEvent::Message { from, envelope, .. } =
            b.events.recv_timeout(EVENT_TIMEOUT).unwrap()
        else {
            panic!("connection lost")
        };
        assert_eq!((from, *envelope), (a.address, message(number)));
    }
}

#[yare::parameterized(
    other_version = { PROTOCOL_VERSION + 1, 1, ErrorKind::VersionUnsupported },
    other_group = { PROTOCOL_VERSION, 2, ErrorKind::Forbidden },
)]
fn stranger_is_refused(version: u32, group: u32, cause: ErrorKind) {
    let (stranger, own) = (start(version, group), start(PROTOCOL_VERSION, 1));
    stranger.link.send(own.address, message(1));
    let event = stranger.events.recv_timeout(EVENT_TIMEOUT).unwrap();
    assert!(
        matches!(event, LinkEvent::ConnectionLost { peer } if peer == own.address),
        "{event:?}"
    );
    assert_eq!(own.metrics.refusal_count(cause), 1);
    let counts = ERROR_ANSWERS.iter().map(|it| own.metrics.refusal_count(it.kind));
    assert_eq!(counts.sum::<u64>(), 1, "one cause is counted");
    assert!(own.events.try_recv().is_err(), "no message of the refused process is delivered");
}

#[test]
fn dead_peer_is_told_as_lost() {
    let a = start(PROTOCOL_VERSION, 1);
    let unused_address = free_addresses(1).unwrap()[0];
    a.link.send(unused_address, message(1));
    assert!(
        matches!(a.events.recv_timeout(EVENT_TIMEOUT).unwrap(), LinkEvent::ConnectionLost { peer } if peer == unused_address)
    );
}

fn large_message() -> Envelope {
    let target = WorkflowTarget { host: "h".into(), path: "x".repeat(90_000).into() };
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let call = WorkflowCall { id: 1, reply_to: address, request: WorkflowRequest::Inspect(target) };
    Envelope { in_force: Revision(0), message: Message::WorkflowCall(call) }
}

/// A peer that takes nothing gets as many messages queued as their memory allows, and another peer
/// is reached meanwhile.
#[test]
fn messages_for_a_peer_that_takes_nothing_are_bounded_by_memory() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    let mute = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mute_address = mute.local_addr().unwrap();
    (0..15).for_each(|_| a.link.send(mute_address, large_message()));
    a.link.send(b.address, message(7));
    let LinkEvent::Message { envelope, .. } = b.events.recv_timeout(EVENT_TIMEOUT).unwrap() else {
        panic!("connection lost")
    };
    assert_eq!(*envelope, message(7));
    // Beside eight of them, a quarter of the remainder is too little for another one.
    assert_eq!(a.metrics.limit_reached_count(Limit::LinkQueueBytes), 15 - 8);
}

/// Connections that say no hello displace each other, and no peer that has said hello.
#[test]
fn silent_connections_keep_no_peer_out() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    a.link.send(b.address, message(1));
    assert!(b.events.recv_timeout(EVENT_TIMEOUT).is_ok());
    let mut silent: Vec<_> =
        (0..30).map(|_| std::net::TcpStream::connect(b.address).unwrap()).collect();
    let c = start(PROTOCOL_VERSION, 1);
    c.link.send(b.address, message(2));
    a.link.send(b.address, message(3));
    for _ in 0..2 {
        let event = b.events.recv_timeout(EVENT_TIMEOUT).unwrap();
        assert!(matches!(event, LinkEvent::Message { .. }), "{event:?}");
    }
    for it in &mut silent[..30 - GREETINGS_MAX] {
        it.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        // The process sends its settings first; the connection then ends.
        assert!(std::io::copy(it, &mut std::io::sink()).is_ok_and(|it| it < 1_000));
    }
    assert!(a.events.try_recv().is_err(), "a lost its connection");
    assert!(30 - GREETINGS_MAX as u64 <= b.metrics.limit_reached_count(Limit::Greetings));
}

/// A process that works on nothing receives as many messages as their memory allows; the others
/// follow once it works on them.
#[test]
fn received_messages_are_bounded_by_memory() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    for _ in 0..30 {
        a.link.send(b.address, large_message());
        // Lets the sender's queue, which is bounded too, run empty.
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut unhandled = Vec::new();
    while let Ok(it) = b.events.recv_timeout(Duration::from_secs(1)) {
        unhandled.push(it);
    }
    let is_message = |it: &LinkEvent| matches!(it, LinkEvent::Message { .. });
    assert!(unhandled.iter().all(is_message));
    assert_eq!(unhandled.len(), QUEUE_MAX_BYTES / 90_000);
    unhandled.clear();
    assert!(is_message(&b.events.recv_timeout(EVENT_TIMEOUT).unwrap()));
}

/// Time after which a message that is still queued is outdated, and a margin.
const OUTDATED_AFTER: Duration = Duration::from_millis(5_500);

/// Messages that have waited for long for a peer that takes nothing are dropped: a request among them
/// may have been cancelled since. Newer ones arrive.
#[test]
fn outdated_messages_are_not_sent() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    for _ in 0..30 {
        a.link.send(b.address, large_message());
        std::thread::sleep(Duration::from_millis(5));
    }
    let unhandled: Vec<_> =
        std::iter::from_fn(|| b.events.recv_timeout(Duration::from_secs(1)).ok()).collect();
    a.link.send(b.address, message(7));
    std::thread::sleep(OUTDATED_AFTER);
    drop(unhandled);
    a.link.send(b.address, message(8));
    let mut numbers = Vec::new();
    while numbers.last() != Some(&8) {
        match b.events.recv_timeout(EVENT_TIMEOUT).unwrap() {
            LinkEvent::Message { envelope, .. } => numbers.push(envelope.in_force.0),
            event => panic!("{event:?}"),
        }
    }
    assert!(!numbers.contains(&7), "{numbers:?}");
}

/// Longest time until messages arrive again: users expect a VM to be in contact within it.
const RECOVERY_MAX: Duration = Duration::from_secs(3);

/// An open connection stops delivering without an error: writes succeed, but no bytes arrive. Control
/// processes lost contact for good this way, since their messages expect no answer.
#[test]
fn a_connection_that_goes_silent_is_replaced() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    let proxy_address = free_addresses(1).unwrap()[0];
    let proxy = Proxy::start(proxy_address, b.address);
    a.link.send(proxy_address, message(1));
    assert!(matches!(b.events.recv_timeout(EVENT_TIMEOUT), Ok(LinkEvent::Message { .. })));
    proxy.silence();
    let began = std::time::Instant::now();
    let mut number = 2;
    while b.events.try_recv().is_err() {
        assert!(began.elapsed() < RECOVERY_MAX, "no message arrived before message {number}");
        a.link.send(proxy_address, message(number));
        number += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(a.metrics.silent_link_count(), 1);
}

/// Longest time to reach a host that accepts again: one attempt and the delays of two processes on
/// a busy VM.
const RECONNECT_MAX: Duration = Duration::from_millis(450);

/// A host drops a SYN packet, as a host without power does, and is back a moment later. The operating
/// system resends a SYN only after a second; by then leases have expired.
#[test]
fn a_host_that_is_back_is_reached_at_once() {
    let host = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    host.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    host.listen(0).unwrap();
    let address = host.local_addr().unwrap().as_socket().unwrap();
    // Once its accept queue is full, the host drops further SYN packets.
    let queued: Vec<_> = (0..8)
        .map_while(|_| {
            std::net::TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok()
        })
        .collect();
    assert!(queued.len() < 8, "the accept queue of the host was never full");
    let a = start(PROTOCOL_VERSION, 1);
    a.link.send(address, message(1));
    std::thread::sleep(Duration::from_millis(300));
    queued.iter().for_each(|_| drop(host.accept().unwrap()));
    host.set_read_timeout(Some(RECONNECT_MAX)).unwrap();
    let began = std::time::Instant::now();
    assert!(
        host.accept().is_ok() && began.elapsed() < RECONNECT_MAX,
        "the host was not reached within {RECONNECT_MAX:?}"
    );
}
