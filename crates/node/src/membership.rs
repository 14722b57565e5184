//! Membership of this process and homes of its tokens.
//!
//! A round reads what changed in the table and in the platform's list,
//! settles incarnations that ended, gives homes to tokens that have none, and
//! tells the scheduler and the links what is new. Every write is conditional
//! on the versions read, so that rounds of several members, late rounds and
//! repeated rounds do no harm.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc;

use redwing_membership::{
    EndedSettings, EndedTracker, MemberRecord, MembershipSnapshot, OwnerAssignment,
    OwnershipRecord, member,
};
use redwing_model::{FleetDeclaration, NodeId, NodeIncarnation};
use redwing_policy::{FleetView, NodeTime, TokenId, TokenPool};
use redwing_provider::table::CommitOutcome;
use redwing_provider::{
    Error, LocalFuture, PlatformServices, Result, RowKey, TableRow, TableTransaction,
};

use crate::fleet::{self, VmListing};
use crate::homes::HomeTable;
use crate::link::PeerAddress;
use crate::mirror::TableMirror;
use crate::register;

/// Rows written in one transaction.
const ROWS_PER_TRANSACTION: usize = 32;

/// Own tokens that one round offers to a member that should be their home.
const MOVES_PER_ROUND: usize = 64;

/// Settings of the membership of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Slots of each backend server.
    pub slots_per_worker: u32,
    /// Bounds that the platform keeps.
    pub ended: EndedSettings,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            slots_per_worker: 8,
            ended: EndedSettings::default(),
        }
    }
}

/// Scheduler as the membership sees it.
pub trait SchedulerPort {
    /// Replaces the scheduler's view of the fleet.
    fn install(&self, view: FleetView);

    /// Ends all dealings with an ended incarnation; returns its tokens that
    /// are now at home here.
    fn settle<'a>(&'a self, ended: &'a NodeIncarnation) -> LocalFuture<'a, Vec<TokenId>>;

    /// Lets go of an idle token that is at home here; returns whether it did.
    fn release_home<'a>(&'a self, token: &'a TokenId) -> LocalFuture<'a, bool>;
}

/// What other tasks of the process read of the membership.
#[derive(Debug, Default)]
pub struct MembershipView {
    /// Incarnations that have ended.
    pub ended: BTreeSet<NodeIncarnation>,
    /// Other present members.
    pub peers: Vec<PeerAddress>,
}

/// Membership view shared between the tasks of the control thread.
pub type SharedView = rc::Rc<RefCell<MembershipView>>;

/// Whether the process is still the one that runs on its VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberStanding {
    /// Its row is as it wrote it.
    Current,
    /// A newer incarnation runs on the VM, or the row was removed.
    Replaced,
}

/// Keeps the membership of one process up to date.
pub struct MembershipRunner {
    settings: MembershipSettings,
    services: PlatformServices,
    scheduler: rc::Rc<dyn SchedulerPort>,
    own: NodeIncarnation,
    view: SharedView,
    listing: VmListing,
    members: TableMirror,
    vms: TableMirror,
    homes: HomeTable,
    holdings: TableMirror,
    tracker: EndedTracker,
    /// Tokens of ended incarnations that are held here but have another home
    /// in the table until a write is confirmed.
    adopted: BTreeMap<NodeIncarnation, BTreeSet<TokenId>>,
    /// Ended incarnations with which this process has finished.
    finished: BTreeSet<NodeIncarnation>,
    /// Own tokens let go in favour of another member, until the table shows it.
    released: BTreeSet<TokenId>,
    /// View that the scheduler was given last, unless it must get it again.
    installed: RefCell<Option<FleetView>>,
}

impl MembershipRunner {
    /// Creates the membership of the registered process `own`.
    pub fn new(
        settings: MembershipSettings,
        services: PlatformServices,
        scheduler: rc::Rc<dyn SchedulerPort>,
        own: NodeIncarnation,
    ) -> Self {
        Self {
            tracker: EndedTracker::new(own.clone(), settings.ended),
            homes: HomeTable::new(own.clone()),
            settings,
            services,
            scheduler,
            own,
            view: SharedView::default(),
            listing: VmListing::default(),
            members: TableMirror::new(member::MEMBER_PREFIX),
            vms: TableMirror::new(fleet::VM_PREFIX),
            holdings: TableMirror::new(redwing_membership::ownership::OWNERSHIP_PREFIX),
            adopted: BTreeMap::new(),
            finished: BTreeSet::new(),
            released: BTreeSet::new(),
            installed: RefCell::new(None),
        }
    }

