//! Reading a request.

use std::{collections::HashMap, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request,
    body::{Body, Incoming},
};

use crate::{http::server::ServerLimits, prelude::*, util::ReservedBytes};

/// Most bytes of a refused body that are read before its connection is closed.
const DISCARDED_MAX_BYTES: usize = 8 * 1024 * 1024;

/// Smallest buffer of a body of unknown size.
const CAPACITY_MIN_BYTES: usize = 4 * 1024;

/// Time limit for a caller to send its headers, and then its body.
pub(super) const READ_TIMEOUT: Duration = Duration::from_secs(10);

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
    /// Longest time for which it may have waited unread; 0 if the process did not stand still.
    pub waited_ms: u64,
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

/// Reads a request to the end of its body.
///
/// Its memory stays reserved until the returned reservation is dropped.
///
/// # Errors
///
/// Returns a refusal if the body is too large, finds no room, breaks off, or does not arrive in time.
pub(super) async fn read_request(
    request: Request<Incoming>,
    body_max_bytes: usize,
    limits: &ServerLimits,
) -> Result<(HttpRequest, ReservedBytes), Refusal> {
    let (head, body) = request.into_parts();
    let read = tokio::time::timeout(READ_TIMEOUT, read_body(body, body_max_bytes, limits));
    let (body, reserved) = match read.await {
        Ok(it) => it?,
        Err(_) => return Err(refusal(ErrorKind::BadRequest, "the body did not arrive in time")),
    };
    let query_pairs =
        head.uri.query().unwrap_or_default().split('&').filter_map(|it| it.split_once('='));
    let request = HttpRequest {
        method: head.method.as_str().into(),
        path: head.uri.path().into(),
        path_and_query: head.uri.path_and_query().map_or("/", |it| it.as_str()).into(),
        query: query_pairs.map(|(name, value)| (name.into(), value.into())).collect(),
        headers: head.headers,
        body,
        waited_ms: 0,
    };
    Ok((request, reserved))
}

/// Reads a body. One that is refused is answered at once; what its caller still sends is discarded
/// meanwhile, since a caller that is still sending would see a broken connection instead of the
/// refusal.
async fn read_body(
    mut body: Incoming,
    body_max_bytes: usize,
    limits: &ServerLimits,
) -> Result<(Vec<u8>, ReservedBytes), Refusal> {
    let announced_bytes = body.size_hint().exact();
    let mut buffer = BodyBuffer::new(announced_bytes, body_max_bytes, limits);
    if announced_bytes.is_some_and(|it| (body_max_bytes as u64) < it) {
        discard(body);
        return Err(too_large(body_max_bytes));
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|it| {
            refusal(ErrorKind::BadRequest, format_compact!("the body cannot be read: {it}"))
        })?;
        let Ok(data) = frame.into_data() else { continue };
        if let Err(refusal) = buffer.push(&data, limits) {
            discard(body);
            return Err(refusal);
        }
    }
    Ok((buffer.bytes, buffer.reserved))
}

/// The bytes of a body so far. Its memory is reserved before it is allocated.
struct BodyBuffer {
    bytes: Vec<u8>,
    reserved: ReservedBytes,
    /// Size of the body if it is known, or else the largest size.
    capacity_max_bytes: usize,
    body_max_bytes: usize,
}

impl BodyBuffer {
    fn new(announced_bytes: Option<u64>, body_max_bytes: usize, limits: &ServerLimits) -> Self {
        let announced_bytes = announced_bytes.map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        BodyBuffer {
            bytes: Vec::new(),
            reserved: limits.new_body(),
            capacity_max_bytes: announced_bytes.unwrap_or(body_max_bytes).min(body_max_bytes),
            body_max_bytes,
        }
    }

    fn push(&mut self, data: &[u8], limits: &ServerLimits) -> Result<(), Refusal> {
        let size_bytes = self.bytes.len() + data.len();
        if self.body_max_bytes < size_bytes {
            return Err(too_large(self.body_max_bytes));
        }
        if self.bytes.capacity() < size_bytes {
            let doubled_bytes = (self.bytes.capacity() * 2).max(CAPACITY_MIN_BYTES);
            let capacity_bytes = doubled_bytes.min(self.capacity_max_bytes).max(size_bytes);
            limits.grow_body(&mut self.reserved, capacity_bytes)?;
            self.bytes.reserve_exact(capacity_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

fn too_large(body_max_bytes: usize) -> Refusal {
    let detail = format_compact!("the body is larger than {body_max_bytes} bytes");
    refusal(ErrorKind::PayloadTooLarge, detail)
}

/// Reads and discards the rest of a refused body, for a limited time and size; then its connection
/// closes.
fn discard(mut body: Incoming) {
    let read = async move {
        let mut size_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            size_bytes += frame.data_ref().map_or(0, Bytes::len);
            if DISCARDED_MAX_BYTES < size_bytes {
                break;
            }
        }
    };
    tokio::task::spawn_local(tokio::time::timeout(READ_TIMEOUT, read));
}
