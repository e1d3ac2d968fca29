//! A proxy on loopback in front of one process, which does harm to what passes.

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

/// Interval at which a connection that stands still looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);

/// What becomes of connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Pass,
    /// Bytes come later by so much.
    Delay(Duration),
    /// Nothing passes, and new connections hang; what was sent arrives afterwards, as over links
    /// that are repaired.
    Cut,
    /// The process hears nothing; what it answers passes.
    Deaf,
}

struct Shared {
    mode: Mode,
    /// Open connections, by number, with whether they have gone silent for good.
    connections: Vec<Connection>,
}

struct Connection {
    number: u64,
    is_silent: bool,
    ends: [TcpStream; 2],
}

/// The proxy in front of one process.
#[derive(Clone)]
pub struct Proxy {
    shared: Arc<Mutex<Shared>>,
}

static NEXT: AtomicU64 = AtomicU64::new(1);

impl Proxy {
    /// Passes on what comes to `listen` to `target`, for as long as the test runs.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Proxy {
        let shared = Arc::new(Mutex::new(Shared { mode: Mode::Pass, connections: Vec::new() }));
        let res = Proxy { shared };
        let (own, listener) = (res.clone(), TcpListener::bind(listen).unwrap());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.carry(client, target));
            }
        });
        res
    }

    pub fn set(&self, mode: Mode) {
        self.shared.lock().unwrap().mode = mode;
    }

    /// Breaks the connections that are open.
    pub fn reset(&self) {
        let connections = std::mem::take(&mut self.shared.lock().unwrap().connections);
        for it in connections.iter().flat_map(|it| &it.ends) {
            // One that has ended already is what was wanted.
            let _ = it.shutdown(Shutdown::Both);
        }
    }

    /// Lets the connections that are open carry nothing any more, without an end; new ones work.
    pub fn silence(&self) {
        self.shared.lock().unwrap().connections.iter_mut().for_each(|it| it.is_silent = true);
    }

    fn mode(&self) -> Mode {
        self.shared.lock().unwrap().mode
    }

    fn carry(&self, client: TcpStream, target: SocketAddr) {
        while self.mode() == Mode::Cut {
            thread::sleep(LOOK);
        }
        // A process that is down refuses, and so does this.
        let Ok(server) = TcpStream::connect(target) else { return };
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ends = [client.try_clone().unwrap(), server.try_clone().unwrap()];
        let connection = Connection { number, is_silent: false, ends };
        self.shared.lock().unwrap().connections.push(connection);
        let own = self.clone();
        let (from, to) = (client.try_clone().unwrap(), server.try_clone().unwrap());
        let requests = thread::spawn(move || own.pump(number, from, to, true));
        self.pump(number, server, client, false);
        let _ = requests.join();
        self.shared.lock().unwrap().connections.retain(|it| it.number != number);
    }

    fn pump(&self, number: u64, mut from: TcpStream, mut to: TcpStream, is_inbound: bool) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if !self.wait_for_passage(number, is_inbound) || read == 0 {
                break;
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }

    /// Waits until bytes may pass; returns whether the connection is still there.
    fn wait_for_passage(&self, number: u64, is_inbound: bool) -> bool {
        let mut was_delayed = false;
        loop {
            let (mode, is_silent) = {
                let shared = self.shared.lock().unwrap();
                let Some(it) = shared.connections.iter().find(|it| it.number == number) else {
                    return false;
                };
                (shared.mode, it.is_silent)
            };
            match mode {
                _ if is_silent => thread::sleep(LOOK),
                Mode::Pass => return true,
                Mode::Delay(it) if !was_delayed => {
                    thread::sleep(it);
                    was_delayed = true;
                }
                Mode::Delay(_) => return true,
                Mode::Deaf if !is_inbound => return true,
                Mode::Cut | Mode::Deaf => thread::sleep(LOOK),
            }
        }
    }
}