    /// Returns the view that other tasks read.
    pub fn view(&self) -> SharedView {
        rc::Rc::clone(&self.view)
    }

    /// Runs one round under the given declaration.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer. Backend servers that the platform
    /// lists as leaving get no new work even then.
    pub async fn round(
        &mut self,
        now: NodeTime,
        declaration: &FleetDeclaration,
    ) -> Result<MemberStanding> {
        let listed = self.read_listing().await;
        let read = self.read_table().await;
        if let Err(error) = read {
            self.publish(declaration);
            return Err(error);
        }
        let members = self.member_records();
        if members
            .get(&self.own.node)
            .map(|record| &record.incarnation)
            != Some(&self.own)
        {
            return Ok(MemberStanding::Replaced);
        }
        self.tracker.observe(
            now,
            MembershipSnapshot {
                members: &members,
                listed: listed.then(|| self.listing.entry_nodes()),
                owners: &self.homes.members(),
            },
        );
        self.publish(declaration);
        self.settle_ended(&members).await?;
        self.assign_homes(now, &members, declaration).await?;
        self.move_homes(&members).await?;
        self.read_holdings().await?;
        self.publish(declaration);
        Ok(MemberStanding::Current)
    }

    /// Gives the idle tokens of this process to other members and removes its
    /// row, so that nothing of it is left to settle.
    ///
    /// # Errors
    ///
    /// Fails if the table does not answer; the other members then recover the
    /// tokens once the platform no longer lists the VM.
    pub async fn leave(&mut self) -> Result<()> {
        self.read_table().await?;
        let members = self.member_records();
        let mut others = self.tracker.present(&members);
        others.retain(|other| *other != self.own);
        let own: Vec<TokenId> = self.homes.own_tokens().iter().cloned().collect();
        self.give_homes(&own, &others).await?;
        register::unregister(&*self.services.table, &self.own).await
    }

    /// Reads the platform's list; returns whether it answered.
    async fn read_listing(&mut self) -> bool {
        match self.services.directory.list().await {
            Ok(list) => {
                self.listing = VmListing::new(&list);
                true
            }
            Err(_) => false,
        }
    }

    /// Reads holdings before members: a member registers before a token can
    /// be at home there, so a home is never newer than the rows of members.
    async fn read_table(&mut self) -> Result<()> {
        self.read_holdings().await?;
        self.members.refresh(&*self.services.table).await?;
        self.vms.refresh(&*self.services.table).await?;
        Ok(())
    }

    async fn read_holdings(&mut self) -> Result<()> {
        let changed = self.holdings.refresh(&*self.services.table).await?;
        self.homes.update(&changed);
        Ok(())
    }

    fn member_records(&self) -> BTreeMap<NodeId, MemberRecord> {
        let parse = |row: &TableRow| register::parse_member(row.value.as_deref()?);
        let records = self.members.rows().filter_map(parse);
        records
            .map(|record| (record.incarnation.node.clone(), record))
            .collect()
    }

    /// Tells the scheduler and the other tasks what is known.
    fn publish(&self, declaration: &FleetDeclaration) {
        let members = self.member_records();
        let present = self.tracker.present(&members);
        let mut peers = Vec::new();
        for record in members.values() {
            let incarnation = record.incarnation.clone();
            if incarnation != self.own && present.contains(&incarnation) {
                let address = record.peer_address;
                peers.push(PeerAddress {
                    incarnation,
                    address,
                });
            }
        }
        let records = fleet::vm_records(&self.vms);
        let view = FleetView {
            declaration: declaration.clone(),
            workers: fleet::worker_views(&records, &self.listing, declaration),
            peers: peers.iter().map(|peer| peer.incarnation.clone()).collect(),
            owned_tokens: self.usable_homes(),
        };
        if self.installed.borrow().as_ref() != Some(&view) {
            self.scheduler.install(view.clone());
            *self.installed.borrow_mut() = Some(view);
        }
        *self.view.borrow_mut() = MembershipView {
            ended: self.tracker.ended().clone(),
            peers,
        };
    }

