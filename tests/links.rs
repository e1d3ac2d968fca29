//! Links between processes on loopback.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use aspenrail::{
    link::{Link, LinkEvent, LinkOptions, LinkSink},
    metrics::Metrics,
    prelude::*,
    schema::PROTOCOL_VERSION,
    standin::layout::free_addresses,
};
use crossbeam_channel::{Receiver, Sender, unbounded};

#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use proxy::Proxy;

/// Far longer than anything here takes.
const NEVER: Duration = Duration::from_secs(30);

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
    let options =
        LinkOptions { hello, listen: address, queue_messages: 16, frame_max_bytes: 100_000 };
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
        let LinkEvent::Message { from, envelope } = b.events.recv_timeout(NEVER).unwrap() else {
            panic!("lost")
        };
        assert_eq!((from, *envelope), (a.address, message(number)));
    }
}

#[yare::parameterized(
    other_version = { PROTOCOL_VERSION + 1, 1 },
    other_group = { PROTOCOL_VERSION, 2 },
)]
fn stranger_is_refused(version: u32, group: u32) {
    let (stranger, own) = (start(version, group), start(PROTOCOL_VERSION, 1));
    stranger.link.send(own.address, message(1));
    let event = stranger.events.recv_timeout(NEVER).unwrap();
    assert!(
        matches!(event, LinkEvent::ConnectionLost { peer } if peer == own.address),
        "{event:?}"
    );
    assert_eq!(own.metrics.refusal_count(ErrorKind::VersionUnsupported), 1);
    assert!(own.events.try_recv().is_err(), "nothing of it is taken in");
}

#[test]
fn dead_peer_is_told_as_lost() {
    let a = start(PROTOCOL_VERSION, 1);
    let nobody = free_addresses(1).unwrap()[0];
    a.link.send(nobody, message(1));
    assert!(
        matches!(a.events.recv_timeout(NEVER).unwrap(), LinkEvent::ConnectionLost { peer } if peer == nobody)
    );
}

/// Time within which a silent connection must be found: users count a VM as in touch after so long.
const CONTACT: Duration = Duration::from_secs(3);

/// An open connection carries nothing any more, and nothing tells so: bytes are taken, none arrive.
/// Control processes lost sight of each other for good, since their messages expect no answer.
#[test]
fn a_connection_that_goes_silent_is_replaced() {
    let (a, b) = (start(PROTOCOL_VERSION, 1), start(PROTOCOL_VERSION, 1));
    let front = free_addresses(1).unwrap()[0];
    let proxy = Proxy::start(front, b.address);
    a.link.send(front, message(1));
    assert!(matches!(b.events.recv_timeout(NEVER), Ok(LinkEvent::Message { .. })));
    proxy.silence();
    let began = std::time::Instant::now();
    let mut number = 2;
    while b.events.try_recv().is_err() {
        assert!(began.elapsed() < CONTACT, "nothing arrives after {number} messages");
        a.link.send(front, message(number));
        number += 1;
        std::thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(a.metrics.silent_link_count(), 1);
}

/// Time for a host that takes connections again: a try, and what two processes take on a busy VM.
const BACK: Duration = Duration::from_millis(450);

/// A host drops the packet that opens a connection, as one without power does, and is back a moment
/// later. The system sends such a packet again only after a second; by then leases have lapsed.
#[test]
fn a_host_that_is_back_is_reached_at_once() {
    let host = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    host.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    host.listen(0).unwrap();
    let address = host.local_addr().unwrap().as_socket().unwrap();
    // Once its queue is full, it drops the packets that open further ones.
    let others: Vec<_> = (0..8)
        .map_while(|_| {
            std::net::TcpStream::connect_timeout(&address, Duration::from_millis(50)).ok()
        })
        .collect();
    assert!(others.len() < 8, "the queue of the host was never full");
    let a = start(PROTOCOL_VERSION, 1);
    a.link.send(address, message(1));
    std::thread::sleep(Duration::from_millis(300));
    others.iter().for_each(|_| drop(host.accept().unwrap()));
    host.set_read_timeout(Some(BACK)).unwrap();
    let began = std::time::Instant::now();
    assert!(host.accept().is_ok() && began.elapsed() < BACK, "not reached in {BACK:?}");
}
