//! Conversions between the wire format and the types of the other packages.

use capnp::{primitive_list, struct_list, text};
use redwing_model::{CustomerName, NodeId, NodeIncarnation, QueueName, VmId};
use redwing_policy::PeerMessage;
use redwing_policy::message::{CustomerDemand, IdleSlots, PermitRequest, TokenTransfer};
use redwing_policy::token::{TokenId, TokenPool};
use redwing_provider::{RowKey, TableRow};

use crate::error::{Error, Result};
use crate::peer_capnp;

/// Largest number of entries accepted in one list of a message.
pub const MAX_LIST_ENTRIES: u32 = 100_000;

/// Writes an incarnation of a node.
pub fn write_incarnation(
    incarnation: &NodeIncarnation,
    mut builder: peer_capnp::incarnation::Builder<'_>,
) {
    builder.set_node(incarnation.node.as_str());
    builder.set_epoch(incarnation.epoch);
}

/// Reads an incarnation of a node.
///
/// # Errors
///
/// Fails if the message is malformed or the name of the node is not valid.
pub fn read_incarnation(reader: peer_capnp::incarnation::Reader<'_>) -> Result<NodeIncarnation> {
    const OPERATION: &str = "read incarnation";
    let node = read_name(OPERATION, reader.get_node(), NodeId::new)?;
    let epoch = reader.get_epoch();
    Ok(NodeIncarnation { node, epoch })
}

/// Writes a scheduler message.
pub fn write_message(message: &PeerMessage, mut builder: peer_capnp::peer_message::Builder<'_>) {
    builder.set_sequence(message.sequence);
    write_demand(&message.demand, builder.reborrow());
    write_idle(&message.idle, builder.reborrow());
    write_permit_requests(&message.permit_requests, builder.reborrow());
    write_transfers(&message.transfers, builder.reborrow());
    let mut received = builder
        .reborrow()
        .init_received(wire_u32(message.received.len()));
    for (index, id) in message.received.iter().enumerate() {
        received.set(wire_u32(index), *id);
    }
    let mut recalls = builder.init_recalls(wire_u32(message.recalls.len()));
    for (index, pool) in message.recalls.iter().enumerate() {
        write_pool(pool, recalls.reborrow().get(wire_u32(index)));
    }
}

/// Reads a scheduler message.
///
/// # Errors
///
/// Fails if the message is malformed, a name is not valid, or a list is
/// longer than [`MAX_LIST_ENTRIES`].
pub fn read_message(reader: peer_capnp::peer_message::Reader<'_>) -> Result<PeerMessage> {
    const OPERATION: &str = "read peer message";
    let recalls = check_encoding(OPERATION, reader.get_recalls())?;
    check_length(OPERATION, recalls.len())?;
    Ok(PeerMessage {
        sequence: reader.get_sequence(),
        demand: read_demand(check_encoding(OPERATION, reader.get_demand())?)?,
        idle: read_idle(check_encoding(OPERATION, reader.get_idle())?)?,
        permit_requests: read_permit_requests(check_encoding(OPERATION, reader.get_wants())?)?,
        transfers: read_transfers(check_encoding(OPERATION, reader.get_transfers())?)?,
        received: read_numbers(check_encoding(OPERATION, reader.get_received())?)?,
        recalls: recalls.iter().map(read_pool).collect::<Result<_>>()?,
    })
}

/// Writes configuration rows.
pub fn write_rows(
    rows: &[TableRow],
    mut builder: struct_list::Builder<'_, peer_capnp::config_row::Owned>,
) {
    for (index, row) in rows.iter().enumerate() {
        let mut entry = builder.reborrow().get(wire_u32(index));
        entry.set_key(row.key.as_str());
        entry.set_version(row.version);
        entry.set_present(row.value.is_some());
        entry.set_value(row.value.as_deref().unwrap_or_default());
    }
}

/// Reads configuration rows.
///
/// # Errors
///
/// Fails if a text is not valid UTF-8 or the list is longer than
/// [`MAX_LIST_ENTRIES`].
pub fn read_rows(
    reader: struct_list::Reader<'_, peer_capnp::config_row::Owned>,
) -> Result<Vec<TableRow>> {
    const OPERATION: &str = "read configuration rows";
    check_length(OPERATION, reader.len())?;
    let mut rows = Vec::with_capacity(reader.len() as usize);
    for entry in reader.iter() {
        let value = read_text(OPERATION, entry.get_value())?;
        rows.push(TableRow {
            key: RowKey::new(read_text(OPERATION, entry.get_key())?),
            version: entry.get_version(),
            value: entry.get_present().then(|| value.to_owned()),
        });
    }
    Ok(rows)
}