    /// Returns the tokens at home here, without those let go and with those
    /// taken over from ended incarnations.
    fn usable_homes(&self) -> Vec<TokenId> {
        let own = self.homes.own_tokens().difference(&self.released);
        let adopted = self.adopted.values().flatten();
        let all: BTreeSet<&TokenId> = own.chain(adopted).collect();
        all.into_iter().cloned().collect()
    }

    /// Settles each ended incarnation that this process has not settled yet.
    async fn settle_ended(&mut self, members: &BTreeMap<NodeId, MemberRecord>) -> Result<()> {
        let Some(record) = members.get(&self.own.node) else {
            return Ok(());
        };
        let ended = self.tracker.ended().difference(&self.finished);
        let ended: Vec<NodeIncarnation> = ended.cloned().collect();
        let homes = self.homes.members();
        let mut settled = record.settled.clone();
        settled.retain(|incarnation| homes.contains(incarnation));
        for incarnation in ended {
            let tokens = self.scheduler.settle(&incarnation).await;
            let adopted = self.adopted.entry(incarnation.clone()).or_default();
            adopted.extend(tokens);
            if !self.confirm_adopted(&incarnation).await? {
                continue;
            }
            if record.settled.contains(&incarnation) || !homes.contains(&incarnation) {
                self.finished.insert(incarnation);
            } else {
                settled.insert(incarnation);
            }
        }
        if settled == record.settled {
            return Ok(());
        }
        self.write_settled(record, settled).await
    }

    /// Makes this process the home of the adopted tokens in the table;
    /// returns whether the table shows it for all of them.
    async fn confirm_adopted(&mut self, ended: &NodeIncarnation) -> Result<bool> {
        let tokens = self.adopted.get(ended).cloned().unwrap_or_default();
        let missing: Vec<TokenId> = tokens
            .difference(self.homes.own_tokens())
            .cloned()
            .collect();
        if missing.is_empty() {
            self.adopted.remove(ended);
            return Ok(true);
        }
        let own = self.own.clone();
        self.write_homes(&missing, |_| Some(own.clone())).await?;
        Ok(false)
    }

    async fn write_settled(
        &self,
        record: &MemberRecord,
        settled: BTreeSet<NodeIncarnation>,
    ) -> Result<()> {
        let key = member::member_key(&self.own.node);
        let Some(row) = self.members.row(&key) else {
            return Ok(());
        };
        let next = MemberRecord {
            settled,
            ..record.clone()
        };
        let value = encode("write settled incarnations", &next)?;
        let key = RowKey::new(key);
        let transaction = TableTransaction::default()
            .require_version(key.clone(), row.version)
            .put(key, value);
        self.commit(&transaction).await.map(|_| ())
    }

    /// Gives homes to tokens without one, in the rows that fall to this process.
    async fn assign_homes(
        &mut self,
        now: NodeTime,
        members: &BTreeMap<NodeId, MemberRecord>,
        declaration: &FleetDeclaration,
    ) -> Result<()> {
        let present = self.tracker.present(members);
        let tracker = &self.tracker;
        let assignment = OwnerAssignment::new(&present, |ended| tracker.is_reclaimable(now, ended));
        let mut changes = Vec::new();
        for (pool, size) in self.declared_pools(declaration) {
            if assignment.writer(&pool) != Some(&self.own) {
                continue;
            }
            if let Some(record) = assignment.assign(&pool, self.homes.record(&pool), size) {
                changes.push((pool, record));
            }
        }
        for chunk in changes.chunks(ROWS_PER_TRANSACTION) {
            self.replace_rows(chunk).await?;
        }
        self.remove_obsolete(members).await
    }

    /// Deletes rows of slots whose VM is gone and of members whose tokens all
    /// have other homes.
    async fn remove_obsolete(&self, members: &BTreeMap<NodeId, MemberRecord>) -> Result<()> {
        let present = self.tracker.present(members);
        let assignment = OwnerAssignment::new(&present, |_| false);
        let mut transaction = TableTransaction::default();
        for pool in self.homes.pools() {
            let gone = match pool {
                TokenPool::Slot(vm) => self.vms.row(&format!("{}{vm}", fleet::VM_PREFIX)).is_none(),
                TokenPool::Permit(_) => false,
            };
            if gone && assignment.writer(pool) == Some(&self.own) {
                transaction = self.homes.delete(transaction, pool);
            }
            if transaction.writes().len() >= ROWS_PER_TRANSACTION {
                break;
            }
        }
        if !transaction.writes().is_empty() {
            self.commit(&transaction).await?;
        }
        let homes = self.homes.members();
        for record in members.values() {
            let incarnation = &record.incarnation;
            if self.tracker.is_ended(incarnation) && !homes.contains(incarnation) {
                register::unregister(&*self.services.table, incarnation).await?;
            }
        }
        Ok(())
    }

