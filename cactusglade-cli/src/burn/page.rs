//! An SVG chart of the burn rate of each route over time.

use std::collections::BTreeMap;

use cactusglade_core::units::Millis;
use plotters::prelude::*;

use super::Error;
use super::Result;
use super::report::Report;
use super::sample::Goals;
use super::series::Series;

const SIZE_PX: (u32, u32) = (1_000, 600);
const MARGIN_PX: u32 = 12;
const LABEL_AREA_PX: u32 = 48;
const FONT: (&str, u32) = ("sans-serif", 16);
/// Number of equal intervals into which the time axis is divided.
const POINTS_PER_CURVE: u64 = 60;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Draws the burn rate of each route over time, summed over organisations, as SVG.
///
/// # Errors
///
/// Fails when the plotting library can't draw the chart.
pub fn draw(series: &Series, report: &Report) -> Result<String> {
    let mut svg = String::new();
    let failed = |error: String| Error::Page(error);
    plot(&mut svg, series, report).map_err(|error| failed(error.to_string()))?;
    Ok(svg)
}

/// Points of a route's curve: seconds since the start, and burn rate.
type Curve = Vec<(f64, f64)>;

#[allow(clippy::cast_precision_loss)]
fn curves(series: &Series, report: &Report) -> BTreeMap<String, Curve> {
    let (from, to) = report.span;
    let step = Millis(((to - from).0 / POINTS_PER_CURVE).max(1));
    let budget = 1.0 - report.objective.target;
    let mut steps: BTreeMap<String, BTreeMap<u64, Goals>> = BTreeMap::new();
    for (at, key, goals) in series.increases() {
        let bucket = (*at - from).0 / step.0;
        let route = steps.entry(key.route.clone()).or_default();
        route.entry(bucket).or_default().add(goals);
    }
    let curve = |steps: BTreeMap<u64, Goals>| {
        let points = steps.into_iter().filter_map(|(bucket, goals)| {
            let seconds = (bucket * step.0) as f64 / MILLIS_PER_SECOND;
            Some((seconds, goals.bad_fraction()? / budget))
        });
        points.collect()
    };
    let steps = steps.into_iter();
    steps.map(|(route, steps)| (route, curve(steps))).collect()
}

#[allow(clippy::cast_precision_loss)]
fn plot(
    svg: &mut String,
    series: &Series,
    report: &Report,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let curves = curves(series, report);
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = (report.span.1 - report.span.0).0 as f64 / MILLIS_PER_SECOND;
    let burns = curves.values().flatten().map(|(_, burn)| *burn);
    let y_max = burns.fold(1.0, f64::max) * 1.1;
    let title = format!(
        "Burn of the error budget by route; 1 is {}% of requests outside their goal",
        ((1.0 - report.objective.target) * 10_000.0).round() / 100.0
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, FONT)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..seconds.max(1.0), 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("burn")
        .draw()?;
    let limit = [(0.0, 1.0), (seconds, 1.0)];
    chart.draw_series(LineSeries::new(limit, BLACK.stroke_width(2)))?;
    for (index, (route, curve)) in curves.into_iter().enumerate() {
        let colour = Palette99::pick(index).stroke_width(2);
        chart
            .draw_series(LineSeries::new(curve, colour))?
            .label(route)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
