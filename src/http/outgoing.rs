//! Calls over HTTP from a process with one thread: connections to one address, kept open.

use std::{cell::RefCell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::prelude::*;

/// Largest answer accepted.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Connections kept open while nothing is asked.
const IDLE_MAX: usize = 8;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct HttpCall {
    pub method: &'static str,
    pub path: CompactString,
    pub headers: Vec<(&'static str, CompactString)>,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct HttpReply {
    pub status: u16,
    pub body: Bytes,
}

/// Why nothing came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutgoingError {
    /// Nobody listens at the address; the request was not sent.
    ConnectionRefused,
    /// The request may have arrived.
    NoAnswer,
}

/// Connections to one address, for use within one thread.
#[derive(Clone)]
pub struct OutgoingPool {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
}

impl OutgoingPool {
    /// Makes a pool without connections.
    pub fn new(address: SocketAddr) -> OutgoingPool {
        OutgoingPool { address, idle: Rc::default() }
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have arrived.
    pub async fn call(&self, call: HttpCall) -> Result<HttpReply, OutgoingError> {
        let timeout = Duration::from_millis(call.timeout_ms);
        let answered = tokio::time::timeout(timeout, self.call_untimed(call)).await;
        // A connection whose answer did not come is dropped, so that a late one meets nobody.
        answered.unwrap_or(Err(OutgoingError::NoAnswer))
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
        if idle.len() < IDLE_MAX {
            idle.push(sender);
        }
        Ok(HttpReply { status, body })
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| !it.is_closed());
        let at = idle.iter().rposition(SendRequest::is_ready)?;
        Some(idle.remove(at))
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, OutgoingError> {
        let tcp = TcpStream::connect(self.address).await.map_err(|it| match it.kind() {
            io::ErrorKind::ConnectionRefused => OutgoingError::ConnectionRefused,
            _ => OutgoingError::NoAnswer,
        })?;
        // Without this a small request waits for a delayed acknowledgement.
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
