//! The sending side: one connection and one bounded queue for each peer.

use std::{
    cell::Cell, collections::HashMap, fmt, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use bytes::Bytes;
use tokio::{net::TcpStream, sync::mpsc, time};

use crate::{
    link::{LinkEvent, LinkOptions, LinkSink, codec::encode_frame},
    metrics::Metrics,
    prelude::*,
};

/// Time for a connection, of which each try to reach the peer's host has a part: what was sent to a
/// host without power is sent again only after a second by the system, while the host may be back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const DIAL_TIMEOUT: Duration = Duration::from_millis(200);
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
const SWEEP_INTERVAL: Duration = Duration::from_secs(60);
const BACKOFF_MIN: Duration = Duration::from_millis(20);
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// How long sent bytes may stay unacknowledged before a connection counts as broken.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which a connection that was sent on is asked for a sign of life, and the time for it.
/// Together they find a silent connection well within the 3 s after which a VM counts as out of
/// touch, and within a lease. Messages expect no answer, so that nothing else would show it: control
/// processes lost sight of each other for good.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Why a connection could not be opened or broke.
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

fn other(it: impl fmt::Display) -> SendError {
    SendError::Other(format_compact!("{it}"))
}

/// Hands messages to the queues of their peers.
pub(super) async fn route<S: LinkSink>(
    mut incoming: mpsc::UnboundedReceiver<(SocketAddr, Envelope)>,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let mut peers: HashMap<SocketAddr, mpsc::Sender<Envelope>> = HashMap::new();
    let mut swept = time::Instant::now();
    while let Some((to, mut envelope)) = incoming.recv().await {
        if SWEEP_INTERVAL < swept.elapsed() {
            swept = time::Instant::now();
            peers.retain(|_, it| !it.is_closed());
        }
        // A peer that was idle has ended its task; a second try starts a new one.
        for _ in 0..2 {
            let queue = peers.entry(to).or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(options.queue_messages);
                let peer = Peer { address: to, options: options.clone(), metrics: metrics.clone() };
                tokio::task::spawn_local(carry(peer, receiver, sink.clone()));
                sender
            });
            match queue.try_send(envelope) {
                Ok(()) => break,
                Err(mpsc::error::TrySendError::Full(_)) => {
                    metrics.count_dropped_message("queue_full");
                    break;
                }
                Err(mpsc::error::TrySendError::Closed(it)) => {
                    envelope = it;
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

/// Carries the messages for one peer until there have been none for a while.
async fn carry<S: LinkSink>(peer: Peer, mut queue: mpsc::Receiver<Envelope>, sink: S) {
    let mut backoff = BACKOFF_MIN;
    while let Ok(Some(first)) = time::timeout(IDLE_TIMEOUT, queue.recv()).await {
        let connected = time::timeout(CONNECT_TIMEOUT, connect(&peer)).await;
        let mut stream = match connected {
            Ok(Ok(it)) => it,
            failed => {
                if let Ok(Err(error)) = failed {
                    tracing::debug!(event = "link_refused", peer = %peer.address, %error);
                }
                // What waited meanwhile is as old as the failure; the cores send anew.
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
        let ended = loop {
            let Some(envelope) = next.take() else {
                break Ok(());
            };
            if let Err(error) = send(&peer, &mut stream, &envelope).await {
                break Err(error);
            }
            let waited = time::timeout(IDLE_TIMEOUT, receive_or_break(&mut queue, &mut stream));
            next = waited.await.unwrap_or_default();
            if next.is_none() && stream.broken {
                break Err(other("the peer closed the connection"));
            }
        };
        match ended {
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
    /// Whether anything was sent since the last ping.
    is_used: Rc<Cell<bool>>,
    closed: tokio::sync::oneshot::Receiver<()>,
    broken: bool,
}

/// Waits for the next message, or for the connection to break.
async fn receive_or_break(
    queue: &mut mpsc::Receiver<Envelope>,
    stream: &mut Stream,
) -> Option<Envelope> {
    tokio::select! {
        biased;
        _ = &mut stream.closed => {
            stream.broken = true;
            None
        }
        it = queue.recv() => it,
    }
}

/// Opens a connection to a host that may just come back, within the time for the whole.
async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    loop {
        if let Ok(it) = time::timeout(DIAL_TIMEOUT, TcpStream::connect(address)).await {
            return it;
        }
    }
}

async fn connect(peer: &Peer) -> Result<Stream, SendError> {
    let tcp = dial(peer.address).await?;
    tcp.set_nodelay(true)?;
    socket2::SockRef::from(&tcp).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let (mut client, mut connection) = h2::client::Builder::new()
        .initial_window_size(1 << 22)
        .initial_connection_window_size(1 << 22)
        .handshake::<_, Bytes>(tcp)
        .await?;
    let (closing, closed) = tokio::sync::oneshot::channel();
    let is_used = Rc::new(Cell::new(true));
    let ping = connection.ping_pong().ok_or_else(|| other("pings are taken already"))?;
    let silent = wait_for_silence(ping, is_used.clone());
    let (address, metrics) = (peer.address, peer.metrics.clone());
    tokio::task::spawn_local(async move {
        tokio::select! {
            // How it ended shows on the stream.
            _ = connection => (),
            () = silent => {
                tracing::warn!(event = "link_silent", peer = %address, timeout_ms = PING_TIMEOUT.as_millis());
                metrics.count_silent_link();
            }
        }
        let _ = closing.send(());
    });
    std::future::poll_fn(|cx| client.poll_ready(cx)).await?;
    let request =
        http::Request::post(format!("http://{}/link", peer.address)).body(()).map_err(other)?;
    let (response, send) = client.send_request(request, false)?;
    let mut stream = Stream { send, is_used, closed, broken: false };
    let hello = encode_frame(&peer.options.hello, peer.options.frame_max_bytes).map_err(other)?;
    write(&mut stream, hello).await?;
    let response = response.await?;
    if response.status() != http::StatusCode::OK {
        let wanted = peer.options.hello.version;
        tracing::error!(event = "link_version_refused", peer = %peer.address, ours = wanted, status = %response.status());
        return Err(other(format_compact!("the peer answered {}", response.status())));
    }
    Ok(stream)
}

async fn send(peer: &Peer, stream: &mut Stream, envelope: &Envelope) -> Result<(), SendError> {
    let frame = match encode_frame(envelope, peer.options.frame_max_bytes) {
        Ok(it) => it,
        Err(error) => {
            tracing::error!(event = "message_too_large", peer = %peer.address, %error);
            peer.metrics.count_dropped_message("too_large");
            return Ok(());
        }
    };
    peer.metrics.link_bytes_sent.inc_by(frame.len() as u64);
    peer.metrics.link_frames_sent.inc();
    write(stream, frame).await
}

/// Returns when the peer gives no sign of life though something was sent to it.
async fn wait_for_silence(mut ping: h2::PingPong, is_used: Rc<Cell<bool>>) {
    loop {
        time::sleep(PING_INTERVAL).await;
        if !is_used.take() {
            continue;
        }
        let answered = time::timeout(PING_TIMEOUT, ping.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}

async fn write(stream: &mut Stream, mut data: Bytes) -> Result<(), SendError> {
    stream.is_used.set(true);
    while !data.is_empty() {
        stream.send.reserve_capacity(data.len());
        let granted = std::future::poll_fn(|cx| stream.send.poll_capacity(cx)).await;
        let granted = granted.ok_or_else(|| other("the stream was closed"))??;
        let chunk = data.split_to(granted.min(data.len()));
        stream.send.send_data(chunk, false)?;
    }
    Ok(())
}
