//! Evacuated data centres in the scheduler of one process.

mod support;

use std::collections::{BTreeSet, HashMap};

use redwing_model::{DataCentre, VmId};
use redwing_policy::message::CustomerDemand;
use redwing_policy::{
    NodeScheduler, PeerMessage, SchedulerAction, SchedulerSettings, TicketId, TokenId, TokenPool,
};

use support::{FleetShape, at, customer, dispatched, node, refusals, success, ticket, vm};

fn data_centre(name: &str) -> DataCentre {
    DataCentre::new(name).expect("a valid name")
}

fn evacuated(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| data_centre(name)).collect()
}

/// Returns the data centres of the VMs: even numbers east, odd ones west.
fn places(shape: &FleetShape) -> HashMap<VmId, DataCentre> {
    let place = |number: usize| match number % 2 {
        0 => "east",
        _ => "west",
    };
    let numbers = 0..shape.workers;
    numbers
        .map(|number| (vm(number), data_centre(place(number))))
        .collect()
}

fn shape() -> FleetShape {
    FleetShape {
        workers: 4,
        classes: 1,
        customers: vec![(customer("a"), 1.0, 100)],
        ..FleetShape::default()
    }
}

fn scheduler(shape: &FleetShape) -> NodeScheduler {
    let mut scheduler = NodeScheduler::new(SchedulerSettings::default(), node(0));
    scheduler.set_places(at(0), places(shape));
    scheduler.install(at(0), shape.view(0, 1));
    scheduler
}

/// Submits requests with these numbers and returns the VMs that they are sent to.
fn submit(
    scheduler: &mut NodeScheduler,
    shape: &FleetShape,
    ids: std::ops::Range<u64>,
) -> Vec<VmId> {
    for id in ids {
        scheduler.submit(at(1), ticket(id, &shape.class(0), Some(&customer("a"))));
    }
    sent(scheduler)
}

fn sent(scheduler: &mut NodeScheduler) -> Vec<VmId> {
    let started = dispatched(&scheduler.take_actions());
    started.into_iter().map(|(_, vm)| vm).collect()
}

/// Guards against a request that is sent to an evacuated data centre, against running
/// requests that are cut off, and against waiting ones that stay behind.
#[test]
fn an_evacuated_data_centre_gets_no_request_and_those_there_end_by_themselves() {
    let shape = shape();
    let mut scheduler = scheduler(&shape);
    let slots = shape.workers as u64 * u64::from(scheduler.settings().slots_per_worker);
    let first = submit(&mut scheduler, &shape, 0..slots + 8);
    assert_eq!((first.len() as u64, scheduler.waiting()), (slots, 8));

    scheduler.set_evacuations(at(2), &evacuated(&["east"]));
    assert!(scheduler.take_actions().is_empty());
    assert_eq!(scheduler.evacuated_workers(), 2);
    assert_eq!(scheduler.evacuated_running() as u64, slots / 2);
    for (id, vm) in first.iter().enumerate() {
        scheduler.finish(at(3), TicketId(id as u64), &success(vm));
    }
    let later = sent(&mut scheduler);
    assert_eq!((later.len(), scheduler.evacuated_running()), (8, 0));
    assert!(later.iter().all(|name| *name == vm(1) || *name == vm(3)));
}

/// Guards against slots of an evacuated data centre that stay unused after its undo, and
/// against one undo that ends another evacuation.
#[test]
fn the_undo_of_one_evacuation_leaves_the_other() {
    let shape = shape();
    let mut scheduler = scheduler(&shape);
    scheduler.set_evacuations(at(1), &evacuated(&["east", "west"]));
    assert_eq!(submit(&mut scheduler, &shape, 0..4), []);
    assert_eq!(scheduler.waiting(), 4);
    scheduler.set_evacuations(at(2), &evacuated(&["west"]));
    let started = sent(&mut scheduler);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|name| *name == vm(0) || *name == vm(2)));
}

/// Guards against an evacuation that is forgotten when the view of the fleet is replaced, or
/// that does not apply to a VM which appears during it.
#[test]
fn an_evacuation_applies_to_views_and_vms_that_come_later() {
    let mut shape = shape();
    let mut scheduler = scheduler(&shape);
    scheduler.set_evacuations(at(1), &evacuated(&["east"]));
    shape.workers = 6;
    scheduler.set_places(at(2), places(&shape));
    scheduler.install(at(2), shape.view(0, 1));
    assert_eq!(scheduler.evacuated_workers(), 3);
    let started = submit(&mut scheduler, &shape, 0..30);
    assert_eq!(started.len(), 24);
    let west = [vm(1), vm(3), vm(5)];
    assert!(started.iter().all(|name| west.contains(name)));
}

/// Guards against slots of an evacuated data centre that are lent to a peer.
#[test]
fn no_slot_of_an_evacuated_data_centre_is_lent() {
    let shape = shape();
    let mut scheduler = NodeScheduler::new(SchedulerSettings::default(), node(0));
    scheduler.set_places(at(0), places(&shape));
    scheduler.install(at(0), shape.view(0, 2));
    scheduler.set_evacuations(at(1), &evacuated(&["east"]));
    let demand = CustomerDemand {
        class: shape.class(0),
        customer: Some(customer("a")),
        waiting: 100,
        service_micros: 0,
    };
    let message = PeerMessage {
        sequence: 1,
        demand: vec![demand],
        ..PeerMessage::default()
    };
    scheduler.receive(at(2), &node(1), message);
    for now in 3..200 {
        scheduler.tick(at(now));
    }
    let actions = scheduler.take_actions();
    let sends = actions.iter().filter_map(|action| match action {
        SchedulerAction::Send { message, .. } => Some(&message.transfers),
        _ => None,
    });
    let lent: Vec<_> = sends
        .flatten()
        .flat_map(|transfer| &transfer.tokens)
        .collect();
    assert!(!lent.is_empty());
    let east = [vm(0), vm(2)];
    let is_east = |token: &&&TokenId| match &token.pool {
        TokenPool::Slot(vm) => east.contains(vm),
        TokenPool::Permit(_) => false,
    };
    assert_eq!(lent.iter().filter(is_east).count(), 0);
}

/// Guards against requests that are sent, or wait for their deadline, while the process
/// cannot know which data centres are evacuated.
#[test]
fn a_held_scheduler_sends_nothing_and_refuses_at_once() {
    let shape = shape();
    let mut scheduler = scheduler(&shape);
    let slots = shape.workers as u64 * u64::from(scheduler.settings().slots_per_worker);
    let first = submit(&mut scheduler, &shape, 0..slots + 1);
    scheduler.set_held(at(2), true);
    scheduler.finish(at(3), TicketId(0), &success(&first[0]));
    assert_eq!((sent(&mut scheduler), scheduler.waiting()), (vec![], 1));
    scheduler.submit(at(4), ticket(900, &shape.class(0), None));
    assert_eq!(refusals(&scheduler.take_actions()), [TicketId(900)]);
    scheduler.set_held(at(5), false);
    assert_eq!(sent(&mut scheduler).len(), 1);
}
