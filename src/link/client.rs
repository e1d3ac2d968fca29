//! Sending side: one connection and one bounded queue per peer.

use std::{
    cell::Cell, collections::HashMap, fmt, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use bytes::Bytes;
use tokio::{net::TcpStream, sync::mpsc, time};

use crate::{
    link::{LinkEvent, LinkOptions, LinkSink, codec::encode_frame},
    metrics::{Limit, Metrics},
    prelude::*,
    util::{ByteBudget, Clock, ReservedBytes},
};

/// Timeout for opening a connection, with all its TCP connection attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of one TCP connection attempt. The kernel repeats an unanswered attempt only after 1 s,
/// although a host without power may be back earlier.
const CONNECT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);

const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
const BACKOFF_MIN: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// Time for which sent bytes may stay unacknowledged before TCP closes the connection.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval of the pings on a connection with recent messages, and timeout of their answers. Together
/// they detect a silent connection well within the 3 s after which a VM counts as unreachable, and
/// within a lease. Messages have no answers, so without pings the failure goes unnoticed: control
/// processes lost contact with each other permanently.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Age from which a queued message is dropped. The sender has sent a new one or has given up, and a
/// request in it may have been cancelled since.
const MESSAGE_AGE_MAX_MS: u64 = 5_000;

/// Why a connection could not be opened, or failed.
#[derive(Debug)]
enum SendError {
    Io(std::io::Error),
    Http2(h2::Error),
    Other(CompactString),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendError::Io(it) => it.fmt(f),
            SendError::Http2(it) => it.fmt(f),
            SendError::Other(it) => it.fmt(f),
        }
    }
}

impl From<std::io::Error> for SendError {
    fn from(it: std::io::Error) -> SendError {
        SendError::Io(it)
    }
}

impl From<h2::Error> for SendError {
    fn from(it: h2::Error) -> SendError {
        SendError::Http2(it)
    }
}

fn other_error(it: impl fmt::Display) -> SendError {
    SendError::Other(format_compact!("{it}"))
}

/// A message on its way to a peer, encoded.
struct QueuedFrame {
    bytes: Bytes,
    /// The time by the monotonic clock, which advances while the process is suspended.
    queued_ms: u64,
    /// Its part of the memory of all queues.
    _reserved: ReservedBytes,
}

/// Encodes a message and reserves its memory; returns `None` if it is dropped.
fn queue_frame(
    to: SocketAddr,
    envelope: &Envelope,
    options: &LinkOptions,
    memory: &ByteBudget,
    metrics: &Metrics,
) -> Option<QueuedFrame> {
    let bytes = match encode_frame(envelope, options.frame_max_bytes) {
        Ok(it) => it,
        Err(error) => {
            tracing::error!(event = "message_too_large", peer = %to, %error);
            metrics.count_dropped_message("too_large");
            return None;
        }
    };
    let Some(reserved) = memory.reserve(bytes.len()) else {
        metrics.count_dropped_message("queue_bytes");
        metrics.note_limit_reached(Limit::LinkQueueBytes);
        return None;
    };
    Some(QueuedFrame { bytes, queued_ms: Clock.now().mono_ms, _reserved: reserved })
}

impl QueuedFrame {
    fn is_outdated(&self) -> bool {
        self.queued_ms + MESSAGE_AGE_MAX_MS <= Clock.now().mono_ms
    }
}

/// Distributes messages to the queues of their peers.
pub(super) async fn route_messages<S: LinkSink>(
    mut incoming: mpsc::UnboundedReceiver<(SocketAddr, Envelope)>,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let mut peers: HashMap<SocketAddr, mpsc::Sender<QueuedFrame>> = HashMap::new();
    let memory = ByteBudget::new(options.queue_max_bytes);
    let mut last_sweep = time::Instant::now();
    while let Some((to, envelope)) = incoming.recv().await {
        if SWEEP_INTERVAL < last_sweep.elapsed() {
            last_sweep = time::Instant::now();
            peers.retain(|_, it| !it.is_closed());
        }
        let Some(mut frame) = queue_frame(to, &envelope, &options, &memory, &metrics) else {
            continue;
        };
        // The task of an idle peer has ended; the second attempt starts a new one.
        for _ in 0..2 {
            let queue = peers.entry(to).or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(options.queue_messages);
                let peer = Peer { address: to, options: options.clone(), metrics: metrics.clone() };
                tokio::task::spawn_local(send_to_peer(peer, receiver, sink.clone()));
                sender
            });
            match queue.try_send(frame) {
                Ok(()) => break,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    metrics.count_dropped_message("queue_full");
                    break;
                }
                Err(mpsc::error::TrySendError::Closed(it)) => {
                    frame = it;
                    peers.remove(&to);
                }
            }
        }
    }
}

struct Peer {
    address: SocketAddr,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
}

