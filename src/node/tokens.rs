//! Fencing tokens for the calls of the worker beside a node.

use crate::prelude::*;

/// First increase after a refused token. Each later one is twice as large.
const FIRST_INCREASE: u64 = 1 << 10;

/// Issues fencing tokens.
///
/// A token is a reading of the VM's steady clock, so it is higher than all tokens of earlier
/// processes of the node, whose calls may still be carried out, even if no leader is reachable. The
/// token of a grant cannot serve for that: a process that has just started does not know it, so the
/// next incarnation of a worker accepted starts that an earlier process had sent.
#[derive(Debug)]
pub(super) struct TokenIssuer {
    newest: u64,
    /// Increase after the next refusal.
    increase: u64,
}

impl TokenIssuer {
    pub(super) fn new() -> TokenIssuer {
        TokenIssuer { newest: 0, increase: FIRST_INCREASE }
    }

    /// Returns the newest token.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Issues a token that fences all calls with earlier ones.
    pub(super) fn issue(&mut self, now: Now) -> u64 {
        self.newest = now.mono_ms.max(self.newest + 1);
        self.newest
    }

    /// Issues a token after the worker has refused `token`: it has received a higher one, for example
    /// from a process of an earlier version. Ignores refusals of older tokens.
    pub(super) fn note_refused(&mut self, token: u64) {
        if token == self.newest {
            self.newest += self.increase;
            self.increase = self.increase.saturating_mul(2);
        }
    }
}
