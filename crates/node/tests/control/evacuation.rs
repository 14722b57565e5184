//! Evacuations as changes of the configuration: propagation, retries, restarts.

use std::collections::BTreeSet;
use std::rc;
use std::sync;
use std::time;

use crate::fleet::{TestFleet, TestNode, draft};
use actix_http::Method;
use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use redwing_model::admin::{
    AuditFilter, ChangeKind, ChangeResponse, ChangeStatus, EvacuationView, RefusalCause,
};
use redwing_model::evacuation::EvacuationVerdict;
use redwing_model::{DataCentre, PoolName, VmId};
use redwing_node::admin::{AdminHandler, AdminRequest, EvacuationRoutes, PlaceSource};
use redwing_node::config::evacuation::{self, EvacuationTable, VmPlaces};
use redwing_node::config::{ConfigService, ConfigSettings, ConfigState, propagation};
use redwing_node::control::{
    ControlChannel, ControlCommand, ControlHandle, NodeClock, RequestVerdict,
};
use redwing_node::evacuation::{DispatchDeadline, EvacuationNotice, EvacuationSender};
use redwing_node::snapshot::FreshnessDeadline;
use redwing_policy::scheduler::WorkerView;
use redwing_policy::{FleetView, RequestTicket, SchedulerSettings, TicketId, TokenId, TokenPool};
use redwing_provider::{RowKey, TableRow};
use rstest::rstest;
use tokio::sync::{mpsc, oneshot};

fn data_centre(name: &str) -> DataCentre {
    DataCentre::new(name).unwrap()
}

/// Returns places with pool `a` in all of three data centres and `b` only in the east.
fn places() -> VmPlaces {
    let (a, b) = (PoolName::new("a").unwrap(), PoolName::new("b").unwrap());
    let [east, north, west] = ["east", "north", "west"].map(data_centre);
    VmPlaces::new([(&a, &east), (&a, &north), (&a, &west), (&b, &east)])
}

fn evacuate(name: &str, also: bool) -> ChangeKind {
    let data_centre = data_centre(name);
    ChangeKind::Evacuate { data_centre, also }
}

fn undo(name: &str) -> ChangeKind {
    let data_centre = data_centre(name);
    ChangeKind::UndoEvacuation { data_centre }
}

/// Returns processes with a configuration that know the places of the VMs.
async fn fleet(size: usize) -> TestFleet {
    let fleet = TestFleet::new(size);
    fleet.nodes[0].apply("c1", 5, None).await;
    for node in &fleet.nodes {
        node.config.set_places(places());
    }
    fleet
}

async fn change(node: &TestNode, id: &str, kind: ChangeKind) -> ChangeResponse {
    node.config.change(&draft(id, kind)).await
}

/// Returns status and version of a response, and whether it changed nothing.
fn outcome(response: &ChangeResponse) -> (ChangeStatus, Option<u64>, bool) {
    (response.status, response.version, response.unchanged)
}

/// Returns the outcome of an accepted change.
fn accepted(version: u64) -> (ChangeStatus, Option<u64>, bool) {
    (ChangeStatus::Accepted, Some(version), false)
}

/// Returns the evacuated data centres as the scheduler of the process receives them.
fn evacuated(node: &TestNode) -> Vec<String> {
    let names = node.config.evacuations().borrow().evacuated.clone();
    names.iter().map(ToString::to_string).collect()
}

fn table(names: &[&str]) -> EvacuationTable {
    let entry = |name: &&str| (data_centre(name), Default::default());
    names.iter().map(entry).collect()
}