/// Sends the messages for one peer; ends after [`IDLE_TIMEOUT`] without messages.
async fn send_to_peer<S: LinkSink>(peer: Peer, mut queue: mpsc::Receiver<QueuedFrame>, sink: S) {
    let mut backoff = BACKOFF_MIN;
    while let Ok(Some(first)) = time::timeout(IDLE_TIMEOUT, queue.recv()).await {
        let connection = time::timeout(CONNECT_TIMEOUT, connect(&peer)).await;
        let mut stream = match connection {
            Ok(Ok(it)) => it,
            failure => {
                if let Ok(Err(error)) = failure {
                    tracing::debug!(event = "link_refused", peer = %peer.address, %error);
                }
                // Queued messages are outdated after the failure; the cores send new ones.
                peer.metrics.count_dropped_message("no_connection");
                while queue.try_recv().is_ok() {
                    peer.metrics.count_dropped_message("no_connection");
                }
                sink.on_event(LinkEvent::ConnectionLost { peer: peer.address });
                time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
                continue;
            }
        };
        backoff = BACKOFF_MIN;
        let mut next = Some(first);
        let result = loop {
            let Some(frame) = next.take() else {
                break Ok(());
            };
            if frame.is_outdated() {
                peer.metrics.count_dropped_message("outdated");
            } else {
                peer.metrics.link_bytes_sent.inc_by(frame.bytes.len() as u64);
                peer.metrics.link_frames_sent.inc();
                if let Err(error) = write_frame(&mut stream, frame.bytes).await {
                    break Err(error);
                }
            }
            let received = time::timeout(IDLE_TIMEOUT, receive_or_break(&mut queue, &mut stream));
            next = received.await.unwrap_or_default();
            if next.is_none() && stream.is_broken {
                break Err(other_error("the peer closed the connection"));
            }
        };
        match result {
            Ok(()) => return,
            Err(error) => {
                tracing::debug!(event = "link_lost", peer = %peer.address, %error);
                sink.on_event(LinkEvent::ConnectionLost { peer: peer.address });
            }
        }
    }
}

/// An open stream to a peer.
struct Stream {
    send: h2::SendStream<Bytes>,
    /// Whether data was sent since the last check for a ping.
    sent_since_ping: Rc<Cell<bool>>,
    closed: tokio::sync::oneshot::Receiver<()>,
    is_broken: bool,
}

/// Waits for the next message, or for the connection to fail.
async fn receive_or_break(
    queue: &mut mpsc::Receiver<QueuedFrame>,
    stream: &mut Stream,
) -> Option<QueuedFrame> {
    tokio::select! {
        biased;
        _ = &mut stream.closed => {
            stream.is_broken = true;
            None
        }
        it = queue.recv() => it,
    }
}

/// Opens a TCP connection, with repeated attempts, as the host may come back at any moment; the caller
/// limits the total time.
async fn connect_tcp(address: SocketAddr) -> std::io::Result<TcpStream> {
    loop {
        if let Ok(it) = time::timeout(CONNECT_ATTEMPT_TIMEOUT, TcpStream::connect(address)).await {
            return it;
        }
    }
}

async fn connect(peer: &Peer) -> Result<Stream, SendError> {
    let tcp = connect_tcp(peer.address).await?;
    tcp.set_nodelay(true)?;
    socket2::SockRef::from(&tcp).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let (mut client, mut connection) = h2::client::Builder::new()
        .initial_window_size(1 << 22)
        .initial_connection_window_size(1 << 22)
        .handshake::<_, Bytes>(tcp)
        .await?;
    let (closed_sender, closed) = tokio::sync::oneshot::channel();
    let sent_since_ping = Rc::new(Cell::new(true));
    let ping = connection
        .ping_pong()
        .ok_or_else(|| other_error("the ping handle of the connection is already taken"))?;
    let silence = wait_until_silent(ping, sent_since_ping.clone());
    let (address, metrics) = (peer.address, peer.metrics.clone());
    tokio::task::spawn_local(async move {
        tokio::select! {
            // Errors of the connection are also reported by the stream.
            _ = connection => (),
            () = silence => {
                tracing::warn!(event = "link_silent", peer = %address, timeout_ms = PING_TIMEOUT.as_millis());
                metrics.count_silent_link();
            }
        }
        let _ = closed_sender.send(());
    });
    std::future::poll_fn(|cx| client.poll_ready(cx)).await?;
    let request = http::Request::post(format!("http://{}/link", peer.address))
        .body(())
        .map_err(other_error)?;
    let (response, send) = client.send_request(request, false)?;
    let mut stream = Stream { send, sent_since_ping, closed, is_broken: false };
    let hello =
        encode_frame(&peer.options.hello, peer.options.frame_max_bytes).map_err(other_error)?;
    write_frame(&mut stream, hello).await?;
    let response = response.await?;
    if response.status() != http::StatusCode::OK {
        let own_version = peer.options.hello.version;
        tracing::error!(event = "link_version_refused", peer = %peer.address, ours = own_version, status = %response.status());
        return Err(other_error(format_compact!("the peer answered {}", response.status())));
    }
    Ok(stream)
}

/// Returns once the peer does not answer a ping in time. Pings are sent only after other data.
async fn wait_until_silent(mut ping: h2::PingPong, sent_since_ping: Rc<Cell<bool>>) {
    loop {
        time::sleep(PING_INTERVAL).await;
        if !sent_since_ping.take() {
            continue;
        }
        let answer = time::timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
    }
}

async fn write_frame(stream: &mut Stream, mut data: Bytes) -> Result<(), SendError> {
    stream.sent_since_ping.set(true);
    while !data.is_empty() {
        stream.send.reserve_capacity(data.len());
        let granted = std::future::poll_fn(|cx| stream.send.poll_capacity(cx)).await;
        let granted = granted.ok_or_else(|| other_error("the stream was closed"))??;
        let chunk = data.split_to(granted.min(data.len()));
        stream.send.send_data(chunk, false)?;
    }
    Ok(())
}
