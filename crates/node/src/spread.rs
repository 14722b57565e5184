//! Spread of the configuration over the links to peers.

use std::rc;
use std::time;

use redwing_model::admin::MemberStatus;
use redwing_provider::{LocalFuture, TableRow};

use crate::config::PeerSpread;
use crate::link::PeerMesh;
use crate::peer::ConfigCopy;
use crate::snapshot::SnapshotSender;

/// Age of a peer's last answer up to which a status calls it reachable.
const STATUS_LIMIT: time::Duration = time::Duration::from_secs(3);

/// Links to peers as the configuration uses them.
pub struct MeshSpread {
    mesh: rc::Rc<PeerMesh>,
    snapshots: rc::Rc<SnapshotSender>,
}

impl MeshSpread {
    /// Creates a spread over `mesh` for the process that publishes `snapshots`.
    pub fn new(mesh: rc::Rc<PeerMesh>, snapshots: rc::Rc<SnapshotSender>) -> Self {
        Self { mesh, snapshots }
    }
}

impl PeerSpread for MeshSpread {
    fn announce<'a>(&'a self, rows: &'a [TableRow], version: u64) -> LocalFuture<'a, usize> {
        Box::pin(self.mesh.announce(rows, version))
    }

    fn peer_count(&self) -> Option<usize> {
        self.mesh.peer_count()
    }

    fn reachable(&self, limit: time::Duration) -> usize {
        self.mesh.reachable(limit).len()
    }

    fn highest_version(&self) -> u64 {
        self.mesh.highest_version()
    }

    fn members(&self) -> Vec<MemberStatus> {
        let own = MemberStatus {
            node: self.mesh.own().node.clone(),
            version: self.snapshots.borrow().version,
            reachable: true,
        };
        let peers = self.mesh.peers(STATUS_LIMIT).into_iter();
        let peers = peers.map(|peer| MemberStatus {
            node: peer.incarnation.node,
            version: peer.version,
            reachable: peer.reachable,
        });
        let mut members: Vec<MemberStatus> = peers.chain([own]).collect();
        members.sort_by(|first, second| first.node.cmp(&second.node));
        members
    }

    fn fetch_copies(&self) -> LocalFuture<'_, Vec<ConfigCopy>> {
        Box::pin(self.mesh.fetch_copies())
    }
}