/// Guards against a refused evacuation that has an effect, and against an allowed one that
/// leaves nothing.
#[rstest]
#[case::first(evacuate("east", false), &[], EvacuationVerdict::Allowed)]
#[case::second(evacuate("west", false), &["east"], EvacuationVerdict::Second)]
#[case::second_on_purpose(evacuate("west", true), &["east"], EvacuationVerdict::Allowed)]
#[case::last(evacuate("north", true), &["east", "west"], EvacuationVerdict::Last)]
#[case::again(evacuate("east", false), &["east", "west"], EvacuationVerdict::Unchanged)]
#[case::unknown(evacuate("south", true), &[], EvacuationVerdict::Unknown)]
#[case::undo(undo("east"), &["east"], EvacuationVerdict::Allowed)]
#[case::undo_of_one_without_vms(undo("south"), &["south"], EvacuationVerdict::Allowed)]
#[case::undo_of_none(undo("east"), &["west"], EvacuationVerdict::Unchanged)]
#[case::undo_of_unknown(undo("south"), &["west"], EvacuationVerdict::Unknown)]
fn an_evacuation_is_checked_against_those_in_force(
    #[case] kind: ChangeKind,
    #[case] in_force: &[&str],
    #[case] expected: EvacuationVerdict,
) {
    let (verdict, reason) = evacuation::check(&kind, &places(), &table(in_force));
    assert_eq!(verdict, expected);
    assert_eq!(reason.is_empty(), verdict == EvacuationVerdict::Allowed);
}

/// Guards against a process that has not read the VMs and takes every data centre for
/// unknown, and against a pool without VMs elsewhere that is not named.
#[test]
fn places_decide_what_is_known_and_what_is_confined() {
    let unread = evacuation::check(&evacuate("east", false), &VmPlaces::default(), &table(&[]));
    assert_eq!(unread.0, EvacuationVerdict::PlacesUnread);
    let consequence = |kind, in_force: &[&str]| {
        evacuation::consequence(&kind, &places(), &table(in_force)).unwrap_or_default()
    };
    assert!(consequence(evacuate("east", false), &[]).contains("waits: b"));
    assert_eq!(consequence(evacuate("west", false), &[]), "");
    assert!(consequence(evacuate("west", true), &["east", "north"]).contains("waits: a"));
}

#[actix_rt::test]
async fn an_evacuation_is_in_force_at_a_majority_and_recorded() {
    let fleet = fleet(3).await;
    fleet.network.borrow_mut().isolated[2] = true;
    let response = change(&fleet.nodes[0], "c2", evacuate("east", false)).await;
    assert_eq!(outcome(&response), accepted(2));
    assert!(response.detail.contains("waits: b"), "{}", response.detail);
    assert_eq!(evacuated(&fleet.nodes[1]), ["east"]);
    assert!(evacuated(&fleet.nodes[2]).is_empty());
    fleet.nodes[2].config.refresh().await.unwrap();
    assert_eq!(evacuated(&fleet.nodes[2]), ["east"]);

    let response = change(&fleet.nodes[2], "c3", undo("east")).await;
    assert_eq!(response.version, Some(3));
    let config = &fleet.nodes[2].config;
    let kinds = config.history(2).await.unwrap().into_iter();
    let kinds: Vec<ChangeKind> = kinds.map(|entry| entry.kind).collect();
    assert_eq!(kinds, [undo("east"), evacuate("east", false)]);
    config.audit().flush().await.unwrap();
    let entries = config.audit().query(&AuditFilter::default()).await.unwrap();
    let last = entries.last().unwrap();
    assert_eq!(
        (&*last.action, &*last.subject, last.to_version),
        ("undo-evacuation", "data-centre/east", Some(3))
    );
}

/// Guards against a second version, or a refusal, for a command that is repeated because
/// its reply was lost after the write.
#[actix_rt::test]
async fn a_repeated_evacuation_gets_the_result_of_the_first() {
    let fleet = fleet(3).await;
    let faults = |lost| {
        let platform = &fleet.nodes[0].platform;
        platform.set_faults(|faults| faults.lost_replies = lost);
    };
    faults(u32::MAX);
    let lost = change(&fleet.nodes[0], "c2", evacuate("east", false)).await;
    assert_eq!(lost.status, ChangeStatus::Pending);
    faults(0);
    for node in [1, 0] {
        let again = change(&fleet.nodes[node], "c2", evacuate("east", false)).await;
        assert_eq!(outcome(&again), accepted(2));
    }
    let other = change(&fleet.nodes[1], "c3", evacuate("east", false)).await;
    assert_eq!(outcome(&other), (ChangeStatus::Accepted, None, true));
    assert_eq!(fleet.nodes[1].config.version(), 2);
}

