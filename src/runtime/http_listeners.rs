//! The HTTP edges of a process, each a function from a request to an event for its core.

use std::{path::Path, sync::Arc};

use crossbeam_channel::Sender;

use crate::{
    agent, control, entry,
    http::{
        self, HttpAnswer, HttpRequest, Pending, ServerOptions, Tokens, local::LocalRequest,
        start_server,
    },
    metrics::Metrics,
    prelude::*,
    runtime::{process::Event, role::RoleStatus},
    schema::settings::{AgentSettings, ControlSettings, EntrySettings},
    util::Clock,
};

/// Threads of the edges that few use.
const SMALL_THREADS: usize = 4;

/// Largest body of an operator's or an endpoint's request.
const SMALL_BODY_BYTES: usize = 256 * 1024;

/// Largest headers of such a request.
const SMALL_HEADERS_BYTES: usize = 16 * 1024;

/// Longest time that an operator's request waits for the leader.
const ADMIN_MAX_MS: u64 = 8_000;

/// What every edge needs.
#[derive(Clone)]
pub(super) struct HttpListener {
    pub events: Sender<Event>,
    pub metrics: Arc<Metrics>,
    pub status: Arc<RoleStatus>,
    pub pending: Pending,
}

impl HttpListener {
    /// Answers what every edge answers alike, and hands on the rest.
    fn take(&self, request: Result<HttpRequest, Refusal>) -> Result<HttpRequest, HttpAnswer> {
        let it = match request {
            Ok(it) => it,
            Err(it) => {
                self.metrics.count_refusal(it.kind);
                return Err(HttpAnswer::refusal(&it));
            }
        };
        match (it.method.as_str(), it.path.as_str()) {
            ("GET", "/healthz") if self.status.is_ready() => {
                Err(HttpAnswer::text(200, "text/plain", "ok\n".into()))
            }
            ("GET", "/healthz") => Err(HttpAnswer::text(503, "text/plain", "not ready\n".into())),
            ("GET", "/metrics") => {
                Err(HttpAnswer::text(200, "text/plain; version=0.0.4", self.metrics.render()))
            }
            _ => Ok(it),
        }
    }

    fn refuse(&self, it: &Refusal) -> Option<HttpAnswer> {
        self.metrics.count_refusal(it.kind);
        Some(HttpAnswer::refusal(it))
    }

    fn post(&self, event: Event) -> Option<HttpAnswer> {
        match self.events.send(event) {
            Ok(()) => None,
            Err(_) => self.refuse(&refusal(ErrorKind::ShuttingDown, "this process is ending")),
        }
    }

    /// Starts the callers' edge.
    ///
    /// # Errors
    ///
    /// Returns an error when the tokens cannot be read or the address cannot be listened on.
    pub(super) fn start_caller(self, settings: &EntrySettings) -> Result<()> {
        let tokens = Arc::new(Tokens::load(Path::new(settings.teams_file.as_str()))?);
        let options = ServerOptions {
            listen: settings.listen,
            threads: settings.threads as usize,
            body_max_bytes: settings.body_max_bytes as usize,
            headers_max_bytes: settings.headers_max_bytes as usize,
        };
        let pending = self.pending.clone();
        start_server(options, &pending, move |token, it| {
            let it = match self.take(it) {
                Ok(it) => it,
                Err(answer) => return Some(answer),
            };
            match http::caller::parse(&tokens, &it) {
                Ok((team, request)) => self.post(Event::Entry(Box::new(entry::Input::Request {
                    token,
                    team,
                    request,
                }))),
                Err(it) => self.refuse(&it),
            }
        })
    }

    /// Starts the operators' edge.
    ///
    /// # Errors
    ///
    /// As [`HttpListener::start_caller`].
    pub(super) fn start_admin(self, settings: &ControlSettings) -> Result<()> {
        let tokens = Arc::new(Tokens::load(Path::new(settings.operators_file.as_str()))?);
        let pending = self.pending.clone();
        start_server(small(settings.listen), &pending, move |token, it| {
            let it = match self.take(it) {
                Ok(it) => it,
                Err(answer) => return Some(answer),
            };
            match http::admin::parse(&tokens, &it) {
                Ok(operation) => {
                    let deadline_ms = Clock.now().mono_ms + ADMIN_MAX_MS;
                    let input = control::Input::Operation { token, operation, deadline_ms };
                    self.post(Event::Control(Box::new(input)))
                }
                Err(it) => self.refuse(&it),
            }
        })
    }

    /// Starts the edge for the VM's endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub(super) fn start_local(self, settings: &AgentSettings) -> Result<()> {
        let pending = self.pending.clone();
        start_server(small(settings.listen), &pending, move |token, it| {
            let it = match self.take(it) {
                Ok(it) => it,
                Err(answer) => return Some(answer),
            };
            let input = match http::local::parse(&it) {
                Ok(LocalRequest::Announce(announcement)) => {
                    agent::Input::Announce { token, announcement }
                }
                Ok(LocalRequest::Leave(address)) => agent::Input::Leave { token, address },
                Err(it) => return self.refuse(&it),
            };
            self.post(Event::Agent(Box::new(input)))
        })
    }
}

fn small(listen: std::net::SocketAddr) -> ServerOptions {
    ServerOptions {
        listen,
        threads: SMALL_THREADS,
        body_max_bytes: SMALL_BODY_BYTES,
        headers_max_bytes: SMALL_HEADERS_BYTES,
    }
}
