//! HTTP calls from a single-threaded process, over pooled connections to one address.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::prelude::*;

/// Largest answer accepted.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Most idle connections that are kept open.
const IDLE_CONNECTIONS_MAX: usize = 8;

#[derive(Clone, Debug)]
pub struct HttpCall {
    pub method: &'static str,
    pub path: CompactString,
    pub headers: Vec<(&'static str, CompactString)>,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}

/// The reply to an [`HttpCall`].
#[derive(Clone, Debug)]
pub struct HttpReply {
    pub status: u16,
    pub body: Bytes,
}

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutgoingError {
    /// The connection was refused; the request was not sent.
    ConnectionRefused,
    /// No reply was received; the request may have arrived.
    NoAnswer,
}

/// A pool of connections to one address, for use within one thread.
#[derive(Clone)]
pub struct OutgoingPool {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

impl OutgoingPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> OutgoingPool {
        OutgoingPool { address, idle: Rc::default() }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the request may have arrived.
    pub async fn call(&self, call: HttpCall) -> Result<HttpReply, OutgoingError> {
        let timeout = Duration::from_millis(call.timeout_ms);
        let result = tokio::time::timeout(timeout, self.call_untimed(call)).await;
        result.unwrap_or_else(|_| {
            // The timeout has dropped the connection, so that a late reply cannot answer another
            // request. The idle ones may be silent too, and each would cost another timeout.
            self.idle.borrow_mut().clear();
            Err(OutgoingError::NoAnswer)
        })
    }

    async fn call_untimed(&self, call: HttpCall) -> Result<HttpReply, OutgoingError> {
        let mut sender = match self.take_idle() {
            Some(it) => it,
            None => self.connect().await?,
        };
        let mut request = http::Request::builder()
            .method(call.method)
            .uri(call.path.as_str())
            .header("Host", self.address.to_string());
        if !call.body.is_empty() {
            request = request.header("Content-Type", "application/json");
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value.as_str());
        }
        let request = request.body(Full::new(Bytes::from(call.body)));
        let request = request.map_err(|_| OutgoingError::NoAnswer)?;
        let response = sender.send_request(request).await.map_err(|_| OutgoingError::NoAnswer)?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES).collect().await;
        let body = body.map_err(|_| OutgoingError::NoAnswer)?.to_bytes();
        let mut idle = self.idle.borrow_mut();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(sender);
        }
        Ok(HttpReply { status, body })
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| !it.is_closed());
        let index = idle.iter().rposition(SendRequest::is_ready)?;
        Some(idle.remove(index))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, OutgoingError> {
        let tcp = TcpStream::connect(self.address).await.map_err(|it| match it.kind() {
            io::ErrorKind::ConnectionRefused => OutgoingError::ConnectionRefused,
            _ => OutgoingError::NoAnswer,
        })?;
        // With Nagle's algorithm, a small request may wait for a delayed acknowledgement.
        let _ = tcp.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(tcp)).await.map_err(|_| OutgoingError::NoAnswer)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "outgoing_connection_lost", %error);
            }
        });
        Ok(sender)
    }
}
