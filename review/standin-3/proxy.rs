//! A proxy on loopback whose open channels can be made silent for good, while new ones work.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Proxy {
    /// Channels opened under an earlier number than this are silent.
    epoch: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Proxy {
        let res = Proxy { epoch: Arc::default(), open: Arc::default() };
        let listener = TcpListener::bind(listen).expect("the proxy can listen");
        let own = res.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                // The target is down: the channel is reset, as without a listener.
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                own.open.fetch_add(1, Ordering::Relaxed);
                let epoch = own.epoch.load(Ordering::Relaxed);
                for (from, to) in [
                    (client.try_clone().unwrap(), server.try_clone().unwrap()),
                    (server, client),
                ] {
                    let own = own.clone();
                    thread::spawn(move || own.pump(from, to, epoch));
                }
            }
        });
        res
    }

    /// Makes all open channels silent; returns how many were opened so far.
    pub fn silence(&self) -> u64 {
        self.epoch.fetch_add(1, Ordering::Relaxed);
        self.open.load(Ordering::Relaxed)
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream, epoch: u64) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            while self.epoch.load(Ordering::Relaxed) != epoch {
                // Silent for good: neither bytes nor the end of the channel pass.
                thread::sleep(Duration::from_secs(3_600));
            }
            if read == 0 || to.write_all(&buffer[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
