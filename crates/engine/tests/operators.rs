//! View of the rows that operators write.

use redwing_engine::follow::TableUpdate;
use redwing_engine::manifest::OperatorView;
use redwing_engine::product::{self, ProductCodec};
use redwing_jobs::BootTime;
use redwing_jobs::name::DataCentre;
use redwing_provider::TableRow;

/// Returns an update with rows that evacuate data centres, or are deleted.
fn update(is_complete: bool, rows: &[(&str, Option<&str>)]) -> TableUpdate {
    let rows = rows.iter().map(|(name, value)| TableRow {
        key: product::evacuation_key(&DataCentre::new(name)),
        version: 1,
        value: value.map(str::to_owned),
    });
    TableUpdate {
        requested_at: BootTime::from_millis(1_000),
        table_ms: None,
        is_complete,
        rows: rows.collect(),
    }
}

fn names(view: &OperatorView) -> Vec<&str> {
    view.evacuations.iter().map(DataCentre::as_str).collect()
}

/// An evacuation whose row was deleted went on, and one whose value could not be read never
/// began.
#[test]
fn evacuations_are_written_deleted_and_read_completely() {
    let mut view = OperatorView::default();
    let apply = |view: &mut OperatorView, is_complete, rows: &[(&str, Option<&str>)]| {
        view.apply(&ProductCodec, &update(is_complete, rows));
    };
    apply(&mut view, true, &[("east", Some("{}"))]);
    assert_eq!(names(&view), ["east"]);
    apply(&mut view, false, &[("west", Some("not json"))]);
    assert_eq!(names(&view), ["east", "west"]);
    apply(&mut view, false, &[]);
    assert_eq!(names(&view), ["east", "west"]);
    apply(&mut view, false, &[("east", None), ("north", None)]);
    assert_eq!(names(&view), ["west"]);
    // Undone and requested again between two reads.
    apply(&mut view, false, &[("west", None), ("west", Some(""))]);
    assert_eq!(names(&view), ["west"]);
    // A complete read has no deleted rows.
    apply(&mut view, true, &[("south", Some("{}"))]);
    assert_eq!(names(&view), ["south"]);
    apply(&mut view, true, &[]);
    assert!(view.evacuations.is_empty());
}
