//! Links between processes: `h2` streams of `bincode` frames.
//!
//! Every process listens on one address and opens one connection to each peer that it sends to;
//! a connection carries one stream, in one direction. Delivery is not acknowledged here: a message
//! may be lost with its connection, and the cores retry where needed. `h2` needs an asynchronous
//! runtime; it is single-threaded and runs on the link's thread only.

mod client;
mod codec;
mod greetings;
mod server;

use std::{net::SocketAddr, sync::Arc, thread};

use error_stack::ResultExt;
use tokio::sync::{OwnedSemaphorePermit, mpsc};

use crate::{
    metrics::Metrics,
    prelude::*,
    schema::{PROTOCOL_VERSION, settings::Settings},
};

pub use self::codec::{FrameDecoder, FrameError, encode_frame};

/// Event that a link reports to its process.
#[derive(Debug)]
pub enum LinkEvent {
    Message {
        from: SocketAddr,
        envelope: Box<Envelope>,
        /// Its part of `queue_max_bytes`; no more is received while all of it is held.
        held: Option<OwnedSemaphorePermit>,
    },
    /// The connection to a peer failed; the messages sent last may be lost.
    ConnectionLost { peer: SocketAddr },
}

/// Receiver of the events of a link; called on the link's thread.
pub trait LinkSink: Clone + Send + 'static {
    fn on_event(&self, event: LinkEvent);
}

/// Options of a link.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub hello: Hello,
    pub listen: SocketAddr,
    pub queue_messages: usize,
    pub frame_max_bytes: usize,
    /// Most memory of the messages queued for all peers, and of those received and not worked on.
    pub queue_max_bytes: usize,
    /// Most connections of peers that have not said hello.
    pub greetings_max: usize,
}

impl LinkOptions {
    /// Derives the options from the settings of a process.
    pub fn new(settings: &Settings) -> LinkOptions {
        let (process, link) = (&settings.process, &settings.link);
        let hello = Hello {
            version: PROTOCOL_VERSION,
            process: process.name.clone(),
            region: process.region,
            group: process.group,
            address: link.listen,
        };
        let bind_port = match link.bind_port as u16 {
            0 => link.listen.port(),
            it => it,
        };
        LinkOptions {
            hello,
            listen: SocketAddr::new(link.listen.ip(), bind_port),
            queue_messages: link.queue_messages as usize,
            frame_max_bytes: link.frame_max_bytes as usize,
            queue_max_bytes: link.queue_max_bytes as usize,
            greetings_max: link.greetings_max as usize,
        }
    }
}

/// The sending side of a process's links.
#[derive(Clone, Debug)]
pub struct Link {
    outgoing: mpsc::UnboundedSender<(SocketAddr, Envelope)>,
}

impl Link {
    /// Starts listening, and the thread that runs all connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot listen on the address.
    pub fn start<S: LinkSink>(
        options: LinkOptions,
        metrics: Arc<Metrics>,
        sink: S,
    ) -> Result<Link> {
        let listener = listen(options.listen)?;
        // Unbounded: the thread moves messages to the bounded queues of the peers at once.
        let (outgoing, incoming) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context_lazy(|| {
                Error::new(ErrorKind::Internal, "cannot start the runtime of the link")
            })?;
        let run = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run_links(listener, incoming, options, metrics, sink));
        };
        thread::Builder::new().name("link".to_owned()).spawn(run).change_context_lazy(|| {
            Error::new(ErrorKind::Internal, "cannot start the thread of the link")
        })?;
        Ok(Link { outgoing })
    }

    /// Starts listening on the current thread, whose [`tokio::task::LocalSet`] runs all connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot listen on the address.
    ///
    /// # Panics
    ///
    /// Panics when called outside of a local set.
    pub fn start_local<S: LinkSink>(
        options: LinkOptions,
        metrics: Arc<Metrics>,
        sink: S,
    ) -> Result<Link> {
        let listener = listen(options.listen)?;
        let (outgoing, incoming) = mpsc::unbounded_channel();
        tokio::task::spawn_local(run_links(listener, incoming, options, metrics, sink));
        Ok(Link { outgoing })
    }

    /// Sends a message; it is dropped and counted if the peer's queue is full or the peer cannot be
    /// reached in time.
    pub fn send(&self, to: SocketAddr, envelope: Envelope) {
        // Fails only after the link's task has ended, at the end of the process.
        let _ = self.outgoing.send((to, envelope));
    }
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener> {
    let listen_error =
        || Error::new(ErrorKind::Internal, format_compact!("cannot listen on {address}"));
    let res = std::net::TcpListener::bind(address).change_context_lazy(listen_error)?;
    res.set_nonblocking(true).change_context_lazy(listen_error)?;
    Ok(res)
}

async fn run_links<S: LinkSink>(
    listener: std::net::TcpListener,
    incoming: mpsc::UnboundedReceiver<(SocketAddr, Envelope)>,
    options: LinkOptions,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let options = Arc::new(options);
    let accept_loop = server::serve(listener, options.clone(), metrics.clone(), sink.clone());
    tokio::task::spawn_local(accept_loop);
    client::route_messages(incoming, options, metrics, sink).await;
}