/// Returns a list length or index in the integer type of the wire format.
///
/// The lists of a process are far shorter than the maximum, `u32::MAX`.
pub fn wire_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn write_demand(demand: &[CustomerDemand], builder: peer_capnp::peer_message::Builder<'_>) {
    let mut list = builder.init_demand(wire_u32(demand.len()));
    for (index, entry) in demand.iter().enumerate() {
        let mut item = list.reborrow().get(wire_u32(index));
        item.set_class(entry.class.as_str());
        item.set_team(entry.customer.as_ref().map_or("", CustomerName::as_str));
        item.set_waiting(entry.waiting);
        item.set_service_micros(entry.service_micros);
    }
}

fn read_demand(
    list: struct_list::Reader<'_, peer_capnp::team_demand::Owned>,
) -> Result<Vec<CustomerDemand>> {
    const OPERATION: &str = "read demand";
    check_length(OPERATION, list.len())?;
    let mut demand = Vec::with_capacity(list.len() as usize);
    for item in list.iter() {
        demand.push(CustomerDemand {
            class: read_name(OPERATION, item.get_class(), QueueName::new)?,
            customer: read_customer(OPERATION, item.get_team())?,
            waiting: item.get_waiting(),
            service_micros: item.get_service_micros(),
        });
    }
    Ok(demand)
}

fn write_idle(idle: &[IdleSlots], builder: peer_capnp::peer_message::Builder<'_>) {
    let mut list = builder.init_idle(wire_u32(idle.len()));
    for (index, entry) in idle.iter().enumerate() {
        let mut item = list.reborrow().get(wire_u32(index));
        item.set_class(entry.class.as_str());
        item.set_slots(entry.slots);
    }
}

fn read_idle(
    list: struct_list::Reader<'_, peer_capnp::idle_slots::Owned>,
) -> Result<Vec<IdleSlots>> {
    const OPERATION: &str = "read idle slots";
    check_length(OPERATION, list.len())?;
    let mut idle = Vec::with_capacity(list.len() as usize);
    for item in list.iter() {
        let class = read_name(OPERATION, item.get_class(), QueueName::new)?;
        let slots = item.get_slots();
        idle.push(IdleSlots { class, slots });
    }
    Ok(idle)
}

fn write_permit_requests(
    requests: &[PermitRequest],
    builder: peer_capnp::peer_message::Builder<'_>,
) {
    let mut list = builder.init_wants(wire_u32(requests.len()));
    for (index, entry) in requests.iter().enumerate() {
        let mut item = list.reborrow().get(wire_u32(index));
        item.set_team(entry.customer.as_str());
        item.set_permits(entry.permits);
    }
}

fn read_permit_requests(
    list: struct_list::Reader<'_, peer_capnp::permit_want::Owned>,
) -> Result<Vec<PermitRequest>> {
    const OPERATION: &str = "read permit requests";
    check_length(OPERATION, list.len())?;
    let mut requests = Vec::with_capacity(list.len() as usize);
    for item in list.iter() {
        let customer = read_name(OPERATION, item.get_team(), CustomerName::new)?;
        let permits = item.get_permits();
        requests.push(PermitRequest { customer, permits });
    }
    Ok(requests)
}

/// Consecutive tokens of one pool in a transfer, written as one group.
struct TokenGroup<'a> {
    pool: &'a TokenPool,
    numbers: Vec<u32>,
}

/// Groups consecutive tokens of the same pool; keeps the order of the tokens.
fn group_tokens(tokens: &[TokenId]) -> Vec<TokenGroup<'_>> {
    let mut groups: Vec<TokenGroup<'_>> = Vec::new();
    for token in tokens {
        match groups.last_mut() {
            Some(group) if *group.pool == token.pool => group.numbers.push(token.number),
            _ => groups.push(TokenGroup {
                pool: &token.pool,
                numbers: vec![token.number],
            }),
        }
    }
    groups
}

