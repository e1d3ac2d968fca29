//! Links between processes: `h2` streams of `bincode` frames.
//!
//! Every process listens on one address and opens one connection to each peer that it sends to;
//! a connection carries one stream, in one direction. Nothing is confirmed here: a message may
//! be lost with its connection, and the cores repeat what matters. `h2` needs an asynchronous
//! runtime; it is single-threaded and lives in this module's thread only.

mod client;
mod codec;
mod server;

use std::{net::SocketAddr, sync::Arc, thread};

use error_stack::ResultExt;
use tokio::sync::mpsc;

use crate::{
    metrics::Metrics,
    prelude::*,
    schema::{PROTOCOL_VERSION, settings::Settings},
};

pub use self::codec::{FrameDecoder, FrameError, encode_frame};

/// What a link tells its process.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    Message {
        from: SocketAddr,
        envelope: Box<Envelope>,
    },
    /// The connection to a peer broke; what was sent last may be lost.
    ConnectionLost {
        peer: SocketAddr,
    },
}

/// Takes in the events of a link; called on the link's thread.
pub trait LinkSink: Clone + Send + 'static {
    /// Takes in one event.
    fn on_event(&self, event: LinkEvent);
}

/// What a link is told by the settings.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    pub hello: Hello,
    pub listen: SocketAddr,
    pub queue_messages: usize,
    pub frame_max_bytes: usize,
}

impl LinkOptions {
    /// Returns what the settings of a process say.
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
        }
    }
}

/// The sending side of a process's links.
#[derive(Clone, Debug)]
pub struct Link {
    outgoing: mpsc::UnboundedSender<(SocketAddr, Envelope)>,
}

impl Link {
    /// Starts listening, and the thread that carries all links.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub fn start<S: LinkSink>(
        options: LinkOptions,
        metrics: Arc<Metrics>,
        sink: S,
    ) -> Result<Link> {
        let listener = listen(options.listen)?;
        // The queue to the thread is emptied at once into the bounded queues of the peers.
        let (outgoing, incoming) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context_lazy(|| {
                Error::new(ErrorKind::Internal, "cannot start the links' runtime")
            })?;
        let carry = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, carry_all(listener, incoming, options, metrics, sink));
        };
        thread::Builder::new().name("link".to_owned()).spawn(carry).change_context_lazy(|| {
            Error::new(ErrorKind::Internal, "cannot start the links' thread")
        })?;
        Ok(Link { outgoing })
    }

    /// Starts listening on the current thread, whose [`tokio::task::LocalSet`] carries all links.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    ///
    /// # Panics
    ///
    /// Panics outside of a local set.
    pub fn start_local<S: LinkSink>(
        options: LinkOptions,
        metrics: Arc<Metrics>,
        sink: S,
    ) -> Result<Link> {
        let listener = listen(options.listen)?;
        let (outgoing, incoming) = mpsc::unbounded_channel();
        tokio::task::spawn_local(carry_all(listener, incoming, options, metrics, sink));
        Ok(Link { outgoing })
    }

    /// Sends a message; it is dropped and counted where the peer cannot be reached in time.
    pub fn send(&self, to: SocketAddr, envelope: Envelope) {
        // Fails only once the thread has ended with its process.
        let _ = self.outgoing.send((to, envelope));
    }
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener> {
    let cannot = || Error::new(ErrorKind::Internal, format_compact!("cannot listen on {address}"));
    let res = std::net::TcpListener::bind(address).change_context_lazy(cannot)?;
    res.set_nonblocking(true).change_context_lazy(cannot)?;
    Ok(res)
}

async fn carry_all<S: LinkSink>(
    listener: std::net::TcpListener,
    incoming: mpsc::UnboundedReceiver<(SocketAddr, Envelope)>,
    options: LinkOptions,
    metrics: Arc<Metrics>,
    sink: S,
) {
    let options = Arc::new(options);
    let serving = server::serve(listener, options.clone(), metrics.clone(), sink.clone());
    tokio::task::spawn_local(serving);
    client::route(incoming, options, metrics, sink).await;
}
