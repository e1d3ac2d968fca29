//! HTTP/1.1 for the stand-ins: one-shot requests, and a server with a thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::json::Json;

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map_or("", |(_, it)| it)
    }
}

fn invalid() -> io::Error {
    io::Error::from(io::ErrorKind::InvalidData)
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        let (name, value) = line.split_once(':').ok_or_else(invalid)?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<String> {
    let length = headers.iter().find(|(it, _)| it.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, it)| it.parse().ok()).unwrap_or(0_usize);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    String::from_utf8(body).map_err(|_| invalid())
}

/// Serves the requests of one connection until it ends.
pub fn serve_connection(stream: TcpStream, handle: impl Fn(Request) -> (u16, Json)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut sink) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some((first, headers))) = read_head(&mut reader) {
        let Ok(body) = read_body(&mut reader, &headers) else { return };
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let request = Request { method: method.to_owned(), path: path.to_owned(), headers, body };
        let (status, answer) = handle(request);
        let body = answer.to_string();
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if sink.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends the text of a request, with the time for which its caller waits.
pub fn send(
    stream: &mut TcpStream,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> io::Result<()> {
    let wait_ms = wait.as_millis();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Aspenrail-Deadline-Ms: {wait_ms}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Makes a request on a connection of its own; returns the status and body of the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    send(&mut stream, method, host, path, body, timeout)?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?.ok_or_else(invalid)?;
    let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or_else(invalid)?;
    Ok((status, read_body(&mut reader, &headers)?))
}
