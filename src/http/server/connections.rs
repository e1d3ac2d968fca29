//! The open connections of all HTTP listeners of a process.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Number of a connection, unique in the process.
type ConnectionId = u64;

/// The open connections, up to a maximum.
///
/// At the maximum, a new connection takes the place of the one that has waited longest for a
/// request: clients that connect and send nothing cannot keep others out.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    table: Arc<Mutex<Table>>,
    max: usize,
}

#[derive(Debug, Default)]
struct Table {
    open: HashMap<ConnectionId, Entry>,
    /// Connections without a complete request, by the turn since which they wait for it.
    waiting: BTreeSet<(u64, ConnectionId)>,
    /// Rises with each connection and each change.
    last_turn: u64,
}

#[derive(Debug)]
struct Entry {
    /// Closes the connection when it is dropped.
    _close: oneshot::Sender<()>,
    /// `None` while a request of the connection is worked on.
    waiting_since: Option<u64>,
}

/// One open connection; dropping it makes room for another.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: Connections,
    id: ConnectionId,
}

/// A new connection, and whether another one was closed for it.
#[derive(Debug)]
pub(super) struct Opened {
    pub connection: OpenConnection,
    /// Completes when the connection is to be closed.
    pub closed: oneshot::Receiver<()>,
    pub displaced_another: bool,
}

impl Connections {
    /// Returns an empty table.
    pub(super) fn new(max: usize) -> Connections {
        Connections { table: Arc::default(), max }
    }

    /// Adds a connection. Returns `None` if there is no room for it: all others are at work.
    pub(super) fn open(&self) -> Option<Opened> {
        let mut table = self.lock();
        let is_full = self.max <= table.open.len();
        if is_full {
            let (_, longest) = *table.waiting.first()?;
            table.remove(longest);
        }
        let turn = table.next_turn();
        let (close, closed) = oneshot::channel();
        table.open.insert(turn, Entry { _close: close, waiting_since: Some(turn) });
        table.waiting.insert((turn, turn));
        let connection = OpenConnection { connections: self.clone(), id: turn };
        Some(Opened { connection, closed, displaced_another: is_full })
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        // The table is consistent at every unlock, also after a panic.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Table {
    fn next_turn(&mut self) -> u64 {
        self.last_turn += 1;
        self.last_turn
    }

    fn remove(&mut self, id: ConnectionId) {
        let since = self.open.remove(&id).and_then(|it| it.waiting_since);
        if let Some(it) = since {
            self.waiting.remove(&(it, id));
        }
    }

    /// Notes whether a connection waits for a request from now on.
    fn set_waiting(&mut self, id: ConnectionId, is_waiting: bool) {
        let turn = self.next_turn();
        let Some(entry) = self.open.get_mut(&id) else { return };
        let before = std::mem::replace(&mut entry.waiting_since, is_waiting.then_some(turn));
        if let Some(it) = before {
            self.waiting.remove(&(it, id));
        }
        if is_waiting {
            self.waiting.insert((turn, id));
        }
    }
}

impl OpenConnection {
    /// Notes that a request has been read completely, and is worked on.
    pub(super) fn note_request(&self) {
        self.connections.lock().set_waiting(self.id, false);
    }

    /// Notes that the request is answered.
    pub(super) fn note_answer(&self) {
        self.connections.lock().set_waiting(self.id, true);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
    }
}
