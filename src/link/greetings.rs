//! Connections of peers that have not said hello yet.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use tokio::sync::oneshot;

/// The connections without a hello, up to a maximum.
///
/// Beyond it a new connection takes the place of the one that has waited longest. A peer says hello
/// with its first bytes, so that connections that stay silent cannot keep peers out.
#[derive(Clone, Debug)]
pub(super) struct Greetings {
    waiting: Rc<RefCell<Waiting>>,
    max: usize,
}

#[derive(Debug, Default)]
struct Waiting {
    /// By the order of their arrival. Dropping a sender closes its connection.
    connections: BTreeMap<u64, oneshot::Sender<()>>,
    last_id: u64,
}

/// A connection; it leaves the table when it is dropped.
#[derive(Debug)]
pub(super) struct NewConnection {
    greetings: Greetings,
    id: u64,
    /// Keeps the connection open after its hello.
    greeted: RefCell<Option<oneshot::Sender<()>>>,
}

impl Greetings {
    /// Returns an empty table.
    pub(super) fn new(max: usize) -> Greetings {
        Greetings { waiting: Rc::default(), max }
    }

    /// Adds a connection. Returns it with a receiver that completes when it is to be closed, and
    /// whether another connection was closed for it.
    pub(super) fn open(&self) -> (NewConnection, oneshot::Receiver<()>, bool) {
        let mut waiting = self.waiting.borrow_mut();
        let is_full = self.max <= waiting.connections.len();
        if is_full {
            waiting.connections.pop_first();
        }
        waiting.last_id += 1;
        let id = waiting.last_id;
        let (close, closed) = oneshot::channel();
        waiting.connections.insert(id, close);
        let greetings = self.clone();
        (NewConnection { greetings, id, greeted: RefCell::default() }, closed, is_full)
    }
}

impl NewConnection {
    /// Notes the hello of the peer: the connection is not closed for another one any more.
    pub(super) fn note_hello(&self) {
        let close = self.greetings.waiting.borrow_mut().connections.remove(&self.id);
        if close.is_some() {
            self.greeted.replace(close);
        }
    }
}

impl Drop for NewConnection {
    fn drop(&mut self) {
        self.greetings.waiting.borrow_mut().connections.remove(&self.id);
    }
}