/// Guards against a confirmation of an evacuation that another operator has undone while
/// it was being confirmed, and against a retry that evacuates again.
#[actix_rt::test]
async fn the_row_written_last_counts_when_an_evacuation_is_undone_while_it_is_confirmed() {
    let fleet = fleet(3).await;
    fleet.network.borrow_mut().isolated[0] = true;
    let pending = change(&fleet.nodes[0], "c2", evacuate("east", false)).await;
    assert_eq!(outcome(&pending), (ChangeStatus::Pending, Some(2), false));
    fleet.nodes[2].config.refresh().await.unwrap();
    let undone = change(&fleet.nodes[1], "c3", undo("east")).await;
    assert_eq!(outcome(&undone), accepted(3));
    fleet.network.borrow_mut().isolated[0] = false;
    let again = change(&fleet.nodes[0], "c2", evacuate("east", false)).await;
    assert_eq!(outcome(&again), accepted(2));
    assert!(again.detail.contains("undone"), "{}", again.detail);
    for node in &fleet.nodes[..2] {
        assert!(evacuated(node).is_empty());
    }
}

/// Guards against two operators who together evacuate the last data centres, each on the
/// state before the other's change.
#[actix_rt::test]
async fn of_two_evacuations_at_once_the_second_is_checked_against_the_first() {
    let fleet = fleet(3).await;
    change(&fleet.nodes[0], "c2", evacuate("north", false)).await;
    let first = draft("c3", evacuate("east", true));
    let second = draft("c4", evacuate("west", true));
    let (first, second) = futures_util::future::join(
        fleet.nodes[0].config.change(&first),
        fleet.nodes[1].config.change(&second),
    )
    .await;
    let causes: BTreeSet<_> = [&first, &second]
        .map(|response| response.cause == Some(RefusalCause::Disallowed))
        .into();
    assert_eq!(causes.len(), 2, "{first:?} {second:?}");
    fleet.nodes[2].config.refresh().await.unwrap();
    assert_eq!(evacuated(&fleet.nodes[2]).len(), 2);
}

/// Guards against an accepted evacuation that reverts when a process restarts without the
/// table, from a peer that does not have it yet.
#[actix_rt::test]
async fn an_accepted_evacuation_survives_a_restart_in_an_outage() {
    let mut fleet = fleet(3).await;
    fleet.network.borrow_mut().isolated[1] = true;
    let response = change(&fleet.nodes[0], "c2", evacuate("east", false)).await;
    assert_eq!(response.status, ChangeStatus::Accepted);
    for node in &fleet.nodes {
        node.platform.set_faults(|faults| faults.table_down = true);
    }
    fleet.restart(2);
    let config = fleet.nodes[2].config.clone();
    config.refresh_from_peers().await;
    assert_eq!(config.version(), 0, "one peer is not a majority");
    fleet.network.borrow_mut().isolated[1] = false;
    config.refresh_from_peers().await;
    assert_eq!(evacuated(&fleet.nodes[2]), ["east"]);
    // A change without the table may have taken effect if its id was used before.
    let refused = change(&fleet.nodes[2], "c3", undo("east")).await;
    assert_eq!(refused.status, ChangeStatus::Pending);
    assert_eq!(evacuated(&fleet.nodes[2]), ["east"]);
}

/// Guards against a process without table and peers that goes on sending requests by an old
/// configuration, although evacuations have a bound; and against a bound for processes that
/// have none.
#[actix_rt::test]
async fn a_bounded_process_without_table_and_peers_stops_dispatching() {
    let fleet = fleet(1).await;
    let config = bounded_service(&fleet.nodes[0]);
    config.refresh().await.unwrap();
    let deadline = config.evacuations().borrow().deadline.clone().unwrap();
    let now = time::Instant::now();
    assert!(deadline.allows(now));
    let freshness = config.freshness_limit();
    let second = time::Duration::from_secs(1);
    // The bound is 6 s with a freshness of 4 s, and the request's way takes 1 s of it.
    assert!(deadline.allows(now + freshness + second - time::Duration::from_millis(200)));
    assert!(!deadline.allows(now + freshness + second + time::Duration::from_millis(200)));
    let unbounded = fleet.nodes[0].config.evacuations();
    assert!(unbounded.borrow().deadline.is_none());
}

