//! The HTTP server behind every listener: `hyper`, on its own threads or on the current one.
//!
//! A server whose connections share a pool of threads, such as `tiny_http`, is unsuitable: of 32
//! callers that connected at the same moment and kept their connections, up to 10 waited until
//! another connection closed. DESIGN.md has the figures; tests/http_server.rs guards against it.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use bytes::Bytes;
use error_stack::ResultExt;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{net::TcpListener, sync::oneshot};

use crate::{http::HttpAnswer, prelude::*};

/// Most bytes of a too large body that are read before its connection is closed.
const DISCARDED_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Time limit for a caller to send its headers, and then its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// The options of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    pub listen: SocketAddr,
    pub threads: usize,
    pub body_max_bytes: usize,
    pub headers_max_bytes: usize,
}

/// A request that has been read completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: CompactString,
    /// Path without the query.
    pub path: CompactString,
    pub query: HashMap<CompactString, CompactString>,
    /// Path and query as they were sent.
    pub path_and_query: CompactString,
    headers: http::HeaderMap,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of a header; its name is case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the number in a query parameter, by default `default`.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the parameter if its value is not a whole number.
    pub fn query_number(&self, name: &str, default: u64) -> Result<u64, Refusal> {
        let Some(text) = self.query.get(name) else { return Ok(default) };
        let invalid = |_| {
            refusal(
                ErrorKind::BadRequest,
                format_compact!("{name} is '{text}', not a whole number"),
            )
        };
        text.parse().map_err(invalid)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the position and cause of the parse error.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body).map_err(|it| {
            refusal(ErrorKind::BadRequest, format_compact!("the body is not as documented: {it}"))
        })
    }
}

/// Requests that wait for their answer from a core.
///
/// A long poll occupies an entry here and its connection, but no thread.
#[derive(Clone, Default)]
pub struct Pending {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    answers: Mutex<HashMap<u64, oneshot::Sender<HttpAnswer>>>,
    next: AtomicU64,
}

impl Pending {
    /// Answers the request with this token; a second answer has no effect.
    pub fn answer(&self, token: u64, answer: HttpAnswer) {
        let waiting = self.lock().remove(&token);
        if let Some(it) = waiting {
            // Fails if the caller has disconnected; the answer is then discarded.
            let _ = it.send(answer);
        }
    }

    fn wait(&self) -> (u64, oneshot::Receiver<HttpAnswer>) {
        let token = self.inner.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.lock().insert(token, sender);
        (token, receiver)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, oneshot::Sender<HttpAnswer>>> {
        // The table is consistent at every unlock, also after a panic.
        self.inner.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
pub fn start_server<H>(options: ServerOptions, pending: &Pending, handle: H) -> Result<()>
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
        let (pending, handle) = (pending.clone(), handle.clone());
        let serve = move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, accept_connections(listener, options, pending, handle));
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
pub fn start_local_server<H>(options: ServerOptions, pending: &Pending, handle: H) -> Result<()>
where
    H: Fn(u64, Result<HttpRequest, Refusal>) -> Option<HttpAnswer> + Clone + 'static,
{
    let listener = listen(options.listen)?;
    tokio::task::spawn_local(accept_connections(listener, options, pending.clone(), handle));
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

async fn accept_connections<H>(
    listener: std::net::TcpListener,
    options: ServerOptions,
    pending: Pending,
    handle: H,
) where
    H: Fn(u64, Result<HttpRequest, Refusal>) -> Option<HttpAnswer> + Clone + 'static,
{
    let listener = match TcpListener::from_std(listener) {
        Ok(it) => it,
        Err(error) => return tracing::error!(event = "http_listen_failed", %error),
    };
    loop {
        let tcp = match listener.accept().await {
            Ok((it, _)) => it,
            Err(error) => {
                // Errors such as too many open files are transient; the pause avoids a busy loop.
                tracing::warn!(event = "http_accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        // With Nagle's algorithm, an answer in two segments waits for a delayed acknowledgement.
        let _ = tcp.set_nodelay(true);
        let (pending, handle) = (pending.clone(), handle.clone());
        let service = service_fn(move |request| {
            serve_request(request, options, pending.clone(), handle.clone())
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            // The minimum of the library and of the setting is 8 KiB.
            .max_buf_size(options.headers_max_bytes.max(8 * 1024))
            .serve_connection(TokioIo::new(tcp), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                tracing::debug!(event = "caller_gone", %error);
            }
        });
    }
}

async fn serve_request<H>(
    request: Request<Incoming>,
    options: ServerOptions,
    pending: Pending,
    handle: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(u64, Result<HttpRequest, Refusal>) -> Option<HttpAnswer>,
{
    let request = read_request(request, options.body_max_bytes).await;
    // Registered first, since the answer may arrive before the handler returns.
    let (token, answer) = pending.wait();
    if let Some(it) = handle(token, request) {
        pending.answer(token, it);
    }
    let answer = answer.await.unwrap_or_else(|_| {
        HttpAnswer::refusal(&refusal(ErrorKind::Internal, "the answer to this request was lost"))
    });
    Ok(respond(answer))
}

async fn read_request(
    request: Request<Incoming>,
    body_max_bytes: usize,
) -> Result<HttpRequest, Refusal> {
    let (head, body) = request.into_parts();
    let body = match tokio::time::timeout(READ_TIMEOUT, read_body(body, body_max_bytes)).await {
        Ok(it) => it?,
        Err(_) => return Err(refusal(ErrorKind::BadRequest, "the body did not arrive in time")),
    };
    let query_pairs =
        head.uri.query().unwrap_or_default().split('&').filter_map(|it| it.split_once('='));
    Ok(HttpRequest {
        method: head.method.as_str().into(),
        path: head.uri.path().into(),
        path_and_query: head.uri.path_and_query().map_or("/", |it| it.as_str()).into(),
        query: query_pairs.map(|(name, value)| (name.into(), value.into())).collect(),
        headers: head.headers,
        body,
    })
}

/// Reads a body. A too large one is read and discarded up to [`DISCARDED_MAX_BYTES`], since a
/// caller that is still sending would see a broken connection instead of the refusal.
async fn read_body(mut body: Incoming, body_max_bytes: usize) -> Result<Vec<u8>, Refusal> {
    let mut res = Vec::new();
    let mut size_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|it| {
            refusal(ErrorKind::BadRequest, format_compact!("the body cannot be read: {it}"))
        })?;
        let Ok(data) = frame.into_data() else { continue };
        size_bytes += data.len();
        if size_bytes <= body_max_bytes {
            res.extend_from_slice(&data);
        } else if DISCARDED_MAX_BYTES < size_bytes {
            break;
        }
    }
    if body_max_bytes < size_bytes {
        let detail = format_compact!("the body is larger than {body_max_bytes} bytes");
        return Err(refusal(ErrorKind::PayloadTooLarge, detail));
    }
    Ok(res)
}

fn respond(answer: HttpAnswer) -> Response<Full<Bytes>> {
    let status = http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = status;
    let headers =
        answer.headers.into_iter().chain([("Content-Type", answer.content_type.to_string())]);
    for (name, value) in headers {
        // Invalid names and values are left out, so that the answer itself is sent.
        if let (Ok(name), Ok(value)) =
            (http::HeaderName::from_bytes(name.as_bytes()), value.parse())
        {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