fn write_transfers(transfers: &[TokenTransfer], builder: peer_capnp::peer_message::Builder<'_>) {
    let mut list = builder.init_transfers(wire_u32(transfers.len()));
    for (index, transfer) in transfers.iter().enumerate() {
        let mut item = list.reborrow().get(wire_u32(index));
        item.set_id(transfer.id);
        let groups = group_tokens(&transfer.tokens);
        let mut group_list = item.init_groups(wire_u32(groups.len()));
        for (group_index, group) in groups.iter().enumerate() {
            let mut entry = group_list.reborrow().get(wire_u32(group_index));
            write_pool(group.pool, entry.reborrow().init_pool());
            let mut numbers = entry.init_numbers(wire_u32(group.numbers.len()));
            for (position, number) in group.numbers.iter().enumerate() {
                numbers.set(wire_u32(position), *number);
            }
        }
    }
}

fn read_transfers(
    list: struct_list::Reader<'_, peer_capnp::token_transfer::Owned>,
) -> Result<Vec<TokenTransfer>> {
    const OPERATION: &str = "read token transfers";
    check_length(OPERATION, list.len())?;
    let mut transfers = Vec::with_capacity(list.len() as usize);
    for item in list.iter() {
        let mut tokens = Vec::new();
        for group in check_encoding(OPERATION, item.get_groups())?.iter() {
            let pool = read_pool(check_encoding(OPERATION, group.get_pool())?)?;
            let numbers = check_encoding(OPERATION, group.get_numbers())?;
            check_length(OPERATION, numbers.len())?;
            for number in numbers.iter() {
                let pool = pool.clone();
                tokens.push(TokenId { pool, number });
            }
        }
        let id = item.get_id();
        transfers.push(TokenTransfer { id, tokens });
    }
    Ok(transfers)
}

fn read_numbers(list: primitive_list::Reader<'_, u64>) -> Result<Vec<u64>> {
    check_length("read received transfers", list.len())?;
    Ok(list.iter().collect())
}

fn write_pool(pool: &TokenPool, mut builder: peer_capnp::token_pool::Builder<'_>) {
    match pool {
        TokenPool::Permit(customer) => builder.set_permit(customer.as_str()),
        TokenPool::Slot(vm) => builder.set_slot(vm.as_str()),
    }
}

fn read_pool(reader: peer_capnp::token_pool::Reader<'_>) -> Result<TokenPool> {
    use peer_capnp::token_pool::Which;

    const OPERATION: &str = "read token pool";
    match reader.which() {
        Ok(Which::Permit(customer)) => {
            read_name(OPERATION, customer, CustomerName::new).map(TokenPool::Permit)
        }
        Ok(Which::Slot(vm)) => read_name(OPERATION, vm, VmId::new).map(TokenPool::Slot),
        Err(error) => Err(Error::invalid(OPERATION, error)),
    }
}

fn read_customer(
    operation: &'static str,
    field: capnp::Result<text::Reader<'_>>,
) -> Result<Option<CustomerName>> {
    let text = read_text(operation, field)?;
    if text.is_empty() {
        return Ok(None);
    }
    CustomerName::new(text)
        .map(Some)
        .map_err(|error| Error::invalid(operation, error))
}

fn read_name<T>(
    operation: &'static str,
    field: capnp::Result<text::Reader<'_>>,
    create: impl FnOnce(&str) -> redwing_model::Result<T>,
) -> Result<T> {
    let text = read_text(operation, field)?;
    create(text).map_err(|error| Error::invalid(operation, error))
}

fn read_text<'a>(
    operation: &'static str,
    field: capnp::Result<text::Reader<'a>>,
) -> Result<&'a str> {
    let reader = check_encoding(operation, field)?;
    reader
        .to_str()
        .map_err(|error| Error::invalid(operation, error))
}

fn check_encoding<T>(operation: &'static str, field: capnp::Result<T>) -> Result<T> {
    field.map_err(|error| Error::malformed(operation, &error))
}

fn check_length(operation: &'static str, length: u32) -> Result<()> {
    if length <= MAX_LIST_ENTRIES {
        return Ok(());
    }
    let message = format!("list has {length} entries, more than the limit of {MAX_LIST_ENTRIES}");
    Err(Error::invalid(operation, message))
}
