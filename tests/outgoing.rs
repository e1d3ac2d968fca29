//! Calls of a single-threaded process to its worker, over pooled connections.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use aspenrail::{
    http::{
        HttpAnswer, HttpCall, OutgoingError, OutgoingPool, Pending, ServerLimits, ServerOptions,
        start_server,
    },
    standin::layout::free_addresses,
};
use serde_json::json;

#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;

use proxy::Proxy;

/// As many connections as a pool keeps.
const CONNECTIONS: usize = 8;

const TIMEOUT: Duration = Duration::from_millis(500);

fn call() -> HttpCall {
    HttpCall {
        method: "GET",
        path: "/".into(),
        headers: Vec::new(),
        body: Vec::new(),
        timeout_ms: TIMEOUT.as_millis() as u64,
    }
}

/// All open connections to a worker went silent, while new ones work. Each cost a timeout before the
/// next was tried, longer than a lease in sum.
#[test]
fn silent_connections_cost_one_timeout() {
    let [server, proxy_address] = free_addresses(2).unwrap()[..] else { unreachable!() };
    let options = ServerOptions {
        listen: server,
        threads: 1,
        body_max_bytes: 1 << 10,
        headers_max_bytes: 1 << 13,
        watches_stalls: false,
    };
    // Answers after a while, so that calls at the same time need a connection each.
    let pending = Pending::default();
    let answers = pending.clone();
    start_server(options, &ServerLimits::unlimited(), &pending, move |token, _| {
        let answers = answers.clone();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(50));
            answers.answer(token, HttpAnswer::json(200, &json!({})));
        });
        None
    })
    .unwrap();
    let proxy = Proxy::start(proxy_address, server);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let pool = OutgoingPool::new(proxy_address);
        let calls: Vec<_> = (0..CONNECTIONS)
            .map(|_| {
                let pool = pool.clone();
                tokio::task::spawn_local(async move { pool.call(call()).await })
            })
            .collect();
        for it in calls {
            assert_eq!(it.await.unwrap().unwrap().status, 200);
        }
        proxy.silence();
        assert_eq!(pool.call(call()).await.unwrap_err(), OutgoingError::NoAnswer);
        assert_eq!(pool.call(call()).await.unwrap().status, 200);
    });
}
