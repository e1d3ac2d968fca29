//! Receiving side: accepts connections and decodes their frames.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};

use crate::{
    error::{Error, answer_for_error},
    link::{
        LinkEvent, LinkOptions, LinkSink,
        codec::{FrameDecoder, FrameError},
    },
    metrics::Metrics,
    prelude::*,
};

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
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::task::spawn_local(receive(
                    tcp,
                    options.clone(),
                    metrics.clone(),
                    sink.clone(),
                ));
            }
            Err(error) => {
                // Often temporary, such as too many open files; the pause prevents a busy loop.
                tracing::warn!(event = "link_accept_failed", %error);
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            }
        }
    }
}

async fn receive<S: LinkSink>(
    tcp: TcpStream,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let _ = tcp.set_nodelay(true);
    let handshake = h2::server::Builder::new()
        .initial_window_size(1 << 22)
        .initial_connection_window_size(1 << 23)
        .max_concurrent_streams(4)
        .handshake::<_, bytes::Bytes>(tcp)
        .await;
    let Ok(mut connection) = handshake else { return };
    while let Some(Ok((request, respond))) = connection.accept().await {
        let stream = read_stream(
            request.into_body(),
            respond,
            options.clone(),
            metrics.clone(),
            sink.clone(),
        );
        tokio::task::spawn_local(stream);
    }
}

async fn read_stream<S: LinkSink>(
    mut body: h2::RecvStream,
    mut respond: h2::server::SendResponse<bytes::Bytes>,
    options: Arc<LinkOptions>,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let mut frames = FrameDecoder::new(options.frame_max_bytes);
    let mut peer: Option<Hello> = None;
    while let Some(Ok(data)) = body.data().await {
        metrics.link_bytes_received.inc_by(data.len() as u64);
        let _ = body.flow_control().release_capacity(data.len());
        frames.push(&data);
        if peer.is_none() {
            match read_hello(&mut frames, &options) {
                Ok(None) => continue,
                Ok(Some(hello)) => {
                    let _ = respond.send_response(http::Response::new(()), true);
                    peer = Some(hello);
                }
                Err(error) => {
                    metrics.count_refusal(error.kind());
                    tracing::error!(event = "link_greeting_refused", %error);
                    let status = answer_for_error(error.kind()).status;
                    let refused = http::Response::builder().status(status).body(());
                    if let Ok(it) = refused {
                        let _ = respond.send_response(it, true);
                    }
                    return;
                }
            }
        }
        let Some(hello) = &peer else { continue };
        loop {
            match frames.next_frame::<Envelope>() {
                Ok(Some(envelope)) => sink.on_event(LinkEvent::Message {
                    from: hello.address,
                    envelope: Box::new(envelope),
                }),
                Ok(None) => break,
                Err(error) => {
                    metrics.count_refusal(ErrorKind::BadRequest);
                    tracing::error!(event = "link_frame_refused", peer = %hello.process, %error);
                    return;
                }
            }
        }
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
