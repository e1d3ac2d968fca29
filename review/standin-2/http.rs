//! HTTP/1.1 with the standard library only: one request a connection as a client, any number as a server.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request that a server has read completely.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns the value of a header; names are given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

/// Reads one request; returns `None` when the connection has ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request { method, path, headers, body })
}

/// Writes an answer with a JSON body.
pub fn write_answer(stream: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes())
}

/// Sends a request; returns the status and the body of the answer, or `None` without an answer.
pub fn call(to: SocketAddr, method: &str, path: &str, host: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(2_500))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Aspenrail-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    Some((status, read_body(&mut reader, &headers)?))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            None => return Some(headers),
            Some((name, value)) => headers.push((name.to_lowercase(), value.trim().to_owned())),
        }
    }
}

fn read_body(reader: &mut BufReader<TcpStream>, headers: &[(String, String)]) -> Option<String> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()
}

/// Returns the number of a field in a flat JSON object, or 0 if it is missing.
pub fn number(body: &str, name: &str) -> u64 {
    let digits = value_of(body, name).unwrap_or_default();
    let end = digits.find(|it: char| !it.is_ascii_digit()).unwrap_or(digits.len());
    digits[..end].parse().unwrap_or(0)
}

/// Returns the text of a field in a flat JSON object. The texts of these cases need no escapes.
pub fn text(body: &str, name: &str) -> String {
    let value = value_of(body, name).unwrap_or_default();
    value.strip_prefix('"').and_then(|it| it.split('"').next()).unwrap_or_default().to_owned()
}

fn value_of<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let at = body.find(&key)? + key.len();
    Some(body[at..].trim_start())
}
