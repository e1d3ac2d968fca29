//! A crowd that cancels submissions that never existed.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{BUSY_CLIENTS, CLIENTS, Site, installation::ProcessKind, path};

/// How long the crowd cancels.
const DURATION: Duration = Duration::from_secs(6);

/// Time for which the platform's clients wait for an answer.
const CLIENT_WAIT: Duration = Duration::from_millis(3_000);

/// First id of the ordinary client.
const ORDINARY_ID: usize = 1 << 40;

/// Sends one cancel after the other, each of another submission, until `is_over`; returns how many were
/// answered.
fn cancel_on_and_on(to: SocketAddr, next_id: &AtomicU64, is_over: &AtomicBool) -> u64 {
    let mut answered = 0;
    let mut buffer = [0; 4096];
    'connections: while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(to) else { continue };
        stream.set_read_timeout(Some(CLIENT_WAIT)).unwrap();
        while !is_over.load(Ordering::Relaxed) {
            let id = next_id.fetch_add(1, Ordering::Relaxed) as usize;
            let request = format!("DELETE {} HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", path(id));
            let is_sent = stream.write_all(request.as_bytes()).is_ok();
            if !is_sent || !stream.read(&mut buffer).is_ok_and(|it| 0 < it) {
                continue 'connections;
            }
            answered += 1;
        }
    }
    answered
}

/// Sends a request of the ordinary client; returns its status. It must be answered in time.
fn ordinary(site: &Site, method: &str, id: usize, body: &Value) -> u16 {
    let began = Instant::now();
    let status = site.installation.client(method, &path(id), body).0;
    assert!(began.elapsed() <= CLIENT_WAIT, "{method} took {:?}", began.elapsed());
    status
}

/// Load: a crowd at one entry cancels submissions that never existed, as fast as it is answered. An
/// ordinary client of the same entry submits, cancels what it submitted, and cancels what it could not
/// submit: it is answered in time and refused nothing, and its cancels hold.
#[yare::parameterized(
    crowd = { CLIENTS },
    large_crowd = { BUSY_CLIENTS },
)]
fn a_crowd_of_cancels_keeps_no_ordinary_client_out(clients: usize) {
    let mut site = Site::start();
    let (next_id, is_over) = (AtomicU64::new(1), AtomicBool::new(false));
    let front = site.installation.front;
    let body = json!({"spec": "x", "steps": [{"count": 1, "cpu": 100, "runs_forever": true}]});
    let answered: u64 = thread::scope(|scope| {
        let crowd: Vec<_> = (0..clients)
            .map(|_| scope.spawn(|| cancel_on_and_on(front, &next_id, &is_over)))
            .collect();
        let began = Instant::now();
        let mut id = ORDINARY_ID;
        let mut statuses = Vec::new();
        while began.elapsed() < DURATION {
            statuses.push([
                ordinary(&site, "POST", id, &body),
                ordinary(&site, "DELETE", id, &Value::Null),
                ordinary(&site, "DELETE", id + 1, &Value::Null),
                ordinary(&site, "POST", id + 1, &body),
            ]);
            id += 2;
            thread::sleep(Duration::from_millis(50));
        }
        is_over.store(true, Ordering::Relaxed);
        println!("the ordinary client: {statuses:?}");
        assert!(statuses.iter().all(|it| *it == [200, 200, 410, 410]));
        crowd.into_iter().map(|it| it.join().unwrap()).sum()
    });
    println!("{answered} cancels of the crowd were answered");
    assert!(clients as u64 <= answered);
    site.check(ProcessKind::Entry);
    site.check(ProcessKind::Control);
}
