//! Markdown tables of the figures of a benchmark.

use crate::{ClassRow, Report, Row, Sharing};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use poplarswitch_scheduler::Policy;

impl Report {
    /// Table with one line for each run and class.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_style(ASCII_MARKDOWN);
        table.set_header([
            "scenario",
            "VMs",
            "policy",
            "seed",
            "class",
            "calls",
            "attained %",
            "goodput tok/s",
            "not run",
            "failed",
            "in doubt",
            "longest wait s",
            "p50 ms",
            "p99 ms",
        ]);
        for row in &self.rows {
            for class in &row.classes {
                table.add_row(seed_line(row, class));
            }
        }
        table.to_string()
    }

    /// Table with one line for each scenario, number of VMs, policy and sharing. It shows means
    /// over the seeds and, for each class, the mean and the lowest attainment of the seeds.
    pub fn summary(&self) -> String {
        let mut table = Table::new();
        table.load_style(ASCII_MARKDOWN);
        table.set_header([
            "scenario",
            "VMs",
            "policy",
            "attained % (worst seed)",
            "goodput tok/s",
            "engine time useful %",
            "wasted %",
            "messages/call",
            "cache hits %",
        ]);
        for group in self.rows.chunk_by(same_group) {
            table.add_row(summary_line(group));
        }
        table.to_string()
    }
}

fn same_group(a: &Row, b: &Row) -> bool {
    let key = |r: &Row| (r.scenario, r.vms, r.sharing, r.policy);
    key(a) == key(b)
}

fn seed_line(row: &Row, class: &ClassRow) -> Vec<String> {
    vec![
        row.scenario.to_string(),
        row.vms.to_string(),
        policy_name(row.policy, row.sharing).to_owned(),
        row.seed.to_string(),
        class.class.to_string(),
        class.calls.to_string(),
        format!("{:.2}", class.attained_percent),
        format!("{:.0}", class.goodput),
        class.refused.to_string(),
        class.failed.to_string(),
        class.in_doubt.to_string(),
        format!("{:.1}", class.longest_wait_ms as f64 / 1e3),
        class.latency_p50_ms.to_string(),
        class.latency_p99_ms.to_string(),
    ]
}

fn summary_line(rows: &[Row]) -> Vec<String> {
    let first = &rows[0];
    let mean = |figure: fn(&Row) -> f64| rows.iter().map(figure).sum::<f64>() / rows.len() as f64;
    vec![
        first.scenario.to_string(),
        first.vms.to_string(),
        policy_name(first.policy, first.sharing).to_owned(),
        attainment(rows),
        format!("{:.0}", mean(|row| row.goodput)),
        format!("{:.1}", mean(|row| row.useful_percent)),
        format!("{:.2}", mean(|row| row.wasted_percent)),
        format!("{:.1}", mean(|row| row.messages_per_call)),
        format!("{:.0}", mean(|row| row.cache_hit_percent)),
    ]
}

fn attainment(rows: &[Row]) -> String {
    let classes = rows[0].classes.iter().enumerate();
    let parts = classes.map(|(i, class)| {
        let figure = |row: &Row| row.classes[i].attained_percent;
        let mean = rows.iter().map(figure).sum::<f64>() / rows.len() as f64;
        let worst = rows.iter().map(figure).fold(f64::MAX, f64::min);
        format!("{} {mean:.1} ({worst:.1})", class.class)
    });
    parts.collect::<Vec<_>>().join(", ")
}

/// Name of a policy in tables and plots.
pub const fn policy_name(policy: Policy, sharing: Sharing) -> &'static str {
    match (policy, sharing) {
        (Policy::FifoRoundRobin, _) => "fifo-round-robin",
        (Policy::FifoLeastOutstanding, _) => "fifo-least-outstanding",
        (Policy::StrictLeastOutstanding, _) => "strict-least-outstanding",
        (Policy::Full, Sharing::Cell) => "full",
        (Policy::Full, Sharing::Alone) => "full, VMs alone",
    }
}
