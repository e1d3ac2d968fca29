//! A small HTTP/1.1 client and server.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, it)| it.as_str())
    }
}

/// Sends a request on a channel of its own. Returns `None` without a complete response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Aspenrail-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers)?))
}

/// Serves requests, each channel on a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> (u16, String) + Send + Sync>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_channel(stream, &*handler));
        }
    });
}

fn serve_channel(stream: TcpStream, handler: &dyn Fn(Request) -> (u16, String)) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let mut words = first.split(' ');
        let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
        let body = read_body(&mut reader, &headers)?;
        let (status, body) = handler(Request { method, path, headers, body });
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes()).ok()?;
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = text.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<String> {
    let mut all = headers.iter();
    let length = all.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.map_or(Some(0), |(_, it)| it.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}
