//! The HTTP server behind every listener: `hyper`, on its own threads or on the current one.
//!
//! A server whose connections share a pool of threads, such as `tiny_http`, is unsuitable: of 32
//! callers that connected at the same moment and kept their connections, up to 10 waited until
//! another connection closed. DESIGN.md has the figures; tests/http_server.rs guards against it.

mod answer;
mod connections;
mod limits;
mod pending;
mod request;
mod stalls;

use std::{convert::Infallible, net::SocketAddr, rc::Rc, thread, time::Duration};

use error_stack::ResultExt;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::{http::HttpAnswer, prelude::*};

use self::{
    answer::{AnswerBytes, respond},
    connections::OpenConnection,
    request::{READ_TIMEOUT, read_request},
    stalls::StallWatch,
};
pub use self::{limits::ServerLimits, pending::Pending, request::HttpRequest};

/// The options of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    pub listen: SocketAddr,
    pub threads: usize,
    pub body_max_bytes: usize,
    pub headers_max_bytes: usize,
    /// Whether requests state how long they may have waited unread ([`HttpRequest::waited_ms`]).
    pub watches_stalls: bool,
}

/// Starts a server on its own threads.
///
/// `handle` receives each request, or the reason why it could not be read, with a token. It returns
/// the answer, or `None` if the answer is given later through `pending`. It runs on the server's
/// threads and must not block.
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
pub fn start_server<H>(
    options: ServerOptions,
    limits: &ServerLimits,
    pending: &Pending,
    handle: H,
) -> Result<()>
where
    H: Fn(u64, Result<HttpRequest, Refusal>) -> Option<HttpAnswer> + Clone + Send + 'static,
{
    let listener = listen(options.listen)?;
    let listen_error =
        || Error::new(ErrorKind::Internal, format_compact!("cannot listen on {}", options.listen));
    for _ in 0..options.threads {
        let listener = listener.try_clone().change_context_lazy(listen_error)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.change_context_lazy(|| {
            Error::new(ErrorKind::Internal, "cannot start the runtime of an HTTP server")
        })?;
        let server = Server {
            options,
            limits: limits.clone(),
            pending: pending.clone(),
            handle: handle.clone(),
        };
        let serve = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, server.accept_connections(listener));
        };
        let started = thread::Builder::new().name("http".to_owned()).spawn(serve);
        started.change_context_lazy(|| {
            Error::new(ErrorKind::Internal, "cannot start a thread of an HTTP server")
        })?;
    }
    Ok(())
}

/// Starts a server like [`start_server`], but as a task of the current [`tokio::task::LocalSet`].
///
/// # Errors
///
/// Returns an error if the server cannot listen on the address.
///
/// # Panics
///
/// Panics if called outside of a local set.
pub fn start_local_server<H>(
    options: ServerOptions,
    limits: &ServerLimits,
    pending: &Pending,
    handle: H,
) -> Result<()>
where
    H: Fn(u64, Result<HttpRequest, Refusal>) -> Option<HttpAnswer> + Clone + 'static,
{
    let listener = listen(options.listen)?;
    let server = Server { options, limits: limits.clone(), pending: pending.clone(), handle };
    tokio::task::spawn_local(server.accept_connections(listener));
    Ok(())
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener> {
    let listen_error =
        || Error::new(ErrorKind::Internal, format_compact!("cannot listen on {address}"));
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)
        .change_context_lazy(listen_error)?;
    // Lets a restarted process bind its address at once.
    socket.set_reuse_address(true).change_context_lazy(listen_error)?;
    socket.set_nonblocking(true).change_context_lazy(listen_error)?;
    socket.bind(&address.into()).change_context_lazy(listen_error)?;
    socket.listen(1024).change_context_lazy(listen_error)?;
    Ok(std::net::TcpListener::from(socket))
}

/// What all connections of a listener share.
#[derive(Clone)]
struct Server<H> {
    options: ServerOptions,
    limits: ServerLimits,
    pending: Pending,
    handle: H,
}

impl<H> Server<H>
where
    H: Fn(u64, Result<HttpRequest, Refusal>) -> Option<HttpAnswer> + Clone + 'static,
{
    async fn accept_connections(self, listener: std::net::TcpListener) {
        let listener = match TcpListener::from_std(listener) {
            Ok(it) => it,
            Err(error) => return tracing::error!(event = "http_listen_failed", %error),
        };
        let stalls = self.options.watches_stalls.then(|| Rc::new(StallWatch::new()));
        if let Some(it) = stalls.clone() {
            tokio::task::spawn_local(async move { it.run().await });
        }
        loop {
            match listener.accept().await {
                Ok((it, _)) => self.start_connection(it, stalls.clone()),
                Err(error) => {
                    // Errors such as too many open files are transient; the pause avoids a busy loop.
                    tracing::warn!(event = "http_accept_failed", %error);
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    fn start_connection(&self, tcp: TcpStream, stalls: Option<Rc<StallWatch>>) {
        let Some((open_connection, closed)) = self.limits.open_connection() else { return };
        let open_connection = Rc::new(open_connection);
        // With Nagle's algorithm, an answer in two segments waits for a delayed acknowledgement.
        let _ = tcp.set_nodelay(true);
        let server = self.clone();
        let service_connection = open_connection.clone();
        let service = service_fn(move |request| {
            server.clone().serve_request(request, service_connection.clone(), stalls.clone())
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            // The minimum of the library and of the setting is 8 KiB.
            .max_buf_size(self.options.headers_max_bytes.max(8 * 1024))
            .serve_connection(TokioIo::new(tcp), service);
        tokio::task::spawn_local(async move {
            tokio::select! {
                result = connection => if let Err(error) = result {
                    tracing::debug!(event = "caller_gone", %error);
                },
                _ = closed => tracing::debug!(event = "caller_displaced"),
            }
            drop(open_connection);
        });
    }

    async fn serve_request(
        self,
        request: Request<Incoming>,
        connection: Rc<OpenConnection>,
        stalls: Option<Rc<StallWatch>>,
    ) -> Result<Response<Full<AnswerBytes>>, Infallible> {
        connection.note_headers();
        let waited_ms = || stalls.as_ref().map_or(0, |it| it.waited_ms());
        let before_headers_ms = waited_ms();
        let request = read_request(request, self.options.body_max_bytes, &self.limits).await;
        let (request, reserved) = match request {
            Ok((mut request, reserved)) => {
                request.waited_ms = before_headers_ms.max(waited_ms());
                (Ok(request), Some(reserved))
            }
            Err(it) => (Err(it), None),
        };
        connection.note_request();
        // Registered first, since the answer may arrive before the handler returns.
        let (token, answer) = self.pending.wait(reserved);
        if let Some(it) = (self.handle)(token, request) {
            self.pending.answer(token, it);
        }
        let answer = answer.await.unwrap_or_else(|_| {
            HttpAnswer::refusal(&refusal(
                ErrorKind::Internal,
                "the answer to this request was lost",
            ))
        });
        let unsent = self.limits.add_answer(&connection, answer.body.len());
        Ok(respond(answer, unsent))
    }
}
