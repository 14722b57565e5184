//! SVG plots of an experiment.

use redwing_experiment::PolicySummary;
use redwing_planner::svg::SvgWriter;

/// Width of a document, in pixels.
const WIDTH: f64 = 1_000.0;

/// Left edge of the charts, in pixels.
const LEFT: f64 = 180.0;

/// Width of the charts, in pixels.
const CHART_WIDTH: f64 = 760.0;

/// Height of the chart of seconds, in pixels.
const CHART_HEIGHT: f64 = 300.0;

/// Height of the bar of one policy, in pixels.
const BAR_HEIGHT: f64 = 9.0;

/// Top of the charts, in pixels.
const TOP: f64 = 60.0;

/// Colour of grid lines and of arrivals.
const GREY: &str = "#999999";

/// Colours of the policies, in their order.
const COLOURS: [&str; 3] = ["#a83232", "#1b6ca8", "#2a9d5c"];

/// Draws the jobs that arrived in each second, and for each policy those of them
/// that were served in time.
pub(super) fn draw_seconds(summaries: &[PolicySummary]) -> String {
    let mut writer = SvgWriter::new(WIDTH, TOP + CHART_HEIGHT + 40.0);
    draw_legend(
        &mut writer,
        summaries,
        "jobs by second of arrival, grey: arrived",
    );
    let curves: Vec<_> = summaries.iter().map(PolicySummary::mean_seconds).collect();
    let points = curves.iter().flatten();
    let highest = points.map(|(arrived, _)| *arrived).fold(1.0, f64::max);
    let bottom = TOP + CHART_HEIGHT;
    for part in 0..=4 {
        let share = f64::from(part) / 4.0;
        let y = bottom - share * CHART_HEIGHT;
        writer.line((LEFT, y), (LEFT + CHART_WIDTH, y), "#dddddd");
        writer.text(LEFT - 60.0, y + 4.0, 12, &format!("{:.0}", highest * share));
    }
    let longest = curves.iter().map(Vec::len).max().unwrap_or(0);
    let step = CHART_WIDTH / longest.max(1) as f64;
    for second in (0..=longest).step_by((longest / 10).max(1)) {
        let x = LEFT + second as f64 * step;
        writer.text(x, bottom + 18.0, 12, &format!("{second} s"));
    }
    let curve = |values: &mut dyn Iterator<Item = f64>| -> Vec<(f64, f64)> {
        let positions = values.enumerate();
        positions
            .map(|(second, value)| {
                let x = LEFT + (second as f64 + 0.5) * step;
                (x, bottom - value / highest * CHART_HEIGHT)
            })
            .collect()
    };
    if let Some(first) = curves.first() {
        writer.polyline(&curve(&mut first.iter().map(|point| point.0)), GREY);
    }
    for (number, points) in curves.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        writer.polyline(&curve(&mut points.iter().map(|point| point.1)), colour);
    }
    writer.finish()
}

/// Draws for each customer and policy the fraction of its jobs that was served in
/// time.
pub(super) fn draw_customers(summaries: &[PolicySummary]) -> String {
    let names = summaries
        .first()
        .map(|summary| summary.customers.as_slice());
    let names = names.unwrap_or_default();
    let row_height = BAR_HEIGHT * summaries.len() as f64 + 8.0;
    let mut writer = SvgWriter::new(WIDTH, TOP + row_height * names.len() as f64 + 30.0);
    draw_legend(&mut writer, summaries, "jobs served in time, by customer");
    for (row, customer) in names.iter().enumerate() {
        let top = TOP + row as f64 * row_height;
        writer.text(20.0, top + BAR_HEIGHT + 3.0, 12, &customer.name);
        for (number, summary) in summaries.iter().enumerate() {
            let fraction = summary.customers[row].in_time.mean;
            let y = top + number as f64 * BAR_HEIGHT;
            let colour = COLOURS[number % COLOURS.len()];
            let width = CHART_WIDTH * fraction;
            writer.rect(LEFT, y, width, BAR_HEIGHT - 1.0, colour);
            let label = format!("{:.0} %", fraction * 100.0);
            writer.text(LEFT + width + 4.0, y + BAR_HEIGHT - 1.0, 9, &label);
        }
    }
    writer.finish()
}

fn draw_legend(writer: &mut SvgWriter, summaries: &[PolicySummary], title: &str) {
    writer.text(20.0, 24.0, 16, title);
    for (number, summary) in summaries.iter().enumerate() {
        let x = 560.0 + 140.0 * number as f64;
        writer.rect(x, 14.0, 10.0, 10.0, COLOURS[number % COLOURS.len()]);
        writer.text(x + 16.0, 24.0, 13, summary.policy);
    }
}
