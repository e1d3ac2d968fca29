//! The open connections of all HTTP listeners of a process, and their unsent answers.

use std::{
    collections::{BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Number of a connection, unique in the process.
type ConnectionId = u64;

/// The open connections and their unsent answers, up to a maximum of each.
///
/// At the maximum, a new connection takes the place of the one that has waited longest for a
/// request, and a new answer that of the one that has waited longest to be read: clients that
/// connect and send nothing, or read nothing, cannot keep others out.
#[derive(Clone, Debug)]
pub(super) struct Connections {
    table: Arc<Mutex<Table>>,
    max: usize,
    unsent_max_bytes: usize,
}

#[derive(Debug, Default)]
struct Table {
    open: HashMap<ConnectionId, Entry>,
    /// Connections without a complete request, by the turn since which they wait for it.
    waiting: BTreeSet<(u64, ConnectionId)>,
    /// Connections with unsent answers, by the turn since which they have some.
    answering: BTreeSet<(u64, ConnectionId)>,
    unsent_bytes: usize,
    /// Rises with each connection and each change.
    last_turn: u64,
}

#[derive(Debug)]
struct Entry {
    /// Closes the connection when it is dropped.
    _close: oneshot::Sender<()>,
    /// `None` while a request of the connection is worked on.
    waiting_since: Option<u64>,
    /// `None` while all answers are sent.
    answering_since: Option<u64>,
    unsent_bytes: usize,
}

/// One open connection; dropping it makes room for another.
#[derive(Debug)]
pub(super) struct OpenConnection {
    connections: Connections,
    id: ConnectionId,
}

/// An answer that its connection has not sent yet, or not whole; it is sent when this is dropped.
#[derive(Debug)]
pub(super) struct UnsentAnswer {
    connections: Connections,
    id: ConnectionId,
    bytes: usize,
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
    pub(super) fn new(max: usize, unsent_max_bytes: usize) -> Connections {
        Connections { table: Arc::default(), max, unsent_max_bytes }
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
        let entry = Entry {
            _close: close,
            waiting_since: Some(turn),
            answering_since: None,
            unsent_bytes: 0,
        };
        table.open.insert(turn, entry);
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
        let Some(entry) = self.open.remove(&id) else { return };
        if let Some(it) = entry.waiting_since {
            self.waiting.remove(&(it, id));
        }
        if let Some(it) = entry.answering_since {
            self.answering.remove(&(it, id));
        }
        self.unsent_bytes -= entry.unsent_bytes;
    }

    fn add_unsent(&mut self, id: ConnectionId, bytes: usize) {
        let turn = self.next_turn();
        let Some(entry) = self.open.get_mut(&id) else { return };
        entry.unsent_bytes += bytes;
        self.unsent_bytes += bytes;
        if entry.answering_since.is_none() {
            entry.answering_since = Some(turn);
            self.answering.insert((turn, id));
        }
    }

    fn remove_unsent(&mut self, id: ConnectionId, bytes: usize) {
        let Some(entry) = self.open.get_mut(&id) else { return };
        entry.unsent_bytes -= bytes;
        self.unsent_bytes -= bytes;
        if entry.unsent_bytes == 0
            && let Some(it) = entry.answering_since.take()
        {
            self.answering.remove(&(it, id));
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
    /// Notes that the headers of a request have been read: the connection waits for the rest from now
    /// on, and connections without a request are closed before it.
    pub(super) fn note_headers(&self) {
        self.connections.lock().set_waiting(self.id, true);
    }

    /// Notes that a request has been read completely, and is worked on.
    pub(super) fn note_request(&self) {
        self.connections.lock().set_waiting(self.id, false);
    }

    /// Notes that the request is answered. Returns the answer, to be kept until it is sent, and how
    /// many other connections were closed to make room for it.
    pub(super) fn note_answer(&self, bytes: usize) -> (UnsentAnswer, usize) {
        let unsent_max_bytes = self.connections.unsent_max_bytes;
        let mut table = self.connections.lock();
        table.set_waiting(self.id, true);
        let mut closed_count = 0;
        while unsent_max_bytes < table.unsent_bytes + bytes
            && let Some((_, longest)) =
                table.answering.iter().copied().find(|(_, id)| *id != self.id)
        {
            table.remove(longest);
            closed_count += 1;
        }
        table.add_unsent(self.id, bytes);
        let connections = self.connections.clone();
        (UnsentAnswer { connections, id: self.id, bytes }, closed_count)
    }
}

impl Drop for UnsentAnswer {
    fn drop(&mut self) {
        self.connections.lock().remove_unsent(self.id, self.bytes);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(self.id);
    }
}
