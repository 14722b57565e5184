//! Propagation of the configuration over the links to peers.

use std::rc;
use std::time;

use redwing_model::admin::MemberStatus;
use redwing_provider::{LocalFuture, TableRow};

use crate::config::ConfigPropagation;
use crate::link::PeerLinks;
use crate::peer::ConfigSnapshot;
use crate::snapshot::SnapshotSender;

/// Maximum age of the last response of a peer that counts as reachable.
const REACHABLE_MAX_AGE: time::Duration = time::Duration::from_secs(3);

/// Propagation over the links to peers.
pub struct LinkPropagation {
    links: rc::Rc<PeerLinks>,
    snapshots: rc::Rc<SnapshotSender>,
}

impl LinkPropagation {
    /// Creates a propagation over `links` for the process that publishes `snapshots`.
    pub fn new(links: rc::Rc<PeerLinks>, snapshots: rc::Rc<SnapshotSender>) -> Self {
        Self { links, snapshots }
    }
}

impl ConfigPropagation for LinkPropagation {
    fn announce<'a>(&'a self, rows: &'a [TableRow], version: u64) -> LocalFuture<'a, usize> {
        Box::pin(self.links.announce(rows, version))
    }

    fn peer_count(&self) -> Option<usize> {
        self.links.peer_count()
    }

    fn reachable(&self, max_age: time::Duration) -> usize {
        self.links.reachable(max_age).len()
    }

    fn highest_version(&self) -> u64 {
        self.links.highest_version()
    }

    fn members(&self) -> Vec<MemberStatus> {
        let own = MemberStatus {
            node: self.links.own().node.clone(),
            version: self.snapshots.borrow().version,
            reachable: true,
        };
        let peers = self.links.peers(REACHABLE_MAX_AGE).into_iter();
        let peers = peers.map(|peer| MemberStatus {
            node: peer.incarnation.node,
            version: peer.version,
            reachable: peer.reachable,
        });
        let mut members: Vec<MemberStatus> = peers.chain([own]).collect();
        members.sort_by(|first, second| first.node.cmp(&second.node));
        members
    }

    fn fetch_snapshots(&self) -> LocalFuture<'_, Vec<ConfigSnapshot>> {
        Box::pin(self.links.fetch_snapshots())
    }
}
