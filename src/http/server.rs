//! The HTTP server behind every edge.

use std::{
    collections::HashMap,
    io::Read,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
};

use error_stack::ResultExt;

use crate::{http::HttpAnswer, prelude::*};

/// Headers of one request, all together.
const HEADERS_MAX_BYTES: usize = 16 * 1024;

/// Threads that write answers.
const RESPONDERS: usize = 4;

/// What a server is told by the settings.
#[derive(Clone, Copy, Debug)]
pub struct ServerOptions {
    pub listen: SocketAddr,
    pub threads: usize,
    pub body_max_bytes: usize,
}

/// A request, read whole.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: CompactString,
    /// Path without the query.
    pub path: CompactString,
    pub query: HashMap<CompactString, CompactString>,
    headers: Vec<(CompactString, CompactString)>,
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Returns a header; its name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name))
            .map(|(_, it)| it.as_str())
    }

    /// Returns a number of the query.
    ///
    /// # Errors
    ///
    /// Returns a refusal that names the parameter when it is no number.
    pub fn number(&self, name: &str, default: u64) -> Result<u64, Refusal> {
        let Some(text) = self.query.get(name) else {
            return Ok(default);
        };
        text.parse().map_err(|_| {
            refusal(
                ErrorKind::BadRequest,
                format_compact!("{name} is '{text}', not a whole number"),
            )
        })
    }

    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns a refusal that says where the body is wrong.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body).map_err(|it| {
            refusal(
                ErrorKind::BadRequest,
                format_compact!("the body is not as documented: {it}"),
            )
        })
    }
}

/// Requests that wait for their answer from a core.
///
/// The request itself is kept here, not a thread: thousands of held polls cost memory only.
#[derive(Clone)]
pub struct Pending {
    inner: Arc<Inner>,
}

struct Inner {
    requests: Mutex<HashMap<u64, tiny_http::Request>>,
    next: AtomicU64,
    responses: crossbeam_channel::Sender<(tiny_http::Request, HttpAnswer)>,
}

impl Pending {
    /// Makes the table and the threads that write answers.
    ///
    /// # Errors
    ///
    /// Returns an error when a thread cannot be started.
    pub fn start() -> Result<Pending> {
        let (responses, receiver) =
            crossbeam_channel::unbounded::<(tiny_http::Request, HttpAnswer)>();
        for _ in 0..RESPONDERS {
            let receiver = receiver.clone();
            let write = move || {
                receiver
                    .iter()
                    .for_each(|(request, answer)| respond(request, answer))
            };
            spawn("http-respond", write)?;
        }
        let inner = Inner {
            requests: Mutex::new(HashMap::new()),
            next: AtomicU64::new(1),
            responses,
        };
        Ok(Pending {
            inner: Arc::new(inner),
        })
    }

    /// Answers the request that has a token; a second answer changes nothing.
    pub fn answer(&self, token: u64, answer: HttpAnswer) {
        let request = self.lock().remove(&token);
        if let Some(it) = request {
            let _ = self.inner.responses.send((it, answer));
        }
    }