/// Returns another service of the node's process, with a bound of evacuations.
fn bounded_service(node: &TestNode) -> ConfigService {
    let settings = ConfigSettings {
        evacuation_bound: Some(time::Duration::from_secs(6)),
        ..ConfigSettings::default()
    };
    let (client, audit) = (node.client.clone(), node.config.audit().clone());
    let (peers, snapshots) = (rc::Rc::new(propagation::NoPeers), Default::default());
    let service = ConfigService::new(client, peers, snapshots, audit, settings);
    service.with_evacuations(EvacuationSender::default())
}

/// Guards against a row of a newer release, or a damaged one, that is ignored.
#[test]
fn a_row_that_cannot_be_read_evacuates_its_data_centre() {
    let row = |key: &str, value: &str| TableRow {
        key: RowKey::new(key),
        version: 1,
        value: Some(value.to_owned()),
    };
    let head = r#"{"version":1,"change":"c","operator":"o","at-millis":1,"rows":2}"#;
    let mut state = ConfigState::default();
    state.install_change(&[
        row("config/head", head),
        row("config/evacuation/east", "{}]"),
    ]);
    let view = state.view();
    assert_eq!(view.head.version, 1);
    assert!(view.evacuations.contains_key(&data_centre("east")));
}

struct FixedPlaces;

impl PlaceSource for FixedPlaces {
    fn places(&self) -> VmPlaces {
        places()
    }
}

/// Guards against routes that take a wrong method, body or name, or answer with another
/// status than those of other changes.
#[actix_rt::test]
async fn routes_evacuate_list_and_undo() {
    let fleet = fleet(1).await;
    let config = fleet.nodes[0].config.clone();
    let routes = EvacuationRoutes::new(config, rc::Rc::new(FixedPlaces));
    let call = async |method: Method, path: &str, id: &'static str, body: &str| {
        let mut headers = HeaderMap::new();
        let name = HeaderName::from_static("redwing-change-id");
        headers.insert(name, HeaderValue::from_static(id));
        let request = AdminRequest {
            method,
            path: path.to_owned(),
            query: String::new(),
            headers,
            operator: "ama".to_owned(),
            body: body.as_bytes().to_vec(),
        };
        let response = routes.handle(&request).expect("a route").await;
        let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
        (response.status(), body)
    };
    let also = r#"{"also":true}"#;
    for (method, name, id, body, expected) in [
        (Method::POST, "east", "c2", "", 200),
        (Method::POST, "west", "c3", "", 409),
        (Method::POST, "west", "c4", also, 200),
        (Method::POST, "south", "c5", also, 404),
        (Method::POST, "West", "c6", "", 400),
        (Method::POST, "north", "c7", "{}]", 400),
        (Method::PUT, "west", "c8", "", 405),
        (Method::DELETE, "east", "c9", "", 200),
    ] {
        let path = format!("evacuations/{name}");
        let (status, answer) = call(method, &path, id, body).await;
        assert_eq!(status.as_u16(), expected, "{id}: {answer}");
    }
    let (_, body) = call(Method::GET, "evacuations", "c10", "").await;
    let views: Vec<EvacuationView> = serde_json::from_value(body).unwrap();
    assert_eq!(views.len(), 1);
    let EvacuationView {
        version,
        vms,
        operator,
        ..
    } = &views[0];
    assert_eq!((*version, *vms, operator.as_str()), (3, 1, "ama"));
    assert_eq!(evacuated(&fleet.nodes[0]), ["west"]);
}

