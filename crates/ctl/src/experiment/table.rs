//! Tables of an experiment for the terminal.

use redwing_experiment::{PolicySummary, ValueRange};

/// Largest number of customers in the table; the others are in the JSON report.
const MAX_CUSTOMERS: usize = 40;

/// Returns a table of the policies and one of the customers, in percent of their
/// jobs: the mean over the seeds, and the range in brackets.
pub(super) fn format(summaries: &[PolicySummary]) -> String {
    let headings = [
        "policy",
        "jobs",
        "in time %",
        "at once %",
        "late %",
        "refused %",
        "unserved %",
        "fairness",
    ];
    let rows = summaries.iter().map(|summary| {
        vec![
            summary.policy.to_owned(),
            format!("{:.0}", summary.arrived.mean),
            percent(&summary.in_time),
            percent(&summary.at_once),
            percent(&summary.late),
            percent(&summary.refused),
            percent(&summary.unserved),
            range(&summary.fairness, 1.0, 3),
        ]
    });
    let mut text = align(&headings.map(str::to_owned), rows.collect());
    text.push('\n');
    text.push_str(&customer_table(summaries));
    text
}

fn customer_table(summaries: &[PolicySummary]) -> String {
    let Some(first) = summaries.first() else {
        return String::new();
    };
    let mut headings = vec!["customer".to_owned(), "jobs".to_owned()];
    for summary in summaries {
        headings.push(format!("in time %, {}", summary.policy));
        if summary.refusals.max > 0.0 {
            headings.push("at once %".to_owned());
        }
    }
    let customers = first.customers.iter().enumerate();
    let rows = customers.take(MAX_CUSTOMERS).map(|(number, customer)| {
        let mut row = vec![
            customer.name.clone(),
            format!("{:.0}", customer.arrived.mean),
        ];
        for summary in summaries {
            let customer = &summary.customers[number];
            row.push(percent(&customer.in_time));
            if summary.refusals.max > 0.0 {
                row.push(percent(&customer.at_once));
            }
        }
        row
    });
    let mut text = align(&headings, rows.collect());
    if first.customers.len() > MAX_CUSTOMERS {
        let rest = first.customers.len() - MAX_CUSTOMERS;
        text.push_str(&format!("{rest} more customers are in the JSON report\n"));
    }
    text
}

fn percent(values: &ValueRange) -> String {
    range(values, 100.0, 1)
}

fn range(values: &ValueRange, factor: f64, digits: usize) -> String {
    let show = |value: f64| format!("{:.digits$}", value * factor);
    let (mean, min, max) = (show(values.mean), show(values.min), show(values.max));
    format!("{mean} [{min}, {max}]")
}

/// Returns the rows below the headings; the first column is left-aligned.
fn align(headings: &[String], rows: Vec<Vec<String>>) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let mut text = String::new();
    for row in std::iter::once(headings).chain(rows.iter().map(Vec::as_slice)) {
        let cells = row.iter().zip(&widths).enumerate();
        let cells = cells.map(|(column, (cell, &width))| match column {
            0 => format!("{cell:<width$}"),
            _ => format!("{cell:>width$}"),
        });
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
