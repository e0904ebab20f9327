//! Plots of the figures of a benchmark, as SVG files.

use crate::{Report, Row, Scenario, Sharing, table::policy_name};
use plotters::prelude::*;
use poplarswitch_scheduler::Policy;
use snafu::{ResultExt, Snafu};
use std::{
    collections::BTreeSet,
    fs, io,
    path::{Path, PathBuf},
};

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (900, 420);
/// Plotted policies, in the order of their bars.
const POLICIES: [Policy; 4] = [
    Policy::FifoRoundRobin,
    Policy::FifoLeastOutstanding,
    Policy::StrictLeastOutstanding,
    Policy::Full,
];
/// Colours of the bars, in the order of `POLICIES`.
const POLICY_COLOURS: [RGBColor; 4] = [
    RGBColor(150, 150, 150),
    RGBColor(90, 130, 180),
    RGBColor(220, 150, 60),
    RGBColor(40, 130, 70),
];

/// Error in creating the plots.
#[derive(Debug, Snafu)]
pub enum PlotError {
    /// The directory could not be created.
    #[snafu(display("can't create the directory {}: {source}", path.display()))]
    Directory {
        /// Path of the directory.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The plot could not be drawn or written.
    #[snafu(display("can't draw the plot {}: {message}", path.display()))]
    Draw {
        /// Path of the plot.
        path: PathBuf,
        /// Error message of the plotting library.
        message: String,
    },
}

/// Draws one plot for each scenario, which shows the attainment of each class under each policy.
///
/// Attainment is the mean over the numbers of VMs and the seeds; runs without shared schedulers
/// are left out. Returns the paths of the plots.
///
/// # Errors
///
/// Fails if the directory can't be created, or if a plot can't be drawn or written.
pub fn plot(report: &Report, dir: &Path) -> Result<Vec<PathBuf>, PlotError> {
    fs::create_dir_all(dir).context(DirectorySnafu { path: dir })?;
    let scenarios: BTreeSet<Scenario> = report.rows.iter().map(|row| row.scenario).collect();
    let draw = |scenario: Scenario| {
        let path = dir.join(format!("{scenario}.svg"));
        let drawn = draw(report, scenario, &path);
        drawn.map_err(|error| PlotError::Draw {
            path: path.clone(),
            message: error.to_string(),
        })?;
        Ok(path)
    };
    scenarios.into_iter().map(draw).collect()
}

type DrawResult = Result<(), Box<dyn core::error::Error>>;

fn draw(report: &Report, scenario: Scenario, path: &Path) -> DrawResult {
    let rows: Vec<&Row> = report
        .rows
        .iter()
        .filter(|row| row.scenario == scenario && row.sharing == Sharing::Cell)
        .collect();
    let names: Vec<String> = match rows.first() {
        Some(row) => row.classes.iter().map(|c| c.class.to_string()).collect(),
        None => return Ok(()),
    };
    let root = SVGBackend::new(path, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{scenario}: calls within target, %"),
            ("sans-serif", 20),
        )
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..names.len() as f64, 0.0..105.0)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(names.len() * 2 + 1)
        .x_label_formatter(&|x| label(&names, *x))
        .draw()?;
    for (index, policy) in POLICIES.into_iter().enumerate() {
        let colour = POLICY_COLOURS[index];
        let bars = (0..names.len()).map(|class| bar(&rows, policy, index, class));
        chart
            .draw_series(bars.map(|corners| Rectangle::new(corners, colour.filled())))?
            .label(policy_name(policy, Sharing::Cell))
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 12, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Label of the x axis: the name of a class in the middle of its bars, empty elsewhere.
fn label(names: &[String], x: f64) -> String {
    let middle = (x.fract() - 0.5).abs() < 0.01;
    let name = names.get(x as usize).filter(|_| middle);
    name.cloned().unwrap_or_default()
}

fn bar(rows: &[&Row], policy: Policy, index: usize, class: usize) -> [(f64, f64); 2] {
    let same = rows.iter().filter(|row| row.policy == policy);
    let figures: Vec<f64> = same
        .map(|row| row.classes[class].attained_percent)
        .collect();
    let mean = figures.iter().sum::<f64>() / figures.len().max(1) as f64;
    let left = class as f64 + 0.1 + index as f64 * 0.2;
    [(left, 0.0), (left + 0.18, mean)]
}