/// Scheduler task with one slot of one backend server, in the west.
struct SchedulerBench {
    control: ControlHandle,
    notices: EvacuationSender,
    /// Receivers of the verdicts on requests that wait.
    waiting: Vec<oneshot::Receiver<RequestVerdict>>,
}

impl SchedulerBench {
    fn start() -> Self {
        let notices = EvacuationSender::default();
        let mut channel = ControlChannel::open(NodeClock::start());
        channel.evacuations = Some(notices.subscribe());
        let (outbox, _) = mpsc::unbounded_channel();
        let node = "entry-1.1".parse().unwrap();
        let control = channel.start(node, SchedulerSettings::default(), outbox);
        let vm = VmId::new("vm-1").unwrap();
        let text = "[pools.a]\nvms = 1\nmax-unavailable = 1\n[queues.q]\npool = \"a\"\n";
        let pool = TokenPool::Slot(vm.clone());
        let view = FleetView {
            declaration: redwing_model::from_toml(text).unwrap(),
            workers: vec![WorkerView {
                vm: vm.clone(),
                address: ([127, 0, 0, 1], 1).into(),
                classes: vec!["q".parse().unwrap()],
                serving: true,
            }],
            owned_tokens: vec![TokenId { pool, number: 0 }],
            ..FleetView::default()
        };
        let places = [(vm, data_centre("west"))];
        control.run(move |scheduler, now| scheduler.set_places(now, places.into()));
        control.send(ControlCommand::Install(Box::new(view)));
        Self {
            control,
            notices,
            waiting: Vec::new(),
        }
    }

    /// Submits a request and returns its verdict; `None` while it waits.
    async fn submit(&mut self) -> Option<RequestVerdict> {
        let verdict = self.control.submit(RequestTicket {
            id: TicketId(self.waiting.len() as u64),
            class: "q".parse().unwrap(),
            customer: None,
            deadline: self.control.clock().now() + time::Duration::from_secs(60),
            repeatable: true,
        });
        // The call is handled after the request.
        self.control.call(|_, _| ()).await;
        self.waiting.push(verdict);
        self.verdict()
    }

    /// Returns the verdict on the latest request; `None` while it waits.
    fn verdict(&mut self) -> Option<RequestVerdict> {
        let verdict = self.waiting.last_mut()?.try_recv();
        verdict.ok()
    }
}

/// Guards against a request that is sent by evacuations which are older than the version
/// under which it was admitted: the notice is published just before the request.
#[actix_rt::test]
async fn a_request_after_the_notice_does_not_go_to_the_data_centre() {
    let mut bench = SchedulerBench::start();
    bench.control.call(|_, _| ()).await;
    let evacuated = BTreeSet::from([data_centre("west")]);
    bench.notices.send_replace(EvacuationNotice {
        evacuated: evacuated.into(),
        deadline: None,
    });
    assert_eq!(bench.submit().await, None);
    bench.notices.send_replace(EvacuationNotice::default());
    bench.control.call(|_, _| ()).await;
    let verdict = bench.verdict();
    assert!(
        matches!(verdict, Some(RequestVerdict::Dispatch(_))),
        "{verdict:?}"
    );
}

/// Guards against a process with a bound that sends requests by an old configuration, or
/// never again.
#[actix_rt::test]
async fn a_process_whose_configuration_is_too_old_sends_nothing_until_it_is_confirmed() {
    let mut bench = SchedulerBench::start();
    let freshness = sync::Arc::new(FreshnessDeadline::default());
    let deadline = DispatchDeadline::new(freshness.clone(), time::Duration::ZERO);
    bench.notices.send_replace(EvacuationNotice {
        deadline: Some(deadline),
        ..EvacuationNotice::default()
    });
    let verdict = bench.submit().await;
    assert!(
        matches!(verdict, Some(RequestVerdict::Refuse(_))),
        "{verdict:?}"
    );
    freshness.extend(time::Instant::now() + time::Duration::from_secs(600));
    let verdict = bench.submit().await;
    assert!(
        matches!(verdict, Some(RequestVerdict::Dispatch(_))),
        "{verdict:?}"
    );
}
