//! Plot of goodput over time.

use plotters::prelude as draw;
use plotters::style::Color as _;
use plotters::style::Palette as _;

use crate::replay;
use crate::replay::service_figures;

/// Width and height of the plot, in pixels.
const SIZE_PX: (u32, u32) = (900, 420);
/// Margin around the plot, in pixels.
const MARGIN_PX: u32 = 12;
/// Space for the labels of an axis, in pixels.
const LABEL_PX: u32 = 36;

/// Plots the share of requests that each policy served on time, in windows of
/// two seconds, into an SVG file.
///
/// # Errors
///
/// Returns an error with the path and the message of the plotting library if
/// the file cannot be written.
pub fn write_plot(path: &str, figures: &[replay::Figures]) -> Result<(), replay::ReplayError> {
    draw_all(path, figures).map_err(|error| replay::ReplayError::Draw {
        message: error.to_string(),
        path: path.to_owned(),
    })
}

fn draw_all(
    path: &str,
    figures: &[replay::Figures],
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let curves: Vec<Vec<(f64, f64)>> = figures.iter().map(curve).collect();
    let last_s = curves.iter().flatten().map(|point| point.0);
    let last_s = last_s.fold(2.0, f64::max);
    let root = draw::IntoDrawingArea::into_drawing_area(draw::SVGBackend::new(path, SIZE_PX));
    root.fill(&draw::WHITE)?;
    let mut chart = draw::ChartBuilder::on(&root)
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_PX)
        .y_label_area_size(LABEL_PX)
        .build_cartesian_2d(0.0..last_s, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("served in time")
        .draw()?;
    for (index, (policy, points)) in figures.iter().zip(curves).enumerate() {
        let color = draw::Palette99::pick(index).to_rgba();
        chart
            .draw_series(draw::LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.policy.clone())
            .legend(move |(x, y)| draw::PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(draw::WHITE)
        .border_style(draw::BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn curve(figures: &replay::Figures) -> Vec<(f64, f64)> {
    let mut windows: Vec<replay::Window> = Vec::new();
    for service in &figures.services {
        windows.resize(
            windows.len().max(service.windows.len()),
            replay::Window::default(),
        );
        for (sum, window) in windows.iter_mut().zip(&service.windows) {
            sum.add(window);
        }
    }
    let with_requests = windows.iter().enumerate();
    let with_requests = with_requests.filter(|(_, window)| window.request_count > 0);
    with_requests
        .map(|(index, window)| {
            #[expect(clippy::cast_precision_loss, reason = "a scenario lasts minutes")]
            let second = (index * 2) as f64;
            let served = service_figures::share(window.on_time_count(), window.request_count);
            (second, served)
        })
        .collect()
}
