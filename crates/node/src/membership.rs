//! Membership of this process and ownership of its tokens.
//!
//! A round reads changes from the table and the platform's list, settles ended
//! incarnations, assigns owners to tokens that have none, and updates the
//! scheduler's view and the peers of the links. Every write is conditional on
//! the versions read, so that concurrent, late and repeated rounds are safe.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc;
use std::time;

use redwing_membership::{
    EndedSettings, EndedTracker, MemberRecord, MembershipSnapshot, OwnerAssignment,
    OwnershipRecord, member,
};
use redwing_model::{DataCentre, FleetDeclaration, NodeId, NodeIncarnation, VmId};
use redwing_policy::{FleetView, NodeTime, TokenId, TokenPool};
use redwing_provider::builder::{TransactionBuilder, UnitFit};
use redwing_provider::table::CommitOutcome;
use redwing_provider::{
    Error, LocalFuture, PlatformServices, Result, RowKey, TableRow, TableTransaction,
};

use crate::fleet::{self, VmListing};
use crate::link::PeerAddress;
use crate::ownership::OwnershipTable;
use crate::register;
use crate::table_cache::TableCache;

/// Maximum number of rows written in one transaction.
const MAX_ROWS_PER_TRANSACTION: usize = 32;

/// Maximum number of tokens that one round starts to transfer to the members
/// that should own them.
const MAX_TRANSFERS_PER_ROUND: usize = 64;

/// Settings of the membership of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MembershipSettings {
    /// Slots of each backend server.
    pub slots_per_worker: u32,
    /// Time bounds that the platform guarantees.
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

/// Scheduler operations that the membership uses.
pub trait SchedulerPort {
    /// Replaces the data centres of the VMs.
    fn place(&self, _places: HashMap<VmId, DataCentre>) {}

    /// Replaces the cold VMs, with the time for which each remains cold.
    fn set_cold(&self, _cold: HashMap<VmId, time::Duration>) {}

    /// Replaces the scheduler's view of the fleet.
    fn install(&self, view: FleetView);

    /// Settles all loans with an ended incarnation; returns the tokens that this
    /// process adopts from it.
    fn settle<'a>(&'a self, ended: &'a NodeIncarnation) -> LocalFuture<'a, Vec<TokenId>>;

    /// Releases a token that this process owns if it is idle; returns whether it
    /// was released.
    fn release_ownership<'a>(&'a self, token: &'a TokenId) -> LocalFuture<'a, bool>;
}

/// View of the membership for the other tasks of the process.
#[derive(Debug, Default)]
pub struct MembershipView {
    /// Incarnations that have ended.
    pub ended: BTreeSet<NodeIncarnation>,
    /// Other present members.
    pub peers: Vec<PeerAddress>,
}

/// Membership view shared between the tasks of the control thread.
pub type SharedView = rc::Rc<RefCell<MembershipView>>;

