//! Comparison of the runs of the full policy with the goals of the benchmark.

use crate::{Report, Row, Scenario, Sharing};
use poplarswitch_scheduler::Policy;
use std::collections::BTreeSet;

/// Classes that must attain their target, because their own demand never exceeds the capacity.
const URGENT_CLASSES: [&str; 3] = ["availability", "briefing", "refill"];
/// Lowest acceptable attainment of the urgent classes, in percent.
const MIN_URGENT_PERCENT: f64 = 99.0;
/// Largest acceptable share of wasted tokens, in percent.
const MAX_WASTED_PERCENT: f64 = 1.0;
/// Lowest acceptable share of useful engine time in the scenarios with a demand of twice the
/// capacity, in percent.
const MIN_USEFUL_PERCENT: f64 = 95.0;
/// Largest acceptable difference by which a baseline's attainment exceeds that of the full policy,
/// in percentage points.
const ATTAINMENT_TOLERANCE: f64 = 0.5;
/// Time by which a wait may exceed its bound; it allows for the handover to another home.
const WAIT_SLACK_MS: u64 = 500;

impl Report {
    /// One line for each goal that a run of the full policy with shared schedulers misses.
    pub fn missed_goals(&self) -> Vec<String> {
        let full = |row: &&Row| row.policy == Policy::Full && row.sharing == Sharing::Cell;
        let rows = self.rows.iter().filter(full);
        let lines: BTreeSet<String> = rows.flat_map(|row| self.row_missed_goals(row)).collect();
        lines.into_iter().collect()
    }

    fn row_missed_goals(&self, row: &Row) -> Vec<String> {
        let mut lines = Vec::new();
        let case = format!("{} vms={} seed={}", row.scenario, row.vms, row.seed);
        for class in &row.classes {
            let name = class.class.as_str();
            if URGENT_CLASSES.contains(&name) && class.attained_percent < MIN_URGENT_PERCENT {
                let attained = class.attained_percent;
                lines.push(format!("{case}: {name} attains {attained:.2}% (goal 99%)"));
            }
            if class.longest_wait_ms > class.max_wait_ms + WAIT_SLACK_MS {
                let (wait, bound) = (class.longest_wait_ms, class.max_wait_ms);
                lines.push(format!("{case}: {name} waits {wait} ms (bound {bound} ms)"));
            }
            if class.unended > 0 {
                lines.push(format!(
                    "{case}: {name} leaves {} calls open",
                    class.unended
                ));
            }
        }
        if row.wasted_percent > MAX_WASTED_PERCENT {
            let wasted = row.wasted_percent;
            lines.push(format!("{case}: {wasted:.2}% of tokens wasted (goal 1%)"));
        }
        let double = matches!(row.scenario, Scenario::AtlasCrowd2 | Scenario::AbayCrowd2);
        if double && row.useful_percent < MIN_USEFUL_PERCENT {
            let useful = row.useful_percent;
            lines.push(format!(
                "{case}: {useful:.1}% of engine time useful (goal 95%)"
            ));
        }
        lines.extend(self.better_baselines(row, &case));
        lines
    }

    fn better_baselines(&self, row: &Row, case: &str) -> Vec<String> {
        let same = |other: &&Row| {
            let key = |r: &Row| (r.scenario, r.vms, r.seed, r.sharing);
            key(other) == key(row) && other.policy != Policy::Full
        };
        let baselines: Vec<&Row> = self.rows.iter().filter(same).collect();
        let mut lines = Vec::new();
        let best = |figure: &dyn Fn(&Row) -> f64| {
            baselines
                .iter()
                .map(|row| figure(row))
                .fold(f64::MIN, f64::max)
        };
        for (i, class) in row.classes.iter().enumerate() {
            let best = best(&|row| row.classes[i].attained_percent);
            let attained = class.attained_percent;
            if attained + ATTAINMENT_TOLERANCE < best {
                let name = &class.class;
                lines.push(format!(
                    "{case}: {name} attains {attained:.1}%, a baseline {best:.1}%"
                ));
            }
        }
        let best = best(&|row| row.goodput);
        if row.goodput * 1.01 < best {
            let goodput = row.goodput;
            lines.push(format!(
                "{case}: goodput {goodput:.0}/s, a baseline {best:.0}/s"
            ));
        }
        lines
    }
}
