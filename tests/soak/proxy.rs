//! A proxy on loopback in front of one process, which injects network faults.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a blocked connection checks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How connections are forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Forward,
    /// Bytes arrive later by this duration.
    Delay(Duration),
    /// No bytes are forwarded, and new connections hang; bytes sent meanwhile arrive afterwards, as
    /// over a repaired link.
    Block,
    /// Bytes to the process wait as in `Block`; its answers are forwarded.
    BlockInbound,
}

struct Shared {
    mode: Mode,
    /// Open connections.
    connections: Vec<Connection>,
}

struct Connection {
    number: u64,
    /// Whether it forwards no bytes for good.
    is_silent: bool,
    streams: [TcpStream; 2],
}

/// The proxy in front of one process.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Mutex<Shared>>,
}

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

impl Proxy {
    /// Forwards connections from `listen` to `target` until the test process ends.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Proxy {
        let shared = Arc::new(Mutex::new(Shared { mode: Mode::Forward, connections: Vec::new() }));
        let res = Proxy { shared };
        let (proxy, listener) = (res.clone(), TcpListener::bind(listen).unwrap());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = proxy.clone();
                thread::spawn(move || proxy.forward(client, target));
            }
        });
        res
    }

    pub fn set_mode(&self, mode: Mode) {
        self.shared.lock().unwrap().mode = mode;
    }

    /// Closes the open connections.
    pub fn reset(&self) {
        let connections = std::mem::take(&mut self.shared.lock().unwrap().connections);
        for stream in connections.iter().flat_map(|it| &it.streams) {
            // Fails where the connection has ended already, which is the aim.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Stops forwarding on the open connections without closing them; new ones work.
    pub fn silence(&self) {
        self.shared.lock().unwrap().connections.iter_mut().for_each(|it| it.is_silent = true);
    }

    fn mode(&self) -> Mode {
        self.shared.lock().unwrap().mode
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) {
        while self.mode() == Mode::Block {
            thread::sleep(POLL_INTERVAL);
        }
        // The process is down: closes the connection, as the process would refuse it.
        let Ok(server) = TcpStream::connect(target) else { return };
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let streams = [client.try_clone().unwrap(), server.try_clone().unwrap()];
        let connection = Connection { number, is_silent: false, streams };
        self.shared.lock().unwrap().connections.push(connection);
        let proxy = self.clone();
        let (source, sink) = (client.try_clone().unwrap(), server.try_clone().unwrap());
        let requests = thread::spawn(move || proxy.pump(number, source, sink, true));
        self.pump(number, server, client, false);
        let _ = requests.join();
        self.shared.lock().unwrap().connections.retain(|it| it.number != number);
    }

    fn pump(&self, number: u64, mut source: TcpStream, mut sink: TcpStream, is_inbound: bool) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = source.read(&mut buffer).unwrap_or(0);
            if !self.wait_until_forwardable(number, is_inbound) || read == 0 {
                break;
            }
            if sink.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = sink.shutdown(Shutdown::Write);
        let _ = source.shutdown(Shutdown::Read);
    }

    /// Waits until bytes may be forwarded; returns whether the connection is still open.
    fn wait_until_forwardable(&self, number: u64, is_inbound: bool) -> bool {
        let mut was_delayed = false;
        loop {
            let (mode, is_silent) = {
                let shared = self.shared.lock().unwrap();
                let Some(connection) = shared.connections.iter().find(|it| it.number == number)
                else {
                    return false;
                };
                (shared.mode, connection.is_silent)
            };
            match mode {
                _ if is_silent => thread::sleep(POLL_INTERVAL),
                Mode::Forward => return true,
                Mode::Delay(duration) if !was_delayed => {
                    thread::sleep(duration);
                    was_delayed = true;
                }
                Mode::Delay(_) => return true,
                Mode::BlockInbound if !is_inbound => return true,
                Mode::Block | Mode::BlockInbound => thread::sleep(POLL_INTERVAL),
            }
        }
    }
}
