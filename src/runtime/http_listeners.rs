//! The HTTP listeners of a process: each turns requests into events for a core.

use std::{path::Path, sync::Arc};

use crossbeam_channel::Sender;

use crate::{
    agent, control, entry,
    http::{
        self, HttpAnswer, HttpRequest, Pending, ServerLimits, ServerOptions, Tokens,
        local::LocalRequest, start_server,
    },
    metrics::Metrics,
    prelude::*,
    runtime::{process::Event, role::RoleStatus},
    schema::settings::{AgentSettings, ControlSettings, EntrySettings},
    util::Clock,
};

/// Threads of a listener that gets few requests.
const SMALL_THREADS: usize = 4;

/// Largest body of an operator's or an endpoint's request.
const SMALL_BODY_BYTES: usize = 256 * 1024;

/// Largest headers of an operator's or an endpoint's request.
const SMALL_HEADERS_BYTES: usize = 16 * 1024;

/// Longest time that an operator's request waits for the leader.
const ADMIN_WAIT_MAX_MS: u64 = 8_000;

/// The parts that all listeners share.
#[derive(Clone)]
pub(super) struct HttpListener {
    pub events: Sender<Event>,
    pub metrics: Arc<Metrics>,
    pub status: Arc<RoleStatus>,
    pub pending: Pending,
    pub limits: ServerLimits,
}

impl HttpListener {
    /// Answers unreadable requests and the paths common to all listeners; returns other requests.
    fn answer_common(
        &self,
        request: Result<HttpRequest, Refusal>,
    ) -> Result<HttpRequest, HttpAnswer> {
        let request = match request {
            Ok(it) => it,
            Err(it) => {
                self.metrics.count_refusal(it.kind);
                return Err(HttpAnswer::refusal(&it));
            }
        };
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/healthz") if self.status.is_ready() => {
                Err(HttpAnswer::text(200, "text/plain", "ok\n".into()))
            }
            ("GET", "/healthz") => Err(HttpAnswer::text(503, "text/plain", "not ready\n".into())),
            ("GET", "/metrics") => {
                Err(HttpAnswer::text(200, "text/plain; version=0.0.4", self.metrics.render()))
            }
            _ => Ok(request),
        }
    }

    fn refuse(&self, refusal: &Refusal) -> Option<HttpAnswer> {
        self.metrics.count_refusal(refusal.kind);
        Some(HttpAnswer::refusal(refusal))
    }

    fn send_event(&self, event: Event) -> Option<HttpAnswer> {
        match self.events.send(event) {
            Ok(()) => None,
            Err(_) => self.refuse(&refusal(ErrorKind::ShuttingDown, "this process is ending")),
        }
    }

    /// Starts the listener for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the tokens cannot be read or the server cannot listen on the address.
    pub(super) fn start_caller(self, settings: &EntrySettings) -> Result<()> {
        let tokens = Arc::new(Tokens::load(Path::new(settings.teams_file.as_str()))?);
        let options = ServerOptions {
            listen: settings.listen,
            threads: settings.threads as usize,
            body_max_bytes: settings.body_max_bytes as usize,
            headers_max_bytes: settings.headers_max_bytes as usize,
            watches_stalls: true,
        };
        let (pending, limits) = (self.pending.clone(), self.limits.clone());
        let wait_max_ms = u64::from(settings.operation_max_ms);
        start_server(options, &limits, &pending, move |token, request| {
            let http_request = match self.answer_common(request) {
                Ok(it) => it,
                Err(answer) => return Some(answer),
            };
            if wait_max_ms <= http_request.waited_ms {
                let detail = "the request was read too late";
                return self.refuse(&refusal(ErrorKind::DeadlineExpiredQueued, detail));
            }
            match http::caller::parse(&tokens, &http_request) {
                Ok((team, request)) => {
                    self.send_event(Event::Entry(Box::new(entry::Input::Request {
                        token,
                        team,
                        request,
                    })))
                }
                Err(it) => self.refuse(&it),
            }
        })
    }

    /// Starts the listener for operators.
    ///
    /// # Errors
    ///
    /// The same as for [`HttpListener::start_caller`].
    pub(super) fn start_admin(self, settings: &ControlSettings) -> Result<()> {
        let tokens = Arc::new(Tokens::load(Path::new(settings.operators_file.as_str()))?);
        let (pending, limits) = (self.pending.clone(), self.limits.clone());
        let options = small_server_options(settings.listen);
        start_server(options, &limits, &pending, move |token, request| {
            let http_request = match self.answer_common(request) {
                Ok(it) => it,
                Err(answer) => return Some(answer),
            };
            match http::admin::parse(&tokens, &http_request) {
                Ok(operation) => {
                    let deadline_ms = Clock.now().mono_ms + ADMIN_WAIT_MAX_MS;
                    let input = control::Input::Operation { token, operation, deadline_ms };
                    self.send_event(Event::Control(Box::new(input)))
                }
                Err(it) => self.refuse(&it),
            }
        })
    }

    /// Starts the listener for the VM's endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot listen on the address.
    pub(super) fn start_local(self, settings: &AgentSettings) -> Result<()> {
        let (pending, limits) = (self.pending.clone(), self.limits.clone());
        let options = small_server_options(settings.listen);
        start_server(options, &limits, &pending, move |token, request| {
            let http_request = match self.answer_common(request) {
                Ok(it) => it,
                Err(answer) => return Some(answer),
            };
            let input = match http::local::parse(&http_request) {
                Ok(LocalRequest::Announce(announcement)) => {
                    agent::Input::Announce { token, announcement }
                }
                Ok(LocalRequest::Leave(address)) => agent::Input::Leave { token, address },
                Err(it) => return self.refuse(&it),
            };
            self.send_event(Event::Agent(Box::new(input)))
        })
    }
}

fn small_server_options(listen: std::net::SocketAddr) -> ServerOptions {
    ServerOptions {
        listen,
        threads: SMALL_THREADS,
        body_max_bytes: SMALL_BODY_BYTES,
        headers_max_bytes: SMALL_HEADERS_BYTES,
        watches_stalls: false,
    }
}
