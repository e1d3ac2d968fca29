//! Calls of an agent to its worker over HTTP.
#![allow(clippy::unwrap_used)]

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
};

use aspenrail::{
    agent::{WorkerCall, WorkerResult},
    http::client::{call_worker, new_client},
};

/// A list without tasks, which ends all that an agent knows.
const EMPTY_LIST: &str =
    r#"{"session":1,"tasks":[],"usage":{"cpu_millicores":0,"memory_mib":0,"age_ms":0}}"#;

/// Answers one request with a status and a body.
fn answer_once(status: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all((head + body).as_bytes()).unwrap();
    });
    address
}

/// Load: a worker that is starting answers 503, with a list that does not count yet.
#[test]
fn a_list_with_an_error_status_is_no_report() {
    let client = new_client(1);
    let listed = call_worker(&client, answer_once("200 OK", EMPTY_LIST), &WorkerCall::List);
    assert!(matches!(&listed, WorkerResult::Report(it) if it.tasks.is_empty()), "{listed:?}");
    let refused =
        call_worker(&client, answer_once("503 Unavailable", EMPTY_LIST), &WorkerCall::List);
    assert!(matches!(&refused, WorkerResult::Refused(it) if it.contains("503")), "{refused:?}");
}
