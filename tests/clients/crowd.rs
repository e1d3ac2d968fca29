//! Crowds of clients that do not behave, each with one connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Time after which a client stops waiting for a process that takes no more bytes. Only clients whose
/// connections are open and not read reach it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after which a client takes no further answer for coming.
const READ_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Clients that send at once.
const SENDERS: usize = 10;

/// Largest piece that a client sends at once.
const PIECE_BYTES: usize = 64 * 1024;

/// The open connections of a crowd; dropping it closes them.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `clients` clients, each of which sends `bytes_of(client)` and keeps its connection
    /// open. What a process refuses to take is not sent.
    pub fn send<F>(to: SocketAddr, clients: usize, bytes_of: F) -> Crowd
    where
        F: Fn(usize) -> Vec<u8> + Sync,
    {
        let send = |sender: usize| -> Vec<(usize, TcpStream)> {
            let own = (sender..clients).step_by(SENDERS);
            own.filter_map(|client| Some((client, send_one(to, &bytes_of(client))?))).collect()
        };
        let mut streams: Vec<_> = thread::scope(|scope| {
            let senders: Vec<_> =
                (0..SENDERS).map(|sender| scope.spawn(move || send(sender))).collect();
            senders.into_iter().flat_map(|it| it.join().unwrap()).collect()
        });
        streams.sort_by_key(|(client, _)| *client);
        Crowd { streams: streams.into_iter().map(|(_, it)| it).collect() }
    }

    /// Connects `clients` clients, all of which send `bytes` and read their answers at the same time.
    pub fn send_and_read(to: SocketAddr, clients: usize, bytes: &[u8]) -> Crowd {
        let streams: Vec<_> = (0..clients).filter_map(|_| connect(to)).collect();
        thread::scope(|scope| {
            for stream in &streams {
                let (mut reader, mut writer) = (stream, stream);
                reader.set_read_timeout(Some(READ_PAUSE_MAX)).unwrap();
                // Each ends once the process has closed the connection, or answers no more.
                scope.spawn(move || drop(std::io::copy(&mut reader, &mut std::io::sink())));
                scope.spawn(move || drop(writer.write_all(bytes)));
            }
        });
        Crowd { streams }
    }

    /// Reads what the process has sent to each client since the last call, by the clients' numbers if
    /// all could connect.
    pub fn answers(&mut self) -> Vec<String> {
        let read = |stream: &mut TcpStream| {
            let mut buffer = [0; 4096];
            stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
            let count = stream.read(&mut buffer).unwrap_or(0);
            String::from_utf8_lossy(&buffer[..count]).into_owned()
        };
        self.streams.iter_mut().map(read).collect()
    }
}

fn send_one(to: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = connect(to)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    for piece in bytes.chunks(PIECE_BYTES) {
        // Fails once the process has refused the client, which is allowed.
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    Some(stream)
}

/// Connects with a small receive buffer, so that answers that are not read stay in the process.
fn connect(to: SocketAddr) -> Option<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.connect_timeout(&to.into(), Duration::from_secs(5)).ok()?;
    Some(socket.into())
}

/// Returns the head of a POST request to a path of the test's queue.
pub fn head(path: &str, fields: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n{fields}\r\n")
}

/// Returns a chunked body of `total_bytes` in chunks of `chunk_bytes`, without its last chunk.
pub fn chunks(total_bytes: usize, chunk_bytes: usize) -> Vec<u8> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    chunk.repeat(total_bytes / chunk_bytes).into_bytes()
}
