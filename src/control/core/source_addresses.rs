//! Source addresses of members that the membership does not list yet.

use std::{collections::VecDeque, net::SocketAddr};

use crate::prelude::*;

/// Most addresses that are kept: far more members than join a group at a time.
const ADDRESSES_MAX: usize = 16;

/// The addresses from which unlisted members sent their last messages, least recent first.
#[derive(Clone, Debug, Default)]
pub struct SourceAddresses {
    addresses: VecDeque<(MemberId, SocketAddr)>,
}

impl SourceAddresses {
    /// Records the source of a message. Forgets the least recent sender if there are too many.
    pub fn note(&mut self, id: MemberId, address: SocketAddr) {
        self.forget(id);
        self.addresses.push_back((id, address));
        if ADDRESSES_MAX < self.addresses.len() {
            self.addresses.pop_front();
        }
    }

    /// Forgets a member, for instance since the membership lists its address now.
    pub fn forget(&mut self, id: MemberId) {
        self.addresses.retain(|it| it.0 != id);
    }

    pub fn get(&self, id: MemberId) -> Option<SocketAddr> {
        self.addresses.iter().find(|it| it.0 == id).map(|it| it.1)
    }

    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }
}
