//! SVG report that compares simulations, for readers without knowledge of the
//! planner.

use std::collections::BTreeMap;

use redwing_model::PoolName;

use crate::simulation::{SimulationPoint, SimulationResult, SimulationSettings};
use crate::svg::SvgWriter;

/// Width of the document, in pixels.
const WIDTH: f64 = 1_180.0;

/// Left edge of all charts, in pixels.
const LEFT: f64 = 190.0;

/// Width of all charts, in pixels.
const CHART_WIDTH: f64 = 940.0;

/// Height of the bar of one VM in the chart of outages, in pixels.
const BAR_HEIGHT: f64 = 4.0;

/// Height of a row in the table, in pixels.
const ROW_HEIGHT: f64 = 22.0;

/// Height of a curve chart, in pixels.
const CURVE_HEIGHT: f64 = 110.0;

/// Seconds drawn before and after the roll-out.
const MARGIN_SECONDS: u64 = 120;

/// Colours of the policies, in the order of the results.
const COLOURS: [&str; 4] = ["#1b6ca8", "#2a9d5c", "#b5651d", "#a83232"];

/// Colours of the pools in the chart of outages.
const POOL_COLOURS: [&str; 5] = ["#1b6ca8", "#2a9d5c", "#b5651d", "#7a4fa3", "#666666"];

/// Columns of the table: heading and left edge, in pixels.
const COLUMNS: [(&str, f64); 7] = [
    ("roll-out", 190.0),
    ("of shortest possible", 290.0),
    ("buffer held", 460.0),
    ("moves", 590.0),
    ("share error", 680.0),
    ("smallest headroom", 800.0),
    ("rules broken", 960.0),
];

/// Draws the results of simulations with the same settings as one SVG document.
///
/// The outages of the first result are drawn as a chart; all results are
/// compared in a table and in curves of progress, moves and headroom.
pub fn draw(settings: &SimulationSettings, results: &[SimulationResult]) -> String {
    let Some(first) = results.first() else {
        return SvgWriter::new(WIDTH, ROW_HEIGHT).finish();
    };
    let vms: u32 = settings.layout.pool_sizes.iter().sum();
    let outages_height = f64::from(vms) * (BAR_HEIGHT + 1.0) + 60.0;
    let table_height = ROW_HEIGHT * (results.len() as f64 + 2.0) + 40.0;
    let height = table_height + outages_height + 3.0 * (CURVE_HEIGHT + 60.0) + 60.0;
    let mut writer = SvgWriter::new(WIDTH, height);
    let title = format!(
        "Reboot of {vms} VMs in {} pools, {} of each pool out at once, seed {}",
        settings.layout.pool_sizes.len(),
        settings.layout.max_unavailable,
        settings.seed
    );
    writer.text(20.0, 30.0, 18, &title);
    draw_table(&mut writer, 60.0, results);
    let mut top = 60.0 + table_height;
    draw_outages(&mut writer, top, settings, first);
    top += outages_height;
    let curves: [CurveChart; 3] = [
        CurveChart::new("VMs rebooted, %", |point| point.progress * 100.0),
        CurveChart::new("moves begun and ended", |point| f64::from(point.moves)),
        CurveChart::new("smallest headroom of any pool, VMs", |point| {
            point.headroom as f64
        }),
    ];
    for curve in &curves {
        curve.draw(&mut writer, top, settings, results);
        top += CURVE_HEIGHT + 60.0;
    }
    writer.finish()
}

fn draw_table(writer: &mut SvgWriter, top: f64, results: &[SimulationResult]) {
    for (heading, left) in COLUMNS {
        writer.text(left, top, 13, heading);
    }
    for (number, result) in results.iter().enumerate() {
        let y = top + ROW_HEIGHT * (number as f64 + 1.0);
        let colour = COLOURS[number % COLOURS.len()];
        writer.rect(20.0, y - 10.0, 10.0, 10.0, colour);
        writer.text(36.0, y, 13, result.policy.name());
        let cells = table_cells(result);
        for ((_, left), cell) in COLUMNS.iter().zip(&cells) {
            writer.text(*left, y, 13, cell);
        }
    }
}

