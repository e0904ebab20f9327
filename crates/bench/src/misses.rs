//! Where a run falls short of the goals.

use crate::{Report, Row, Scenario, Sharing};
use poplarswitch_scheduler::Policy;
use std::collections::BTreeSet;

/// Classes whose own demand always fits in capacity, and that must attain their target.
const URGENT: [&str; 3] = ["availability", "briefing", "refill"];
/// Attainment that the urgent classes must reach, in percent.
const URGENT_ATTAINMENT: f64 = 99.0;
/// Largest share of tokens that may be wasted, in percent.
const WASTE_LIMIT: f64 = 1.0;
/// Share of the engines' time that must be useful at twice the capacity, in percent.
const USEFUL_AT_DOUBLE: f64 = 95.0;
/// Attainment by which the full policy may fall behind a baseline before it counts.
const TOLERANCE: f64 = 0.5;
/// Time by which a wait may pass its bound: the hand-over to another home.
const WAIT_SLACK_MS: u64 = 500;

impl Report {
    /// One line for each goal that a run of the full policy in a cell misses.
    pub fn missed_goals(&self) -> Vec<String> {
        let full = |row: &&Row| row.policy == Policy::Full && row.sharing == Sharing::Cell;
        let rows = self.rows.iter().filter(full);
        let lines: BTreeSet<String> = rows.flat_map(|row| self.row_misses(row)).collect();
        lines.into_iter().collect()
    }

    fn row_misses(&self, row: &Row) -> Vec<String> {
        let mut lines = Vec::new();
        let case = format!("{} vms={} seed={}", row.scenario, row.vms, row.seed);
        for class in &row.classes {
            let name = class.class.as_str();
            if URGENT.contains(&name) && class.attained_percent < URGENT_ATTAINMENT {
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
        if row.wasted_percent > WASTE_LIMIT {
            let wasted = row.wasted_percent;
            lines.push(format!("{case}: {wasted:.2}% of tokens wasted (goal 1%)"));
        }
        let double = matches!(row.scenario, Scenario::AtlasCrowd2 | Scenario::AbayCrowd2);
        if double && row.useful_percent < USEFUL_AT_DOUBLE {
            let useful = row.useful_percent;
            lines.push(format!(
                "{case}: {useful:.1}% of engine time useful (goal 95%)"
            ));
        }
        lines.extend(self.behind_baselines(row, &case));
        lines
    }

    fn behind_baselines(&self, row: &Row, case: &str) -> Vec<String> {
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
            let own = class.attained_percent;
            if own + TOLERANCE < best {
                let name = &class.class;
                lines.push(format!(
                    "{case}: {name} attains {own:.1}%, a baseline {best:.1}%"
                ));
            }
        }
        let best = best(&|row| row.goodput);
        if row.goodput * 1.01 < best {
            let own = row.goodput;
            lines.push(format!(
                "{case}: goodput {own:.0}/s, a baseline {best:.0}/s"
            ));
        }
        lines
    }
}
