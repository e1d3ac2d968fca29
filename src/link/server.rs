//! Receiving side: accepts connections and decodes their frames.

use std::{rc::Rc, sync::Arc};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
};

use crate::{
    error::{Error, answer_for_error},
    link::{
        LinkEvent, LinkOptions, LinkSink,
        codec::{FrameDecoder, FrameError},
        greetings::{Greetings, NewConnection},
    },
    metrics::{Limit, Metrics},
    prelude::*,
};

/// Bytes that a peer may send ahead while the process has no room for its messages; more than what
/// is under way between distant availability zones.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Largest hello.
const HELLO_MAX_BYTES: usize = 4 * 1024;

/// Accepts connections until the process ends.
pub(super) async fn serve<S: LinkSink>(
    listener: std::net::TcpListener,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let listener = match TcpListener::from_std(listener) {
        Ok(it) => it,
        Err(error) => return tracing::error!(event = "link_listen_failed", %error),
    };
    let inbox = Inbox::new(options.queue_max_bytes);
    let greetings = Greetings::new(options.greetings_max);
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                let (connection, closed, displaced_another) = greetings.open();
                if displaced_another {
                    metrics.note_limit_reached(Limit::Greetings);
                }
                let reader = PeerReader {
                    connection: Rc::new(connection),
                    options: options.clone(),
                    metrics: metrics.clone(),
                    inbox: inbox.clone(),
                    sink: sink.clone(),
                };
                tokio::task::spawn_local(async move {
                    tokio::select! {
                        () = reader.read(tcp) => (),
                        _ = closed => tracing::debug!(event = "link_displaced"),
                    }
                });
            }
            Err(error) => {
                // Often temporary, such as too many open files; the pause prevents a busy loop.
                tracing::warn!(event = "link_accept_failed", %error);
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

/// Memory of the messages that are received and not worked on.
#[derive(Clone, Debug)]
struct Inbox {
    free_bytes: Arc<Semaphore>,
}

impl Inbox {
    fn new(max_bytes: usize) -> Inbox {
        Inbox { free_bytes: Arc::new(Semaphore::new(max_bytes)) }
    }

    /// Waits until there is room for a message.
    async fn hold(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        // The largest frame is smaller than the inbox, which is never closed.
        self.free_bytes.clone().acquire_many_owned(bytes as u32).await.ok()
    }
}

/// The receiving side of one connection.
#[derive(Clone)]
struct PeerReader<S> {
    connection: Rc<NewConnection>,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
    inbox: Inbox,
    sink: S,
}

impl<S: LinkSink> PeerReader<S> {
    async fn read(self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let handshake = h2::server::Builder::new()
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(STREAM_WINDOW_BYTES)
            .max_concurrent_streams(4)
            .handshake::<_, bytes::Bytes>(tcp)
            .await;
        let Ok(mut connection) = handshake else { return };
        while let Some(Ok((request, respond))) = connection.accept().await {
            let stream = self.clone().read_stream(request.into_body(), respond);
            tokio::task::spawn_local(stream);
        }
    }

    async fn read_stream(
        self,
        mut body: h2::RecvStream,
        mut respond: h2::server::SendResponse<bytes::Bytes>,
    ) {
        let mut frames = FrameDecoder::new(HELLO_MAX_BYTES);
        let mut peer: Option<Hello> = None;
        while let Some(Ok(data)) = body.data().await {
            self.metrics.link_bytes_received.inc_by(data.len() as u64);
            let _ = body.flow_control().release_capacity(data.len());
            frames.push(&data);
            if peer.is_none() {
                match read_hello(&mut frames, &self.options) {
                    Ok(None) => continue,
                    Ok(Some(hello)) => {
                        let _ = respond.send_response(http::Response::new(()), true);
                        self.connection.note_hello();
                        frames.set_max_bytes(self.options.frame_max_bytes);
                        peer = Some(hello);
                    }
                    Err(error) => return self.refuse_greeting(&error, respond),
                }
            }
            let Some(hello) = &peer else { continue };
            if let Err(error) = self.deliver(&mut frames, hello).await {
                self.metrics.count_refusal(ErrorKind::BadRequest);
                tracing::error!(event = "link_frame_refused", peer = %hello.process, %error);
                return;
            }
        }
    }

    fn refuse_greeting(&self, error: &Error, mut respond: h2::server::SendResponse<bytes::Bytes>) {
        self.metrics.count_refusal(error.kind());
        tracing::error!(event = "link_greeting_refused", %error);
        let status = answer_for_error(error.kind()).status;
        if let Ok(it) = http::Response::builder().status(status).body(()) {
            let _ = respond.send_response(it, true);
        }
    }

    /// Delivers the complete frames, as far as the process has room for them; it reads no more
    /// meanwhile.
    async fn deliver(&self, frames: &mut FrameDecoder, peer: &Hello) -> Result<(), FrameError> {
        while let Some(bytes) = frames.next_frame_bytes()? {
            let held = self.inbox.hold(bytes).await;
            let Some(envelope) = frames.next_frame::<Envelope>()? else { break };
            self.sink.on_event(LinkEvent::Message {
                from: peer.address,
                envelope: Box::new(envelope),
                held,
            });
        }
        Ok(())
    }
}

/// Reads and checks the first frame of a connection.
///
/// The layout of [`Hello`] never changes, so that any two versions can read each other's version and
/// reject the connection.
fn read_hello(frames: &mut FrameDecoder, options: &LinkOptions) -> Result<Option<Hello>, Error> {
    let hello: Option<Hello> = frames
        .next_frame()
        .map_err(|it: FrameError| Error::new(ErrorKind::BadRequest, format_compact!("{it}")))?;
    let Some(hello) = hello else { return Ok(None) };
    let own_hello = &options.hello;
    if hello.version != own_hello.version {
        let message = format_compact!(
            "{} uses protocol version {}, this process {}",
            hello.process,
            hello.version,
            own_hello.version
        );
        return Err(Error::new(ErrorKind::VersionUnsupported, message));
    }
    if (hello.region, hello.group) != (own_hello.region, own_hello.group) {
        let message = format_compact!(
            "{} belongs to region {}, group {}, this process to region {}, group {}",
            hello.process,
            hello.region,
            hello.group,
            own_hello.region,
            own_hello.group
        );
        return Err(Error::new(ErrorKind::Forbidden, message));
    }
    Ok(Some(hello))
}