    /// Returns each pool of tokens that should exist, with its size.
    fn declared_pools(&self, declaration: &FleetDeclaration) -> Vec<(TokenPool, u32)> {
        let records = fleet::vm_records(&self.vms);
        let slots = records.into_iter().map(|record| {
            let pool = TokenPool::Slot(record.identity.vm);
            (pool, self.settings.slots_per_worker)
        });
        let permits = declaration.customers.iter().map(|(customer, target)| {
            let pool = TokenPool::Permit(customer.clone());
            (pool, target.limit)
        });
        slots.chain(permits).collect()
    }

    /// Offers own idle tokens to the members that should be their homes.
    async fn move_homes(&mut self, members: &BTreeMap<NodeId, MemberRecord>) -> Result<()> {
        let present = self.tracker.present(members);
        let assignment = OwnerAssignment::new(&present, |_| false);
        let misplaced = |token: &&TokenId| {
            assignment.preferred_owner(&token.pool, token.number) != Some(&self.own)
        };
        let own = self.homes.own_tokens();
        let mut tokens: Vec<TokenId> = own
            .iter()
            .filter(misplaced)
            .take(MOVES_PER_ROUND)
            .cloned()
            .collect();
        // A write whose outcome is unknown may still take effect until the
        // row has been written again.
        let pending = self.released.iter().filter(|token| own.contains(token));
        tokens.extend(pending.cloned());
        tokens.sort();
        tokens.dedup();
        if tokens.is_empty() {
            self.released.clear();
            return Ok(());
        }
        self.give_homes(&tokens, &present).await
    }

    /// Lets go of idle own tokens and writes their new homes.
    ///
    /// A token that was let go is not used here again before the table shows
    /// that the write can no longer take effect.
    async fn give_homes(&mut self, tokens: &[TokenId], members: &[NodeIncarnation]) -> Result<()> {
        let mut idle = Vec::new();
        for token in tokens {
            let free = self.released.contains(token) || self.scheduler.release_home(token).await;
            if free {
                self.released.insert(token.clone());
                idle.push(token.clone());
            }
        }
        let assignment = OwnerAssignment::new(members, |_| false);
        let preferred = |token: &TokenId| {
            assignment
                .preferred_owner(&token.pool, token.number)
                .cloned()
        };
        self.write_homes(&idle, preferred).await?;
        self.read_holdings().await?;
        // A write that answered has either taken effect or never will.
        self.released.clear();
        self.installed.replace(None);
        Ok(())
    }

    /// Writes new homes of `tokens`, one row a pool.
    async fn write_homes(
        &self,
        tokens: &[TokenId],
        home: impl Fn(&TokenId) -> Option<NodeIncarnation>,
    ) -> Result<()> {
        let mut records: BTreeMap<&TokenPool, OwnershipRecord> = BTreeMap::new();
        for token in tokens {
            let Some(home) = home(token) else {
                continue;
            };
            let known = self.homes.record(&token.pool).cloned();
            let record = records
                .entry(&token.pool)
                .or_insert_with(|| known.unwrap_or_default());
            record.set_owner(token.number, home);
        }
        let changes: Vec<(TokenPool, OwnershipRecord)> = records
            .into_iter()
            .map(|(pool, record)| (pool.clone(), record))
            .collect();
        for chunk in changes.chunks(ROWS_PER_TRANSACTION) {
            self.replace_rows(chunk).await?;
        }
        Ok(())
    }

    async fn replace_rows(&self, rows: &[(TokenPool, OwnershipRecord)]) -> Result<()> {
        const STEP: &str = "write homes of tokens";
        let mut transaction = TableTransaction::default();
        for (pool, record) in rows {
            transaction = self
                .homes
                .replace(transaction, pool, record)
                .map_err(|error| Error::refused(STEP, "table", error.to_string()))?;
        }
        self.commit(&transaction).await.map(|_| ())
    }

    /// Commits; a conflict is left to the next round, which reads anew.
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitOutcome> {
        self.services.table.commit(transaction).await
    }
}

fn encode<T: serde::Serialize>(step: &'static str, value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::refused(step, "table", error.to_string()))
}