/// Whether the process is still the one registered for its VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RegistrationStatus {
    /// The row of the VM names this incarnation.
    Current,
    /// The row names a newer incarnation or was removed.
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
    members: TableCache,
    vms: TableCache,
    ownership: OwnershipTable,
    ownership_rows: TableCache,
    tracker: EndedTracker,
    /// Tokens adopted from ended incarnations; the table names another owner
    /// until a write is confirmed.
    adopted: BTreeMap<NodeIncarnation, BTreeSet<TokenId>>,
    /// Ended incarnations that this process has completely settled.
    fully_settled: BTreeSet<NodeIncarnation>,
    /// Owned tokens released for transfer to another member, until the table
    /// shows the outcome.
    released: BTreeSet<TokenId>,
    /// View last installed in the scheduler; `None` if it must be installed again.
    installed_view: RefCell<Option<FleetView>>,
    /// Data centres of the VMs as last passed to the scheduler.
    installed_places: RefCell<HashMap<VmId, DataCentre>>,
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
            ownership: OwnershipTable::new(own.clone()),
            settings,
            services,
            scheduler,
            own,
            view: SharedView::default(),
            listing: VmListing::default(),
            members: TableCache::new(member::MEMBER_PREFIX),
            vms: TableCache::new(fleet::VM_PREFIX),
            ownership_rows: TableCache::new(redwing_membership::ownership::OWNERSHIP_PREFIX),
            adopted: BTreeMap::new(),
            fully_settled: BTreeSet::new(),
            released: BTreeSet::new(),
            installed_view: RefCell::new(None),
            installed_places: RefCell::default(),
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
    /// Fails if the table does not respond. Even then, backend servers that the
    /// platform lists as leaving get no new work.
    pub async fn round(
        &mut self,
        now: NodeTime,
        declaration: &FleetDeclaration,
    ) -> Result<RegistrationStatus> {
        let list_read = self.read_listing().await;
        let table_read = self.read_table().await;
        if let Err(error) = table_read {
            self.publish(declaration);
            return Err(error);
        }
        let members = self.member_records();
        if members
            .get(&self.own.node)
            .map(|record| &record.incarnation)
            != Some(&self.own)
        {
            return Ok(RegistrationStatus::Replaced);
        }
        self.tracker.observe(
            now,
            MembershipSnapshot {
                members: &members,
                listed: list_read.then(|| self.listing.entry_nodes()),
                owners: &self.ownership.owners(),
            },
        );
        self.publish(declaration);
        self.settle_ended(&members).await?;
        self.assign_owners(now, &members, declaration).await?;
        self.rebalance_tokens(&members).await?;
        self.read_ownership().await?;
        self.publish(declaration);
        Ok(RegistrationStatus::Current)
    }

    /// Transfers the idle tokens of this process to other members and removes
    /// its row, so that the members need not settle it.
    ///
    /// # Errors
    ///
    /// Fails if the table does not respond; the other members then recover the
    /// tokens once the platform no longer lists the VM.
    pub async fn leave(&mut self) -> Result<()> {
        self.read_table().await?;
        let members = self.member_records();
        let mut others = self.tracker.present(&members);
        others.retain(|other| *other != self.own);
        let owned: Vec<TokenId> = self.ownership.owned_tokens().iter().cloned().collect();
        self.transfer_ownership(&owned, &others).await?;
        register::unregister(&*self.services.table, &self.own).await
    }

    /// Reads the platform's list; returns whether the platform responded.
    async fn read_listing(&mut self) -> bool {
        match self.services.directory.list().await {
            Ok(list) => {
                let had_cold = !self.listing.cold_vms().is_empty();
                self.listing = VmListing::new(&list);
                let cold = self.listing.cold_vms();
                if had_cold || !cold.is_empty() {
                    self.scheduler.set_cold(cold);
                }
                true
            }
            Err(_) => false,
        }
    }

    /// Reads ownership rows before member rows: a member registers before it can
    /// own a token, so the owners read are never newer than the member rows.
    async fn read_table(&mut self) -> Result<()> {
        self.read_ownership().await?;
        self.members.refresh(&*self.services.table).await?;
        self.vms.refresh(&*self.services.table).await?;
        Ok(())
    }

    async fn read_ownership(&mut self) -> Result<()> {
        let changed = self.ownership_rows.refresh(&*self.services.table).await?;
        self.ownership.update(&changed);
        Ok(())
    }

    fn member_records(&self) -> BTreeMap<NodeId, MemberRecord> {
        let parse = |row: &TableRow| register::parse_member(row.value.as_deref()?);
        let records = self.members.rows().filter_map(parse);
        records
            .map(|record| (record.incarnation.node.clone(), record))
            .collect()
    }

    /// Publishes the current view to the scheduler and the other tasks.
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
            owned_tokens: self.usable_tokens(),
        };
        // Before the view, so that no VM of an evacuated data centre gets a request.
        let places = fleet::data_centres(&records);
        if *self.installed_places.borrow() != places {
            self.scheduler.place(places.clone());
            *self.installed_places.borrow_mut() = places;
        }
        if self.installed_view.borrow().as_ref() != Some(&view) {
            self.scheduler.install(view.clone());
            *self.installed_view.borrow_mut() = Some(view);
        }
        *self.view.borrow_mut() = MembershipView {
            ended: self.tracker.ended().clone(),
            peers,
        };
    }

    /// Returns the owned tokens, without released ones and with those adopted
    /// from ended incarnations.
    fn usable_tokens(&self) -> Vec<TokenId> {
        let owned = self.ownership.owned_tokens().difference(&self.released);
        let adopted = self.adopted.values().flatten();
        let all: BTreeSet<&TokenId> = owned.chain(adopted).collect();
        all.into_iter().cloned().collect()
    }

    /// Settles each ended incarnation that this process has not settled yet.
    async fn settle_ended(&mut self, members: &BTreeMap<NodeId, MemberRecord>) -> Result<()> {
        let Some(record) = members.get(&self.own.node) else {
            return Ok(());
        };
        let ended = self.tracker.ended().difference(&self.fully_settled);
        let ended: Vec<NodeIncarnation> = ended.cloned().collect();
        let owners = self.ownership.owners();
        let mut settled = record.settled.clone();
        settled.retain(|incarnation| owners.contains(incarnation));
        for incarnation in ended {
            let tokens = self.scheduler.settle(&incarnation).await;
            let adopted = self.adopted.entry(incarnation.clone()).or_default();
            adopted.extend(tokens);
            if !self.confirm_adopted(&incarnation).await? {
                continue;
            }
            if record.settled.contains(&incarnation) || !owners.contains(&incarnation) {
                self.fully_settled.insert(incarnation);
            } else {
                settled.insert(incarnation);
            }
        }
        if settled == record.settled {
            return Ok(());
        }
        self.write_settled(record, settled).await
    }

    /// Records this process in the table as the owner of the tokens adopted from
    /// `ended`; returns whether the table already names it for all of them.
    async fn confirm_adopted(&mut self, ended: &NodeIncarnation) -> Result<bool> {
        let tokens = self.adopted.get(ended).cloned().unwrap_or_default();
        let missing: Vec<TokenId> = tokens
            .difference(self.ownership.owned_tokens())
            .cloned()
            .collect();
        if missing.is_empty() {
            self.adopted.remove(ended);
            return Ok(true);
        }
        let own = self.own.clone();
        self.write_owners(&missing, |_| Some(own.clone())).await?;
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

    /// Assigns owners to tokens without one, in the rows that this process writes.
    async fn assign_owners(
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
            if let Some(record) = assignment.assign(&pool, self.ownership.record(&pool), size) {
                changes.push((pool, record));
            }
        }
        self.replace_rows(&changes).await?;
        self.remove_obsolete(members).await
    }

    /// Deletes the slot rows of removed VMs and the rows of ended members that own
    /// no tokens.
    async fn remove_obsolete(&self, members: &BTreeMap<NodeId, MemberRecord>) -> Result<()> {
        let present = self.tracker.present(members);
        let assignment = OwnerAssignment::new(&present, |_| false);
        let mut transaction = TableTransaction::default();
        for pool in self.ownership.pools() {
            let is_removed = match pool {
                TokenPool::Slot(vm) => self.vms.row(&format!("{}{vm}", fleet::VM_PREFIX)).is_none(),
                TokenPool::Permit(_) => false,
            };
            if is_removed && assignment.writer(pool) == Some(&self.own) {
                transaction = self.ownership.delete(transaction, pool);
            }
            if transaction.writes().len() >= MAX_ROWS_PER_TRANSACTION {
                break;
            }
        }
        if !transaction.writes().is_empty() {
            self.commit(&transaction).await?;
        }
        let owners = self.ownership.owners();
        for record in members.values() {
            let incarnation = &record.incarnation;
            if self.tracker.is_ended(incarnation) && !owners.contains(incarnation) {
                register::unregister(&*self.services.table, incarnation).await?;
            }
        }
        Ok(())
    }

    /// Returns the token pools that should exist, with their sizes.
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

    /// Transfers owned idle tokens to the members that should own them.
    async fn rebalance_tokens(&mut self, members: &BTreeMap<NodeId, MemberRecord>) -> Result<()> {
        let present = self.tracker.present(members);
        let assignment = OwnerAssignment::new(&present, |_| false);
        let has_other_owner = |token: &&TokenId| {
            assignment.preferred_owner(&token.pool, token.number) != Some(&self.own)
        };
        let owned = self.ownership.owned_tokens();
        let mut tokens: Vec<TokenId> = owned
            .iter()
            .filter(has_other_owner)
            .take(MAX_TRANSFERS_PER_ROUND)
            .cloned()
            .collect();
        // A write with an unknown outcome may still take effect until the row
        // is written again.
        let pending = self.released.iter().filter(|token| owned.contains(token));
        tokens.extend(pending.cloned());
        tokens.sort();
        tokens.dedup();
        if tokens.is_empty() {
            self.released.clear();
            return Ok(());
        }
        self.transfer_ownership(&tokens, &present).await
    }

    /// Releases owned idle tokens and writes their new owners.
    ///
    /// This process does not use a released token again until the table shows
    /// that the write can no longer take effect.
    async fn transfer_ownership(
        &mut self,
        tokens: &[TokenId],
        members: &[NodeIncarnation],
    ) -> Result<()> {
        let mut idle = Vec::new();
        for token in tokens {
            let is_released =
                self.released.contains(token) || self.scheduler.release_ownership(token).await;
            if is_released {
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
        self.write_owners(&idle, preferred).await?;
        self.read_ownership().await?;
        // A write with a known outcome has either taken effect or never will.
        self.released.clear();
        self.installed_view.replace(None);
        Ok(())
    }

    /// Writes the new owners of `tokens`, one row per pool.
    async fn write_owners(
        &self,
        tokens: &[TokenId],
        owner: impl Fn(&TokenId) -> Option<NodeIncarnation>,
    ) -> Result<()> {
        let mut records: BTreeMap<&TokenPool, OwnershipRecord> = BTreeMap::new();
        for token in tokens {
            let Some(owner) = owner(token) else {
                continue;
            };
            let current = self.ownership.record(&token.pool).cloned();
            let record = records
                .entry(&token.pool)
                .or_insert_with(|| current.unwrap_or_default());
            record.set_owner(token.number, owner);
        }
        let changes: Vec<(TokenPool, OwnershipRecord)> = records
            .into_iter()
            .map(|(pool, record)| (pool.clone(), record))
            .collect();
        self.replace_rows(&changes).await?;
        Ok(())
    }

    /// Writes rows in as many transactions as the limits of the table ask for.
    async fn replace_rows(&self, rows: &[(TokenPool, OwnershipRecord)]) -> Result<()> {
        const STEP: &str = "write the owners of tokens";
        let refused = |message: String| Error::refused(STEP, "table", message);
        let limits = self.services.table.limits();
        let new_builder = || TransactionBuilder::new(limits, TableTransaction::default());
        let mut builder = new_builder();
        // The other rows are written all the same.
        let mut too_large = None;
        for (pool, record) in rows {
            let unit = self
                .ownership
                .replace(TableTransaction::default(), pool, record)
                .map_err(|error| refused(error.to_string()))?;
            if builder.units() >= MAX_ROWS_PER_TRANSACTION {
                self.commit(&builder.finish()).await?;
                builder = new_builder();
            }
            match builder.add(&unit) {
                UnitFit::Added => {}
                UnitFit::Full => {
                    self.commit(&builder.finish()).await?;
                    builder = new_builder();
                    builder.add(&unit);
                }
                UnitFit::TooLarge(size) => too_large = Some((pool, size)),
            }
        }
        if builder.units() > 0 {
            self.commit(&builder.finish()).await?;
        }
        match too_large {
            Some((pool, size)) => Err(refused(format!("row of {pool:?}: {size}"))),
            None => Ok(()),
        }
    }

    /// Commits a transaction; the next round retries after a conflict.
    async fn commit(&self, transaction: &TableTransaction) -> Result<CommitOutcome> {
        self.services.table.commit(transaction).await
    }
}

fn encode<T: serde::Serialize>(step: &'static str, value: &T) -> Result<String> {
    serde_json::to_string(value).map_err(|error| Error::refused(step, "table", error.to_string()))
}