    /// Returns the requests that wait.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn keep(&self, request: tiny_http::Request) -> u64 {
        let token = self.inner.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(token, request);
        token
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, tiny_http::Request>> {
        // The table is whole at every unlock, also after a panic elsewhere.
        self.inner
            .requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a server; `handle` gets each request with a token, and returns its answer or leaves it
/// to be given later through `pending`.
///
/// # Errors
///
/// Returns an error when the address cannot be listened on.
pub fn start_server<H>(options: ServerOptions, pending: &Pending, handle: H) -> Result<()>
where
    H: Fn(u64, HttpRequest) -> Option<HttpAnswer> + Clone + Send + 'static,
{
    let cannot = || {
        Error::new(
            ErrorKind::Internal,
            format_compact!("cannot listen on {}", options.listen),
        )
    };
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(options.listen),
        socket2::Type::STREAM,
        None,
    )
    .change_context_lazy(cannot)?;
    // An accepted connection inherits this: without it, an answer in two segments waits for the
    // caller's delayed acknowledgement, some 40 ms.
    socket.set_tcp_nodelay(true).change_context_lazy(cannot)?;
    socket.set_reuse_address(true).change_context_lazy(cannot)?;
    socket
        .bind(&options.listen.into())
        .change_context_lazy(cannot)?;
    socket.listen(1024).change_context_lazy(cannot)?;
    let server = tiny_http::Server::from_listener(std::net::TcpListener::from(socket), None)
        .map_err(|it| {
            Error::report(
                ErrorKind::Internal,
                format_compact!("cannot serve HTTP on {}: {it}", options.listen),
            )
        })?;
    let server = Arc::new(server);
    for _ in 0..options.threads {
        let (server, pending, handle) = (server.clone(), pending.clone(), handle.clone());
        let serve = move || {
            for request in server.incoming_requests() {
                serve_one(request, &options, &pending, &handle);
            }
        };
        spawn("http-serve", serve)?;
    }
    Ok(())
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> Result<()> {
    let started = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(512 * 1024)
        .spawn(body);
    started.change_context_lazy(|| Error::new(ErrorKind::Internal, "cannot start a thread"))?;
    Ok(())
}

fn serve_one<H>(
    mut request: tiny_http::Request,
    options: &ServerOptions,
    pending: &Pending,
    handle: &H,
) where
    H: Fn(u64, HttpRequest) -> Option<HttpAnswer>,
{
    let parsed = match read_request(&mut request, options.body_max_bytes) {
        Ok(it) => it,
        Err(it) => return respond(request, HttpAnswer::refusal(&it)),
    };
    // Kept before it is handled: the answer may come before the handler returns.
    let token = pending.keep(request);
    if let Some(answer) = handle(token, parsed) {
        pending.answer(token, answer);
    }
}

fn read_request(
    request: &mut tiny_http::Request,
    body_max_bytes: usize,
) -> Result<HttpRequest, Refusal> {
    let headers: Vec<_> = request
        .headers()
        .iter()
        .map(|it| {
            (
                CompactString::from(it.field.as_str().as_str()),
                CompactString::from(it.value.as_str()),
            )
        })
        .collect();
    let headers_bytes: usize = headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    if HEADERS_MAX_BYTES < headers_bytes {
        let detail =
            format_compact!("headers of {headers_bytes} bytes, the most is {HEADERS_MAX_BYTES}");
        return Err(refusal(ErrorKind::PayloadTooLarge, detail));
    }
    let too_large = |bytes: usize| {
        let detail =
            format_compact!("body of at least {bytes} bytes, the most is {body_max_bytes}");
        refusal(ErrorKind::PayloadTooLarge, detail)
    };
    if let Some(bytes) = request.body_length().filter(|it| body_max_bytes < *it) {
        return Err(too_large(bytes));
    }
    let mut body = Vec::new();
    let limit = body_max_bytes as u64 + 1;
    request
        .as_reader()
        .take(limit)
        .read_to_end(&mut body)
        .map_err(|it| {
            refusal(
                ErrorKind::BadRequest,
                format_compact!("the body cannot be read: {it}"),
            )
        })?;
    if body_max_bytes < body.len() {
        return Err(too_large(body.len()));
    }
    if request.body_length().is_some_and(|it| body.len() < it) {
        return Err(refusal(ErrorKind::BadRequest, "the body ended early"));
    }
    let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    Ok(HttpRequest {
        method: format_compact!("{}", request.method()),
        path: path.into(),
        query: pairs
            .map(|(name, value)| (name.into(), value.into()))
            .collect(),
        headers,
        body,
    })
}

fn respond(request: tiny_http::Request, answer: HttpAnswer) {
    let mut response = tiny_http::Response::from_data(answer.body).with_status_code(answer.status);
    let mut headers = vec![("Content-Type", answer.content_type.to_string())];
    headers.extend(answer.headers);
    for (name, value) in headers {
        // A value that is no header text is left out; the answer itself must arrive.
        if let Ok(it) = tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
            response.add_header(it);
        }
    }
    if let Err(error) = request.respond(response) {
        tracing::debug!(event = "caller_gone", %error);
    }
}