fn table_cells(result: &SimulationResult) -> [String; 7] {
    let unfinished = || "not finished".to_owned();
    let minutes = |seconds: u64| format!("{:.1} min", seconds as f64 / 60.0);
    let ratio = result.rollout_ratio();
    [
        result.rollout_seconds.map_or_else(unfinished, minutes),
        ratio.map_or_else(unfinished, |ratio| format!("{ratio:.2} times")),
        format!("{} VMs", result.buffer),
        result.moves.to_string(),
        format!("{:.3} %", result.share_error * 100.0),
        result.smallest_headroom.to_string(),
        result.violation_count.to_string(),
    ]
}

fn draw_outages(
    writer: &mut SvgWriter,
    top: f64,
    settings: &SimulationSettings,
    result: &SimulationResult,
) {
    let heading = format!("Outages of VMs, {}", result.policy.name());
    writer.text(20.0, top, 15, &heading);
    let begin = settings.rollout_at.saturating_sub(MARGIN_SECONDS);
    let length = result.rollout_seconds.unwrap_or(settings.seconds);
    let end = (settings.rollout_at + length + MARGIN_SECONDS).min(settings.seconds);
    let scale = CHART_WIDTH / (end - begin).max(1) as f64;
    let mut rows: BTreeMap<&PoolName, BTreeMap<_, Vec<_>>> = BTreeMap::new();
    let shown = result.outages.iter();
    for interval in shown.filter(|interval| interval.to > begin && interval.from < end) {
        let pool = rows.entry(&interval.pool).or_default();
        pool.entry(&interval.vm).or_default().push(interval);
    }
    let mut y = top + 12.0;
    for (number, (pool, vms)) in rows.iter().enumerate() {
        let colour = POOL_COLOURS[number % POOL_COLOURS.len()];
        writer.text(20.0, y + 14.0, 12, pool.as_str());
        for intervals in vms.values() {
            for interval in intervals {
                let from = interval.from.max(begin) - begin;
                let to = interval.to.min(end) - begin;
                let (x, width) = (LEFT + from as f64 * scale, (to - from) as f64 * scale);
                writer.rect(x, y, width, BAR_HEIGHT, colour);
            }
            y += BAR_HEIGHT + 1.0;
        }
        writer.line((LEFT, y), (LEFT + CHART_WIDTH, y), "#cccccc");
    }
    draw_time_axis(writer, y + 14.0, begin, end);
}

/// Chart of one quantity of all results over time.
struct CurveChart {
    heading: &'static str,
    value: fn(&SimulationPoint) -> f64,
}

impl CurveChart {
    fn new(heading: &'static str, value: fn(&SimulationPoint) -> f64) -> Self {
        Self { heading, value }
    }

    fn draw(
        &self,
        writer: &mut SvgWriter,
        top: f64,
        settings: &SimulationSettings,
        results: &[SimulationResult],
    ) {
        writer.text(20.0, top, 15, self.heading);
        let points = results.iter().flat_map(|result| &result.points);
        let values: Vec<f64> = points.map(self.value).collect();
        let highest = values.iter().copied().fold(1.0, f64::max);
        let lowest = values.iter().copied().fold(0.0, f64::min);
        let bottom = top + 12.0 + CURVE_HEIGHT;
        let scale_x = CHART_WIDTH / settings.seconds.max(1) as f64;
        let scale_y = CURVE_HEIGHT / (highest - lowest);
        let zero = bottom + lowest * scale_y;
        writer.line((LEFT, zero), (LEFT + CHART_WIDTH, zero), "#999999");
        writer.text(LEFT - 50.0, top + 24.0, 11, &format!("{highest:.0}"));
        writer.text(LEFT - 50.0, bottom, 11, &format!("{lowest:.0}"));
        for (number, result) in results.iter().enumerate() {
            let to_point = |point: &SimulationPoint| {
                let x = LEFT + point.second as f64 * scale_x;
                (x, zero - (self.value)(point) * scale_y)
            };
            let line: Vec<(f64, f64)> = result.points.iter().map(to_point).collect();
            writer.polyline(&line, COLOURS[number % COLOURS.len()]);
        }
        draw_time_axis(writer, bottom + 16.0, 0, settings.seconds);
    }
}

fn draw_time_axis(writer: &mut SvgWriter, y: f64, begin: u64, end: u64) {
    const TICKS: u64 = 8;
    for tick in 0..=TICKS {
        let second = begin + (end - begin) * tick / TICKS;
        let x = LEFT + CHART_WIDTH * tick as f64 / TICKS as f64;
        let minutes = format!("{:.0} min", second as f64 / 60.0);
        writer.text(x - 16.0, y, 11, &minutes);
    }
}
